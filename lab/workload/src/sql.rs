//! SQL statements of the workload. PostgreSQL and the database stand-in both accept them.

use crate::deployment::Application;
use crate::history::{SessionNumber, WriteKind};

/// Name of the table of billing rows.
pub const BILLING_TABLE: &str = "billing_lines";

/// Returns the statements that create the tables and indexes of a deployment.
pub fn schema(application: Application) -> Vec<String> {
    let table = table(application);
    vec![
        format!(
            "create table {table} (session bigint not null, sequence bigint not null, \
             attempt bigint not null, kind text not null, body text not null)"
        ),
        format!("create index {table}_session on {table} (session, sequence)"),
        format!(
            "create table {BILLING_TABLE} (session bigint not null, run bigint not null, \
             attempt bigint not null, line bigint not null, amount bigint not null)"
        ),
        format!("create index {BILLING_TABLE}_run on {BILLING_TABLE} (session, run)"),
        "create table hookpoint.request_ledger (request_id text primary key)".to_owned(),
    ]
}

/// Returns the name of the table of single-statement writes.
pub fn table(application: Application) -> &'static str {
    match application {
        Application::Messaging => "messages",
        Application::Metering => "readings",
    }
}

/// One row of a single-statement write.
#[derive(Clone, Copy, Debug)]
pub struct EntryWrite<'a> {
    /// Session that writes.
    pub session: SessionNumber,
    /// Sequence number of the write.
    pub sequence: u64,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Kind of the write.
    pub kind: WriteKind,
    /// Request identifier; `None` for a repeatable write.
    pub request: Option<&'a str>,
}

impl EntryWrite<'_> {
    /// Returns the `INSERT` statement. A request identifier is appended as a comment.
    pub fn statement(&self, application: Application) -> String {
        let comment = match self.request {
            Some(request) => format!(" /*request_id='{request}'*/"),
            None => String::new(),
        };
        format!(
            "insert into {} (session, sequence, attempt, kind, body) \
             values ({}, {}, {}, '{}', 'text of {}'){comment}",
            table(application),
            self.session.0,
            self.sequence,
            self.attempt,
            self.kind.as_str(),
            self.sequence,
        )
    }
}

/// Returns the statement of a single-row write that takes the row as parameters: session,
/// sequence, attempt, kind and body. A request identifier is appended as a comment.
pub fn write_with_parameters(application: Application, request: Option<&str>) -> String {
    let comment = match request {
        Some(request) => format!(" /*request_id='{request}'*/"),
        None => String::new(),
    };
    format!(
        "insert into {} (session, sequence, attempt, kind, body) \
         values ($1::bigint, $2::bigint, $3::bigint, $4::text, $5::text){comment}",
        table(application),
    )
}

/// Returns the same query as [`read_own`], with nonce, session and limit as parameters.
pub fn read_own_with_parameters(application: Application) -> String {
    format!(
        "select $1::text as echo, pg_is_in_recovery() as replica, latest.sequence \
         from (select 1 as one) as base left join (select sequence from {} \
         where session = $2::bigint order by sequence desc limit $3::bigint) as latest on true \
         order by latest.sequence desc",
        table(application),
    )
}

/// Returns the same query as [`read_other`], with nonce and subject as parameters.
pub fn read_other_with_parameters(application: Application) -> String {
    format!(
        "select $1::text as echo, pg_is_in_recovery() as replica, max(sequence) as sequence \
         from {} where session = $2::bigint",
        table(application),
    )
}

/// Returns a query for the latest `limit` sequences of `session` that also returns `nonce`
/// and whether a replica answered. Its result always has at least one row.
pub fn read_own(
    application: Application,
    session: SessionNumber,
    nonce: &str,
    limit: usize,
) -> String {
    format!(
        "select '{nonce}' as echo, pg_is_in_recovery() as replica, latest.sequence \
         from (select 1 as one) as base left join (select sequence from {} \
         where session = {} order by sequence desc limit {limit}) as latest on true \
         order by latest.sequence desc",
        table(application),
        session.0,
    )
}

/// Returns a query for the highest sequence of `subject` that also returns `nonce` and
/// whether a replica answered. Its result always has one row.
pub fn read_other(application: Application, subject: SessionNumber, nonce: &str) -> String {
    format!(
        "select '{nonce}' as echo, pg_is_in_recovery() as replica, max(sequence) as sequence \
         from {} where session = {}",
        table(application),
        subject.0,
    )
}

/// One row of a billing run.
#[derive(Clone, Copy, Debug)]
pub struct BillingLine {
    /// Session of the run.
    pub session: SessionNumber,
    /// Number of the billing run within its session.
    pub run: u64,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Line number within the billing run, from 1.
    pub line: u32,
}

impl BillingLine {
    /// Returns the statement that inserts the row.
    pub fn insert(&self) -> String {
        format!(
            "insert into {BILLING_TABLE} (session, run, attempt, line, amount) \
             values ({}, {}, {}, {}, {})",
            self.session.0,
            self.run,
            self.attempt,
            self.line,
            u64::from(self.line) * 100,
        )
    }

    /// Returns a query for the number of rows of the run and the process ID of the backend
    /// that answers.
    pub fn count(&self) -> String {
        format!(
            "select count(*) as counted, pg_backend_pid() as backend from {BILLING_TABLE} \
             where session = {} and run = {} and attempt = {}",
            self.session.0, self.run, self.attempt,
        )
    }
}

/// Returns a query for all rows of single-statement writes.
pub fn audit_entries(application: Application) -> String {
    format!(
        "select session, sequence, attempt from {}",
        table(application)
    )
}

/// Returns a query for all rows of billing runs.
pub fn audit_lines() -> String {
    format!("select session, run, attempt, line from {BILLING_TABLE}")
}
