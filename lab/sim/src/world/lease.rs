//! The session's side of leases, and the handling of broken links between its two proxies.

use hookpoint_state::Timestamp;

use super::World;
use super::connection::Lease;
use super::event::{Event, LeaseNumber, LeaseReply, ProxyIndex, SessionNumber};
use crate::network::{Channel, PARTITION_POLL_INTERVAL};

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
            commands: Channel::new(),
            replies: Channel::new(),
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
        lease.replies.read_scheduled = false;
        let proxy = &self.proxies[lease.proxy];
        let holder = &self.proxies[lease.holder];
        if !proxy.up {
            return lease.replies.clear();
        }
        if !self.network.zones_connected(proxy.zone, holder.zone) {
            if lease.replies.blocked_too_long(now) {
                return self.break_lease(number);
            }
            return self.wake_lease_replies(number, now + PARTITION_POLL_INTERVAL);
        }
        if proxy.is_paused(now) {
            let at = proxy.paused_until;
            return self.wake_lease_replies(number, at);
        }
        while let Some(reply) = self
            .leases
            .get_mut(&number)
            .and_then(|lease| lease.replies.pop(now))
        {
            self.deliver_reply(number, reply);
        }
        let next = self
            .leases
            .get(&number)
            .and_then(|lease| lease.replies.next_at());
        if let Some(at) = next {
            self.wake_lease_replies(number, at);
        }
    }

    fn wake_lease_replies(&mut self, number: LeaseNumber, at: Timestamp) {
        if let Some(lease) = self.leases.get_mut(&number)
            && !std::mem::replace(&mut lease.replies.read_scheduled, true)
        {
            self.schedule.at(at, Event::LeaseReplies(number));
        }
    }

    /// Delivers a reply to the session, if it still uses this lease.
    fn deliver_reply(&mut self, number: LeaseNumber, reply: LeaseReply) {
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
        self.handle_lease_reply(session, holder, reply);
        if last {
            self.leases.remove(&number);
        }
    }

    /// Ends a lease on both sides after the link between its proxies broke.
    pub(crate) fn break_lease(&mut self, number: LeaseNumber) {
        let Some(lease) = self.leases.get(&number) else {
            return;
        };
        let granted = lease.connection.is_some();
        self.close_holder_side(number);
        let reply = if granted {
            LeaseReply::Lost
        } else {
            LeaseReply::Moved
        };
        self.deliver_reply(number, reply);
        self.leases.remove(&number);
    }

    /// Ends the lease on the holder's side and closes its connection.
    fn close_holder_side(&mut self, number: LeaseNumber) {
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
