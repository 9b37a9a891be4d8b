//! What operators do with bundles, against the platform stand-in and its faults.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{operator_key, small_bundle};
use hookpoint::operator::{Operator, OperatorError, Winner};
use hookpoint_protocol::platform::records::{
    ACTIVE_KEY, ActivePointer, BUNDLE_PREFIX, BundleRecord, HISTORY_PREFIX, bundle_key,
};
use hookpoint_standin::platform::{OutageMode, Platform, PlatformSettings};
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{OperatorKey, SignatureError, TrustedKeys};
use hookpoint_transport::platform::PlatformClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PATIENCE: Duration = Duration::from_secs(20);

async fn platform() -> Platform {
    Platform::start(PlatformSettings::default())
        .await
        .expect("a platform")
}

fn operator(url: &str, name: &str, timeout: Duration) -> Operator {
    let client = PlatformClient::new(vec![url.to_owned()], Duration::from_secs(1));
    Operator::new(client, name, timeout)
}

async fn prepare_and_approve(operator: &Operator) -> BundleVersion {
    let record = operator.prepare(small_bundle()).await.expect("prepared");
    let version = record.bundle.version;
    operator
        .approve(&operator_key(), version)
        .await
        .expect("approved");
    version
}

fn pointer(platform: &Platform) -> ActivePointer {
    let entry = platform.get(ACTIVE_KEY).expect("a pointer");
    serde_json::from_slice(&entry.value).expect("a pointer")
}

#[actix_rt::test]
async fn a_bundle_is_prepared_approved_rolled_and_told_of() {
    let platform = platform().await;
    let operator = operator(&platform.url(), "ana", PATIENCE);
    assert_eq!(operator.status().await.expect("a status").active, None);
    let first = prepare_and_approve(&operator).await;
    let second = prepare_and_approve(&operator).await;
    assert_eq!((first, second), (BundleVersion(1), BundleVersion(2)));
    let status = operator.status().await.expect("a status");
    let approvals: Vec<usize> = status
        .prepared
        .iter()
        .map(|one| one.approved_by.len())
        .collect();
    assert_eq!(approvals, vec![1, 1]);
    for (version, seen) in [(first, 0), (second, 1)] {
        let rolled = operator
            .roll(version, Some(BundleVersion(seen)), None)
            .await;
        assert_eq!(
            rolled.expect("rolled").pointer.previous,
            BundleVersion(seen)
        );
    }
    let status = operator.status().await.expect("a status");
    assert_eq!(status.active.map(|pointer| pointer.version), Some(second));
    assert_eq!(status.prepared, vec![]);
    let history = operator.history(10).await.expect("a history");
    let versions: Vec<u64> = history.iter().map(|pointer| pointer.version.0).collect();
    assert_eq!(versions, vec![1, 2]);
    assert!(history.iter().all(|pointer| pointer.rolled.by == "ana"));
}

#[actix_rt::test]
async fn what_may_not_be_rolled_changes_nothing() {
    let platform = platform().await;
    let operator = operator(&platform.url(), "ana", PATIENCE);
    let active = prepare_and_approve(&operator).await;
    let unapproved = operator
        .prepare(small_bundle())
        .await
        .expect("prepared")
        .bundle
        .version;
    let strangers = operator
        .prepare(small_bundle())
        .await
        .expect("prepared")
        .bundle
        .version;
    let stranger = OperatorKey::from_secret([66; 32]);
    operator
        .approve(&stranger, strangers)
        .await
        .expect("approved");
    let later = prepare_and_approve(&operator).await;
    operator.roll(active, None, None).await.expect("rolled");
    let damaged = prepare_and_approve(&operator).await;
    let key = bundle_key(damaged);
    let stored = platform.get(&key).expect("a record").value;
    let mut record: BundleRecord = serde_json::from_slice(&stored).expect("a record");
    Arc::make_mut(&mut record.bundle).limits.wait_ms += 1;
    platform.put(&key, &serde_json::to_vec(&record).expect("a record"));

    let trusted = TrustedKeys::read(&[operator_key().public_text()]).expect("a key");
    let before = pointer(&platform);
    let cases: Vec<(&str, BundleVersion, Option<u64>, u8)> = vec![
        ("not approved", unapproved, None, 1),
        ("approved by a stranger", strangers, None, 1),
        ("not prepared", BundleVersion(99), None, 1),
        ("damaged", damaged, None, 1),
        ("in force already", active, None, 3),
        ("seen another version", later, Some(0), 3),
    ];
    for (name, version, seen, code) in cases {
        let seen = seen.map(BundleVersion);
        let error = operator
            .roll(version, seen, Some(&trusted))
            .await
            .expect_err(name);
        assert_eq!(error.exit_code(), code, "{name}: {error}");
        assert_eq!(pointer(&platform), before, "{name}");
    }
    let mut broken = small_bundle();
    broken.zones.clear();
    let error = operator.prepare(broken).await.expect_err("a broken rule");
    assert_eq!(error.exit_code(), 2, "{error}");
    let refused = operator.roll(strangers, None, Some(&trusted)).await;
    assert!(matches!(
        refused,
        Err(OperatorError::NotApproved {
            source: SignatureError::NotTrusted,
            ..
        })
    ));
}

#[actix_rt::test]
async fn of_two_operators_who_saw_the_same_one_wins_and_the_other_is_told() {
    let platform = platform().await;
    let ana = operator(&platform.url(), "ana", PATIENCE);
    let luis = operator(&platform.url(), "luis", PATIENCE);
    for round in 0..10 {
        let seen = Some(BundleVersion(round * 2));
        let (first, second) = (
            prepare_and_approve(&ana).await,
            prepare_and_approve(&luis).await,
        );
        // Whoever rolls the higher version may win after the other; then the lower one
        // is the conflict or no longer newer. Both saw the same version at first.
        let (by_ana, by_luis) =
            tokio::join!(ana.roll(second, seen, None), luis.roll(first, seen, None));
        let winner = pointer(&platform);
        let (won, lost) = match (by_ana, by_luis) {
            (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
            other => panic!("one of two has to win: {other:?}"),
        };
        assert_eq!(won.pointer, winner);
        let OperatorError::Conflict { winner: told } = lost else {
            panic!("the loser is told of a conflict: {lost}");
        };
        let expected = Winner {
            version: winner.version,
            by: winner.rolled.by.clone(),
        };
        assert_eq!(told, expected);
        // The next round starts from the higher of the two.
        if winner.version == first {
            ana.roll(second, None, None).await.expect("rolled");
        }
    }
}

#[actix_rt::test]
async fn a_lost_answer_is_resolved_and_nothing_is_applied_twice() {
    for lost in [1, 2, 5] {
        let platform = platform().await;
        let operator = operator(&platform.url(), "ana", PATIENCE);
        platform.faults().lose_next_answers(lost);
        let record = operator.prepare(small_bundle()).await.expect("prepared");
        platform.faults().lose_next_answers(lost);
        let version = record.bundle.version;
        let approval = operator
            .approve(&operator_key(), version)
            .await
            .expect("approved");
        platform.faults().lose_next_answers(lost);
        let rolled = operator
            .roll(version, Some(BundleVersion(0)), None)
            .await
            .expect("rolled");
        platform.faults().clear();
        assert_eq!(version, BundleVersion(1));
        assert_eq!(approval.record.signatures.len(), 1);
        assert_eq!(rolled.pointer, pointer(&platform));
        assert_eq!(platform.list(BUNDLE_PREFIX).len(), 1);
        assert_eq!(platform.list(HISTORY_PREFIX).len(), 1);
        assert_eq!(
            platform.get(ACTIVE_KEY).expect("a pointer").version,
            1,
            "written once"
        );
    }
}

#[actix_rt::test]
async fn a_slow_or_limited_platform_only_takes_longer() {
    let platform = platform().await;
    let operator = operator(&platform.url(), "ana", PATIENCE);
    platform.faults().set_rate_limit(Some(4.0));
    let first = prepare_and_approve(&operator).await;
    operator
        .roll(first, None, None)
        .await
        .expect("rolled within the limit");
    platform.faults().set_rate_limit(None);
    platform
        .faults()
        .set_delay(Some(Duration::from_millis(200)));
    let second = prepare_and_approve(&operator).await;
    operator
        .roll(second, None, None)
        .await
        .expect("rolled slowly");
    platform
        .faults()
        .set_outage_for(OutageMode::Refuse, Duration::from_millis(700));
    let third = prepare_and_approve(&operator).await;
    operator
        .roll(third, None, None)
        .await
        .expect("rolled after the outage");
    assert_eq!(pointer(&platform).version, third);
}

#[actix_rt::test]
async fn an_outage_is_told_as_not_run() {
    for mode in [OutageMode::Refuse, OutageMode::NoLeader, OutageMode::Hang] {
        let platform = platform().await;
        let ready = operator(&platform.url(), "ana", PATIENCE);
        let version = prepare_and_approve(&ready).await;
        platform.faults().set_outage(Some(mode));
        let hasty = operator(&platform.url(), "ana", Duration::from_millis(1_500));
        let error = hasty
            .roll(version, None, None)
            .await
            .expect_err("an outage");
        // Nothing but reads were sent, so the command knows that it changed nothing.
        assert!(
            matches!(error, OperatorError::NotRun(_)),
            "{mode:?}: {error}"
        );
        assert_eq!(error.exit_code(), 5);
        platform.faults().clear();
        assert!(platform.get(ACTIVE_KEY).is_none(), "{mode:?}");
    }
}

/// Relays to the platform until a transaction passes: that one still reaches the
/// platform, but its answer and everything after it is lost.
async fn gate_that_closes_behind_a_transaction(platform: &Platform) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let target = platform.address();
    let closed = Arc::new(AtomicBool::new(false));
    actix_rt::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            if !closed.load(Ordering::SeqCst) {
                actix_rt::spawn(relay(caller, target, Arc::clone(&closed)));
            }
        }
    });
    url
}

async fn relay(
    mut caller: TcpStream,
    target: std::net::SocketAddr,
    closed: Arc<AtomicBool>,
) -> std::io::Result<()> {
    let mut platform = TcpStream::connect(target).await?;
    let mut from_caller = vec![0; 64 * 1024];
    let mut from_platform = vec![0; 64 * 1024];
    loop {
        tokio::select! {
            length = caller.read(&mut from_caller) => {
                let bytes = &from_caller[..length?];
                if bytes.is_empty() || closed.load(Ordering::SeqCst) {
                    return Ok(());
                }
                platform.write_all(bytes).await?;
                if bytes.windows(10).any(|window| window == b"/v3/kv/txn") {
                    closed.store(true, Ordering::SeqCst);
                }
            }
            length = platform.read(&mut from_platform) => {
                let bytes = &from_platform[..length?];
                if bytes.is_empty() || closed.load(Ordering::SeqCst) {
                    return Ok(());
                }
                caller.write_all(bytes).await?;
            }
        }
    }
}

#[actix_rt::test]
async fn unknown_is_only_said_when_the_store_cannot_be_read_back() {
    let platform = platform().await;
    let ready = operator(&platform.url(), "ana", PATIENCE);
    let version = prepare_and_approve(&ready).await;
    let url = gate_that_closes_behind_a_transaction(&platform).await;
    let cut_off = operator(&url, "luis", Duration::from_secs(2));
    let error = cut_off
        .roll(version, None, None)
        .await
        .expect_err("a lost answer");
    assert!(matches!(error, OperatorError::Unknown(_)), "{error}");
    assert_eq!(error.exit_code(), 4);
    assert_eq!(pointer(&platform).rolled.by, "luis", "it did take effect");
}

#[actix_rt::test]
async fn bundles_far_behind_the_one_in_force_are_deleted() {
    let platform = platform().await;
    let operator = operator(&platform.url(), "ana", PATIENCE);
    for _ in 0..70 {
        let version = prepare_and_approve(&operator).await;
        operator.roll(version, None, None).await.expect("rolled");
    }
    let kept = platform.list(BUNDLE_PREFIX).len();
    assert_eq!(kept, 65);
    assert_eq!(operator.history(100).await.expect("a history").len(), 70);
}
