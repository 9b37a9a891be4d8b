//! What a node needs from outside, as traits.
//!
//! Implementations translate and do I/O. They hold no decision, no retry and no state
//! beyond open connections.

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

/// How messages are spelt. Decoders take whole messages off the buffer.
pub trait WireProtocol {
    /// Takes a caller's next message.
    fn decode_caller(&self, buffer: &mut BytesMut) -> io::Result<Option<CallerInput>>;
    /// Appends an answer to a caller.
    fn encode_caller(&self, output: &CallerOutput, buffer: &mut BytesMut);
    /// Takes a database's next message.
    fn decode_database(&self, buffer: &mut BytesMut) -> io::Result<Option<DatabaseMessage>>;
    /// Appends a command to a database.
    fn encode_database(&self, command: &Command, buffer: &mut BytesMut);
    /// Reads the row that answers a question about a database's status.
    fn parse_status(&self, row: &[u8]) -> Option<DatabaseStatus>;
}

/// A failed call to the state store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No answer, or the connection failed. The call may have been done, or may be later.
    #[error("the state store did not answer: {0}")]
    NoAnswer(String),
    /// It was refused and nothing was done.
    #[error("the state store refused the call with status {0}")]
    Refused(u16),
    /// The history after the given revision is gone, maybe with its era: read everything again.
    #[error("the state store no longer has the history asked for")]
    HistoryGone,
    /// The lease is over.
    #[error("the lease is over")]
    LeaseOver,
    /// The answer could not be understood.
    #[error("the state store's answer cannot be read: {0}")]
    Unreadable(String),
}

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// One record of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRecord {
    /// The operator's configuration.
    Configuration(Configuration),
    /// The registration of a database.
    Database(Database),
    /// A database's registration is gone.
    DatabaseGone(DatabaseName),
    /// The operator's request that a zone's databases get nothing any more, or its end.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether it is in force.
        requested: bool,
    },
    /// A record that cannot be read. It says nothing; what it was about is as if it were gone.
    Unreadable {
        /// What it should be about.
        subject: ChangeSubject,
        /// Why it cannot be read.
        reason: String,
    },
    /// A record of the fleet's own.
    Own {
        /// Key, without the fleet's prefix.
        key: String,
        /// The bytes, or nothing if it is gone.
        value: Option<Bytes>,
        /// The lease that it goes with, if it has one.
        lease: Option<LeaseId>,
    },
}

/// A record with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreChange {
    /// Revision of the change.
    pub revision: StoreRevision,
    /// The record.
    pub record: StoreRecord,
}

/// What a change is about: a later change of the same subject replaces it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ChangeSubject {
    /// The operator's configuration.
    Configuration,
    /// The registration of a database.
    Database(DatabaseName),
    /// The evacuation of a zone.
    Evacuation(ZoneName),
    /// A key of the fleet's own.
    Own(String),
}

impl StoreRecord {
    /// The record that says that a subject's key is gone; nothing for the configuration, which
    /// stays in force.
    pub fn gone(subject: &ChangeSubject) -> Option<Self> {
        match subject {
            ChangeSubject::Configuration => None,
            ChangeSubject::Database(name) => Some(StoreRecord::DatabaseGone(name.clone())),
            ChangeSubject::Evacuation(zone) => Some(StoreRecord::Evacuation {
                zone: zone.clone(),
                requested: false,
            }),
            ChangeSubject::Own(key) => Some(StoreRecord::Own {
                key: key.clone(),
                value: None,
                lease: None,
            }),
        }
    }

    /// What the record is about.
    pub fn subject(&self) -> ChangeSubject {
        match self {
            StoreRecord::Configuration(_) => ChangeSubject::Configuration,
            StoreRecord::Database(database) => ChangeSubject::Database(database.name.clone()),
            StoreRecord::DatabaseGone(name) => ChangeSubject::Database(name.clone()),
            StoreRecord::Evacuation { zone, .. } => ChangeSubject::Evacuation(zone.clone()),
            StoreRecord::Unreadable { subject, .. } => subject.clone(),
            StoreRecord::Own { key, .. } => ChangeSubject::Own(key.clone()),
        }
    }
}

/// Records read together with the revision to continue from.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Revision to continue watching from.
    pub revision: StoreRevision,
    /// The records.
    pub changes: Vec<StoreChange>,
}

/// A write under the condition that a key of the fleet's own is at a revision.
#[derive(Clone, Debug)]
pub struct ConditionalWrite {
    /// Key, without the fleet's prefix.
    pub key: String,
    /// Revision that it must have; none if it must be absent. The store compares only the number:
    /// in a later era another change may have it.
    pub expected: Option<StoreRevision>,
    /// New value.
    pub value: Bytes,
    /// Lease that the key goes with.
    pub lease: Option<LeaseId>,
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Written, at this revision.
    Written(StoreRevision),
    /// The condition did not hold.
    Conflict,
}

/// How fresh a listing has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFreshness {
    /// As of the moment of the call.
    Present,
    /// It may be seconds old, which makes it cheap. Watching from its revision on catches up.
    MayBeOld,
}

/// The service that keeps what must last.
#[async_trait(?Send)]
pub trait StateStore {
    /// Reads everything that concerns the fleet.
    async fn read_all(&self, freshness: ReadFreshness) -> Result<StoreChanges, StoreError>;
    /// Reads those of the fleet's own records whose keys begin with `prefix`.
    async fn read_own(
        &self,
        prefix: &str,
        freshness: ReadFreshness,
    ) -> Result<StoreChanges, StoreError>;
    /// Waits up to `wait` for changes after `revision`, all of its era.
    async fn watch(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<StoreChanges, StoreError>;
    /// Reads one of the fleet's own keys with its revision.
    async fn read(&self, key: &str) -> Result<Option<(StoreRevision, Bytes)>, StoreError>;
    /// Writes under a condition.
    async fn write(&self, write: ConditionalWrite) -> Result<WriteOutcome, StoreError>;
    /// Takes a lease.
    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, StoreError>;
    /// Renews a lease. Returns the era of the answer: what was written under the lease in an
    /// earlier one may be gone though the lease is not.
    async fn renew_lease(&self, lease: LeaseId) -> Result<StoreEra, StoreError>;
    /// Ends a lease and its keys.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// An order to promote a replica.
#[derive(Clone, Debug)]
pub struct PromotionOrder {
    /// The group.
    pub group: GroupName,
    /// The replica.
    pub candidate: DatabaseName,
    /// The node that orders it.
    pub holder: String,
    /// Fencing token; one token names one candidate for ever.
    pub fencing_token: FencingToken,
}

/// Why an order was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PromotionError {
    /// The order is fenced off or the candidate does not run.
    #[error("the promotion was rejected")]
    Rejected,
    /// The service asks to come back.
    #[error("the promotion service is overloaded or down")]
    Unavailable,
    /// No answer: it may be carried out later.
    #[error("the promotion was not answered")]
    NoAnswer,
}

/// The service that carries out promotions.
#[async_trait(?Send)]
pub trait PromotionService {
    /// Orders a promotion and waits for the answer.
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromotionError>;
}
