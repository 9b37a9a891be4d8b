//! The client sessions of a demo.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hookpoint_state::GroupName;
use hookpoint_workload::application::{Role, Run, run};
use hookpoint_workload::connection::Credentials;
use hookpoint_workload::deployment::{Application, Deployment};
use hookpoint_workload::history::{ProxyIndex, Recorder, SessionNumber};
use hookpoint_workload::session::{ClientSession, Protocol, ProxyAddresses, SessionSettings};
use tokio::task::JoinSet;

/// How long a session waits for an answer.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pause of the steady writers.
const STEADY_PAUSE: Duration = Duration::from_millis(40);
/// Tenants of a group; its sessions take them in turn.
const TENANTS: usize = 5;

/// Running sessions.
pub struct Sessions {
    /// How many.
    pub count: usize,
    tasks: JoinSet<()>,
    stop: Arc<AtomicBool>,
}

/// What the sessions are made of.
pub struct SessionPlan<'a> {
    /// The deployment.
    pub deployment: &'a Deployment,
    /// Where the proxies are.
    pub proxies: ProxyAddresses,
    /// Sessions for each database.
    pub clients_per_database: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Where operations are recorded.
    pub recorder: Recorder,
}

impl SessionPlan<'_> {
    /// Starts all sessions.
    pub fn start(&self) -> Sessions {
        let mut tasks = JoinSet::new();
        let stop = Arc::new(AtomicBool::new(false));
        let mut next = 1;
        for group in &self.deployment.groups {
            let count = group.databases.len() * self.clients_per_database;
            let numbers: Vec<SessionNumber> =
                (next..next + count as u32).map(SessionNumber).collect();
            next += count as u32;
            let subjects = Arc::new(numbers.clone());
            for (index, number) in numbers.into_iter().enumerate() {
                let role = Role::of(self.deployment.application, index, count);
                let session = self.session(&group.name, number, index);
                let plan = Run {
                    role,
                    mean_pause: mean_pause(self.deployment.application, role),
                    subjects: subjects.clone(),
                    stop: stop.clone(),
                };
                tasks.spawn(run(session, plan));
            }
        }
        Sessions {
            count: tasks.len(),
            tasks,
            stop,
        }
    }

    fn session(&self, group: &GroupName, number: SessionNumber, index: usize) -> ClientSession {
        let settings = SessionSettings {
            number,
            group: group.clone(),
            credentials: caller_credentials(group, index % TENANTS),
            proxies: self.proxies.clone(),
            home: ProxyIndex(index % self.deployment.zones.len()),
            application: self.deployment.application,
            seed: self.seed,
            patience: PATIENCE,
            protocol: match number.0 % 2 {
                0 => Protocol::Simple,
                _ => Protocol::Extended,
            },
        };
        ClientSession::new(settings, self.recorder.clone())
    }
}

impl Sessions {
    /// Lets every session finish its present turn. Returns how many did not end within
    /// `limit`; those are dropped.
    pub async fn finish(mut self, limit: Duration) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        let ended = async { while self.tasks.join_next().await.is_some() {} };
        // Sessions still running are counted below.
        let _ = tokio::time::timeout(limit, ended).await;
        let left = self.tasks.len();
        self.tasks.shutdown().await;
        left
    }
}

/// Credentials of a caller of `group`.
pub fn caller_credentials(group: &GroupName, tenant: usize) -> Credentials {
    Credentials {
        user: format!("tenant-{tenant}"),
        password: None,
        database: group.as_str().to_owned(),
    }
}

fn mean_pause(application: Application, role: Role) -> Duration {
    if role == Role::SteadyWriter {
        return STEADY_PAUSE;
    }
    match application {
        Application::Messaging => Duration::from_secs(3),
        Application::Metering => Duration::from_secs(2),
    }
}
