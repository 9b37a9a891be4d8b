//! Releases a connection, also while an unwanted answer is still arriving on it.

use std::time::Duration;

use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::reply::TransactionStatus;
use hookpoint_protocol::tags::backend;

use crate::lease::BackendLease;

/// Longest time an unwanted answer is read before its connection is closed instead.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Releases `lease` after the ends of `sections` more answers have been read.
pub fn release(lease: BackendLease, sections: usize, reusable: bool, discard: bool) {
    let command = BackendCommand::Release { reusable, discard };
    if sections == 0 || !reusable {
        if let Err(full) = lease.commands.try_send(command) {
            let command = full.into_inner();
            actix_rt::spawn(async move {
                let _closed = lease.commands.send(command).await;
            });
        }
        return;
    }
    actix_rt::spawn(async move {
        let drained = tokio::time::timeout(DRAIN_TIMEOUT, drain(lease, sections)).await;
        if let Ok(Some((lease, status))) = drained {
            let reusable = status == TransactionStatus::Idle;
            let command = BackendCommand::Release { reusable, discard };
            let _closed = lease.commands.send(command).await;
        }
    });
}

/// Discards replies until `sections` more `ReadyForQuery` have arrived. Returns `None` if
/// the connection ends first.
async fn drain(
    mut lease: BackendLease,
    mut sections: usize,
) -> Option<(BackendLease, TransactionStatus)> {
    loop {
        let BackendReply::Frames(frames) = lease.replies.recv().await? else {
            return None;
        };
        for frame in frames {
            if frame.tag != backend::READY_FOR_QUERY {
                continue;
            }
            sections -= 1;
            if sections == 0 {
                return Some((lease, TransactionStatus::read(&frame)?));
            }
        }
    }
}
