//! A client connection through an ordinary PostgreSQL client library, and the
//! classification of its errors by whether the request ran.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::types::{ToSql, Type};
use tokio_postgres::{
    Client, Config, Connection, NoTls, Row, SimpleQueryMessage, SimpleQueryRow, Statement,
};

/// Parameter that carries the session's token; the server reports its changes.
pub const TOKEN_PARAMETER: &str = "hookpoint.token";
/// Delay before a retry when the error carries no retry hint.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum wait for the driver task of a failed connection to end.
const CONNECTION_END_TIMEOUT: Duration = Duration::from_secs(1);
/// SQLSTATE of a connection closed by the server (`admin_shutdown`).
const ADMIN_SHUTDOWN: &str = "57P01";
/// SQLSTATE of a request whose identifier has already run.
const ALREADY_RAN: &str = "HR001";
/// Text in the error detail of a request that did not run.
const NOT_RUN_DETAIL: &str = "hookpoint.outcome=not_run";
/// Text in the error detail of a request of unknown outcome.
const UNKNOWN_DETAIL: &str = "hookpoint.outcome=unknown";

/// User, password and database of a connection.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Tenant, sent as `user` in the startup message.
    pub user: String,
    /// Password; `None` when the proxies require no password.
    pub password: Option<String>,
    /// Group, sent as `database` in the startup message.
    pub database: String,
}

/// How a session's token is passed to another proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenDelivery {
    /// Not passed: the proxy has no information on the session's earlier operations.
    None,
    /// As an option of the startup message.
    Startup(String),
    /// By a `SET` statement after connecting.
    Set(String),
}

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// The error reported that the request did not run.
    #[error("not run ({sqlstate})")]
    NotRun {
        /// SQLSTATE of the error.
        sqlstate: String,
        /// How long to wait before a retry.
        retry_after: Duration,
    },
    /// The error reported that a request with this identifier had already run.
    #[error("a request with this identifier already ran")]
    AlreadyRan,
    /// Rejected with an ordinary error.
    #[error("rejected ({sqlstate}): {message}")]
    Rejected {
        /// SQLSTATE of the error.
        sqlstate: String,
        /// Error message.
        message: String,
    },
    /// The error reported that the outcome is unknown.
    #[error("unknown outcome ({sqlstate})")]
    Unknown {
        /// SQLSTATE of the error.
        sqlstate: String,
    },
    /// The connection was lost.
    #[error("the connection was lost")]
    ConnectionLost,
    /// No answer arrived within the client's timeout.
    #[error("no answer in time")]
    TimedOut,
}

/// How a connection ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ConnectionEnd {
    /// Error sent by the server before the connection ended; `None` without such an error.
    server_error: Option<Failure>,
}

/// A client connection with the last session token that the server reported.
pub struct ClientConnection {
    client: Client,
    token: Arc<Mutex<Option<String>>>,
    driver: Option<JoinHandle<ConnectionEnd>>,
    end: ConnectionEnd,
    timeout: Duration,
    /// Statements prepared on this connection, by text. Bounded, since the workload uses a
    /// small fixed set of texts.
    statements: BTreeMap<String, Statement>,
}

impl ClientConnection {
    /// Connects to `address`. `timeout` bounds the wait for the connection and for each
    /// later answer.
    ///
    /// # Errors
    /// A [`Failure`] when the session could not be connected.
    pub async fn open(
        address: SocketAddr,
        credentials: &Credentials,
        token: &TokenDelivery,
        timeout: Duration,
    ) -> Result<Self, Failure> {
        let config = config_of(credentials, token);
        let opened = tokio::time::timeout(timeout, connect(address, &config));
        let (client, connection) = match opened.await {
            Ok(opened) => opened?,
            Err(_) => return Err(Failure::TimedOut),
        };
        let last_token = Arc::new(Mutex::new(None));
        let driver = tokio::spawn(drive(connection, last_token.clone()));
        let mut this = Self {
            client,
            token: last_token,
            driver: Some(driver),
            end: ConnectionEnd::default(),
            timeout,
            statements: BTreeMap::new(),
        };
        if let TokenDelivery::Set(token) = token {
            this.simple(&format!("SET {TOKEN_PARAMETER} = '{token}'"))
                .await?;
        }
        Ok(this)
    }

    /// Returns the underlying client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Returns the last token that the server reported. On a closed connection, first waits
    /// for the connection's driver task to end, so that no token is missed.
    pub async fn last_token(&mut self) -> Option<String> {
        if self.is_closed() {
            self.wait_for_end().await;
        }
        self.token.lock().clone()
    }

    /// Requests the session's token with `SHOW`; `None` when it is empty.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn show_token(&mut self) -> Result<Option<String>, Failure> {
        let messages = self.simple(&format!("SHOW {TOKEN_PARAMETER}")).await?;
        let text = rows(&messages).next().and_then(|row| row.get(0));
        let token = text.filter(|text| !text.is_empty()).map(str::to_owned);
        Ok(token)
    }

    /// Runs `statement` by the simple query protocol.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn simple(&mut self, statement: &str) -> Result<Vec<SimpleQueryMessage>, Failure> {
        self.simple_with_timeout(statement, self.timeout).await
    }

    /// Like [`ClientConnection::simple`], with `timeout` in place of the connection's
    /// timeout.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn simple_with_timeout(
        &mut self,
        statement: &str,
        timeout: Duration,
    ) -> Result<Vec<SimpleQueryMessage>, Failure> {
        let answer = self.client.simple_query(statement);
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(messages)) => Ok(messages),
            Ok(Err(error)) => Err(self.classify_error(&error).await),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    /// Runs `statement` by the extended query protocol as a named prepared statement and
    /// returns its rows. Each statement is prepared once per connection.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn query(
        &mut self,
        statement: &str,
        parameters: &[&(dyn ToSql + Sync)],
    ) -> Result<Vec<Row>, Failure> {
        let prepared = self.prepared(statement).await?;
        let answer = self.client.query(&prepared, parameters);
        match tokio::time::timeout(self.timeout, answer).await {
            Ok(Ok(rows)) => Ok(rows),
            Ok(Err(error)) => Err(self.classify_error(&error).await),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    /// Runs `statement` by the extended query protocol as an unnamed statement, in one round
    /// trip, and returns the number of affected rows.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn execute(
        &mut self,
        statement: &str,
        parameters: &[(&(dyn ToSql + Sync), Type)],
        timeout: Duration,
    ) -> Result<u64, Failure> {
        let answer = self.client.execute_typed(statement, parameters);
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(rows)) => Ok(rows),
            Ok(Err(error)) => Err(self.classify_error(&error).await),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    async fn prepared(&mut self, statement: &str) -> Result<Statement, Failure> {
        if let Some(prepared) = self.statements.get(statement) {
            return Ok(prepared.clone());
        }
        let prepared = self.client.prepare(statement);
        match tokio::time::timeout(self.timeout, prepared).await {
            Ok(Ok(prepared)) => {
                self.statements
                    .insert(statement.to_owned(), prepared.clone());
                Ok(prepared)
            }
            Ok(Err(error)) => Err(self.classify_error(&error).await),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    /// Classifies the error of a request on this connection.
    pub async fn classify_error(&mut self, error: &tokio_postgres::Error) -> Failure {
        if let Some(failure) = server_failure(error) {
            return failure;
        }
        self.wait_for_end().await;
        match &self.end.server_error {
            Some(server_error @ Failure::NotRun { .. }) => server_error.clone(),
            _ => Failure::ConnectionLost,
        }
    }

    async fn wait_for_end(&mut self) {
        let Some(mut driver) = self.driver.take() else {
            return;
        };
        match tokio::time::timeout(CONNECTION_END_TIMEOUT, &mut driver).await {
            Ok(end) => self.end = end.unwrap_or_default(),
            Err(_) => driver.abort(),
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        if let Some(driver) = &self.driver {
            driver.abort();
        }
    }
}

/// Returns the rows among `messages`.
pub fn rows(messages: &[SimpleQueryMessage]) -> impl Iterator<Item = &SimpleQueryRow> {
    messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    })
}

/// Returns the number of rows affected by the last completed statement among `messages`;
/// `None` when no statement completed.
pub fn affected(messages: &[SimpleQueryMessage]) -> Option<u64> {
    messages.iter().rev().find_map(|message| match message {
        SimpleQueryMessage::CommandComplete(count) => Some(*count),
        _ => None,
    })
}

fn config_of(credentials: &Credentials, token: &TokenDelivery) -> Config {
    let mut config = Config::new();
    config
        .user(&credentials.user)
        .dbname(&credentials.database)
        .application_name("hookpoint-workload");
    if let Some(password) = &credentials.password {
        config.password(password);
    }
    if let TokenDelivery::Startup(token) = token {
        config.options(format!("-c {TOKEN_PARAMETER}={token}"));
    }
    config
}

type PlainConnection = Connection<TcpStream, NoTlsStream>;

async fn connect(
    address: SocketAddr,
    config: &Config,
) -> Result<(Client, PlainConnection), Failure> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| Failure::ConnectionLost)?;
    stream
        .set_nodelay(true)
        .map_err(|_| Failure::ConnectionLost)?;
    config
        .connect_raw(stream, NoTls)
        .await
        .map_err(|error| server_failure(&error).unwrap_or(Failure::ConnectionLost))
}

async fn drive(
    mut connection: PlainConnection,
    token: Arc<Mutex<Option<String>>>,
) -> ConnectionEnd {
    loop {
        let message = poll_fn(|context| {
            let polled = connection.poll_message(context);
            let reported = connection.parameter(TOKEN_PARAMETER);
            if let Some(reported) = reported.filter(|text| !text.is_empty()) {
                let mut token = token.lock();
                if token.as_deref() != Some(reported) {
                    *token = Some(reported.to_owned());
                }
            }
            polled
        });
        match message.await {
            Some(Ok(_)) => {}
            Some(Err(error)) => {
                return ConnectionEnd {
                    server_error: server_failure(&error),
                };
            }
            None => return ConnectionEnd::default(),
        }
    }
}

/// Classifies an error sent by the server; `None` when the error has another source.
fn server_failure(error: &tokio_postgres::Error) -> Option<Failure> {
    let db_error = error.as_db_error()?;
    let sqlstate = db_error.code().code().to_owned();
    let detail = db_error.detail().unwrap_or_default();
    if sqlstate == ALREADY_RAN {
        return Some(Failure::AlreadyRan);
    }
    if detail.contains(NOT_RUN_DETAIL) {
        let retry_after = db_error.hint().and_then(parse_milliseconds);
        return Some(Failure::NotRun {
            sqlstate,
            retry_after: retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        });
    }
    if detail.contains(UNKNOWN_DETAIL) || sqlstate.starts_with("08") || sqlstate == ADMIN_SHUTDOWN {
        return Some(Failure::Unknown { sqlstate });
    }
    Some(Failure::Rejected {
        sqlstate,
        message: db_error.message().to_owned(),
    })
}

/// Parses the first number in `hint` as milliseconds.
fn parse_milliseconds(hint: &str) -> Option<Duration> {
    let digits: String = hint
        .chars()
        .skip_while(|character| !character.is_ascii_digit())
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok().map(Duration::from_millis)
}
