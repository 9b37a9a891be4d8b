//! Prepares a connection for a statement: rolls back an earlier transaction, sets session values
//! and begins the transaction that the statement needs.

use hookpoint_coordination::serving::session::SessionState;
use hookpoint_state::Position;

use super::Request;
use super::attempt::AttemptFailure;
use crate::connection::Answer;
use crate::exchange_error::{ConnectionError, ExchangeError};
use crate::lease::Lease;
use crate::message::{Command, FailureCode};
use crate::pool::CONTROL_LIMIT;

/// The transaction that has to be open on the connection before the statement.
#[derive(Clone, Copy, Debug)]
pub(super) enum TransactionMode {
    /// No transaction: the statement runs in autocommit mode, on a database that has reached the
    /// position if one is given.
    Autocommit(Option<Position>),
    /// A plain transaction, opened for the statement. Only a primary accepts it.
    LeaderTransaction,
    /// A read-only transaction on a database that has reached the position.
    ReadTransaction(Position),
}

impl Request<'_> {
    /// Prepares the connection for a statement in `mode`. The returned commands are sent before
    /// the statement in the same write. Every command whose refusal would change what the
    /// statement does is sent and answered here first.
    pub(super) async fn prepare_connection(
        &self,
        lease: &mut Lease,
        mode: TransactionMode,
    ) -> Result<Vec<Command>, AttemptFailure> {
        let connection = lease.connection();
        let differs = connection.values_unknown || connection.values != self.state.values;
        let mut commands = Vec::new();
        if connection.in_transaction {
            commands.push(Command::Rollback);
        }
        if differs {
            push_session_values(self.state, &mut commands);
        }
        match mode {
            TransactionMode::Autocommit(_) if !differs => return Ok(commands),
            TransactionMode::Autocommit(_) => {}
            TransactionMode::LeaderTransaction => commands.push(Command::Begin {
                read_only: false,
                after: None,
            }),
            TransactionMode::ReadTransaction(after) => commands.push(Command::Begin {
                read_only: true,
                after: Some(after),
            }),
        }
        let asked_at = self.node.now();
        let limit = CONTROL_LIMIT.min(self.time_left());
        let answers = match lease.exchange(self.node, &commands, limit).await {
            Ok(answers) => answers,
            Err(error) if error.is_misattribution() => return Err(AttemptFailure::Misattributed),
            Err(error) => {
                let refused = matches!(
                    error,
                    ExchangeError::Unanswered(ConnectionError::Refused(_))
                );
                let database = lease.pool().database().clone();
                self.node.note_lost_contact(&database, asked_at, refused);
                return Err(AttemptFailure::NoConnection);
            }
        };
        if differs {
            self.record_session_values(lease, &answers)?;
        }
        self.check_last_answer(lease, mode, &answers)
    }

    /// Checks the answers to the commands that reset the connection and set the session's values.
    /// Records that the connection has these values, or marks the connection as broken if a command
    /// failed. The last of `answers` is left to [`Request::check_last_answer`].
    pub(super) fn record_session_values(
        &self,
        lease: &mut Lease,
        answers: &[Answer],
    ) -> Result<(), AttemptFailure> {
        let connection = lease.connection();
        let setting_failed = answers[..answers.len() - 1]
            .iter()
            .any(|answer| answer.result.is_err());
        connection.prepared.clear();
        if setting_failed {
            connection.broken = true;
            return Err(AttemptFailure::Broken);
        }
        connection.values = self.state.values.clone();
        connection.values_unknown = false;
        Ok(())
    }

    /// Checks the answer to the last command, which begins the transaction unless `mode` is
    /// [`TransactionMode::Autocommit`]. Returns an empty list of commands, or why the
    /// attempt failed.
    pub(super) fn check_last_answer(
        &self,
        lease: &mut Lease,
        mode: TransactionMode,
        answers: &[Answer],
    ) -> Result<Vec<Command>, AttemptFailure> {
        let Some(answer) = answers.last() else {
            return Err(AttemptFailure::Broken);
        };
        let code = answer.result.as_ref().err().map(|failure| failure.code);
        match (mode, code) {
            (TransactionMode::Autocommit(_), None) => Ok(Vec::new()),
            (TransactionMode::Autocommit(_), Some(_)) => {
                lease.connection().broken = true;
                Err(AttemptFailure::Broken)
            }
            (TransactionMode::LeaderTransaction, None) => Ok(Vec::new()),
            (TransactionMode::LeaderTransaction, Some(FailureCode::NotPrimary)) => {
                Err(AttemptFailure::NotPrimary)
            }
            (TransactionMode::LeaderTransaction, Some(_)) => Err(AttemptFailure::Busy),
            (TransactionMode::ReadTransaction(_), None) => Ok(Vec::new()),
            (TransactionMode::ReadTransaction(_), Some(FailureCode::Lagging)) => {
                Err(AttemptFailure::Lagging)
            }
            (TransactionMode::ReadTransaction(_), Some(_)) => Err(AttemptFailure::Busy),
        }
    }
}

fn push_session_values(state: &SessionState, commands: &mut Vec<Command>) {
    commands.push(Command::Reset);
    for (name, value) in &state.values {
        commands.push(Command::Set {
            name: name.clone(),
            value: value.clone(),
        });
    }
}
