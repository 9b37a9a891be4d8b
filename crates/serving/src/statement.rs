//! Carrying one statement to a database that may serve it, and back.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_coordination::serving::leadership::{Confirmation, Reign, ReignPosition};
use hookpoint_coordination::serving::selection::{Candidate, rank};
use hookpoint_coordination::serving::session::{Access, Phase, PreparedShape, SessionState};
use hookpoint_coordination::serving::topology::{Consistency, Route};
use hookpoint_state::{DatabaseName, Position, Timestamp};
use tokio::time::{sleep, timeout};

use crate::connection::{Answer, ConnectionError, TransactionUse};
use crate::message::{Command, Failure, FailureCode};
use crate::node::Node;
use crate::pool::{AcquireError, CONTROL_LIMIT, Lease, note_begin};

/// Least time left in which another attempt is worth making.
const LEAST_ATTEMPT: Duration = Duration::from_millis(10);
/// The same for a write: one that is sent and not answered in time is in doubt, while one
/// that was not sent can be tried again by the caller.
const LEAST_WRITE_ATTEMPT: Duration = Duration::from_millis(200);
/// How long a read waits for a connection to one database.
const READ_ACQUIRE_LIMIT: Duration = Duration::from_millis(200);
/// Pause before another attempt at a loaded database.
const BUSY_PAUSE: Duration = Duration::from_millis(15);
/// Longest pause before looking again for a database.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Least time that one attempt at a read is given before another database is asked.
const LEAST_READ_ATTEMPT: Duration = Duration::from_millis(300);
/// Multiple of the mean service time that one attempt at a read is given.
const READ_ATTEMPT_FACTOR: u32 = 8;
/// Loss of contact after which a primary gets no new work.
const LEADER_LOST: Duration = Duration::from_millis(250);
/// Time in which a lost primary should have been replaced.
const REPLACEMENT_TIME: Duration = Duration::from_secs(3);
/// Hint told with a refusal.
const RETRY_HINT: &str = "nothing was kept; retry after 250 ms";

/// What a caller asks to run.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub id: Bytes,
    pub access: Access,
    pub body: WorkBody,
}

/// Text or prepared shape.
#[derive(Clone, Debug)]
pub(crate) enum WorkBody {
    Text(Bytes),
    Prepared {
        shape: PreparedShape,
        arguments: Bytes,
    },
}

impl Work {
    fn shape(&self) -> Option<&PreparedShape> {
        match &self.body {
            WorkBody::Text(_) => None,
            WorkBody::Prepared { shape, .. } => Some(shape),
        }
    }

    fn command(&self, after: Option<Position>) -> Command {
        match &self.body {
            WorkBody::Text(text) => Command::Run {
                id: self.id.clone(),
                after,
                text: text.clone(),
            },
            WorkBody::Prepared { shape, arguments } => Command::Execute {
                id: self.id.clone(),
                after,
                name: prepared_name(shape),
                arguments: arguments.clone(),
            },
        }
    }
}

/// This node's name for a shape, alike on every connection.
fn prepared_name(shape: &PreparedShape) -> String {
    let mut hasher = DefaultHasher::new();
    shape.hash(&mut hasher);
    format!("p{:016x}", hasher.finish())
}

/// One request: the session it comes from and its limits.
pub(crate) struct Request<'a> {
    pub node: &'a Rc<Node>,
    pub state: &'a SessionState,
    pub route: &'a Route,
    /// When its first byte, or that of its transaction, was seen.
    pub fresh_from: Timestamp,
    /// When this statement arrived.
    pub arrived: Timestamp,
    /// Newest position that the session was shown.
    pub own_position: Option<ReignPosition>,
}

/// Where a statement may run.
#[derive(Clone, Debug)]
enum Target {
    /// The primary, confirmed as such by a plain transaction.
    Leader(DatabaseName),
    /// Any database that holds a position.
    Holding(DatabaseName, Position),
}

impl Target {
    fn database(&self) -> &DatabaseName {
        match self {
            Target::Leader(name) | Target::Holding(name, _) => name,
        }
    }
}

/// What became of one attempt.
enum Attempt {
    Answered(Box<(Lease, Answer)>),
    /// It did not run; another attempt may be made.
    NotRun(AttemptFailure),
    /// It was sent and nothing is known.
    Unknown,
}

/// Why an attempt did not run, or does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptFailure {
    Busy,
    Lagging,
    NotPrimary,
    NoConnection,
    Broken,
    Failed,
}

impl AttemptFailure {
    fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::Busy => "busy",
            AttemptFailure::Lagging => "lagging",
            AttemptFailure::NotPrimary => "not_primary",
            AttemptFailure::NoConnection => "no_connection",
            AttemptFailure::Broken => "broken",
            AttemptFailure::Failed => "failed",
        }
    }
}

/// What was tried for a statement.
#[derive(Debug)]
struct Tried {
    attempts: u32,
    database: Option<DatabaseName>,
    last_failure: &'static str,
}

impl Default for Tried {
    fn default() -> Self {
        Self {
            attempts: 0,
            database: None,
            last_failure: "none",
        }
    }
}

/// How the connection's transaction has to stand before the statement.
#[derive(Clone, Copy, Debug)]
enum Stance {
    /// None is open: the statement runs alone.
    Alone(Option<Position>),
    /// In a plain transaction in which nothing has run.
    LeaderTransaction,
    /// In a reading transaction on a database that holds a position.
    ReadTransaction(Position),
}

impl Request<'_> {
    fn deadline(&self) -> Timestamp {
        self.arrived + self.route.statement_timeout
    }

    fn time_left(&self) -> Duration {
        self.deadline().since(self.node.now())
    }

    /// Until when the request waits for a database that may serve it.
    ///
    /// While a primary that was lost a moment ago is being replaced, within its own time.
    /// Once that has taken longer than it should, a request is refused at once.
    fn wait_limit(&self) -> Timestamp {
        let lost_since = self.node.with_group(&self.route.group, |state| {
            state.contact.lost_since.or(state.leaderless_since)
        });
        let now = self.node.now();
        match lost_since {
            Some(since) if now.since(since) >= REPLACEMENT_TIME => now,
            _ => self.deadline(),
        }
    }

    fn leader_in_contact(&self) -> Option<DatabaseName> {
        let now = self.node.now();
        let leader = self.node.with_group(&self.route.group, |state| {
            let lost = state
                .contact
                .lost_since
                .is_some_and(|since| state.contact.refused || now.since(since) >= LEADER_LOST);
            let leader = state.leadership.leader().cloned();
            leader.filter(|_| !lost)
        })?;
        self.node.may_serve(&leader).then_some(leader)
    }

    fn leader_target(&self) -> Option<Target> {
        self.leader_in_contact().map(Target::Leader)
    }

    /// Position that a database has to hold to serve this request's reads.
    fn required_position(&self) -> Option<Position> {
        let (staleness, own) = match self.route.consistency {
            Consistency::Primary => return None,
            Consistency::BoundedStaleness(bound) => (bound, None),
            Consistency::ReadYourWrites(bound) => (bound, self.own_position),
        };
        self.node.with_group(&self.route.group, |state| {
            let floor = state.leadership.floor(self.fresh_from - staleness)?;
            match own {
                Some(own) => Some(floor.max(state.leadership.translate(own)?)),
                None => Some(floor),
            }
        })
    }

    fn read_target(&self, avoided: &BTreeSet<DatabaseName>) -> Option<Target> {
        let leader = self.leader_in_contact();
        let Some(required) = self.required_position() else {
            return leader.map(Target::Leader);
        };
        let ranked = rank(self.candidates(leader.as_ref(), avoided));
        let chosen = ranked.into_iter().next()?;
        if leader.as_ref() == Some(&chosen) {
            return Some(Target::Leader(chosen));
        }
        Some(Target::Holding(chosen, required))
    }

    fn candidates(
        &self,
        leader: Option<&DatabaseName>,
        avoided: &BTreeSet<DatabaseName>,
    ) -> Vec<Candidate> {
        let now = self.node.now();
        let directory = self.node.directory.borrow();
        directory
            .of_group(&self.route.group)
            .filter(|listed| {
                let name = &listed.database.name;
                !avoided.contains(name) && self.node.may_serve(name)
            })
            .map(|listed| {
                let database = &listed.database;
                let pool = self.node.pool(&database.name);
                Candidate {
                    name: database.name.clone(),
                    distance: self.node.distance(&database.zone),
                    in_flight: pool.in_flight(),
                    slots: database.slots,
                    service_time: pool.service_time(),
                    draining: listed.leaving_since.is_some(),
                    suspect: pool.is_suspect(now),
                    lagging: pool.is_lagging(now),
                    leader: leader == Some(&database.name),
                }
            })
            .collect()
    }

    /// Waits until a database may have become usable; fails once that has taken long.
    async fn await_target(&self) -> Result<(), Failure> {
        let left = self.wait_limit().since(self.node.now());
        if left < LEAST_ATTEMPT {
            return Err(self.refusal("no_database"));
        }
        let changed = self.node.leader_changed.notified();
        let _ = timeout(left.min(LOOK_AGAIN), changed).await;
        Ok(())
    }

    /// The final answer to a request that is given up.
    fn refusal(&self, reason: &'static str) -> Failure {
        self.node.counters.count("refused", reason);
        Failure::new(FailureCode::Overloaded, RETRY_HINT)
    }

    fn log_outcome(&self, work: &Work, tried: &Tried, outcome: &'static str) {
        let now = self.node.now();
        let (leader, reign, confirmed_at, sample) =
            self.node.with_group(&self.route.group, |state| {
                (
                    state
                        .leadership
                        .leader()
                        .map(|name| name.as_str().to_owned()),
                    state.leadership.reign(),
                    state.leadership.confirmed_at(),
                    state.leadership.newest_sample(),
                )
            });
        let version = self.node.configuration_version();
        self.node.log(
            "statement_decided",
            &[
                ("request", String::from_utf8_lossy(&work.id).as_ref().into()),
                ("group", self.route.group.as_str().into()),
                ("consistency", consistency_name(self.route).into()),
                ("access", access_name(work.access).into()),
                ("configuration", version.into()),
                ("leader", leader.into()),
                ("reign", reign.0.into()),
                ("confirmed_ms_ago", millis(now.since(confirmed_at)).into()),
                (
                    "sample_ms_ago",
                    sample.map(|at| millis(now.since(at))).into(),
                ),
                ("held_ms", millis(now.since(self.arrived)).into()),
                ("attempts", tried.attempts.into()),
                (
                    "database",
                    tried.database.as_ref().map(DatabaseName::as_str).into(),
                ),
                ("last_failure", tried.last_failure.into()),
                ("outcome", outcome.into()),
            ],
        );
    }

    /// Runs a single statement outside any transaction of the caller's.
    pub(crate) async fn run_single(&self, work: &Work) -> Result<(Answer, DatabaseName), Failure> {
        let (answer, lease) = self.run_until_answered(work, false).await?;
        let database = lease.pool().database().clone();
        Ok((answer, database))
    }

    /// Runs the first statement of a caller's transaction and keeps its connection.
    pub(crate) async fn run_first(
        &self,
        work: &Work,
        read_only: bool,
    ) -> Result<(Answer, Lease), Failure> {
        self.run_until_answered(work, !read_only).await
    }

    async fn run_until_answered(
        &self,
        work: &Work,
        plain_transaction: bool,
    ) -> Result<(Answer, Lease), Failure> {
        let in_transaction = self.state.phase == Phase::InTransaction;
        let now = self.node.now();
        self.node
            .with_group(&self.route.group, |state| state.used_at = now);
        let to_leader = plain_transaction || work.access == Access::Write;
        let mut avoided = BTreeSet::new();
        let mut tried = Tried::default();
        loop {
            if self.time_left() < least_time(work) {
                self.log_outcome(work, &tried, "refused");
                return Err(self.refusal("out_of_time"));
            }
            let target = if to_leader {
                self.leader_target()
            } else {
                self.read_target(&avoided)
            };
            let Some(target) = target else {
                avoided.clear();
                if let Err(failure) = self.await_target().await {
                    self.log_outcome(work, &tried, "refused");
                    return Err(failure);
                }
                continue;
            };
            tried.attempts += 1;
            tried.database = Some(target.database().clone());
            let attempt = self.attempt(work, &target, in_transaction, to_leader).await;
            match attempt {
                Attempt::Answered(answered) => {
                    let (lease, answer) = *answered;
                    if tried.attempts > 1 {
                        self.log_outcome(work, &tried, "served_after_retry");
                    }
                    return Ok((answer, lease));
                }
                Attempt::Unknown => {
                    self.log_outcome(work, &tried, "outcome_unknown");
                    let text = "the write was sent and not answered";
                    return Err(Failure::new(FailureCode::OutcomeUnknown, text));
                }
                Attempt::NotRun(failure) => {
                    tried.last_failure = failure.as_str();
                    self.node
                        .counters
                        .count("attempts_failed", tried.last_failure);
                    self.after_failure(failure, &target, &mut avoided).await;
                }
            }
        }
    }

    async fn after_failure(
        &self,
        failure: AttemptFailure,
        target: &Target,
        avoided: &mut BTreeSet<DatabaseName>,
    ) {
        let database = target.database();
        match failure {
            AttemptFailure::Busy => {
                avoided.insert(database.clone());
                sleep(BUSY_PAUSE.min(self.time_left())).await;
            }
            AttemptFailure::Lagging => {
                self.node.pool(database).note_lagging(self.node.now());
                avoided.insert(database.clone());
            }
            AttemptFailure::NotPrimary => self.node.refute_leader(database),
            AttemptFailure::NoConnection => {
                avoided.insert(database.clone());
                sleep(LEAST_ATTEMPT.min(self.time_left())).await;
            }
            AttemptFailure::Broken | AttemptFailure::Failed => {
                avoided.insert(database.clone());
            }
        }
    }

    async fn attempt(
        &self,
        work: &Work,
        target: &Target,
        in_transaction: bool,
        to_leader: bool,
    ) -> Attempt {
        let pool = self.node.pool(target.database());
        let asked_at = self.node.now();
        let acquired = pool
            .acquire(
                self.route.priority,
                &self.state.values,
                self.acquire_limit(work),
            )
            .await;
        let lease = match acquired {
            Ok(lease) => lease,
            Err(AcquireError::Connection(error)) => {
                let refused = matches!(error, ConnectionError::Refused(_));
                self.node
                    .note_lost_contact(target.database(), asked_at, refused);
                return Attempt::NotRun(AttemptFailure::NoConnection);
            }
            Err(AcquireError::NotHeld) => {
                self.node
                    .note_lost_contact(target.database(), asked_at, pool.was_refused());
                return Attempt::NotRun(AttemptFailure::NoConnection);
            }
            Err(_) => return Attempt::NotRun(AttemptFailure::NoConnection),
        };
        let stance = match target {
            Target::Leader(_) if in_transaction || !to_leader => Stance::LeaderTransaction,
            Target::Leader(_) if work.access == Access::Read => Stance::LeaderTransaction,
            Target::Leader(_) => Stance::Alone(None),
            Target::Holding(_, after) if in_transaction => Stance::ReadTransaction(*after),
            Target::Holding(_, after) => Stance::Alone(Some(*after)),
        };
        self.run_on(work, lease, stance).await
    }

    async fn run_on(&self, work: &Work, mut lease: Lease, stance: Stance) -> Attempt {
        let mut commands = match self.take_stance(&mut lease, stance).await {
            Ok(prefix) => prefix,
            Err(failure) => return Attempt::NotRun(failure),
        };
        let after = match stance {
            Stance::Alone(after) => after,
            Stance::ReadTransaction(after) => Some(after),
            Stance::LeaderTransaction => None,
        };
        self.push_preparation(&mut lease, work, &mut commands);
        commands.push(work.command(after));
        let limit = self.attempt_limit(work, &lease);
        let asked_at = self.node.now();
        if !matches!(stance, Stance::Alone(_)) {
            lease.connection().transaction = TransactionUse::Used;
        }
        let answers = match lease.exchange(self.node, &commands, limit).await {
            Ok(answers) => answers,
            Err(_) => {
                return match work.access {
                    Access::Read => Attempt::NotRun(AttemptFailure::Broken),
                    Access::Write if matches!(stance, Stance::Alone(_)) => Attempt::Unknown,
                    Access::Write => Attempt::NotRun(AttemptFailure::Broken),
                };
            }
        };
        self.judge(work, lease, stance, answers, asked_at)
    }

    fn judge(
        &self,
        work: &Work,
        mut lease: Lease,
        stance: Stance,
        mut answers: Vec<Answer>,
        asked_at: Timestamp,
    ) -> Attempt {
        let Some(answer) = answers.pop() else {
            return Attempt::NotRun(AttemptFailure::Broken);
        };
        if answers.iter().any(|prefix| prefix.result.is_err()) {
            lease.connection().values_unknown = true;
            if work.access == Access::Read {
                lease.connection().broken = true;
                return Attempt::NotRun(AttemptFailure::Broken);
            }
        }
        let now = self.node.now();
        let code = match &answer.result {
            Ok(_) => {
                lease.pool().note_served(now.since(asked_at));
                if work.access == Access::Write && matches!(stance, Stance::Alone(_)) {
                    self.confirm(&lease, asked_at, answer.position);
                }
                return Attempt::Answered(Box::new((lease, answer)));
            }
            Err(failure) => failure.code,
        };
        match code {
            FailureCode::Overloaded => Attempt::NotRun(AttemptFailure::Busy),
            FailureCode::Lagging => Attempt::NotRun(AttemptFailure::Lagging),
            FailureCode::NotPrimary => Attempt::NotRun(AttemptFailure::NotPrimary),
            FailureCode::UnknownPrepared => {
                lease.connection().prepared.clear();
                Attempt::NotRun(AttemptFailure::NoConnection)
            }
            FailureCode::Failed | FailureCode::TimedOut if work.access == Access::Read => {
                Attempt::NotRun(AttemptFailure::Failed)
            }
            _ => Attempt::Answered(Box::new((lease, answer))),
        }
    }

    fn confirm(&self, lease: &Lease, asked_at: Timestamp, position: Option<Position>) {
        let proof = Confirmation {
            asked_at,
            answered_at: self.node.now(),
            position,
        };
        self.node.confirm_leader(lease.pool().database(), proof);
    }

    /// How long a connection is waited for. A read tries another database after a while;
    /// a write has to have time left to be answered, or its outcome would not be known.
    fn acquire_limit(&self, work: &Work) -> Duration {
        let left = self.time_left().saturating_sub(least_time(work));
        match work.access {
            Access::Read => left.min(READ_ACQUIRE_LIMIT),
            Access::Write => left,
        }
    }

    fn attempt_limit(&self, work: &Work, lease: &Lease) -> Duration {
        let left = self.time_left();
        match work.access {
            Access::Write => left,
            Access::Read => {
                let expected = lease.pool().service_time() * READ_ATTEMPT_FACTOR;
                left.min(expected.max(LEAST_READ_ATTEMPT))
            }
        }
    }

    fn push_preparation(&self, lease: &mut Lease, work: &Work, commands: &mut Vec<Command>) {
        let Some(shape) = work.shape() else {
            return;
        };
        if lease.connection().prepared.insert(shape.clone()) {
            commands.push(Command::Prepare {
                name: prepared_name(shape),
                shape: shape.clone(),
            });
        }
    }

    /// Brings the connection into the stance. What it returns goes ahead of the statement
    /// in the same write; everything whose refusal would change what the statement does
    /// has been answered before.
    async fn take_stance(
        &self,
        lease: &mut Lease,
        stance: Stance,
    ) -> Result<Vec<Command>, AttemptFailure> {
        let connection = lease.connection();
        let differs = connection.values_unknown || connection.values != self.state.values;
        let mut commands = Vec::new();
        let leader_transaction = matches!(stance, Stance::LeaderTransaction);
        let version = self.node.configuration_version();
        let keeps = leader_transaction
            && connection.transaction == TransactionUse::Unused
            && connection.transaction_version == version
            && !differs;
        if keeps {
            return Ok(commands);
        }
        if connection.transaction != TransactionUse::None {
            commands.push(Command::Rollback);
        }
        if differs {
            push_values(self.state, &mut commands);
        }
        match stance {
            Stance::Alone(_) if !differs => return Ok(commands),
            Stance::Alone(_) => {}
            Stance::LeaderTransaction => commands.push(Command::Begin {
                read_only: false,
                after: None,
            }),
            Stance::ReadTransaction(after) => commands.push(Command::Begin {
                read_only: true,
                after: Some(after),
            }),
        }
        let asked_at = self.node.now();
        let limit = CONTROL_LIMIT.min(self.time_left());
        let answers = match lease.exchange(self.node, &commands, limit).await {
            Ok(answers) => answers,
            Err(error) => {
                let refused = matches!(error, ConnectionError::Refused(_));
                let database = lease.pool().database().clone();
                self.node.note_lost_contact(&database, asked_at, refused);
                return Err(AttemptFailure::NoConnection);
            }
        };
        if differs {
            self.note_values(lease, &answers)?;
        }
        self.note_opened(lease, stance, (asked_at, version), &answers)
    }

    fn note_values(&self, lease: &mut Lease, answers: &[Answer]) -> Result<(), AttemptFailure> {
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

    fn note_opened(
        &self,
        lease: &mut Lease,
        stance: Stance,
        (asked_at, version): (Timestamp, Option<u64>),
        answers: &[Answer],
    ) -> Result<Vec<Command>, AttemptFailure> {
        let Some(answer) = answers.last() else {
            return Err(AttemptFailure::Broken);
        };
        let code = answer.result.as_ref().err().map(|failure| failure.code);
        match (stance, code) {
            (Stance::Alone(_), None) => Ok(Vec::new()),
            (Stance::Alone(_), Some(_)) => {
                lease.connection().broken = true;
                Err(AttemptFailure::Broken)
            }
            (Stance::LeaderTransaction, _) => {
                note_begin(self.node, lease, asked_at, version, answer);
                match code {
                    None => Ok(Vec::new()),
                    Some(FailureCode::NotPrimary) => Err(AttemptFailure::NotPrimary),
                    Some(_) => Err(AttemptFailure::Busy),
                }
            }
            (Stance::ReadTransaction(_), None) => Ok(Vec::new()),
            (Stance::ReadTransaction(_), Some(FailureCode::Lagging)) => {
                Err(AttemptFailure::Lagging)
            }
            (Stance::ReadTransaction(_), Some(_)) => Err(AttemptFailure::Busy),
        }
    }

    /// Runs a later statement on the connection of an open transaction.
    pub(crate) async fn run_in(&self, work: &Work, lease: &mut Lease) -> Result<Answer, Failure> {
        let mut commands = Vec::new();
        let connection = lease.connection();
        if connection.values != self.state.values {
            for (name, value) in &self.state.values {
                if connection.values.get(name) != Some(value) {
                    commands.push(Command::Set {
                        name: name.clone(),
                        value: value.clone(),
                    });
                }
            }
            connection.values = self.state.values.clone();
            connection.values_unknown = true;
        }
        self.push_preparation(lease, work, &mut commands);
        commands.push(work.command(None));
        let asked_at = self.node.now();
        let outcome = lease.exchange(self.node, &commands, self.time_left()).await;
        match outcome.map(|mut answers| answers.pop()) {
            Ok(Some(answer)) => {
                lease.pool().note_served(self.node.now().since(asked_at));
                Ok(answer)
            }
            _ => {
                let tried = Tried {
                    attempts: 1,
                    database: Some(lease.pool().database().clone()),
                    last_failure: AttemptFailure::Broken.as_str(),
                };
                self.log_outcome(work, &tried, "transaction_lost");
                Err(rolled_back())
            }
        }
    }

    /// Sends the commit, again as long as the database refuses it for load and keeps the
    /// transaction open.
    async fn commit_until_taken(
        &self,
        id: &Bytes,
        lease: &mut Lease,
    ) -> Result<Option<Answer>, ConnectionError> {
        loop {
            let command = Command::Commit { id: id.clone() };
            let mut answers = lease
                .exchange(self.node, &[command], self.time_left())
                .await?;
            let answer = answers.pop();
            let refused = answer.as_ref().is_some_and(|answer| {
                let code = answer.result.as_ref().err().map(|failure| failure.code);
                code == Some(FailureCode::Overloaded) && answer.phase == Phase::InTransaction
            });
            if !refused || self.time_left() < BUSY_PAUSE + LEAST_ATTEMPT {
                return Ok(answer);
            }
            sleep(BUSY_PAUSE).await;
        }
    }

    /// Commits the transaction open on `lease`.
    pub(crate) async fn commit(
        &self,
        id: &Bytes,
        lease: &mut Lease,
        wrote: bool,
    ) -> Result<Answer, Failure> {
        let asked_at = self.node.now();
        match self.commit_until_taken(id, lease).await {
            Ok(Some(answer)) => {
                if wrote && answer.result.is_ok() {
                    self.confirm(lease, asked_at, answer.position);
                }
                Ok(answer)
            }
            _ if wrote => {
                self.node.log(
                    "commit_unknown",
                    &[
                        ("request", String::from_utf8_lossy(id).as_ref().into()),
                        ("database", lease.pool().database().as_str().into()),
                        ("waited_ms", millis(self.node.now().since(asked_at)).into()),
                    ],
                );
                let text = "the commit was sent and not answered";
                Err(Failure::new(FailureCode::OutcomeUnknown, text))
            }
            _ => Err(rolled_back()),
        }
    }

    /// The session's position after an answer of the primary to a write.
    pub(crate) fn position_after_write(
        &self,
        database: &DatabaseName,
        position: Position,
    ) -> ReignPosition {
        let reign = self.node.with_group(&self.route.group, |state| {
            if state.leadership.leader() == Some(database) {
                state.leadership.reign()
            } else {
                Reign::default()
            }
        });
        ReignPosition { reign, position }
    }
}

/// Least time left in which a statement is still sent to a database.
fn least_time(work: &Work) -> Duration {
    match work.access {
        Access::Read => LEAST_ATTEMPT,
        Access::Write => LEAST_WRITE_ATTEMPT,
    }
}

fn push_values(state: &SessionState, commands: &mut Vec<Command>) {
    commands.push(Command::Reset);
    for (name, value) in &state.values {
        commands.push(Command::Set {
            name: name.clone(),
            value: value.clone(),
        });
    }
}

/// The answer to a transaction whose connection was lost before its commit was sent.
pub(crate) fn rolled_back() -> Failure {
    Failure::new(FailureCode::RolledBack, RETRY_HINT)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn consistency_name(route: &Route) -> &'static str {
    match route.consistency {
        Consistency::Primary => "primary",
        Consistency::BoundedStaleness(_) => "bounded",
        Consistency::ReadYourWrites(_) => "own_writes",
    }
}

fn access_name(access: Access) -> &'static str {
    match access {
        Access::Read => "read",
        Access::Write => "write",
    }
}
