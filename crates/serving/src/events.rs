//! Structured event log: one JSON object per line. Writing never blocks and is rate-limited.
//!
//! Lines go through a bounded channel to a writer thread. Each kind of event has a budget of lines
//! per second. Events that exceed the budget or find the channel full are dropped and counted, and
//! the next line of that kind reports the count.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hookpoint_state::Timestamp;
use serde_json::{Map, Value};

/// Maximum number of lines waiting for the writer.
const CHANNEL_LINES: usize = 2_048;
/// Budget of each kind of event, in lines per second.
const LINES_PER_SECOND: u32 = 40;
/// Budget of each kind of event that reports ordinary work, in lines per second, so that these
/// stay few under load.
const ORDINARY_LINES_PER_SECOND: u32 = 10;
/// Length of the time window that a budget applies to.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Budget {
    window_start: Timestamp,
    written: u32,
    dropped: u64,
}

/// A rate-limited log of structured events.
pub struct EventLog {
    lines: SyncSender<String>,
    budgets: RefCell<BTreeMap<&'static str, Budget>>,
    node: String,
}

impl EventLog {
    /// Starts a writer thread that passes lines to `output`. Each line carries the name `node`.
    pub fn new(node: &str, mut output: impl Write + Send + 'static) -> Self {
        let (lines, receiver) = sync_channel::<String>(CHANNEL_LINES);
        std::thread::spawn(move || {
            while let Ok(line) = receiver.recv() {
                if output.write_all(line.as_bytes()).is_err() {
                    return;
                }
                let _ = output.flush();
            }
        });
        Self {
            lines,
            budgets: RefCell::default(),
            node: node.to_owned(),
        }
    }

    /// Writes an event if its budget allows.
    pub fn write(&self, now: Timestamp, event: &'static str, fields: &[(&str, Value)]) {
        self.write_within(LINES_PER_SECOND, now, event, || fields.to_vec());
    }

    /// Writes an event of ordinary work if its smaller budget allows. The fields are built only in
    /// that case.
    pub fn write_ordinary<'a>(
        &self,
        now: Timestamp,
        event: &'static str,
        fields: impl FnOnce() -> Vec<(&'a str, Value)>,
    ) {
        self.write_within(ORDINARY_LINES_PER_SECOND, now, event, fields);
    }

    fn write_within<'a>(
        &self,
        lines_per_second: u32,
        now: Timestamp,
        event: &'static str,
        fields: impl FnOnce() -> Vec<(&'a str, Value)>,
    ) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(event).or_default();
        if now.since(budget.window_start) >= WINDOW {
            budget.window_start = now;
            budget.written = 0;
        }
        if budget.written >= lines_per_second {
            budget.dropped += 1;
            return;
        }
        let fields = fields();
        let line = self.line(now, event, &fields, budget.dropped);
        match self.lines.try_send(line) {
            Ok(()) => {
                budget.written += 1;
                budget.dropped = 0;
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => budget.dropped += 1,
        }
    }

    fn line(
        &self,
        now: Timestamp,
        event: &'static str,
        fields: &[(&str, Value)],
        dropped: u64,
    ) -> String {
        let mut object = Map::new();
        object.insert("at_ms".into(), Value::from(now.0 / 1_000));
        object.insert("wall_ms".into(), Value::from(wall_clock_ms()));
        object.insert("node".into(), Value::from(self.node.as_str()));
        object.insert("event".into(), Value::from(event));
        if dropped > 0 {
            object.insert("left_out".into(), Value::from(dropped));
        }
        for (name, value) in fields {
            object.insert((*name).to_owned(), value.clone());
        }
        let mut line = Value::Object(object).to_string();
        line.push('\n');
        line
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. It only helps people to
/// compare the logs of several nodes; no decision depends on it.
fn wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed
        .map(|elapsed| elapsed.as_millis())
        .unwrap_or_default();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
