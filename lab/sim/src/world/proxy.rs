//! A proxy of the run: the shipped machines, and the state that transport would hold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use hookpoint_coordination::node::NodeMachine;
use hookpoint_coordination::observer::Verification;
use hookpoint_coordination::request::RequestMachine;
use hookpoint_coordination::rollout::RolloutMachine;
use hookpoint_coordination::slots::{ConnectionNumber as SlotNumber, SlotTable};
use hookpoint_coordination::terms::TermTable;
use hookpoint_state::{Bundle, NodeId, Position, Refusal, Timestamp};

use super::event::{ConnectionNumber, LeaseNumber, SessionNumber};
use crate::database::unit::{Answer, UnitCall};
use crate::platform::NumberStore;

/// A proxy process.
pub(crate) struct Proxy {
    pub(crate) node: NodeId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: usize,
    pub(crate) up: bool,
    pub(crate) stopping: bool,
    pub(crate) paused_until: Timestamp,
    pub(crate) machine: NodeMachine,
    pub(crate) timer_at: Option<Timestamp>,
    pub(crate) rollout: RolloutMachine<NumberStore>,
    pub(crate) rollout_timer_at: Option<Timestamp>,
    /// Whether it polls the platform.
    pub(crate) watching: bool,
    pub(crate) terms: TermTable,
    pub(crate) bundle: Bundle,
    pub(crate) sessions: BTreeSet<SessionNumber>,
    /// Connections held, by database.
    pub(crate) pools: BTreeMap<usize, Pool>,
    /// When each database last answered a control question.
    pub(crate) answered_at: BTreeMap<usize, Timestamp>,
}

impl Proxy {
    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until > now
    }

    pub(crate) fn answers(&self, now: Timestamp) -> bool {
        self.up && !self.is_paused(now)
    }
}

/// A slot table of a proxy, and the connections it numbers.
pub(crate) struct Pool {
    pub(crate) table: SlotTable,
    pub(crate) numbers: BTreeMap<SlotNumber, ConnectionNumber>,
    pub(crate) timer_at: Option<Timestamp>,
}

/// What a session expects next on its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    Check,
    Unit,
    Probe,
}

/// A verification under way.
#[derive(Debug)]
pub(crate) struct RunningVerification {
    pub(crate) question: u64,
    pub(crate) round: Verification,
}

/// A session of a client.
pub(crate) struct Session {
    pub(crate) client: usize,
    pub(crate) proxy: usize,
    pub(crate) group: usize,
    pub(crate) required: Option<Position>,
    pub(crate) machine: Option<RequestMachine>,
    /// Number of the request, for timers that are late.
    pub(crate) request: u64,
    /// Whether the client marked the request as not repeatable.
    pub(crate) once: bool,
    pub(crate) call: Option<UnitCall>,
    pub(crate) lease: Option<LeaseNumber>,
    pub(crate) failed_homes: Vec<NodeId>,
    pub(crate) deadline: Timestamp,
    pub(crate) wanted: Option<usize>,
    /// Question whose answer is to prove its commit.
    pub(crate) evidence: Option<u64>,
    pub(crate) expected: VecDeque<Expected>,
    pub(crate) verification: Option<RunningVerification>,
    /// Answer that may not be delivered yet.
    pub(crate) held_answer: Option<Answer>,
    /// Whether the unit's answer may flow.
    pub(crate) delivering: bool,
    /// Whether the end of the answer waits for an acknowledgement.
    pub(crate) awaiting_evidence: bool,
    /// Whether the lease has been granted.
    pub(crate) granted: bool,
    /// Whether the client waits for an answer.
    pub(crate) asked: bool,
    /// A transaction was lost between two of its units: the answer to the next one.
    pub(crate) lost_transaction: Option<Refusal>,
    /// Mutation: the request is to be sent again.
    pub(crate) resend: bool,
}
