//! This node's view of each group's primary, and the proofs that confirm or refute it.

use std::time::Duration;

use hookpoint_coordination::serving::directory::{Database, StatedRole};
use hookpoint_coordination::serving::evacuation::ZoneAvailability;
use hookpoint_coordination::serving::leadership::Confirmation;
use hookpoint_state::{DatabaseName, GroupName, Position, Timestamp};

use crate::node::{Contact, Node};

/// Age after which an unconfirmed leader is considered less reliable than the roles that the
/// databases state: they state a change of role within a few heartbeats.
const LEADER_CONFIRMATION_MAX_AGE: Duration = Duration::from_secs(10);

/// Formats a position for the event log as `term.lsn`.
pub(crate) fn format_position(position: Position) -> String {
    format!("{}.{}", position.term.0, position.lsn.0)
}

impl Node {
    /// Returns whether the newest known promotion allows a database to lead.
    ///
    /// Where the promotion service does not fence, a replaced primary may still consider itself
    /// the primary, so only the candidate of the newest order is accepted.
    fn may_lead(&self, database: &Database) -> bool {
        self.changeable().fenced_promotions
            || self.with_group(&database.group, |state| {
                state
                    .promoting
                    .as_ref()
                    .is_none_or(|(candidate, _)| *candidate == database.name)
            })
    }

    /// Returns the database to which a statement for a group's primary is sent: the known leader,
    /// or, if that has not been confirmed lately, the database that states that it leads. Each
    /// statement that needs the primary proves again that it reached the primary, so a wrong
    /// presumption is detected.
    pub(crate) fn presumed_leader(&self, group: &GroupName) -> Option<DatabaseName> {
        let now = self.now();
        let (known, is_stale) = self.with_group(group, |state| {
            let unconfirmed = now.since(state.leadership.confirmed_at());
            let known = state.leadership.leader().cloned();
            (known, unconfirmed >= LEADER_CONFIRMATION_MAX_AGE)
        });
        if known.is_some() && !is_stale {
            return known;
        }
        self.stated_leader(group).or(known)
    }

    /// Returns the primary whose loss is considered: the known leader, or, if this node has not
    /// used the group, the one that a peer reported.
    pub(crate) fn lost_leader(&self, group: &GroupName) -> Option<DatabaseName> {
        let now = self.now();
        self.with_group(group, |state| {
            let known = state.leadership.leader();
            known.or(state.reported_leader(now)).cloned()
        })
    }

    /// Returns the only database of a group that states that it leads, unless something known
    /// contradicts it. Where promotions are not fenced, a replaced primary may still state that it
    /// leads, so only proofs are accepted there.
    fn stated_leader(&self, group: &GroupName) -> Option<DatabaseName> {
        if !self.changeable().fenced_promotions {
            return None;
        }
        let directory = self.directory.borrow();
        let mut stated = directory
            .of_group(group)
            .filter(|listed| listed.database.role == StatedRole::Primary);
        let listed = stated.next()?;
        let usable = stated.next().is_none()
            && listed.departure.is_none()
            && self.zone_availability(&listed.database.zone) == ZoneAvailability::Open;
        let name = &listed.database.name;
        let contradicted = self.with_group(group, |state| {
            let other_promoted = state
                .promoting
                .as_ref()
                .is_some_and(|(candidate, _)| candidate != name);
            other_promoted || !state.leadership.may_try_as_primary(name)
        });
        (usable && !contradicted).then(|| name.clone())
    }

    /// Applies a proof that a database leads. Where promotions are not fenced, the position in the
    /// proof is used only if this node was allowed to use primaries when it asked, because a
    /// position stated by a replaced primary guarantees nothing.
    pub fn confirm_leader(&self, name: &DatabaseName, proof: Confirmation) {
        let covered = self.covers_primaries(proof.asked_at);
        let proof = Confirmation {
            position: proof.position.filter(|_| covered),
            ..proof
        };
        self.apply_leader_proof(name, proof);
    }

    /// Applies a proof obtained by this node or passed on by a peer, without checking the lease.
    pub(crate) fn apply_leader_proof(&self, name: &DatabaseName, proof: Confirmation) {
        let Some(database) = self.database_unless_restarted(name, proof.asked_at) else {
            return;
        };
        if !self.may_lead(&database) {
            self.with_group(&database.group, |state| {
                state.overruled_proof = Some((name.clone(), proof.asked_at));
            });
            return;
        }
        let now = self.now();
        let (changed, leadership_period, ended) = self.with_group(&database.group, |state| {
            let led = state.leadership.leader().is_some();
            let changed = state.leadership.confirm(name, proof);
            let ended = led && state.leadership.leader().is_none();
            if state.leadership.leader() == Some(name) {
                state.note_proof_for_promotion(name, &proof);
                state.contact = Contact {
                    last_answer_at: now,
                    ..Contact::default()
                };
                state.leaderless_since = None;
            } else if state.leadership.leader().is_none() {
                state.leaderless_since.get_or_insert(now);
            }
            (changed, state.leadership.leadership_period(), ended)
        });
        if ended {
            self.log(
                "primary_lost_commits",
                &[
                    ("group", database.group.as_str().into()),
                    ("database", name.as_str().into()),
                    ("position", proof.position.map(format_position).into()),
                ],
            );
        }
        if changed {
            self.log(
                "leader_confirmed",
                &[
                    ("group", database.group.as_str().into()),
                    ("database", name.as_str().into()),
                    ("reign", leadership_period.0.into()),
                    ("position", proof.position.map(format_position).into()),
                ],
            );
            self.leader_changed.notify_waiters();
        }
    }

    /// Applies a proof, requested at `asked_at`, that a database does not lead.
    pub fn reject_leader(&self, name: &DatabaseName, asked_at: Timestamp) {
        let Some(database) = self.database_unless_restarted(name, asked_at) else {
            return;
        };
        let now = self.now();
        let changed = self.with_group(&database.group, |state| {
            let changed = state.leadership.refute(name, asked_at);
            if changed {
                state.leaderless_since.get_or_insert(now);
                state.contact = Contact::default();
            }
            changed
        });
        if changed {
            self.log(
                "leader_refuted",
                &[
                    ("group", database.group.as_str().into()),
                    ("database", name.as_str().into()),
                ],
            );
        }
    }
}
