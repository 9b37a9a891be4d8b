//! Leases of database connections that another node holds.
//!
//! A node that is not home of a database, or that cannot reach it, leases a connection
//! from a node that can: for one statement or one transaction. The holder runs the
//! commands on its own connection and sends the answers back, so what the database
//! promises holds end to end. A link that breaks ends its lease; the holder rolls back.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::session::{PreparedShape, SessionValues};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::{DatabaseName, Timestamp};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::connection::{Answer, Connection, ConnectionError};
use crate::feed;
use crate::homes::Peer;
use crate::lease::{Lease, note_begin};
use crate::link::{
    self, LINK_SLACK, LinkReply, LinkRequest, LinkStream, PassedOver, framed, receive, send,
};
use crate::message::Command;
use crate::node::Node;
use crate::packed;
use crate::pool::{AcquireError, ConnectionRequest, Pool, WaitLimits};
use crate::shutdown::StopStage;
use crate::snapshot::Snapshot;
use crate::units::millis;

/// Limit for the beginning of a snapshot.
const SNAPSHOT_BEGINS: Duration = Duration::from_millis(400);
/// Limit for the rest of it: on the narrowest links a large configuration takes seconds, and
/// beginning anew with another peer takes longer.
const SNAPSHOT_ARRIVES: Duration = Duration::from_secs(5);
/// Peers that are asked for one lease at the most.
const PEERS_ASKED: usize = 3;
/// A lease is taken back when its user has been silent for as long as a transaction may
/// rest and this long besides: a peer that froze or lost power never gives it back.
const HELD_SLACK: Duration = Duration::from_secs(1);
/// A link without a lease is closed when it has been silent for this long.
const IDLE_LINK_LIMIT: Duration = Duration::from_secs(60);
/// Pause after a link could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The way to a leased connection.
pub struct RelayedChannel {
    stream: LinkStream,
    peer: String,
}

impl RelayedChannel {
    /// Has the holder run commands.
    pub async fn exchange(
        &mut self,
        commands: &[Command],
        limit: Duration,
    ) -> Result<Vec<Answer>, ConnectionError> {
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
            Ok(Ok(LinkReply::Broken { timed_out: false })) => Err(ConnectionError::Broken(
                io::ErrorKind::ConnectionAborted.into(),
            )),
            Ok(Ok(LinkReply::NotSent)) => Err(ConnectionError::NotSent),
            Ok(Ok(_)) | Err(_) => Err(ConnectionError::TimedOut),
            Ok(Err(error)) => Err(ConnectionError::Broken(error)),
        }
    }
}

/// Ends a lease and keeps its link for the next one.
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
    wanted: ConnectionRequest<'_>,
) -> Result<Lease, NoLease> {
    let database = pool.database();
    let limit = wanted.limits.limit;
    let mut asked = 0;
    let mut refusal = NoLease::NotLent;
    let principal = wanted.principal.unwrap_or(&Principal::Anonymous);
    let holders = node.holders_for(database, principal, wanted.placement);
    let request = lease_request(database, wanted);
    let mut answering = 0;
    for peer in holders.iter() {
        if asked == PEERS_ASKED {
            break;
        }
        if !node.reachability.may_ask(peer, node.now()) {
            continue;
        }
        let mut passed_over = node.links.passed_over(&peer.name, database, node.now());
        if passed_over.is_none() {
            asked += 1;
            match ask(node, peer, &holders, &request, limit).await {
                Ok(granted) => {
                    let connection = granted.into_connection(database, principal);
                    node.counters.count("relayed_leases", "granted");
                    return Ok(pool.lend_relayed(connection));
                }
                Err(NotLent::Overloaded) => {
                    node.counters.count("relayed_leases", "overloaded");
                    refusal = NoLease::Overloaded;
                }
                Err(NotLent::Cold { retry_after }) => {
                    node.counters.count("relayed_leases", "cold");
                    refusal = NoLease::Cold { retry_after };
                }
                Err(NotLent::PassedOver(reason)) => {
                    node.counters.count("relayed_leases", reason.as_str());
                    node.links
                        .pass_over(&peer.name, database, reason, node.now());
                    passed_over = Some(reason);
                }
            }
        }
        if counts_as_answering(passed_over, wanted.placement) {
            answering += 1;
        }
    }
    if answering == 0 && !node.holders(database).is_empty() {
        refusal = NoLease::Silent;
    }
    Err(refusal)
}

/// Whether a holder that probes do not show as silent is relied on for a lease.
///
/// Of those that may carry a confined statement few are left once one is lost, often none,
/// so that one whose link broke is not waited for until probes tell.
fn counts_as_answering(passed_over: Option<PassedOver>, placement: &Placement) -> bool {
    passed_over != Some(PassedOver::Broken) || !placement.is_restricted()
}

fn lease_request(database: &DatabaseName, wanted: ConnectionRequest<'_>) -> LinkRequest {
    let limits = wanted.limits;
    LinkRequest::Lease {
        database: database.clone(),
        principal: wanted.principal.cloned(),
        priority: wanted.priority,
        values: wanted.values.clone(),
        wanted: limits.wanted,
        patience_ms: millis(limits.patience),
        limit_ms: millis(limits.limit),
    }
}

/// Why no peer gave a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLease {
    /// None of those asked has one.
    NotLent,
    /// The queue of the last one that answered is too long.
    Overloaded,
    /// The database has just started, and the parts of those asked are used up.
    Cold {
        /// When there is a part again.
        retry_after: Duration,
    },
    /// None of the nodes that hold connections and may be asked answers.
    Silent,
}

impl NoLease {
    /// The error to tell, `otherwise` if the peers' refusals say nothing.
    pub(crate) fn or(self, otherwise: AcquireError) -> AcquireError {
        match self {
            NoLease::NotLent | NoLease::Silent => otherwise,
            NoLease::Overloaded => AcquireError::Overloaded,
            NoLease::Cold { retry_after } => AcquireError::Cold { retry_after },
        }
    }
}

/// Why a peer gave no connection.
enum NotLent {
    /// Its queue is too long.
    Overloaded,
    /// Its part of what a cold database may get is used up.
    Cold { retry_after: Duration },
    /// It did not answer, or has none to lend; then the link is as good as before.
    PassedOver(PassedOver),
}

/// A connection that a peer lends, as it stands.
struct Granted {
    channel: RelayedChannel,
    in_transaction: bool,
    values: SessionValues,
    values_unknown: bool,
    prepared: BTreeSet<PreparedShape>,
}

impl Granted {
    fn into_connection(self, database: &DatabaseName, principal: &Principal) -> Connection {
        let mut connection = Connection::relayed(self.channel, database, principal);
        connection.in_transaction = self.in_transaction;
        connection.values = self.values;
        connection.values_unknown = self.values_unknown;
        connection.prepared = self.prepared;
        connection
    }
}

async fn ask(
    node: &Rc<Node>,
    peer: &Peer,
    holders: &[Peer],
    request: &LinkRequest,
    limit: Duration,
) -> Result<Granted, NotLent> {
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
            Err(NotLent::Overloaded)
        }
        Some((LinkReply::Cold { retry_after_ms }, stream)) => {
            node.links.keep(peer.name.clone(), stream);
            Err(NotLent::Cold {
                retry_after: Duration::from_millis(retry_after_ms),
            })
        }
        Some((LinkReply::Refused, stream)) => {
            node.links.keep(peer.name.clone(), stream);
            Err(NotLent::PassedOver(PassedOver::Refused))
        }
        _ => Err(NotLent::PassedOver(PassedOver::Broken)),
    }
}

/// Asks the node at `address` for what it knows.
pub async fn fetch_snapshot(address: SocketAddr) -> Option<Snapshot> {
    let beginning = async {
        let mut stream = framed(TcpStream::connect(address).await?)?;
        send(&mut stream, &LinkRequest::Snapshot).await?;
        stream.get_ref().readable().await?;
        io::Result::Ok(stream)
    };
    let mut stream = timeout(SNAPSHOT_BEGINS, beginning).await.ok()?.ok()?;
    match timeout(SNAPSHOT_ARRIVES, receive(&mut stream)).await {
        Ok(Ok(LinkReply::Snapshot(Some(snapshot)))) => packed::unpack(&snapshot).ok(),
        _ => None,
    }
}

/// What this node knows, for a peer that starts.
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

/// Serves the links of peers for as long as the node lives.
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

/// A connection of this node's that a peer uses; a stop waits until it comes back.
struct Lent {
    node: Rc<Node>,
    lease: Lease,
}

impl Lent {
    fn new(node: &Rc<Node>, lease: Lease) -> Self {
        node.lent_connections.set(node.lent_connections.get() + 1);
        Self {
            node: Rc::clone(node),
            lease,
        }
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        self.node
            .lent_connections
            .set(self.node.lent_connections.get() - 1);
    }
}

/// Takes a connection for a peer. A node that stops lends no more once callers have had
/// time to turn away from it.
async fn lend(
    node: &Rc<Node>,
    database: &DatabaseName,
    wanted: ConnectionRequest<'_>,
) -> Result<Lent, AcquireError> {
    if node.stop_stage() >= StopStage::CloseIdle {
        return Err(AcquireError::NotHeld);
    }
    // A peer that has heard otherwise turns to another holder. Its statement would be refused
    // only as it is sent, again and again.
    if wanted.principal.is_some() && !node.gets_new_work(database) {
        return Err(AcquireError::NotHeld);
    }
    let pool = node.pool(database);
    let lease = pool.acquire_direct(node, wanted).await?;
    let label = match wanted.principal {
        Some(_) => {
            node.note_lent_statement(database);
            "for_statement"
        }
        None => "for_question",
    };
    node.counters.count("lent_leases", label);
    Ok(Lent::new(node, lease))
}

async fn serve_link(node: Rc<Node>, mut stream: LinkStream) {
    let mut held: Option<Lent> = None;
    loop {
        let limit = if held.is_some() {
            node.transaction_idle() + HELD_SLACK
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
                    wanted,
                    patience: Duration::from_millis(patience_ms),
                    limit: Duration::from_millis(limit_ms),
                };
                let wanted = ConnectionRequest {
                    principal: principal.as_ref(),
                    priority,
                    values: &values,
                    // The node that asks has chosen this one by its caller's placement.
                    placement: &Placement::unrestricted(),
                    limits,
                };
                match lend(&node, &database, wanted).await {
                    Ok(lent) => granted(&mut held.insert(lent).lease),
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
                    Some(lent) => run(&node, &mut lent.lease, &commands, limit).await,
                    None => LinkReply::Broken { timed_out: false },
                }
            }
            LinkRequest::Release => {
                held = None;
                continue;
            }
            LinkRequest::Snapshot => LinkReply::Snapshot(packed_snapshot(&node)),
            LinkRequest::Departures => LinkReply::Departures(node.announced_departures()),
            LinkRequest::Follow(question) => {
                LinkReply::Followed(feed::answer(&node, &question).await)
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

async fn run(
    node: &Rc<Node>,
    lease: &mut Lease,
    commands: &[Command],
    limit: Duration,
) -> LinkReply {
    lease.connection().in_transaction = true;
    for command in commands {
        note_command(lease.connection(), command);
    }
    let asked_at = node.now();
    match lease.exchange(node, commands, limit).await {
        Ok(answers) => {
            note_proofs(node, lease, commands, &answers, asked_at);
            LinkReply::Answers(answers)
        }
        Err(ConnectionError::NotSent) => LinkReply::NotSent,
        Err(error) => LinkReply::Broken {
            timed_out: matches!(error, ConnectionError::TimedOut),
        },
    }
}

/// What a peer's plain transaction proves of the primary, this node need not ask itself.
fn note_proofs(
    node: &Rc<Node>,
    lease: &Lease,
    commands: &[Command],
    answers: &[Answer],
    asked_at: Timestamp,
) {
    for (command, answer) in commands.iter().zip(answers) {
        if let Command::Begin {
            read_only: false, ..
        } = command
        {
            note_begin(node, lease, asked_at, answer);
        }
    }
}

/// Keeps track of what a peer's command does to the connection. Values that a peer set
/// are not relied on: the next user resets them.
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
