//! Changes of the state store, passed from the node that watches it to the others.
//!
//! How old this node's knowledge is, and where it turns for newer, is decided by
//! `hookpoint_coordination::serving::store_news`.

mod answering;
mod following;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::departure::Coverage;
use hookpoint_coordination::serving::feed::ChangeLog;
use hookpoint_coordination::serving::store_news::StoreNews;
use hookpoint_state::{StoreRevision, Timestamp};
use tokio::sync::Notify;

pub use self::answering::{FeedAnswer, FollowQuestion, answer};
pub(crate) use self::following::{Everything, ask_for_everything};
pub use self::following::{
    Followed, follow_upstream, is_fresh, is_watcher, own_try_is_due, watch_wait, watches,
};
use crate::packed::{self, PackError};
use crate::ports::{ChangeSubject, StoreChange, StoreChanges, StoreRecord};

/// What this node knows of the store's changes.
#[derive(Default)]
pub struct Feed {
    log: RefCell<ChangeLog<ChangeSubject, Rc<StoreChange>>>,
    /// Up to where this node follows the store.
    revision: Cell<StoreRevision>,
    /// How old that is, and the search for newer.
    news: RefCell<StoreNews>,
    /// Up to when every change is known here.
    coverage: RefCell<Coverage>,
    caught_up: Cell<bool>,
    advanced: Notify,
    passed_over: RefCell<Vec<(String, Timestamp)>>,
    failures: Cell<u32>,
    /// What was last packed for a follower: most of them ask for the same.
    packed: RefCell<Option<PackedChanges>>,
}

/// Changes as they are sent to followers.
struct PackedChanges {
    /// The follower knows everything up to this revision; none if they are everything.
    after: Option<StoreRevision>,
    /// The changes are all up to this one.
    revision: StoreRevision,
    bytes: Bytes,
}

impl Feed {
    /// Takes in everything that the store holds.
    pub fn take_listing(&self, all: &StoreChanges) {
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

    /// Takes in one change.
    pub fn record(&self, change: &StoreChange) {
        let subject = change.record.subject();
        let change = Rc::new(change.clone());
        self.log
            .borrow_mut()
            .record(change.revision, subject, change);
    }

    /// All changes up to `revision` are taken in.
    pub fn advance(&self, revision: StoreRevision) {
        self.revision.set(revision);
        self.advanced.notify_waiters();
    }

    /// Up to where this node follows the store; the default before it knows anything.
    pub(crate) fn revision(&self) -> StoreRevision {
        self.revision.get()
    }

    /// The store answered a call of this node's own at `when`; the answer is about to be taken
    /// in, and holds every change up to `covered`.
    pub fn note_told(&self, when: Timestamp, covered: Timestamp) {
        self.failures.set(0);
        self.caught_up.set(true);
        self.coverage.borrow_mut().extend(covered);
        self.news.borrow_mut().note_told(when);
        self.advanced.notify_waiters();
    }

    /// The store answered a call of this node's own, maybe with an old state.
    pub(crate) fn note_answered(&self) {
        self.news.borrow_mut().note_answered();
    }

    /// The store is in another era than was known, or this node hears of its era for the first
    /// time.
    pub(crate) fn note_era(&self, now: Timestamp) {
        self.coverage.borrow_mut().note_era(now);
    }

    /// The store has been in its era for so long that it holds again what it lost.
    pub(crate) fn note_settled(&self) {
        self.coverage.borrow_mut().settle();
    }

    fn note_heard(&self, when: Timestamp, covered: Timestamp) {
        self.failures.set(0);
        self.caught_up.set(true);
        self.coverage.borrow_mut().extend(covered);
        self.news.borrow_mut().note_heard(when);
        self.advanced.notify_waiters();
    }

    /// A call of this node's own failed, or its answer is overdue: those who wait here are told
    /// so at once.
    pub fn note_turned_away(&self, now: Timestamp) {
        self.failures.set(self.failures.get().saturating_add(1));
        self.news.borrow_mut().note_turned_away(now);
        self.advanced.notify_waiters();
    }

    /// Calls to the store that failed since the last that did not.
    pub fn failures(&self) -> u32 {
        self.failures.get()
    }

    /// Takes in that a peer told what it knows.
    pub fn note_caught_up(&self) {
        self.caught_up.set(true);
    }

    /// Whether this node has known the store's present state, or what a peer knew of it, since
    /// it started.
    pub fn has_caught_up(&self) -> bool {
        self.caught_up.get()
    }

    /// When the store told, directly or through others, of the state that is known here.
    pub fn news_at(&self) -> Timestamp {
        self.news.borrow().told_at()
    }

    /// Up to when every change was known before the news that was taken in last: what that
    /// tells of changed later.
    pub(crate) fn covered_before_news(&self) -> Timestamp {
        self.coverage.borrow().before_news()
    }

    /// Pause before upstreams that told nothing newer are asked again.
    pub fn search_pause(&self, now: Timestamp) -> Duration {
        self.news.borrow().search_pause(now)
    }

    fn is_passed_over(&self, watcher: &str, now: Timestamp) -> bool {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|(_, until)| now < *until);
        passed_over.iter().any(|(name, _)| name == watcher)
    }

    fn pass_over(&self, watcher: &str, until: Timestamp) {
        self.passed_over
            .borrow_mut()
            .push((watcher.to_owned(), until));
    }

    /// The changes after `revision`, if all of them are known.
    fn changes_since(&self, revision: StoreRevision) -> Option<Vec<Rc<StoreChange>>> {
        self.log.borrow().since(revision)
    }

    /// Keeps everything as an upstream packed it, so that it can be passed on as it is.
    fn keep_packed(&self, everything: &StoreChanges, bytes: &Bytes) {
        *self.packed.borrow_mut() = Some(PackedChanges {
            after: None,
            revision: everything.revision,
            bytes: bytes.clone(),
        });
    }

    /// Packs `changes`, which are all after `after`, or everything; those that were packed last
    /// are neither copied nor packed again.
    fn pack(
        &self,
        after: Option<StoreRevision>,
        changes: &[Rc<StoreChange>],
    ) -> Result<Bytes, PackError> {
        let revision = self.known_after(after);
        if let Some(last) = &*self.packed.borrow()
            && (last.after, last.revision) == (after, revision)
        {
            return Ok(last.bytes.clone());
        }
        let bytes = self.pack_anew(after, changes)?;
        *self.packed.borrow_mut() = Some(PackedChanges {
            after,
            revision,
            bytes: bytes.clone(),
        });
        Ok(bytes)
    }

    /// The same without a look at what was packed last.
    fn pack_anew(
        &self,
        after: Option<StoreRevision>,
        changes: &[Rc<StoreChange>],
    ) -> Result<Bytes, PackError> {
        let changes = changes.iter().map(|change| StoreChange::clone(change));
        packed::pack(&StoreChanges {
            revision: self.known_after(after),
            changes: changes.collect(),
        })
    }

    /// Up to where this node knows the changes after `after`.
    fn known_after(&self, after: Option<StoreRevision>) -> StoreRevision {
        self.revision.get().max(after.unwrap_or_default())
    }
}
