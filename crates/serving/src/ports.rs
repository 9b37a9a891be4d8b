//! Traits for the external services that a node depends on.
//!
//! Implementations translate and do I/O. They contain no decision logic and no retries, and keep
//! no state beyond open connections.

use std::io;
use std::time::Duration;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use hookpoint_coordination::serving::directory::Database;
use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::topology::Configuration;
use hookpoint_state::{DatabaseName, GroupName, StoreEra, StoreRevision, ZoneName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::message::{CallerInput, CallerOutput, Command, DatabaseMessage, DatabaseStatus};
use crate::receive_buffer::ReceiveBuffer;

/// Codec for the messages exchanged with callers and databases. Decoders remove whole messages
/// from the buffer and return `None` while it holds only part of one.
pub trait WireProtocol {
    /// Decodes the next message of a caller.
    fn decode_caller(&self, buffer: &mut ReceiveBuffer) -> io::Result<Option<CallerInput>>;
    /// Appends an encoded response to a caller.
    fn encode_caller(&self, output: &CallerOutput, buffer: &mut BytesMut);
    /// Decodes the next message of a database.
    fn decode_database(&self, buffer: &mut ReceiveBuffer) -> io::Result<Option<DatabaseMessage>>;
    /// Appends an encoded command to a database.
    fn encode_database(&self, command: &Command, buffer: &mut BytesMut);
    /// Returns whether the text of a success is a database's signature.
    fn is_signature(&self, text: &[u8]) -> bool;
    /// Parses the row with which a database answers a status query.
    fn parse_status(&self, row: &[u8]) -> Option<DatabaseStatus>;
}

/// Error of a call to the state store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store did not answer or the connection failed. The call may have been carried out, or
    /// may still be.
    #[error("the state store did not answer: {0}")]
    NoAnswer(String),
    /// The store refused the call and did nothing.
    #[error("the state store refused the call with status {0}")]
    Refused(u16),
    /// The history after the given revision is no longer available, possibly together with its
    /// era: everything must be read again.
    #[error("the state store no longer has the requested history")]
    Compacted,
    /// The lease has expired or was ended.
    #[error("the lease has expired or was ended")]
    LeaseExpired,
    /// The answer could not be decoded.
    #[error("the answer of the state store cannot be decoded: {0}")]
    Unreadable(String),
}

/// Identifier of a lease in the state store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// A record of the store, or its removal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRecord {
    /// The configuration set by the operator.
    Configuration(Configuration),
    /// The registration of a database.
    Database(Database),
    /// The registration of a database was removed.
    #[serde(rename = "DatabaseGone")]
    DatabaseRemoved(DatabaseName),
    /// The operator's request to stop using the databases of a zone, or the end of that request.
    Evacuation {
        /// Zone whose databases the request applies to.
        zone: ZoneName,
        /// Whether the request is in force.
        requested: bool,
    },
    /// A record that cannot be decoded. Its subject is treated as removed.
    Unreadable {
        /// The subject that the record's key belongs to.
        subject: ChangeSubject,
        /// Why the record cannot be decoded.
        reason: String,
    },
    /// A record written by the nodes themselves.
    #[serde(rename = "Own")]
    Fleet {
        /// Key without the fleet's prefix.
        key: String,
        /// The value, or `None` if the record was removed.
        value: Option<Bytes>,
        /// The lease that the record is attached to, if any.
        lease: Option<LeaseId>,
    },
}

/// A record of the store with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreChange {
    /// Revision of the change.
    pub revision: StoreRevision,
    /// The record as of that revision.
    pub record: StoreRecord,
}

/// The subject of a change. A later change replaces earlier ones of the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ChangeSubject {
    /// The operator's configuration.
    Configuration,
    /// The registration of a database.
    Database(DatabaseName),
    /// The evacuation of a zone.
    Evacuation(ZoneName),
    /// A key of a record written by the nodes.
    #[serde(rename = "Own")]
    Fleet(String),
}

impl StoreRecord {
    /// Returns the record that states that a subject's key was removed; `None` for the
    /// configuration, which stays in force.
    pub fn gone(subject: &ChangeSubject) -> Option<Self> {
        match subject {
            ChangeSubject::Configuration => None,
            ChangeSubject::Database(name) => Some(StoreRecord::DatabaseRemoved(name.clone())),
            ChangeSubject::Evacuation(zone) => Some(StoreRecord::Evacuation {
                zone: zone.clone(),
                requested: false,
            }),
            ChangeSubject::Fleet(key) => Some(StoreRecord::Fleet {
                key: key.clone(),
                value: None,
                lease: None,
            }),
        }
    }

    /// Returns the subject of the record.
    pub fn subject(&self) -> ChangeSubject {
        match self {
            StoreRecord::Configuration(_) => ChangeSubject::Configuration,
            StoreRecord::Database(database) => ChangeSubject::Database(database.name.clone()),
            StoreRecord::DatabaseRemoved(name) => ChangeSubject::Database(name.clone()),
            StoreRecord::Evacuation { zone, .. } => ChangeSubject::Evacuation(zone.clone()),
            StoreRecord::Unreadable { subject, .. } => subject.clone(),
            StoreRecord::Fleet { key, .. } => ChangeSubject::Fleet(key.clone()),
        }
    }
}

/// Records read from the store together with the revision to continue from.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Revision to continue watching from.
    pub revision: StoreRevision,
    /// The records that were read.
    pub changes: Vec<StoreChange>,
}

/// A write of a key of the fleet, conditional on the key's present revision.
#[derive(Clone, Debug)]
pub struct ConditionalWrite {
    /// Key without the fleet's prefix.
    pub key: String,
    /// Revision that the key must have; `None` if the key must be absent. The store compares only
    /// the revision number, which another change may have in a later era.
    pub expected: Option<StoreRevision>,
    /// The value to write.
    pub value: Bytes,
    /// Lease to attach the key to.
    pub lease: Option<LeaseId>,
}

/// Outcome of a conditional write that the store carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The value was written at this revision.
    Written(StoreRevision),
    /// The key did not have the expected revision.
    Conflict,
}

/// Required freshness of a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFreshness {
    /// The state at the moment of the call.
    Current,
    /// The state may be seconds old, which makes the read cheap. Watching from its revision
    /// catches up.
    Stale,
}

/// The service that stores the fleet's durable state.
#[async_trait(?Send)]
pub trait StateStore {
    /// Reads all records that concern the fleet.
    async fn read_all(&self, freshness: ReadFreshness) -> Result<StoreChanges, StoreError>;
    /// Reads the records written by the nodes whose keys begin with `prefix`.
    async fn read_fleet_records(
        &self,
        prefix: &str,
        freshness: ReadFreshness,
    ) -> Result<StoreChanges, StoreError>;
    /// Waits up to `wait` for changes after `revision`. All returned changes belong to its era.
    async fn watch(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<StoreChanges, StoreError>;
    /// Reads one key of a record written by the nodes, with its revision.
    async fn read(&self, key: &str) -> Result<Option<(StoreRevision, Bytes)>, StoreError>;
    /// Carries out a conditional write.
    async fn write(&self, write: ConditionalWrite) -> Result<WriteOutcome, StoreError>;
    /// Takes a new lease that expires after `time_to_live` without renewal.
    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError>;
    /// Renews a lease. Returns the era of the answer: records written under the lease in an
    /// earlier era may be lost although the lease is still valid.
    async fn renew_lease(&self, lease: LeaseId) -> Result<StoreEra, StoreError>;
    /// Ends a lease, which removes the keys attached to it.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// An order to promote a replica.
#[derive(Clone, Debug)]
pub struct PromotionOrder {
    /// The group whose primary is replaced.
    pub group: GroupName,
    /// The replica to promote.
    pub candidate: DatabaseName,
    /// Name of the node that orders the promotion.
    pub holder: String,
    /// Fencing token. One token is only ever used for one candidate.
    pub fencing_token: FencingToken,
}

/// The reason why a promotion order was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PromotionError {
    /// The order's fencing token was superseded, or the candidate is not running.
    #[error("the promotion was rejected")]
    Rejected,
    /// The service asks the caller to retry later.
    #[error("the promotion service is overloaded or down")]
    Unavailable,
    /// The order was not answered and may be carried out later.
    #[error("the promotion was not answered")]
    NoAnswer,
}

/// The service that carries out promotions.
#[async_trait(?Send)]
pub trait PromotionService {
    /// Orders a promotion and waits for the answer.
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromotionError>;
}
