//! Tests of retries of requests whose connections break: they are limited per request and
//! by the tenant's budget, and end with "not run".

mod caller_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_trait::async_trait;
use caller_support::{FakeGroup, connect, settings, sqlstate};
use hookpoint_state::Refusal;
use hookpoint_transport::caller::CallerListener;
use hookpoint_transport::lease::{AcquireRequest, BackendLease, LeaseSource};
use tokio::sync::mpsc;

/// Grants leases, of which the next `broken` ones are broken from the start.
struct BreakingLeases {
    group: Arc<FakeGroup>,
    broken: AtomicUsize,
    granted: AtomicUsize,
}

#[async_trait]
impl LeaseSource for BreakingLeases {
    async fn acquire(&self, request: AcquireRequest) -> Result<BackendLease, Refusal> {
        self.granted.fetch_add(1, Ordering::SeqCst);
        let take_one = |left: usize| left.checked_sub(1);
        let broken = self
            .broken
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take_one);
        if broken.is_err() {
            return self.group.acquire(request).await;
        }
        Ok(BackendLease {
            database: request.database,
            commands: mpsc::channel(1).0,
            replies: mpsc::channel(1).1,
        })
    }
}

async fn start(broken: usize) -> (Arc<BreakingLeases>, tokio_postgres::Client) {
    let group = FakeGroup::new();
    let leases = Arc::new(BreakingLeases {
        group: Arc::clone(&group),
        broken: AtomicUsize::new(broken),
        granted: AtomicUsize::new(0),
    });
    let shared = Arc::clone(&group.shared);
    let handle = CallerListener::start(settings(), shared, Arc::clone(&leases) as _, group).await;
    let handle = handle.expect("the listener starts");
    let client = connect(&handle).await;
    (leases, client)
}

#[actix_rt::test]
async fn read_survives_a_few_broken_connections() {
    let (leases, client) = start(5).await;
    let answer = client.simple_query("SELECT 1").await;
    assert!(answer.is_ok(), "{answer:?}");
    assert_eq!(leases.granted.load(Ordering::SeqCst), 6);
}

/// A request has at most eight attempts; a tenant that has sent few requests has ten
/// retries, and each request earns a fifth of a retry.
#[actix_rt::test]
async fn attempt_limit_and_tenant_budget_end_the_retries() {
    let (leases, client) = start(usize::MAX).await;
    let expected = [("HN009", 8), ("HN002", 4), ("HN002", 1)];
    for (state, attempts) in expected {
        let before = leases.granted.load(Ordering::SeqCst);
        let error = client.simple_query("SELECT 1").await.expect_err("broken");
        assert_eq!(sqlstate(&error), state);
        let granted = leases.granted.load(Ordering::SeqCst) - before;
        assert_eq!(granted, attempts, "{state}");
    }
}
