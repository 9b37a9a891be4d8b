//! Handling of received datagrams.

use hookpoint_state::{NodeId, Timestamp};

use super::datagram::{Datagram, DatagramBody, Sender};
use super::machine::{Membership, MembershipAction};
use super::member::{MemberState, MemberUpdate};

/// Number of unknown members in a page above which the page is requested again.
const MANY_UNKNOWN: usize = 6;
/// Maximum number of members looked up in one datagram.
const MAXIMUM_LOOKUP: usize = 32;

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        datagram: Datagram,
        actions: &mut Vec<MembershipAction>,
    ) {
        if datagram.sender.node == self.own.node {
            return;
        }
        if datagram.receiver != Some(self.own.node) {
            self.answer_misaddressed(&datagram, actions);
            return;
        }
        self.last_received_at = now;
        self.observe_sender(now, &datagram.sender, actions);
        let Datagram {
            sender,
            body,
            updates,
            ..
        } = datagram;
        let joining = self.sync.as_ref().is_some_and(|sync| sync.joining);
        let enqueue = !(joining && matches!(body, DatagramBody::SyncPage { .. }));
        let unknown = self.merge_claims(now, &updates, enqueue, actions);
        if unknown.len() > MANY_UNKNOWN
            && matches!(body, DatagramBody::SyncPage { .. })
            && self.request_page_with_info(now, sender.node, actions)
        {
            return;
        }
        self.handle_body(now, sender.node, body, &updates, actions);
        if !unknown.is_empty() {
            let body = DatagramBody::Lookup { nodes: unknown };
            self.send_with(sender.node, body, true, Vec::new(), actions);
        }
        self.compare_digests(now, &sender, actions);
    }

    /// Compares tables with a member whose digest differs, once no changes are queued or
    /// the digests have differed for too long.
    fn compare_digests(
        &mut self,
        now: Timestamp,
        sender: &Sender,
        actions: &mut Vec<MembershipAction>,
    ) {
        if sender.digest == self.digest() {
            self.differs_since = None;
            self.drop_known_changes();
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        if self.queue.is_empty() || now.since(since) > self.settings.sync_delay {
            self.start_sync(now, sender.node, false, actions);
        }
    }

    /// Answers a datagram that is not addressed to this node, without changing this
    /// node's state.
    fn answer_misaddressed(&self, datagram: &Datagram, actions: &mut Vec<MembershipAction>) {
        let Some(info) = &datagram.sender.info else {
            return;
        };
        let body = match (&datagram.body, datagram.receiver) {
            (DatagramBody::Hello, None) => DatagramBody::Welcome,
            (DatagramBody::Ping { .. }, Some(target)) => DatagramBody::NotHere { target },
            _ => return,
        };
        let answer = Datagram {
            sender: self.sender(true),
            receiver: Some(datagram.sender.node),
            body,
            updates: Vec::new(),
        };
        actions.push(MembershipAction::Send {
            to: info.address,
            datagram: Box::new(answer),
        });
    }

    /// Applies what a datagram states about its sender, which is known to be alive.
    fn observe_sender(
        &mut self,
        now: Timestamp,
        sender: &Sender,
        actions: &mut Vec<MembershipAction>,
    ) {
        let state = if sender.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        let Some(member) = self.table.get(sender.node) else {
            if let Some(info) = &sender.info
                && info.node == sender.node
            {
                self.add(now, info, (sender.incarnation, state), true, actions);
                self.observe_version(sender, actions);
            }
            return;
        };
        if member.overridden_by(sender.incarnation, state) {
            let was_dead = member.state == MemberState::Dead;
            let claim = (sender.incarnation, state);
            self.change(now, sender.node, claim, false, actions);
            if was_dead {
                // A partition has healed, or is healing: compare tables soon.
                self.sync_allowed_at = self.sync_allowed_at.min(now);
                self.start_sync(now, sender.node, false, actions);
            }
        } else if matches!(member.state, MemberState::Suspect | MemberState::Dead) {
            // The member has not refuted its suspicion or death; ping it so that it can.
            self.queue_check(sender.node);
        }
        self.observe_version(sender, actions);
    }

    fn observe_version(&mut self, sender: &Sender, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.table.get_mut(sender.node) else {
            return;
        };
        self.refresh.remove(&sender.node);
        if sender.bundle > member.bundle {
            member.bundle = sender.bundle;
            actions.push(MembershipAction::VersionSeen {
                node: sender.node,
                version: sender.bundle,
            });
        }
    }

    /// Merges claims. Returns the members that are claimed to be present but are
    /// unknown.
    fn merge_claims(
        &mut self,
        now: Timestamp,
        updates: &[MemberUpdate],
        enqueue: bool,
        actions: &mut Vec<MembershipAction>,
    ) -> Vec<NodeId> {
        let mut unknown = Vec::new();
        for update in updates {
            if update.node == self.own.node {
                self.handle_claim_about_self(update);
            } else if self.table.get(update.node).is_some() {
                self.merge_claim(now, update, actions);
            } else if let Some(info) = update
                .info
                .as_ref()
                .filter(|info| info.node == update.node && update.state != MemberState::Dead)
            {
                let claim = (update.incarnation, update.state);
                self.add(now, info, claim, enqueue, actions);
            } else if update.state != MemberState::Dead && unknown.len() < MAXIMUM_LOOKUP {
                unknown.push(update.node);
            }
        }
        unknown
    }

    /// Merges a claim about a known member.
    ///
    /// A death is accepted only for a member that was suspected or leaving here, and so
    /// could have refuted it. Otherwise the member is checked first: it may be dead only
    /// from the far side of a partition that has just healed.
    fn merge_claim(
        &mut self,
        now: Timestamp,
        update: &MemberUpdate,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.get(update.node) else {
            return;
        };
        if !member.overridden_by(update.incarnation, update.state) {
            return;
        }
        let could_refute = matches!(member.state, MemberState::Suspect | MemberState::Leaving);
        if update.state == MemberState::Dead && !could_refute {
            if member.state != MemberState::Dead {
                self.queue_check(update.node);
            }
            return;
        }
        let claim = (update.incarnation, update.state);
        self.change(now, update.node, claim, false, actions);
    }

    fn handle_body(
        &mut self,
        now: Timestamp,
        from: NodeId,
        body: DatagramBody,
        updates: &[MemberUpdate],
        actions: &mut Vec<MembershipAction>,
    ) {
        match body {
            DatagramBody::Hello | DatagramBody::Gossip => {}
            DatagramBody::Welcome => self.handle_welcome(now, from, actions),
            DatagramBody::Ping { probe } => {
                self.send(from, DatagramBody::Ack { probe }, false, actions);
            }
            DatagramBody::Ack { probe } => self.probe_answered(from, probe, actions),
            DatagramBody::NotHere { target } => self.handle_not_here(now, from, target, actions),
            DatagramBody::PingRequest { probe, target, .. } => {
                self.relay_probe(now, (from, probe), target, actions);
            }
            DatagramBody::IndirectAck { probe } => self.probe_answered_indirectly(probe),
            DatagramBody::Lookup { nodes } => self.answer_lookup(from, &nodes, actions),
            DatagramBody::SyncStart { digests, with_info } => {
                let parts = self.differing_parts(&digests);
                self.send_page(now, from, None, parts, with_info, actions);
            }
            DatagramBody::SyncRequest {
                parts,
                after,
                with_info,
            } => {
                self.send_page(now, from, after, parts, with_info, actions);
            }
            DatagramBody::SyncPage { parts, after, next } => {
                let corrections = self.corrections(updates);
                self.handle_page(now, from, parts, (after, next), corrections, actions);
            }
        }
    }

    fn handle_welcome(
        &mut self,
        now: Timestamp,
        from: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        let joining = self.table.present() <= 1;
        if joining {
            self.sync_allowed_at = self.sync_allowed_at.min(now);
        }
        self.start_sync(now, from, joining, actions);
        self.probe_now(now, from, actions);
    }

    /// Handles the report that another node now uses the address of `target`, which is
    /// therefore dead.
    fn handle_not_here(
        &mut self,
        now: Timestamp,
        from: NodeId,
        target: NodeId,
        actions: &mut Vec<MembershipAction>,
    ) {
        let (Some(reporter), Some(member)) = (self.table.get(from), self.table.get(target)) else {
            return;
        };
        let same_address = reporter.info.address == member.info.address;
        if !same_address || member.state == MemberState::Dead {
            return;
        }
        let claim = (member.incarnation, MemberState::Dead);
        self.probes.retain(|_, probe| probe.target != target);
        self.change(now, target, claim, false, actions);
    }

    fn answer_lookup(
        &mut self,
        from: NodeId,
        nodes: &[NodeId],
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut room = self.settings.update_bytes;
        let mut updates = Vec::new();
        for node in nodes.iter().take(MAXIMUM_LOOKUP) {
            let Some(member) = self.table.get(*node) else {
                continue;
            };
            let update = member.update(true);
            let Some(left) = room.checked_sub(update.encoded_bound()) else {
                break;
            };
            room = left;
            updates.push(update);
        }
        self.send_with(from, DatagramBody::Gossip, false, updates, actions);
    }

    fn corrections(&mut self, updates: &[MemberUpdate]) -> Vec<MemberUpdate> {
        let mut room = self.settings.update_bytes;
        let mut corrections = Vec::new();
        for update in updates {
            let Some(correction) = self.correction(update) else {
                continue;
            };
            if correction.state == MemberState::Dead {
                // The peer may be right: check the member itself.
                self.queue_check(update.node);
            }
            if let Some(left) = room.checked_sub(correction.encoded_bound()) {
                room = left;
                corrections.push(correction);
            }
        }
        corrections
    }
}
