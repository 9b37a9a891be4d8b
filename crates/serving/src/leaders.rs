//! What this node believes of each group's primary, and how it came to believe it.

use std::time::Duration;

use hookpoint_coordination::serving::directory::{Database, StatedRole};
use hookpoint_coordination::serving::evacuation::ZoneStanding;
use hookpoint_coordination::serving::leadership::Confirmation;
use hookpoint_state::{DatabaseName, GroupName, Position, Timestamp};

use crate::node::{Contact, Node};

/// A belief about a primary that was not confirmed for this long is older than what the
/// databases state: they state a change of role within a few heartbeats.
const BELIEF_MEMORY: Duration = Duration::from_secs(10);

/// A position for the log: term and number, parted by a point.
fn written(position: Position) -> String {
    format!("{}.{}", position.term.0, position.lsn.0)
}

impl Node {
    /// Whether the newest promotion known allows a database to lead.
    ///
    /// Where the service does not fence, a replaced primary may still believe to lead, so
    /// only the database of the newest order is taken for the primary.
    fn may_lead(&self, database: &Database) -> bool {
        self.changeable().fenced_promotions
            || self.with_group(&database.group, |state| {
                state
                    .promoting
                    .as_ref()
                    .is_none_or(|(candidate, _)| *candidate == database.name)
            })
    }

    /// The database that a statement is sent to as the primary of a group, unless it turns out
    /// not to lead: the one believed to, or, of a group that was not needed here lately, the
    /// one that states it. Each statement that needs the primary proves anew that it got it.
    pub(crate) fn presumed_leader(&self, group: &GroupName) -> Option<DatabaseName> {
        let now = self.now();
        let (believed, is_old) = self.with_group(group, |state| {
            let unconfirmed = now.since(state.leadership.confirmed_at());
            let believed = state.leadership.leader().cloned();
            (believed, unconfirmed >= BELIEF_MEMORY)
        });
        if believed.is_some() && !is_old {
            return believed;
        }
        self.stated_leader(group).or(believed)
    }

    /// The primary that a loss concerns: the one believed to lead, or, if this node has not
    /// needed the group, the one that a peer reported.
    pub(crate) fn lost_leader(&self, group: &GroupName) -> Option<DatabaseName> {
        let now = self.now();
        self.with_group(group, |state| {
            let believed = state.leadership.leader();
            believed.or(state.reported_leader(now)).cloned()
        })
    }

    /// The only database of a group that states that it leads, if nothing known speaks against
    /// it. Where promotions are not fenced a replaced primary may still state that, so there
    /// only proofs count.
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
            && self.zone_standing(&listed.database.zone) == ZoneStanding::Open;
        let name = &listed.database.name;
        let contradicted = self.with_group(group, |state| {
            let other_promoted = state
                .promoting
                .as_ref()
                .is_some_and(|(candidate, _)| candidate != name);
            other_promoted || !state.leadership.may_presume(name)
        });
        (usable && !contradicted).then(|| name.clone())
    }

    /// Takes a proof that a database leads. Where promotions are not fenced, the position
    /// in it only counts if this node was allowed to use primaries when it asked: a
    /// replaced primary's covers nothing.
    pub fn confirm_leader(&self, name: &DatabaseName, proof: Confirmation) {
        let covered = self.covers_primaries(proof.asked_at);
        let proof = Confirmation {
            position: proof.position.filter(|_| covered),
            ..proof
        };
        self.believe_leader(name, proof);
    }

    /// Takes a proof of this node's own, or one that a peer passes on, as it is.
    pub(crate) fn believe_leader(&self, name: &DatabaseName, proof: Confirmation) {
        let Some(database) = self.database_asked(name, proof.asked_at) else {
            return;
        };
        if !self.may_lead(&database) {
            self.with_group(&database.group, |state| {
                state.overruled = Some((name.clone(), proof.asked_at));
            });
            return;
        }
        let now = self.now();
        let (changed, reign, ended) = self.with_group(&database.group, |state| {
            let led = state.leadership.leader().is_some();
            let changed = state.leadership.confirm(name, proof);
            let ended = led && state.leadership.leader().is_none();
            if state.leadership.leader() == Some(name) {
                state.contact = Contact {
                    last_heard: now,
                    ..Contact::default()
                };
                state.leaderless_since = None;
            } else if state.leadership.leader().is_none() {
                state.leaderless_since.get_or_insert(now);
            }
            (changed, state.leadership.reign(), ended)
        });
        if ended {
            self.log(
                "primary_lost_commits",
                &[
                    ("group", database.group.as_str().into()),
                    ("database", name.as_str().into()),
                    ("position", proof.position.map(written).into()),
                ],
            );
        }
        if changed {
            self.log(
                "leader_confirmed",
                &[
                    ("group", database.group.as_str().into()),
                    ("database", name.as_str().into()),
                    ("reign", reign.0.into()),
                    ("position", proof.position.map(written).into()),
                ],
            );
            self.leader_changed.notify_waiters();
        }
    }

    /// Takes a proof, asked for at `asked_at`, that a database does not lead.
    pub fn refute_leader(&self, name: &DatabaseName, asked_at: Timestamp) {
        let Some(database) = self.database_asked(name, asked_at) else {
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
