//! Links between nodes: framed messages over TCP. Idle links are kept for reuse.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use hookpoint_coordination::serving::admission::ConnectionUse;
use hookpoint_coordination::serving::session::{PreparedShape, SessionValues};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::{DatabaseName, Timestamp};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::connection::Answer;
use crate::departures::AnnouncedDeparture;
use crate::feed::{FeedAnswer, FollowRequest};
use crate::homes::Peer;
use crate::message::Command;
use crate::node::Node;
use crate::reachability;
use crate::socket;

/// Largest message on a link, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time allowed for the answer's transfer in addition to the peer's own time limit.
pub(crate) const LINK_SLACK: Duration = Duration::from_millis(60);
/// Maximum number of idle links kept per peer.
const MAX_IDLE_LINKS: usize = 8;
/// How long a peer is not asked for a database's connections after its link broke.
const SKIP_BROKEN: Duration = Duration::from_millis(400);
/// The same after the peer answered that it has no connection to lease. It may have just started.
const SKIP_REFUSED: Duration = Duration::from_millis(100);

/// The reason why a peer is not asked for a database's connections for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SkipReason {
    /// The link to the peer broke.
    Broken,
    /// The peer answered that it has no connection to lease.
    Refused,
}

impl SkipReason {
    fn time(self) -> Duration {
        match self {
            SkipReason::Broken => SKIP_BROKEN,
            SkipReason::Refused => SKIP_REFUSED,
        }
    }

    /// Returns the label used in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SkipReason::Broken => "broken",
            SkipReason::Refused => "refused",
        }
    }
}

/// A request sent over a link.
#[derive(Serialize, Deserialize)]
pub(crate) enum LinkRequest {
    Lease {
        database: DatabaseName,
        /// The principal for which statements will run; `None` for a query of the node itself.
        principal: Option<Principal>,
        priority: u8,
        values: SessionValues,
        /// What the connection is to be used for.
        wanted: ConnectionUse,
        /// Longest expected wait of a queue that the request may join.
        patience_ms: u64,
        /// Time after which the request leaves the queue.
        limit_ms: u64,
    },
    Exchange {
        commands: Vec<Command>,
        limit_ms: u64,
    },
    Release,
    Snapshot,
    /// Requests changes of the store, or newer confirmation that there are none.
    Follow(FollowRequest),
    /// Requests the times at which databases announced that they are leaving.
    Departures,
}

/// The answer to a [`LinkRequest`].
#[derive(Serialize, Deserialize)]
pub(crate) enum LinkReply {
    Granted {
        in_transaction: bool,
        values: SessionValues,
        values_unknown: bool,
        prepared: BTreeSet<PreparedShape>,
    },
    Refused,
    /// The queue for the database's connections is too long.
    Overloaded,
    /// The database has just started, and this node may not send it more at the moment.
    Cold {
        retry_after_ms: u64,
    },
    Answers(Vec<Answer>),
    Broken {
        timed_out: bool,
    },
    /// A packed [`Snapshot`](crate::snapshot::Snapshot); `None` before the node has a
    /// configuration.
    Snapshot(Option<Bytes>),
    Followed(FeedAnswer),
    Departures(Vec<AnnouncedDeparture>),
    /// Nothing was sent, because the database gets no more work.
    NotSent,
}

pub(crate) type LinkStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Turns a connection into a link. Fails if the connection has already ended.
pub(crate) fn framed(stream: TcpStream) -> io::Result<LinkStream> {
    socket::prepare(&stream)?;
    Ok(LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream))
}

pub(crate) async fn send<T: Serialize>(stream: &mut LinkStream, message: &T) -> io::Result<()> {
    let bytes = postcard::to_allocvec(message).map_err(io::Error::other)?;
    stream.send(Bytes::from(bytes)).await
}

pub(crate) async fn receive<T: DeserializeOwned>(stream: &mut LinkStream) -> io::Result<T> {
    let frame = stream.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    postcard::from_bytes(&frame).map_err(io::Error::other)
}

/// Idle links by peer, and the peers that are not asked for a database's connections at the
/// moment.
#[derive(Default)]
pub struct Links {
    idle: RefCell<BTreeMap<String, Vec<LinkStream>>>,
    skipped: RefCell<BTreeMap<(String, DatabaseName), (SkipReason, Timestamp)>>,
}

impl Links {
    pub(crate) fn take(&self, peer: &str) -> Option<LinkStream> {
        self.idle.borrow_mut().get_mut(peer)?.pop()
    }

    pub(crate) fn keep(&self, peer: String, stream: LinkStream) {
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(peer).or_default();
        if links.len() < MAX_IDLE_LINKS {
            links.push(stream);
        }
    }

    /// Closes the idle links to a peer. Called when one of its links broke or had no answer, as
    /// the cause may affect all of them.
    fn close_idle(&self, peer: &str) {
        self.idle.borrow_mut().remove(peer);
    }

    /// Returns why a peer is currently not asked for a database's connections, or `None` if it may
    /// be asked.
    pub(crate) fn skip_reason(
        &self,
        peer: &str,
        database: &DatabaseName,
        now: Timestamp,
    ) -> Option<SkipReason> {
        let skipped = self.skipped.borrow();
        let (reason, until) = skipped.get(&(peer.to_owned(), database.clone()))?;
        (now < *until).then_some(*reason)
    }

    /// Allows all peers to be asked for a restarted database again: earlier failures concern its
    /// previous incarnation.
    pub(crate) fn unskip_database(&self, database: &DatabaseName) {
        let mut skipped = self.skipped.borrow_mut();
        skipped.retain(|(_, other), _| other != database);
    }

    pub(crate) fn skip_peer(
        &self,
        peer: &str,
        database: &DatabaseName,
        reason: SkipReason,
        now: Timestamp,
    ) {
        let mut skipped = self.skipped.borrow_mut();
        skipped.retain(|_, (_, until)| *until > now);
        let until = now + reason.time();
        skipped.insert((peer.to_owned(), database.clone()), (reason, until));
    }
}

/// Sends a request to a peer and waits for the answer for as long as the peer responds to probes.
/// While it does not, the `alternatives` are probed as well, to find out which of them can be
/// asked next.
pub(crate) async fn call(
    node: &Rc<Node>,
    peer: &Peer,
    alternatives: &[Peer],
    request: &LinkRequest,
    limit: Duration,
) -> Option<(LinkReply, LinkStream)> {
    let silence = reachability::until_silent(node, peer, alternatives);
    call_unless_silent(silence, node, peer, request, limit).await
}

/// Sends a request with a large answer that can wait. The peer may leave probes unanswered for
/// `silence`, which happens while its link is saturated, possibly by this very answer.
pub(crate) async fn call_for_large_answer(
    node: &Rc<Node>,
    peer: &Peer,
    request: &LinkRequest,
    limit: Duration,
    silence: Duration,
) -> Option<(LinkReply, LinkStream)> {
    let silence = reachability::until_silent_for(node, peer, silence);
    call_unless_silent(silence, node, peer, request, limit).await
}

async fn call_unless_silent(
    silence: impl Future<Output = ()>,
    node: &Rc<Node>,
    peer: &Peer,
    request: &LinkRequest,
    limit: Duration,
) -> Option<(LinkReply, LinkStream)> {
    tokio::select! {
        answer = call_until_answered(node, peer, request, limit) => {
            if answer.is_some() {
                reachability::note_answer(node, &peer.name);
            }
            answer
        }
        () = silence => None,
    }
}

/// Sends a request to a peer on an idle link or a new one. An idle link may have ended meanwhile,
/// so a request that breaks on it is repeated on a new link.
async fn call_until_answered(
    node: &Rc<Node>,
    peer: &Peer,
    request: &LinkRequest,
    limit: Duration,
) -> Option<(LinkReply, LinkStream)> {
    if let Some(stream) = node.links.take(&peer.name) {
        match call_on(stream, request, limit).await {
            Ok(answered) => return Some(answered),
            Err(CallError::Broken) => node.links.close_idle(&peer.name),
            Err(CallError::TimedOut) => {
                node.links.close_idle(&peer.name);
                return None;
            }
        }
    }
    node.counters.count("connections_opened", "link");
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer.address)).await;
    let stream = connecting.ok()?.ok()?;
    call_on(framed(stream).ok()?, request, limit).await.ok()
}

/// The reason why a call had no answer.
enum CallError {
    Broken,
    TimedOut,
}

async fn call_on(
    mut stream: LinkStream,
    request: &LinkRequest,
    limit: Duration,
) -> Result<(LinkReply, LinkStream), CallError> {
    let asking = async {
        send(&mut stream, request).await?;
        receive(&mut stream).await
    };
    match timeout(limit + LINK_SLACK, asking).await {
        Ok(Ok(reply)) => Ok((reply, stream)),
        Ok(Err(_)) => Err(CallError::Broken),
        Err(_) => Err(CallError::TimedOut),
    }
}
