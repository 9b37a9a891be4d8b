//! The workload directly on a database, without a proxy: its statements run, its history
//! has no violations and the audit finds what was written.

use std::sync::Arc;
use std::time::Duration;

use hookpoint_lab::stack::{DatabaseGroups, DatabaseOptions, database_credentials, zone_links};
use hookpoint_state::GroupName;
use hookpoint_workload::audit::final_state;
use hookpoint_workload::checker::check;
use hookpoint_workload::deployment::{Deployment, costa_rica, greece};
use hookpoint_workload::history::{
    Ending, History, ProxyIndex, Recorder, SessionNumber, WriteKind,
};
use hookpoint_workload::load::{self, LoadSettings, Mix, Pacing, Progress};
use hookpoint_workload::session::{ClientSession, Protocol, SessionSettings};

const SESSION: SessionNumber = SessionNumber(1);

async fn start_groups(deployment: &Deployment) -> anyhow::Result<DatabaseGroups> {
    let options = DatabaseOptions {
        replica_lag: Some(Duration::ZERO),
        ..DatabaseOptions::default()
    };
    DatabaseGroups::start(deployment, &zone_links(deployment), &options).await
}

async fn check_session(deployment: Deployment, protocol: Protocol) -> anyhow::Result<()> {
    let databases = start_groups(&deployment).await?;
    let group: GroupName = deployment.groups[0].name.clone();
    let primary = deployment.groups[0].databases[0].name.clone();
    let running = databases.group(&group).expect("the group is running");
    let address = running.group.address(primary.as_str());
    let recorder = Recorder::new();
    let settings = SessionSettings {
        number: SESSION,
        group: group.clone(),
        credentials: database_credentials(&group),
        proxies: Arc::new(parking_lot::RwLock::new(vec![address])),
        initial_proxy: ProxyIndex(0),
        application: deployment.application,
        seed: 1,
        request_timeout: Duration::from_secs(20),
        protocol,
    };
    let mut session = ClientSession::new(settings, recorder.clone());
    assert!(session.write(WriteKind::ChargeNotice).await);
    session.read_own().await;
    assert!(session.write(WriteKind::Reply).await);
    session.billing_run(3, Ending::Commit).await;
    session.billing_run(2, Ending::Rollback).await;
    session.read_other(SESSION).await;

    let credentials = database_credentials(&group);
    let state = final_state(address, &credentials, deployment.application).await?;
    assert_eq!(state.entries.len(), 2);
    assert_eq!(state.lines.len(), 3);
    let mut history = History {
        records: recorder.snapshot(),
        ..History::default()
    };
    history.final_states.insert(group, state);
    let findings = check(&history);
    assert_eq!(findings.violations, Vec::new(), "{:?}", history.records);
    assert_eq!(findings.totals.requests, 6, "{:?}", history.records);
    assert_eq!(findings.totals.reads, 2);
    assert_eq!(findings.totals.writes_acknowledged, 4);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_messaging_workload_runs_directly_on_a_database() -> anyhow::Result<()> {
    check_session(costa_rica(), Protocol::Simple).await?;
    check_session(costa_rica(), Protocol::Extended).await
}

#[tokio::test(flavor = "multi_thread")]
async fn the_metering_workload_runs_directly_on_a_database() -> anyhow::Result<()> {
    check_session(greece(), Protocol::Simple).await?;
    check_session(greece(), Protocol::Extended).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_load_report_counts_every_request() -> anyhow::Result<()> {
    let deployment = greece();
    let databases = start_groups(&deployment).await?;
    let group = deployment.groups[0].name.clone();
    let running = databases.group(&group).expect("the group is running");
    let address = running
        .group
        .address(deployment.groups[0].databases[0].name.as_str());
    let settings = LoadSettings {
        addresses: vec![address],
        credentials: database_credentials(&group),
        application: deployment.application,
        pacing: Pacing::Open { rate: 100.0 },
        mix: Mix::Messaging,
        sessions: 4,
        idle_sessions: 3,
        warm_up: Duration::ZERO,
        duration: Duration::from_millis(500),
        seed: 1,
    };
    let progress = Arc::new(Progress::default());
    let report = load::run(settings, progress.clone()).await?;
    let answered = progress.answered.load(std::sync::atomic::Ordering::Relaxed);
    assert_eq!(report.failed, 0);
    assert!(report.all.count > 0);
    assert_eq!(report.all.count, answered);
    assert_eq!(report.reads.count + report.writes.count, report.all.count);
    Ok(())
}
