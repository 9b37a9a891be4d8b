//! The granting side of [`primary_lease`](super::primary_lease): who was granted a lease,
//! and when all from before an announcement have run out or been given back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_state::{StoreRevision, Timestamp};

use super::failover::majority;
use super::primary_lease::{GRANT_TIME, LeaseAnswer, LeaseRequest, ProcessTime, VOTE_TIME};

/// How long after a renewal in the state store, counted from when it was asked for, no
/// other coordinator orders anything. The store may take a record away at once, so a new
/// coordinator waits this long.
pub const STORE_AUTHORITY: Duration = Duration::from_millis(1_100);
/// How long a node that has lost the store grants leases on a majority's votes.
pub const OUTAGE_AUTHORITY: Duration = Duration::from_secs(12);
/// How long a node that is no longer registered counts as a voter: until those who still
/// count it, as they have lost the store, can grant no more.
pub const VOTER_MEMORY: Duration = Duration::from_secs(15);

/// The store's word that this node coordinates.
#[derive(Clone, Copy, Debug)]
struct CoordinatorTerm {
    coordinator: StoreRevision,
    claimed_at: Timestamp,
    renewed_at: Timestamp,
    /// Whether this process knows all promotions that were announced before.
    knows_predecessors: bool,
}

/// What the store holds of earlier coordinators' announcements as a process begins to coordinate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessors {
    /// All that they announced.
    Listed,
    /// Maybe less: the store came back from a copy. Each announcement that was carried out is
    /// known to a majority, so one node of any majority tells of it.
    MaybeLost,
}

/// Those who may vote, as the granting node sees it.
#[derive(Clone, Copy, Debug)]
pub struct Electorate {
    /// Nodes that may hold a lease, the granting one included.
    pub voters: usize,
    /// When the store was last heard of.
    pub store_heard_at: Timestamp,
}

/// What one process has granted.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    life: u64,
    term: Option<CoordinatorTerm>,
    /// The coordinator under which the votes were given.
    coordinator: StoreRevision,
    /// This process's own time that each voter's last request told back.
    votes: BTreeMap<String, Timestamp>,
    granted_at: BTreeMap<String, Timestamp>,
}

impl LeaseGrantor {
    /// A process that has granted nothing.
    pub fn new(life: u64) -> Self {
        Self {
            life,
            term: None,
            coordinator: StoreRevision::default(),
            votes: BTreeMap::new(),
            granted_at: BTreeMap::new(),
        }
    }

    /// The process coordinates: its record has this revision and was written in a call
    /// made at `claimed_at`.
    pub fn begin_coordinating(
        &mut self,
        coordinator: StoreRevision,
        claimed_at: Timestamp,
        predecessors: Predecessors,
    ) {
        self.term = Some(CoordinatorTerm {
            coordinator,
            claimed_at,
            renewed_at: claimed_at,
            knows_predecessors: predecessors == Predecessors::Listed,
        });
    }

    /// The store renewed the record in a call made at `asked_at`.
    pub fn note_renewed(&mut self, asked_at: Timestamp) {
        if let Some(term) = &mut self.term {
            term.renewed_at = term.renewed_at.max(asked_at);
        }
    }

    /// The process no longer coordinates.
    pub fn end_coordinating(&mut self) {
        self.term = None;
    }

    /// Takes a request as a vote and answers it. `coordinator` is the newest that this
    /// node knows of; a vote under another one does not count.
    pub fn answer(
        &mut self,
        voter: &str,
        request: &LeaseRequest,
        coordinator: StoreRevision,
        electorate: Electorate,
        now: Timestamp,
    ) -> LeaseAnswer {
        if self.coordinator != coordinator {
            self.coordinator = coordinator;
            self.votes.clear();
        }
        let same = request.coordinator == coordinator;
        if same {
            self.take_vote(voter, request.told);
            self.note_majority(electorate);
        }
        let granted = same && self.has_authority(electorate, now);
        if granted {
            self.granted_at.insert(voter.to_owned(), now);
        }
        LeaseAnswer {
            coordinator,
            asked_at: request.asked_at,
            told: ProcessTime {
                life: self.life,
                time: now,
            },
            granted,
        }
    }

    /// A request that tells a time back was made after that, however long it took.
    fn take_vote(&mut self, voter: &str, told: Option<ProcessTime>) {
        let Some(told) = told.filter(|told| told.life == self.life) else {
            return;
        };
        let vote = self.votes.entry(voter.to_owned()).or_default();
        *vote = (*vote).max(told.time);
    }

    /// Once a majority has voted for this process, and told it what it knew, it knows what was
    /// announced before.
    fn note_majority(&mut self, electorate: Electorate) {
        let majority_voted = self.votes.len() >= majority(electorate.voters);
        if let Some(term) = &mut self.term
            && term.coordinator == self.coordinator
            && majority_voted
        {
            term.knows_predecessors = true;
        }
    }

    /// Whether nobody can replace a primary now without this process's hearing of it: it
    /// is the only coordinator by the store's word, or a majority is bound by its votes.
    pub fn has_authority(&self, electorate: Electorate, now: Timestamp) -> bool {
        let by_store = self.term.is_some_and(|term| {
            let relied_on = now.since(term.renewed_at) < STORE_AUTHORITY;
            term.coordinator == self.coordinator && relied_on && term.knows_predecessors
        });
        if by_store {
            return true;
        }
        let bound = |vote: &&Timestamp| now.since(**vote) < VOTE_TIME;
        let votes = self.votes.values().filter(bound).count();
        let remembered = now.since(electorate.store_heard_at) < OUTAGE_AUTHORITY;
        remembered && votes >= majority(electorate.voters)
    }

    /// Begins to withdraw the leases granted so far, as far as one group is concerned.
    /// Every later answer tells of the announcement, so those need no withdrawal. Nothing
    /// if this process does not coordinate.
    pub fn withdraw(&self) -> Option<Withdrawal> {
        let term = self.term?;
        let until = |(node, granted_at): (&String, &Timestamp)| {
            let until = *granted_at + GRANT_TIME;
            (node.clone(), until)
        };
        Some(Withdrawal {
            claimed_at: term.claimed_at,
            outstanding: self.granted_at.iter().map(until).collect(),
            acknowledged: BTreeSet::new(),
            loyal: BTreeSet::new(),
            majority_at: None,
        })
    }
}

/// The leases that have to end before a group's primary may be replaced.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    claimed_at: Timestamp,
    /// Until when the lease that this process granted to each node may be in force.
    outstanding: BTreeMap<String, Timestamp>,
    acknowledged: BTreeSet<String>,
    /// Those of them that have voted for nobody else lately.
    loyal: BTreeSet<String>,
    majority_at: Option<Timestamp>,
}

impl Withdrawal {
    /// Notes that a node knows the announcement and no longer uses the replaced primary,
    /// and whether others may have granted leases by its vote.
    pub fn acknowledge(&mut self, node: &str, voted_for_others: bool) {
        self.acknowledged.insert(node.to_owned());
        if !voted_for_others {
            self.loyal.insert(node.to_owned());
        }
    }

    /// Those of `voters` that have not acknowledged.
    pub fn missing<'a>(&self, voters: &'a [String]) -> Vec<&'a String> {
        voters
            .iter()
            .filter(|voter| !self.acknowledged.contains(*voter))
            .collect()
    }

    /// Whether no lease can be in force any more under which a node that has not
    /// acknowledged uses the replaced primary. `voters` are all nodes that may hold one.
    pub fn is_complete(&mut self, voters: &[String], now: Timestamp) -> bool {
        let missing = self.missing(voters);
        if missing.is_empty() {
            return true;
        }
        let in_force = |node: &&String| {
            self.outstanding
                .get(*node)
                .is_some_and(|until| now < *until)
        };
        if missing.iter().any(in_force) {
            return false;
        }
        self.predecessor_has_ended(now) && self.others_have_ended(voters, now)
    }

    /// Whether what an earlier coordinator granted by the store's word has run out.
    fn predecessor_has_ended(&self, now: Timestamp) -> bool {
        now.since(self.claimed_at) >= STORE_AUTHORITY + GRANT_TIME
    }

    /// Whether what others granted on a majority's votes has run out. Every majority has a
    /// node in common with those that acknowledged: it is bound to nobody else since, and
    /// tells whom it votes for of the announcement.
    fn others_have_ended(&mut self, voters: &[String], now: Timestamp) -> bool {
        let count =
            |set: &BTreeSet<String>| voters.iter().filter(|node| set.contains(*node)).count();
        let needed = majority(voters.len());
        if count(&self.loyal) >= needed {
            return true;
        }
        if count(&self.acknowledged) < needed {
            return false;
        }
        let majority_at = *self.majority_at.get_or_insert(now);
        now.since(majority_at) >= GRANT_TIME
    }
}
