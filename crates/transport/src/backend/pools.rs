//! All pools of a node.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix::{Actor, Addr, Arbiter, ArbiterHandle};
use async_trait::async_trait;
use hookpoint_coordination::slots::{Lane, RequestNumber, SlotCounts, SlotPolicy, WaitingRequest};
use hookpoint_coordination::terms::GroupView;
use hookpoint_state::{Bundle, DatabaseName, GroupName, Refusal, ZoneName};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{mpsc, oneshot};

use super::message::{
    Acquire, Cancelled, Configure, PoolConfiguration, Reroute, Retire, SetHome, Target,
};
use super::pool::{BrokenConnectionSender, PoolActor, PoolParts};
use super::settings::BackendSettings;
use crate::lease::{AcquireRequest, BackendLease, LeaseSource};
use crate::observe::{OWN_SESSION, SharedStatuses, shared_statuses};
use crate::shared::Shared;

/// Predicate that determines whether this node is the home of a database.
pub type HomeFilter = Arc<dyn Fn(&DatabaseName) -> bool + Send + Sync>;

/// How much longer than the proxy's own limit a database waits before it ends an idle
/// transaction.
const IDLE_TRANSACTION_GRACE: Duration = Duration::from_secs(5);
/// Capacity of the channel of broken connections; further entries would add no
/// information.
const BROKEN_CONNECTION_BUFFER: usize = 256;

struct PoolEntry {
    group: GroupName,
    address: Addr<PoolActor>,
    counts: Arc<Mutex<SlotCounts>>,
}

/// The pools of this node, one for each database that has been requested.
///
/// Lock order: `pools`, then `home` or any lock of [`Shared`]. A [`HomeFilter`] is called
/// with `pools` held and must not call back into `LocalPools`.
pub struct LocalPools {
    shared: Arc<Shared>,
    settings: Arc<BackendSettings>,
    pools: Mutex<BTreeMap<DatabaseName, PoolEntry>>,
    home: RwLock<HomeFilter>,
    next_request: AtomicU64,
    broken_connections: BrokenConnectionSender,
    broken_receiver: Mutex<Option<mpsc::Receiver<DatabaseName>>>,
    statuses: Arc<SharedStatuses>,
}

impl LocalPools {
    /// Creates an empty table of pools that follows the current bundle.
    pub fn new(shared: Arc<Shared>, settings: BackendSettings) -> Arc<Self> {
        let (broken_connections, broken_receiver) = mpsc::channel(BROKEN_CONNECTION_BUFFER);
        let arbiter = arbiter_of(&settings, 0);
        let pools = Arc::new_cyclic(|weak_self| Self {
            statuses: shared_statuses(shared.clone(), arbiter, weak_self.clone()),
            shared,
            settings: Arc::new(settings),
            pools: Mutex::new(BTreeMap::new()),
            home: RwLock::new(Arc::new(|_| true)),
            next_request: AtomicU64::new(0),
            broken_connections,
            broken_receiver: Mutex::new(Some(broken_receiver)),
        });
        pools.watch_bundles();
        pools.watch_views();
        pools
    }

    /// Returns the zone of this node.
    pub fn zone(&self) -> &ZoneName {
        &self.shared.zone
    }

    /// Replaces the filter that determines which databases this node is home for.
    pub fn set_home_filter(&self, filter: HomeFilter) {
        *self.home.write() = filter;
        self.release_moved_connections();
    }

    /// Evaluates the filter again for each pool after a membership change. Pools of
    /// databases that have moved to another home release their idle connections.
    pub fn release_moved_connections(&self) {
        for (database, entry) in &*self.pools.lock() {
            let home = self.is_home(database);
            entry.address.do_send(SetHome(home));
        }
    }

    /// Returns whether this node is home for `database`.
    pub fn is_home(&self, database: &DatabaseName) -> bool {
        let filter = self.home.read().clone();
        filter(database)
    }

    /// Returns the numbers of connections and waiting requests of each pool.
    pub fn counts(&self) -> BTreeMap<DatabaseName, SlotCounts> {
        let pools = self.pools.lock();
        pools
            .iter()
            .map(|(name, entry)| (name.clone(), *entry.counts.lock()))
            .collect()
    }

    /// Makes requests that wait for `database` look for another one, because it does not
    /// answer.
    pub fn reroute(&self, database: &DatabaseName) {
        self.send_reroute(database, false);
    }

    fn send_reroute(&self, database: &DatabaseName, former_primary: bool) {
        if let Some(entry) = self.pools.lock().get(database) {
            entry.address.do_send(Reroute { former_primary });
        }
    }

    /// Shuts all pools down: refuses waiting requests, closes idle connections and lets
    /// running leases finish.
    pub fn retire(&self) {
        for entry in std::mem::take(&mut *self.pools.lock()).into_values() {
            entry.address.do_send(Retire);
        }
    }

    async fn acquire_in(
        &self,
        lane: Lane,
        request: AcquireRequest,
    ) -> Result<BackendLease, Refusal> {
        let address = self.pool(&request.database)?;
        let number = RequestNumber(self.next_request.fetch_add(1, Ordering::Relaxed));
        let waiting = WaitingRequest {
            number,
            tenant: request.tenant,
            zone: request.zone,
            session: request.session,
            deadline: self.shared.now() + request.wait,
            lane,
        };
        let (reply, answer) = oneshot::channel();
        address.do_send(Acquire {
            request: waiting,
            reply,
        });
        let mut cancel_on_drop = CancelOnDrop {
            address,
            number: Some(number),
        };
        let result = answer.await.unwrap_or(Err(Refusal::NoDatabase));
        cancel_on_drop.number = None;
        result
    }

    pub(crate) fn statuses(&self) -> &SharedStatuses {
        &self.statuses
    }

    /// Takes the receiver of broken connections; `None` after the first call.
    pub(crate) fn take_broken_connections(&self) -> Option<mpsc::Receiver<DatabaseName>> {
        self.broken_receiver.lock().take()
    }

    fn pool(&self, database: &DatabaseName) -> Result<Addr<PoolActor>, Refusal> {
        let mut pools = self.pools.lock();
        if let Some(entry) = pools.get(database) {
            return Ok(entry.address.clone());
        }
        let entry = self.start_pool(database, pools.len())?;
        let address = entry.address.clone();
        pools.insert(database.clone(), entry);
        Ok(address)
    }

    fn start_pool(&self, database: &DatabaseName, index: usize) -> Result<PoolEntry, Refusal> {
        let bundle = self.shared.bundle().ok_or(Refusal::NoBundle)?;
        let entry = bundle.databases.get(database);
        let group = entry.ok_or(Refusal::NoDatabase)?.group.clone();
        let counts = Arc::new(Mutex::new(SlotCounts::default()));
        let parts = PoolParts {
            shared: self.shared.clone(),
            settings: self.settings.clone(),
            group: group.clone(),
            database: database.clone(),
            configuration: configuration_of(&bundle, database).ok_or(Refusal::NoDatabase)?,
            home: self.is_home(database),
            seed: self.settings.seed.wrapping_add(index as u64),
            counts: counts.clone(),
            broken_connections: self.broken_connections.clone(),
        };
        let arbiter = arbiter_of(&self.settings, index);
        let address = PoolActor::start_in_arbiter(&arbiter, move |_| PoolActor::new(parts));
        Ok(PoolEntry {
            group,
            address,
            counts,
        })
    }

    /// Starts the task that applies each new bundle to the pools.
    fn watch_bundles(self: &Arc<Self>) {
        let mut changes = self.shared.bundle_changes();
        let pools = Arc::downgrade(self);
        arbiter_of(&self.settings, 0).spawn(async move {
            while changes.changed().await.is_ok() {
                let Some(pools) = pools.upgrade() else {
                    return;
                };
                pools.configure();
            }
        });
    }

    /// Starts the task that reroutes requests waiting for a primary that has been
    /// replaced.
    fn watch_views(self: &Arc<Self>) {
        let mut changes = self.shared.view_changes();
        let pools = Arc::downgrade(self);
        let mut primaries = BTreeMap::new();
        arbiter_of(&self.settings, 0).spawn(async move {
            while changes.changed().await.is_ok() {
                let Some(pools) = pools.upgrade() else {
                    return;
                };
                pools.reroute_from_former_primaries(&mut primaries);
            }
        });
    }

    fn reroute_from_former_primaries(&self, primaries: &mut BTreeMap<GroupName, DatabaseName>) {
        let groups: BTreeSet<GroupName> = {
            let pools = self.pools.lock();
            pools.values().map(|entry| entry.group.clone()).collect()
        };
        primaries.retain(|group, _| groups.contains(group));
        for group in &groups {
            let view = self.shared.view(group);
            let Some(primary) = view.as_ref().and_then(GroupView::primary) else {
                continue;
            };
            let before = primaries.insert(group.clone(), primary.name.clone());
            if let Some(former_primary) = before.filter(|before| *before != primary.name) {
                self.send_reroute(&former_primary, true);
            }
        }
    }

    fn configure(&self) {
        let mut pools = self.pools.lock();
        let Some(bundle) = self.shared.bundle() else {
            return;
        };
        pools.retain(|database, entry| {
            let configuration = configuration_of(&bundle, database);
            let kept = configuration.is_some();
            match configuration {
                Some(configuration) => entry.address.do_send(Configure(configuration)),
                None => entry.address.do_send(Retire),
            }
            kept
        });
    }
}

#[async_trait]
impl LeaseSource for LocalPools {
    async fn acquire(&self, request: AcquireRequest) -> Result<BackendLease, Refusal> {
        let lane = if request.session == OWN_SESSION {
            Lane::Observer
        } else {
            Lane::Work
        };
        self.acquire_in(lane, request).await
    }
}

/// Cancels a request when its future is dropped.
struct CancelOnDrop {
    address: Addr<PoolActor>,
    number: Option<RequestNumber>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.address.do_send(Cancelled(number));
        }
    }
}

fn arbiter_of(settings: &BackendSettings, index: usize) -> ArbiterHandle {
    let arbiters = &settings.arbiters;
    match arbiters.get(index % arbiters.len().max(1)) {
        Some(arbiter) => arbiter.clone(),
        None => Arbiter::current(),
    }
}

fn configuration_of(bundle: &Bundle, database: &DatabaseName) -> Option<PoolConfiguration> {
    let entry = bundle.databases.get(database)?;
    let group = bundle.groups.get(&entry.group)?;
    Some(PoolConfiguration {
        policy: SlotPolicy::from_bundle(bundle, database)?,
        target: Arc::new(Target {
            address: entry.address.parse().map_err(|_| entry.address.clone()),
            user: group.user.clone(),
            database: group.database.clone(),
            idle_transaction_timeout: Duration::from_millis(bundle.limits.idle_transaction_ms)
                + IDLE_TRANSACTION_GRACE,
        }),
        draining: bundle.drain.contains(database),
    })
}
