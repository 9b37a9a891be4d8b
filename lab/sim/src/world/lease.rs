//! The session's side of leases, and what happens when a link or an end of one breaks.

use hookpoint_state::Timestamp;

use super::World;
use super::connection::Lease;
use super::event::{Event, LeaseNumber, LeaseReply, ProxyIndex, SessionNumber};
use crate::network::{CUT_POLL, Channel};

impl World {
    pub(crate) fn new_lease(
        &mut self,
        session: SessionNumber,
        proxy: ProxyIndex,
        holder: ProxyIndex,
        database: usize,
    ) -> LeaseNumber {
        self.lease_count += 1;
        let number = self.lease_count;
        let lease = Lease {
            session,
            proxy,
            holder,
            database,
            connection: None,
            up: Channel::new(),
            down: Channel::new(),
            released: false,
            closed: false,
        };
        self.leases.insert(number, lease);
        number
    }

    pub(crate) fn lease_replies(&mut self, number: LeaseNumber) {
        let now = self.now();
        let Some(lease) = self.leases.get_mut(&number) else {
            return;
        };
        lease.down.awake = false;
        let proxy = &self.proxies[lease.proxy];
        let holder = &self.proxies[lease.holder];
        if !proxy.up {
            return lease.down.clear();
        }
        if !self.network.zones_joined(proxy.zone, holder.zone) {
            if lease.down.blocked(now) {
                return self.break_lease(number);
            }
            return self.wake_lease_replies(number, now + CUT_POLL);
        }
        if proxy.is_paused(now) {
            let at = proxy.paused_until;
            return self.wake_lease_replies(number, at);
        }
        while let Some(reply) = self
            .leases
            .get_mut(&number)
            .and_then(|lease| lease.down.pop(now))
        {
            self.pass_reply(number, reply);
        }
        let next = self
            .leases
            .get(&number)
            .and_then(|lease| lease.down.next_at());
        if let Some(at) = next {
            self.wake_lease_replies(number, at);
        }
    }

    fn wake_lease_replies(&mut self, number: LeaseNumber, at: Timestamp) {
        if let Some(lease) = self.leases.get_mut(&number)
            && !std::mem::replace(&mut lease.down.awake, true)
        {
            self.schedule.at(at, Event::LeaseReplies(number));
        }
    }

    /// Hands a reply to the session, if it still holds the lease.
    fn pass_reply(&mut self, number: LeaseNumber, reply: LeaseReply) {
        let Some(lease) = self.leases.get(&number) else {
            return;
        };
        let (session, holder) = (lease.session, lease.holder);
        let held = self
            .sessions
            .get(&session)
            .and_then(|session| session.lease);
        if held != Some(number) {
            return;
        }
        let last = matches!(
            reply,
            LeaseReply::Refused(_) | LeaseReply::Moved | LeaseReply::Lost
        );
        self.take_reply(session, holder, reply);
        if last {
            self.leases.remove(&number);
        }
    }

    /// The link between both ends is taken for broken, by both.
    pub(crate) fn break_lease(&mut self, number: LeaseNumber) {
        let Some(lease) = self.leases.get(&number) else {
            return;
        };
        let granted = lease.connection.is_some();
        self.end_for_holder(number);
        let reply = if granted {
            LeaseReply::Lost
        } else {
            LeaseReply::Moved
        };
        self.pass_reply(number, reply);
        self.leases.remove(&number);
    }

    /// The holder takes the session for gone.
    fn end_for_holder(&mut self, number: LeaseNumber) {
        let Some(lease) = self.leases.get_mut(&number) else {
            return;
        };
        lease.closed = true;
        if let Some(connection) = lease.connection.take()
            && self.proxies[lease.holder].up
        {
            self.close_connection(connection);
        }
    }
}
