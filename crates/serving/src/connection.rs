//! One connection to a database and what is known of its state.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hookpoint_coordination::serving::session::{Phase, PreparedShape, SessionValues};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::{DatabaseName, GroupName, Position, Timestamp};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::message::{Command, DatabaseMessage, Failure};
use crate::ports::WireProtocol;
use crate::relay::RelayedChannel;
use crate::socket;

/// Bytes of one answer at the most.
const MAX_ANSWER_BYTES: usize = 2 << 20;
/// Bytes read at once.
const READ_CHUNK: usize = 8 << 10;

/// Why a connection can no longer be used.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The host refused the connection or reset it.
    #[error("the database refused or reset the connection: {0}")]
    Refused(io::Error),
    /// It ended or broke.
    #[error("the connection broke: {0}")]
    Broken(io::Error),
    /// No answer in time.
    #[error("the database did not answer in time")]
    TimedOut,
    /// Nothing was sent: the database leaves and its time for new work is over, or its zone is
    /// evacuated.
    #[error("the database gets no more work")]
    NotSent,
    /// The database refused the session.
    #[error("the database refused the session: {}", .0.code.as_str())]
    Rejected(Failure),
}

impl From<io::Error> for ConnectionError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                ConnectionError::Refused(error)
            }
            _ => ConnectionError::Broken(error),
        }
    }
}

/// The answer to one command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Rows, as sent.
    pub rows: Vec<Bytes>,
    /// Signature, or why it failed.
    pub result: Result<Bytes, Failure>,
    /// Where the connection stands after it.
    pub phase: Phase,
    /// Position told with it.
    pub position: Option<Position>,
}

/// The way to the database.
enum Channel {
    /// A connection of this node's own.
    Direct(DirectChannel),
    /// One that another node holds.
    Relayed(RelayedChannel),
}

/// A connection of this node's own, without what is known of its state.
struct DirectChannel {
    stream: TcpStream,
    protocol: Rc<dyn WireProtocol>,
    incoming: BytesMut,
}

/// One connection to a database.
pub struct Connection {
    channel: Channel,
    /// The database.
    pub database: DatabaseName,
    /// On whose behalf it was opened, which holds for its life.
    pub principal: Principal,
    /// Whether a transaction is open on it.
    pub in_transaction: bool,
    /// Session values set on it.
    pub values: SessionValues,
    /// Whether its values may differ from `values`: it has to be reset.
    pub values_unknown: bool,
    /// Shapes prepared on it.
    pub prepared: BTreeSet<PreparedShape>,
    /// Whether it must not be used any more.
    pub broken: bool,
    /// When something was last heard on it.
    pub heard_at: Timestamp,
}

impl Connection {
    /// Connects and opens a session with `database` of `group` on behalf of `principal`.
    pub async fn open(
        protocol: Rc<dyn WireProtocol>,
        address: SocketAddr,
        group: &GroupName,
        database: &DatabaseName,
        principal: &Principal,
        limit: Duration,
    ) -> Result<Self, ConnectionError> {
        let opening = async {
            let stream = TcpStream::connect(address).await?;
            socket::prepare(&stream)?;
            let mut channel = DirectChannel {
                stream,
                protocol,
                incoming: BytesMut::new(),
            };
            let start = Command::Start {
                group: group.as_str().to_owned(),
                database: database.as_str().to_owned(),
                principal: principal.clone(),
            };
            channel.send(&[start]).await?;
            channel.receive_start().await?;
            Ok(Self::new(Channel::Direct(channel), database, principal))
        };
        timeout(limit, opening)
            .await
            .unwrap_or(Err(ConnectionError::TimedOut))
    }

    /// A connection that another node holds and lends.
    pub fn relayed(
        channel: RelayedChannel,
        database: &DatabaseName,
        principal: &Principal,
    ) -> Self {
        Self::new(Channel::Relayed(channel), database, principal)
    }

    fn new(channel: Channel, database: &DatabaseName, principal: &Principal) -> Self {
        Self {
            channel,
            database: database.clone(),
            principal: principal.clone(),
            in_transaction: false,
            values: SessionValues::new(),
            values_unknown: false,
            prepared: BTreeSet::new(),
            broken: false,
            heard_at: Timestamp::default(),
        }
    }

    /// Whether another node holds it.
    pub fn is_relayed(&self) -> bool {
        matches!(self.channel, Channel::Relayed(_))
    }

    /// The link to the node that holds it.
    pub fn into_relayed(self) -> Option<RelayedChannel> {
        match self.channel {
            Channel::Relayed(channel) => Some(channel),
            Channel::Direct(_) => None,
        }
    }

    /// Whether the connection is still open and silent, as one at rest has to be.
    pub fn is_usable(&mut self) -> bool {
        match &mut self.channel {
            Channel::Direct(channel) => !self.broken && channel.is_silent(),
            Channel::Relayed(_) => !self.broken,
        }
    }

    /// Sends commands in one write and waits for all their answers.
    ///
    /// After an error the connection is broken: an answer may still be on its way.
    pub async fn exchange(
        &mut self,
        commands: &[Command],
        limit: Duration,
    ) -> Result<Vec<Answer>, ConnectionError> {
        self.broken = true;
        let answers = match &mut self.channel {
            Channel::Direct(channel) => timeout(limit, channel.exchange(commands))
                .await
                .unwrap_or(Err(ConnectionError::TimedOut))?,
            Channel::Relayed(channel) => channel.exchange(commands, limit).await?,
        };
        self.broken = false;
        if let Some(last) = answers.last() {
            self.note_phase(last.phase);
        }
        Ok(answers)
    }

    /// Takes over what the database says of the transaction. A refused commit, for one,
    /// may leave it open.
    fn note_phase(&mut self, phase: Phase) {
        self.in_transaction = phase != Phase::Idle;
    }
}

impl DirectChannel {
    fn is_silent(&self) -> bool {
        let mut probe = [0_u8; 1];
        self.incoming.is_empty()
            && matches!(
                self.stream.try_read(&mut probe),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock
            )
    }

    async fn receive_start(&mut self) -> Result<(), ConnectionError> {
        match self.next_message().await? {
            DatabaseMessage::Ready { .. } => Ok(()),
            DatabaseMessage::Failure(failure) => Err(ConnectionError::Rejected(failure)),
            _ => Err(unexpected_message()),
        }
    }

    async fn exchange(&mut self, commands: &[Command]) -> Result<Vec<Answer>, ConnectionError> {
        self.send(commands).await?;
        let mut answers = Vec::with_capacity(commands.len());
        for _ in commands {
            answers.push(self.receive_answer().await?);
        }
        Ok(answers)
    }

    async fn send(&mut self, commands: &[Command]) -> Result<(), ConnectionError> {
        let mut outgoing = BytesMut::new();
        for command in commands {
            self.protocol.encode_database(command, &mut outgoing);
        }
        self.stream.write_all(&outgoing).await?;
        Ok(())
    }

    async fn receive_answer(&mut self) -> Result<Answer, ConnectionError> {
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            match self.next_message().await? {
                DatabaseMessage::Row(row) => rows.push(row),
                DatabaseMessage::Done(signature) => result = Some(Ok(signature)),
                DatabaseMessage::Failure(failure) => result = Some(Err(failure)),
                DatabaseMessage::Ready { phase, position } => {
                    let Some(result) = result else {
                        return Err(unexpected_message());
                    };
                    return Ok(Answer {
                        rows,
                        result,
                        phase,
                        position,
                    });
                }
            }
        }
    }

    async fn next_message(&mut self) -> Result<DatabaseMessage, ConnectionError> {
        loop {
            if let Some(message) = self.protocol.decode_database(&mut self.incoming)? {
                return Ok(message);
            }
            if self.incoming.len() > MAX_ANSWER_BYTES {
                return Err(unexpected_message());
            }
            self.incoming.reserve(READ_CHUNK);
            if self.stream.read_buf(&mut self.incoming).await? == 0 {
                return Err(ConnectionError::Broken(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }
}

fn unexpected_message() -> ConnectionError {
    ConnectionError::Broken(io::ErrorKind::InvalidData.into())
}
