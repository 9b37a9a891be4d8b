//! Watches: responses streamed for as long as the caller stays connected.

use super::connection::Connection;
use super::error::ApiError;
use super::faults::OutageMode;
use super::message::{
    Event, EventKind, StreamResult, WatchCreateRequest, WatchFilter, WatchRequest, WatchResponse,
};
use super::range::KeyRange;
use super::shared::Shared;
use super::store::Changes;
use actix_web::web::Bytes;
use futures::Stream;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Interval at which an idle watch checks whether its caller is still connected
/// and whether a timed fault has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Idle polls between two progress responses, equal to ten seconds.
const PROGRESS_POLLS: u32 = 200;

/// State of an open watch.
struct Watch {
    shared: Arc<Shared>,
    connection: Option<Connection>,
    commits: watch::Receiver<i64>,
    range: KeyRange,
    request: WatchCreateRequest,
    next_revision: i64,
    created: bool,
    ended: bool,
    idle_polls: u32,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.shared
            .counters
            .update(|counters| counters.watches_open -= 1);
    }
}

/// Opens a watch and returns the stream of its responses, one line of JSON each.
pub(super) fn open(
    shared: Arc<Shared>,
    connection: Option<Connection>,
    request: WatchRequest,
) -> Result<impl Stream<Item = Result<Bytes, WatchClosed>>, ApiError> {
    let request = request.create_request;
    let range = KeyRange::parse(&request.key, &request.range_end)?;
    let commits = shared.subscribe();
    let newest = shared.with_store(|store| store.revision());
    let visible = shared.faults.visible_revision(newest);
    shared
        .counters
        .update(|counters| counters.watches_open += 1);
    let watch = Watch {
        next_revision: match request.start_revision {
            start if start > 0 => start,
            _ => visible + 1,
        },
        shared,
        connection,
        commits,
        range,
        request,
        created: false,
        ended: false,
        idle_polls: 0,
    };
    Ok(futures::stream::unfold(watch, next_line))
}

/// The connection of the watch was closed by a fault or by the caller.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the watch's connection is closed")]
pub(super) struct WatchClosed;

async fn next_line(mut watch: Watch) -> Option<(Result<Bytes, WatchClosed>, Watch)> {
    if watch.ended {
        return None;
    }
    let Some(response) = watch.next_response().await else {
        watch.ended = true;
        return Some((Err(WatchClosed), watch));
    };
    watch.ended = response.canceled;
    let line = to_line(response);
    Some((line, watch))
}

fn to_line(response: WatchResponse) -> Result<Bytes, WatchClosed> {
    let frame = StreamResult { result: response };
    let mut line = serde_json::to_vec(&frame).map_err(|_| WatchClosed)?;
    line.push(b'\n');
    Ok(Bytes::from(line))
}

impl Watch {
    /// Returns the next response, or `None` when the connection is closed.
    async fn next_response(&mut self) -> Option<WatchResponse> {
        loop {
            if self.is_closed() {
                return None;
            }
            if self.shared.faults.outage().is_none()
                && let Some(response) = self.poll()
            {
                self.idle_polls = 0;
                return self.delay_response(response).await;
            }
            self.wait().await;
        }
    }

    /// Delays a response by the configured delay and until the end of an outage that
    /// began in the meantime.
    async fn delay_response(&mut self, response: WatchResponse) -> Option<WatchResponse> {
        tokio::time::sleep(self.shared.faults.delay()).await;
        while self.shared.faults.outage().is_some() && !self.is_closed() {
            self.wait().await;
        }
        (!self.is_closed()).then_some(response)
    }

    fn is_closed(&self) -> bool {
        let refused = self.shared.faults.outage() == Some(OutageMode::Refuse);
        let gone = self
            .connection
            .as_ref()
            .is_some_and(Connection::is_closed_by_peer);
        refused || gone || self.shared.is_stopping()
    }

    /// Waits for a commit, a change of the faults or the next poll.
    async fn wait(&mut self) {
        tokio::select! {
            _ = self.commits.changed() => {}
            () = self.shared.faults.changed() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => self.idle_polls += 1,
        }
    }

    fn poll(&mut self) -> Option<WatchResponse> {
        let newest = self.shared.with_store(|store| store.revision());
        let visible = self.shared.faults.visible_revision(newest);
        if !self.created {
            self.created = true;
            return Some(WatchResponse {
                created: true,
                ..self.response(visible)
            });
        }
        let (range, from) = (&self.range, self.next_revision);
        let changes = self
            .shared
            .with_store(|store| store.changes(range, from, visible));
        match changes {
            Changes::Compacted(compacted) => Some(self.compacted(visible, compacted)),
            Changes::Events(events, next) => {
                self.next_revision = next;
                self.events(visible, events)
            }
        }
    }

    fn response(&self, revision: i64) -> WatchResponse {
        WatchResponse {
            header: self.shared.header_at(revision),
            ..WatchResponse::default()
        }
    }

    fn compacted(&self, visible: i64, compacted: i64) -> WatchResponse {
        WatchResponse {
            canceled: true,
            compact_revision: compacted,
            cancel_reason: ApiError::Compacted.to_string(),
            ..self.response(visible)
        }
    }

    fn events(&self, visible: i64, events: Vec<Event>) -> Option<WatchResponse> {
        let kept = events
            .into_iter()
            .filter(|event| self.passes_filters(event.kind));
        let events: Vec<Event> = kept
            .map(|event| self.drop_unrequested_value(event))
            .collect();
        let progress = self.request.progress_notify && self.idle_polls >= PROGRESS_POLLS;
        (!events.is_empty() || progress).then(|| WatchResponse {
            events,
            ..self.response(visible)
        })
    }

    fn passes_filters(&self, kind: EventKind) -> bool {
        let filter = match kind {
            EventKind::Put => WatchFilter::NoPut,
            EventKind::Delete => WatchFilter::NoDelete,
        };
        !self.request.filters.contains(&filter)
    }

    fn drop_unrequested_value(&self, mut event: Event) -> Event {
        if !self.request.prev_kv {
            event.prev_kv = None;
        }
        event
    }
}
