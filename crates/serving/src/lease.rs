//! A connection on loan, and what brings it back to rest.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hookpoint_coordination::serving::leadership::Confirmation;
use hookpoint_state::Timestamp;

use crate::connection::{Answer, Connection, ConnectionError};
use crate::message::{Command, FailureCode};
use crate::node::Node;
use crate::pool::{CONTROL_LIMIT, Pool};

/// A connection on loan; it goes back to its pool when dropped.
pub struct Lease {
    connection: Option<Connection>,
    pool: Rc<Pool>,
    taken_at: Instant,
    /// Requests for which there is a token, if the database is cold.
    admitted: u32,
    /// Whether a caller's statement was sent on this loan.
    statement_sent: bool,
}

impl Lease {
    pub(crate) fn new(pool: Rc<Pool>, connection: Connection) -> Self {
        Self {
            connection: Some(connection),
            pool,
            taken_at: Instant::now(),
            admitted: 0,
            statement_sent: false,
        }
    }

    pub(crate) fn take(&mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Notes that there is a token for `requests` to a cold database.
    pub(crate) fn admit(&mut self, requests: u32) {
        self.admitted = requests;
    }

    /// The pool it belongs to.
    pub fn pool(&self) -> &Rc<Pool> {
        &self.pool
    }

    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a lease holds its connection until it is dropped")
    }

    /// Sends commands and waits for their answers; failures are noted with the pool. Nothing is
    /// sent to a database that is shut, and no new work to one whose time for that is over.
    ///
    /// That is asked here, where all ways to a database pass, at the moment of sending: a
    /// statement may have waited long for the connection since its database was chosen, and a
    /// peer that lends one sends for others. Later statements of a transaction and questions
    /// still pass.
    pub async fn exchange(
        &mut self,
        node: &Rc<Node>,
        commands: &[Command],
        limit: Duration,
    ) -> Result<Vec<Answer>, ConnectionError> {
        if node.is_shut(self.pool.database()) {
            self.connection().broken = true;
            return Err(ConnectionError::NotSent);
        }
        let begins_work = !self.statement_sent && commands.iter().any(Command::is_statement);
        if begins_work && !node.gets_new_work(self.pool.database()) {
            // What is known of its values and prepared names counts these commands as sent.
            self.connection().broken = true;
            return Err(ConnectionError::NotSent);
        }
        self.statement_sent |= begins_work;
        let asked_at = node.now();
        let relayed = self.connection().is_relayed();
        if !relayed {
            self.admitted = node.charge_cold(self.pool.database(), commands, self.admitted);
        }
        let outcome = self.connection().exchange(commands, limit).await;
        let stage = if relayed { "peer" } else { "database" };
        node.counters.observe(stage, node.now().since(asked_at));
        if self.pool.is_retired() {
            return outcome;
        }
        match &outcome {
            Ok(_) => {
                self.connection().heard_at = node.now();
                node.note_contact(self.pool.database());
            }
            Err(ConnectionError::NotSent) => {}
            Err(_) if relayed => {
                node.counters.count("relayed_exchanges", "failed");
                self.pool.note_outcome(node.now(), true);
            }
            Err(error) => {
                self.pool.note_failure(node.now());
                if !matches!(error, ConnectionError::TimedOut) {
                    self.pool.note_closed();
                } else {
                    node.counters.count("database_timeouts", "exchange");
                    self.pool.verify(node);
                }
            }
        }
        outcome
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            let pool = Rc::clone(&self.pool);
            pool.release(connection, self.taken_at.elapsed());
        }
    }
}

/// Ends what a connection's transaction held. A connection on which that fails is broken and
/// is not used again; its database rolls back as it closes.
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

/// Opens a plain transaction: its answer tells whether the database leads, and where.
pub async fn prove_leadership(node: &Rc<Node>, lease: &mut Lease) -> Result<(), ConnectionError> {
    let mut commands = Vec::with_capacity(2);
    if lease.connection().in_transaction {
        commands.push(Command::Rollback);
    }
    commands.push(Command::Begin {
        read_only: false,
        after: None,
    });
    let asked_at = node.now();
    let answers = lease.exchange(node, &commands, CONTROL_LIMIT).await?;
    if let Some(answer) = answers.last() {
        note_begin(node, lease, asked_at, answer);
    }
    Ok(())
}

/// Takes the answer to a plain `Begin`: it tells whether the database leads.
pub fn note_begin(node: &Rc<Node>, lease: &Lease, asked_at: Timestamp, answer: &Answer) {
    let database = lease.pool.database().clone();
    match &answer.result {
        Ok(_) => {
            let proof = Confirmation {
                asked_at,
                answered_at: node.now(),
                position: answer.position,
            };
            node.confirm_leader(&database, proof);
        }
        Err(failure) if failure.code == FailureCode::NotPrimary => {
            node.refute_leader(&database, asked_at);
        }
        Err(_) => {}
    }
}
