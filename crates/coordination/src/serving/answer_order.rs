//! Checks that each answer on a connection to a database belongs to the command in whose place it
//! arrived.
//!
//! Answers carry no identifier, so they are attributed by their order. A database may send an
//! answer a second time, arbitrarily late, and each surplus answer shifts those that follow it by
//! one place. The checks rest on four properties:
//!
//! - A success of a statement or a commit has a signature that no other answer has. One that the
//!   connection has received before is a repetition.
//! - A success of any other command has no signature.
//! - The transaction phase after a command is known if it succeeds.
//! - A failure that the connection has received before may be a repetition, and so may one while
//!   the answer to an earlier command may still be on its way. It is believed only if the answers to
//!   further commands prove the order.
//!
//! Since a place that requires a signature accepts neither a repetition nor an unsigned success, it
//! accepts the success of its own command only, and that proves that all earlier answers were in
//! place.

use std::collections::BTreeSet;

use thiserror::Error;

use super::session::Phase;

/// Number of remembered answers after which a connection is no longer used, which bounds its memory.
pub const MAX_REMEMBERED: usize = 2_048;

/// A command, as far as its answer depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Opens a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back, if one is open.
    Rollback,
    /// A read that requires a position of the log.
    PositionedRead,
    /// Any other read, or a write.
    Statement,
    /// Changes the session values or prepared statements of the connection.
    SessionState,
    /// Asks for the state of the database, or changes it, and is answered with it.
    DatabaseState,
}

/// Commands whose successes prove that the failure before them is in its place: otherwise the answer
/// to the failed command would come first, and the phases of the others differ.
pub const ORDER_PROOF: [CommandKind; 3] = [
    CommandKind::Rollback,
    CommandKind::Begin,
    CommandKind::Rollback,
];

/// How a command ended, as its answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerResult {
    /// Success with a signature, of which this is a hash.
    Signed(u64),
    /// Success without a signature; this is a hash of the answer.
    Unsigned(u64),
    /// The command was not run, as the database is overloaded, lags or does not lead; this is a hash
    /// of the refusal.
    Refused(u64),
    /// The command failed otherwise; this is a hash of the failure.
    Failed(u64),
}

/// An answer, as far as its attribution depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedAnswer {
    /// How the command ended.
    pub result: AnswerResult,
    /// Number of rows.
    pub rows: usize,
    /// Phase of the connection's transaction.
    pub phase: Phase,
}

/// Why an answer may not belong to the command in whose place it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MisplacedAnswer {
    /// A success without a signature for a statement or a commit.
    #[error("a success without a signature")]
    SignatureMissing,
    /// A success with a signature for a command that has none.
    #[error("a signature for a command that has none")]
    SignatureUnexpected,
    /// The signature was received before on this connection.
    #[error("a signature that was received before")]
    SignatureRepeated,
    /// Rows for a command that has none.
    #[error("rows for a command that has none")]
    RowsUnexpected,
    /// The transaction phase does not result from the command.
    #[error("an unexpected transaction phase")]
    PhaseUnexpected,
    /// A failure that may be the repetition of an earlier one.
    #[error("a failure that was received before")]
    FailureRepeated,
    /// A failure of a command that cannot be refused.
    #[error("a failure of a command that cannot be refused")]
    FailureUnexpected,
    /// A failure that may belong to an earlier command, whose answer may have been a repetition.
    #[error("a failure that may belong to an earlier command")]
    FailureAmbiguous,
    /// A message that cannot follow the one before it in an answer.
    #[error("a message out of sequence")]
    OutOfSequence,
    /// Further input has arrived, so one of the answers before it may be a repetition.
    #[error("more answers than commands")]
    Surplus,
}

impl CommandKind {
    /// Returns whether its success has a signature.
    fn is_signed(self) -> bool {
        self.is_read_or_write() || self == CommandKind::Commit
    }

    fn is_read_or_write(self) -> bool {
        matches!(self, CommandKind::PositionedRead | CommandKind::Statement)
    }

    /// Returns whether a refusal has no consequence but that the command is tried elsewhere, so that
    /// it may be proved later.
    fn is_refused_harmlessly(self) -> bool {
        matches!(self, CommandKind::Begin | CommandKind::PositionedRead)
    }
}

impl MisplacedAnswer {
    /// Returns whether the answers to further commands can prove that the answer is in its place.
    pub fn may_be_proved(self) -> bool {
        matches!(
            self,
            MisplacedAnswer::FailureRepeated | MisplacedAnswer::FailureAmbiguous
        )
    }

    /// Returns the label used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MisplacedAnswer::SignatureMissing => "signature_missing",
            MisplacedAnswer::SignatureUnexpected => "signature_unexpected",
            MisplacedAnswer::SignatureRepeated => "signature_repeated",
            MisplacedAnswer::RowsUnexpected => "rows_unexpected",
            MisplacedAnswer::PhaseUnexpected => "phase_unexpected",
            MisplacedAnswer::FailureRepeated => "failure_repeated",
            MisplacedAnswer::FailureUnexpected => "failure_unexpected",
            MisplacedAnswer::FailureAmbiguous => "failure_ambiguous",
            MisplacedAnswer::OutOfSequence => "out_of_sequence",
            MisplacedAnswer::Surplus => "surplus",
        }
    }
}

/// What a connection has received, as far as the attribution of its next answers depends on it.
#[derive(Clone, Debug, Default)]
pub struct AnswerOrder {
    phase: Phase,
    /// Hashes of the signatures received.
    signatures: BTreeSet<u64>,
    /// The kind of the failure after which only certain commands may be sent: a `Begin` or a
    /// positioned read that was refused and has to be followed by a `Rollback`, a refused `Commit`,
    /// or, for anything else, a statement.
    failed: Option<CommandKind>,
    /// Hashes of the failures received.
    failures: BTreeSet<u64>,
    /// Hashes of the successes without a signature.
    unsigned: BTreeSet<u64>,
    /// Whether an answer may have been a repetition and no signature has proved the order since, so
    /// that answers to earlier commands may still be on their way.
    is_uncertain: bool,
    /// Whether the last answer has a signature, which proves the order of all answers before it.
    is_proved: bool,
    /// Whether a database state was received.
    database_state_received: bool,
    /// Whether input arrived that no command had asked for.
    surplus_received: bool,
}

impl AnswerOrder {
    /// Returns whether commands may be sent together. After a refused `Begin` or positioned read a
    /// `Rollback` has to be first, after a refused `Commit` only another one or a change of the
    /// session state may be sent, and after any other failure or a database state nothing.
    pub fn may_send(&self, mut commands: impl Iterator<Item = CommandKind>) -> bool {
        let Some(first) = commands.next() else {
            return true;
        };
        if self.surplus_received {
            return false;
        }
        match (self.failed, first) {
            (Some(failed), _) if failed.is_refused_harmlessly() => first == CommandKind::Rollback,
            (Some(failed), _) => {
                let stays_open = failed == CommandKind::Commit
                    && self.phase == Phase::InTransaction
                    && matches!(first, CommandKind::Commit | CommandKind::SessionState);
                stays_open && commands.next().is_none()
            }
            (None, CommandKind::Rollback) => true,
            (None, _) => !self.database_state_received,
        }
    }

    /// Returns whether a `Rollback` has to be sent before anything else, to prove a refusal.
    pub fn needs_rollback(&self) -> bool {
        self.failed.is_some_and(CommandKind::is_refused_harmlessly)
    }

    /// Returns whether the connection can be used for further work after the present one: no
    /// repetition of what it has received could be taken for another answer, and its memory is not
    /// full.
    pub fn is_reusable(&self) -> bool {
        let is_proved = self.failed.is_none_or(CommandKind::is_refused_harmlessly);
        is_proved
            && !self.database_state_received
            && !self.surplus_received
            && self.remembered() < MAX_REMEMBERED
    }

    /// Returns the number of answers that the connection remembers.
    fn remembered(&self) -> usize {
        self.signatures.len() + self.unsigned.len() + self.failures.len()
    }

    /// Records that the answers on the connection cannot be attributed any more.
    pub fn note_misplaced(&mut self) {
        self.surplus_received = true;
    }

    /// Records that input has arrived that no command had asked for. Returns an error if one of the
    /// answers before it may therefore be a repetition.
    pub fn note_surplus(&mut self) -> Result<(), MisplacedAnswer> {
        self.surplus_received = true;
        if self.is_proved {
            Ok(())
        } else {
            Err(MisplacedAnswer::Surplus)
        }
    }

    /// Accepts the next answer as that to `command`, or returns why it may belong to another one.
    /// After an error the connection must not be used any more, except to prove a failure that
    /// [may be proved](MisplacedAnswer::may_be_proved): by the [`ORDER_PROOF`], or by the success of
    /// a command inside the transaction if a failed `Commit` has left it open.
    pub fn accept(
        &mut self,
        command: CommandKind,
        answer: ReceivedAnswer,
    ) -> Result<(), MisplacedAnswer> {
        match answer.result {
            AnswerResult::Signed(signature) => self.check_signed(command, answer, signature)?,
            AnswerResult::Unsigned(success) => self.check_unsigned(command, answer, success)?,
            AnswerResult::Refused(failure) => {
                let is_harmless = command.is_refused_harmlessly();
                self.check_failed(command, answer, failure, is_harmless)?;
            }
            AnswerResult::Failed(failure) => self.check_failed(command, answer, failure, false)?,
        }
        self.is_proved = matches!(answer.result, AnswerResult::Signed(_));
        self.phase = answer.phase;
        Ok(())
    }

    fn check_signed(
        &mut self,
        command: CommandKind,
        answer: ReceivedAnswer,
        signature: u64,
    ) -> Result<(), MisplacedAnswer> {
        if !self.signatures.insert(signature) {
            return Err(MisplacedAnswer::SignatureRepeated);
        }
        if !command.is_signed() {
            return Err(MisplacedAnswer::SignatureUnexpected);
        }
        self.check_phase_of_success(command, answer)?;
        self.is_uncertain = false;
        Ok(())
    }

    fn check_unsigned(
        &mut self,
        command: CommandKind,
        answer: ReceivedAnswer,
        success: u64,
    ) -> Result<(), MisplacedAnswer> {
        if command.is_signed() {
            return Err(MisplacedAnswer::SignatureMissing);
        }
        let is_state = command == CommandKind::DatabaseState;
        if !is_state && answer.rows > 0 {
            return Err(MisplacedAnswer::RowsUnexpected);
        }
        self.check_phase_of_success(command, answer)?;
        self.is_uncertain |= !self.unsigned.insert(success);
        self.database_state_received |= is_state;
        if command == CommandKind::Rollback && self.needs_rollback() {
            self.failed = None;
        }
        Ok(())
    }

    fn check_phase_of_success(
        &self,
        command: CommandKind,
        answer: ReceivedAnswer,
    ) -> Result<(), MisplacedAnswer> {
        let expected = match command {
            CommandKind::Begin => Phase::InTransaction,
            CommandKind::Commit | CommandKind::Rollback => Phase::Idle,
            _ => self.phase,
        };
        if answer.phase == expected {
            Ok(())
        } else {
            Err(MisplacedAnswer::PhaseUnexpected)
        }
    }

    fn check_failed(
        &mut self,
        command: CommandKind,
        answer: ReceivedAnswer,
        failure: u64,
        is_harmless: bool,
    ) -> Result<(), MisplacedAnswer> {
        let runs_in_transaction = self.phase != Phase::Idle;
        // A `BEGIN` that is refused leaves no transaction open, so this failure would be its own.
        if runs_in_transaction && answer.phase == Phase::Idle && command.is_read_or_write() {
            return Err(MisplacedAnswer::PhaseUnexpected);
        }
        if command == CommandKind::Rollback {
            return Err(MisplacedAnswer::FailureUnexpected);
        }
        let is_repeated = !self.failures.insert(failure);
        let is_certain = !is_repeated && !self.is_uncertain;
        self.is_uncertain |= is_repeated;
        match command {
            CommandKind::Commit if self.failed == Some(command) => {
                return Err(MisplacedAnswer::FailureRepeated);
            }
            _ if is_harmless && (is_certain || command == CommandKind::Begin) => {
                self.failed = Some(command);
                return Ok(());
            }
            _ if is_harmless => {
                self.failed = Some(CommandKind::Statement);
                return Ok(());
            }
            CommandKind::Commit => self.failed = Some(command),
            _ => self.failed = Some(CommandKind::Statement),
        }
        if is_repeated {
            return Err(MisplacedAnswer::FailureRepeated);
        }
        if !is_certain {
            return Err(MisplacedAnswer::FailureAmbiguous);
        }
        Ok(())
    }
}
