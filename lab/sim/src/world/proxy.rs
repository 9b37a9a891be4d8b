//! A simulated proxy: the production state machines and the state that the transport layer
//! holds in a real process.

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
use crate::platform::VersionStore;

/// A simulated proxy process.
pub(crate) struct Proxy {
    pub(crate) node: NodeId,
    pub(crate) address: SocketAddr,
    pub(crate) zone: usize,
    pub(crate) up: bool,
    pub(crate) stopping: bool,
    pub(crate) paused_until: Timestamp,
    pub(crate) machine: NodeMachine,
    pub(crate) timer_at: Option<Timestamp>,
    pub(crate) rollout: RolloutMachine<VersionStore>,
    pub(crate) rollout_timer_at: Option<Timestamp>,
    /// Whether the proxy polls the platform.
    pub(crate) watching: bool,
    pub(crate) terms: TermTable,
    pub(crate) bundle: Bundle,
    pub(crate) sessions: BTreeSet<SessionNumber>,
    /// Slot tables and connections held, by database.
    pub(crate) pools: BTreeMap<usize, Pool>,
    /// Time at which each database last answered a status query outside of any slot.
    pub(crate) answered_at: BTreeMap<usize, Timestamp>,
}

impl Proxy {
    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until > now
    }

    pub(crate) fn is_responsive(&self, now: Timestamp) -> bool {
        self.up && !self.is_paused(now)
    }
}

/// A proxy's slot table for one database, and the connections behind its slot numbers.
pub(crate) struct Pool {
    pub(crate) table: SlotTable,
    pub(crate) numbers: BTreeMap<SlotNumber, ConnectionNumber>,
    pub(crate) timer_at: Option<Timestamp>,
}

/// Kind of the next answer that a session expects on its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    /// Answer to the status query before a unit.
    Check,
    /// Answer to the unit.
    Unit,
    /// Answer to a status query after a unit, as evidence of its commit.
    Probe,
}

/// A term verification in progress.
#[derive(Debug)]
pub(crate) struct PendingVerification {
    pub(crate) query: u64,
    pub(crate) round: Verification,
}

/// A client's session on a proxy.
pub(crate) struct Session {
    pub(crate) client: usize,
    pub(crate) proxy: usize,
    pub(crate) group: usize,
    pub(crate) required: Option<Position>,
    pub(crate) machine: Option<RequestMachine>,
    /// Number of the current request, by which timers of earlier requests are recognised.
    pub(crate) request: u64,
    /// Whether the current request is not repeatable.
    pub(crate) non_repeatable: bool,
    pub(crate) call: Option<UnitCall>,
    pub(crate) lease: Option<LeaseNumber>,
    pub(crate) failed_homes: Vec<NodeId>,
    pub(crate) deadline: Timestamp,
    pub(crate) target_database: Option<usize>,
    /// Status query whose answer is awaited as evidence of the commit.
    pub(crate) evidence_query: Option<u64>,
    pub(crate) expected: VecDeque<Expected>,
    pub(crate) verification: Option<PendingVerification>,
    /// Answer that may not be delivered to the client yet.
    pub(crate) held_answer: Option<Answer>,
    /// Whether the unit's answer may be delivered.
    pub(crate) may_deliver: bool,
    /// Whether the answer is held back until the commit is acknowledged.
    pub(crate) awaiting_evidence: bool,
    /// Whether the lease has been granted.
    pub(crate) granted: bool,
    /// Whether the client waits for an answer.
    pub(crate) awaiting_answer: bool,
    /// Refusal with which to answer the next unit, after the transaction was lost between two
    /// units.
    pub(crate) lost_transaction: Option<Refusal>,
    /// Mutation: the request is sent again after it finishes.
    pub(crate) resend: bool,
}
