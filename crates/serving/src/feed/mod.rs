//! Passes changes of the state store from the node that watches it to the other nodes.
//!
//! The rules for the age of this node's information, and for where it looks for newer information,
//! are in `hookpoint_coordination::serving::store_freshness`.

mod answering;
mod following;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::departure::Coverage;
use hookpoint_coordination::serving::feed::ChangeLog;
use hookpoint_coordination::serving::store_freshness::StoreFreshness;
use hookpoint_state::{StoreRevision, Timestamp};
use tokio::sync::Notify;

pub use self::answering::{FeedAnswer, FollowRequest, answer};
pub use self::following::{
    Followed, follow_upstream, is_fresh, is_region_watcher, should_try_store, watch_wait,
    watches_store,
};
pub(crate) use self::following::{ListingReply, request_listing};
use crate::packed::{self, PackError};
use crate::ports::{ChangeSubject, StoreChange, StoreChanges, StoreRecord};

/// The store's changes known to this node, and their age.
#[derive(Default)]
pub struct Feed {
    log: RefCell<ChangeLog<ChangeSubject, Rc<StoreChange>>>,
    /// Store revision up to which this node has applied all changes.
    revision: Cell<StoreRevision>,
    /// Age of this node's information, and the state of the search for newer.
    freshness: RefCell<StoreFreshness>,
    /// The time up to which every change is known here.
    coverage: RefCell<Coverage>,
    caught_up: Cell<bool>,
    advanced: Notify,
    skipped_upstreams: RefCell<Vec<(String, Timestamp)>>,
    failures: Cell<u32>,
    /// The answer last packed for a follower: most followers request the same changes.
    packed: RefCell<Option<PackedChanges>>,
}

/// Packed changes as sent to followers.
struct PackedChanges {
    /// Revision after which the changes begin, or `None` for a complete listing.
    after: Option<StoreRevision>,
    /// Revision of the last change included.
    revision: StoreRevision,
    bytes: Bytes,
}

impl Feed {
    /// Records a complete listing of the store.
    pub fn record_listing(&self, all: &StoreChanges) {
        self.failures.set(0);
        let listed = all.changes.iter().map(|change| {
            let subject = change.record.subject();
            (change.revision, subject, Rc::new(change.clone()))
        });
        let gone = |subject: &ChangeSubject, known: &Rc<StoreChange>| {
            let record = StoreRecord::gone(subject).filter(|gone| *gone != known.record)?;
            let revision = all.revision;
            Some(Rc::new(StoreChange { revision, record }))
        };
        self.log
            .borrow_mut()
            .take_listing(all.revision, listed.collect(), gone);
        self.advance(all.revision);
    }

    /// Records one change of the store in the log; [`Feed::advance`] makes it count as applied.
    pub fn record(&self, change: &StoreChange) {
        let subject = change.record.subject();
        let change = Rc::new(change.clone());
        self.log
            .borrow_mut()
            .record(change.revision, subject, change);
    }

    /// Records that all changes up to `revision` have been applied.
    pub fn advance(&self, revision: StoreRevision) {
        self.revision.set(revision);
        self.advanced.notify_waiters();
    }

    /// Returns the store revision up to which this node has applied all changes; the default
    /// before the first.
    pub(crate) fn revision(&self) -> StoreRevision {
        self.revision.get()
    }

    /// Records that the store reported its state as of `when` in answer to a call of this node.
    /// The answer is about to be applied and contains every change up to `covered`.
    pub fn note_store_report(&self, when: Timestamp, covered: Timestamp) {
        self.failures.set(0);
        self.caught_up.set(true);
        self.coverage.borrow_mut().extend(covered);
        self.freshness.borrow_mut().note_store_answer(when);
        self.advanced.notify_waiters();
    }

    /// Records that the store answered a call of this node, possibly with an old state.
    pub(crate) fn note_answered(&self) {
        self.freshness.borrow_mut().note_answered();
    }

    /// Records that the store's era has changed, or that this node has learnt of it for the first
    /// time.
    pub(crate) fn note_era(&self, now: Timestamp) {
        self.coverage.borrow_mut().note_era(now);
    }

    /// Records that the store's era has settled: what was lost with the previous era has been
    /// written again.
    pub(crate) fn note_settled(&self) {
        self.coverage.borrow_mut().settle();
    }

    fn note_relayed_report(&self, when: Timestamp, covered: Timestamp) {
        self.failures.set(0);
        self.caught_up.set(true);
        self.coverage.borrow_mut().extend(covered);
        self.freshness.borrow_mut().note_upstream_answer(when);
        self.advanced.notify_waiters();
    }

    /// Records that a call of this node failed or that its answer is overdue. Followers whose
    /// requests wait here are informed immediately.
    pub fn note_rejected(&self, now: Timestamp) {
        self.failures.set(self.failures.get().saturating_add(1));
        self.freshness.borrow_mut().note_rejected(now);
        self.advanced.notify_waiters();
    }

    /// Returns the number of calls to the store that have failed since the last successful one.
    pub fn failures(&self) -> u32 {
        self.failures.get()
    }

    /// Records that a peer's snapshot of the store's contents (configuration, databases and
    /// registered nodes) has been applied. This counts as having caught up even though the store
    /// itself has not reported to this node.
    pub fn note_caught_up(&self) {
        self.caught_up.set(true);
    }

    /// Returns whether, since it started, this node has received the store's present state (directly
    /// or through an upstream) or has applied a peer's snapshot of it.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up.get()
    }

    /// Returns when the store reported, directly or through other nodes, the state known here.
    pub fn known_at(&self) -> Timestamp {
        self.freshness.borrow().known_at()
    }

    /// Returns the time up to which every change was known before the most recently applied
    /// report: the changes in that report happened later.
    pub(crate) fn covered_before_last_report(&self) -> Timestamp {
        self.coverage.borrow().before_last_update()
    }

    /// Returns the pause before upstreams that reported nothing newer are asked again.
    pub fn search_pause(&self, now: Timestamp) -> Duration {
        self.freshness.borrow().search_pause(now)
    }

    fn is_skipped(&self, upstream: &str, now: Timestamp) -> bool {
        let mut skipped_upstreams = self.skipped_upstreams.borrow_mut();
        skipped_upstreams.retain(|(_, until)| now < *until);
        skipped_upstreams.iter().any(|(name, _)| name == upstream)
    }

    fn skip_upstream(&self, upstream: &str, until: Timestamp) {
        self.skipped_upstreams
            .borrow_mut()
            .push((upstream.to_owned(), until));
    }

    /// Returns the changes after `revision`, or `None` if some of them are not known.
    fn changes_since(&self, revision: StoreRevision) -> Option<Vec<Rc<StoreChange>>> {
        self.log.borrow().since(revision)
    }

    /// Caches a complete listing as packed by an upstream, so that it can be forwarded unchanged.
    fn cache_packed(&self, everything: &StoreChanges, bytes: &Bytes) {
        *self.packed.borrow_mut() = Some(PackedChanges {
            after: None,
            revision: everything.revision,
            bytes: bytes.clone(),
        });
    }

    /// Packs `changes`, which are all changes after the revision `after`, or a complete listing if
    /// `after` is `None`. If the same changes were packed last, returns the cached bytes.
    fn pack(
        &self,
        after: Option<StoreRevision>,
        changes: &[Rc<StoreChange>],
    ) -> Result<Bytes, PackError> {
        let revision = self.known_revision_after(after);
        if let Some(last) = &*self.packed.borrow()
            && (last.after, last.revision) == (after, revision)
        {
            return Ok(last.bytes.clone());
        }
        let bytes = self.pack_uncached(after, changes)?;
        *self.packed.borrow_mut() = Some(PackedChanges {
            after,
            revision,
            bytes: bytes.clone(),
        });
        Ok(bytes)
    }

    /// Packs changes like [`Self::pack`], but without using the cache.
    fn pack_uncached(
        &self,
        after: Option<StoreRevision>,
        changes: &[Rc<StoreChange>],
    ) -> Result<Bytes, PackError> {
        let changes = changes.iter().map(|change| StoreChange::clone(change));
        packed::pack(&StoreChanges {
            revision: self.known_revision_after(after),
            changes: changes.collect(),
        })
    }

    /// Returns the revision up to which this node knows the changes after `after`.
    fn known_revision_after(&self, after: Option<StoreRevision>) -> StoreRevision {
        self.revision.get().max(after.unwrap_or_default())
    }
}
