//! State store wrapper that counts calls by kind. Every call has a cost, including those that the
//! store refuses.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hookpoint_state::{StoreEra, StoreRevision};

use crate::counters::Counters;
use crate::ports::{
    ConditionalWrite, LeaseId, ReadFreshness, StateStore, StoreChanges, StoreError, WriteOutcome,
};

/// Counts each call and forwards it to the wrapped store.
pub(crate) struct CountedStore {
    store: Rc<dyn StateStore>,
    counters: Rc<Counters>,
}

impl CountedStore {
    pub(crate) fn new(store: Rc<dyn StateStore>, counters: Rc<Counters>) -> Self {
        Self { store, counters }
    }

    fn count(&self, kind: &'static str) {
        self.counters.count("store_calls", kind);
    }
}

#[async_trait(?Send)]
impl StateStore for CountedStore {
    async fn read_all(&self, freshness: ReadFreshness) -> Result<StoreChanges, StoreError> {
        self.count(match freshness {
            ReadFreshness::Current => "read_all",
            ReadFreshness::Stale => "read_all_old",
        });
        self.store.read_all(freshness).await
    }

    async fn read_fleet_records(
        &self,
        prefix: &str,
        freshness: ReadFreshness,
    ) -> Result<StoreChanges, StoreError> {
        self.count("read_own");
        self.store.read_fleet_records(prefix, freshness).await
    }

    async fn watch(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<StoreChanges, StoreError> {
        self.count("watch");
        self.store.watch(revision, wait).await
    }

    async fn read(&self, key: &str) -> Result<Option<(StoreRevision, Bytes)>, StoreError> {
        self.count("read");
        self.store.read(key).await
    }

    async fn write(&self, write: ConditionalWrite) -> Result<WriteOutcome, StoreError> {
        self.count("write");
        self.store.write(write).await
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError> {
        self.count("grant_lease");
        self.store.grant_lease(time_to_live).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<StoreEra, StoreError> {
        self.count("renew_lease");
        self.store.renew_lease(lease).await
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.count("end_lease");
        self.store.end_lease(lease).await
    }
}
