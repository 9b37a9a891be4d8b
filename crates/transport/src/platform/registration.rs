//! The node's own entry in the list of machines, under a lease.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use hookpoint_protocol::platform::PutRequest;
use hookpoint_protocol::platform::records::{MachineRecord, MachineState};
use rand::Rng;
use tokio::sync::{mpsc, oneshot};

use super::client::{PlatformClient, encode};
use super::error::PlatformError;
use super::retry::Backoff;

/// Time to live of the lease. Long, since the list lags anyway, and 1,500 nodes then
/// renew about 40 leases a second.
const LEASE_TIME: Duration = Duration::from_secs(120);
/// Time between two renewals, in the mean.
const RENEWAL_PERIOD: Duration = Duration::from_secs(40);
/// Share of the period that a renewal comes earlier or later, so that nodes that started
/// together do not renew together for ever.
const RENEWAL_JITTER: f64 = 0.25;
/// Shortest and longest pause after a failure.
const PAUSE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Longest wait for the entry's removal.
const REMOVAL_LIMIT: Duration = Duration::from_secs(1);

enum Request {
    Leave,
    Remove(oneshot::Sender<()>),
}

/// Keeps the entry as long as it lives.
pub struct Registration {
    requests: mpsc::Sender<Request>,
    task: JoinHandle<()>,
}

/// Enters `machine` into the list and keeps it there as long as the result lives. All
/// of it is best effort: the list is a hint, and the membership is the truth.
pub fn register(client: PlatformClient, machine: MachineRecord) -> Registration {
    let (requests, receiver) = mpsc::channel(2);
    let keeper = Keeper {
        client,
        machine,
        lease: None,
    };
    let task = actix_rt::spawn(keeper.run(receiver));
    Registration { requests, task }
}

impl Registration {
    /// Marks the entry as leaving.
    pub fn leave(&self) {
        let _queue_full_or_ended = self.requests.try_send(Request::Leave);
    }

    /// Removes the entry. Without the platform it lapses with its lease.
    pub async fn remove(&self) {
        let (removed, removal) = oneshot::channel();
        if self.requests.send(Request::Remove(removed)).await.is_ok() {
            let _lapses_later = tokio::time::timeout(REMOVAL_LIMIT, removal).await;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Keeper {
    client: PlatformClient,
    machine: MachineRecord,
    lease: Option<i64>,
}

impl Keeper {
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
                    log::debug!("platform: the node's entry cannot be renewed: {error}.");
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
                    let _nobody_waits = removed.send(());
                    return;
                }
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    /// Renews the lease, or takes a new one, and writes the entry where it is not.
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
            log::debug!("platform: the node's entry cannot be removed: {error}.");
        }
    }
}
