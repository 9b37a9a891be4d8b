//! Leases of database connections held by other nodes.
//!
//! A node that is not a home of a database, or that cannot reach it, leases a connection from a
//! node that can, for one statement or one transaction. The holder runs the commands on its own
//! connection and returns the answers, so the database's guarantees hold end to end. When a link
//! breaks, its lease ends and the holder rolls back.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::session::{PreparedShape, SessionValues};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::DatabaseName;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::connection::{Answer, Connection};
use crate::exchange_error::{ConnectionError, ExchangeError, NotSent};
use crate::feed;
use crate::homes::Peer;
use crate::lease::Lease;
use crate::link::{
    self, LINK_SLACK, LinkReply, LinkRequest, LinkStream, SkipReason, framed, receive, send,
};
use crate::message::Command;
use crate::node::Node;
use crate::packed;
use crate::pool::{AcquireError, ConnectionRequest, Pool, WaitLimits};
use crate::shutdown::StopStage;
use crate::snapshot::Snapshot;
use crate::units::millis;

/// Timeout for the start of a snapshot's transfer.
const SNAPSHOT_START_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for the rest of the transfer. On the narrowest links a large configuration takes
/// seconds, and starting again with another peer would take longer.
const SNAPSHOT_TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of peers asked for one lease.
const MAX_PEERS_ASKED: usize = 3;
/// A lease is revoked when its user has been silent for as long as a transaction may be idle plus
/// this time: a peer that froze or lost power never returns it.
const REVOCATION_SLACK: Duration = Duration::from_secs(1);
/// Idle time after which a link without a lease is closed.
const IDLE_LINK_LIMIT: Duration = Duration::from_secs(60);
/// Pause after a failure to accept a link.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The link over which a leased connection is used.
pub struct RelayedChannel {
    stream: LinkStream,
    peer: String,
}

impl RelayedChannel {
    /// Sends commands to the holder, which runs them on its connection, and returns the answers.
    pub async fn exchange(
        &mut self,
        commands: &[Command],
        limit: Duration,
    ) -> Result<Vec<Answer>, ExchangeError> {
        let request = LinkRequest::Exchange {
            commands: commands.to_vec(),
            limit_ms: millis(limit),
        };
        let exchange = async {
            send(&mut self.stream, &request).await?;
            receive(&mut self.stream).await
        };
        let reply = timeout(limit + LINK_SLACK, exchange).await;
        match reply {
            Ok(Ok(LinkReply::Answers(answers))) => Ok(answers),
            Ok(Ok(LinkReply::NotSent)) => Err(NotSent::RefusedByPeer.into()),
            Ok(Ok(LinkReply::Broken { timed_out: false })) => {
                Err(ConnectionError::Broken(io::ErrorKind::ConnectionAborted.into()).into())
            }
            Ok(Ok(_)) | Err(_) => Err(ConnectionError::TimedOut.into()),
            Ok(Err(error)) => Err(ConnectionError::Broken(error).into()),
        }
    }
}

/// Ends a lease and keeps its link for reuse.
pub async fn release(node: Rc<Node>, mut channel: RelayedChannel) {
    if send(&mut channel.stream, &LinkRequest::Release)
        .await
        .is_ok()
    {
        node.links.keep(channel.peer, channel.stream);
    }
}

/// Leases a connection to the pool's database from a node that holds one.
pub async fn lease(
    node: &Rc<Node>,
    pool: &Rc<Pool>,
    request: ConnectionRequest<'_>,
) -> Result<Lease, NoLease> {
    let database = pool.database();
    let limit = request.limits.limit;
    let mut asked = 0;
    let mut refusal = NoLease::NoneAvailable;
    let principal = request.principal.unwrap_or(&Principal::Anonymous);
    let holders = node.holders_for(database, principal, request.placement);
    let link_request = lease_request(database, request);
    let mut responsive = 0;
    for peer in holders.iter() {
        if asked == MAX_PEERS_ASKED {
            break;
        }
        if !node.reachability.may_ask(peer, node.now()) {
            continue;
        }
        let mut skip_reason = node.links.skip_reason(&peer.name, database, node.now());
        if skip_reason.is_none() {
            asked += 1;
            match request_lease(node, peer, &holders, &link_request, limit).await {
                Ok(granted) => {
                    let connection = granted.into_connection(node, database, principal);
                    node.counters.count("relayed_leases", "granted");
                    return Ok(pool.check_out_relayed(connection));
                }
                Err(PeerRefusal::Overloaded) => {
                    node.counters.count("relayed_leases", "overloaded");
                    refusal = NoLease::Overloaded;
                }
                Err(PeerRefusal::Cold { retry_after }) => {
                    node.counters.count("relayed_leases", "cold");
                    refusal = NoLease::Cold { retry_after };
                }
                Err(PeerRefusal::Skipped(reason)) => {
                    node.counters.count("relayed_leases", reason.as_str());
                    node.links
                        .skip_peer(&peer.name, database, reason, node.now());
                    skip_reason = Some(reason);
                }
            }
        }
        if counts_as_responsive(skip_reason, request.placement) {
            responsive += 1;
        }
    }
    if responsive == 0 && !node.holders(database).is_empty() {
        refusal = NoLease::NoAnswer;
    }
    Err(refusal)
}

/// Returns whether a lease can be expected from a holder that probes do not show as silent.
///
/// After the loss of one node, few or none of the holders that may carry a confined statement are
/// left. Therefore a holder whose link broke does not count for such statements, without waiting
/// for the result of probes.
fn counts_as_responsive(skip_reason: Option<SkipReason>, placement: &Placement) -> bool {
    skip_reason != Some(SkipReason::Broken) || !placement.is_restricted()
}

fn lease_request(database: &DatabaseName, request: ConnectionRequest<'_>) -> LinkRequest {
    let limits = request.limits;
    LinkRequest::Lease {
        database: database.clone(),
        principal: request.principal.cloned(),
        priority: request.priority,
        values: request.values.clone(),
        wanted: limits.purpose,
        patience_ms: millis(limits.max_expected_wait),
        limit_ms: millis(limits.limit),
    }
}

/// The reason why no peer leased a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLease {
    /// None of the peers asked has a connection to lease.
    NoneAvailable,
    /// The queue of the last peer that answered is too long.
    Overloaded,
    /// The database has just started, and the budgets of the peers asked are used up.
    Cold {
        /// When a budget is available again.
        retry_after: Duration,
    },
    /// None of the nodes that hold connections and may be asked responds.
    NoAnswer,
}

impl NoLease {
    /// Converts to the error to report; `otherwise` if the peers' refusals give no reason.
    pub(crate) fn or(self, otherwise: AcquireError) -> AcquireError {
        match self {
            NoLease::NoneAvailable | NoLease::NoAnswer => otherwise,
            NoLease::Overloaded => AcquireError::Overloaded,
            NoLease::Cold { retry_after } => AcquireError::Cold { retry_after },
        }
    }
}

/// The reason why one peer leased no connection.
enum PeerRefusal {
    /// The peer's queue is too long.
    Overloaded,
    /// The peer's share of a cold database's budget is used up.
    Cold { retry_after: Duration },
    /// The peer did not answer, or it has no connection to lease; in the latter case its link
    /// remains usable.
    Skipped(SkipReason),
}

/// A connection leased by a peer, with its state.
struct Granted {
    channel: RelayedChannel,
    in_transaction: bool,
    values: SessionValues,
    values_unknown: bool,
    prepared: BTreeSet<PreparedShape>,
}

impl Granted {
    fn into_connection(
        self,
        node: &Rc<Node>,
        database: &DatabaseName,
        principal: &Principal,
    ) -> Connection {
        let protocol = Rc::clone(&node.protocol);
        let mut connection = Connection::relayed(self.channel, protocol, database, principal);
        connection.in_transaction = self.in_transaction;
        connection.values = self.values;
        connection.values_unknown = self.values_unknown;
        connection.prepared = self.prepared;
        connection
    }
}

async fn request_lease(
    node: &Rc<Node>,
    peer: &Peer,
    holders: &[Peer],
    request: &LinkRequest,
    limit: Duration,
) -> Result<Granted, PeerRefusal> {
    match link::call(node, peer, holders, request, limit).await {
        Some((
            LinkReply::Granted {
                in_transaction,
                values,
                values_unknown,
                prepared,
            },
            stream,
        )) => {
            let channel = RelayedChannel {
                stream,
                peer: peer.name.clone(),
            };
            Ok(Granted {
                channel,
                in_transaction,
                values,
                values_unknown,
                prepared,
            })
        }
        Some((LinkReply::Overloaded, stream)) => {
            node.links.keep(peer.name.clone(), stream);
            Err(PeerRefusal::Overloaded)
        }
        Some((LinkReply::Cold { retry_after_ms }, stream)) => {
            node.links.keep(peer.name.clone(), stream);
            Err(PeerRefusal::Cold {
                retry_after: Duration::from_millis(retry_after_ms),
            })
        }
        Some((LinkReply::Refused, stream)) => {
            node.links.keep(peer.name.clone(), stream);
            Err(PeerRefusal::Skipped(SkipReason::Refused))
        }
        _ => Err(PeerRefusal::Skipped(SkipReason::Broken)),
    }
}

/// Fetches the snapshot of the node at `address`.
pub async fn fetch_snapshot(address: SocketAddr) -> Option<Snapshot> {
    let beginning = async {
        let mut stream = framed(TcpStream::connect(address).await?)?;
        send(&mut stream, &LinkRequest::Snapshot).await?;
        stream.get_ref().readable().await?;
        io::Result::Ok(stream)
    };
    let mut stream = timeout(SNAPSHOT_START_TIMEOUT, beginning)
        .await
        .ok()?
        .ok()?;
    match timeout(SNAPSHOT_TRANSFER_TIMEOUT, receive(&mut stream)).await {
        Ok(Ok(LinkReply::Snapshot(Some(snapshot)))) => packed::unpack(&snapshot).ok(),
        _ => None,
    }
}

/// Returns a packed snapshot of this node for a peer that is starting.
fn packed_snapshot(node: &Rc<Node>) -> Option<Bytes> {
    let snapshot = Snapshot::of(node)?;
    match packed::pack(&snapshot) {
        Ok(bytes) => Some(bytes),
        Err(_) => {
            node.counters.count("snapshots", "not_packed");
            None
        }
    }
}

/// Serves the links of peers until the node shuts down.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match framed(stream) {
                Ok(link) => {
                    tokio::task::spawn_local(serve_link(Rc::clone(&node), link));
                }
                Err(_) => node.counters.count("links", "ended_at_once"),
            },
            Err(_) => {
                node.counters.count("links", "not_accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A connection of this node that a peer uses. A shutdown waits until it is returned.
struct ConnectionForPeer {
    node: Rc<Node>,
    lease: Lease,
}

impl ConnectionForPeer {
    fn new(node: &Rc<Node>, lease: Lease) -> Self {
        node.connections_leased_to_peers
            .set(node.connections_leased_to_peers.get() + 1);
        Self {
            node: Rc::clone(node),
            lease,
        }
    }
}

impl Drop for ConnectionForPeer {
    fn drop(&mut self) {
        self.node
            .connections_leased_to_peers
            .set(self.node.connections_leased_to_peers.get() - 1);
    }
}

/// Takes a connection for a peer. A node that is shutting down leases out no more connections once
/// callers have had time to move to other nodes.
async fn lease_to_peer(
    node: &Rc<Node>,
    database: &DatabaseName,
    request: ConnectionRequest<'_>,
) -> Result<ConnectionForPeer, AcquireError> {
    if node.stop_stage() >= StopStage::CloseIdle {
        return Err(AcquireError::Unreachable);
    }
    // A refused peer that still considers the database usable turns to another holder. If the
    // connection were leased to it, its statements would be refused only when they are sent, again
    // and again.
    if request.principal.is_some() && !node.accepts_new_work(database) {
        return Err(AcquireError::Unreachable);
    }
    let pool = node.pool(database);
    let lease = pool.acquire_direct(node, request).await?;
    let label = match request.principal {
        Some(_) => {
            node.note_relayed_statement(database);
            "for_statement"
        }
        None => "for_question",
    };
    node.counters.count("lent_leases", label);
    Ok(ConnectionForPeer::new(node, lease))
}

async fn serve_link(node: Rc<Node>, mut stream: LinkStream) {
    let mut held: Option<ConnectionForPeer> = None;
    loop {
        let limit = if held.is_some() {
            node.transaction_idle() + REVOCATION_SLACK
        } else {
            IDLE_LINK_LIMIT
        };
        let Ok(Ok(request)) = timeout(limit, receive(&mut stream)).await else {
            if held.is_some() {
                node.counters.count("relayed_leases", "taken_back");
            }
            return;
        };
        let reply = match request {
            LinkRequest::Lease {
                database,
                principal,
                priority,
                values,
                wanted,
                patience_ms,
                limit_ms,
            } => {
                drop(held.take());
                let limits = WaitLimits {
                    purpose: wanted,
                    max_expected_wait: Duration::from_millis(patience_ms),
                    limit: Duration::from_millis(limit_ms),
                };
                let connection_request = ConnectionRequest {
                    principal: principal.as_ref(),
                    priority,
                    values: &values,
                    // The requesting node has selected this holder by the caller's placement.
                    placement: &Placement::unrestricted(),
                    limits,
                };
                match lease_to_peer(&node, &database, connection_request).await {
                    Ok(for_peer) => granted(&mut held.insert(for_peer).lease),
                    Err(AcquireError::Overloaded | AcquireError::TimedOut) => LinkReply::Overloaded,
                    Err(AcquireError::Cold { retry_after }) => LinkReply::Cold {
                        retry_after_ms: millis(retry_after),
                    },
                    Err(_) => LinkReply::Refused,
                }
            }
            LinkRequest::Exchange { commands, limit_ms } => {
                let limit = Duration::from_millis(limit_ms);
                match &mut held {
                    Some(for_peer) => {
                        run_commands(&node, &mut for_peer.lease, &commands, limit).await
                    }
                    None => LinkReply::Broken { timed_out: false },
                }
            }
            LinkRequest::Release => {
                held = None;
                continue;
            }
            LinkRequest::Snapshot => LinkReply::Snapshot(packed_snapshot(&node)),
            LinkRequest::Departures => LinkReply::Departures(node.announced_departures()),
            LinkRequest::Follow(follow_request) => {
                LinkReply::Followed(feed::answer(&node, &follow_request).await)
            }
        };
        if send(&mut stream, &reply).await.is_err() {
            return;
        }
    }
}

fn granted(lease: &mut Lease) -> LinkReply {
    let connection = lease.connection();
    LinkReply::Granted {
        in_transaction: connection.in_transaction,
        values: connection.values.clone(),
        values_unknown: connection.values_unknown,
        prepared: connection.prepared.clone(),
    }
}

async fn run_commands(
    node: &Rc<Node>,
    lease: &mut Lease,
    commands: &[Command],
    limit: Duration,
) -> LinkReply {
    lease.connection().in_transaction = true;
    for command in commands {
        note_command(lease.connection(), command);
    }
    let in_transaction = lease.connection().is_in_read_write_transaction();
    match lease.exchange(node, commands, limit).await {
        Ok(answers) => LinkReply::Answers(answers),
        Err(ExchangeError::NotSent(_)) => LinkReply::NotSent,
        // Tells the peer that the transaction may not have been open. Outside one, a peer of an
        // earlier version would take this for a statement that did not run.
        Err(ExchangeError::Unanswered(ConnectionError::Misplaced(_))) if in_transaction => {
            LinkReply::Answers(Vec::new())
        }
        Err(ExchangeError::Unanswered(error)) => LinkReply::Broken {
            timed_out: matches!(error, ConnectionError::TimedOut),
        },
    }
}

/// Tracks how a peer's command changes the connection's state. Values set by a peer are treated as
/// unknown, so that the next user resets them.
fn note_command(connection: &mut Connection, command: &Command) {
    match command {
        Command::Set { .. } => connection.values_unknown = true,
        Command::Reset => {
            connection.prepared.clear();
            connection.values.clear();
            connection.values_unknown = true;
        }
        Command::Prepare { shape, .. } => {
            connection.prepared.insert(shape.clone());
        }
        _ => {}
    }
}
