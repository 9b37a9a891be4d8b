//! A connection checked out of its pool, and the commands that return it to a clean state.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hookpoint_coordination::serving::answer_order::MisplacedAnswer;
use hookpoint_coordination::serving::leadership::Confirmation;
use hookpoint_state::Timestamp;

use crate::connection::{Answer, Connection, Proof, ProofOutcome};
use crate::exchange_error::{ConnectionError, ExchangeError, NotSent};
use crate::message::{Command, FailureCode};
use crate::node::Node;
use crate::pool::{CONTROL_LIMIT, Pool};
use crate::units::millis;

/// A connection checked out of its pool; dropping the lease releases it.
pub struct Lease {
    connection: Option<Connection>,
    pool: Rc<Pool>,
    acquired_at: Instant,
    /// Number of requests to a cold database for which tokens were taken and not yet used.
    admitted_requests: u32,
    /// Whether a caller's statement was sent under this lease.
    statement_sent: bool,
}

impl Lease {
    pub(crate) fn new(pool: Rc<Pool>, connection: Connection) -> Self {
        Self {
            connection: Some(connection),
            pool,
            acquired_at: Instant::now(),
            admitted_requests: 0,
            statement_sent: false,
        }
    }

    pub(crate) fn take(&mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Records that tokens were taken for `requests` requests to a cold database.
    pub(crate) fn set_admitted_requests(&mut self, requests: u32) {
        self.admitted_requests = requests;
    }

    /// Returns the pool that the connection belongs to.
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// Returns the leased connection. Panics if it has been taken out of the lease.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a lease holds its connection until it is dropped")
    }

    /// Sends commands and waits for their answers; failures are recorded in the pool. Nothing is
    /// sent to an evacuated database, and no new work to a draining one whose time for new work is
    /// over.
    ///
    /// Both are checked here at the moment of sending, because statements on every path to a
    /// database pass through this function: a statement may have waited long for its connection
    /// after its database was chosen, and a node that leases connections to peers sends statements
    /// of its peers. Later statements of a transaction and control commands are still sent to a
    /// draining database.
    pub async fn exchange(
        &mut self,
        node: &Rc<Node>,
        commands: &[Command],
        limit: Duration,
    ) -> Result<Vec<Answer>, ExchangeError> {
        if node.is_in_evacuated_zone(self.pool.database()) {
            self.connection().broken = true;
            return Err(NotSent::NoMoreWork.into());
        }
        let begins_work = !self.statement_sent && commands.iter().any(Command::is_statement);
        if begins_work && !node.accepts_new_work(self.pool.database()) {
            // The connection's recorded values and prepared statements already include the
            // commands that are not sent.
            self.connection().broken = true;
            return Err(NotSent::NoMoreWork.into());
        }
        self.statement_sent |= begins_work;
        let asked_at = node.now();
        let relayed = self.connection().is_relayed();
        if !relayed {
            self.admitted_requests =
                node.charge_cold(self.pool.database(), commands, self.admitted_requests);
        }
        let outcome = self.connection().exchange(commands, limit).await;
        let stage = if relayed { "peer" } else { "database" };
        node.counters.observe(stage, node.now().since(asked_at));
        if let Some(proof) = self.connection().take_last_proof() {
            self.record_proof(node, commands, proof, asked_at);
        }
        if self.pool.is_retired() {
            return outcome;
        }
        match &outcome {
            Ok(answers) => {
                self.connection().last_received_at = node.now();
                node.note_contact(self.pool.database());
                self.note_leadership(node, commands, answers, asked_at);
            }
            Err(ExchangeError::NotSent(NotSent::Unusable)) => {
                node.counters.count("connections", "unusable");
            }
            Err(ExchangeError::NotSent(_)) => {}
            Err(ExchangeError::Unanswered(ConnectionError::Misplaced(reason))) => {
                self.log_misplaced(node, commands, *reason, asked_at);
            }
            Err(ExchangeError::Unanswered(_)) if relayed => {
                node.counters.count("relayed_exchanges", "failed");
                self.pool.note_outcome(node.now(), true);
            }
            Err(ExchangeError::Unanswered(error)) => {
                self.pool.note_failure(node.now());
                if !matches!(error, ConnectionError::TimedOut) {
                    self.pool.note_closed();
                } else {
                    node.counters.count("database_timeouts", "exchange");
                    self.pool.verify_reachable(node);
                }
            }
        }
        outcome
    }

    /// Records what the answers prove about which database leads.
    ///
    /// The success of a statement in a read-write transaction proves it: a database that has lost
    /// the lead refuses the statement, and the signature belongs to no other answer. The success of
    /// `Begin` proves it only with the answer to the `Rollback` behind it, since either alone may
    /// be a repetition. An answer without a position is no database's: nodes answer callers so.
    fn note_leadership(
        &mut self,
        node: &Rc<Node>,
        commands: &[Command],
        answers: &[Answer],
        asked_at: Timestamp,
    ) {
        let database = self.pool.database();
        let in_read_write_transaction = self
            .connection
            .as_ref()
            .is_some_and(Connection::is_in_read_write_transaction);
        for (index, (command, answer)) in commands.iter().zip(answers).enumerate() {
            let is_begin = matches!(
                command,
                Command::Begin {
                    read_only: false,
                    ..
                }
            );
            let is_proof = match &answer.result {
                Err(failure) => {
                    if is_begin && failure.code == FailureCode::NotPrimary {
                        node.reject_leader(database, asked_at);
                    }
                    false
                }
                Ok(_) if is_begin => matches!(commands.get(index + 1), Some(Command::Rollback)),
                Ok(_) => command.is_statement() && in_read_write_transaction,
            };
            if is_proof && answer.position.is_some() {
                let proof = Confirmation {
                    asked_at,
                    answered_at: node.now(),
                    position: answer.position,
                };
                node.confirm_leader(database, proof);
            }
        }
    }

    /// Counts the proof that an exchange needed, and logs one that failed.
    fn record_proof(
        &mut self,
        node: &Rc<Node>,
        commands: &[Command],
        proof: Proof,
        asked_at: Timestamp,
    ) {
        let relayed = self.connection().is_relayed();
        let counter = if relayed {
            "relayed_answer_proofs"
        } else {
            "answer_proofs"
        };
        node.counters.count(counter, proof.outcome.as_str());
        if proof.outcome == ProofOutcome::Proved {
            return;
        }
        node.log(
            "answer_unproved",
            &[
                ("database", self.pool.database().as_str().into()),
                ("reason", proof.reason.as_str().into()),
                ("proof", proof.outcome.as_str().into()),
                ("requests", request_ids(commands).into()),
                ("relayed", relayed.into()),
                ("waited_ms", millis(node.now().since(asked_at)).into()),
            ],
        );
    }

    fn log_misplaced(
        &mut self,
        node: &Rc<Node>,
        commands: &[Command],
        misplaced: MisplacedAnswer,
        asked_at: Timestamp,
    ) {
        node.counters.count("answers_misplaced", misplaced.as_str());
        let relayed = self.connection().is_relayed();
        node.log(
            "answer_misplaced",
            &[
                ("database", self.pool.database().as_str().into()),
                ("reason", misplaced.as_str().into()),
                ("requests", request_ids(commands).into()),
                ("commands", commands.len().into()),
                ("relayed", relayed.into()),
                ("waited_ms", millis(node.now().since(asked_at)).into()),
            ],
        );
    }
}

/// Returns the ids of the callers' statements among `commands`, for logs.
fn request_ids(commands: &[Command]) -> Vec<String> {
    commands
        .iter()
        .filter_map(Command::request_id)
        .map(|id| String::from_utf8_lossy(id).into_owned())
        .collect()
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            let pool = Rc::clone(&self.pool);
            pool.release(connection, self.acquired_at.elapsed());
        }
    }
}

/// Rolls back a connection's transaction. If that fails, the connection is marked as broken and
/// closed, and its database rolls back at the close.
pub async fn roll_back(node: &Rc<Node>, mut lease: Lease) {
    let commands = [Command::Rollback];
    if lease
        .exchange(node, &commands, CONTROL_LIMIT)
        .await
        .is_err()
    {
        node.counters.count("rollbacks", "failed");
    }
}

/// Asks whether the database is the primary: begins a plain transaction, which only a primary
/// accepts, and rolls it back. [`Lease::exchange`] records what the answers prove.
pub async fn check_leadership(node: &Rc<Node>, lease: &mut Lease) -> Result<(), ExchangeError> {
    let mut commands = Vec::with_capacity(3);
    if lease.connection().in_transaction {
        commands.push(Command::Rollback);
    }
    commands.push(Command::Begin {
        read_only: false,
        after: None,
    });
    commands.push(Command::Rollback);
    lease.exchange(node, &commands, CONTROL_LIMIT).await?;
    Ok(())
}
