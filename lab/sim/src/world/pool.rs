//! The holder's side of leases: drives the production slot tables and relays messages between
//! leases and connections.

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
use crate::network::PARTITION_POLL_INTERVAL;
use crate::settings::Mutation;

/// Idle time after which the holder refreshes a connection: a third of the database's idle
/// limit.
const REFRESH_AFTER: Duration = Duration::from_millis(3_300);
/// Time without an answer after which a holder no longer grants a connection.
const MAX_SILENCE: Duration = Duration::from_secs(8);

impl World {
    /// Sends a command from the session's proxy to the holder.
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
        if let Some(at) = lease.commands.push(at, command) {
            self.schedule.at(at, Event::LeaseCommands(number));
        }
    }

    /// Sends a reply from the holder to the session's proxy.
    pub(crate) fn send_reply(&mut self, number: LeaseNumber, reply: LeaseReply) {
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
        if let Some(at) = lease.replies.push(at, reply) {
            self.schedule.at(at, Event::LeaseReplies(number));
        }
    }

    fn lease_connected(&self, lease: &Lease) -> bool {
        let zones = (
            self.proxies[lease.proxy].zone,
            self.proxies[lease.holder].zone,
        );
        self.network.zones_connected(zones.0, zones.1)
    }

    pub(crate) fn lease_commands(&mut self, number: LeaseNumber) {
        let now = self.now();
        let Some(connected) = self
            .leases
            .get(&number)
            .map(|lease| self.lease_connected(lease))
        else {
            return;
        };
        let Some(lease) = self.leases.get_mut(&number) else {
            return;
        };
        lease.commands.read_scheduled = false;
        let holder = lease.holder;
        if !self.proxies[holder].up {
            return self.break_lease(number);
        }
        if !connected {
            if lease.commands.blocked_too_long(now) {
                return self.break_lease(number);
            }
            return self.wake_lease_commands(number, now + PARTITION_POLL_INTERVAL);
        }
        if self.proxies[holder].is_paused(now) {
            let at = self.proxies[holder].paused_until;
            return self.wake_lease_commands(number, at);
        }
        while let Some(command) = self
            .leases
            .get_mut(&number)
            .and_then(|lease| lease.commands.pop(now))
        {
            self.handle_lease_command(number, command);
        }
        let next = self
            .leases
            .get(&number)
            .and_then(|lease| lease.commands.next_at());
        if let Some(at) = next {
            self.wake_lease_commands(number, at);
        }
    }

    fn wake_lease_commands(&mut self, number: LeaseNumber, at: Timestamp) {
        if let Some(lease) = self.leases.get_mut(&number)
            && !std::mem::replace(&mut lease.commands.read_scheduled, true)
        {
            self.schedule.at(at, Event::LeaseCommands(number));
        }
    }

    fn handle_lease_command(&mut self, number: LeaseNumber, command: LeaseCommand) {
        let Some(lease) = self.leases.get_mut(&number) else {
            return;
        };
        let (holder, database) = (lease.holder, lease.database);
        match command {
            LeaseCommand::Acquire { .. } if self.proxies[holder].stopping => {
                lease.closed = true;
                self.send_reply(number, LeaseReply::Moved);
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
            LeaseCommand::Release { reusable } => self.handle_release(number, reusable),
        }
    }

    /// Handles the release of a lease: cancels a pending request, or returns the connection to
    /// its slot table once its outstanding answers have arrived.
    fn handle_release(&mut self, number: LeaseNumber, reusable: bool) {
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
        let reuse_early = self.settings.mutated(Mutation::ReuseUndrained);
        let Some(state) = self.connections.get_mut(&connection) else {
            return;
        };
        if state.state == ConnectionState::Closed {
            return;
        }
        if !keep || state.outstanding == 0 || reuse_early {
            self.return_connection(connection, keep);
        } else {
            state.state = ConnectionState::AwaitingAnswers;
        }
    }

    /// Returns a connection to its slot table.
    fn return_connection(&mut self, number: ConnectionNumber, reusable: bool) {
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

    /// Sends a command to the database on a connection.
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

    /// Passes an event to a slot table and performs its actions.
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
        self.schedule_slot_timer(holder, database);
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
        let mut ignored_actions = Vec::new();
        let now = self.schedule.now();
        table.handle(
            now,
            SlotEvent::Home(proxy.machine.is_home(name)),
            &mut ignored_actions,
        );
        if self.is_draining(holder, database) {
            table.handle(now, SlotEvent::Drain, &mut ignored_actions);
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
            SlotAction::OpenConnection(slot) => self.start_connection(holder, database, slot),
            SlotAction::Grant {
                request,
                connection,
            } => self.grant(holder, database, request.0, connection),
            SlotAction::Refuse { request, refusal } => self.refuse_lease(request.0, refusal),
            SlotAction::CloseConnection(slot) => {
                if let Some(number) = self.connection_number(holder, database, slot) {
                    self.close_connection(number);
                }
                self.slot_event(holder, database, SlotEvent::ConnectionClosed(slot));
            }
        }
    }

    fn connection_number(
        &self,
        holder: ProxyIndex,
        database: usize,
        slot: SlotNumber,
    ) -> Option<ConnectionNumber> {
        let pool = self.proxies[holder].pools.get(&database)?;
        pool.numbers.get(&slot).copied()
    }

    fn schedule_slot_timer(&mut self, holder: ProxyIndex, database: usize) {
        let now = self.now();
        let Some(pool) = self.proxies[holder].pools.get_mut(&database) else {
            return;
        };
        let Some(at) = pool.table.next_timer().map(|at| at.max(now)) else {
            return;
        };
        if pool.timer_at.is_none_or(|scheduled| at < scheduled) {
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

    /// Applies the policies and drain marks of a new bundle to a proxy's slot tables.
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

    /// Reroutes the requests that wait for connections to the databases of a group.
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
            self.send_reply(number, LeaseReply::Refused(refusal));
        }
    }

    fn start_connection(&mut self, holder: ProxyIndex, database: usize, slot: SlotNumber) {
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
        let number = self.connection_number(holder, database, slot);
        let connection = number.and_then(|number| self.connections.get_mut(&number));
        let (Some(number), Some(connection)) = (number, connection) else {
            return self.grant_failed(holder, database, lease, slot);
        };
        if now.since(connection.last_answer_at) >= MAX_SILENCE {
            self.close_connection(number);
            return self.grant_failed(holder, database, lease, slot);
        }
        connection.state = ConnectionState::Leased(lease);
        match self.leases.get_mut(&lease).filter(|state| !state.closed) {
            Some(state) => state.connection = Some(number),
            None => return self.return_connection(number, true),
        }
        self.send_reply(lease, LeaseReply::Granted);
        if self.settings.mutated(Mutation::DoubleGrant) {
            let event = SlotEvent::ConnectionReturned {
                connection: slot,
                reusable: true,
            };
            self.slot_event(holder, database, event);
        }
    }

    /// Reports to the slot table that a granted connection is unusable; the request goes to the
    /// front of the queue.
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
        connection.state = ConnectionState::Closed;
        self.remove_from_pool(number);
        self.send_work(number, BackendWork::Close);
    }

    fn remove_from_pool(&mut self, number: ConnectionNumber) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        let pools = &mut self.proxies[connection.holder].pools;
        if let Some(pool) = pools.get_mut(&connection.database) {
            pool.numbers.remove(&connection.slot);
        }
    }

    /// Sends a status query on connections that have been idle for [`REFRESH_AFTER`], so that
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
                    && now.since(connection.last_answer_at) >= REFRESH_AFTER
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
        connection.answers.read_scheduled = false;
        let holder = &self.proxies[connection.holder];
        if !holder.up || connection.state == ConnectionState::Closed {
            connection.answers.clear();
            if !connection.open {
                self.connections.remove(&number);
            }
            return;
        }
        let connected = self
            .network
            .zones_connected(holder.zone, self.databases[connection.database].zone);
        if !connected {
            if connection.answers.blocked_too_long(now) {
                return self.handle_connection_loss(number);
            }
            return self.wake_answers(number, now + PARTITION_POLL_INTERVAL);
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
            self.handle_answer(number, answer);
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
            && !std::mem::replace(&mut connection.answers.read_scheduled, true)
        {
            self.schedule.at(at, Event::ConnectionAnswers(number));
        }
    }

    fn handle_answer(&mut self, number: ConnectionNumber, answer: BackendAnswer) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let (holder, database) = (connection.holder, connection.database);
        let slot = connection.slot;
        connection.last_answer_at = now;
        match answer {
            BackendAnswer::Opened if connection.state == ConnectionState::Opening => {
                connection.state = ConnectionState::Idle;
                connection.idle_since = now;
                let event = SlotEvent::ConnectionOpened(slot);
                self.slot_event(holder, database, event);
            }
            BackendAnswer::Opened => {}
            BackendAnswer::NoSlot => {
                connection.state = ConnectionState::Closed;
                self.remove_from_pool(number);
                self.connections.remove(&number);
                self.open_failed(holder, database, slot, OpenFailure::SlotsTaken);
            }
            BackendAnswer::Closed => self.handle_connection_loss(number),
            BackendAnswer::Status(_) if connection.refreshes > 0 => {
                connection.refreshes -= 1;
                connection.outstanding = connection.outstanding.saturating_sub(1);
            }
            BackendAnswer::Status(_) | BackendAnswer::Unit(_) => {
                connection.outstanding = connection.outstanding.saturating_sub(1);
                let all_answered = connection.outstanding == 0;
                match connection.state {
                    ConnectionState::Leased(lease) => {
                        self.send_reply(lease, LeaseReply::Answer(answer))
                    }
                    ConnectionState::AwaitingAnswers if all_answered => {
                        self.return_connection(number, true)
                    }
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

    /// Handles the loss of a connection on its holder's side.
    pub(crate) fn handle_connection_loss(&mut self, number: ConnectionNumber) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let (holder, database) = (connection.holder, connection.database);
        let slot = connection.slot;
        let state = std::mem::replace(&mut connection.state, ConnectionState::Closed);
        self.remove_from_pool(number);
        if let ConnectionState::Leased(lease) = state {
            if let Some(state) = self.leases.get_mut(&lease) {
                state.connection = None;
                state.closed = true;
            }
            self.send_reply(lease, LeaseReply::Lost);
        }
        match self
            .connections
            .get(&number)
            .map(|connection| connection.open)
        {
            Some(false) => drop(self.connections.remove(&number)),
            Some(true) if state != ConnectionState::Closed => {
                self.send_work(number, BackendWork::Close);
            }
            _ => {}
        }
        match state {
            ConnectionState::Closed => {}
            ConnectionState::Opening => {
                self.open_failed(holder, database, slot, OpenFailure::Unreachable);
            }
            _ => self.slot_event(holder, database, SlotEvent::ConnectionClosed(slot)),
        }
    }
}
