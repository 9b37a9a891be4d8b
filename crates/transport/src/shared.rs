//! Tables shared by the workers of one process.
//!
//! Lock order: `bundle`, then `terms`, then `explain`. A thread holding a later lock
//! never takes an earlier one, and no lock is held across an await point.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hookpoint_coordination::explain::{Decision, ExplainRing};
use hookpoint_coordination::node::LeadershipNews;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_coordination::terms::{GroupView, Member, Proximity, TermTable};
use hookpoint_state::{
    Bundle, DatabaseName, GroupName, Position, SessionId, Term, Timestamp, ZoneName,
};
use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;

use crate::address::AddressTable;
use crate::admin::DecisionCounts;
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
    bundle: RwLock<Configuration>,
    terms: RwLock<TermTable>,
    explain: Mutex<ExplainRing>,
    decisions: DecisionCounts,
    view_changes: watch::Sender<u64>,
    bundle_changes: watch::Sender<u64>,
}

/// The bundle and what the list of machines adds to it.
#[derive(Default)]
struct Configuration {
    /// The bundle as it was approved.
    approved: Option<Arc<Bundle>>,
    /// Addresses of machines that are leaving.
    leaving: BTreeSet<SocketAddr>,
    /// The bundle with the databases on those machines among those to drain.
    effective: Option<Arc<Bundle>>,
}

impl Configuration {
    /// The list of machines is a hint that may be wrong: it never drains all of a
    /// group's databases.
    fn effective_bundle(&self) -> Option<Arc<Bundle>> {
        let approved = self.approved.as_ref()?;
        if self.leaving.is_empty() {
            return Some(Arc::clone(approved));
        }
        let mut staying: BTreeSet<&GroupName> = BTreeSet::new();
        let mut leaving = Vec::new();
        for (name, database) in &approved.databases {
            let address = database.address.parse();
            if address.is_ok_and(|address| self.leaving.contains(&address)) {
                leaving.push((name, &database.group));
            } else if !approved.drain.contains(name) {
                staying.insert(&database.group);
            }
        }
        leaving.retain(|(_, group)| staying.contains(group));
        let mut bundle = Bundle::clone(approved);
        let names = leaving.into_iter().map(|(name, _)| name.clone());
        bundle.drain.extend(names);
        Some(Arc::new(bundle))
    }
}

impl Shared {
    /// Empty tables of a node in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            addresses: AddressTable::default(),
            retries: Retries::default(),
            origin: Instant::now(),
            bundle: RwLock::new(Configuration::default()),
            terms: RwLock::new(TermTable::new()),
            explain: Mutex::new(ExplainRing::new(EXPLAIN_CAPACITY)),
            decisions: DecisionCounts::default(),
            view_changes: watch::Sender::new(0),
            bundle_changes: watch::Sender::new(0),
        }
    }

    /// The node's monotonic time.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_micros() as u64)
    }

    /// The bundle in force. Its list of databases to drain holds those on leaving
    /// machines as well.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.read().effective.clone()
    }

    /// Puts `bundle` in force unless one of the same or a newer version is. Returns
    /// whether it did.
    pub fn install_bundle(&self, bundle: Bundle) -> bool {
        let version = bundle.version;
        let mut configuration = self.bundle.write();
        if let Some(held) = &configuration.approved
            && held.version >= version
        {
            return false;
        }
        configuration.approved = Some(Arc::new(bundle));
        self.apply(&mut configuration);
        drop(configuration);
        self.record(None, Decision::BundleInForce { version });
        self.wake_after_configuration();
        true
    }

    /// Drains the databases at these addresses too, since their machines are leaving.
    /// Returns whether that changed anything.
    pub fn set_leaving_machines(&self, addresses: BTreeSet<SocketAddr>) -> bool {
        let mut configuration = self.bundle.write();
        if configuration.leaving == addresses {
            return false;
        }
        configuration.leaving = addresses;
        let before = configuration.effective.clone();
        self.apply(&mut configuration);
        let changed = configuration.effective != before;
        drop(configuration);
        if changed {
            self.wake_after_configuration();
        }
        changed
    }

    fn apply(&self, configuration: &mut Configuration) {
        configuration.effective = configuration.effective_bundle();
        if let Some(bundle) = &configuration.effective {
            self.configure_terms(bundle);
        }
    }

    fn wake_after_configuration(&self) {
        self.bundle_changes.send_modify(|count| *count += 1);
        self.view_changes.send_modify(|count| *count += 1);
    }

    fn configure_terms(&self, bundle: &Bundle) {
        let mut members: BTreeMap<&GroupName, Vec<Member>> = BTreeMap::new();
        for (name, database) in &bundle.databases {
            let member = Member {
                name: name.clone(),
                proximity: self.proximity(bundle, &database.zone),
                draining: bundle.drain.contains(name),
            };
            members.entry(&database.group).or_default().push(member);
        }
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
            let members = members.remove(group).unwrap_or_default();
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

    /// Runs `decide` on the view of `group` under the lock of the terms, without a copy;
    /// on an empty view where the group is not known. `decide` takes no lock.
    pub fn with_view<R>(&self, group: &GroupName, decide: impl FnOnce(&GroupView) -> R) -> R {
        let terms = self.terms.read();
        match terms.view(group) {
            Some(view) => decide(view),
            None => decide(&GroupView::default()),
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
            let primary = change.primary.as_ref().map(DatabaseName::as_str);
            log::info!(
                "terms: group {} is on term {}, primary: {}.",
                change.group,
                change.term,
                primary.unwrap_or("none")
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

    /// Keeps further writes off a primary whose commit at `position` waits for its
    /// majority.
    pub fn doubt(&self, group: &GroupName, database: &DatabaseName, position: Position) {
        log::info!("terms: database {database} has not confirmed {position} for long.");
        self.terms.write().doubt(group, database, position);
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
        self.decisions.count(&decision);
        self.explain.lock().record(now, session, decision);
    }

    /// Counts of the decisions made since the start.
    pub fn decisions(&self) -> &DecisionCounts {
        &self.decisions
    }

    /// Entries of the explain record, oldest first.
    pub fn explain(
        &self,
        session: Option<SessionId>,
    ) -> Vec<hookpoint_coordination::explain::Entry> {
        self.explain.lock().entries(session).cloned().collect()
    }
}
