//! The node's own entry in the list of machines, under a lease.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use hookpoint_protocol::platform::PutRequest;
use hookpoint_protocol::platform::records::{MachineRecord, MachineState};
use tokio::sync::mpsc;

use super::client::{PlatformClient, encode};
use super::error::PlatformError;
use super::retry::Backoff;

/// Time to live of the lease. Long, since the list lags anyway, and 1,500 nodes then
/// renew about 40 leases a second.
const LEASE_TIME: Duration = Duration::from_secs(120);
/// Time between two renewals.
const RENEWAL_PERIOD: Duration = Duration::from_secs(40);
/// Shortest and longest pause after a failure.
const PAUSE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Keeps the entry until it is told to leave.
pub struct Registration {
    states: mpsc::Sender<MachineState>,
    task: JoinHandle<()>,
}

/// Enters `machine` into the list and keeps it there as long as the result lives. All
/// of it is best effort: the list is a hint, and the membership is the truth.
pub fn register(client: PlatformClient, machine: MachineRecord) -> Registration {
    let (states, receiver) = mpsc::channel(1);
    let task = actix_rt::spawn(keep(Rc::new(client), machine, receiver));
    Registration { states, task }
}

impl Registration {
    /// Marks the entry as leaving; it lapses with its lease.
    pub fn leave(&self) {
        let _queue_full_or_ended = self.states.try_send(MachineState::Leaving);
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn keep(
    client: Rc<PlatformClient>,
    mut machine: MachineRecord,
    mut states: mpsc::Receiver<MachineState>,
) {
    let (shortest, longest) = PAUSE;
    let mut backoff = Backoff::new(shortest, longest);
    let mut lease = None;
    loop {
        let pause = match renew(&client, &machine, &mut lease).await {
            Ok(()) => {
                backoff.reset();
                RENEWAL_PERIOD
            }
            Err(error) => {
                log::debug!("platform: the node's entry cannot be renewed: {error}.");
                backoff.after(&error)
            }
        };
        match tokio::time::timeout(pause, states.recv()).await {
            Ok(Some(state)) => {
                machine.state = state;
                lease = None;
            }
            Ok(None) => return,
            Err(_) => {}
        }
    }
}

async fn renew(
    client: &PlatformClient,
    machine: &MachineRecord,
    lease: &mut Option<i64>,
) -> Result<(), PlatformError> {
    if let Some(id) = *lease {
        let kept = client.keep_lease_alive(id).await?;
        if kept.time_to_live > 0 {
            return Ok(());
        }
        *lease = None;
    }
    let granted = client.grant_lease(LEASE_TIME).await?;
    let request = PutRequest {
        key: machine.key().as_str().into(),
        value: encode(machine)?.into(),
        lease: granted.id,
    };
    client.put(&request).await?;
    *lease = Some(granted.id);
    Ok(())
}
