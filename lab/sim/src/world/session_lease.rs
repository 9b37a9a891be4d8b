//! How a session acquires a lease on a connection and releases it.

use hookpoint_coordination::node::Route;
use hookpoint_coordination::request::RequestEvent;
use hookpoint_state::{DatabaseName, Refusal, Timestamp};

use super::World;
use super::event::{LeaseCommand, SessionNumber};

impl World {
    pub(super) fn release(&mut self, number: SessionNumber, reusable: bool) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.expected.clear();
        session.granted = false;
        if let Some(lease) = session.lease.take() {
            if let Some(state) = self.leases.get_mut(&lease) {
                state.released = true;
            }
            self.send_command(lease, LeaseCommand::Release { reusable });
        }
    }

    pub(super) fn acquire(
        &mut self,
        number: SessionNumber,
        name: &DatabaseName,
        deadline: Timestamp,
    ) {
        let Some(database) = self.database_names.iter().position(|other| other == name) else {
            return;
        };
        // Gives up a lease that was requested earlier and never granted.
        self.release(number, false);
        let now = self.now();
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.deadline = deadline;
        session.target_database = Some(database);
        session.failed_homes.clear();
        let (proxy, group) = (session.proxy, self.groups[session.group].name.clone());
        let mut actions = Vec::new();
        let route = self.proxies[proxy]
            .machine
            .route(now, &group, name, &mut actions);
        self.node_actions(proxy, actions);
        self.start_lease(number, route);
    }

    pub(super) fn start_lease(&mut self, number: SessionNumber, route: Option<Route>) {
        let Some(session) = self.sessions.get(&number) else {
            return;
        };
        let (proxy, deadline) = (session.proxy, session.deadline);
        let Some(database) = session.target_database else {
            return;
        };
        let holder = match route {
            Some(Route::Peer { node, .. }) => self.proxy_of(node).unwrap_or(proxy),
            _ => proxy,
        };
        let lease = self.new_lease(number, proxy, holder, database);
        if let Some(session) = self.sessions.get_mut(&number) {
            session.lease = Some(lease);
            session.granted = false;
        }
        self.send_command(lease, LeaseCommand::Acquire { deadline });
    }

    /// Requests a lease from the next candidate after `holder` could not serve the request.
    pub(super) fn try_next_home(&mut self, number: SessionNumber, holder: usize) {
        let node = self.proxies[holder].node;
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.lease = None;
        session.failed_homes.push(node);
        let Some(database) = session.target_database else {
            return;
        };
        let proxy = session.proxy;
        let name = self.database_names[database].clone();
        let tried = session.failed_homes.clone();
        if holder != proxy {
            self.peer_lost(proxy, node);
        }
        if tried.len() > self.places.len() {
            let refusal = Refusal::NoDatabase;
            let event = RequestEvent::LeaseRefused {
                database: name,
                refusal,
            };
            return self.request_event(number, event);
        }
        let route = self.proxies[proxy].machine.route_after(&name, &tried);
        self.start_lease(number, route);
    }
}
