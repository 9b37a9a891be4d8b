//! One direction of one relayed connection: a queue of bytes, each held for
//! the latency of the link.

use super::route::Route;
use bytes::Bytes;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Greatest number of bytes taken from a socket at once.
const CHUNK: usize = 64 << 10;

/// Greatest number of chunks on the way.
const QUEUE_LENGTH: usize = 1024;

thread_local! {
    /// Idle connections hold no buffer: each thread reads into its own, and
    /// what was read is copied to its size.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; CHUNK]);
}

/// Why a connection ended other than by both sides closing it.
#[derive(Debug, Error)]
pub(super) enum CarryError {
    /// Reading from the one side failed, as after a reset.
    #[error("reading failed: {0}")]
    Read(#[source] std::io::Error),
    /// Writing to the other side failed.
    #[error("writing failed: {0}")]
    Write(#[source] std::io::Error),
    /// A fault ended the connection.
    #[error("the link was reset")]
    Reset,
    /// The target could not be reached.
    #[error("connecting failed: {0}")]
    Connect(#[source] std::io::Error),
}

struct Parcel {
    due: Instant,
    content: Content,
}

enum Content {
    Data(Bytes, OwnedSemaphorePermit),
    End,
    Failure(std::io::Error),
}

/// Carries bytes from `reader` to `writer`, in order, each after the latency of
/// the route, until the reader's side is closed. Nothing read counts as sent
/// before `established`.
pub(super) async fn carry(
    route: &Route,
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    established: Instant,
    in_flight_limit: usize,
    carried: &AtomicU64,
) -> Result<(), CarryError> {
    let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
    let collecting = collect(route, reader, sender, established, in_flight_limit);
    let delivering = deliver(route, writer, receiver, carried);
    tokio::try_join!(collecting, delivering)?;
    Ok(())
}

async fn collect(
    route: &Route,
    reader: ReadHalf<'_>,
    sender: mpsc::Sender<Parcel>,
    established: Instant,
    in_flight_limit: usize,
) -> Result<(), CarryError> {
    let limit = in_flight_limit.max(CHUNK);
    let room = Arc::new(Semaphore::new(limit));
    loop {
        let read = read_chunk(&reader).await;
        let due = Instant::now().max(established) + route.delay();
        let (content, last) = match read {
            Ok(chunk) if chunk.is_empty() => (Content::End, true),
            Ok(chunk) => {
                // A chunk is no larger than the limit, and the semaphore is
                // never closed, so waiting for room always ends.
                let size = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
                let Ok(permit) = Arc::clone(&room).acquire_many_owned(size).await else {
                    return Ok(());
                };
                (Content::Data(chunk, permit), false)
            }
            Err(error) => (Content::Failure(error), true),
        };
        let delivered = sender.send(Parcel { due, content }).await;
        if last || delivered.is_err() {
            return Ok(());
        }
    }
}

/// Reads what is there; empty at the end of the stream.
async fn read_chunk(reader: &ReadHalf<'_>) -> std::io::Result<Bytes> {
    loop {
        reader.readable().await?;
        let read = SCRATCH.with_borrow_mut(|scratch| {
            let length = reader.try_read(scratch)?;
            Ok(Bytes::copy_from_slice(&scratch[..length]))
        });
        match read {
            Err(error) if error_is_transient(&error) => {}
            other => return other,
        }
    }
}

fn error_is_transient(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

async fn deliver(
    route: &Route,
    mut writer: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<Parcel>,
    carried: &AtomicU64,
) -> Result<(), CarryError> {
    while let Some(parcel) = receiver.recv().await {
        route.sleep_until(parcel.due).await;
        route.passable().await;
        match parcel.content {
            Content::Data(chunk, permit) => {
                writer.write_all(&chunk).await.map_err(CarryError::Write)?;
                carried.fetch_add(chunk.len() as u64, Ordering::Relaxed);
                drop(permit);
            }
            Content::End => return writer.shutdown().await.map_err(CarryError::Write),
            Content::Failure(error) => return Err(CarryError::Read(error)),
        }
    }
    Ok(())
}
