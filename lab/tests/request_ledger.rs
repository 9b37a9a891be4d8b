//! A request that must not run twice is submitted again to another proxy: with the request
//! ledger it runs once; without it, as a negative control, the checker finds it doubled.

mod laboratory_support;

use std::sync::Arc;

use hookpoint_coordination::request::SafetyChecks;
use hookpoint_lab::demo::sessions::caller_credentials;
use hookpoint_lab::laboratory::{Laboratory, LaboratoryOptions};
use hookpoint_lab::stack::database_credentials;
use hookpoint_workload::audit::final_state;
use hookpoint_workload::checker::{Violation, check};
use hookpoint_workload::connection::{ClientConnection, Failure, TokenDelivery, affected};
use hookpoint_workload::history::{
    History, Operation, OperationResult, ProxyIndex, Record, SessionNumber, WriteKind,
};
use hookpoint_workload::sql::EntryWrite;

const SESSION: SessionNumber = SessionNumber(1);

/// Submits one charge notice to both proxies, one after the other, and returns the history.
async fn submit_twice(checks: SafetyChecks) -> anyhow::Result<History> {
    let options = LaboratoryOptions {
        proxies: Some(2),
        checks,
        ..LaboratoryOptions::default()
    };
    let laboratory =
        Arc::new(Laboratory::start(laboratory_support::single_group_deployment(), options).await?);
    let deployment = laboratory.stack.deployment.clone();
    let group = deployment.groups[0].name.clone();
    let mut history = History::default();
    for (proxy, address) in laboratory.fleet.entries().into_iter().enumerate() {
        let attempt = proxy as u32 + 1;
        let statement = EntryWrite {
            session: SESSION,
            sequence: 1,
            attempt,
            kind: WriteKind::ChargeNotice,
            request: Some("charge-1"),
        }
        .statement(deployment.application);
        let credentials = caller_credentials(&group, 0);
        let none = TokenDelivery::None;
        let mut connection = ClientConnection::open(
            address,
            &credentials,
            &none,
            laboratory_support::REQUEST_TIMEOUT,
        )
        .await?;
        let result = match connection.simple(&statement).await {
            Ok(messages) => OperationResult::Written {
                rows: affected(&messages).unwrap_or(0),
            },
            Err(Failure::AlreadyRan) => OperationResult::AlreadyRan,
            Err(failure) => return Err(failure.into()),
        };
        history.records.push(Record {
            session: SESSION,
            group: group.clone(),
            proxy: ProxyIndex(proxy),
            started: u64::from(attempt) * 1_000,
            ended: u64::from(attempt) * 1_000 + 500,
            operation: Operation::Write {
                kind: WriteKind::ChargeNotice,
                sequence: 1,
                attempt,
            },
            result,
        });
    }
    for proxy in 0..2 {
        laboratory.fleet.stop_proxy(proxy).await?;
    }
    let running = laboratory.stack.databases.group(&group).expect("the group");
    let (_, _, primary) = running.primary().expect("a primary");
    let credentials = database_credentials(&group);
    let state = final_state(primary, &credentials, deployment.application).await?;
    history.final_states.insert(group, state);
    Ok(history)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_second_submission_reports_already_ran() -> anyhow::Result<()> {
    let history = submit_twice(SafetyChecks::default()).await?;
    assert_eq!(
        history.records[0].result,
        OperationResult::Written { rows: 1 }
    );
    assert_eq!(history.records[1].result, OperationResult::AlreadyRan);
    assert_eq!(check(&history).violations, Vec::new());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_ledger_the_checker_finds_a_doubled_write() -> anyhow::Result<()> {
    let checks = SafetyChecks {
        ledger: false,
        ..SafetyChecks::default()
    };
    let history = submit_twice(checks).await?;
    let doubled = Violation::WriteDoubled {
        session: SESSION,
        sequence: 1,
        copies: 2,
    };
    assert_eq!(check(&history).violations, [doubled]);
    Ok(())
}
