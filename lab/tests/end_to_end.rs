//! One proxy in front of one group of three databases: a write and a read on a replica
//! through a PostgreSQL client library, with a bundle from the platform.

mod laboratory_support;

use hookpoint_lab::stack::database_credentials;
use hookpoint_workload::audit::final_state;
use hookpoint_workload::checker::check;
use hookpoint_workload::history::{History, Recorder, WriteKind};
use hookpoint_workload::session::Protocol;

/// Maximum number of reads until a replica answers one.
const MAX_READS: usize = 50;

#[tokio::test(flavor = "multi_thread")]
async fn simple_queries_pass_through_a_proxy() -> anyhow::Result<()> {
    check_write_and_replica_read(Protocol::Simple).await
}

#[tokio::test(flavor = "multi_thread")]
async fn prepared_statements_pass_through_a_proxy() -> anyhow::Result<()> {
    check_write_and_replica_read(Protocol::Extended).await
}

async fn check_write_and_replica_read(protocol: Protocol) -> anyhow::Result<()> {
    let laboratory = laboratory_support::laboratory(1).await?;
    let recorder = Recorder::new();
    let mut session = laboratory_support::session(&laboratory, &recorder, 1, 0, protocol);
    assert!(
        session.write(WriteKind::Reminder).await,
        "{:?}",
        recorder.snapshot()
    );
    for _ in 0..MAX_READS {
        session.read_own().await;
        if laboratory_support::last_read_on_replica(&recorder) {
            break;
        }
    }
    assert!(
        laboratory_support::last_read_on_replica(&recorder),
        "{:?}",
        recorder.snapshot()
    );
    drop(session);
    laboratory.fleet.stop_proxy(0).await?;

    let group = laboratory.stack.deployment.groups[0].name.clone();
    let group_running = laboratory.stack.databases.group(&group).expect("the group");
    let (_, _, primary) = group_running.primary().expect("a primary");
    let application = laboratory.stack.deployment.application;
    let state = final_state(primary, &database_credentials(&group), application).await?;
    assert_eq!(state.entries.len(), 1);
    let mut history = History {
        records: recorder.snapshot(),
        ..History::default()
    };
    history.final_states.insert(group, state);
    assert_eq!(check(&history).violations, Vec::new());
    Ok(())
}
