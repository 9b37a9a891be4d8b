//! The databases' side: timers, replication and the execution of work on connections.

use std::time::Duration;

use hookpoint_state::Timestamp;
use rand::Rng as _;

use super::World;
use super::event::{BackendAnswer, BackendWork, ConnectionNumber, Event, ProxyEvent};
use crate::database::replicate::{Outbox, Replication, RoleChange};
use crate::database::unit::{Answer, UnitCall};
use crate::database::{ELECTION_JITTER_MS, ELECTION_TIMEOUT, TICK_INTERVAL};
use crate::network::PARTITION_POLL_INTERVAL;
use crate::report::Invariant;

/// Time that opening a connection takes.
const CONNECT_TIME: Duration = Duration::from_millis(10);
/// Time that executing a unit takes.
const SERVICE_TIME: Duration = Duration::from_micros(200);
/// `idle_session_timeout` of the connections.
pub(crate) const IDLE_SESSION_TIMEOUT: Duration = Duration::from_secs(10);
/// `idle_in_transaction_session_timeout` of the connections.
const IDLE_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a draining database may still receive new work.
const DRAIN_ALLOWANCE: Duration = Duration::from_secs(3);

impl World {
    pub(crate) fn database_tick(&mut self, id: usize) {
        let now = self.now();
        self.schedule
            .at(now + TICK_INTERVAL, Event::DatabaseTick(id));
        if !self.databases[id].is_responsive(now) {
            return;
        }
        let election_delay = self.draw_election_delay();
        let others = self.other_members(id);
        let mut outbox = Outbox::new();
        self.databases[id].tick(now, &others, election_delay, &mut outbox);
        self.send_replication(id, outbox);
        self.close_idle(id);
    }

    fn draw_election_delay(&mut self) -> Duration {
        ELECTION_TIMEOUT + Duration::from_millis(self.random.random_range(0..ELECTION_JITTER_MS))
    }

    fn other_members(&self, id: usize) -> Vec<usize> {
        let members = &self.groups[self.databases[id].group].members;
        members
            .iter()
            .copied()
            .filter(|other| *other != id)
            .collect()
    }

    fn send_replication(&mut self, from: usize, outbox: Outbox) {
        for (to, message) in outbox {
            let latency = self
                .network
                .latency(self.databases[from].zone, self.databases[to].zone);
            let jitter = Duration::from_micros(self.random.random_range(0..500));
            let at = self.now() + latency + jitter;
            self.schedule
                .at(at, Event::Replication { from, to, message });
        }
    }

    pub(crate) fn replication(&mut self, from: usize, to: usize, message: Replication) {
        let now = self.now();
        let ends = (&self.databases[from], &self.databases[to]);
        let passes = self
            .network
            .replication_passes((from, ends.0.zone), (to, ends.1.zone));
        if !passes || !ends.1.up {
            return;
        }
        if ends.1.is_paused(now) {
            let at = ends.1.paused_until;
            return self
                .schedule
                .at(at, Event::Replication { from, to, message });
        }
        let others = self.other_members(to);
        let mut outbox = Outbox::new();
        let role_change = self.databases[to].receive(now, from, message, &others, &mut outbox);
        self.send_replication(to, outbox);
        match role_change {
            RoleChange::None => {}
            RoleChange::Promoted => self.counts.elections += 1,
            RoleChange::Restarted => self.close_all(to),
        }
    }

    /// Closes all connections of a database from the database's side.
    pub(crate) fn close_all(&mut self, id: usize) {
        let open: Vec<ConnectionNumber> = self.databases[id].connections.iter().copied().collect();
        for number in open {
            self.close_on_database(number);
        }
    }

    /// Closes a connection from the database's side and notifies its holder.
    fn close_on_database(&mut self, number: ConnectionNumber) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.open = false;
        connection.block = None;
        let database = connection.database;
        self.databases[database].connections.remove(&number);
        self.answer(number, BackendAnswer::Closed, self.now());
    }

    fn close_idle(&mut self, id: usize) {
        let now = self.now();
        let connections = &self.connections;
        let expired = |number: &&ConnectionNumber| {
            connections.get(number).is_some_and(|connection| {
                let limit = match connection.block {
                    Some(_) => IDLE_TRANSACTION_TIMEOUT,
                    None => IDLE_SESSION_TIMEOUT,
                };
                now.since(connection.last_used) >= limit
            })
        };
        let open = &self.databases[id].connections;
        let expired: Vec<ConnectionNumber> = open.iter().filter(expired).copied().collect();
        for number in expired {
            self.close_on_database(number);
        }
    }

    /// Sends an answer that leaves the database at `ready`.
    fn answer(&mut self, number: ConnectionNumber, answer: BackendAnswer, ready: Timestamp) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let database = &self.databases[connection.database];
        let holder = &self.proxies[connection.holder];
        let at = ready + self.network.latency(database.zone, holder.zone);
        if let Some(at) = connection.answers.push(at, answer) {
            self.schedule.at(at, Event::ConnectionAnswers(number));
        }
    }

    /// Returns whether messages pass between a connection's database and its holder; `None` if
    /// the connection no longer exists.
    fn link_connected(&self, number: ConnectionNumber) -> Option<bool> {
        let connection = self.connections.get(&number)?;
        let database = self.databases[connection.database].zone;
        Some(
            self.network
                .zones_connected(database, self.proxies[connection.holder].zone),
        )
    }

    pub(crate) fn connection_commands(&mut self, number: ConnectionNumber) {
        let now = self.now();
        let Some(connected) = self.link_connected(number) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.commands.read_scheduled = false;
        let database = &self.databases[connection.database];
        if !connected {
            let broken = connection.commands.blocked_too_long(now);
            self.wake_commands(number, now + PARTITION_POLL_INTERVAL);
            if broken {
                self.handle_connection_loss(number);
            }
            return;
        }
        if database.is_paused(now) {
            let at = database.paused_until;
            return self.wake_commands(number, at);
        }
        if connection.busy_until > now {
            let at = connection.busy_until;
            return self.wake_commands(number, at);
        }
        if let Some(work) = connection.commands.pop(now) {
            self.execute_work(number, work);
        }
        let next = self.connections.get(&number).and_then(|connection| {
            let at = connection.commands.next_at()?;
            Some(at.max(connection.busy_until))
        });
        if let Some(at) = next {
            self.wake_commands(number, at);
        }
    }

    fn wake_commands(&mut self, number: ConnectionNumber, at: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&number)
            && !std::mem::replace(&mut connection.commands.read_scheduled, true)
        {
            self.schedule.at(at, Event::ConnectionCommands(number));
        }
    }

    fn execute_work(&mut self, number: ConnectionNumber, work: BackendWork) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.last_used = now;
        let id = connection.database;
        match work {
            BackendWork::Open => self.open_connection(number, id),
            BackendWork::Close => {
                connection.open = false;
                connection.block = None;
                self.databases[id].connections.remove(&number);
                self.connections.remove(&number);
            }
            BackendWork::Status | BackendWork::Unit(_) if !connection.open => {}
            BackendWork::Status => {
                let status = self.databases[id].status(now, &self.database_names);
                self.answer(number, BackendAnswer::Status(status), now);
            }
            BackendWork::Unit(call) => self.run_unit(number, id, call),
        }
    }

    fn open_connection(&mut self, number: ConnectionNumber, id: usize) {
        let now = self.now();
        let database = &mut self.databases[id];
        if !database.up {
            return self.answer(number, BackendAnswer::Closed, now);
        }
        if database.connections.len() >= database.slots {
            return self.answer(number, BackendAnswer::NoSlot, now);
        }
        database.connections.insert(number);
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.open = true;
            connection.busy_until = now + CONNECT_TIME;
        }
        self.answer(number, BackendAnswer::Opened, now + CONNECT_TIME);
    }

    fn run_unit(&mut self, number: ConnectionNumber, id: usize, call: UnitCall) {
        let now = self.now();
        self.check_drain(id, call);
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let length = self.databases[id].log.len();
        let answer = self.databases[id].execute(now, &mut connection.block, call);
        connection.busy_until = now + SERVICE_TIME;
        self.trace.value(&(id, &answer));
        self.answer(number, BackendAnswer::Unit(answer), now + SERVICE_TIME);
        if self.databases[id].log.len() > length {
            let others = self.other_members(id);
            let mut outbox = Outbox::new();
            self.databases[id].send_log(now, &others, &mut outbox);
            self.send_replication(id, outbox);
        }
    }

    /// Checks that no new work reaches a database that has been draining for longer than
    /// [`DRAIN_ALLOWANCE`]. Later units of a transaction in progress are allowed. The check is
    /// skipped if a fault may have frozen proxies or delayed the drain mark's delivery.
    fn check_drain(&mut self, id: usize, call: UnitCall) {
        let now = self.now();
        let Some(since) = self.checker.draining_since(id) else {
            return;
        };
        let late = now.since(since) > DRAIN_ALLOWANCE;
        let drain_delayed = self.bundles_delayed_until + DRAIN_ALLOWANCE > since;
        if call.index == 0 && late && !drain_delayed {
            let detail = format!("database {id} got {call:?} while draining since {since:?}");
            self.checker
                .add_violation(now, Invariant::DrainHonoured, detail);
        }
    }

    /// Answers a status query that uses no connection slot.
    pub(crate) fn control_query(&mut self, proxy: usize, id: usize, query: u64) {
        let now = self.now();
        let zones = (self.databases[id].zone, self.proxies[proxy].zone);
        let connected = self.network.zones_connected(zones.0, zones.1);
        if !connected || !self.databases[id].up {
            return;
        }
        if self.databases[id].is_paused(now) {
            let at = self.databases[id].paused_until;
            let event = Event::ControlQuery {
                proxy,
                database: id,
                query,
            };
            return self.schedule.at(at, event);
        }
        let status = self.databases[id].status(now, &self.database_names);
        let event = ProxyEvent::ControlAnswer {
            database: id,
            query,
            status,
        };
        let at = now + self.network.latency(zones.0, zones.1);
        self.schedule.at(at, Event::Proxy { proxy, event });
    }

    /// Returns whether a primary of a later term than `term` lacks the transaction.
    pub(crate) fn later_primary_lacks(&self, group: usize, term: u32, answer: &Answer) -> bool {
        let members = self.groups[group].members.iter();
        let mut later = members
            .map(|id| &self.databases[*id])
            .filter(|database| database.is_primary() && database.timeline > term);
        later.any(|database| {
            let mut entries = database.log.entries().iter();
            !entries.any(|entry| entry.owner == Some(answer.call.attempt))
        })
    }
}
