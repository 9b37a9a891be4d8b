//! Tests of failover: loss and isolation of the primary, and switchover.

mod database_support;

use std::collections::BTreeSet;
use std::time::Duration;

use database_support::{
    STATUS_QUERY, code, connect, database, expect_failure, group_of_three, query_number,
    query_texts, start, status_of, try_connect, wait_until, wait_until_elected,
    wait_until_replayed,
};
use hookpoint_standin::database::{DatabaseGroup, DatabaseRole, GroupSettings, Lsn};
use tokio_postgres::types::ToSql;

/// A fault that makes a group lose its primary.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Kill,
    Pause,
    IsolateFromPeers,
    IsolateFromAll,
}

const LOSSES: [Loss; 4] = [
    Loss::Kill,
    Loss::Pause,
    Loss::IsolateFromPeers,
    Loss::IsolateFromAll,
];

impl Loss {
    fn inject(self, group: &DatabaseGroup, name: &str) {
        match self {
            Self::Kill => group.kill(name),
            Self::Pause => group.pause(name),
            Self::IsolateFromPeers => group.isolate(name, true),
            Self::IsolateFromAll => group.isolate(name, false),
        }
    }

    fn undo(self, group: &DatabaseGroup, name: &str) {
        match self {
            Self::Kill => group.restart(name),
            Self::Pause => group.resume(name),
            Self::IsolateFromPeers | Self::IsolateFromAll => group.heal(name),
        }
    }
}

fn fast_failover_group() -> GroupSettings {
    GroupSettings {
        election_timeout: Duration::from_millis(100),
        heartbeat_interval: Duration::from_millis(20),
        commit_wait: Duration::from_millis(300),
        ..group_of_three()
    }
}

/// Writes notes with identifiers from `first` on until a write fails. Returns the
/// identifiers of the acknowledged writes.
async fn write_until_failure(client: &tokio_postgres::Client, first: i64) -> Vec<i64> {
    let mut acknowledged = Vec::new();
    for id in first.. {
        let parameters: [&(dyn ToSql + Sync); 1] = [&id];
        let insert = client.execute("INSERT INTO notes VALUES ($1, 'x')", &parameters);
        match tokio::time::timeout(Duration::from_secs(2), insert).await {
            Ok(Ok(_)) => acknowledged.push(id),
            _ => break,
        }
    }
    acknowledged
}

async fn stored_ids(group: &DatabaseGroup, name: &str) -> BTreeSet<i64> {
    let client = connect(group, name).await;
    let rows = client
        .query("SELECT id FROM notes", &[])
        .await
        .expect("the read runs");
    rows.iter().map(|row| row.get(0)).collect()
}

async fn wait_until_logs_are_identical(group: &DatabaseGroup) {
    wait_until("all logs are identical", || {
        let (a, b, c) = (group.history("a"), group.history("b"), group.history("c"));
        a == b && b == c
    })
    .await;
    wait_until_replayed(group).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_acknowledged_write_is_lost() {
    for loss in LOSSES {
        let group = start(fast_failover_group()).await;
        let client = connect(&group, "a").await;
        let inject = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            loss.inject(&group, "a");
        };
        let (mut acknowledged, ()) = tokio::join!(write_until_failure(&client, 0), inject);
        assert!(!acknowledged.is_empty(), "{loss:?}");
        let primary = wait_until_elected(&group, "a").await;
        let election = group.elections().pop().expect("an election");
        assert_eq!(election.primary, primary, "{loss:?}");
        assert!(election.old_primary_lost_at.is_some(), "{loss:?}");
        let client = connect(&group, &primary).await;
        for id in 1_000_000..1_000_010_i64 {
            client
                .execute("INSERT INTO notes VALUES ($1, 'y')", &[&id])
                .await
                .expect("the new primary accepts writes");
            acknowledged.push(id);
        }
        loss.undo(&group, "a");
        wait_until_logs_are_identical(&group).await;
        for name in ["a", "b", "c"] {
            let stored = stored_ids(&group, name).await;
            assert!(
                acknowledged.iter().all(|id| stored.contains(id)),
                "{loss:?} {name}"
            );
        }
        group.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn most_advanced_replica_is_elected() {
    for lagging_replica in ["b", "c"] {
        let group = start(fast_failover_group()).await;
        let client = connect(&group, "a").await;
        group.isolate(lagging_replica, true);
        client
            .simple_query("INSERT INTO notes VALUES (1, 'x')")
            .await
            .expect("the write runs");
        group.kill("a");
        group.heal(lagging_replica);
        let primary = wait_until_elected(&group, "a").await;
        assert_ne!(primary, lagging_replica);
        assert_eq!(stored_ids(&group, &primary).await, BTreeSet::from([1]));
        group.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_primary_acknowledges_no_commit_with_synchronous_commit() {
    let group = start(fast_failover_group()).await;
    let client = connect(&group, "a").await;
    group.isolate("a", true);
    let error = client
        .execute("INSERT INTO notes VALUES (1, 'x')", &[])
        .await
        .expect_err("no majority confirms");
    assert_eq!(code(&error), "57P01");
    group.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_primary_receives_no_flush_positions() {
    let group = start(GroupSettings {
        synchronous_commit: false,
        ..fast_failover_group()
    })
    .await;
    let client = connect(&group, "a").await;
    client
        .simple_query("INSERT INTO notes VALUES (1, 'x')")
        .await
        .expect("the write runs");
    wait_until_replayed(&group).await;
    group.isolate("a", true);
    let before = status_of(&group, "a").flushed;
    let primary = wait_until_elected(&group, "a").await;
    client
        .simple_query("INSERT INTO notes VALUES (2, 'lost')")
        .await
        .expect("the write returns without a majority");
    let status = query_texts(&client, STATUS_QUERY).await;
    let own = status_of(&group, "a").flushed;
    assert!(own > before);
    assert_eq!(
        status[..3],
        ["f".to_owned(), "1".to_owned(), own.to_string()]
    );
    for replica in status[3].split(',').filter(|text| !text.is_empty()) {
        let position = replica.split('=').nth(1).expect("name=position");
        assert!(parse_lsn(position) <= before, "{status:?}");
    }
    let other = connect(&group, &primary).await;
    other
        .simple_query("INSERT INTO notes VALUES (3, 'kept')")
        .await
        .expect("the write runs");
    let newer = query_texts(&other, STATUS_QUERY).await;
    assert_eq!(newer[..2], ["f".to_owned(), "2".to_owned()]);

    group.heal("a");
    wait_until_logs_are_identical(&group).await;
    assert!(
        client.simple_query("SELECT 1").await.is_err(),
        "old connections are closed"
    );
    assert_eq!(stored_ids(&group, "a").await, BTreeSet::from([1, 3]));
    assert_eq!(status_of(&group, "a").role, DatabaseRole::Replica);
    let client = connect(&group, "a").await;
    assert_eq!(query_texts(&client, STATUS_QUERY).await[..2], ["t", "2"]);
    assert_eq!(expect_failure(&client, "DELETE FROM notes").await, "25006");
    group.stop().await;
}

fn parse_lsn(position: &str) -> Lsn {
    let (high, low) = position.split_once('/').expect("a position has two parts");
    let high = u64::from_str_radix(high, 16).expect("hexadecimal");
    Lsn(high << 32 | u64::from_str_radix(low, 16).expect("hexadecimal"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_primary_without_a_majority() {
    let group = start(fast_failover_group()).await;
    group.kill("a");
    group.kill("b");
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(group.primary(), None);
    let client = connect(&group, "c").await;
    assert_eq!(
        expect_failure(&client, "INSERT INTO notes VALUES (1, 'x')").await,
        "25006"
    );
    let receivers = query_number(&client, "SELECT count(*) FROM pg_stat_wal_receiver").await;
    assert_eq!(receivers, 0);
    let refused = try_connect(&group, "a")
        .await
        .expect_err("the process is down");
    assert_eq!(code(&refused), "");
    group.restart("b");
    wait_until("there is a primary again", || group.primary().is_some()).await;
    group.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn switchover_loses_no_acknowledged_write() {
    let group = start(fast_failover_group()).await;
    let client = connect(&group, "a").await;
    let switchover = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        group.switchover("c");
    };
    let (acknowledged, ()) = tokio::join!(write_until_failure(&client, 0), switchover);
    wait_until("the switchover is complete", || {
        group.primary().as_deref() == Some("c")
    })
    .await;
    assert_eq!(
        expect_failure(&connect(&group, "a").await, "DELETE FROM notes").await,
        "25006"
    );
    wait_until_logs_are_identical(&group).await;
    let stored = stored_ids(&group, "c").await;
    assert!(acknowledged.iter().all(|id| stored.contains(id)));
    assert_eq!(status_of(&group, "c").term, 2);
    group.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replicas_lag_and_their_positions_never_decrease() {
    let mut settings = fast_failover_group();
    settings.databases.push(database("d"));
    settings.databases[1].replay_lag = Duration::from_secs(3600);
    settings.databases[2].replay_lag = Duration::from_millis(100);
    let group = start(settings).await;
    let client = connect(&group, "a").await;
    let mut last = [Lsn(0); 4];
    for id in 0..50_i64 {
        client
            .execute("INSERT INTO notes VALUES ($1, 'x')", &[&id])
            .await
            .expect("the write runs");
        for (before, status) in last.iter_mut().zip(group.status()) {
            assert!(status.replayed >= *before, "{}", status.name);
            assert!(status.replayed <= status.flushed, "{}", status.name);
            *before = status.replayed;
        }
    }
    let all = status_of(&group, "a").flushed;
    wait_until("b has flushed", || status_of(&group, "b").flushed == all).await;
    wait_until("c has replayed", || status_of(&group, "c").replayed == all).await;
    let lagging = connect(&group, "b").await;
    assert_eq!(
        query_number(&lagging, "SELECT count(*) FROM notes").await,
        0
    );
    group.set_replay_lag("b", Duration::ZERO);
    wait_until("b has replayed", || status_of(&group, "b").replayed == all).await;
    assert_eq!(
        query_number(&lagging, "SELECT count(*) FROM notes").await,
        50
    );
    group.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_sessions_use_a_group_from_many_threads() {
    let group = start(fast_failover_group()).await;
    let mut writers = Vec::new();
    for writer in 0..5_i64 {
        let client = connect(&group, "a").await;
        writers.push(tokio::spawn(async move {
            for offset in 0..100 {
                let id = writer * 1000 + offset;
                let parameters: [&(dyn ToSql + Sync); 1] = [&id];
                client
                    .execute("INSERT INTO notes VALUES ($1, 'x')", &parameters)
                    .await
                    .expect("the write runs");
                let read = "SELECT id FROM notes WHERE id = $1";
                client
                    .query_one(read, &parameters)
                    .await
                    .expect("the write is visible");
                query_texts(&client, STATUS_QUERY).await;
            }
        }));
    }
    for writer in writers {
        tokio::time::timeout(database_support::TIMEOUT, writer)
            .await
            .expect("the writer is not blocked")
            .expect("the writer ends");
    }
    wait_until_logs_are_identical(&group).await;
    assert_eq!(stored_ids(&group, "b").await.len(), 500);
    group.stop().await;
}
