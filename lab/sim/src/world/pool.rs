//! The holder's side of leases: drives the shipped slot tables, and relays.

use std::time::Duration;

use hookpoint_coordination::slots::{
    ConnectionNumber as SlotNumber, Lane, OpenFailure, RequestNumber, SlotAction, SlotEvent,
    SlotPolicy, SlotTable, WaitingRequest,
};
use hookpoint_state::{Refusal, SessionId, TenantName, Timestamp, ZoneName};

use super::World;
use super::connection::{Connection, ConnectionState, Lease};
use super::event::{
    BackendAnswer, BackendWork, ConnectionNumber, Event, LeaseCommand, LeaseNumber, LeaseReply,
    ProxyEvent, ProxyIndex,
};
use super::proxy::Pool;
use crate::network::CUT_POLL;
use crate::settings::Mutation;

/// How long a connection may be idle before its holder refreshes it: a third of the
/// database's limit.
const REFRESH_AFTER: Duration = Duration::from_millis(3_300);
/// Silence after which a holder does not trust a connection any more.
const TRUST: Duration = Duration::from_secs(8);

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
            LeaseCommand::Acquire { .. } if self.proxies[holder].bundle.databases.is_empty() => {
                self.refuse_lease(number, Refusal::NoBundle);
            }
            LeaseCommand::Acquire { deadline } => {
                let request = WaitingRequest {
                    number: RequestNumber(number),
                    tenant: TenantName::new("tenant"),
                    zone: ZoneName::new(format!("zone{}", self.proxies[lease.proxy].zone)),
                    session: SessionId(lease.session),
                    deadline,
                    lane: Lane::Work,
                };
                self.slot_event(holder, database, SlotEvent::Request(request));
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
        let (holder, database) = (lease.holder, lease.database);
        let Some(connection) = lease.connection.take() else {
            let event = SlotEvent::Cancelled(RequestNumber(number));
            return self.slot_event(holder, database, event);
        };
        let keep = reusable || self.settings.mutated(Mutation::ReuseOpenTransaction);
        let undrained = self.settings.mutated(Mutation::ReuseUndrained);
        let Some(state) = self.connections.get_mut(&connection) else {
            return;
        };
        if state.state == ConnectionState::Gone {
            return;
        }
        if !keep || state.outstanding == 0 || undrained {
            self.give_back(connection, keep);
        } else {
            state.state = ConnectionState::Draining;
        }
    }

    /// Gives a connection back to its slot table.
    fn give_back(&mut self, number: ConnectionNumber, reusable: bool) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.state = ConnectionState::Idle;
        connection.idle_since = now;
        let (holder, database) = (connection.holder, connection.database);
        let event = SlotEvent::ConnectionReturned {
            connection: connection.slot,
            reusable,
        };
        self.slot_event(holder, database, event);
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

    /// Feeds a slot table and carries out its actions.
    pub(crate) fn slot_event(&mut self, holder: ProxyIndex, database: usize, event: SlotEvent) {
        let now = self.now();
        self.ensure_pool(holder, database);
        let Some(pool) = self.proxies[holder].pools.get_mut(&database) else {
            return;
        };
        let mut actions = Vec::new();
        pool.table.handle(now, event, &mut actions);
        for action in actions {
            self.slot_action(holder, database, action);
        }
        self.plan_slot_timer(holder, database);
    }

    fn ensure_pool(&mut self, holder: ProxyIndex, database: usize) {
        if self.proxies[holder].pools.contains_key(&database) {
            return;
        }
        let name = &self.database_names[database];
        let proxy = &self.proxies[holder];
        let policy = SlotPolicy::from_bundle(&proxy.bundle, name);
        let Some(policy) = policy else {
            return;
        };
        let mut table = SlotTable::new(policy, proxy.node.0 ^ database as u64);
        let mut none = Vec::new();
        let now = self.schedule.now();
        table.handle(now, SlotEvent::Home(proxy.machine.is_home(name)), &mut none);
        if self.is_draining(holder, database) {
            table.handle(now, SlotEvent::Drain, &mut none);
        }
        let pool = Pool {
            table,
            numbers: Default::default(),
            timer_at: None,
        };
        self.proxies[holder].pools.insert(database, pool);
    }

    fn slot_action(&mut self, holder: ProxyIndex, database: usize, action: SlotAction) {
        match action {
            SlotAction::OpenConnection(slot) => self.open(holder, database, slot),
            SlotAction::Grant {
                request,
                connection,
            } => self.grant(holder, database, request.0, connection),
            SlotAction::Refuse { request, refusal } => self.refuse_lease(request.0, refusal),
            SlotAction::CloseConnection(slot) => {
                if let Some(number) = self.number_of(holder, database, slot) {
                    self.close_connection(number);
                }
                self.slot_event(holder, database, SlotEvent::ConnectionClosed(slot));
            }
        }
    }

    fn number_of(
        &self,
        holder: ProxyIndex,
        database: usize,
        slot: SlotNumber,
    ) -> Option<ConnectionNumber> {
        let pool = self.proxies[holder].pools.get(&database)?;
        pool.numbers.get(&slot).copied()
    }

    fn plan_slot_timer(&mut self, holder: ProxyIndex, database: usize) {
        let now = self.now();
        let Some(pool) = self.proxies[holder].pools.get_mut(&database) else {
            return;
        };
        let Some(at) = pool.table.next_timer().map(|at| at.max(now)) else {
            return;
        };
        if pool.timer_at.is_none_or(|planned| at < planned) {
            pool.timer_at = Some(at);
            let event = ProxyEvent::SlotTimer { database };
            self.schedule.at(
                at,
                Event::Proxy {
                    proxy: holder,
                    event,
                },
            );
        }
    }

    pub(crate) fn slot_timer(&mut self, holder: ProxyIndex, database: usize) {
        if let Some(pool) = self.proxies[holder].pools.get_mut(&database) {
            pool.timer_at = None;
            self.slot_event(holder, database, SlotEvent::Timer);
        }
    }

    /// Tells the slot tables of a proxy what a new bundle says.
    pub(crate) fn reconfigure_pools(&mut self, holder: ProxyIndex) {
        let databases: Vec<usize> = self.proxies[holder].pools.keys().copied().collect();
        for database in databases {
            let name = &self.database_names[database];
            let policy = SlotPolicy::from_bundle(&self.proxies[holder].bundle, name);
            if let Some(policy) = policy {
                self.slot_event(holder, database, SlotEvent::PolicyChanged(policy));
            }
            let drain = if self.is_draining(holder, database) {
                SlotEvent::Drain
            } else {
                SlotEvent::Undrain
            };
            self.slot_event(holder, database, drain);
        }
    }

    /// Requests that wait for the databases of a group look for one again.
    pub(crate) fn reroute(&mut self, holder: ProxyIndex, group: usize) {
        for database in self.groups[group].members.clone() {
            if self.proxies[holder].pools.contains_key(&database) {
                self.slot_event(holder, database, SlotEvent::Reroute);
            }
        }
    }

    fn refuse_lease(&mut self, number: LeaseNumber, refusal: Refusal) {
        if let Some(lease) = self.leases.get_mut(&number) {
            lease.closed = true;
            self.reply(number, LeaseReply::Refused(refusal));
        }
    }

    fn open(&mut self, holder: ProxyIndex, database: usize, slot: SlotNumber) {
        self.connection_count += 1;
        let number = self.connection_count;
        let connection = Connection::new(holder, database, slot, self.now());
        self.connections.insert(number, connection);
        if let Some(pool) = self.proxies[holder].pools.get_mut(&database) {
            pool.numbers.insert(slot, number);
        }
        self.send_work(number, BackendWork::Open);
    }

    fn grant(&mut self, holder: ProxyIndex, database: usize, lease: LeaseNumber, slot: SlotNumber) {
        let now = self.now();
        let number = self.number_of(holder, database, slot);
        let connection = number.and_then(|number| self.connections.get_mut(&number));
        let (Some(number), Some(connection)) = (number, connection) else {
            return self.grant_failed(holder, database, lease, slot);
        };
        if now.since(connection.heard_at) >= TRUST {
            self.close_connection(number);
            return self.grant_failed(holder, database, lease, slot);
        }
        connection.state = ConnectionState::Leased(lease);
        match self.leases.get_mut(&lease).filter(|state| !state.closed) {
            Some(state) => state.connection = Some(number),
            None => return self.give_back(number, true),
        }
        self.reply(lease, LeaseReply::Granted);
        if self.settings.mutated(Mutation::DoubleGrant) {
            let event = SlotEvent::ConnectionReturned {
                connection: slot,
                reusable: true,
            };
            self.slot_event(holder, database, event);
        }
    }

    /// The connection cannot be trusted; the request goes to the front of the queue.
    fn grant_failed(
        &mut self,
        holder: ProxyIndex,
        database: usize,
        number: LeaseNumber,
        slot: SlotNumber,
    ) {
        let Some(lease) = self.leases.get(&number) else {
            return self.slot_event(holder, database, SlotEvent::ConnectionClosed(slot));
        };
        let session = self.sessions.get(&lease.session);
        let request = WaitingRequest {
            number: RequestNumber(number),
            tenant: TenantName::new("tenant"),
            zone: ZoneName::new(format!("zone{}", self.proxies[lease.proxy].zone)),
            session: SessionId(lease.session),
            deadline: session.map_or(Timestamp::default(), |session| session.deadline),
            lane: Lane::Work,
        };
        let event = SlotEvent::GrantFailed {
            connection: slot,
            request,
        };
        self.slot_event(holder, database, event);
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
        let pools = &mut self.proxies[connection.holder].pools;
        if let Some(pool) = pools.get_mut(&connection.database) {
            pool.numbers.remove(&connection.slot);
        }
    }

    /// Asks something harmless on connections that have been idle for a while, so that
    /// the database does not close them.
    pub(crate) fn refresh_idle(&mut self, holder: ProxyIndex) {
        let now = self.now();
        let numbers = self.proxies[holder]
            .pools
            .values()
            .flat_map(|pool| pool.numbers.values());
        let connections = &self.connections;
        let stale = numbers.filter(|number| {
            connections.get(number).is_some_and(|connection| {
                connection.state == ConnectionState::Idle
                    && connection.refreshes == 0
                    && now.since(connection.heard_at) >= REFRESH_AFTER
            })
        });
        let stale: Vec<ConnectionNumber> = stale.copied().collect();
        for number in stale {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.refreshes += 1;
            }
            self.send_work(number, BackendWork::Status);
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
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let (holder, database) = (connection.holder, connection.database);
        let slot = connection.slot;
        connection.heard_at = now;
        match answer {
            BackendAnswer::Opened if connection.state == ConnectionState::Opening => {
                connection.state = ConnectionState::Idle;
                connection.idle_since = now;
                let event = SlotEvent::ConnectionOpened(slot);
                self.slot_event(holder, database, event);
            }
            BackendAnswer::Opened => {}
            BackendAnswer::NoSlot => {
                connection.state = ConnectionState::Gone;
                self.forget(number);
                self.connections.remove(&number);
                self.open_failed(holder, database, slot, OpenFailure::SlotsTaken);
            }
            BackendAnswer::Closed => self.break_for_holder(number),
            BackendAnswer::Status(_) if connection.refreshes > 0 => {
                connection.refreshes -= 1;
                connection.outstanding = connection.outstanding.saturating_sub(1);
            }
            BackendAnswer::Status(_) | BackendAnswer::Unit(_) => {
                connection.outstanding = connection.outstanding.saturating_sub(1);
                let drained = connection.outstanding == 0;
                match connection.state {
                    ConnectionState::Leased(lease) => self.reply(lease, LeaseReply::Answer(answer)),
                    ConnectionState::Draining if drained => self.give_back(number, true),
                    _ => {}
                }
            }
        }
    }

    fn open_failed(
        &mut self,
        holder: ProxyIndex,
        database: usize,
        connection: SlotNumber,
        failure: OpenFailure,
    ) {
        let event = SlotEvent::ConnectionFailed {
            connection,
            failure,
        };
        self.slot_event(holder, database, event);
    }

    /// The connection is gone as far as its holder can tell.
    pub(crate) fn break_for_holder(&mut self, number: ConnectionNumber) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let (holder, database) = (connection.holder, connection.database);
        let slot = connection.slot;
        let state = std::mem::replace(&mut connection.state, ConnectionState::Gone);
        self.forget(number);
        if let ConnectionState::Leased(lease) = state {
            if let Some(state) = self.leases.get_mut(&lease) {
                state.connection = None;
                state.closed = true;
            }
            self.reply(lease, LeaseReply::Lost);
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
        match state {
            ConnectionState::Gone => {}
            ConnectionState::Opening => {
                self.open_failed(holder, database, slot, OpenFailure::Unreachable);
            }
            _ => self.slot_event(holder, database, SlotEvent::ConnectionClosed(slot)),
        }
    }
}
