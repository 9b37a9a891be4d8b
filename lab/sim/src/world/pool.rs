//! The holder's side of leases: queues, connections, relaying.

use std::time::Duration;

use hookpoint_state::{Refusal, Timestamp};

use super::World;
use super::connection::{Connection, ConnectionState, Lease};
use super::event::{
    BackendAnswer, BackendWork, ConnectionNumber, Event, LeaseCommand, LeaseNumber, LeaseReply,
    ProxyEvent, ProxyIndex,
};
use crate::network::CUT_POLL;
use crate::settings::Mutation;

/// Time between two looks at the queues.
const POOL_TICK: Duration = Duration::from_millis(25);
/// Pause after the database had no free slot.
const NO_SLOT_PAUSE: Duration = Duration::from_millis(50);
/// How long a holder keeps an idle connection; well below the database's own limit, so
/// that a holder never uses one that the database is about to close.
const HOLDER_IDLE_LIMIT: Duration = Duration::from_secs(2);

impl World {
    /// Sends a command over a lease.
    pub(crate) fn send_command(&mut self, number: LeaseNumber, command: LeaseCommand) {
        let Some(lease) = self.leases.get_mut(&number) else {
            return;
        };
        let zones = (
            self.proxies[lease.proxy].zone,
            self.proxies[lease.holder].zone,
        );
        let latency = if lease.proxy == lease.holder {
            Duration::ZERO
        } else {
            self.network.latency(zones.0, zones.1)
        };
        let at = self.schedule.now() + latency;
        if let Some(at) = lease.up.push(at, command) {
            self.schedule.at(at, Event::LeaseCommands(number));
        }
    }

    pub(crate) fn reply(&mut self, number: LeaseNumber, reply: LeaseReply) {
        let Some(lease) = self.leases.get_mut(&number) else {
            return;
        };
        let zones = (
            self.proxies[lease.proxy].zone,
            self.proxies[lease.holder].zone,
        );
        let latency = if lease.proxy == lease.holder {
            Duration::ZERO
        } else {
            self.network.latency(zones.0, zones.1)
        };
        let at = self.schedule.now() + latency;
        if let Some(at) = lease.down.push(at, reply) {
            self.schedule.at(at, Event::LeaseReplies(number));
        }
    }

    fn lease_joined(&self, lease: &Lease) -> bool {
        let zones = (
            self.proxies[lease.proxy].zone,
            self.proxies[lease.holder].zone,
        );
        self.network.zones_joined(zones.0, zones.1)
    }

    pub(crate) fn lease_commands(&mut self, number: LeaseNumber) {
        let now = self.now();
        let Some(joined) = self
            .leases
            .get(&number)
            .map(|lease| self.lease_joined(lease))
        else {
            return;
        };
        let Some(lease) = self.leases.get_mut(&number) else {
            return;
        };
        lease.up.awake = false;
        let holder = lease.holder;
        if !self.proxies[holder].up {
            return self.break_lease(number);
        }
        if !joined {
            if lease.up.blocked(now) {
                return self.break_lease(number);
            }
            return self.wake_lease_commands(number, now + CUT_POLL);
        }
        if self.proxies[holder].is_paused(now) {
            let at = self.proxies[holder].paused_until;
            return self.wake_lease_commands(number, at);
        }
        while let Some(command) = self
            .leases
            .get_mut(&number)
            .and_then(|lease| lease.up.pop(now))
        {
            self.take_command(number, command);
        }
        let next = self
            .leases
            .get(&number)
            .and_then(|lease| lease.up.next_at());
        if let Some(at) = next {
            self.wake_lease_commands(number, at);
        }
    }

    fn wake_lease_commands(&mut self, number: LeaseNumber, at: Timestamp) {
        if let Some(lease) = self.leases.get_mut(&number)
            && !std::mem::replace(&mut lease.up.awake, true)
        {
            self.schedule.at(at, Event::LeaseCommands(number));
        }
    }

    fn take_command(&mut self, number: LeaseNumber, command: LeaseCommand) {
        let Some(lease) = self.leases.get_mut(&number) else {
            return;
        };
        let (holder, database) = (lease.holder, lease.database);
        match command {
            LeaseCommand::Acquire { .. } if self.proxies[holder].stopping => {
                lease.closed = true;
                self.reply(number, LeaseReply::Moved);
            }
            LeaseCommand::Acquire { deadline } => {
                let pool = self.proxies[holder].pools.entry(database).or_default();
                pool.waiting.push_back((number, deadline));
                self.pump(holder, database);
            }
            LeaseCommand::Work(work) => {
                if let Some(connection) = lease.connection {
                    self.send_work(connection, work);
                }
            }
            LeaseCommand::Release { reusable } => self.released(number, reusable),
        }
    }

    /// The session has given its lease back.
    fn released(&mut self, number: LeaseNumber, reusable: bool) {
        let Some(lease) = self.leases.get_mut(&number) else {
            return;
        };
        lease.closed = true;
        let Some(connection) = lease.connection.take() else {
            return;
        };
        let keep = reusable || self.settings.mutated(Mutation::ReuseOpenTransaction);
        if !keep {
            return self.close_connection(connection);
        }
        let undrained = self.settings.mutated(Mutation::ReuseUndrained);
        let Some(state) = self.connections.get_mut(&connection) else {
            return;
        };
        if state.state == ConnectionState::Gone {
            return;
        }
        if state.outstanding == 0 || undrained {
            self.make_idle(connection);
        } else {
            state.state = ConnectionState::Draining;
        }
    }

    /// Sends work on a connection.
    pub(crate) fn send_work(&mut self, number: ConnectionNumber, work: BackendWork) {
        let now = self.schedule.now();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if matches!(work, BackendWork::Status | BackendWork::Unit(_)) {
            connection.outstanding += 1;
        }
        let zones = (
            self.proxies[connection.holder].zone,
            self.databases[connection.database].zone,
        );
        let at = now + self.network.latency(zones.0, zones.1);
        if let Some(at) = connection.commands.push(at, work) {
            self.schedule.at(at, Event::ConnectionCommands(number));
        }
    }

    /// Grants connections to those who wait, and opens new ones for them.
    pub(crate) fn pump(&mut self, holder: ProxyIndex, database: usize) {
        let now = self.now();
        self.expire_waiting(holder, database);
        loop {
            let pool = self.proxies[holder].pools.entry(database).or_default();
            let Some((lease, _)) = pool.waiting.front().copied() else {
                return;
            };
            let Some(connection) = pool.idle.pop() else {
                break;
            };
            pool.waiting.pop_front();
            if self.settings.mutated(Mutation::DoubleGrant) {
                pool.idle.push(connection);
            }
            self.grant(lease, connection);
        }
        let pool = self.proxies[holder].pools.entry(database).or_default();
        let opening = pool
            .all
            .iter()
            .filter(|number| {
                let connection = self.connections.get(number);
                connection.is_some_and(|c| c.state == ConnectionState::Opening)
            })
            .count();
        let room = self.databases[database]
            .slots
            .saturating_sub(pool.all.len());
        let wanted = pool.waiting.len().saturating_sub(opening).min(room);
        if now >= pool.open_after {
            for _ in 0..wanted {
                self.open(holder, database);
            }
        }
        self.plan_pool_tick(holder);
    }

    fn plan_pool_tick(&mut self, holder: ProxyIndex) {
        if !std::mem::replace(&mut self.proxies[holder].pool_tick, true) {
            let event = ProxyEvent::PoolTick;
            let at = self.now() + POOL_TICK;
            self.schedule.at(
                at,
                Event::Proxy {
                    proxy: holder,
                    event,
                },
            );
        }
    }

    pub(crate) fn pool_tick(&mut self, holder: ProxyIndex) {
        self.proxies[holder].pool_tick = false;
        let databases: Vec<usize> = self.proxies[holder].pools.keys().copied().collect();
        for database in databases {
            self.pump(holder, database);
        }
    }

    /// Refuses those who have waited too long, or whose database takes no new work.
    fn expire_waiting(&mut self, holder: ProxyIndex, database: usize) {
        let now = self.now();
        let draining = self.is_draining(holder, database);
        let Some(pool) = self.proxies[holder].pools.get_mut(&database) else {
            return;
        };
        let mut ended = Vec::new();
        let leases = &self.leases;
        pool.waiting.retain(|(number, deadline)| {
            let gone = leases.get(number).is_none_or(|lease| lease.closed);
            let late = now >= *deadline;
            if !gone && (late || draining) {
                ended.push((*number, late));
            }
            !(gone || late || draining)
        });
        for (number, late) in ended {
            let refusal = if late {
                Refusal::WaitDeadline
            } else {
                Refusal::NoDatabase
            };
            self.refuse_lease(number, refusal);
        }
    }

    fn refuse_lease(&mut self, number: LeaseNumber, refusal: Refusal) {
        if let Some(lease) = self.leases.get_mut(&number) {
            lease.closed = true;
            self.reply(number, LeaseReply::Refused(refusal));
        }
    }

    fn open(&mut self, holder: ProxyIndex, database: usize) {
        self.connection_count += 1;
        let number = self.connection_count;
        let connection = Connection::new(holder, database, self.now());
        self.connections.insert(number, connection);
        let pool = self.proxies[holder].pools.entry(database).or_default();
        pool.all.insert(number);
        self.send_work(number, BackendWork::Open);
    }

    fn grant(&mut self, lease: LeaseNumber, number: ConnectionNumber) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.state = ConnectionState::Leased(lease);
        }
        if let Some(state) = self.leases.get_mut(&lease) {
            state.connection = Some(number);
        }
        self.reply(lease, LeaseReply::Granted);
    }

    /// Takes a connection back into the pool, or gives it up when this node is no
    /// longer home of the database.
    fn make_idle(&mut self, number: ConnectionNumber) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let (holder, database) = (connection.holder, connection.database);
        connection.state = ConnectionState::Idle;
        connection.idle_since = now;
        let name = &self.database_names[database];
        let proxy = &mut self.proxies[holder];
        let wanted = proxy
            .pools
            .get(&database)
            .is_some_and(|pool| !pool.waiting.is_empty());
        if !wanted && (proxy.stopping || !proxy.machine.is_home(name)) {
            return self.close_connection(number);
        }
        proxy.pools.entry(database).or_default().idle.push(number);
        self.pump(holder, database);
    }

    /// Closes a connection from the holder's side.
    pub(crate) fn close_connection(&mut self, number: ConnectionNumber) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.state = ConnectionState::Gone;
        self.forget(number);
        self.send_work(number, BackendWork::Close);
    }

    fn forget(&mut self, number: ConnectionNumber) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        if let Some(pool) = self.proxies[connection.holder]
            .pools
            .get_mut(&connection.database)
        {
            pool.all.remove(&number);
            pool.idle.retain(|idle| *idle != number);
        }
    }

    /// Closes idle connections that were not used for a while.
    pub(crate) fn close_unused(&mut self, holder: ProxyIndex) {
        let now = self.now();
        let mut unused = Vec::new();
        for (database, pool) in &self.proxies[holder].pools {
            let home = self.proxies[holder]
                .machine
                .is_home(&self.database_names[*database]);
            let old = |number: &&ConnectionNumber| {
                let connection = self.connections.get(number);
                !home || connection.is_none_or(|c| now.since(c.idle_since) >= HOLDER_IDLE_LIMIT)
            };
            unused.extend(pool.idle.iter().filter(old).copied());
        }
        for number in unused {
            self.close_connection(number);
        }
    }

    pub(crate) fn connection_answers(&mut self, number: ConnectionNumber) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.answers.awake = false;
        let holder = &self.proxies[connection.holder];
        if !holder.up || connection.state == ConnectionState::Gone {
            connection.answers.clear();
            if !connection.open {
                self.connections.remove(&number);
            }
            return;
        }
        let joined = self
            .network
            .zones_joined(holder.zone, self.databases[connection.database].zone);
        if !joined {
            if connection.answers.blocked(now) {
                return self.break_for_holder(number);
            }
            return self.wake_answers(number, now + CUT_POLL);
        }
        if holder.is_paused(now) {
            let at = holder.paused_until;
            return self.wake_answers(number, at);
        }
        while let Some(answer) = self
            .connections
            .get_mut(&number)
            .and_then(|c| c.answers.pop(now))
        {
            self.take_answer(number, answer);
        }
        let next = self
            .connections
            .get(&number)
            .and_then(|c| c.answers.next_at());
        if let Some(at) = next {
            self.wake_answers(number, at);
        }
    }

    fn wake_answers(&mut self, number: ConnectionNumber, at: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&number)
            && !std::mem::replace(&mut connection.answers.awake, true)
        {
            self.schedule.at(at, Event::ConnectionAnswers(number));
        }
    }

    fn take_answer(&mut self, number: ConnectionNumber, answer: BackendAnswer) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let (holder, database) = (connection.holder, connection.database);
        match answer {
            BackendAnswer::Opened if connection.state == ConnectionState::Opening => {
                self.make_idle(number);
            }
            BackendAnswer::Opened => {}
            BackendAnswer::NoSlot => {
                connection.state = ConnectionState::Gone;
                self.forget(number);
                self.connections.remove(&number);
                let now = self.now();
                let pool = self.proxies[holder].pools.entry(database).or_default();
                pool.open_after = now + NO_SLOT_PAUSE;
                self.plan_pool_tick(holder);
            }
            BackendAnswer::Closed => self.break_for_holder(number),
            BackendAnswer::Status(_) | BackendAnswer::Unit(_) => {
                connection.outstanding = connection.outstanding.saturating_sub(1);
                let drained = connection.outstanding == 0;
                match connection.state {
                    ConnectionState::Leased(lease) => self.reply(lease, LeaseReply::Answer(answer)),
                    ConnectionState::Draining if drained => self.make_idle(number),
                    _ => {}
                }
            }
        }
    }

    /// The connection is gone as far as its holder can tell.
    pub(crate) fn break_for_holder(&mut self, number: ConnectionNumber) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let (holder, database) = (connection.holder, connection.database);
        let state = std::mem::replace(&mut connection.state, ConnectionState::Gone);
        self.forget(number);
        match state {
            ConnectionState::Leased(lease) => {
                if let Some(state) = self.leases.get_mut(&lease) {
                    state.connection = None;
                    state.closed = true;
                }
                self.reply(lease, LeaseReply::Lost);
            }
            ConnectionState::Opening => self.refuse_waiting(holder, database),
            _ => {}
        }
        match self
            .connections
            .get(&number)
            .map(|connection| connection.open)
        {
            Some(false) => drop(self.connections.remove(&number)),
            Some(true) if state != ConnectionState::Gone => {
                self.send_work(number, BackendWork::Close);
            }
            _ => {}
        }
        if state != ConnectionState::Gone {
            self.pump(holder, database);
        }
    }

    /// The database cannot be reached: whoever waits for it asks elsewhere.
    fn refuse_waiting(&mut self, holder: ProxyIndex, database: usize) {
        let now = self.now();
        let Some(pool) = self.proxies[holder].pools.get_mut(&database) else {
            return;
        };
        pool.open_after = now + NO_SLOT_PAUSE;
        for (lease, _) in std::mem::take(&mut pool.waiting) {
            self.refuse_lease(lease, Refusal::NoDatabase);
        }
    }
}
