//! The datagrams exchanged between nodes.
//!
//! A datagram may be lost. Each request is answered by one datagram, and the requester waits for a
//! bounded time or repeats the request.

use hookpoint_coordination::serving::coordinator::CoordinatorRecord;
use hookpoint_coordination::serving::failover::Observation;
use hookpoint_coordination::serving::primary_lease::{LeaseAnswer, LeaseRequest};
use hookpoint_coordination::serving::quota::TokenAnswer;
use hookpoint_coordination::serving::withheld_commits::WithheldCommits;
use hookpoint_state::{DatabaseName, GroupName, Position, StoreRevision, TenantName};
use serde::{Deserialize, Serialize};

use crate::primary_lease::{Announcement, Promotions};

/// A datagram sent from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests the receiver's observation of the primary of a group; answered by
    /// `TellObservation`.
    #[serde(rename = "Ask")]
    AskObservation {
        /// Number that the answer repeats.
        nonce: u64,
        /// Group whose primary is observed.
        group: GroupName,
        /// The database that the sender considers the primary, if any.
        leader: Option<DatabaseName>,
    },
    /// Requests a group's primary and its position; answered by `TellSample`.
    AskSample {
        /// Number that the answer repeats.
        nonce: u64,
        /// Group whose primary and position are requested.
        group: GroupName,
    },
    /// Answers `AskSample`; sent only by a node that knows the primary.
    TellSample {
        /// Number of the request.
        nonce: u64,
        /// The newest sample known to the sender.
        sample: PrimarySample,
    },
    /// Requests a lease on the use of primaries; answered by `TellLease`.
    AskLease {
        /// Name of the sender.
        node: String,
        /// The request, which is also a vote.
        request: LeaseRequest,
        /// Promotions known to the sender.
        promotions: Promotions,
    },
    /// Answers `AskLease`.
    TellLease {
        /// Whether and for how long the lease is granted.
        answer: LeaseAnswer,
        /// Promotions known to the sender.
        promotions: Promotions,
    },
    /// Requests a token for one operation of a tenant; answered by `TellToken`.
    AskToken {
        /// Number that the answer repeats.
        nonce: u64,
        /// The tenant whose operation is to run.
        tenant: TenantName,
        /// How long the operation may wait for the token, in microseconds.
        patience_us: u64,
    },
    /// Answers `AskToken`.
    TellToken {
        /// Number of the request.
        nonce: u64,
        /// Name of the sender.
        node: String,
        /// Whether a token is granted.
        answer: TokenAnswer,
    },
    /// Probes whether the receiver responds; answered by `AnswerProbe`.
    Probe,
    /// Answers `Probe`.
    AnswerProbe {
        /// Name of the sender.
        node: String,
    },
    /// Reports that the sender lacks a group's primary, so that the coordinator checks whether it
    /// has to be replaced.
    ReportLoss {
        /// Group whose primary the sender lacks.
        group: GroupName,
        /// The primary that does not answer the sender, or `None` if the sender knows no primary.
        leader: Option<DatabaseName>,
    },
    /// States that the sender is the coordinator from now on.
    TellCoordinator {
        /// Revision of the sender's coordinator record.
        revision: StoreRevision,
        /// Name of the sender.
        node: String,
    },
    /// Announces that a primary is about to be replaced and must no longer be used; answered by
    /// `Acknowledge`.
    Announce {
        /// Revision of the coordinator record.
        coordinator: StoreRevision,
        /// Name of the coordinator, which is the sender.
        node: String,
        /// The announced promotion.
        announcement: Announcement,
        /// The commits that it withholds.
        withheld: WithheldCommits,
    },
    /// Answers `Announce`: the sender no longer uses the replaced primary.
    Acknowledge {
        /// Name of the sender.
        node: String,
        /// Revision of the announcement.
        revision: StoreRevision,
        /// Whether other nodes may have granted leases by the sender's vote.
        voted_for_others: bool,
    },
    /// Answers `AskObservation`.
    #[serde(rename = "Tell")]
    TellObservation {
        /// Number of the request.
        nonce: u64,
        /// Name of the sender.
        node: String,
        /// The sender's observation of the primary.
        observation: Observation,
        /// Whether the sender reaches the state store.
        store_reachable: bool,
        /// The coordinator known to the sender.
        coordinator: Option<CoordinatorRecord>,
    },
}

impl PeerMessage {
    /// Decodes the datagram in the first `length` bytes of `buffer`, which has at least one byte
    /// more.
    ///
    /// Some messages end with a field that earlier versions do not send. The byte after the
    /// datagram encodes its default value; it is ignored after a complete message.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid encoding of a message.
    pub fn decode(buffer: &mut [u8], length: usize) -> Result<Self, postcard::Error> {
        buffer[length] = 0;
        postcard::from_bytes(&buffer[..=length])
    }
}

/// A primary's position as known to one node, for nodes that do not query the primary themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimarySample {
    /// The database that leads the group.
    pub leader: DatabaseName,
    /// Position that the primary reported.
    pub position: Position,
    /// Time since the sender requested the position, in microseconds on the sender's monotonic
    /// clock.
    pub age_us: u64,
}
