//! Verifies the term of a group by asking a majority of its databases.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use actix::ArbiterHandle;
use async_trait::async_trait;
use hookpoint_coordination::observer::{
    RoundAction, RoundEvent, RoundNumber, Verification, VerificationRounds, VerificationState,
    WaiterNumber,
};
use hookpoint_coordination::status::BackendStatus;
use hookpoint_state::{DatabaseName, GroupName, Position, Timestamp};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use super::status::StatusSource;
use crate::lease::TermVerifier;
use crate::shared::Shared;

/// Longest time of a round.
const ROUND_TIMEOUT: Duration = Duration::from_secs(1);

type Answer = oneshot::Sender<Option<Position>>;

#[derive(Default)]
struct GroupRounds {
    rounds: VerificationRounds,
    waiters: BTreeMap<WaiterNumber, Answer>,
    next_waiter: u64,
    timer: Option<Timestamp>,
}

/// Verifies terms by rounds of status queries, which concurrent callers share.
pub struct MajorityVerifier {
    shared: Arc<Shared>,
    statuses: Arc<dyn StatusSource>,
    arbiter: ArbiterHandle,
    groups: Mutex<BTreeMap<GroupName, GroupRounds>>,
    itself: Weak<MajorityVerifier>,
}

impl MajorityVerifier {
    /// A verifier that asks through `statuses` and runs its rounds on `arbiter`.
    pub fn new(
        shared: Arc<Shared>,
        statuses: Arc<dyn StatusSource>,
        arbiter: ArbiterHandle,
    ) -> Arc<Self> {
        Arc::new_cyclic(|itself| Self {
            shared,
            statuses,
            arbiter,
            groups: Mutex::new(BTreeMap::new()),
            itself: itself.clone(),
        })
    }

    fn call(&self, group: &GroupName) -> oneshot::Receiver<Option<Position>> {
        let (answer, result) = oneshot::channel();
        let mut groups = self.groups.lock();
        let entry = groups.entry(group.clone()).or_default();
        let waiter = WaiterNumber(entry.next_waiter);
        entry.next_waiter += 1;
        entry.waiters.insert(waiter, answer);
        self.handle(group, entry, RoundEvent::Called(waiter), None);
        result
    }

    fn finished(&self, group: &GroupName, round: RoundNumber, result: Option<Position>) {
        let mut groups = self.groups.lock();
        let Some(entry) = groups.get_mut(group) else {
            return;
        };
        self.handle(group, entry, RoundEvent::Finished(round), result);
        if entry.rounds.is_idle() {
            groups.remove(group);
        }
    }

    fn timer(&self, group: &GroupName) {
        if let Some(entry) = self.groups.lock().get_mut(group) {
            entry.timer = None;
            self.handle(group, entry, RoundEvent::Timer, None);
        }
    }

    fn handle(
        &self,
        group: &GroupName,
        entry: &mut GroupRounds,
        event: RoundEvent,
        result: Option<Position>,
    ) {
        let now = self.shared.now();
        let mut actions = Vec::new();
        entry.rounds.handle(now, event, &mut actions);
        for action in actions {
            match action {
                RoundAction::Start(round) => self.start(group.clone(), round),
                RoundAction::Answer(waiters) => {
                    for waiter in waiters {
                        if let Some(answer) = entry.waiters.remove(&waiter) {
                            let _gone = answer.send(result);
                        }
                    }
                }
            }
        }
        self.set_timer(now, group, entry);
    }

    fn set_timer(&self, now: Timestamp, group: &GroupName, entry: &mut GroupRounds) {
        let Some(due) = entry.rounds.next_timer() else {
            return;
        };
        if entry.timer.is_some_and(|set| set <= due) {
            return;
        }
        entry.timer = Some(due);
        let verifier = self.itself.clone();
        let group = group.clone();
        self.arbiter.spawn(async move {
            tokio::time::sleep(due.since(now)).await;
            if let Some(verifier) = verifier.upgrade() {
                verifier.timer(&group);
            }
        });
    }

    fn start(&self, group: GroupName, round: RoundNumber) {
        let Some(verifier) = self.itself.upgrade() else {
            return;
        };
        self.arbiter.spawn(async move {
            let result = tokio::time::timeout(ROUND_TIMEOUT, verifier.round(&group)).await;
            let position = result.ok().flatten();
            if position.is_none() {
                log::info!("observer: the term of group {group} could not be verified.");
            }
            verifier.finished(&group, round, position);
        });
    }

    /// Asks all databases of the group at once and ends as soon as the result is known.
    async fn round(&self, group: &GroupName) -> Option<Position> {
        let members: Vec<DatabaseName> = {
            let bundle = self.shared.bundle()?;
            let databases = bundle.databases_of(group);
            databases.map(|(name, _)| name.clone()).collect()
        };
        let mut verification = Verification::new(members.len());
        let (answers, mut received) = mpsc::channel(members.len().max(1));
        for database in members {
            let answer = self.ask(group.clone(), database, answers.clone());
            actix_rt::spawn(answer);
        }
        drop(answers);
        while let Some((database, status)) = received.recv().await {
            verification.answered(database, status);
            match verification.state() {
                VerificationState::Open => {}
                VerificationState::Verified(position) => return Some(position),
                VerificationState::Failed => return None,
            }
        }
        None
    }

    fn ask(
        &self,
        group: GroupName,
        database: DatabaseName,
        answers: mpsc::Sender<(DatabaseName, Option<BackendStatus>)>,
    ) -> impl Future<Output = ()> + 'static {
        let shared = self.shared.clone();
        let statuses = self.statuses.clone();
        async move {
            let answer = statuses
                .query_status(&group, &database, ROUND_TIMEOUT)
                .await;
            if let Ok(status) = &answer {
                shared.observe(&group, &database, status);
            }
            let _ended = answers.send((database, answer.ok())).await;
        }
    }
}

#[async_trait]
impl TermVerifier for MajorityVerifier {
    async fn verify(&self, group: &GroupName) -> Option<Position> {
        self.call(group).await.ok().flatten()
    }
}
