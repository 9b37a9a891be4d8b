//! Verifies the term of a group by querying a majority of its databases.

use std::sync::Arc;
use std::time::Duration;

use actix::ArbiterHandle;
use async_trait::async_trait;
use futures::FutureExt;
use hookpoint_coordination::observer::{RoundPolicy, Verification, VerificationState};
use hookpoint_coordination::status::BackendStatus;
use hookpoint_state::{DatabaseName, GroupName, Position};
use tokio::sync::mpsc;

use super::shared_rounds::SharedRounds;
use super::status::StatusSource;
use crate::lease::TermVerifier;
use crate::shared::Shared;

/// Longest duration of a round.
const ROUND_TIMEOUT: Duration = Duration::from_secs(1);
/// A round that waits for a slow database delays the next one by at most 60 ms, unless
/// 4 rounds, which is the maximum, are running already.
const ROUND_POLICY: RoundPolicy = RoundPolicy {
    overlap_delay: Duration::from_millis(60),
    maximum: 4,
};

/// Verifies terms by rounds of status queries, which concurrent callers share.
pub struct MajorityVerifier {
    rounds: Arc<SharedRounds<GroupName, Option<Position>>>,
    statuses: Arc<dyn StatusSource>,
}

impl MajorityVerifier {
    /// Creates a verifier that queries through `statuses` and runs its rounds on
    /// `arbiter`.
    pub fn new(
        shared: Arc<Shared>,
        statuses: Arc<dyn StatusSource>,
        arbiter: ArbiterHandle,
    ) -> Arc<Self> {
        let tables = shared.clone();
        let source = statuses.clone();
        let round = move |group: GroupName| {
            let round = Round {
                shared: tables.clone(),
                statuses: source.clone(),
                group,
            };
            round.run_within(ROUND_TIMEOUT).boxed()
        };
        Arc::new(Self {
            rounds: SharedRounds::new(shared, arbiter, ROUND_POLICY, Box::new(round)),
            statuses,
        })
    }
}

#[async_trait]
impl TermVerifier for MajorityVerifier {
    async fn verify(&self, group: &GroupName) -> Option<Position> {
        self.rounds.call(group.clone()).await.flatten()
    }

    async fn status(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        wait: Duration,
    ) -> Option<BackendStatus> {
        let answer = self.statuses.query_status(group, database, wait).await;
        answer.ok()
    }
}

struct Round {
    shared: Arc<Shared>,
    statuses: Arc<dyn StatusSource>,
    group: GroupName,
}

impl Round {
    async fn run_within(self, limit: Duration) -> Option<Position> {
        let result = tokio::time::timeout(limit, self.run()).await;
        let position = result.ok().flatten();
        if position.is_none() {
            let group = &self.group;
            log::info!("observer: the term of group {group} could not be verified.");
        }
        position
    }

    /// Queries all databases of the group at once and returns as soon as the result is
    /// known.
    async fn run(&self) -> Option<Position> {
        let members = self.members();
        let mut verification = Verification::new(members.len());
        let (answers, mut received) = mpsc::channel(members.len().max(1));
        for database in members {
            actix_rt::spawn(self.query_member(database, answers.clone()));
        }
        drop(answers);
        while let Some((database, status)) = received.recv().await {
            verification.record_answer(database, status);
            match verification.state() {
                VerificationState::Open => {}
                VerificationState::Verified(position) => return Some(position),
                VerificationState::Failed => return None,
            }
        }
        None
    }

    fn members(&self) -> Vec<DatabaseName> {
        let Some(bundle) = self.shared.bundle() else {
            return Vec::new();
        };
        let databases = bundle.databases_of(&self.group);
        databases.map(|(name, _)| name.clone()).collect()
    }

    fn query_member(
        &self,
        database: DatabaseName,
        answers: mpsc::Sender<(DatabaseName, Option<BackendStatus>)>,
    ) -> impl Future<Output = ()> + 'static {
        let shared = self.shared.clone();
        let statuses = self.statuses.clone();
        let group = self.group.clone();
        async move {
            let answer = statuses
                .query_status(&group, &database, ROUND_TIMEOUT)
                .await;
            if let Ok(status) = &answer {
                shared.apply_status(&group, &database, status);
            }
            let _ended = answers.send((database, answer.ok())).await;
        }
    }
}
