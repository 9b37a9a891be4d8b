//! Links: encrypted connections between two nodes that carry many streams.

mod connect;
mod reader;
mod stream;
mod table;
mod writer;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use hookpoint_coordination::membership::MemberInfo;
use hookpoint_coordination::node::PeerMessage;
use hookpoint_protocol::peer::{LinkFrame, fragments};
use hookpoint_state::Refusal;
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

pub(super) use connect::{accept, connect};
pub(super) use stream::{StreamEvent, StreamReceiver, StreamSender, StreamTable};
pub(super) use table::LinkTable;

/// Capacity of the queue of frames to be written; senders wait when it is full.
const WRITER_BUFFER: usize = 64;
/// Time between two heartbeats while streams are open.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// While no stream is open, only one of this many heartbeats is sent. No request waits on
/// such a link; the membership closes it when the peer dies, and the first stream
/// restores the full heartbeat rate.
const IDLE_HEARTBEAT_INTERVAL: u32 = 64;
/// How long a heartbeat may stay unanswered before the link counts as lost.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_150);
/// Delay of the monitor itself that indicates that this process was paused.
const MONITOR_PAUSE: Duration = Duration::from_millis(400);
/// How long a link without streams is kept open.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// A link to one peer.
pub(super) struct Link {
    /// Identity of the peer.
    pub peer: Arc<MemberInfo>,
    /// Whether this node dialled the link.
    pub dialled: bool,
    frames: mpsc::Sender<LinkFrame>,
    streams: Mutex<StreamTable>,
    next_stream: AtomicU32,
    /// Held while the fragments of a control message are sent.
    control: tokio::sync::Mutex<()>,
    /// Set when the link accepts no new streams and closes after the last one.
    retiring: AtomicBool,
    closed: watch::Sender<bool>,
    health: Mutex<Health>,
}

struct Health {
    unanswered_since: Option<Instant>,
    last_used: Instant,
}

impl Link {
    fn new(peer: Arc<MemberInfo>, dialled: bool) -> (Arc<Self>, mpsc::Receiver<LinkFrame>) {
        let (frames, outgoing) = mpsc::channel(WRITER_BUFFER);
        let link = Self {
            peer,
            dialled,
            frames,
            streams: Mutex::new(StreamTable::default()),
            next_stream: AtomicU32::new(if dialled { 1 } else { 2 }),
            control: tokio::sync::Mutex::new(()),
            retiring: AtomicBool::new(false),
            closed: watch::Sender::new(false),
            health: Mutex::new(Health {
                unanswered_since: None,
                last_used: Instant::now(),
            }),
        };
        (Arc::new(link), outgoing)
    }

    /// Sends a frame, waiting while the writer is busy. Returns false if the link is
    /// lost.
    pub async fn send(&self, frame: LinkFrame) -> bool {
        if self.is_closed() {
            return false;
        }
        let mut closed = self.closed.subscribe();
        tokio::select! {
            sent = self.frames.send(frame) => sent.is_ok(),
            _ = closed.wait_for(|closed| *closed) => false,
        }
    }

    /// Sends a message to the peer's node machine. Returns false if the link is lost.
    pub async fn send_control(&self, message: &PeerMessage) -> bool {
        let Ok(message_fragments) = fragments(message) else {
            return false;
        };
        let _sending = self.control.lock().await;
        for (last, bytes) in message_fragments {
            if !self.send(LinkFrame::Control { last, bytes }).await {
                return false;
            }
        }
        true
    }

    /// Opens a stream from this side. Returns `None` if the link is lost or has too many
    /// streams.
    pub fn open_stream(self: &Arc<Self>) -> Option<(StreamSender, StreamReceiver)> {
        let number = self.next_stream.fetch_add(2, Ordering::Relaxed);
        self.add_stream(number)
    }

    /// Accepts a stream opened by the peer. Returns `None` if the link is lost, has too
    /// many streams, or uses the stream number already.
    pub fn accept_stream(self: &Arc<Self>, number: u32) -> Option<(StreamSender, StreamReceiver)> {
        self.add_stream(number)
    }

    /// Refuses a stream opened by the peer.
    pub fn refuse_stream(self: &Arc<Self>, stream: u32, refusal: Refusal) {
        let link = self.clone();
        let frame = LinkFrame::Refused { stream, refusal };
        tokio::spawn(async move { link.send(frame).await });
    }

    fn add_stream(self: &Arc<Self>, number: u32) -> Option<(StreamSender, StreamReceiver)> {
        // Checked under the lock, so that `close` either sees the new stream or is seen
        // here.
        let mut streams = self.streams.lock();
        if self.is_closed() {
            return None;
        }
        let parts = streams.insert(number)?;
        drop(streams);
        Some(stream::join(self.clone(), number, parts))
    }

    /// Removes a stream that has ended on this side and notifies the peer if
    /// `notify_peer` is set.
    fn end_stream(self: &Arc<Self>, number: u32, notify_peer: bool) {
        self.streams.lock().remove(number);
        self.health.lock().last_used = Instant::now();
        if !notify_peer || self.is_closed() {
            return;
        }
        let frame = LinkFrame::Closed { stream: number };
        if let Err(mpsc::error::TrySendError::Full(frame)) = self.frames.try_send(frame) {
            let link = self.clone();
            tokio::spawn(async move { link.send(frame).await });
        }
    }

    /// Returns the number of open streams.
    pub fn stream_count(&self) -> usize {
        self.streams.lock().len()
    }

    /// Returns whether the link is lost.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Makes the link accept no new streams; it closes after the last one.
    pub fn retire(&self) {
        self.retiring.store(true, Ordering::Release);
    }

    /// Closes the link; all its streams are lost.
    pub fn close(&self) {
        self.closed.send_replace(true);
        self.streams.lock().clear();
    }

    fn record_answer(&self) {
        self.health.lock().unanswered_since = None;
    }

    /// Sends heartbeats, and closes the link when they stay unanswered or the link is no
    /// longer used.
    async fn monitor(self: Arc<Self>) {
        let mut closed = self.closed.subscribe();
        let mut tick: u32 = 0;
        let mut due = Instant::now() + HEARTBEAT_PERIOD;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                _ = closed.wait_for(|closed| *closed) => return,
            }
            let now = Instant::now();
            let late = now.saturating_duration_since(due) > MONITOR_PAUSE;
            due = now + HEARTBEAT_PERIOD;
            tick = tick.wrapping_add(1);
            if self.is_lost(now, late) || self.is_unused(now) {
                self.close();
                return;
            }
            if self.stream_count() > 0 || tick.is_multiple_of(IDLE_HEARTBEAT_INTERVAL) {
                self.send_heartbeat(now);
            }
        }
    }

    fn send_heartbeat(&self, now: Instant) {
        self.health.lock().unanswered_since.get_or_insert(now);
        // A full queue means that the peer does not read, so the heartbeat counts as
        // sent.
        let _ = self.frames.try_send(LinkFrame::Ping);
    }

    fn is_lost(&self, now: Instant, late: bool) -> bool {
        let mut health = self.health.lock();
        let Some(since) = health.unanswered_since else {
            return false;
        };
        if late {
            // This process was paused; answers may be unread in the socket.
            health.unanswered_since = Some(now);
            return false;
        }
        let lost = now.saturating_duration_since(since) > HEARTBEAT_TIMEOUT;
        if lost {
            log::warn!(
                "fleet: heartbeats on the link to {} are unanswered.",
                self.peer.node
            );
        }
        lost
    }

    fn is_unused(&self, now: Instant) -> bool {
        if self.stream_count() > 0 {
            return false;
        }
        let idle = now.saturating_duration_since(self.health.lock().last_used);
        let limit = if self.retiring.load(Ordering::Acquire) {
            HEARTBEAT_TIMEOUT
        } else {
            IDLE_TIME
        };
        idle > limit
    }
}
