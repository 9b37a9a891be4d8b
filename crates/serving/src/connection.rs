//! One connection to a database, with the session state that this node has set on it.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hookpoint_coordination::serving::answer_order::{
    AnswerOrder, AnswerResult, MisplacedAnswer, ORDER_PROOF, ReceivedAnswer,
};
use hookpoint_coordination::serving::session::{Phase, PreparedShape, SessionValues};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::{DatabaseName, GroupName, Position, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::exchange_error::{ConnectionError, ExchangeError, NotSent};
use crate::message::{Command, DatabaseMessage, Failure, FailureCode};
use crate::ports::WireProtocol;
use crate::receive_buffer::ReceiveBuffer;
use crate::relay::RelayedChannel;
use crate::socket;

/// Maximum number of bytes buffered for an incomplete message.
const MAX_ANSWER_BYTES: usize = 2 << 20;
/// Buffer space reserved for one read, in bytes.
const READ_CHUNK: usize = 8 << 10;

/// The answer to one command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Rows, as the database sent them.
    pub rows: Vec<Bytes>,
    /// The database's signature, or the failure.
    pub result: Result<Bytes, Failure>,
    /// State of the connection's transaction after the command.
    pub phase: Phase,
    /// Position of the database's log, if the answer contains one.
    pub position: Option<Position>,
}

impl Answer {
    /// Returns what the attribution of the answer depends on.
    fn received(&self, protocol: &dyn WireProtocol) -> ReceivedAnswer {
        let result = match &self.result {
            Ok(text) if protocol.is_signature(text) => AnswerResult::Signed(hash(&text)),
            Ok(_) => AnswerResult::Unsigned(hash(&(self.phase as u8, self.position))),
            Err(failure) => {
                let hash = hash(&(failure.code, &failure.text, self.position));
                match failure.code {
                    FailureCode::Overloaded | FailureCode::Lagging | FailureCode::NotPrimary => {
                        AnswerResult::Refused(hash)
                    }
                    _ => AnswerResult::Failed(hash),
                }
            }
        };
        ReceivedAnswer {
            result,
            rows: self.rows.len(),
            phase: self.phase,
        }
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// How the proof of a failure ended that may have been another command's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofOutcome {
    /// The failure was in its place.
    Proved,
    /// An answer to the proof does not follow from the failure, or cannot be attributed itself.
    Disproved,
    /// The peer that holds the connection did not send the proof.
    NotSent,
    /// The proof was sent and not answered.
    Unanswered,
}

impl ProofOutcome {
    fn of(outcome: &Result<(), ExchangeError>) -> Self {
        match outcome {
            Ok(()) => ProofOutcome::Proved,
            Err(ExchangeError::NotSent(_)) => ProofOutcome::NotSent,
            Err(ExchangeError::Unanswered(ConnectionError::Misplaced(_))) => {
                ProofOutcome::Disproved
            }
            Err(ExchangeError::Unanswered(_)) => ProofOutcome::Unanswered,
        }
    }

    /// Returns the label used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ProofOutcome::Proved => "proved",
            ProofOutcome::Disproved => "disproved",
            ProofOutcome::NotSent => "not_sent",
            ProofOutcome::Unanswered => "unanswered",
        }
    }
}

/// A proof that an exchange needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// Why it was needed.
    pub reason: MisplacedAnswer,
    /// How it ended.
    pub outcome: ProofOutcome,
}

/// How commands reach the database.
enum Channel {
    /// Over a connection of this node.
    Direct(DirectChannel),
    /// Through a peer node that holds the connection.
    Relayed(RelayedChannel),
}

/// A connection of this node to the database, without its session state.
struct DirectChannel {
    stream: TcpStream,
    protocol: Rc<dyn WireProtocol>,
    incoming: ReceiveBuffer,
}

/// One connection to a database.
pub struct Connection {
    channel: Channel,
    protocol: Rc<dyn WireProtocol>,
    order: AnswerOrder,
    /// Name of the database.
    pub database: DatabaseName,
    /// The principal on whose behalf it was opened, which never changes.
    pub principal: Principal,
    /// Whether a transaction may be open on it, so that it has to be rolled back before other work.
    pub in_transaction: bool,
    /// Whether that transaction was begun as read-write, which only a primary accepts.
    in_read_write_transaction: bool,
    /// Session values set on it.
    pub values: SessionValues,
    /// Whether the connection's values may differ from `values`, so that it has to be reset.
    pub values_unknown: bool,
    /// Shapes prepared on it.
    pub prepared: BTreeSet<PreparedShape>,
    /// Whether it must not be used any more.
    pub broken: bool,
    /// When an answer was last received on it.
    pub last_received_at: Timestamp,
    /// The proof that the last exchange needed.
    last_proof: Option<Proof>,
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
                protocol: Rc::clone(&protocol),
                incoming: ReceiveBuffer::default(),
            };
            let start = Command::Start {
                group: group.as_str().to_owned(),
                database: database.as_str().to_owned(),
                principal: principal.clone(),
            };
            channel.send(&[start]).await?;
            channel.receive_start().await?;
            Ok(Self::new(
                Channel::Direct(channel),
                protocol,
                database,
                principal,
            ))
        };
        timeout(limit, opening)
            .await
            .unwrap_or(Err(ConnectionError::TimedOut))
    }

    /// Creates a connection that commands reach through the peer node that holds it.
    pub fn relayed(
        channel: RelayedChannel,
        protocol: Rc<dyn WireProtocol>,
        database: &DatabaseName,
        principal: &Principal,
    ) -> Self {
        Self::new(Channel::Relayed(channel), protocol, database, principal)
    }

    fn new(
        channel: Channel,
        protocol: Rc<dyn WireProtocol>,
        database: &DatabaseName,
        principal: &Principal,
    ) -> Self {
        Self {
            channel,
            protocol,
            order: AnswerOrder::default(),
            database: database.clone(),
            principal: principal.clone(),
            in_transaction: false,
            in_read_write_transaction: false,
            values: SessionValues::new(),
            values_unknown: false,
            prepared: BTreeSet::new(),
            broken: false,
            last_received_at: Timestamp::default(),
            last_proof: None,
        }
    }

    /// Returns the proof that the last exchange needed, once; `None` if it needed none.
    pub fn take_last_proof(&mut self) -> Option<Proof> {
        self.last_proof.take()
    }

    /// Returns whether a read-write transaction is open, which only a primary accepts.
    pub fn is_in_read_write_transaction(&self) -> bool {
        self.in_read_write_transaction
    }

    /// Returns whether a peer node holds the connection.
    pub fn is_relayed(&self) -> bool {
        matches!(self.channel, Channel::Relayed(_))
    }

    /// Returns the channel to the peer node that holds the connection; `None` if this node does.
    pub fn into_relayed(self) -> Option<RelayedChannel> {
        match self.channel {
            Channel::Relayed(channel) => Some(channel),
            Channel::Direct(_) => None,
        }
    }

    /// Returns whether an idle connection can be used. Of a connection that a peer holds, the peer
    /// checks it.
    pub fn idle_state(&mut self) -> IdleState {
        match &mut self.channel {
            _ if self.broken => IdleState::Closed,
            Channel::Direct(channel) => channel.idle_state(),
            Channel::Relayed(_) => IdleState::Usable,
        }
    }

    /// Returns whether the connection can be used for further work after the present one.
    pub fn is_reusable(&self) -> bool {
        self.order.is_reusable()
    }

    /// Sends commands in one write and waits for all their answers. Returns them only if each can
    /// be no other command's.
    ///
    /// After an error the connection is not used any more, because an answer may still arrive.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] only if none of the commands was sent, whatever happened after
    /// that.
    pub async fn exchange(
        &mut self,
        commands: &[Command],
        limit: Duration,
    ) -> Result<Vec<Answer>, ExchangeError> {
        self.broken = true;
        let outcome = self.exchange_attributed(commands, limit).await;
        match &outcome {
            Ok(_) => self.broken = false,
            Err(error) if error.is_misattribution() => {
                // A link whose answers do not fit the commands is not used again either.
                self.broken = self.is_relayed();
                self.order.note_misplaced();
            }
            Err(_) => {}
        }
        outcome
    }

    async fn exchange_attributed(
        &mut self,
        commands: &[Command],
        limit: Duration,
    ) -> Result<Vec<Answer>, ExchangeError> {
        if !self.order.may_send(commands.iter().map(Command::kind)) {
            return Err(NotSent::Unusable.into());
        }
        if self.idle_input_received() {
            return Err(NotSent::Unusable.into());
        }
        let deadline = Instant::now() + limit;
        let answers = self.send_and_receive(commands, limit).await?;
        let answers = self.accept_answers(commands, answers, deadline).await?;
        Ok(answers)
    }

    /// Attributes the answers to commands that were sent, and proves the last one if it may be
    /// another command's.
    async fn accept_answers(
        &mut self,
        commands: &[Command],
        mut answers: Vec<Answer>,
        deadline: Instant,
    ) -> Result<Vec<Answer>, ConnectionError> {
        if let Some(reason) = self.attribute(commands, &answers)? {
            let left = deadline.saturating_duration_since(Instant::now());
            let leaves_open = matches!(commands.last(), Some(Command::Commit { .. }))
                && answers.last().map(|answer| answer.phase) == Some(Phase::InTransaction);
            self.prove(reason, leaves_open, left).await?;
            if let Some(failed) = answers.last_mut().filter(|_| !leaves_open) {
                failed.phase = Phase::Idle;
            }
        }
        if self.idle_input_received() {
            self.order.note_surplus()?;
        }
        Ok(answers)
    }

    /// Proves a failure that may be another command's for `reason`. A proof that was not sent, or
    /// that contradicts the failure, leaves the outcome of the commands before it unknown.
    async fn prove(
        &mut self,
        reason: MisplacedAnswer,
        leaves_open: bool,
        limit: Duration,
    ) -> Result<(), ConnectionError> {
        let proved = if leaves_open {
            self.prove_transaction_open(limit).await
        } else {
            self.prove_order(limit).await
        };
        self.last_proof = Some(Proof {
            reason,
            outcome: ProofOutcome::of(&proved),
        });
        proved.map_err(|error| match error {
            ExchangeError::NotSent(_)
            | ExchangeError::Unanswered(ConnectionError::Misplaced(_)) => reason.into(),
            ExchangeError::Unanswered(error) => error,
        })
    }

    async fn send_and_receive(
        &mut self,
        commands: &[Command],
        limit: Duration,
    ) -> Result<Vec<Answer>, ExchangeError> {
        match &mut self.channel {
            Channel::Direct(channel) => {
                let answers = timeout(limit, channel.exchange(commands))
                    .await
                    .unwrap_or(Err(ConnectionError::TimedOut))?;
                Ok(answers)
            }
            Channel::Relayed(channel) => channel.exchange(commands, limit).await,
        }
    }

    /// Returns whether input has arrived that no command had asked for. Of a connection that a peer
    /// holds, the peer checks it.
    fn idle_input_received(&mut self) -> bool {
        match &mut self.channel {
            Channel::Direct(channel) => channel.idle_state() == IdleState::SurplusInput,
            Channel::Relayed(_) => false,
        }
    }

    /// Accepts the answers as those to `commands`, or returns why one may belong to another. If that
    /// concerns only the last one, and it can still be proved, the reason is returned as a success.
    fn attribute(
        &mut self,
        commands: &[Command],
        answers: &[Answer],
    ) -> Result<Option<MisplacedAnswer>, MisplacedAnswer> {
        if answers.len() != commands.len() {
            return Err(MisplacedAnswer::Surplus);
        }
        let mut unproved = None;
        for (command, answer) in commands.iter().zip(answers) {
            if let Some(reason) = unproved {
                return Err(reason);
            }
            let received = answer.received(&*self.protocol);
            match self.order.accept(command.kind(), received) {
                Ok(()) => {}
                Err(reason) if reason.may_be_proved() => unproved = Some(reason),
                Err(reason) => return Err(reason),
            }
            self.update_transaction_state(command, answer);
        }
        Ok(unproved)
    }

    /// Rolls the transaction back and proves that the last failure was in its place.
    async fn prove_order(&mut self, limit: Duration) -> Result<(), ExchangeError> {
        let commands = [
            Command::Rollback,
            Command::Begin {
                read_only: true,
                after: None,
            },
            Command::Rollback,
        ];
        debug_assert!(commands.iter().map(Command::kind).eq(ORDER_PROOF));
        self.prove_by(&commands, limit).await
    }

    /// Proves that a failed commit has left its transaction open: the answer to a commit that ran
    /// would come before that to a command inside the transaction.
    async fn prove_transaction_open(&mut self, limit: Duration) -> Result<(), ExchangeError> {
        self.prove_by(&[Command::open_transaction_probe()], limit)
            .await
    }

    /// Proves that all answers so far were in their places by the successes of `commands`.
    async fn prove_by(
        &mut self,
        commands: &[Command],
        limit: Duration,
    ) -> Result<(), ExchangeError> {
        let answers = self.send_and_receive(commands, limit).await?;
        let unproved = self.attribute(commands, &answers)?;
        if unproved.is_some() || answers.iter().any(|answer| answer.result.is_err()) {
            return Err(MisplacedAnswer::FailureUnexpected.into());
        }
        if self.idle_input_received() {
            self.order.note_surplus()?;
        }
        Ok(())
    }

    /// Updates the transaction state from the database's answer. A refused commit, for example, may
    /// leave the transaction open.
    fn update_transaction_state(&mut self, command: &Command, answer: &Answer) {
        self.in_transaction = answer.phase != Phase::Idle || self.order.needs_rollback();
        if let Command::Begin { read_only, .. } = command {
            self.in_read_write_transaction = !read_only;
        }
        self.in_read_write_transaction &= answer.phase == Phase::InTransaction;
    }
}

/// Whether a connection on which nothing is asked can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// It is open, and no input has arrived.
    Usable,
    /// Input has arrived that no command had asked for.
    SurplusInput,
    /// It is broken or has ended.
    Closed,
}

impl DirectChannel {
    fn idle_state(&mut self) -> IdleState {
        if !self.incoming.is_empty() {
            return IdleState::SurplusInput;
        }
        match self.incoming.try_read_from(&self.stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Usable,
            Ok(0) | Err(_) => IdleState::Closed,
            Ok(_) => IdleState::SurplusInput,
        }
    }

    async fn receive_start(&mut self) -> Result<(), ConnectionError> {
        match self.next_message().await? {
            DatabaseMessage::Ready {
                phase: Phase::Idle, ..
            } => Ok(()),
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
                DatabaseMessage::Row(row) if result.is_none() => rows.push(row),
                DatabaseMessage::Done(signature) if result.is_none() => {
                    result = Some(Ok(signature));
                }
                DatabaseMessage::Failure(failure) if result.is_none() => {
                    result = Some(Err(failure));
                }
                DatabaseMessage::Ready { phase, position } => {
                    let result = result.ok_or(MisplacedAnswer::OutOfSequence)?;
                    return Ok(Answer {
                        rows,
                        result,
                        phase,
                        position,
                    });
                }
                _ => return Err(MisplacedAnswer::OutOfSequence.into()),
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
            let read = self.incoming.read_from(&mut self.stream, READ_CHUNK);
            if read.await? == 0 {
                return Err(ConnectionError::Broken(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }
}

fn unexpected_message() -> ConnectionError {
    ConnectionError::Broken(io::ErrorKind::InvalidData.into())
}
