//! Streams of a link: one lease each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use bytes::Bytes;
use hookpoint_protocol::peer::{
    CREDIT_STEP, INITIAL_CREDIT, LinkFrame, OpenRequest, StreamError, fragments,
};
use hookpoint_state::Refusal;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::{Semaphore, mpsc};

use super::Link;

/// Streams of one link at once.
const MAXIMUM_STREAMS: usize = 4_096;

/// What arrives on a stream.
#[derive(Debug)]
pub(in crate::peer) enum StreamEvent {
    /// The connection is there.
    Granted,
    /// No connection.
    Refused(Refusal),
    /// A piece of a message.
    Data { last: bool, bytes: Bytes },
    /// The other side is done.
    Closed,
}

/// What reader and user of a stream share.
#[derive(Debug)]
pub(super) struct Flow {
    /// Bytes this side may still send.
    credit: Semaphore,
    /// Bytes received and not yet credited.
    received: AtomicU32,
}

#[derive(Debug)]
struct Slot {
    events: mpsc::UnboundedSender<StreamEvent>,
    flow: Arc<Flow>,
}

pub(super) struct StreamParts {
    events: mpsc::UnboundedReceiver<StreamEvent>,
    flow: Arc<Flow>,
}

/// Open streams of a link by number.
#[derive(Debug, Default)]
pub(in crate::peer) struct StreamTable {
    slots: BTreeMap<u32, Slot>,
}

impl StreamTable {
    pub(super) fn insert(&mut self, number: u32) -> Option<StreamParts> {
        if self.slots.len() >= MAXIMUM_STREAMS || self.slots.contains_key(&number) {
            return None;
        }
        // Bounded by the credit: what arrives beyond it breaks the link.
        let (sender, events) = mpsc::unbounded_channel();
        let flow = Arc::new(Flow {
            credit: Semaphore::new(INITIAL_CREDIT as usize),
            received: AtomicU32::new(0),
        });
        let slot = Slot {
            events: sender,
            flow: flow.clone(),
        };
        self.slots.insert(number, slot);
        Some(StreamParts { events, flow })
    }

    pub(super) fn remove(&mut self, number: u32) {
        self.slots.remove(&number);
    }

    pub(super) fn clear(&mut self) {
        self.slots.clear();
    }

    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Hands an event to a stream; one that has ended here is not told.
    pub(super) fn deliver(&mut self, number: u32, event: StreamEvent) -> Result<(), StreamError> {
        let Some(slot) = self.slots.get(&number) else {
            return Ok(());
        };
        if let StreamEvent::Data { bytes, .. } = &event {
            let length = u32::try_from(bytes.len()).map_err(|_| StreamError::Overrun)?;
            let before = slot.flow.received.fetch_add(length, Ordering::AcqRel);
            if before.saturating_add(length) > INITIAL_CREDIT {
                return Err(StreamError::Overrun);
            }
        }
        // Its user may be about to end it.
        let _ = slot.events.send(event);
        Ok(())
    }

    /// Takes a credit for a stream.
    pub(super) fn credit(&mut self, number: u32, bytes: u32) -> Result<(), StreamError> {
        let Some(slot) = self.slots.get(&number) else {
            return Ok(());
        };
        let held = slot.flow.credit.available_permits();
        if held + bytes as usize > INITIAL_CREDIT as usize {
            return Err(StreamError::Overrun);
        }
        slot.flow.credit.add_permits(bytes as usize);
        Ok(())
    }
}

struct StreamShared {
    link: Arc<Link>,
    number: u32,
    flow: Arc<Flow>,
    /// Set when the other side knows that the stream has ended.
    ended: AtomicBool,
}

impl Drop for StreamShared {
    fn drop(&mut self) {
        let tell = !self.ended.load(Ordering::Acquire);
        self.link.end_stream(self.number, tell);
    }
}

/// The sending half of a stream. When both halves are gone the stream is closed.
pub(in crate::peer) struct StreamSender {
    shared: Arc<StreamShared>,
}

/// The receiving half of a stream.
pub(in crate::peer) struct StreamReceiver {
    shared: Arc<StreamShared>,
    events: mpsc::UnboundedReceiver<StreamEvent>,
    taken: u32,
}

/// A stream cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stream is lost")]
pub(in crate::peer) struct StreamLost;

pub(super) fn join(
    link: Arc<Link>,
    number: u32,
    parts: StreamParts,
) -> (StreamSender, StreamReceiver) {
    let shared = Arc::new(StreamShared {
        link,
        number,
        flow: parts.flow,
        ended: AtomicBool::new(false),
    });
    let sender = StreamSender {
        shared: shared.clone(),
    };
    let receiver = StreamReceiver {
        shared,
        events: parts.events,
        taken: 0,
    };
    (sender, receiver)
}

impl StreamSender {
    /// Asks for a connection.
    pub async fn open(&self, request: OpenRequest) -> Result<(), StreamLost> {
        let stream = self.shared.number;
        self.send(LinkFrame::Open { stream, request }).await
    }

    /// Tells that the connection is there.
    pub async fn grant(&self) -> Result<(), StreamLost> {
        let stream = self.shared.number;
        self.send(LinkFrame::Granted { stream }).await
    }

    /// Tells that there is none, which ends the stream.
    pub async fn refuse(&self, refusal: Refusal) -> Result<(), StreamLost> {
        let stream = self.shared.number;
        self.shared.ended.store(true, Ordering::Release);
        self.send(LinkFrame::Refused { stream, refusal }).await
    }

    /// Sends a command or a reply, as fast as the other side gives credit.
    pub async fn send_message<M: Serialize>(&self, message: &M) -> Result<(), StreamLost> {
        let pieces = fragments(message).map_err(|_| StreamLost)?;
        for (last, bytes) in pieces {
            self.take_credit(bytes.len()).await?;
            let stream = self.shared.number;
            self.send(LinkFrame::Data {
                stream,
                last,
                bytes,
            })
            .await?;
        }
        Ok(())
    }

    async fn take_credit(&self, bytes: usize) -> Result<(), StreamLost> {
        let mut closed = self.shared.link.closed.subscribe();
        let bytes = u32::try_from(bytes).map_err(|_| StreamLost)?;
        tokio::select! {
            permit = self.shared.flow.credit.acquire_many(bytes) => {
                permit.map_err(|_| StreamLost)?.forget();
                Ok(())
            }
            _ = closed.wait_for(|closed| *closed) => Err(StreamLost),
        }
    }

    async fn send(&self, frame: LinkFrame) -> Result<(), StreamLost> {
        if self.shared.link.send(frame).await {
            Ok(())
        } else {
            Err(StreamLost)
        }
    }
}

impl StreamReceiver {
    /// The next event; none when the link is lost.
    pub async fn next(&mut self) -> Option<StreamEvent> {
        let event = self.next_unacknowledged().await?;
        if let StreamEvent::Data { bytes, .. } = &event {
            self.acknowledge(bytes).await;
        }
        Some(event)
    }

    /// The next event; data is not counted as taken before
    /// [`StreamReceiver::acknowledge`]. Dropping the future loses no event.
    pub async fn next_unacknowledged(&mut self) -> Option<StreamEvent> {
        let event = self.events.recv().await?;
        if matches!(event, StreamEvent::Closed | StreamEvent::Refused(_)) {
            self.shared.ended.store(true, Ordering::Release);
        }
        Some(event)
    }

    /// Counts data as taken, so that the other side may send more.
    pub async fn acknowledge(&mut self, bytes: &Bytes) {
        self.take(bytes.len() as u32).await;
    }

    /// Counts bytes taken, and lets the other side send as many more now and then.
    async fn take(&mut self, bytes: u32) {
        self.taken += bytes;
        if self.taken < CREDIT_STEP {
            return;
        }
        let bytes = std::mem::take(&mut self.taken);
        self.shared.flow.received.fetch_sub(bytes, Ordering::AcqRel);
        let stream = self.shared.number;
        self.shared
            .link
            .send(LinkFrame::Credit { stream, bytes })
            .await;
    }
}
