//! Start and end of faults, and the death, planned stop and replacement of proxies.

use std::time::Duration;

use hookpoint_coordination::node::NodeEvent;
use rand::Rng as _;

use super::World;
use super::connection::ConnectionState;
use super::event::{
    BackendWork, ClientMessage, ConnectionNumber, Event, LeaseCommand, LeaseNumber, LeaseReply,
    ProxyIndex, SessionNumber,
};
use crate::database::{DEFAULT_REPLAY_LAG, ElectionState};
use crate::faults::{Fault, FaultKind};
use crate::report::Invariant;
use crate::settings::Mutation;

impl World {
    pub(crate) fn fault_starts(&mut self, index: usize) {
        let now = self.now();
        let fault = self.faults[index];
        let lasts = Duration::from_millis(fault.lasts_ms);
        if fault.kind.may_delay_bundles() {
            self.bundles_delayed_until = self.bundles_delayed_until.max(now + lasts);
        }
        let target = self.inject_fault(fault, now + lasts);
        self.fault_targets[index] = target;
        self.schedule.at(now + lasts, Event::FaultEnds(index));
    }

    fn inject_fault(&mut self, fault: Fault, until: hookpoint_state::Timestamp) -> Option<usize> {
        let now = self.now();
        match fault.kind {
            FaultKind::KillPrimary { group } => {
                let id = self.primary_of(group)?;
                self.kill_database(id);
                Some(id)
            }
            FaultKind::PausePrimary { group } => {
                let id = self.primary_of(group)?;
                self.databases[id].paused_until = until;
                Some(id)
            }
            FaultKind::IsolatePrimary { group } => {
                let id = self.primary_of(group)?;
                self.network.isolate(id);
                Some(id)
            }
            FaultKind::Switchover { group } => {
                let id = self.primary_of(group)?;
                self.databases[id].step_down(now);
                self.close_all(id);
                Some(id)
            }
            FaultKind::KillDatabase { database } => {
                self.kill_database(database);
                Some(database)
            }
            FaultKind::Lag { database, lag_ms } => {
                self.databases[database].lag = Duration::from_millis(lag_ms);
                Some(database)
            }
            FaultKind::CutZone { zone } => {
                self.network.partition_zone(zone);
                Some(zone)
            }
            FaultKind::KillProxy { place } => {
                let proxy = self.places[place];
                self.kill_proxy(proxy);
                Some(place)
            }
            FaultKind::PauseProxy { place } => {
                self.proxies[self.places[place]].paused_until = until;
                Some(place)
            }
            FaultKind::StopProxy { place } => {
                let proxy = self.places[place];
                self.stop_proxy(proxy);
                Some(place)
            }
            FaultKind::Drain { database } => self.drain(database),
            FaultKind::PlatformOutage => {
                self.platform.set_outage_until(until);
                None
            }
            FaultKind::PlatformOldAnswers => {
                self.platform.serve_stale_until(until);
                None
            }
            FaultKind::DropClients { one_of } => {
                self.drop_clients(one_of);
                None
            }
        }
    }

    pub(crate) fn fault_ends(&mut self, index: usize) {
        let Some(target) = self.fault_targets[index] else {
            return;
        };
        match self.faults[index].kind {
            FaultKind::KillPrimary { .. } | FaultKind::KillDatabase { .. } => {
                let now = self.now();
                let database = &mut self.databases[target];
                database.up = true;
                database.election_timer_start = now;
            }
            FaultKind::IsolatePrimary { .. } => self.network.rejoin(target),
            FaultKind::Lag { .. } => self.databases[target].lag = DEFAULT_REPLAY_LAG,
            FaultKind::CutZone { .. } => self.network.heal_zone(target),
            FaultKind::KillProxy { place } | FaultKind::StopProxy { place } => {
                self.replace_proxy(place);
            }
            FaultKind::Drain { .. } => {
                let now = self.now();
                self.draining.remove(&target);
                self.checker.set_draining(now, target, false);
                self.roll_out_bundle();
            }
            _ => {}
        }
    }

    pub(crate) fn primary_of(&self, group: usize) -> Option<usize> {
        let now = self.now();
        let members = self.groups[group].members.iter().copied();
        members
            .filter(|id| self.databases[*id].is_primary() && self.databases[*id].is_responsive(now))
            .max_by_key(|id| self.databases[*id].timeline)
    }

    fn kill_database(&mut self, id: usize) {
        self.databases[id].up = false;
        self.databases[id].election_state = ElectionState::Replica;
        self.close_all(id);
    }

    /// Drains a database, unless another member of its group is draining. A primary also steps
    /// down. Returns the database if it drains now.
    fn drain(&mut self, database: usize) -> Option<usize> {
        let now = self.now();
        let group = self.databases[database].group;
        let members = &self.groups[group].members;
        if members.iter().any(|member| self.draining.contains(member)) {
            return None;
        }
        self.draining.insert(database);
        self.checker.set_draining(now, database, true);
        self.roll_out_bundle();
        if self.databases[database].is_primary() {
            self.databases[database].step_down(now);
            self.close_all(database);
        }
        Some(database)
    }

    fn drop_clients(&mut self, one_of: u64) {
        for client in 0..self.clients.len() {
            if self.random.random_range(0..one_of) == 0 {
                self.leave_session(client);
                if self.clients[client].request.is_some() {
                    self.end_request(client, false);
                }
            }
        }
    }

    /// Ends a proxy's process abruptly.
    pub(crate) fn kill_proxy(&mut self, proxy: ProxyIndex) {
        if !self.proxies[proxy].up {
            return;
        }
        self.proxies[proxy].up = false;
        let sessions: Vec<SessionNumber> = self.proxies[proxy].sessions.iter().copied().collect();
        for session in sessions {
            self.send_to_client(session, ClientMessage::ConnectionBroken);
            self.sessions.remove(&session);
        }
        self.proxies[proxy].sessions.clear();
        self.end_leases(proxy);
        self.end_connections(proxy);
    }

    /// Ends the leases of a dead proxy for the proxies at their other ends.
    fn end_leases(&mut self, proxy: ProxyIndex) {
        let touched = |(number, lease): (&LeaseNumber, &super::connection::Lease)| {
            (lease.proxy == proxy || lease.holder == proxy).then_some(*number)
        };
        let leases: Vec<LeaseNumber> = self.leases.iter().filter_map(touched).collect();
        for number in leases {
            let Some(lease) = self.leases.get(&number) else {
                continue;
            };
            let (ends, granted) = ((lease.proxy, lease.holder), lease.connection.is_some());
            if ends.0 == ends.1 {
                self.leases.remove(&number);
            } else if ends.0 == proxy {
                self.send_command(number, LeaseCommand::Release { reusable: false });
            } else {
                let reply = if granted {
                    LeaseReply::Lost
                } else {
                    LeaseReply::Moved
                };
                self.send_reply(number, reply);
            }
        }
    }

    fn end_connections(&mut self, proxy: ProxyIndex) {
        let held = |(number, connection): (&ConnectionNumber, &super::connection::Connection)| {
            (connection.holder == proxy).then_some(*number)
        };
        let connections: Vec<ConnectionNumber> = self.connections.iter().filter_map(held).collect();
        for number in connections {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.state = ConnectionState::Closed;
            }
            self.send_work(number, BackendWork::Close);
        }
        self.proxies[proxy].pools.clear();
    }

    /// Starts the planned stop of a proxy.
    fn stop_proxy(&mut self, proxy: ProxyIndex) {
        if !self.proxies[proxy].up || self.proxies[proxy].stopping {
            return;
        }
        self.proxies[proxy].stopping = true;
        self.node_event(proxy, NodeEvent::StopRequested);
        let sessions: Vec<SessionNumber> = self.proxies[proxy].sessions.iter().copied().collect();
        for session in sessions {
            let idle = self
                .sessions
                .get(&session)
                .is_some_and(|s| s.machine.is_none());
            if idle {
                self.close_session(session);
            }
        }
        if self.settings.mutated(Mutation::CutOnStop) {
            self.exit(proxy);
        }
    }

    /// Ends a stopping proxy's process once no request and no lease is in flight on it.
    pub(crate) fn exit_if_idle(&mut self, proxy: ProxyIndex) {
        let busy = self.proxies[proxy].sessions.iter().any(|number| {
            self.sessions
                .get(number)
                .is_some_and(|session| session.machine.is_some())
        });
        let holds = self
            .leases
            .values()
            .any(|lease| lease.holder == proxy && !lease.closed);
        if self.proxies[proxy].stopping && self.proxies[proxy].up && !busy && !holds {
            self.exit(proxy);
        }
    }

    fn exit(&mut self, proxy: ProxyIndex) {
        let now = self.now();
        let interrupted = self
            .sessions
            .values()
            .find(|session| session.proxy == proxy && session.machine.is_some());
        if let Some(session) = interrupted {
            let detail = format!(
                "a planned stop interrupted the request of client {}",
                session.client
            );
            self.checker
                .add_violation(now, Invariant::StopCutsNothing, detail);
        }
        let leased = self.leases.values().any(|lease| {
            lease.holder == proxy && !lease.closed && !lease.released && lease.connection.is_some()
        });
        if leased {
            let detail = format!("proxy {proxy} stopped while it held a lease");
            self.checker
                .add_violation(now, Invariant::StopCutsNothing, detail);
        }
        self.kill_proxy(proxy);
    }

    /// Starts a new proxy in the place of one that died or is stopping.
    fn replace_proxy(&mut self, place: usize) {
        let old = self.places[place];
        if self.proxies[old].up && !self.proxies[old].stopping {
            return;
        }
        if self.proxies[old].up {
            // The old proxy still finishes its requests in flight; the new one takes over its
            // place and address.
            self.proxies[old].address.set_port(1);
        }
        self.start_proxy(place);
    }
}
