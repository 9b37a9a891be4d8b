//! The client sessions of a demo.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hookpoint_state::GroupName;
use hookpoint_workload::application::{RequestLoop, Role, run_session};
use hookpoint_workload::connection::Credentials;
use hookpoint_workload::deployment::{Application, Deployment};
use hookpoint_workload::history::{ProxyIndex, Recorder, SessionNumber};
use hookpoint_workload::session::{ClientSession, Protocol, ProxyAddresses, SessionSettings};
use tokio::task::JoinSet;

/// Timeout of a session's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Mean pause of the steady writers between requests.
const STEADY_PAUSE: Duration = Duration::from_millis(40);
/// Number of tenants of a group; its sessions are assigned to them round-robin.
const TENANTS: usize = 5;

/// The running client sessions of a demo.
pub struct Sessions {
    /// Number of sessions that were started.
    pub count: usize,
    tasks: JoinSet<()>,
    stop: Arc<AtomicBool>,
}

/// Parameters from which the sessions are started.
pub struct SessionPlan<'a> {
    /// Deployment that the sessions use.
    pub deployment: &'a Deployment,
    /// Addresses of the proxies.
    pub proxies: ProxyAddresses,
    /// Number of sessions per database.
    pub clients_per_database: usize,
    /// Seed of all randomness in the run.
    pub seed: u64,
    /// Recorder of all operations.
    pub recorder: Recorder,
}

impl SessionPlan<'_> {
    /// Starts all sessions.
    pub fn start(&self) -> Sessions {
        let mut tasks = JoinSet::new();
        let stop = Arc::new(AtomicBool::new(false));
        let mut next_number = 1;
        for group in &self.deployment.groups {
            let count = group.databases.len() * self.clients_per_database;
            let numbers: Vec<SessionNumber> = (next_number..next_number + count as u32)
                .map(SessionNumber)
                .collect();
            next_number += count as u32;
            let subjects = Arc::new(numbers.clone());
            for (index, number) in numbers.into_iter().enumerate() {
                let role = Role::of(self.deployment.application, index, count);
                let session = self.session(&group.name, number, index);
                let request_loop = RequestLoop {
                    role,
                    mean_pause: mean_pause(self.deployment.application, role),
                    subjects: subjects.clone(),
                    stop: stop.clone(),
                };
                tasks.spawn(run_session(session, request_loop));
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
            initial_proxy: ProxyIndex(index % self.deployment.zones.len()),
            application: self.deployment.application,
            seed: self.seed,
            request_timeout: REQUEST_TIMEOUT,
            protocol: match number.0 % 2 {
                0 => Protocol::Simple,
                _ => Protocol::Extended,
            },
        };
        ClientSession::new(settings, self.recorder.clone())
    }
}

impl Sessions {
    /// Lets every session finish its current operation. Returns the number of sessions that
    /// did not end within `timeout`; those are aborted.
    pub async fn finish(mut self, timeout: Duration) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        let ended = async { while self.tasks.join_next().await.is_some() {} };
        // A timeout is no error: the sessions that are still running are counted below.
        let _ = tokio::time::timeout(timeout, ended).await;
        let unfinished = self.tasks.len();
        self.tasks.shutdown().await;
        unfinished
    }
}

/// Returns the credentials of a caller of `group` as the tenant of that number.
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
