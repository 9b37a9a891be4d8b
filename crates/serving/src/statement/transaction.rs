//! The later statements of an open transaction and its commit.

use bytes::Bytes;
use hookpoint_coordination::serving::leadership::{LeadershipPeriod, PeriodPosition};
use hookpoint_coordination::serving::session::Phase;
use hookpoint_state::DatabaseName;
use tokio::time::sleep;

use super::attempt::AttemptFailure;
use super::outcome::{AttemptSummary, access_name, rolled_back};
use super::{BUSY_RETRY_DELAY, MIN_ATTEMPT_TIME, Request, Work};
use crate::connection::Answer;
use crate::exchange_error::ExchangeError;
use crate::lease::Lease;
use crate::message::{Command, Failure, FailureCode};
use crate::primary_lease::WriteInFlight;
use crate::units::millis;

impl Request<'_> {
    /// Runs a statement on the connection of an open transaction, after the commands that bring
    /// its session values and prepared statements up to date.
    pub(crate) async fn run_next_in_transaction(
        &self,
        work: &Work,
        lease: &mut Lease,
    ) -> Result<Answer, Failure> {
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
        self.push_prepare(lease, work, &mut commands);
        commands.push(work.command(None));
        let asked_at = self.node.now();
        let outcome = lease.exchange(self.node, &commands, self.time_left()).await;
        match outcome.map(|mut answers| answers.pop()) {
            Ok(Some(answer)) => {
                let now = self.node.now();
                lease.pool().note_served(now, now.since(asked_at));
                let database = lease.pool().database();
                self.log_served(&work.id, access_name(work.access), database);
                Ok(answer)
            }
            _ => {
                let summary = AttemptSummary {
                    attempts: 1,
                    database: Some(lease.pool().database().clone()),
                    last_failure: AttemptFailure::Broken.as_str(),
                    ..AttemptSummary::default()
                };
                self.log_outcome(work, &summary, "transaction_lost");
                Err(rolled_back())
            }
        }
    }

    /// Sends the commit and repeats it while the database refuses it as overloaded, keeps the
    /// transaction open and time is left.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] only if no commit has run: the refusal of each earlier one was
    /// attributed to it.
    async fn commit_with_retries(
        &self,
        id: &Bytes,
        lease: &mut Lease,
    ) -> Result<Option<Answer>, ExchangeError> {
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
            if !refused || self.time_left() < BUSY_RETRY_DELAY + MIN_ATTEMPT_TIME {
                return Ok(answer);
            }
            sleep(BUSY_RETRY_DELAY).await;
        }
    }

    /// Returns whether the answer to a write or a commit may be sent to the caller. A successful
    /// one at a primary that this node may no longer use may be lost in a failover.
    pub(super) fn may_acknowledge(&self, lease: &Lease, answer: &Answer) -> bool {
        let database = lease.pool().database();
        let term = answer.position.map(|position| position.term);
        let group = &self.route.group;
        let is_permitted =
            answer.result.is_err() || self.node.may_acknowledge(group, database, term);
        if !is_permitted {
            self.node.log(
                "answer_withheld",
                &[
                    ("group", group.as_str().into()),
                    ("database", database.as_str().into()),
                    ("term", term.map(|term| term.0).into()),
                    ("lease", self.node.holds_primary_lease().into()),
                ],
            );
        }
        is_permitted
    }

    /// Commits the transaction that is open on `lease`. `wrote`: whether the transaction has
    /// written, so that a lost answer leaves its outcome unknown.
    pub(crate) async fn commit(
        &self,
        id: &Bytes,
        lease: &mut Lease,
        wrote: bool,
    ) -> Result<Answer, Failure> {
        if wrote
            && !self
                .node
                .may_write(&self.route.group, lease.pool().database())
        {
            return Err(rolled_back());
        }
        let _in_flight = wrote.then(|| WriteInFlight::new(self.node, &self.route.group));
        let asked_at = self.node.now();
        match self.commit_with_retries(id, lease).await {
            Ok(Some(answer)) if !wrote || self.may_acknowledge(lease, &answer) => {
                if wrote && answer.result.is_ok() {
                    self.confirm(lease, asked_at, answer.position);
                }
                self.log_served(id, "commit", lease.pool().database());
                Ok(answer)
            }
            // The database rolls back when the connection closes.
            Err(ExchangeError::NotSent(_)) => Err(rolled_back()),
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

    /// Returns the position that `database` reported in its answer to a write or a commit; `None`
    /// if the answer holds none, or if another database leads by now, so that the leadership period
    /// of the position is not known.
    pub(crate) fn written_position(
        &self,
        database: &DatabaseName,
        answer: &Answer,
    ) -> Option<PeriodPosition> {
        let position = answer.position?;
        let leadership_period = self.node.with_group(&self.route.group, |state| {
            state.leadership.leadership_period_of(database)
        });
        let is_known = leadership_period != LeadershipPeriod::default();
        is_known.then_some(PeriodPosition {
            leadership_period,
            position,
        })
    }
}
