//! Tests of the state that a connection keeps across leases: prepared statements and
//! run-time parameters.

mod fake;

use fake::session::{answer, ask, execute, prepare, query, release, settings, tags};
use fake::{FakeDatabase, LogEntry, Script, TIMEOUT, bundle, pools, request};
use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_transport::backend::BackendSettings;
use hookpoint_transport::lease::{BackendLease, LeaseSource};

/// Run-time parameters of a session.
type Parameters = &'static [(&'static str, &'static str)];

/// A fake database and a pool with one connection.
struct Scene {
    database: FakeDatabase,
    pools: std::sync::Arc<hookpoint_transport::backend::LocalPools>,
    session: u64,
}

impl Scene {
    async fn new(change: impl FnOnce(&mut BackendSettings)) -> Self {
        let database = FakeDatabase::start(Script::default()).await;
        let (_, pools) = pools(bundle(1, 1, &[database.address]), change);
        Self {
            database,
            pools,
            session: 0,
        }
    }

    async fn lease(&mut self) -> BackendLease {
        self.session += 1;
        let request = request("books-0", self.session, TIMEOUT);
        self.pools.acquire(request).await.unwrap()
    }

    /// Returns the statement names of all messages with the given tag.
    fn names(&self, tag: u8) -> Vec<String> {
        let log = self.database.log().into_iter();
        log.filter_map(|seen| match seen {
            LogEntry::Message(_, seen, name) if seen == tag => Some(name),
            _ => None,
        })
        .collect()
    }
}

async fn release_lease(lease: BackendLease) {
    lease.commands.send(release(true)).await.unwrap();
}

#[actix_rt::test]
async fn statement_is_prepared_once_and_its_answer_is_not_relayed() {
    let mut scene = Scene::new(|_| {}).await;
    for _ in 0..3 {
        let mut lease = scene.lease().await;
        lease
            .commands
            .send(prepare("s1", "SELECT 1"))
            .await
            .unwrap();
        assert_eq!(ask(&mut lease, execute("s1")).await, "2CZ");
        lease
            .commands
            .send(prepare("s1", "SELECT 1"))
            .await
            .unwrap();
        assert_eq!(ask(&mut lease, execute("s1")).await, "2CZ");
        release_lease(lease).await;
    }
    assert_eq!(scene.names(b'P'), ["s1"]);
    assert_eq!(scene.names(b'B').len(), 6);
}

#[actix_rt::test]
async fn least_recently_used_statement_is_evicted() {
    let mut scene = Scene::new(|settings| settings.prepared_statements = 2).await;
    let mut lease = scene.lease().await;
    for name in ["a", "b", "a", "c", "a", "b"] {
        lease
            .commands
            .send(prepare(name, "SELECT 1"))
            .await
            .unwrap();
        assert_eq!(ask(&mut lease, execute(name)).await, "2CZ");
    }
    assert_eq!(scene.names(b'P'), ["a", "b", "c", "b"]);
    assert_eq!(scene.names(b'C'), ["b", "c"]);
}

#[actix_rt::test]
async fn failed_prepare_is_reported_and_retried() {
    let mut scene = Scene::new(|_| {}).await;
    let mut lease = scene.lease().await;
    for _ in 0..2 {
        lease.commands.send(prepare("bad", "FAIL")).await.unwrap();
        assert_eq!(ask(&mut lease, execute("bad")).await, "EZ");
    }
    // The second statement is skipped after the first one's error, so it is not prepared.
    lease.commands.send(prepare("bad", "FAIL")).await.unwrap();
    lease
        .commands
        .send(prepare("good", "SELECT 1"))
        .await
        .unwrap();
    assert_eq!(ask(&mut lease, execute("good")).await, "EZ");
    lease
        .commands
        .send(prepare("good", "SELECT 1"))
        .await
        .unwrap();
    assert_eq!(ask(&mut lease, execute("good")).await, "2CZ");
    assert_eq!(scene.names(b'P'), ["bad", "bad", "bad", "good", "good"]);
}

#[actix_rt::test]
async fn statement_sent_earlier_in_a_pipeline_is_prepared_again() {
    let mut scene = Scene::new(|_| {}).await;
    let mut lease = scene.lease().await;
    for text in ["FAIL", "SELECT 1"] {
        lease.commands.send(prepare("s", text)).await.unwrap();
        lease.commands.send(execute("s")).await.unwrap();
    }
    assert_eq!(tags(&answer(&mut lease).await.unwrap()), "EZ");
    assert_eq!(tags(&answer(&mut lease).await.unwrap()), "2CZ");
}

#[actix_rt::test]
async fn parameters_are_set_for_the_session_and_reset_after_it() {
    let mut scene = Scene::new(|_| {}).await;
    let steps: [(Parameters, &[&str]); 6] = [
        (&[("timezone", "UTC")], &["SET timezone TO 'UTC';"]),
        (&[("timezone", "UTC")], &[]),
        (
            &[("timezone", "It's"), ("search_path", "\"$user\", public")],
            &["SET search_path TO '$user', 'public';SET timezone TO 'It''s';"],
        ),
        (
            &[("application_name", "a\\b"), ("timezone", "It's")],
            &["RESET search_path;SET application_name TO E'a\\\\b';"],
        ),
        (&[], &["RESET application_name;RESET timezone;"]),
        (&[], &[]),
    ];
    for (wanted, expected) in steps {
        let before = scene.database.queries().len();
        let mut lease = scene.lease().await;
        lease.commands.send(settings(wanted)).await.unwrap();
        assert_eq!(ask(&mut lease, query("WHO")).await, "TDCZ");
        release_lease(lease).await;
        let mut queries = scene.database.queries().split_off(before);
        assert_eq!(queries.pop().as_deref(), Some("WHO"));
        assert_eq!(queries, expected);
    }
    assert_eq!(scene.database.started(), 1);
}

#[actix_rt::test]
async fn invalid_parameter_name_breaks_the_lease() {
    let mut scene = Scene::new(|_| {}).await;
    let mut lease = scene.lease().await;
    let injected = settings(&[("x;DROP TABLE books", "1")]);
    lease.commands.send(injected).await.unwrap();
    assert_eq!(answer(&mut lease).await, None);
    assert_eq!(scene.database.queries(), Vec::<String>::new());
    let mut next = scene.lease().await;
    assert_eq!(ask(&mut next, query("WHO")).await, "TDCZ");
}

/// Checks whether `DISCARD ALL` runs between two sessions.
#[actix_rt::test]
async fn session_state_is_discarded_between_sessions() {
    let cases = [
        ("WHO", false, false),
        ("WHO", true, true),
        ("SET x TO 1", false, true),
    ];
    for (text, discard, discarded) in cases {
        let mut scene = Scene::new(|_| {}).await;
        let mut lease = scene.lease().await;
        lease
            .commands
            .send(settings(&[("timezone", "UTC")]))
            .await
            .unwrap();
        lease.commands.send(prepare("s", "SELECT 1")).await.unwrap();
        ask(&mut lease, execute("s")).await;
        ask(&mut lease, query(text)).await;
        let end = BackendCommand::Release {
            reusable: true,
            discard,
        };
        lease.commands.send(end).await.unwrap();
        let mut next = scene.lease().await;
        next.commands
            .send(settings(&[("timezone", "UTC")]))
            .await
            .unwrap();
        next.commands.send(prepare("s", "SELECT 1")).await.unwrap();
        assert_eq!(ask(&mut next, execute("s")).await, "2CZ");
        let queries = scene.database.queries();
        let count = |text: &str| queries.iter().filter(|query| *query == text).count();
        assert_eq!(count("DISCARD ALL"), usize::from(discarded), "{text}");
        // Discarded state has to be set and prepared again.
        let times = 1 + usize::from(discarded);
        assert_eq!(count("SET timezone TO 'UTC';"), times, "{text}");
        assert_eq!(scene.names(b'P').len(), times, "{text}");
        assert_eq!(scene.database.started(), 1);
    }
}
