//! Which database of a group is believed to be its primary, and since when that is known.
//!
//! A reign is the time of one primary as this node sees it. Positions of different
//! reigns are never compared: a promotion rolls back what the new primary had not
//! received, so a position held from an earlier reign may not exist any more. The first
//! sample of a reign covers all that survived of earlier ones.

use hookpoint_state::{DatabaseName, Position, Timestamp};

use super::freshness::FreshnessLog;

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
}

impl Leadership {
    /// Takes a proof that `database` led. Says whether the belief changed.
    pub fn confirm(&mut self, database: &DatabaseName, proof: Confirmation) -> bool {
        let same = self.leader.as_ref() == Some(database);
        if !same && (proof.asked_at < self.confirmed_at || self.is_refuted(database, &proof)) {
            return false;
        }
        let resumed = self.leader.is_none() && self.previous.as_ref() == Some(database);
        let new_reign = !(same || resumed) || self.rolled_back(&proof);
        if new_reign {
            self.begin_reign();
        }
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
