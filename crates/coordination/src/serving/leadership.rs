//! Which database of a group is believed to be its primary, and since when that is known.
//!
//! A reign is the time of one primary as this node sees it. Positions of different
//! reigns are never compared: a promotion rolls back what the new primary had not
//! received, so a position held from an earlier reign may not exist any more. The first
//! sample of a reign covers all that survived of earlier ones.

use std::time::Duration;

use hookpoint_state::{DatabaseName, Position, Timestamp};

use super::freshness::FreshnessLog;

/// How long a primary that came back without its commits is not taken for the primary, so that a replica
/// which holds the acknowledged commits is promoted instead. A lost primary is replaced well
/// within this time; after it there is none to promote, and an empty group is better than
/// none.
const LOST_COMMITS_TIME: Duration = Duration::from_secs(3);

/// Number of a reign on this node, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reign(pub u64);

/// A position together with the reign in which it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReignPosition {
    /// The reign.
    pub reign: Reign,
    /// The position.
    pub position: Position,
}

/// One answer that proves that a database led its group.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// When the question was sent.
    pub asked_at: Timestamp,
    /// When the answer arrived.
    pub answered_at: Timestamp,
    /// Position in the answer, if it told one.
    pub position: Option<Position>,
}

/// A leader that restarted without the commits that it had acknowledged.
#[derive(Clone, Debug)]
struct LostCommits {
    database: DatabaseName,
    /// Newest position that it had told.
    highest: Position,
    /// When this node learnt of it.
    since: Timestamp,
}

/// The belief about one group's primary.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    leader: Option<DatabaseName>,
    previous: Option<DatabaseName>,
    reign: Reign,
    confirmed_at: Timestamp,
    /// The database last found not to lead, and when the question was sent.
    refuted: Option<(DatabaseName, Timestamp)>,
    highest: Option<(Timestamp, Position)>,
    freshness: FreshnessLog,
    /// The last leader if it restarted without what it had acknowledged.
    lost: Option<LostCommits>,
}

impl Leadership {
    /// Takes a proof that `database` led. Says whether the belief changed. A proof that the
    /// leader lost all of its commits ends the belief: it restarted empty.
    pub fn confirm(&mut self, database: &DatabaseName, proof: Confirmation) -> bool {
        let same = self.leader.as_ref() == Some(database);
        if !same && (proof.asked_at < self.confirmed_at || self.is_refuted(database, &proof)) {
            return false;
        }
        if same && self.shows_loss(&proof) {
            self.end_life(database, proof.answered_at);
            return false;
        }
        if self.is_passed_over(database, &proof) {
            return false;
        }
        let resumed = self.leader.is_none() && self.previous.as_ref() == Some(database);
        let new_reign = !(same || resumed) || self.rolled_back(&proof);
        if new_reign {
            self.begin_reign();
        }
        self.lost = None;
        self.leader = Some(database.clone());
        self.previous = Some(database.clone());
        self.confirmed_at = self.confirmed_at.max(proof.asked_at);
        self.sample(&proof);
        !same || new_reign
    }

    /// Whether the database was asked later than for this proof and did not lead. Proofs
    /// that peers pass on may be older than what this node found out itself.
    fn is_refuted(&self, database: &DatabaseName, proof: &Confirmation) -> bool {
        self.refuted
            .as_ref()
            .is_some_and(|(refuted, asked_at)| refuted == database && proof.asked_at <= *asked_at)
    }

    /// Whether the answer shows a position behind one seen before the question was sent.
    fn rolled_back(&self, proof: &Confirmation) -> bool {
        match (self.highest, proof.position) {
            (Some((seen_at, highest)), Some(position)) => {
                proof.asked_at >= seen_at && position < highest
            }
            _ => false,
        }
    }

    /// Whether the answer shows a database without any commit that had some before the
    /// question was sent.
    fn shows_loss(&self, proof: &Confirmation) -> bool {
        let empty = proof.position.is_some_and(|position| position.lsn.0 == 0);
        empty && self.rolled_back(proof)
    }

    /// Whether the database lost commits, lacks them yet, and may be replaced by one that
    /// holds them.
    fn is_passed_over(&self, database: &DatabaseName, proof: &Confirmation) -> bool {
        self.lost.as_ref().is_some_and(|lost| {
            let lacks = proof
                .position
                .is_none_or(|position| position < lost.highest);
            let lately = proof.answered_at.since(lost.since) < LOST_COMMITS_TIME;
            lost.database == *database && lacks && lately
        })
    }

    /// Ends all that was learnt of a life of `database`, which has begun another one by
    /// `now`: samples, positions and refutations. Says whether it was believed to lead.
    ///
    /// Samples of a reign of another database stand: they are that one's positions.
    pub fn end_life(&mut self, database: &DatabaseName, now: Timestamp) -> bool {
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
        self.lost = self.highest.take().map(|(_, highest)| LostCommits {
            database: database.clone(),
            highest,
            since: now,
        });
        self.previous = None;
        self.freshness.clear();
        self.leader.take().is_some()
    }

    fn begin_reign(&mut self) {
        self.reign = Reign(self.reign.0 + 1);
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

    /// Takes a proof, asked for at `asked_at`, that `database` does not lead. Says whether
    /// it was believed to.
    pub fn refute(&mut self, database: &DatabaseName, asked_at: Timestamp) -> bool {
        self.refuted = Some((database.clone(), asked_at));
        if self.leader.as_ref() == Some(database) {
            self.leader = None;
            return true;
        }
        false
    }

    /// Whether a database that states that it leads may be tried as the primary: it was not
    /// found out not to lead since another one was last known to.
    pub fn may_presume(&self, database: &DatabaseName) -> bool {
        self.refuted
            .as_ref()
            .is_none_or(|(refuted, _)| refuted != database)
            && self.lost.is_none()
    }

    /// The database believed to lead.
    pub fn leader(&self) -> Option<&DatabaseName> {
        self.leader.as_ref()
    }

    /// When the belief was last confirmed: the time the question was sent.
    pub fn confirmed_at(&self) -> Timestamp {
        self.confirmed_at
    }

    /// The present reign.
    pub fn reign(&self) -> Reign {
        self.reign
    }

    /// The reign to which a position belongs that `database` told with the answer to a
    /// write. Also while it is being replaced and nobody else is known to lead, since until
    /// then its positions are those that count. Reign 0 if another one reigns.
    pub fn reign_of(&self, database: &DatabaseName) -> Reign {
        let led_last = self.leader.is_none() && self.previous.as_ref() == Some(database);
        if led_last || self.leader.as_ref() == Some(database) {
            self.reign
        } else {
            Reign::default()
        }
    }

    /// The least position that covers all commits acknowledged before `horizon`.
    pub fn floor(&self, horizon: Timestamp) -> Option<Position> {
        self.freshness.floor(horizon)
    }

    /// The newest position sample and when it was asked for.
    pub fn newest_sample(&self) -> Option<(Timestamp, Position)> {
        self.freshness.newest()
    }

    /// What a database has to hold to show `held` to the session that holds it.
    /// `None` if nothing is known of the present reign yet.
    pub fn translate(&self, held: ReignPosition) -> Option<Position> {
        if held.reign == self.reign {
            return Some(held.position);
        }
        self.freshness.first()
    }
}
