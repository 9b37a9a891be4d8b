//! The primary of a group as known to this node, and when it was last confirmed.
//!
//! A leadership period is the time for which this node considers one database the primary.
//! Positions of different periods are never compared: a promotion rolls back what the new primary
//! had not received, so a position from an earlier period may no longer exist. The first sample of
//! a period covers everything that survived from earlier ones.

use std::time::Duration;

use hookpoint_state::{DatabaseName, Position, Timestamp};

use super::freshness::FreshnessLog;

/// How long a primary that restarted without its commits is not accepted as the primary, so that a
/// replica which holds the acknowledged commits is promoted instead. A lost primary is replaced
/// well within this time. After it there is no replica to promote, and a group with an empty
/// primary is better than one without a primary.
const LOST_COMMITS_TIME: Duration = Duration::from_secs(3);

/// Sequence number of a leadership period on this node, starting at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeadershipPeriod(pub u64);

/// A position together with the leadership period in which it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeriodPosition {
    /// Leadership period in which the position was read.
    pub leadership_period: LeadershipPeriod,
    /// Position in the database's log.
    pub position: Position,
}

/// An answer that proves that a database was the primary of its group.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// When the query was sent.
    pub asked_at: Timestamp,
    /// When the answer arrived.
    pub answered_at: Timestamp,
    /// Position in the answer, if it contained one.
    pub position: Option<Position>,
}

/// A leader that restarted without the commits that it had acknowledged.
#[derive(Clone, Debug)]
struct LostCommits {
    database: DatabaseName,
    /// Newest position that it had reported.
    highest: Position,
    /// When this node detected the loss.
    since: Timestamp,
}

/// What one node knows about the primary of one group.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    leader: Option<DatabaseName>,
    /// The last known leader, kept while no database is known to lead; `None` once its incarnation
    /// has ended.
    previous: Option<DatabaseName>,
    leadership_period: LeadershipPeriod,
    confirmed_at: Timestamp,
    /// The database last found not to lead, and when the query was sent.
    refuted: Option<(DatabaseName, Timestamp)>,
    /// Highest position reported in the current period, and when that answer arrived.
    highest: Option<(Timestamp, Position)>,
    freshness: FreshnessLog,
    /// Set if the last leader restarted without the commits that it had acknowledged.
    lost_commits: Option<LostCommits>,
}

impl Leadership {
    /// Applies a proof that `database` was the primary. Returns whether the known leader or its
    /// period changed. A proof that the leader has lost all of its commits clears the known leader,
    /// because the leader restarted empty.
    pub fn confirm(&mut self, database: &DatabaseName, proof: Confirmation) -> bool {
        let same = self.leader.as_ref() == Some(database);
        if !same && (proof.asked_at < self.confirmed_at || self.is_refuted(database, &proof)) {
            return false;
        }
        if same && self.shows_loss(&proof) {
            self.end_incarnation(database, proof.answered_at);
            return false;
        }
        if self.is_rejected(database, &proof) {
            return false;
        }
        let resumed = self.leader.is_none() && self.previous.as_ref() == Some(database);
        let new_period = !(same || resumed) || self.rolled_back(&proof);
        if new_period {
            self.begin_period();
        }
        self.lost_commits = None;
        self.leader = Some(database.clone());
        self.previous = Some(database.clone());
        self.confirmed_at = self.confirmed_at.max(proof.asked_at);
        self.sample(&proof);
        !same || new_period
    }

    /// Returns whether a query sent no earlier than the proof's found that the database did not
    /// lead. Proofs forwarded by peers may be older than this node's own findings.
    fn is_refuted(&self, database: &DatabaseName, proof: &Confirmation) -> bool {
        self.refuted
            .as_ref()
            .is_some_and(|(refuted, asked_at)| refuted == database && proof.asked_at <= *asked_at)
    }

    /// Returns whether the answer shows a position behind one that was seen before the query was
    /// sent.
    fn rolled_back(&self, proof: &Confirmation) -> bool {
        match (self.highest, proof.position) {
            (Some((seen_at, highest)), Some(position)) => {
                proof.asked_at >= seen_at && position < highest
            }
            _ => false,
        }
    }

    /// Returns whether the answer shows a database without any commits that had some before the
    /// query was sent.
    fn shows_loss(&self, proof: &Confirmation) -> bool {
        let empty = proof.position.is_some_and(|position| position.lsn.0 == 0);
        empty && self.rolled_back(proof)
    }

    /// Returns whether the database lost commits, still lacks them, and may be replaced by a
    /// database that holds them.
    fn is_rejected(&self, database: &DatabaseName, proof: &Confirmation) -> bool {
        self.lost_commits.as_ref().is_some_and(|lost_commits| {
            let lacks = proof
                .position
                .is_none_or(|position| position < lost_commits.highest);
            let recent = proof.answered_at.since(lost_commits.since) < LOST_COMMITS_TIME;
            lost_commits.database == *database && lacks && recent
        })
    }

    /// Discards everything known about the previous incarnation of `database`, which has restarted
    /// by `now`: samples, positions and refutations. Returns whether it was the known leader.
    ///
    /// Samples from the period of another database are kept, as they are that database's positions.
    pub fn end_incarnation(&mut self, database: &DatabaseName, now: Timestamp) -> bool {
        if self
            .refuted
            .as_ref()
            .is_some_and(|(refuted, _)| refuted == database)
        {
            self.refuted = None;
        }
        let led_last = self.previous.as_ref() == Some(database);
        if !led_last {
            return false;
        }
        self.lost_commits = self.highest.take().map(|(_, highest)| LostCommits {
            database: database.clone(),
            highest,
            since: now,
        });
        self.previous = None;
        self.freshness.clear();
        self.leader.take().is_some()
    }

    fn begin_period(&mut self) {
        self.leadership_period = LeadershipPeriod(self.leadership_period.0 + 1);
        self.highest = None;
        self.freshness.clear();
    }

    fn sample(&mut self, proof: &Confirmation) {
        let Some(position) = proof.position else {
            return;
        };
        self.freshness.record(proof.asked_at, position);
        if self.highest.is_none_or(|(_, highest)| position > highest) {
            self.highest = Some((proof.answered_at, position));
        }
    }

    /// Applies a proof, requested at `asked_at`, that `database` does not lead. Returns whether it
    /// was the known leader.
    pub fn refute(&mut self, database: &DatabaseName, asked_at: Timestamp) -> bool {
        self.refuted = Some((database.clone(), asked_at));
        if self.leader.as_ref() == Some(database) {
            self.leader = None;
            return true;
        }
        false
    }

    /// Returns whether a database that reports itself as the primary may be tried as such: it has
    /// not been found not to lead since another database was last known to lead.
    pub fn may_try_as_primary(&self, database: &DatabaseName) -> bool {
        self.refuted
            .as_ref()
            .is_none_or(|(refuted, _)| refuted != database)
            && self.lost_commits.is_none()
    }

    /// Returns the known leader, or `None` if no database is known to lead.
    pub fn leader(&self) -> Option<&DatabaseName> {
        self.leader.as_ref()
    }

    /// Returns when the last query that confirmed the leader was sent.
    pub fn confirmed_at(&self) -> Timestamp {
        self.confirmed_at
    }

    /// Returns the current period.
    pub fn leadership_period(&self) -> LeadershipPeriod {
        self.leadership_period
    }

    /// Returns the period to which a position belongs that `database` reported in its answer to a
    /// write. This is the current period also while `database` is being replaced and no other
    /// leader is known, since until then its positions are the valid ones. Returns period 0 if
    /// another database leads.
    pub fn leadership_period_of(&self, database: &DatabaseName) -> LeadershipPeriod {
        let led_last = self.leader.is_none() && self.previous.as_ref() == Some(database);
        if led_last || self.leader.as_ref() == Some(database) {
            self.leadership_period
        } else {
            LeadershipPeriod::default()
        }
    }

    /// Returns the lowest known position that covers all commits acknowledged before `horizon`.
    pub fn floor(&self, horizon: Timestamp) -> Option<Position> {
        self.freshness.floor(horizon)
    }

    /// Returns the newest position sample and the time at which it was requested.
    pub fn newest_sample(&self) -> Option<(Timestamp, Position)> {
        self.freshness.newest()
    }

    /// Returns the position that a database must have reached for a session that has seen `held` to
    /// read its own writes. Returns `None` if no sample of the current period is known yet.
    pub fn translate(&self, held: PeriodPosition) -> Option<Position> {
        if held.leadership_period == self.leadership_period {
            return Some(held.position);
        }
        self.freshness.first()
    }
}
