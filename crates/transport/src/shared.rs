//! Tables shared by the workers of one process.
//!
//! Lock order: `bundle`, then `terms`, then `explain`. A thread holding a later lock
//! never takes an earlier one, and no lock is held across an await point.

use std::sync::Arc;
use std::time::Instant;

use hookpoint_coordination::explain::{Decision, ExplainRing};
use hookpoint_coordination::node::LeadershipNews;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_coordination::terms::{GroupView, Member, Proximity, TermTable};
use hookpoint_state::{Bundle, DatabaseName, GroupName, SessionId, Term, Timestamp, ZoneName};
use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;

use crate::address::AddressTable;
use crate::retries::Retries;

/// Entries the explain record keeps.
const EXPLAIN_CAPACITY: usize = 8_192;

/// State shared by all workers of a proxy.
pub struct Shared {
    /// Zone of this node.
    pub zone: ZoneName,
    /// Addresses that this node reaches by another address.
    pub addresses: AddressTable,
    /// Retry policy and budgets of this node.
    pub retries: Retries,
    origin: Instant,
    bundle: RwLock<Option<Arc<Bundle>>>,
    terms: RwLock<TermTable>,
    explain: Mutex<ExplainRing>,
    view_changes: watch::Sender<u64>,
    bundle_changes: watch::Sender<u64>,
}

impl Shared {
    /// Empty tables of a node in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            addresses: AddressTable::default(),
            retries: Retries::default(),
            origin: Instant::now(),
            bundle: RwLock::new(None),
            terms: RwLock::new(TermTable::new()),
            explain: Mutex::new(ExplainRing::new(EXPLAIN_CAPACITY)),
            view_changes: watch::Sender::new(0),
            bundle_changes: watch::Sender::new(0),
        }
    }

    /// The node's monotonic time.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_micros() as u64)
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.read().clone()
    }

    /// Puts `bundle` in force unless one of the same or a newer version is. Returns
    /// whether it did.
    pub fn install_bundle(&self, bundle: Bundle) -> bool {
        let mut current = self.bundle.write();
        if let Some(held) = current.as_ref()
            && held.version >= bundle.version
        {
            return false;
        }
        let version = bundle.version;
        self.configure_terms(&bundle);
        *current = Some(Arc::new(bundle));
        drop(current);
        self.record(None, Decision::BundleInForce { version });
        self.bundle_changes.send_modify(|count| *count += 1);
        self.view_changes.send_modify(|count| *count += 1);
        true
    }

    fn configure_terms(&self, bundle: &Bundle) {
        let mut terms = self.terms.write();
        let gone: Vec<GroupName> = terms
            .groups()
            .filter(|group| !bundle.groups.contains_key(*group))
            .cloned()
            .collect();
        for group in gone {
            terms.remove(&group);
        }
        for (group, description) in &bundle.groups {
            let members = bundle.databases_of(group).map(|(name, database)| Member {
                name: name.clone(),
                proximity: self.proximity(bundle, &database.zone),
                draining: bundle.drain.contains(name),
            });
            terms.configure(group, description.reads, members);
        }
    }

    fn proximity(&self, bundle: &Bundle, zone: &ZoneName) -> Proximity {
        if zone == &self.zone {
            return Proximity::SameZone;
        }
        match (bundle.region_of(zone), bundle.region_of(&self.zone)) {
            (Some(theirs), Some(ours)) if theirs == ours => Proximity::SameRegion,
            _ => Proximity::Remote,
        }
    }

    /// A copy of the view of `group`.
    pub fn view(&self, group: &GroupName) -> Option<GroupView> {
        self.terms.read().view(group).cloned()
    }

    /// Who leads each group, as far as this node knows.
    pub fn leaderships(&self) -> Vec<LeadershipNews> {
        let terms = self.terms.read();
        let views = terms
            .groups()
            .filter_map(|group| terms.view(group).map(|view| (group, view)));
        views
            .map(|(group, view)| {
                let primary = view.primary();
                LeadershipNews {
                    group: group.clone(),
                    term: view.highest_term,
                    primary: primary.map(|primary| primary.name.clone()),
                    place: primary.map(|primary| primary.place).unwrap_or_default(),
                }
            })
            .collect()
    }

    /// Takes a status answer and wakes waiting requests when leadership changed.
    pub fn observe(&self, group: &GroupName, database: &DatabaseName, status: &BackendStatus) {
        let now = self.now();
        let change = self.terms.write().observe(now, group, database, status);
        if let Some(change) = change {
            log::info!(
                "terms: group {} is on term {} with primary {:?}.",
                change.group,
                change.term,
                change.primary
            );
            let decision = Decision::Leadership {
                group: change.group,
                term: change.term,
                primary: change.primary,
            };
            self.record(None, decision);
            self.view_changes.send_modify(|count| *count += 1);
        }
    }

    /// Learns from an authentic source, such as a session's token, that `group` has
    /// reached `term`; its older primaries are not trusted any more.
    pub fn learn_term(&self, group: &GroupName, term: Term) {
        if self.terms.write().learn_term(group, term) {
            self.view_changes.send_modify(|count| *count += 1);
        }
    }

    /// Marks a database as not answering and wakes waiting requests.
    pub fn unreachable(&self, group: &GroupName, database: &DatabaseName) {
        self.terms.write().unreachable(group, database);
        self.view_changes.send_modify(|count| *count += 1);
    }

    /// A receiver that wakes when any group's view changes.
    pub fn view_changes(&self) -> watch::Receiver<u64> {
        self.view_changes.subscribe()
    }

    /// A receiver that wakes when a bundle comes into force.
    pub fn bundle_changes(&self) -> watch::Receiver<u64> {
        self.bundle_changes.subscribe()
    }

    /// Adds a decision to the explain record.
    pub fn record(&self, session: Option<SessionId>, decision: Decision) {
        let now = self.now();
        self.explain.lock().record(now, session, decision);
    }

    /// Entries of the explain record, oldest first.
    pub fn explain(
        &self,
        session: Option<SessionId>,
    ) -> Vec<hookpoint_coordination::explain::Entry> {
        self.explain.lock().entries(session).cloned().collect()
    }
}
