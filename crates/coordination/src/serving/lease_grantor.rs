//! The granting side of [`primary_lease`](super::primary_lease): records to which nodes leases were
//! granted, and determines when all leases from before an announcement have expired or been given
//! up.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_state::{StoreRevision, Timestamp};

use super::failover::majority;
use super::primary_lease::{LEASE_DURATION, LeaseAnswer, LeaseRequest, ProcessTime, VOTE_DURATION};

/// How long after a renewal in the state store, counted from when it was requested, no other
/// coordinator issues orders. The store may delete a record at any time, so a new coordinator waits
/// this long.
pub const STORE_AUTHORITY_TIME: Duration = Duration::from_millis(1_100);
/// How long a node that has lost the store grants leases based on the votes of a majority.
pub const OUTAGE_AUTHORITY_TIME: Duration = Duration::from_secs(12);
/// How long a node that is no longer registered counts as a voter: until nodes that still count it,
/// because they have lost the store, can no longer grant leases.
pub const VOTER_RETENTION: Duration = Duration::from_secs(15);

/// This node's term as coordinator according to the store.
#[derive(Clone, Copy, Debug)]
struct CoordinatorTerm {
    coordinator: StoreRevision,
    claimed_at: Timestamp,
    renewed_at: Timestamp,
    /// Whether this process knows all promotions that earlier coordinators announced.
    knows_predecessors: bool,
}

/// What the store holds of earlier coordinators' announcements when a process begins to coordinate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessors {
    /// Everything that they announced.
    Listed,
    /// Possibly less, because the store was restored from a copy. Each announcement that was
    /// carried out is known to a majority, so any majority includes a node that reports it.
    MaybeLost,
}

/// The nodes that may vote, as known to the granting node.
#[derive(Clone, Copy, Debug)]
pub struct Electorate {
    /// Number of nodes that may hold a lease, including the granting node.
    pub voters: usize,
    /// Time as of which the granting node knows the store's state.
    pub store_known_at: Timestamp,
}

/// The leases granted and the votes received by one process.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    process: u64,
    term: Option<CoordinatorTerm>,
    /// The coordinator under which the votes were cast.
    coordinator: StoreRevision,
    /// For each voter, the latest timestamp of this process's clock that the voter's requests have
    /// echoed.
    votes: BTreeMap<String, Timestamp>,
    granted_at: BTreeMap<String, Timestamp>,
}

impl LeaseGrantor {
    /// Creates the state of a process that has granted no leases.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            term: None,
            coordinator: StoreRevision::default(),
            votes: BTreeMap::new(),
            granted_at: BTreeMap::new(),
        }
    }

    /// Begins this process's term as coordinator. Its record has the revision `coordinator` and was
    /// written by a call made at `claimed_at`.
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

    /// Records that the store renewed the record in a call made at `asked_at`.
    pub fn note_renewed(&mut self, asked_at: Timestamp) {
        if let Some(term) = &mut self.term {
            term.renewed_at = term.renewed_at.max(asked_at);
        }
    }

    /// Ends this process's term as coordinator.
    pub fn end_coordinating(&mut self) {
        self.term = None;
    }

    /// Counts a request as a vote and answers it. `coordinator` is the newest coordinator known to
    /// this node; a vote cast under another one does not count.
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
            self.take_vote(voter, request.echoed_time);
            self.note_majority(electorate);
        }
        let granted = same && self.has_authority(electorate, now);
        if granted {
            self.granted_at.insert(voter.to_owned(), now);
        }
        LeaseAnswer {
            coordinator,
            asked_at: request.asked_at,
            answered_at: ProcessTime {
                process: self.process,
                time: now,
            },
            granted,
        }
    }

    /// Records a vote. A request that echoes a timestamp was made after that time, however long it
    /// was in transit.
    fn take_vote(&mut self, voter: &str, echoed_time: Option<ProcessTime>) {
        let Some(echoed_time) = echoed_time.filter(|echoed| echoed.process == self.process) else {
            return;
        };
        let vote = self.votes.entry(voter.to_owned()).or_default();
        *vote = (*vote).max(echoed_time.time);
    }

    /// Marks earlier announcements as known once a majority has voted for this process and thereby
    /// reported what it knew.
    fn note_majority(&mut self, electorate: Electorate) {
        let majority_voted = self.votes.len() >= majority(electorate.voters);
        if let Some(term) = &mut self.term
            && term.coordinator == self.coordinator
            && majority_voted
        {
            term.knows_predecessors = true;
        }
    }

    /// Returns whether no primary can be replaced now without this process's knowledge: either it
    /// is the only coordinator according to the store, or the votes of a majority bind that
    /// majority to it.
    pub fn has_authority(&self, electorate: Electorate, now: Timestamp) -> bool {
        let by_store = self.term.is_some_and(|term| {
            let relied_on = now.since(term.renewed_at) < STORE_AUTHORITY_TIME;
            term.coordinator == self.coordinator && relied_on && term.knows_predecessors
        });
        if by_store {
            return true;
        }
        let bound = |vote: &&Timestamp| now.since(**vote) < VOTE_DURATION;
        let votes = self.votes.values().filter(bound).count();
        let remembered = now.since(electorate.store_known_at) < OUTAGE_AUTHORITY_TIME;
        remembered && votes >= majority(electorate.voters)
    }

    /// Returns whether this process coordinates by the record at `coordinator` and knows all
    /// promotions that earlier coordinators announced.
    pub fn knows_predecessors(&self, coordinator: StoreRevision) -> bool {
        self.term
            .is_some_and(|term| term.coordinator == coordinator && term.knows_predecessors)
    }

    /// Begins to withdraw the leases granted so far with respect to one group. Every later answer
    /// includes the announcement, so leases granted from now on need no withdrawal. Returns `None`
    /// if this process is not the coordinator.
    pub fn withdraw(&self) -> Option<Withdrawal> {
        let term = self.term?;
        let until = |(node, granted_at): (&String, &Timestamp)| {
            let until = *granted_at + LEASE_DURATION;
            (node.clone(), until)
        };
        Some(Withdrawal {
            claimed_at: term.claimed_at,
            outstanding: self.granted_at.iter().map(until).collect(),
            acknowledged: BTreeSet::new(),
            exclusive_voters: BTreeSet::new(),
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
    /// Nodes that have acknowledged and have not voted for another node recently.
    exclusive_voters: BTreeSet<String>,
    majority_at: Option<Timestamp>,
}

impl Withdrawal {
    /// Records that a node knows the announcement and no longer uses the replaced primary, and
    /// whether other nodes may have granted leases based on its vote.
    pub fn acknowledge(&mut self, node: &str, voted_for_others: bool) {
        self.acknowledged.insert(node.to_owned());
        if !voted_for_others {
            self.exclusive_voters.insert(node.to_owned());
        }
    }

    /// Returns the `voters` that have not acknowledged the announcement.
    pub fn missing<'a>(&self, voters: &'a [String]) -> Vec<&'a String> {
        voters
            .iter()
            .filter(|voter| !self.acknowledged.contains(*voter))
            .collect()
    }

    /// Returns whether no node that has not acknowledged can still hold a lease under which it uses
    /// the replaced primary. `voters` are all nodes that may hold a lease.
    pub fn is_complete(&mut self, voters: &[String], now: Timestamp) -> bool {
        // Evaluated first because it records when a majority had acknowledged.
        let others_have_ended = self.others_have_ended(voters, now);
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
        others_have_ended && self.predecessor_has_ended(now)
    }

    /// Returns whether all leases that an earlier coordinator granted with the store's authority
    /// have expired.
    fn predecessor_has_ended(&self, now: Timestamp) -> bool {
        now.since(self.claimed_at) >= STORE_AUTHORITY_TIME + LEASE_DURATION
    }

    /// Returns whether all leases that other nodes granted based on a majority's votes have
    /// expired. Every majority has a node in common with those that acknowledged. That node has not
    /// been bound to any other node since, and reports the announcement to the node that it votes
    /// for.
    fn others_have_ended(&mut self, voters: &[String], now: Timestamp) -> bool {
        let count =
            |set: &BTreeSet<String>| voters.iter().filter(|node| set.contains(*node)).count();
        let needed = majority(voters.len());
        if count(&self.exclusive_voters) >= needed {
            return true;
        }
        if count(&self.acknowledged) < needed {
            return false;
        }
        let majority_at = *self.majority_at.get_or_insert(now);
        now.since(majority_at) >= LEASE_DURATION
    }
}
