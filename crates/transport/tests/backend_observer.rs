//! Tests of probes and term verification against scripted databases.

mod fake;

use std::sync::Arc;
use std::time::Duration;

use fake::session::{answer, ask, query};
use fake::{FakeDatabase, LogEntry, Script, TIMEOUT, bundle, eventually, pools, request};
use hookpoint_state::{GroupName, Lsn, Position, Refusal, Term};
use hookpoint_transport::backend::LocalPools;
use hookpoint_transport::lease::{LeaseSource, TermVerifier};
use hookpoint_transport::observe::{FleetStatuses, MajorityVerifier, StatusSource, start_observer};
use hookpoint_transport::shared::Shared;

struct Scene {
    databases: Vec<FakeDatabase>,
    shared: Arc<Shared>,
    pools: Arc<LocalPools>,
    verifier: Arc<MajorityVerifier>,
}

impl Scene {
    /// Starts a primary in term 1 and two replicas.
    async fn new(slots: u32) -> Self {
        let mut databases = Vec::new();
        for index in 0..3 {
            let script = Script {
                recovery: index > 0,
                ..Script::default()
            };
            databases.push(FakeDatabase::start(script).await);
        }
        let addresses: Vec<_> = databases.iter().map(|database| database.address).collect();
        let (shared, pools) = pools(bundle(1, slots, &addresses), |_| {});
        let arbiter = actix::Arbiter::current();
        let statuses = FleetStatuses::new(shared.clone(), pools.clone(), arbiter.clone());
        let verifier = MajorityVerifier::new(shared.clone(), statuses, arbiter);
        Self {
            databases,
            shared,
            pools,
            verifier,
        }
    }

    fn observe(&self) {
        let arbiter = actix::Arbiter::current();
        let fleet: Arc<dyn StatusSource> =
            FleetStatuses::new(self.shared.clone(), self.pools.clone(), arbiter.clone());
        start_observer(self.shared.clone(), self.pools.clone(), fleet, 1, &arbiter);
    }

    fn primary(&self) -> Option<(String, u32)> {
        let view = self.shared.view(&"books".into())?;
        let primary = view.primary()?;
        let name = primary.name.as_str().to_owned();
        primary.reachable.then_some((name, view.highest_term.0))
    }

    /// Makes the second database the primary of `term`.
    fn fail_over(&self, term: u32) {
        self.databases[1].script(|script| {
            script.recovery = false;
            script.term = term;
        });
        self.databases[2].script(|script| script.term = term);
    }

    async fn verify(&self) -> Option<Position> {
        let group = GroupName::from("books");
        let verified = self.verifier.verify(&group);
        let verified = tokio::time::timeout(TIMEOUT, verified).await;
        verified.expect("a verification always ends")
    }
}

fn place(term: u32) -> Option<Position> {
    Some(Position {
        term: Term(term),
        lsn: Lsn(16),
    })
}

#[actix_rt::test]
async fn observer_finds_the_primary_and_its_successor() {
    let scene = Scene::new(2).await;
    scene.observe();
    eventually(|| scene.primary() == Some(("books-0".to_owned(), 1))).await;
    scene.databases[0].script(|script| script.silent = true);
    scene.fail_over(2);
    eventually(|| scene.primary() == Some(("books-1".to_owned(), 2))).await;
    // A status with an older term no longer has an effect.
    scene.databases[0].script(|script| script.silent = false);
    let answered = || {
        let view = scene.shared.view(&"books".into()).unwrap();
        view.databases[0].reachable
    };
    eventually(answered).await;
    assert_eq!(scene.primary(), Some(("books-1".to_owned(), 2)));
}

/// A node that is the home of the primary only finds the new primary through the homes of
/// the other databases, and also probes a database that it once failed to reach.
#[actix_rt::test]
async fn databases_of_other_homes_are_probed_only_when_needed() {
    let scene = Scene::new(2).await;
    scene
        .pools
        .set_home_filter(Arc::new(|name| name.as_str() == "books-0"));
    scene.observe();
    eventually(|| scene.primary() == Some(("books-0".to_owned(), 1))).await;
    let received_messages = |index: usize| {
        let database: &FakeDatabase = &scene.databases[index];
        database.count(|seen| matches!(seen, LogEntry::Message(..)))
    };
    let reachable = |index: usize| {
        let view = scene.shared.view(&"books".into()).unwrap();
        view.databases[index].reachable
    };
    // Wait until probes started before the primary was found have ended.
    let found = received_messages(0);
    eventually(|| received_messages(0) >= found + 3).await;
    let before = [0, 1, 2].map(received_messages);
    eventually(|| received_messages(0) >= before[0] + 3).await;
    assert_eq!([received_messages(1), received_messages(2)], before[1..]);
    scene
        .shared
        .mark_unreachable(&"books".into(), &"books-2".into());
    eventually(|| reachable(2)).await;
    scene.databases[0].script(|script| script.silent = true);
    scene.fail_over(2);
    eventually(|| scene.primary() == Some(("books-1".to_owned(), 2))).await;
}

#[actix_rt::test]
async fn draining_database_is_not_probed() {
    let scene = Scene::new(2).await;
    let addresses: Vec<_> = scene.databases.iter().map(|d| d.address).collect();
    let mut draining = bundle(2, 2, &addresses);
    draining.drain.insert("books-2".into());
    scene.shared.install_bundle(draining);
    scene.observe();
    eventually(|| scene.primary().is_some()).await;
    let probes = |index: usize| {
        let database: &FakeDatabase = &scene.databases[index];
        database.count(|seen| matches!(seen, LogEntry::Message(..)))
    };
    eventually(|| probes(0) >= 3 && probes(1) >= 2).await;
    assert_eq!(probes(2), 0);
}

#[actix_rt::test]
async fn requests_waiting_for_a_replaced_primary_are_rerouted() {
    let scene = Scene::new(1).await;
    scene.observe();
    eventually(|| scene.primary().is_some()).await;
    let mut held = scene
        .pools
        .acquire(request("books-0", 1, TIMEOUT))
        .await
        .unwrap();
    assert_eq!(ask(&mut held, query("WHO")).await, "TDCZ");
    held.commands.send(query("SLEEP")).await.unwrap();
    let waiting = scene.pools.acquire(request("books-0", 2, TIMEOUT));
    let changed = async {
        let waits = || scene.pools.counts()[&"books-0".into()].waiting > 0;
        eventually(waits).await;
        scene.fail_over(2);
    };
    let (refused, ()) = tokio::join!(waiting, changed);
    assert_eq!(refused.unwrap_err(), Refusal::NoDatabase);
    // The request running there is aborted too, because the database sends nothing.
    assert_eq!(answer(&mut held).await, None);
}

#[actix_rt::test]
async fn term_is_verified_by_a_majority_with_its_primary() {
    let scene = Scene::new(1).await;
    assert_eq!(scene.verify().await, place(1));
    scene.databases[2].script(|script| script.silent = true);
    assert_eq!(
        scene.verify().await,
        place(1),
        "a silent replica holds nobody up"
    );
    scene.fail_over(2);
    assert_eq!(
        scene.verify().await,
        place(2),
        "the old primary is outvoted"
    );
    scene.databases[1].script(|script| script.silent = true);
    assert_eq!(scene.verify().await, None, "a minority proves nothing");
}

#[actix_rt::test]
async fn concurrent_verifications_share_rounds() {
    let scene = Scene::new(1).await;
    assert_eq!(scene.verify().await, place(1));
    let before = scene.databases[0].log().len();
    let calls = (0..100).map(|_| scene.verify());
    let results = futures::future::join_all(calls).await;
    assert!(results.iter().all(|result| *result == place(1)));
    let queries = scene.databases[0].log().len() - before;
    assert!(
        (1..=4).contains(&queries),
        "{queries} queries for 100 calls"
    );
}

#[actix_rt::test]
async fn status_query_precedes_waiting_requests_and_takes_no_slot() {
    let scene = Scene::new(1).await;
    let lease = scene
        .pools
        .acquire(request("books-0", 1, TIMEOUT))
        .await
        .unwrap();
    let others: Vec<_> = (2..10)
        .map(|session| {
            let pools = scene.pools.clone();
            actix_rt::spawn(async move {
                let lease = pools.acquire(request("books-0", session, TIMEOUT)).await;
                tokio::time::sleep(Duration::from_millis(200)).await;
                lease.is_ok()
            })
        })
        .collect();
    eventually(|| scene.pools.counts()[&"books-0".into()].waiting == 8).await;
    let group = GroupName::from("books");
    let database = "books-0".into();
    let asked = scene.pools.query_status(&group, &database, TIMEOUT);
    let freed = async {
        eventually(|| scene.pools.counts()[&"books-0".into()].waiting == 9).await;
        drop(lease);
    };
    let (status, ()) = tokio::join!(asked, freed);
    assert_eq!(status.unwrap().term, Term(1));
    for other in others {
        assert!(other.await.unwrap());
    }
    assert_eq!(scene.databases[0].most_open(), 1);
}
