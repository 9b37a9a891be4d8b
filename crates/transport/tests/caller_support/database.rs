//! A fake database that implements enough of the PostgreSQL protocol and of SQL to
//! observe what a proxy sends to it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use hookpoint_coordination::status::Role;
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::errors::{ErrorReport, Severity};
use hookpoint_protocol::extended::{self, Bind, DescribeOrClose, DescribeTarget, Parse};
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::reply::{self, TransactionStatus};
use hookpoint_protocol::status_query::STATUS_QUERY;
use hookpoint_protocol::tags::{backend, frontend};
use parking_lot::Mutex;

use super::server::Server;
use super::{Commands, Replies};

/// Result of a statement.
enum Outcome {
    Rows(&'static str, Vec<String>, String),
    Done(String),
    CopyIn,
    CopyOut(Vec<&'static str>),
    Failed(&'static str, String),
    Broken,
    Sleeping,
}

/// One connection to a fake database.
pub struct Connection {
    name: String,
    server: Arc<Mutex<Server>>,
    status: TransactionStatus,
    wrote: bool,
    pending_ledger: Vec<String>,
    statements: BTreeMap<String, Parse>,
    portals: BTreeMap<String, (String, Vec<String>)>,
    settings: BTreeMap<String, String>,
    skipping: bool,
    copying: bool,
    copy_extended: bool,
    cancelled: bool,
    broken: bool,
    ran: bool,
    output: VecDeque<Frame>,
}

impl Connection {
    pub fn new(name: String, server: Arc<Mutex<Server>>) -> Self {
        Self {
            name,
            server,
            status: TransactionStatus::Idle,
            wrote: false,
            pending_ledger: Vec::new(),
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            settings: BTreeMap::new(),
            skipping: false,
            copying: false,
            copy_extended: false,
            cancelled: false,
            broken: false,
            ran: false,
            output: VecDeque::new(),
        }
    }

    pub async fn run(mut self, mut commands: Commands, replies: Replies) {
        while let Some(command) = commands.recv().await {
            match command {
                BackendCommand::Frames(frames) => {
                    for frame in frames {
                        self.frame(&frame);
                    }
                }
                BackendCommand::EnsurePrepared {
                    name,
                    query,
                    parameter_types,
                } => self.ensure_prepared(name, query, parameter_types),
                BackendCommand::EnsureSettings(settings) => {
                    self.server.lock().settings.push(settings.clone());
                    self.settings = settings;
                }
                BackendCommand::Cancel => {
                    self.server.lock().cancels += 1;
                    self.cancel_sleep();
                }
                BackendCommand::Release { .. } => return,
            }
            if !self.send(&replies).await {
                return;
            }
        }
    }

    async fn send(&mut self, replies: &Replies) -> bool {
        if self.server.lock().silent.contains(&self.name) {
            self.output.clear();
        }
        while !self.output.is_empty() {
            let count = self.output.len().min(8);
            let batch: Vec<Frame> = self.output.drain(..count).collect();
            if replies.send(BackendReply::Frames(batch)).await.is_err() {
                return false;
            }
        }
        if self.broken {
            let _gone = replies.send(BackendReply::Lost).await;
        }
        !self.broken
    }

    fn emit(&mut self, frame: Frame) {
        self.output.push_back(frame);
    }

    fn error(&mut self, sqlstate: &str, message: &str) {
        let report = ErrorReport::new(Severity::Error, sqlstate, message);
        self.emit(report.to_frame());
        if self.status.is_open() {
            self.status = TransactionStatus::Failed;
        }
    }

    fn ready(&mut self) {
        self.emit(reply::ready_for_query(self.status));
    }

    fn ensure_prepared(&mut self, name: String, query: String, parameter_types: Vec<u32>) {
        if self.skipping || self.statements.contains_key(&name) {
            return;
        }
        if query.contains("syntax error") {
            self.skipping = true;
            return self.error("42601", "syntax error");
        }
        self.server.lock().prepared.push(query.clone());
        let parse = Parse {
            name: name.clone(),
            query,
            parameter_types,
        };
        self.statements.insert(name, parse);
    }

    fn frame(&mut self, frame: &Frame) {
        if self.broken {
            return;
        }
        if self.copying {
            return self.copy_frame(frame);
        }
        if self.skipping && frame.tag != frontend::SYNC {
            return;
        }
        match frame.tag {
            frontend::QUERY => {
                let text = extended::query_text(frame).expect("a query");
                self.simple(&text);
            }
            frontend::SYNC => {
                self.skipping = false;
                if !self.status.is_open() {
                    self.commit();
                    self.portals.clear();
                }
                self.ready();
            }
            frontend::PARSE => {
                let parse = Parse::read(frame).expect("a parse");
                if parse.query.contains("syntax error") {
                    self.skipping = true;
                    return self.error("42601", "syntax error");
                }
                self.statements.insert(parse.name.clone(), parse);
                self.emit(reply::empty(backend::PARSE_COMPLETE));
            }
            frontend::BIND => self.bind(frame),
            frontend::DESCRIBE => self.describe(frame),
            frontend::EXECUTE => self.execute(frame),
            frontend::CLOSE => self.emit(reply::empty(backend::CLOSE_COMPLETE)),
            _ => {}
        }
    }

    fn report_missing(&mut self, what: &str) {
        self.skipping = true;
        self.error("26000", &format!("{what} does not exist"));
    }

    fn bind(&mut self, frame: &Frame) {
        let bind = Bind::read(frame).expect("a bind");
        let Some(statement) = self.statements.get(&bind.statement) else {
            return self.report_missing(&bind.statement);
        };
        let portal = (
            statement.query.clone(),
            parameters(&bind.parameters_and_formats),
        );
        self.portals.insert(bind.portal, portal);
        self.emit(reply::empty(backend::BIND_COMPLETE));
    }

    fn describe(&mut self, frame: &Frame) {
        let request = DescribeOrClose::read(frame).expect("a describe");
        let query = match request.target {
            DescribeTarget::Portal => self
                .portals
                .get(&request.name)
                .map(|portal| portal.0.clone()),
            DescribeTarget::Statement => {
                self.statements.get(&request.name).map(|s| s.query.clone())
            }
        };
        let Some(query) = query else {
            return self.report_missing(&request.name);
        };
        if request.target == DescribeTarget::Statement {
            let count = query.matches('$').count() as u16;
            let mut body = count.to_be_bytes().to_vec();
            for _ in 0..count {
                body.extend(25_u32.to_be_bytes());
            }
            self.emit(Frame::new(backend::PARAMETER_DESCRIPTION, body));
        }
        if returns_rows(&query) {
            self.emit(reply::text_column("value"));
        } else {
            self.emit(reply::empty(backend::NO_DATA));
        }
    }

    fn execute(&mut self, frame: &Frame) {
        let portal = extended::execute_portal(frame).expect("an execute");
        let Some((query, parameters)) = self.portals.get(&portal).cloned() else {
            return self.report_missing(&portal);
        };
        self.answer(&query, &parameters, true);
    }

    fn simple(&mut self, text: &str) {
        if text == STATUS_QUERY {
            return self.status_row();
        }
        for statement in text.split(';').map(str::trim).filter(|s| !s.is_empty()) {
            if !self.answer(statement, &[], false) {
                break;
            }
        }
        if self.copying || self.broken || self.skipping {
            return;
        }
        if !self.status.is_open() {
            self.commit();
        }
        self.ready();
    }

    fn status_row(&mut self) {
        if self.status == TransactionStatus::Failed {
            self.error("25P02", "current transaction is aborted");
            return self.ready();
        }
        let mut server = self.server.lock();
        if self.ran && server.failing_probes > 0 {
            server.failing_probes -= 1;
            drop(server);
            self.error("57014", "canceling statement due to user request");
            return self.ready();
        }
        let status = server.status(&self.name);
        drop(server);
        let flushed: Vec<String> = status
            .flushed
            .iter()
            .map(|replica| format!("{}={}", replica.name, replica.position))
            .collect();
        let values = [
            if status.role == Role::Replica {
                "t"
            } else {
                "f"
            }
            .to_owned(),
            status.term.to_string(),
            status.position.to_string(),
            flushed.join(","),
        ];
        let mut body = 4_u16.to_be_bytes().to_vec();
        for value in values {
            body.extend((value.len() as u32).to_be_bytes());
            body.extend(value.as_bytes());
        }
        self.emit(reply::text_column("in_recovery"));
        self.emit(Frame::new(backend::DATA_ROW, body));
        self.emit(reply::command_complete("SELECT 1"));
        self.ready();
    }

    /// Runs one statement and sends its answer. Returns whether the next statement may
    /// run.
    fn answer(&mut self, text: &str, parameters: &[String], extended: bool) -> bool {
        match self.run_statement(text, parameters) {
            Outcome::Rows(column, rows, tag) => {
                if !extended {
                    self.emit(reply::text_column(column));
                }
                for row in rows {
                    self.emit(reply::text_row(&row));
                }
                self.emit(reply::command_complete(&tag));
                true
            }
            Outcome::Done(tag) => {
                self.emit(reply::command_complete(&tag));
                true
            }
            Outcome::CopyIn => {
                self.copying = true;
                self.copy_extended = extended;
                self.emit(Frame::new(backend::COPY_IN_RESPONSE, vec![0, 0, 0]));
                false
            }
            Outcome::CopyOut(rows) => {
                self.emit(Frame::new(b'H', vec![0, 0, 0]));
                for row in &rows {
                    self.emit(Frame::new(b'd', row.as_bytes().to_vec()));
                }
                self.emit(Frame::new(b'c', Vec::new()));
                self.emit(reply::command_complete(&format!("COPY {}", rows.len())));
                true
            }
            Outcome::Failed(sqlstate, message) => {
                self.error(sqlstate, &message);
                self.skipping = extended;
                if !self.status.is_open() {
                    self.roll_back();
                }
                false
            }
            Outcome::Broken => {
                self.broken = true;
                false
            }
            Outcome::Sleeping => {
                self.skipping = true;
                self.copying = false;
                false
            }
        }
    }

    fn run_statement(&mut self, text: &str, parameters: &[String]) -> Outcome {
        self.ran = true;
        let mut server = self.server.lock();
        if let Some((needle, count)) = &mut server.break_before
            && *count > 0
            && text.contains(needle.as_str())
        {
            *count -= 1;
            return Outcome::Broken;
        }
        if self.status != TransactionStatus::Failed {
            server.log.push((self.name.clone(), text.to_owned()));
        }
        let replica = server.nodes[&self.name].role == Role::Replica;
        let breaks = server
            .break_after
            .as_ref()
            .is_some_and(|needle| text.contains(needle.as_str()));
        let has_ledger = server.has_ledger;
        let duplicate = ledger_id(text).is_some_and(|id| server.ledger.contains(id));
        drop(server);
        let outcome = self.interpret(text, parameters, replica, has_ledger, duplicate);
        if breaks {
            self.commit();
            return Outcome::Broken;
        }
        outcome
    }

    fn interpret(
        &mut self,
        text: &str,
        parameters: &[String],
        replica: bool,
        has_ledger: bool,
        duplicate: bool,
    ) -> Outcome {
        let text = strip_comment(text);
        let upper = text.to_ascii_uppercase();
        let word = upper.split_whitespace().next().unwrap_or_default();
        if self.status == TransactionStatus::Failed && !matches!(word, "ROLLBACK" | "COMMIT") {
            return Outcome::Failed("25P02", "current transaction is aborted".to_owned());
        }
        match word {
            "BEGIN" | "START" => {
                self.status = TransactionStatus::InTransaction;
                Outcome::Done("BEGIN".to_owned())
            }
            "COMMIT" | "ROLLBACK" => self.end_block(word),
            "SAVEPOINT" => Outcome::Done("SAVEPOINT".to_owned()),
            "SET" => self.set(&upper, text),
            "RESET" => Outcome::Done("RESET".to_owned()),
            "SHOW" => {
                let name = text[4..].trim().to_ascii_lowercase();
                let value = self.settings.get(&name).cloned().unwrap_or_default();
                Outcome::Rows("value", vec![value], "SHOW".to_owned())
            }
            "COPY" if upper.contains("FROM STDIN") => {
                self.wrote = true;
                Outcome::CopyIn
            }
            "COPY" => Outcome::CopyOut(vec!["one\n", "two\n"]),
            "INSERT" | "UPDATE" | "DELETE" if replica => Outcome::Failed(
                "25006",
                "cannot execute in a read-only transaction".to_owned(),
            ),
            "INSERT" if ledger_id(text).is_some() => {
                if !has_ledger {
                    return Outcome::Failed("42P01", "no such table".to_owned());
                }
                if duplicate {
                    return Outcome::Failed("23505", "duplicate key".to_owned());
                }
                self.wrote = true;
                self.pending_ledger
                    .extend(ledger_id(text).map(str::to_owned));
                Outcome::Done("INSERT 0 1".to_owned())
            }
            "INSERT" | "UPDATE" | "DELETE" if upper.contains("FAILS") => {
                Outcome::Failed("23514", "a check failed".to_owned())
            }
            "INSERT" => {
                self.wrote = true;
                Outcome::Done("INSERT 0 1".to_owned())
            }
            "UPDATE" | "DELETE" => {
                self.wrote = true;
                Outcome::Done(format!("{word} 1"))
            }
            "SELECT" => self.select(text, parameters),
            _ => Outcome::Failed("42601", format!("syntax error at {word}")),
        }
    }

    fn select(&mut self, text: &str, parameters: &[String]) -> Outcome {
        if text.contains("FAILS") {
            return Outcome::Failed("22012", "division by zero".to_owned());
        }
        if text.contains("SLEEPS") {
            return Outcome::Sleeping;
        }
        if let Some(count) = text.strip_prefix("SELECT ROWS ") {
            let count: usize = count.trim().parse().expect("a number of rows");
            let rows = (0..count).map(|index| format!("{index:01024}")).collect();
            return Outcome::Rows("value", rows, format!("SELECT {count}"));
        }
        let row = match parameters.first() {
            Some(parameter) => parameter.clone(),
            None => text["SELECT".len()..].trim().trim_matches('\'').to_owned(),
        };
        Outcome::Rows("value", vec![row], "SELECT 1".to_owned())
    }

    fn set(&mut self, upper: &str, text: &str) -> Outcome {
        if upper.contains("INVALID") {
            return Outcome::Failed("22023", "invalid value".to_owned());
        }
        let rest = text[3..].trim().trim_start_matches("LOCAL ");
        let assignment = rest.split_once('=').or_else(|| rest.split_once(" TO "));
        if let Some((name, value)) = assignment {
            let name = name.trim().to_ascii_lowercase();
            let value = value.trim().trim_matches('\'').to_owned();
            self.settings.insert(name, value);
        }
        Outcome::Done("SET".to_owned())
    }

    fn end_block(&mut self, word: &str) -> Outcome {
        let failed = self.status == TransactionStatus::Failed;
        self.status = TransactionStatus::Idle;
        if failed || word == "ROLLBACK" {
            self.roll_back();
            return Outcome::Done("ROLLBACK".to_owned());
        }
        self.commit();
        Outcome::Done("COMMIT".to_owned())
    }

    fn commit(&mut self) {
        let mut server = self.server.lock();
        server.ledger.extend(self.pending_ledger.drain(..));
        if std::mem::take(&mut self.wrote) {
            server.advance(&self.name);
        }
    }

    fn roll_back(&mut self) {
        self.pending_ledger.clear();
        self.wrote = false;
    }

    fn copy_frame(&mut self, frame: &Frame) {
        match frame.tag {
            frontend::COPY_DATA => self.server.lock().copied.extend_from_slice(&frame.body),
            frontend::COPY_DONE => {
                self.copying = false;
                self.emit(reply::command_complete("COPY 1"));
                self.end_copy();
            }
            frontend::COPY_FAIL => {
                self.copying = false;
                self.error("57014", "COPY from stdin failed");
                self.skipping = self.copy_extended;
                self.roll_back();
                self.end_copy();
            }
            _ => {}
        }
    }

    fn end_copy(&mut self) {
        if !self.copy_extended {
            if !self.status.is_open() {
                self.commit();
            }
            self.ready();
        }
    }

    /// Ends a sleeping statement with a cancellation error.
    fn cancel_sleep(&mut self) {
        if std::mem::take(&mut self.skipping) {
            self.error("57014", "canceling statement due to user request");
            self.ready();
        }
    }
}

fn returns_rows(query: &str) -> bool {
    let upper = strip_comment(query).to_ascii_uppercase();
    upper.starts_with("SELECT") || upper.starts_with("SHOW")
}

fn strip_comment(text: &str) -> &str {
    let text = text.trim();
    match text.split_once("*/") {
        Some((comment, rest)) if comment.starts_with("/*") => rest.trim(),
        Some((_, _)) => text.split("/*").next().unwrap_or_default().trim(),
        None => text,
    }
}

fn ledger_id(text: &str) -> Option<&str> {
    let rest = text.strip_prefix("INSERT INTO hookpoint.request_ledger(request_id) VALUES ('")?;
    rest.strip_suffix("')")
}

/// Returns the text values of a `Bind`.
fn parameters(rest: &[u8]) -> Vec<String> {
    let number = |at: usize| usize::from(u16::from_be_bytes([rest[at], rest[at + 1]]));
    let mut at = 2 + number(0) * 2;
    let count = number(at);
    at += 2;
    let mut values = Vec::new();
    for _ in 0..count {
        let length = i32::from_be_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
        at += 4;
        let length = usize::try_from(length).unwrap_or(0);
        values.push(String::from_utf8_lossy(&rest[at..at + length]).into_owned());
        at += length;
    }
    values
}
