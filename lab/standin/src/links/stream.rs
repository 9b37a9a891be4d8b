//! One direction of one relayed connection: a queue of chunks, each delayed by
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

/// Maximum number of bytes read from a socket at once.
const CHUNK: usize = 64 << 10;

/// Maximum number of chunks in flight.
const QUEUE_LENGTH: usize = 1024;

thread_local! {
    /// Read buffer of the thread. Idle connections hold no buffer: data is read
    /// into the buffer of the thread and copied into an allocation of its size.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; CHUNK]);
}

/// Reasons why a connection ended other than by both sides closing it.
#[derive(Debug, Error)]
pub(super) enum RelayError {
    /// Reading from one side failed, for example after a reset.
    #[error("reading failed: {0}")]
    Read(#[source] std::io::Error),
    /// Writing to the other side failed.
    #[error("writing failed: {0}")]
    Write(#[source] std::io::Error),
    /// An injected fault or the stop of the relay ended the connection.
    #[error("the link was reset")]
    Reset,
    /// Connecting to the target failed.
    #[error("connecting failed: {0}")]
    Connect(#[source] std::io::Error),
}

struct QueuedItem {
    due: Instant,
    content: Content,
}

enum Content {
    Data(Bytes, OwnedSemaphorePermit),
    End,
    Failure(std::io::Error),
}

/// Relays bytes from `reader` to `writer`, in order and delayed by the latency of
/// the route, until the reader's side is closed. Bytes read before `established`
/// are treated as sent at that time.
pub(super) async fn relay_direction(
    route: &Route,
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    established: Instant,
    in_flight_limit: usize,
    byte_count: &AtomicU64,
) -> Result<(), RelayError> {
    let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
    let reading = read_chunks(route, reader, sender, established, in_flight_limit);
    let writing = write_chunks(route, writer, receiver, byte_count);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

async fn read_chunks(
    route: &Route,
    reader: ReadHalf<'_>,
    sender: mpsc::Sender<QueuedItem>,
    established: Instant,
    in_flight_limit: usize,
) -> Result<(), RelayError> {
    let limit = in_flight_limit.max(CHUNK);
    let in_flight = Arc::new(Semaphore::new(limit));
    loop {
        let read = read_chunk(&reader).await;
        let due = Instant::now().max(established) + route.delay();
        let (content, is_last) = match read {
            Ok(chunk) if chunk.is_empty() => (Content::End, true),
            Ok(chunk) => {
                // A chunk is no larger than the limit and the semaphore is never
                // closed, so the permits are eventually available.
                let size = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
                let Ok(permit) = Arc::clone(&in_flight).acquire_many_owned(size).await else {
                    return Ok(());
                };
                (Content::Data(chunk, permit), false)
            }
            Err(error) => (Content::Failure(error), true),
        };
        let queued = sender.send(QueuedItem { due, content }).await;
        if is_last || queued.is_err() {
            return Ok(());
        }
    }
}

/// Reads the available bytes; returns an empty chunk at the end of the stream.
async fn read_chunk(reader: &ReadHalf<'_>) -> std::io::Result<Bytes> {
    loop {
        reader.readable().await?;
        let read = READ_BUFFER.with_borrow_mut(|buffer| {
            let length = reader.try_read(buffer)?;
            Ok(Bytes::copy_from_slice(&buffer[..length]))
        });
        match read {
            Err(error) if is_transient(&error) => {}
            other => return other,
        }
    }
}

fn is_transient(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

async fn write_chunks(
    route: &Route,
    mut writer: WriteHalf<'_>,
    mut receiver: mpsc::Receiver<QueuedItem>,
    byte_count: &AtomicU64,
) -> Result<(), RelayError> {
    while let Some(item) = receiver.recv().await {
        route.sleep_until(item.due).await;
        route.wait_until_passable().await;
        match item.content {
            Content::Data(chunk, permit) => {
                writer.write_all(&chunk).await.map_err(RelayError::Write)?;
                byte_count.fetch_add(chunk.len() as u64, Ordering::Relaxed);
                drop(permit);
            }
            Content::End => return writer.shutdown().await.map_err(RelayError::Write),
            Content::Failure(error) => return Err(RelayError::Read(error)),
        }
    }
    Ok(())
}
