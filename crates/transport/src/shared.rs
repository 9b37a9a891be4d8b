//! Tables shared by the workers of one process.
//!
//! Lock order: `bundle`, then `terms`, then `explain`. A thread that holds a later lock
//! never takes an earlier one, and no lock is held across an await point.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hookpoint_coordination::explain::{Decision, ExplainRing};
use hookpoint_coordination::node::LeadershipUpdate;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_coordination::terms::{GroupMember, GroupView, Proximity, TermTable};
use hookpoint_state::{
    Bundle, DatabaseName, GroupName, Position, SessionId, Term, Timestamp, ZoneName,
};
use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;

use crate::address::AddressTable;
use crate::admin::DecisionCounts;
use crate::retries::Retries;

/// Maximum number of entries in the explain record.
const EXPLAIN_CAPACITY: usize = 8_192;

/// State shared by all workers of a proxy.
pub struct Shared {
    /// Zone of this node.
    pub zone: ZoneName,
    /// Replacements of addresses that this node reaches at another address.
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

/// The approved bundle and the changes to it derived from the list of machines.
#[derive(Default)]
struct Configuration {
    /// The bundle as approved.
    approved: Option<Arc<Bundle>>,
    /// Addresses of machines that are leaving.
    leaving: BTreeSet<SocketAddr>,
    /// The approved bundle, with the databases on leaving machines added to those to
    /// drain.
    effective: Option<Arc<Bundle>>,
}

impl Configuration {
    /// Computes the effective bundle. The list of machines is a hint that may be wrong,
    /// so it never drains all databases of a group.
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
    /// Creates empty tables for a node in `zone`.
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

    /// Returns the node's monotonic time, in microseconds since its start.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the bundle in force. Its list of databases to drain includes those on
    /// leaving machines.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.read().effective.clone()
    }

    /// Puts `bundle` in force unless the same or a newer version is in force. Returns
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
        self.update_effective(&mut configuration);
        drop(configuration);
        self.record(None, Decision::BundleInForce { version });
        self.notify_configuration_change();
        true
    }

    /// Additionally drains the databases at these addresses, because their machines are
    /// leaving. Returns whether the effective bundle changed.
    pub fn set_leaving_machines(&self, addresses: BTreeSet<SocketAddr>) -> bool {
        let mut configuration = self.bundle.write();
        if configuration.leaving == addresses {
            return false;
        }
        configuration.leaving = addresses;
        let before = configuration.effective.clone();
        self.update_effective(&mut configuration);
        let changed = configuration.effective != before;
        drop(configuration);
        if changed {
            self.notify_configuration_change();
        }
        changed
    }

    fn update_effective(&self, configuration: &mut Configuration) {
        configuration.effective = configuration.effective_bundle();
        if let Some(bundle) = &configuration.effective {
            self.configure_terms(bundle);
        }
    }

    fn notify_configuration_change(&self) {
        self.bundle_changes.send_modify(|count| *count += 1);
        self.view_changes.send_modify(|count| *count += 1);
    }

    fn configure_terms(&self, bundle: &Bundle) {
        let mut members: BTreeMap<&GroupName, Vec<GroupMember>> = BTreeMap::new();
        for (name, database) in &bundle.databases {
            let member = GroupMember {
                name: name.clone(),
                proximity: self.proximity(bundle, &database.zone),
                draining: bundle.drain.contains(name),
            };
            members.entry(&database.group).or_default().push(member);
        }
        let mut terms = self.terms.write();
        let removed: Vec<GroupName> = terms
            .groups()
            .filter(|group| !bundle.groups.contains_key(*group))
            .cloned()
            .collect();
        for group in removed {
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
    /// on an empty view if the group is not known. `decide` must not take a lock.
    pub fn with_view<R>(&self, group: &GroupName, decide: impl FnOnce(&GroupView) -> R) -> R {
        let terms = self.terms.read();
        match terms.view(group) {
            Some(view) => decide(view),
            None => decide(&GroupView::default()),
        }
    }

    /// Returns a copy of the view of `group`.
    pub fn view(&self, group: &GroupName) -> Option<GroupView> {
        self.terms.read().view(group).cloned()
    }

    /// Returns the leadership of each group, as known to this node.
    pub fn leaderships(&self) -> Vec<LeadershipUpdate> {
        let terms = self.terms.read();
        let views = terms
            .groups()
            .filter_map(|group| terms.view(group).map(|view| (group, view)));
        views
            .map(|(group, view)| {
                let primary = view.primary();
                LeadershipUpdate {
                    group: group.clone(),
                    term: view.highest_term,
                    primary: primary.map(|primary| primary.name.clone()),
                    position: primary.map(|primary| primary.position).unwrap_or_default(),
                }
            })
            .collect()
    }

    /// Applies the status that a database reported, and wakes waiting requests if
    /// leadership changed.
    pub fn apply_status(&self, group: &GroupName, database: &DatabaseName, status: &BackendStatus) {
        let now = self.now();
        let change = self
            .terms
            .write()
            .apply_status(now, group, database, status);
        if let Some(change) = change {
            let primary = change.primary.as_ref().map(DatabaseName::as_str);
            log::info!(
                "terms: group {} is in term {}, primary: {}.",
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

    /// Records that `group` has reached `term`, as reported by an authentic source such
    /// as a session token; primaries of older terms are no longer trusted.
    pub fn raise_term(&self, group: &GroupName, term: Term) {
        if self.terms.write().raise_term(group, term) {
            self.view_changes.send_modify(|count| *count += 1);
        }
    }

    /// Keeps further writes off a primary whose commit at `position` has not been
    /// confirmed by a majority.
    pub fn mark_unconfirmed(&self, group: &GroupName, database: &DatabaseName, position: Position) {
        log::info!(
            "terms: database {database} has not confirmed the commit at {position} in time."
        );
        self.terms
            .write()
            .mark_unconfirmed(group, database, position);
    }

    /// Marks a database as unreachable and wakes waiting requests.
    pub fn mark_unreachable(&self, group: &GroupName, database: &DatabaseName) {
        self.terms.write().mark_unreachable(group, database);
        self.view_changes.send_modify(|count| *count += 1);
    }

    /// Returns a watch that changes whenever the view of any group changes.
    pub fn view_changes(&self) -> watch::Receiver<u64> {
        self.view_changes.subscribe()
    }

    /// Returns a watch that changes whenever a bundle comes into force.
    pub fn bundle_changes(&self) -> watch::Receiver<u64> {
        self.bundle_changes.subscribe()
    }

    /// Adds a decision to the explain record.
    pub fn record(&self, session: Option<SessionId>, decision: Decision) {
        let now = self.now();
        self.decisions.count(&decision);
        self.explain.lock().record(now, session, decision);
    }

    /// Returns the counters of decisions since the start.
    pub fn decisions(&self) -> &DecisionCounts {
        &self.decisions
    }

    /// Returns the entries of the explain record, oldest first; with `session`, only
    /// those of that session.
    pub fn explain(
        &self,
        session: Option<SessionId>,
    ) -> Vec<hookpoint_coordination::explain::Entry> {
        self.explain.lock().entries(session).cloned().collect()
    }
}
