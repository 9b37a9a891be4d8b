//! Streams of a link, one for each lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use bytes::Bytes;
use hookpoint_protocol::peer::{
    CREDIT_GRANT_THRESHOLD, INITIAL_CREDIT, LinkFrame, OpenRequest, StreamError, fragments,
};
use hookpoint_state::Refusal;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::{Semaphore, mpsc};

use super::Link;

/// Maximum number of concurrent streams of one link.
const MAXIMUM_STREAMS: usize = 4_096;

/// An event received on a stream.
#[derive(Debug)]
pub(in crate::peer) enum StreamEvent {
    /// The lease was granted.
    Granted,
    /// The lease was refused.
    Refused(Refusal),
    /// A fragment of a message.
    Data { last: bool, bytes: Bytes },
    /// The peer has closed the stream.
    Closed,
}

/// Flow control state shared by the reader and the user of a stream.
#[derive(Debug)]
pub(super) struct Flow {
    /// Bytes that this side may still send.
    credit: Semaphore,
    /// Bytes received for which no credit was returned yet.
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

/// Open streams of a link, by stream number.
#[derive(Debug, Default)]
pub(in crate::peer) struct StreamTable {
    slots: BTreeMap<u32, Slot>,
}

impl StreamTable {
    pub(super) fn insert(&mut self, number: u32) -> Option<StreamParts> {
        if self.slots.len() >= MAXIMUM_STREAMS || self.slots.contains_key(&number) {
            return None;
        }
        // Bounded by the credit: data beyond it breaks the link.
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

    /// Delivers an event to a stream; events for streams that have ended on this side are
    /// dropped.
    pub(super) fn deliver(&mut self, number: u32, event: StreamEvent) -> Result<(), StreamError> {
        let Some(slot) = self.slots.get(&number) else {
            return Ok(());
        };
        if let StreamEvent::Data { bytes, .. } = &event {
            let length = u32::try_from(bytes.len()).map_err(|_| StreamError::CreditExceeded)?;
            let before = slot.flow.received.fetch_add(length, Ordering::AcqRel);
            if before.saturating_add(length) > INITIAL_CREDIT {
                return Err(StreamError::CreditExceeded);
            }
        }
        // The user may be about to end the stream.
        let _ = slot.events.send(event);
        Ok(())
    }

    /// Adds credit to a stream.
    pub(super) fn credit(&mut self, number: u32, bytes: u32) -> Result<(), StreamError> {
        let Some(slot) = self.slots.get(&number) else {
            return Ok(());
        };
        let held = slot.flow.credit.available_permits();
        if held + bytes as usize > INITIAL_CREDIT as usize {
            return Err(StreamError::CreditExceeded);
        }
        slot.flow.credit.add_permits(bytes as usize);
        Ok(())
    }
}

struct StreamShared {
    link: Arc<Link>,
    number: u32,
    flow: Arc<Flow>,
    /// Set when the peer knows that the stream has ended.
    ended: AtomicBool,
}

impl Drop for StreamShared {
    fn drop(&mut self) {
        let notify_peer = !self.ended.load(Ordering::Acquire);
        self.link.end_stream(self.number, notify_peer);
    }
}

/// The sending half of a stream. The stream closes when both halves are dropped.
pub(in crate::peer) struct StreamSender {
    shared: Arc<StreamShared>,
}

/// The receiving half of a stream.
pub(in crate::peer) struct StreamReceiver {
    shared: Arc<StreamShared>,
    events: mpsc::UnboundedReceiver<StreamEvent>,
    consumed: u32,
}

/// The stream can no longer be used.
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
        consumed: 0,
    };
    (sender, receiver)
}

impl StreamSender {
    /// Requests a lease from the peer, which opens the stream.
    pub async fn open(&self, request: OpenRequest) -> Result<(), StreamLost> {
        let stream = self.shared.number;
        self.send(LinkFrame::Open { stream, request }).await
    }

    /// Reports to the peer that the lease is granted.
    pub async fn grant(&self) -> Result<(), StreamLost> {
        let stream = self.shared.number;
        self.send(LinkFrame::Granted { stream }).await
    }

    /// Reports to the peer that the lease is refused, which ends the stream.
    pub async fn refuse(&self, refusal: Refusal) -> Result<(), StreamLost> {
        let stream = self.shared.number;
        self.shared.ended.store(true, Ordering::Release);
        self.send(LinkFrame::Refused { stream, refusal }).await
    }

    /// Sends a command or a reply, waiting for credit from the peer.
    pub async fn send_message<M: Serialize>(&self, message: &M) -> Result<(), StreamLost> {
        let message_fragments = fragments(message).map_err(|_| StreamLost)?;
        for (last, bytes) in message_fragments {
            self.acquire_credit(bytes.len()).await?;
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

    async fn acquire_credit(&self, bytes: usize) -> Result<(), StreamLost> {
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
    /// Returns the next event; `None` when the link is lost.
    pub async fn next(&mut self) -> Option<StreamEvent> {
        let event = self.next_unacknowledged().await?;
        if let StreamEvent::Data { bytes, .. } = &event {
            self.acknowledge(bytes).await;
        }
        Some(event)
    }

    /// Returns the next event; data counts as consumed only after
    /// [`StreamReceiver::acknowledge`]. Dropping the future loses no event.
    pub async fn next_unacknowledged(&mut self) -> Option<StreamEvent> {
        let event = self.events.recv().await?;
        if matches!(event, StreamEvent::Closed | StreamEvent::Refused(_)) {
            self.shared.ended.store(true, Ordering::Release);
        }
        Some(event)
    }

    /// Counts data as consumed, so that the peer may send more.
    pub async fn acknowledge(&mut self, bytes: &Bytes) {
        self.consume(bytes.len() as u32).await;
    }

    /// Counts consumed bytes, and grants the peer credit for them once they reach
    /// `CREDIT_GRANT_THRESHOLD`.
    async fn consume(&mut self, bytes: u32) {
        self.consumed += bytes;
        if self.consumed < CREDIT_GRANT_THRESHOLD {
            return;
        }
        let bytes = std::mem::take(&mut self.consumed);
        self.shared.flow.received.fetch_sub(bytes, Ordering::AcqRel);
        let stream = self.shared.number;
        self.shared
            .link
            .send(LinkFrame::Credit { stream, bytes })
            .await;
    }
}
