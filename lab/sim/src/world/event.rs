//! Everything that can happen in a run.

use hookpoint_coordination::membership::Datagram;
use hookpoint_coordination::node::PeerMessage;
use hookpoint_coordination::rollout::RolloutMessage;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_state::{BundleVersion, NodeId, Refusal, Timestamp};

use crate::database::replicate::Replication;
use crate::database::unit::{Answer, UnitCall};

/// Number of a session of a client with a proxy.
pub(crate) type SessionNumber = u64;
/// Number of a lease.
pub(crate) type LeaseNumber = u64;
/// Number of a connection to a database.
pub(crate) type ConnectionNumber = u64;
/// Index of a proxy; a restarted one has a new index.
pub(crate) type ProxyIndex = usize;

/// From a session's proxy to a lease's holder.
#[derive(Clone, Debug)]
pub(crate) enum LeaseCommand {
    /// Asks for a connection.
    Acquire {
        /// Longest wait until this time.
        deadline: Timestamp,
    },
    /// Something for the database.
    Work(BackendWork),
    /// Gives the connection back.
    Release {
        /// Whether it may serve another session.
        reusable: bool,
    },
}

/// From a lease's holder to the session's proxy.
#[derive(Clone, Debug)]
pub(crate) enum LeaseReply {
    /// The connection is granted.
    Granted,
    /// It is not.
    Refused(Refusal),
    /// The holder takes no new leases; ask another node.
    Moved,
    /// An answer of the database.
    Answer(BackendAnswer),
    /// The connection is gone.
    Lost,
}

/// From a holder to a database.
#[derive(Clone, Debug)]
pub(crate) enum BackendWork {
    /// Opens the connection.
    Open,
    /// The status query.
    Status,
    /// A unit.
    Unit(UnitCall),
    /// Closes the connection.
    Close,
}

/// From a database to a holder.
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
    /// The connection is closed by the database.
    Closed,
}

/// What a client hears.
#[derive(Clone, Debug)]
pub(crate) enum ClientNews {
    /// Answer to a unit, and the session's token if it has moved.
    Answer {
        /// The answer.
        answer: Answer,
        /// Position in the token.
        token: Option<hookpoint_state::Position>,
    },
    /// The request did not run.
    NotRun(Refusal),
    /// Its outcome is unknown.
    Unknown,
    /// The session ended cleanly.
    Goodbye,
    /// The connection broke.
    Broken,
}

/// An event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// Timers of a database.
    DatabaseTick(usize),
    /// A message between databases.
    Replication {
        from: usize,
        to: usize,
        message: Replication,
    },
    /// Commands on a connection may have arrived at its database.
    ConnectionCommands(ConnectionNumber),
    /// Answers on a connection may have arrived at its holder.
    ConnectionAnswers(ConnectionNumber),
    /// Commands of a lease may have arrived at its holder.
    LeaseCommands(LeaseNumber),
    /// Replies of a lease may have arrived at its session's proxy.
    LeaseReplies(LeaseNumber),
    /// Something on a proxy.
    Proxy {
        proxy: ProxyIndex,
        event: ProxyEvent,
    },
    /// A status question outside of any slot arrives at a database.
    ControlQuestion {
        proxy: ProxyIndex,
        database: usize,
        question: u64,
    },
    /// A client does its next thing.
    ClientWakes {
        client: usize,
        session: SessionNumber,
    },
    /// News arrive at a client.
    ClientHears {
        client: usize,
        session: SessionNumber,
        news: ClientNews,
    },
    /// A bundle is rolled.
    BundleRolls,
    /// A bundle should be in force everywhere by now.
    BundleDue {
        version: BundleVersion,
        rolled: Timestamp,
    },
    /// A fault strikes.
    FaultStrikes(usize),
    /// A fault ends.
    FaultEnds(usize),
}

/// An event on a proxy. A paused proxy takes them when it goes on.
#[derive(Clone, Debug)]
pub(crate) enum ProxyEvent {
    /// The node machine's timer.
    NodeTimer,
    /// A datagram from another node.
    Datagram(Box<Datagram>),
    /// A message from another node.
    Peer { from: NodeId, message: PeerMessage },
    /// Ask all databases for their status.
    Observe,
    /// Answer to a control question.
    ControlAnswer {
        database: usize,
        question: u64,
        status: BackendStatus,
    },
    /// A verification has taken too long.
    VerifyTimeout {
        session: SessionNumber,
        question: u64,
    },
    /// A request machine's timer.
    RequestTimer {
        session: SessionNumber,
        request: u64,
    },
    /// A pause before another probe is over.
    ProbeDue {
        session: SessionNumber,
        request: u64,
    },
    /// A pause before a status query for evidence is over.
    EvidenceDue {
        session: SessionNumber,
        question: u64,
        database: usize,
    },
    /// A status query for evidence has taken too long.
    EvidenceTimeout {
        session: SessionNumber,
        question: u64,
    },
    /// A client opens a session.
    SessionOpens {
        client: usize,
        session: SessionNumber,
        token: Option<hookpoint_state::Position>,
    },
    /// A client sends a unit.
    UnitArrives {
        session: SessionNumber,
        call: UnitCall,
    },
    /// A client is gone.
    ClientGone { session: SessionNumber },
    /// The timer of a slot table.
    SlotTimer {
        /// Its database.
        database: usize,
    },
    /// A message about bundles from another node.
    RolloutPeer {
        from: NodeId,
        message: RolloutMessage,
    },
    /// The rollout machine's timer.
    RolloutTimer,
    /// A watching proxy looks at the platform's pointer.
    PlatformPoll,
    /// The platform's pointer.
    PlatformPointer { version: BundleVersion },
    /// Answer to a fetch; none when the platform does not answer.
    PlatformFetched { version: Option<BundleVersion> },
    /// A message to a node could not be delivered.
    PeerLost { node: NodeId },
}
