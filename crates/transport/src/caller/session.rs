//! One caller session: it reads units, answers them one after another, and sends a final
//! message when it ends.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_protocol::extended::MalformedMessage;
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::reply::{self, TransactionStatus};
use hookpoint_protocol::settings_tracking::SettingsTracker;
use hookpoint_protocol::tags::frontend;
use hookpoint_state::{GroupName, Position, RequestId, TenantName};
use tokio::sync::watch;

use crate::caller::active::ActiveTransaction;
use crate::caller::context::Context;
use crate::caller::error::{self, SessionEnd};
use crate::caller::local::{LocalSetting, REQUEST_ID_SETTING, TOKEN_SETTING};
use crate::caller::registry::{SessionGuard, StopMode};
use crate::caller::statements::StatementTable;
use crate::caller::stream::CallerStream;
use crate::caller::unit::{CallerUnit, UnitEnd, UnitPlan};

/// A session after its start-up.
pub struct Session {
    pub(super) context: Arc<Context>,
    pub(super) stream: CallerStream,
    pub(super) guard: SessionGuard,
    pub(super) group: GroupName,
    pub(super) tenant: TenantName,
    pub(super) statements: StatementTable,
    pub(super) settings: SettingsTracker,
    /// Position that the session's reads must have reached; `None` while the session's
    /// history is unknown.
    pub(super) required: Option<Position>,
    /// Value of [`Session::required`] that was last reported to the caller.
    pub(super) reported: Option<Position>,
    /// Request identifier for the next write.
    pub(super) next_request_id: Option<RequestId>,
    pub(super) transaction: Option<ActiveTransaction>,
    pub(super) status: TransactionStatus,
    /// Whether a transaction block has failed and no longer has a connection.
    pub(super) aborted: bool,
    pub(super) views: watch::Receiver<u64>,
    /// Start-up parameters that no database has accepted yet.
    pub(super) unchecked_settings: Vec<(String, String)>,
    /// Whether the last check of the start-up parameters could not be completed.
    pub(super) check_failed: bool,
    /// Whether messages are skipped up to the next `Sync`.
    pub(super) skipping: bool,
    stop: watch::Receiver<StopMode>,
    batch: Vec<Frame>,
    batch_bytes: usize,
}

/// Group, tenant and run-time parameters of a session.
pub struct Identity {
    /// Database group that the session uses.
    pub group: GroupName,
    /// Tenant that the session belongs to.
    pub tenant: TenantName,
    /// Run-time parameters, including those of the proxy itself.
    pub settings: BTreeMap<String, String>,
}

impl Session {
    /// Creates a session for `identity`.
    pub fn new(
        context: Arc<Context>,
        stream: CallerStream,
        guard: SessionGuard,
        identity: Identity,
    ) -> Self {
        let Identity {
            group,
            tenant,
            mut settings,
        } = identity;
        let token = settings.remove(TOKEN_SETTING);
        let request_id = settings.remove(REQUEST_ID_SETTING);
        let views = context.shared.view_changes();
        let stop = context.stop.subscribe();
        let unchecked_settings = context.accepted_settings.not_yet_accepted(&settings);
        let mut session = Self {
            context,
            stream,
            guard,
            group,
            tenant,
            statements: StatementTable::default(),
            unchecked_settings,
            check_failed: false,
            settings: SettingsTracker::new(settings),
            required: None,
            reported: None,
            next_request_id: None,
            transaction: None,
            status: TransactionStatus::Idle,
            aborted: false,
            views,
            skipping: false,
            stop,
            batch: Vec::new(),
            batch_bytes: 0,
        };
        if token.is_some() {
            session.set_local(LocalSetting::Token, token);
        }
        if request_id.is_some() {
            session.set_local(LocalSetting::RequestId, request_id);
        }
        session
    }

    /// Serves the session to its end.
    pub async fn run(mut self: Box<Self>) {
        let end = loop {
            let unit = match self.next_unit().await {
                Ok(unit) => unit,
                Err(end) => break end,
            };
            // Boxed, so that an idle session keeps no memory for this future.
            if let Err(end) = Box::pin(self.answer(unit)).await {
                break end;
            }
        };
        self.end(end).await;
    }

    async fn end(mut self: Box<Self>, end: SessionEnd) {
        if let Some(mut active) = self.transaction.take() {
            active.release(false);
        }
        self.guard.entry.set_idle();
        log::debug!("caller: session {} ends: {end}.", self.guard.entry.id);
        let Some(frame) = end.final_message() else {
            return;
        };
        self.report_token();
        self.stream.write(&frame);
        self.stream.close().await;
    }

    /// Reads messages up to the end of a unit.
    async fn next_unit(&mut self) -> Result<CallerUnit, SessionEnd> {
        loop {
            let frame = match self.stream.buffered()? {
                Some(frame) => frame,
                None => self.wait_for_frame().await?,
            };
            if let Some(unit) = self.collect(frame)? {
                return Ok(unit);
            }
        }
    }

    /// Adds a message to the unit being read; returns the unit if the message completes
    /// it.
    fn collect(&mut self, frame: Frame) -> Result<Option<CallerUnit>, SessionEnd> {
        if self.skipping && !matches!(frame.tag, frontend::SYNC | frontend::TERMINATE) {
            return Ok(None);
        }
        match frame.tag {
            frontend::SYNC => {
                self.skipping = false;
                Ok(Some(self.take_batch(UnitEnd::Sync)))
            }
            frontend::FLUSH if self.batch.is_empty() => Ok(None),
            frontend::FLUSH => Ok(Some(self.take_batch(UnitEnd::Flush))),
            frontend::QUERY | frontend::FUNCTION_CALL if self.batch.is_empty() => {
                Ok(Some(CallerUnit::Simple(frame)))
            }
            frontend::QUERY | frontend::FUNCTION_CALL => {
                self.stream.put_back(frame);
                Ok(Some(self.take_batch(UnitEnd::Query)))
            }
            frontend::TERMINATE => Err(SessionEnd::Terminated),
            frontend::COPY_DATA | frontend::COPY_DONE | frontend::COPY_FAIL => Ok(None),
            frontend::PARSE
            | frontend::BIND
            | frontend::DESCRIBE
            | frontend::EXECUTE
            | frontend::CLOSE => {
                self.batch_bytes += frame.wire_length();
                self.batch.push(frame);
                if self.batch_bytes > self.message_limit() {
                    return Err(SessionEnd::UnitTooLarge);
                }
                Ok(None)
            }
            tag => Err(SessionEnd::Malformed(MalformedMessage { tag })),
        }
    }

    fn take_batch(&mut self, end: UnitEnd) -> CallerUnit {
        self.batch_bytes = 0;
        CallerUnit::Extended {
            frames: std::mem::take(&mut self.batch),
            end,
        }
    }

    fn message_limit(&self) -> usize {
        let bundle = self.context.shared.bundle();
        bundle.map_or(usize::MAX, |bundle| bundle.limits.message_bytes as usize)
    }

    /// Waits for the next message between two units.
    async fn wait_for_frame(&mut self) -> Result<Frame, SessionEnd> {
        let busy = self.transaction.is_some() || !self.batch.is_empty();
        if !busy {
            self.stream.shrink();
        }
        let limit = self.idle_limit();
        let idle = tokio::time::sleep(limit);
        tokio::pin!(idle);
        loop {
            let replies = self
                .transaction
                .as_mut()
                .and_then(|active| active.lease.as_mut());
            let reply = tokio::select! {
                biased;
                frame = self.stream.frame() => return Ok(frame?),
                _ = self.stop.wait_for(|mode| *mode >= StopMode::Graceful), if !busy => {
                    return Err(SessionEnd::Stopping);
                }
                reply = async {
                    match replies {
                        Some(lease) => lease.replies.recv().await,
                        None => std::future::pending().await,
                    }
                } => reply,
                () = &mut idle, if busy => return Err(SessionEnd::IdleTransaction),
            };
            if let Some(active) = &mut self.transaction {
                active.reply_while_idle(reply);
            }
        }
    }

    pub(super) fn idle_limit(&self) -> Duration {
        let limits = self
            .context
            .shared
            .bundle()
            .map(|bundle| bundle.limits.clone());
        Duration::from_millis(limits.unwrap_or_default().idle_transaction_ms)
    }

    /// Plans a unit and writes its answer.
    async fn answer(&mut self, unit: CallerUnit) -> Result<(), SessionEnd> {
        let ready = match &unit {
            CallerUnit::Simple(_) => true,
            CallerUnit::Extended { end, .. } => *end == UnitEnd::Sync,
        };
        match self.plan(&unit) {
            Ok(plan) => self.answer_plan(plan).await?,
            Err(error) => {
                self.stream.write(&error::unit_error(&error));
                self.fail_transaction();
                self.end_refused(ready);
            }
        }
        if self.stream.pending() > 0 {
            self.stream.flush().await?;
        }
        Ok(())
    }

    fn plan(&mut self, unit: &CallerUnit) -> Result<UnitPlan, crate::caller::unit::UnitError> {
        let classifier = &self.context.classifier;
        match unit {
            CallerUnit::Simple(frame) if frame.tag == frontend::FUNCTION_CALL => {
                Err(MalformedMessage { tag: frame.tag }.into())
            }
            CallerUnit::Simple(frame) => UnitPlan::simple(frame, classifier),
            CallerUnit::Extended { frames, end } => {
                UnitPlan::extended(frames, *end, &mut self.statements, classifier)
            }
        }
    }

    async fn answer_plan(&mut self, plan: UnitPlan) -> Result<(), SessionEnd> {
        let ready = plan.ready;
        if self.aborted {
            self.answer_aborted(&plan);
            return Ok(());
        }
        if let Some(refusal) = self.refusal_of(&plan) {
            self.report_refusal(&refusal);
            self.fail_transaction();
            self.end_refused(ready);
            return Ok(());
        }
        if !plan.needs_connection {
            self.answer_locally(&plan);
            return Ok(());
        }
        if !self.check_settings().await? {
            self.end_refused(ready);
            return Ok(());
        }
        self.run_unit(plan).await
    }

    /// Ends a refused unit: with `ReadyForQuery`, or by skipping the rest of its
    /// messages.
    pub(super) fn end_refused(&mut self, ready: bool) {
        if ready {
            self.write_ready();
        } else {
            self.skipping = true;
        }
    }

    /// Fails the open transaction block after a refusal, as a database error would.
    pub(super) fn fail_transaction(&mut self) {
        if !self.status.is_open() {
            return;
        }
        if let Some(mut active) = self.transaction.take() {
            active.release(false);
        }
        self.guard.entry.set_idle();
        self.settings.roll_back();
        self.statements.end_transaction();
        self.aborted = true;
        self.status = TransactionStatus::Failed;
    }

    /// Writes the token, if it has changed, and `ReadyForQuery`.
    pub(super) fn write_ready(&mut self) {
        self.report_token();
        self.stream.write(&reply::ready_for_query(self.status));
    }
}
