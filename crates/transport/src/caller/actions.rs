//! Carries out the actions of a request machine: acquires connections, sends units and
//! reports results.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::request::{Access, RequestAction, RequestEvent};
use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_state::{DatabaseName, Refusal, Timestamp};

use crate::caller::active::Failure;
use crate::caller::pipeline::Wrapping;
use crate::caller::session::Session;
use crate::lease::AcquireRequest;

/// Longest wait for the answer to the status query ahead of a read. A partitioned
/// database sends no answer at all, and the read can be routed elsewhere.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a status that is to prove that a commit happened.
const COMMIT_STATUS_TIMEOUT: Duration = Duration::from_secs(1);

impl Session {
    /// Passes an event to the transaction's request machine and performs the resulting
    /// actions.
    pub(super) fn handle(&mut self, event: RequestEvent) {
        let shared = &self.context.shared;
        let now = shared.now();
        let mut actions = Vec::new();
        if let Some(active) = &mut self.transaction {
            let machine = &mut active.machine;
            shared.with_view(&self.group, |view| {
                machine.handle(now, view, event, &mut actions);
            });
        }
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: RequestAction) {
        match &action {
            RequestAction::Record(decision) => {
                let session = Some(self.guard.entry.id);
                self.context.shared.record(session, decision.clone());
            }
            RequestAction::Require { position }
            | RequestAction::Acknowledge {
                position: Some(position),
            } => self.require(*position),
            RequestAction::Release { .. } => self.guard.entry.set_idle(),
            _ => {}
        }
        let Some(active) = &mut self.transaction else {
            return;
        };
        match action {
            RequestAction::VerifyTerm => self.verify_term(),
            RequestAction::Acquire { database, deadline } => self.acquire(database, deadline),
            RequestAction::Send { check, probe } => self.send(check, probe),
            RequestAction::Deliver => active.answer.deliver(),
            RequestAction::Discard => active.begin_attempt(false),
            RequestAction::Probe { after } => {
                active.probe_at = Some(self.context.shared.now() + after);
            }
            RequestAction::MarkUnconfirmed { database, position } => {
                self.context
                    .shared
                    .mark_unconfirmed(&self.group, &database, position);
            }
            RequestAction::QueryStatus { database, after } => {
                self.start_status_query(database, after)
            }
            RequestAction::Acknowledge { .. } => active.answer.release_end(),
            RequestAction::Release { reusable } => active.release(reusable),
            RequestAction::Wait { until } => active.timer = Some(until),
            RequestAction::Refuse { refusal } => active.failure = Some(Failure::Refused(refusal)),
            RequestAction::Unknown { cause } => active.failure = Some(Failure::Unknown(cause)),
            RequestAction::Finished => active.finished = true,
            RequestAction::Record(_) | RequestAction::Require { .. } => {}
        }
    }

    fn verify_term(&mut self) {
        let verifier = Arc::clone(&self.context.verifier);
        let group = self.group.clone();
        if let Some(active) = &mut self.transaction {
            active.verify = Some(Box::pin(async move { verifier.verify(&group).await }));
        }
    }

    /// Queries, on another connection, the status of a database whose connection was
    /// released.
    fn start_status_query(&mut self, database: DatabaseName, after: Duration) {
        let verifier = Arc::clone(&self.context.verifier);
        let group = self.group.clone();
        if let Some(active) = &mut self.transaction {
            active.status_query = Some(Box::pin(async move {
                tokio::time::sleep(after).await;
                let status = verifier
                    .status(&group, &database, COMMIT_STATUS_TIMEOUT)
                    .await;
                (database, status)
            }));
        }
    }

    fn acquire(&mut self, database: DatabaseName, deadline: Timestamp) {
        let request = AcquireRequest {
            group: self.group.clone(),
            database,
            session: self.guard.entry.id,
            tenant: self.tenant.clone(),
            zone: self.context.shared.zone.clone(),
            wait: deadline.since(self.context.shared.now()),
        };
        let leases = Arc::clone(&self.context.leases);
        self.guard.entry.set_waiting();
        let pause = self.retry_pause(deadline);
        if let Some(active) = &mut self.transaction {
            active.requested_database = Some(request.database.clone());
            active.acquire = Some(Box::pin(async move {
                if let Some(pause) = pause? {
                    tokio::time::sleep(pause).await;
                }
                leases.acquire(request).await
            }));
        }
    }

    /// Returns how long to wait before the next connection is acquired. Only after a lost
    /// connection is there a wait, which the retry policy sets.
    fn retry_pause(&mut self, deadline: Timestamp) -> Result<Option<Duration>, Refusal> {
        let Some(active) = &mut self.transaction else {
            return Ok(None);
        };
        if !std::mem::take(&mut active.lost_since_acquire) {
            return Ok(None);
        }
        let attempts = active.lost_connections;
        let shared = &self.context.shared;
        let now = shared.now();
        let next = shared
            .retries
            .next_attempt(now, deadline, attempts, &self.tenant)?;
        Ok(Some(next.since(now)))
    }

    /// Sends the current unit with the statements around it: with `check` a status query
    /// ahead of the unit, with `probe` one behind it.
    fn send(&mut self, check: bool, probe: bool) {
        let Some(active) = &mut self.transaction else {
            return;
        };
        let block = active.ledger_id.is_some() && !self.status.is_open();
        let wrapping = Wrapping {
            check,
            probe,
            ledger: active.ledger_id.clone(),
            block,
            defer: active.plan.open || active.plan.traits.copies_in,
        };
        active.begin_attempt(probe || block);
        active.recorded_ids.extend(active.ledger_id.clone());
        let traits = &active.plan.traits;
        active.dirty |= traits.leaves_state || !traits.settings.is_empty();
        if !std::mem::replace(&mut active.settings_applied, true) {
            let settings = if active.plan.internal {
                BTreeMap::new()
            } else {
                self.settings.current().clone()
            };
            let command = BackendCommand::EnsureSettings(settings);
            active.pipeline.outgoing.push_back(command);
        }
        let unit = active
            .plan
            .unit(self.status.is_open(), active.ledger_id.is_some());
        if check && unit.access == Access::Read {
            active.check_due = Some(self.context.shared.now() + CHECK_TIMEOUT);
        }
        active.pipeline.push_unit(&active.plan.commands, &wrapping);
        if let Some(lease) = &active.lease {
            self.guard.entry.set_running(lease.commands.clone());
        }
        active.send_queued();
    }
}
