//! Operators' commands on bundles, against the platform stand-in and its faults.

mod operator_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hookpoint::operator::{AppliedRoll, Operator, OperatorError};
use hookpoint_protocol::platform::records::{
    ACTIVE_KEY, ActivePointer, BUNDLE_PREFIX, BundleRecord, HISTORY_PREFIX, bundle_key,
};
use hookpoint_standin::platform::{OutageMode, Platform, PlatformSettings};
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{OperatorKey, SignatureError, TrustedKeys};
use hookpoint_transport::platform::PlatformClient;
use operator_support::{operator_key, small_bundle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);

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
async fn a_bundle_is_prepared_approved_rolled_and_listed() {
    let platform = platform().await;
    let operator = operator(&platform.url(), "ana", COMMAND_TIMEOUT);
    assert_eq!(operator.status().await.expect("a status").active, None);
    let first = prepare_and_approve(&operator).await;
    let second = prepare_and_approve(&operator).await;
    assert_eq!((first, second), (BundleVersion(1), BundleVersion(2)));
    let status = operator.status().await.expect("a status");
    let approvals: Vec<usize> = status
        .prepared
        .iter()
        .map(|bundle| bundle.approved_by.len())
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
async fn a_refused_roll_changes_nothing() {
    let platform = platform().await;
    let operator = operator(&platform.url(), "ana", COMMAND_TIMEOUT);
    let active = prepare_and_approve(&operator).await;
    let unapproved = operator
        .prepare(small_bundle())
        .await
        .expect("prepared")
        .bundle
        .version;
    let untrusted = operator
        .prepare(small_bundle())
        .await
        .expect("prepared")
        .bundle
        .version;
    let untrusted_key = OperatorKey::from_secret([66; 32]);
    operator
        .approve(&untrusted_key, untrusted)
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
        ("approved by an untrusted key", untrusted, None, 1),
        ("not prepared", BundleVersion(99), None, 1),
        ("damaged", damaged, None, 1),
        ("already in force", active, None, 3),
        ("another version expected", later, Some(0), 3),
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
    let refused = operator.roll(untrusted, None, Some(&trusted)).await;
    assert!(matches!(
        refused,
        Err(OperatorError::NotApproved {
            source: SignatureError::NotTrusted,
            ..
        })
    ));
}

#[actix_rt::test]
async fn of_two_concurrent_rolls_one_succeeds_and_the_other_reports_a_conflict() {
    let platform = platform().await;
    let ana = operator(&platform.url(), "ana", COMMAND_TIMEOUT);
    let luis = operator(&platform.url(), "luis", COMMAND_TIMEOUT);
    for round in 0..10 {
        let seen = Some(BundleVersion(round * 2));
        let (first, second) = (
            prepare_and_approve(&ana).await,
            prepare_and_approve(&luis).await,
        );
        // Both rolls expect the same version in force, so exactly one of them is applied,
        // whichever reaches the store first.
        let (by_ana, by_luis) =
            tokio::join!(ana.roll(second, seen, None), luis.roll(first, seen, None));
        let winner = pointer(&platform);
        let (won, lost) = match (by_ana, by_luis) {
            (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
            other => panic!("exactly one roll must succeed: {other:?}"),
        };
        assert_eq!(won.pointer, winner);
        let OperatorError::Conflict {
            conflicting: reported,
        } = lost
        else {
            panic!("the other roll must report a conflict: {lost}");
        };
        let expected = AppliedRoll {
            version: winner.version,
            by: winner.rolled.by.clone(),
        };
        assert_eq!(reported, expected);
        // The next round expects the higher of the two versions in force.
        if winner.version == first {
            ana.roll(second, None, None).await.expect("rolled");
        }
    }
}

#[actix_rt::test]
async fn a_lost_answer_is_resolved_without_applying_a_change_twice() {
    for lost in [1, 2, 5] {
        let platform = platform().await;
        let operator = operator(&platform.url(), "ana", COMMAND_TIMEOUT);
        platform.faults().drop_next_responses(lost);
        let record = operator.prepare(small_bundle()).await.expect("prepared");
        platform.faults().drop_next_responses(lost);
        let version = record.bundle.version;
        let approval = operator
            .approve(&operator_key(), version)
            .await
            .expect("approved");
        platform.faults().drop_next_responses(lost);
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
async fn commands_succeed_on_a_slow_or_rate_limited_platform() {
    let platform = platform().await;
    let operator = operator(&platform.url(), "ana", COMMAND_TIMEOUT);
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
async fn an_outage_is_reported_as_not_run() {
    for mode in [OutageMode::Refuse, OutageMode::NoLeader, OutageMode::Hang] {
        let platform = platform().await;
        let reachable_operator = operator(&platform.url(), "ana", COMMAND_TIMEOUT);
        let version = prepare_and_approve(&reachable_operator).await;
        platform.faults().set_outage(Some(mode));
        let short_timeout_operator = operator(&platform.url(), "ana", Duration::from_millis(1_500));
        let error = short_timeout_operator
            .roll(version, None, None)
            .await
            .expect_err("an outage");
        // Only reads were sent, so the command can report that nothing was changed.
        assert!(
            matches!(error, OperatorError::NotRun(_)),
            "{mode:?}: {error}"
        );
        assert_eq!(error.exit_code(), 5);
        platform.faults().clear();
        assert!(platform.get(ACTIVE_KEY).is_none(), "{mode:?}");
    }
}

/// Starts a relay to the platform that closes after the first transaction: the transaction
/// still reaches the platform, but its answer and all later traffic are lost. Returns the
/// relay's URL.
async fn start_relay_that_loses_the_first_transaction_answer(platform: &Platform) -> String {
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
async fn an_unknown_outcome_is_reported_when_the_store_cannot_be_read() {
    let platform = platform().await;
    let reachable_operator = operator(&platform.url(), "ana", COMMAND_TIMEOUT);
    let version = prepare_and_approve(&reachable_operator).await;
    let url = start_relay_that_loses_the_first_transaction_answer(&platform).await;
    let cut_off = operator(&url, "luis", Duration::from_secs(2));
    let error = cut_off
        .roll(version, None, None)
        .await
        .expect_err("a lost answer");
    assert!(matches!(error, OperatorError::Unknown(_)), "{error}");
    assert_eq!(error.exit_code(), 4);
    assert_eq!(pointer(&platform).rolled.by, "luis", "the roll was applied");
}

#[actix_rt::test]
async fn bundles_far_below_the_version_in_force_are_deleted() {
    let platform = platform().await;
    let operator = operator(&platform.url(), "ana", COMMAND_TIMEOUT);
    for _ in 0..70 {
        let version = prepare_and_approve(&operator).await;
        operator.roll(version, None, None).await.expect("rolled");
    }
    let kept = platform.list(BUNDLE_PREFIX).len();
    assert_eq!(kept, 65);
    assert_eq!(operator.history(100).await.expect("a history").len(), 70);
}
