//! Links between nodes: framed messages over TCP, kept at rest between uses.

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
use crate::feed::{FeedAnswer, FollowQuestion};
use crate::homes::Peer;
use crate::message::Command;
use crate::node::Node;
use crate::reachability;
use crate::socket;

/// Largest message on a link.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Limit for connecting to a peer.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// Time that an answer takes on a link beyond the asked node's own limit.
pub(crate) const LINK_SLACK: Duration = Duration::from_millis(60);
/// Links to one peer kept at rest.
const KEPT_LINKS: usize = 8;
/// How long a peer is passed over for a database after its link broke.
const PASSED_OVER_BROKEN: Duration = Duration::from_millis(400);
/// The same after it answered that it has no connection to lease. It may have just started.
const PASSED_OVER_REFUSED: Duration = Duration::from_millis(100);

/// Why a peer is passed over for a database for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PassedOver {
    /// Its link broke.
    Broken,
    /// It answered that it has no connection to lease.
    Refused,
}

impl PassedOver {
    fn time(self) -> Duration {
        match self {
            PassedOver::Broken => PASSED_OVER_BROKEN,
            PassedOver::Refused => PASSED_OVER_REFUSED,
        }
    }

    /// Short name for metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            PassedOver::Broken => "broken",
            PassedOver::Refused => "refused",
        }
    }
}

/// A message to another node.
#[derive(Serialize, Deserialize)]
pub(crate) enum LinkRequest {
    Lease {
        database: DatabaseName,
        /// On whose behalf statements will run; none for a question of the node's own.
        principal: Option<Principal>,
        priority: u8,
        values: SessionValues,
        /// What the connection is wanted for.
        wanted: ConnectionUse,
        patience_ms: u64,
        limit_ms: u64,
    },
    Exchange {
        commands: Vec<Command>,
        limit_ms: u64,
    },
    Release,
    Snapshot,
    /// Changes of the store, or newer word that there are none.
    Follow(FollowQuestion),
    /// When databases announced their end.
    Departures,
}

/// The answer.
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
    /// The database has just started and gets no more from this node at the moment.
    Cold {
        retry_after_ms: u64,
    },
    Answers(Vec<Answer>),
    Broken {
        timed_out: bool,
    },
    /// A [`Snapshot`], packed; nothing before there is a configuration.
    Snapshot(Option<Bytes>),
    Followed(FeedAnswer),
    Departures(Vec<AnnouncedDeparture>),
    /// Nothing was sent: the database gets no more work.
    NotSent,
}

pub(crate) type LinkStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Makes a link of a connection. Fails if that has ended already.
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

/// Links at rest, and peers that could not help lately.
#[derive(Default)]
pub struct Links {
    idle: RefCell<BTreeMap<String, Vec<LinkStream>>>,
    passed_over: RefCell<BTreeMap<(String, DatabaseName), (PassedOver, Timestamp)>>,
}

impl Links {
    pub(crate) fn take(&self, peer: &str) -> Option<LinkStream> {
        self.idle.borrow_mut().get_mut(peer)?.pop()
    }

    pub(crate) fn keep(&self, peer: String, stream: LinkStream) {
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(peer).or_default();
        if links.len() < KEPT_LINKS {
            links.push(stream);
        }
    }

    /// Closes the links at rest to a peer: one of them had no answer, and what silenced or
    /// broke it may have done so to all.
    fn forget(&self, peer: &str) {
        self.idle.borrow_mut().remove(peer);
    }

    /// Why a peer is passed over for a database at the moment, if it is.
    pub(crate) fn passed_over(
        &self,
        peer: &str,
        database: &DatabaseName,
        now: Timestamp,
    ) -> Option<PassedOver> {
        let passed_over = self.passed_over.borrow();
        let (reason, until) = passed_over.get(&(peer.to_owned(), database.clone()))?;
        (now < *until).then_some(*reason)
    }

    /// Asks all peers for a database again, whatever they lacked of an earlier life of it.
    pub(crate) fn forget_database(&self, database: &DatabaseName) {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|(_, other), _| other != database);
    }

    pub(crate) fn pass_over(
        &self,
        peer: &str,
        database: &DatabaseName,
        reason: PassedOver,
        now: Timestamp,
    ) {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, (_, until)| *until > now);
        let until = now + reason.time();
        passed_over.insert((peer.to_owned(), database.clone()), (reason, until));
    }
}

/// Asks a peer and waits for its answer, for as long as it answers probes. While it says
/// nothing the `alternatives` are probed as well, so that it is known whom to ask next.
pub(crate) async fn call(
    node: &Rc<Node>,
    peer: &Peer,
    alternatives: &[Peer],
    request: &LinkRequest,
    limit: Duration,
) -> Option<(LinkReply, LinkStream)> {
    let silence = reachability::until_silent(node, peer, alternatives);
    call_unless(silence, node, peer, request, limit).await
}

/// Asks a peer for much that can wait: it may leave probes unanswered for `silence`, as one
/// does whose link is full, with what was asked for among other things.
pub(crate) async fn call_for_much(
    node: &Rc<Node>,
    peer: &Peer,
    request: &LinkRequest,
    limit: Duration,
    silence: Duration,
) -> Option<(LinkReply, LinkStream)> {
    let silence = reachability::until_silent_for(node, peer, silence);
    call_unless(silence, node, peer, request, limit).await
}

async fn call_unless(
    silence: impl Future<Output = ()>,
    node: &Rc<Node>,
    peer: &Peer,
    request: &LinkRequest,
    limit: Duration,
) -> Option<(LinkReply, LinkStream)> {
    tokio::select! {
        answer = call_patiently(node, peer, request, limit) => {
            if answer.is_some() {
                reachability::note_heard(node, &peer.name);
            }
            answer
        }
        () = silence => None,
    }
}

/// Asks a peer, on a link at rest or a new one. One that was at rest may have ended
/// meanwhile, so a request that breaks on it is sent again on a new one.
async fn call_patiently(
    node: &Rc<Node>,
    peer: &Peer,
    request: &LinkRequest,
    limit: Duration,
) -> Option<(LinkReply, LinkStream)> {
    if let Some(stream) = node.links.take(&peer.name) {
        match call_on(stream, request, limit).await {
            Ok(answered) => return Some(answered),
            Err(CallError::Broken) => node.links.forget(&peer.name),
            Err(CallError::TimedOut) => {
                node.links.forget(&peer.name);
                return None;
            }
        }
    }
    node.counters.count("connections_opened", "link");
    let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(peer.address)).await;
    let stream = connecting.ok()?.ok()?;
    call_on(framed(stream).ok()?, request, limit).await.ok()
}

/// Why a call had no answer.
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
