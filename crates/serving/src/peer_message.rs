//! The datagrams that nodes exchange.
//!
//! A datagram may be lost. Each question is answered by one datagram, and whoever asks waits
//! for a bounded time or asks again.

use hookpoint_coordination::serving::coordinator::CoordinatorRecord;
use hookpoint_coordination::serving::failover::Observation;
use hookpoint_coordination::serving::primary_lease::{LeaseAnswer, LeaseRequest};
use hookpoint_coordination::serving::quota::TokenAnswer;
use hookpoint_state::{DatabaseName, GroupName, Position, StoreRevision, TenantName};
use serde::{Deserialize, Serialize};

use crate::primary_lease::{Announcement, Promotions};

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What do you see of this database as the primary of this group?
    Ask {
        /// Number of the question.
        nonce: u64,
        /// The group.
        group: GroupName,
        /// The database believed to lead, if any.
        leader: Option<DatabaseName>,
    },
    /// Where is this group's primary, and at which position?
    AskSample {
        /// Number of the question.
        nonce: u64,
        /// The group.
        group: GroupName,
    },
    /// The answer to that, from a node that knows.
    TellSample {
        /// Number of the question.
        nonce: u64,
        /// What it knows.
        sample: PrimarySample,
    },
    /// May I use primaries?
    AskLease {
        /// Who asks.
        node: String,
        /// The request, which is a vote as well.
        request: LeaseRequest,
        /// What the asking node knows of promotions.
        promotions: Promotions,
    },
    /// The answer to that.
    TellLease {
        /// The answer.
        answer: LeaseAnswer,
        /// What the answering node knows of promotions.
        promotions: Promotions,
    },
    /// May this tenant run one more operation?
    AskToken {
        /// Number of the question.
        nonce: u64,
        /// The tenant.
        tenant: TenantName,
        /// How long the operation may wait for the token, in microseconds.
        patience_us: u64,
    },
    /// The answer to that, of a node that holds its tokens.
    TellToken {
        /// Number of the question.
        nonce: u64,
        /// Who answers.
        node: String,
        /// The answer.
        answer: TokenAnswer,
    },
    /// Are you there?
    Probe,
    /// The answer to that.
    AnswerProbe {
        /// Who answers.
        node: String,
    },
    /// The sender lacks this group's primary: see whether it has to be replaced.
    ReportLoss {
        /// The group.
        group: GroupName,
        /// The primary that does not answer the sender; none if it knows none.
        leader: Option<DatabaseName>,
    },
    /// The sender coordinates from now on.
    TellCoordinator {
        /// Revision of its record.
        revision: StoreRevision,
        /// Its name.
        node: String,
    },
    /// A primary is about to be replaced: use it no more.
    Announce {
        /// Revision of the coordinator's record.
        coordinator: StoreRevision,
        /// Name of the coordinator, which sends this.
        node: String,
        /// What is announced.
        announcement: Announcement,
    },
    /// The answer: it is used no more.
    Acknowledge {
        /// Who answers.
        node: String,
        /// Revision of the announcement.
        revision: StoreRevision,
        /// Whether others may have granted leases by its vote.
        voted_for_others: bool,
    },
    /// The answer.
    Tell {
        /// Number of the question.
        nonce: u64,
        /// Who answers.
        node: String,
        /// What it sees.
        observation: Observation,
        /// Whether it reaches the state store.
        store_reachable: bool,
        /// The coordinator that it knows of.
        coordinator: Option<CoordinatorRecord>,
    },
}

/// What a node knows of a group's primary, for one that does not ask it itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimarySample {
    /// The primary.
    pub leader: DatabaseName,
    /// Its position.
    pub position: Position,
    /// How long ago the teller asked for it, in microseconds on the teller's steady clock.
    pub age_us: u64,
}
