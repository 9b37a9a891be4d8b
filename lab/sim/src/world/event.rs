//! Events and messages of a run.

use hookpoint_coordination::membership::Datagram;
use hookpoint_coordination::node::PeerMessage;
use hookpoint_coordination::rollout::RolloutMessage;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_state::{BundleVersion, NodeId, Refusal, Timestamp};

use crate::database::replicate::Replication;
use crate::database::unit::{Answer, UnitCall};

/// Identifier of a client's session with a proxy.
pub(crate) type SessionNumber = u64;
/// Identifier of a lease.
pub(crate) type LeaseNumber = u64;
/// Identifier of a connection to a database, unique in the run.
pub(crate) type ConnectionNumber = u64;
/// Index of a proxy process; the replacement of a dead or stopped proxy has a new index.
pub(crate) type ProxyIndex = usize;

/// Message from a session's proxy to the proxy that holds the leased connection.
#[derive(Clone, Debug)]
pub(crate) enum LeaseCommand {
    /// Requests a connection.
    Acquire {
        /// Time until which the request may wait.
        deadline: Timestamp,
    },
    /// Work to forward to the database.
    Work(BackendWork),
    /// Returns the connection.
    Release {
        /// Whether the connection may serve another session.
        reusable: bool,
    },
}

/// Message from the proxy that holds the leased connection to the session's proxy.
#[derive(Clone, Debug)]
pub(crate) enum LeaseReply {
    /// The connection is granted.
    Granted,
    /// The request for a connection is refused.
    Refused(Refusal),
    /// The proxy that holds the connection accepts no new leases; the session's proxy tries
    /// another node.
    Moved,
    /// An answer from the database.
    Answer(BackendAnswer),
    /// The connection was lost.
    Lost,
}

/// Command from the proxy that holds a connection to its database.
#[derive(Clone, Debug)]
pub(crate) enum BackendWork {
    /// Opens the connection.
    Open,
    /// Queries the status.
    Status,
    /// Executes a unit (one step of a client's attempt, such as a read or a commit).
    Unit(UnitCall),
    /// Closes the connection.
    Close,
}

/// Answer from a database to the proxy that holds the connection.
#[derive(Clone, Debug)]
pub(crate) enum BackendAnswer {
    /// The connection is open.
    Opened,
    /// The database has no free slot.
    NoSlot,
    /// Answer to the status query.
    Status(BackendStatus),
    /// Answer to a unit.
    Unit(Answer),
    /// The database closed the connection.
    Closed,
}

/// Message from a proxy to a client.
#[derive(Clone, Debug)]
pub(crate) enum ClientMessage {
    /// Answer to a unit, with the session's token.
    Answer {
        /// The answer.
        answer: Answer,
        /// Position in the token; `None` while the session has none.
        token: Option<hookpoint_state::Position>,
    },
    /// The request did not run.
    NotRun(Refusal),
    /// The outcome of the request is unknown.
    Unknown,
    /// The proxy ended the session cleanly.
    SessionClosed,
    /// The connection broke.
    ConnectionBroken,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A database checks its timers.
    DatabaseTick(usize),
    /// A message between databases.
    Replication {
        from: usize,
        to: usize,
        message: Replication,
    },
    /// The database of a connection reads the commands that have arrived on the connection.
    ConnectionCommands(ConnectionNumber),
    /// The proxy that holds a connection to a database reads the answers that have arrived on it.
    ConnectionAnswers(ConnectionNumber),
    /// The proxy from which a lease was requested reads the commands that have arrived from the
    /// session's proxy.
    LeaseCommands(LeaseNumber),
    /// The proxy of the session that requested a lease reads the replies that have arrived.
    LeaseReplies(LeaseNumber),
    /// An event on a proxy.
    Proxy {
        proxy: ProxyIndex,
        event: ProxyEvent,
    },
    /// A status query arrives at a database; it uses no connection slot.
    ControlQuery {
        proxy: ProxyIndex,
        database: usize,
        query: u64,
    },
    /// A client's pause is over.
    ClientTimer {
        client: usize,
        session: SessionNumber,
    },
    /// A message arrives at a client.
    ClientReceives {
        client: usize,
        session: SessionNumber,
        message: ClientMessage,
    },
    /// The next bundle (version of the fleet's configuration) is rolled out.
    RollOutBundle,
    /// The allowed time for putting a bundle in force on every proxy has passed.
    BundleDue {
        version: BundleVersion,
        rolled_out_at: Timestamp,
    },
    /// A fault starts.
    FaultStarts(usize),
    /// A fault ends.
    FaultEnds(usize),
}

/// An event on a proxy. A paused proxy handles its events when it resumes.
#[derive(Clone, Debug)]
pub(crate) enum ProxyEvent {
    /// The timer of the proxy's `NodeMachine` is due.
    NodeTimer,
    /// A datagram from another node.
    Datagram(Box<Datagram>),
    /// A message from another node.
    Peer { from: NodeId, message: PeerMessage },
    /// The proxy queries the status of all databases.
    Observe,
    /// Answer to a status query that used no connection slot.
    ControlAnswer {
        database: usize,
        query: u64,
        status: BackendStatus,
    },
    /// A term verification has timed out.
    VerifyTimeout { session: SessionNumber, query: u64 },
    /// The timer of a session's `RequestMachine` is due.
    RequestTimer {
        session: SessionNumber,
        request: u64,
    },
    /// The delay before the next probe is over.
    ProbeDue {
        session: SessionNumber,
        request: u64,
    },
    /// The delay before a status query for evidence that a majority has flushed a commit is over.
    EvidenceDue {
        session: SessionNumber,
        query: u64,
        database: usize,
    },
    /// A status query for evidence that a majority has flushed a commit has timed out.
    EvidenceTimeout { session: SessionNumber, query: u64 },
    /// A client opens a session.
    SessionOpens {
        client: usize,
        session: SessionNumber,
        token: Option<hookpoint_state::Position>,
    },
    /// A unit arrives from a client.
    UnitArrives {
        session: SessionNumber,
        call: UnitCall,
    },
    /// A client has closed its session.
    ClientGone { session: SessionNumber },
    /// The timer of a slot table is due. The table assigns the limited connections (slots) that
    /// the proxy may open to one database.
    SlotTimer {
        /// Index of the database to which the table's connections lead.
        database: usize,
    },
    /// A message about the rollout of bundles from another node.
    RolloutPeer {
        from: NodeId,
        message: RolloutMessage,
    },
    /// The timer of the proxy's `RolloutMachine` is due.
    RolloutTimer,
    /// A proxy that watches the platform polls the platform's pointer to the current bundle.
    PlatformPoll,
    /// The platform's pointer arrives: the version of its current bundle.
    PlatformPointer { version: BundleVersion },
    /// Answer to the fetch of a bundle; `None` if the platform did not answer.
    PlatformFetched { version: Option<BundleVersion> },
    /// A message that this proxy sent to `node` could not be delivered: `node` is down or
    /// unreachable from this proxy.
    PeerLost { node: NodeId },
}
