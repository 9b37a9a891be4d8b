//! The workload straight on a database, without a proxy: its statements run, its
//! history is clean and the audit finds what was written.

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

const SUBJECT: SessionNumber = SessionNumber(1);

async fn groups(deployment: &Deployment) -> anyhow::Result<DatabaseGroups> {
    let options = DatabaseOptions {
        replica_lag: Some(Duration::ZERO),
        ..DatabaseOptions::default()
    };
    DatabaseGroups::start(deployment, &zone_links(deployment), &options).await
}

async fn story(deployment: Deployment, protocol: Protocol) -> anyhow::Result<()> {
    let databases = groups(&deployment).await?;
    let group: GroupName = deployment.groups[0].name.clone();
    let primary = deployment.groups[0].databases[0].name.clone();
    let running = databases.group(&group).expect("the group runs");
    let address = running.group.address(primary.as_str());
    let recorder = Recorder::new();
    let settings = SessionSettings {
        number: SUBJECT,
        group: group.clone(),
        credentials: database_credentials(&group),
        proxies: Arc::new(parking_lot::RwLock::new(vec![address])),
        home: ProxyIndex(0),
        application: deployment.application,
        seed: 1,
        patience: Duration::from_secs(20),
        protocol,
    };
    let mut session = ClientSession::new(settings, recorder.clone());
    assert!(session.write(WriteKind::ChargeNotice).await);
    session.read_own().await;
    assert!(session.write(WriteKind::Reply).await);
    session.billing_run(3, Ending::Commit).await;
    session.billing_run(2, Ending::Rollback).await;
    session.read_other(SUBJECT).await;

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
async fn messaging_runs_straight_on_a_database() -> anyhow::Result<()> {
    story(costa_rica(), Protocol::Simple).await?;
    story(costa_rica(), Protocol::Extended).await
}

#[tokio::test(flavor = "multi_thread")]
async fn metering_runs_straight_on_a_database() -> anyhow::Result<()> {
    story(greece(), Protocol::Simple).await?;
    story(greece(), Protocol::Extended).await
}

#[tokio::test(flavor = "multi_thread")]
async fn load_counts_every_request() -> anyhow::Result<()> {
    let deployment = greece();
    let databases = groups(&deployment).await?;
    let group = deployment.groups[0].name.clone();
    let running = databases.group(&group).expect("the group runs");
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
