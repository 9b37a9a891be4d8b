//! Registration of the node in the platform's list of machines, under a lease.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use hookpoint_protocol::platform::PutRequest;
use hookpoint_protocol::platform::records::{MachineRecord, MachineState};
use rand::Rng;
use tokio::sync::{mpsc, oneshot};

use super::client::{PlatformClient, encode};
use super::error::PlatformError;
use super::retry::Backoff;

/// Time to live of the lease. Long, because the list lags anyway, and 1,500 nodes then
/// renew about 40 leases a second.
const LEASE_TIME: Duration = Duration::from_secs(120);
/// Mean time between two renewals.
const RENEWAL_PERIOD: Duration = Duration::from_secs(40);
/// Fraction of the period by which a renewal is moved earlier or later, so that nodes
/// that started together do not keep renewing together.
const RENEWAL_JITTER: f64 = 0.25;
/// Shortest and longest pause after a failure.
const PAUSE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Longest wait for the removal of the entry.
const REMOVAL_LIMIT: Duration = Duration::from_secs(1);

enum Request {
    Leave,
    Remove(oneshot::Sender<()>),
}

/// Keeps the node registered until it is dropped.
pub struct Registration {
    requests: mpsc::Sender<Request>,
    task: JoinHandle<()>,
}

/// Registers `machine` in the list and keeps it registered while the result exists.
/// Registration is best effort: the list is only a hint, and the membership is
/// authoritative.
pub fn register(client: PlatformClient, machine: MachineRecord) -> Registration {
    let (requests, receiver) = mpsc::channel(2);
    let registration = RegistrationTask {
        client,
        machine,
        lease: None,
    };
    let task = actix_rt::spawn(registration.run(receiver));
    Registration { requests, task }
}

impl Registration {
    /// Marks the entry as leaving, without waiting until it is written.
    pub fn leave(&self) {
        let _queue_full_or_ended = self.requests.try_send(Request::Leave);
    }

    /// Removes the entry. If the platform cannot be reached, the entry expires with its
    /// lease.
    pub async fn remove(&self) {
        let (removed, removal) = oneshot::channel();
        if self.requests.send(Request::Remove(removed)).await.is_ok() {
            let _expires_later = tokio::time::timeout(REMOVAL_LIMIT, removal).await;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct RegistrationTask {
    client: PlatformClient,
    machine: MachineRecord,
    lease: Option<i64>,
}

impl RegistrationTask {
    async fn run(mut self, mut requests: mpsc::Receiver<Request>) {
        let (shortest, longest) = PAUSE;
        let mut backoff = Backoff::new(shortest, longest);
        let mut written = false;
        loop {
            let pause = match self.renew(&mut written).await {
                Ok(()) => {
                    backoff.reset();
                    let share = 1.0 - RENEWAL_JITTER..=1.0 + RENEWAL_JITTER;
                    RENEWAL_PERIOD.mul_f64(rand::rng().random_range(share))
                }
                Err(error) => {
                    log::debug!("platform: the node's registration cannot be renewed: {error}.");
                    backoff.after(&error)
                }
            };
            match tokio::time::timeout(pause, requests.recv()).await {
                Ok(Some(Request::Leave)) => {
                    self.machine.state = MachineState::Leaving;
                    written = false;
                }
                Ok(Some(Request::Remove(removed))) => {
                    self.remove().await;
                    let _receiver_gone = removed.send(());
                    return;
                }
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    /// Renews the lease or acquires a new one, and writes the entry if needed.
    async fn renew(&mut self, written: &mut bool) -> Result<(), PlatformError> {
        if let Some(id) = self.lease {
            let kept = self.client.keep_lease_alive(id).await?;
            if kept.time_to_live <= 0 {
                self.lease = None;
            }
        }
        let lease = match self.lease {
            Some(id) => id,
            None => {
                *written = false;
                self.client.grant_lease(LEASE_TIME).await?.id
            }
        };
        self.lease = Some(lease);
        if !*written {
            let request = PutRequest {
                key: self.machine.key().as_str().into(),
                value: encode(&self.machine)?.into(),
                lease,
            };
            self.client.put(&request).await?;
            *written = true;
        }
        Ok(())
    }

    async fn remove(&mut self) {
        if let Some(id) = self.lease.take()
            && let Err(error) = self.client.revoke_lease(id).await
        {
            log::debug!("platform: the node's registration cannot be removed: {error}.");
        }
    }
}
