//! Events that a session waits for while a unit is in progress.

use hookpoint_coordination::status::BackendStatus;
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::frame::Frame;
use hookpoint_state::{DatabaseName, Position, Refusal, Timestamp};
use tokio::sync::mpsc;

use crate::caller::active::Pending;
use crate::caller::session::Session;
use crate::caller::stream::{CallerGone, CallerStream};
use crate::lease::BackendLease;

/// An event that occurred while a unit is in progress.
pub(super) enum Input {
    /// The acquisition of a connection has ended.
    Lease(Result<BackendLease, Refusal>),
    /// The verification of the term has ended; `None` if it failed.
    Verified(Option<Position>),
    /// A status query to a database has ended; the status is `None` if it failed.
    Status(DatabaseName, Option<BackendStatus>),
    /// The machine's timer has fired.
    Timer,
    /// The next status query is due.
    ProbeDue,
    /// The status query ahead of a read was not answered in time.
    CheckTimedOut,
    /// The view of a group has changed.
    ViewChanged,
    /// The connection replied, or has ended (`None`).
    Reply(Option<BackendReply>),
    /// The connection's command channel has capacity again.
    HasCapacity,
    /// The caller sent a message of the unit.
    Message(Frame),
    /// The caller has disconnected.
    Gone(CallerGone),
    /// The caller sent no further message of its unit within the idle limit.
    Idle,
    /// The caller cancelled the request before it was sent.
    Cancelled,
    /// No event is pending, although the unit is not complete.
    Stuck,
}

impl Session {
    /// Waits for the next event. The future is cancel-safe.
    pub(super) async fn next_input(&mut self) -> Input {
        let idle_limit = self.idle_limit();
        let Session {
            stream,
            transaction,
            guard,
            context,
            views,
            ..
        } = self;
        let Some(active) = transaction else {
            return Input::Timer;
        };
        let now = context.shared.now();
        let takes_input = active.takes_input() && active.pipeline.outgoing.is_empty();
        let has_room = active.answer.has_room();
        let unsent = active.lease.is_none() && !active.answer.has_started();
        let blocked = !active.pipeline.outgoing.is_empty();
        let commands = active.lease.as_ref().map(|lease| lease.commands.clone());
        tokio::select! {
            lease = pending(&mut active.acquire) => {
                active.acquire = None;
                Input::Lease(lease)
            }
            position = pending(&mut active.verify) => {
                active.verify = None;
                Input::Verified(position)
            }
            (database, status) = pending(&mut active.status_query) => {
                active.status_query = None;
                Input::Status(database, status)
            }
            () = sleep_until(now, active.timer) => Input::Timer,
            () = sleep_until(now, active.probe_at) => Input::ProbeDue,
            () = sleep_until(now, active.check_due) => Input::CheckTimedOut,
            () = std::future::ready(()), if active.cannot_progress() => Input::Stuck,
            _ = views.changed(), if active.timer.is_some() => Input::ViewChanged,
            reply = next_reply(&mut active.lease), if has_room => Input::Reply(reply),
            () = wait_for_capacity(commands), if blocked => Input::HasCapacity,
            input = caller_input(stream, takes_input) => input,
            () = tokio::time::sleep(idle_limit), if takes_input => Input::Idle,
            () = guard.entry.cancelled(), if unsent => Input::Cancelled,
        }
    }
}

/// Waits for the next caller message where it belongs to the unit in progress, and
/// otherwise only for the caller's disconnect.
async fn caller_input(stream: &mut CallerStream, takes_input: bool) -> Input {
    if !takes_input {
        return Input::Gone(stream.read_ahead().await);
    }
    match stream.frame().await {
        Ok(frame) => Input::Message(frame),
        Err(gone) => Input::Gone(gone),
    }
}

/// Waits for a pending result; never resolves if there is none.
async fn pending<T>(slot: &mut Pending<T>) -> T {
    match slot {
        Some(future) => future.await,
        None => std::future::pending().await,
    }
}

async fn sleep_until(now: Timestamp, until: Option<Timestamp>) {
    match until {
        Some(until) => tokio::time::sleep(until.since(now)).await,
        None => std::future::pending().await,
    }
}

async fn next_reply(lease: &mut Option<BackendLease>) -> Option<BackendReply> {
    match lease {
        Some(lease) => lease.replies.recv().await,
        None => std::future::pending().await,
    }
}

async fn wait_for_capacity(commands: Option<mpsc::Sender<BackendCommand>>) {
    match commands {
        Some(commands) => {
            if commands.reserve().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
        None => std::future::pending().await,
    }
}
