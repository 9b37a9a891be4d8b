//! The databases' side: timers, replication and the work on connections.

use std::time::Duration;

use hookpoint_state::Timestamp;
use rand::Rng as _;

use super::World;
use super::event::{BackendAnswer, BackendWork, ConnectionNumber, Event, ProxyEvent};
use crate::database::replicate::{Outbox, Replication, Upheaval};
use crate::database::unit::{Answer, UnitCall};
use crate::database::{ELECTION_SPREAD_MS, ELECTION_TIMEOUT, TICK};
use crate::network::CUT_POLL;
use crate::report::Invariant;

/// Time a new connection takes.
const CONNECT_TIME: Duration = Duration::from_millis(10);
/// Time a unit takes.
const SERVICE_TIME: Duration = Duration::from_micros(200);
/// `idle_session_timeout` of the connections.
pub(crate) const IDLE_SESSION_TIMEOUT: Duration = Duration::from_secs(10);
/// `idle_in_transaction_session_timeout` of the connections.
const IDLE_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a draining database may still get new work.
const DRAIN_ALLOWANCE: Duration = Duration::from_secs(3);

impl World {
    pub(crate) fn database_tick(&mut self, id: usize) {
        let now = self.now();
        self.schedule.at(now + TICK, Event::DatabaseTick(id));
        if !self.databases[id].answers(now) {
            return;
        }
        let patience = self.draw_patience();
        let others = self.others(id);
        let mut outbox = Outbox::new();
        self.databases[id].tick(now, &others, patience, &mut outbox);
        self.send_replication(id, outbox);
        self.close_idle(id);
    }

    fn draw_patience(&mut self) -> Duration {
        ELECTION_TIMEOUT + Duration::from_millis(self.random.random_range(0..ELECTION_SPREAD_MS))
    }

    fn others(&self, id: usize) -> Vec<usize> {
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
            .replicates((from, ends.0.zone), (to, ends.1.zone));
        if !passes || !ends.1.up {
            return;
        }
        if ends.1.is_paused(now) {
            let at = ends.1.paused_until;
            return self
                .schedule
                .at(at, Event::Replication { from, to, message });
        }
        let others = self.others(to);
        let mut outbox = Outbox::new();
        let upheaval = self.databases[to].receive(now, from, message, &others, &mut outbox);
        self.send_replication(to, outbox);
        match upheaval {
            Upheaval::None => {}
            Upheaval::Promoted => self.counts.elections += 1,
            Upheaval::Restarted => self.close_all(to),
        }
    }

    /// Ends all connections of a database on its side.
    pub(crate) fn close_all(&mut self, id: usize) {
        let open: Vec<ConnectionNumber> = self.databases[id].connections.iter().copied().collect();
        for number in open {
            self.close_on_database(number);
        }
    }

    /// Ends a connection on the database's side and tells its holder.
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

    /// Sends an answer that is ready at `ready`.
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

    /// Whether a connection's link passes; if not, when to look again, unless it has
    /// been cut for so long that the connection is broken.
    fn link_of(&self, number: ConnectionNumber) -> Option<bool> {
        let connection = self.connections.get(&number)?;
        let database = self.databases[connection.database].zone;
        Some(
            self.network
                .zones_joined(database, self.proxies[connection.holder].zone),
        )
    }

    pub(crate) fn connection_commands(&mut self, number: ConnectionNumber) {
        let now = self.now();
        let Some(joined) = self.link_of(number) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.commands.awake = false;
        let database = &self.databases[connection.database];
        if !joined {
            let broken = connection.commands.blocked(now);
            self.wake_commands(number, now + CUT_POLL);
            if broken {
                self.break_for_holder(number);
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
            self.work(number, work);
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
            && !std::mem::replace(&mut connection.commands.awake, true)
        {
            self.schedule.at(at, Event::ConnectionCommands(number));
        }
    }

    fn work(&mut self, number: ConnectionNumber, work: BackendWork) {
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
            let others = self.others(id);
            let mut outbox = Outbox::new();
            self.databases[id].send_log(now, &others, &mut outbox);
            self.send_replication(id, outbox);
        }
    }

    /// New work, as opposed to a later statement of a transaction under way, may not
    /// reach a database that has been draining for a while. Proxies that stood still
    /// or could not hear of it meanwhile are left out.
    fn check_drain(&mut self, id: usize, call: UnitCall) {
        let now = self.now();
        let Some(since) = self.checker.draining_since(id) else {
            return;
        };
        let late = now.since(since) > DRAIN_ALLOWANCE;
        let disturbed = self.disturbed_until + DRAIN_ALLOWANCE > since;
        if call.index == 0 && late && !disturbed {
            let detail = format!("database {id} got {call:?} while draining since {since:?}");
            self.checker.violate(now, Invariant::DrainHonoured, detail);
        }
    }

    /// A status question outside of any slot.
    pub(crate) fn control_question(&mut self, proxy: usize, id: usize, question: u64) {
        let now = self.now();
        let zones = (self.databases[id].zone, self.proxies[proxy].zone);
        let joined = self.network.zones_joined(zones.0, zones.1);
        if !joined || !self.databases[id].up {
            return;
        }
        if self.databases[id].is_paused(now) {
            let at = self.databases[id].paused_until;
            let event = Event::ControlQuestion {
                proxy,
                database: id,
                question,
            };
            return self.schedule.at(at, event);
        }
        let status = self.databases[id].status(now, &self.database_names);
        let event = ProxyEvent::ControlAnswer {
            database: id,
            question,
            status,
        };
        let at = now + self.network.latency(zones.0, zones.1);
        self.schedule.at(at, Event::Proxy { proxy, event });
    }

    /// Whether a primary of a later term than `term` lacks the transaction.
    pub(crate) fn replaced_without(&self, group: usize, term: u32, answer: &Answer) -> bool {
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
