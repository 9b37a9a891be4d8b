//! One client connection through an ordinary client library, and what its errors say
//! of a request.

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

/// Name of the reported parameter that carries the session's token.
pub const TOKEN_PARAMETER: &str = "hookpoint.token";
/// Wait before a retry where the refusal does not say how long to wait.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest wait for the end of a connection that has failed.
const END_WAIT: Duration = Duration::from_secs(1);
/// SQLSTATE of a connection that the server ends (`admin_shutdown`).
const ADMIN_SHUTDOWN: &str = "57P01";
/// SQLSTATE of a request whose identifier has run before.
const ALREADY_RAN: &str = "HR001";
/// Error field of a request that did not run.
const NOT_RUN_FIELD: &str = "hookpoint.outcome=not_run";
/// Error field of a request of unknown outcome.
const UNKNOWN_FIELD: &str = "hookpoint.outcome=unknown";

/// Whom to connect as, and to what.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Tenant, the `user` of the start-up message.
    pub user: String,
    /// Password, if the proxies ask for one.
    pub password: Option<String>,
    /// Group, the `database` of the start-up message.
    pub database: String,
}

/// How a session's token reaches another proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenDelivery {
    /// Not at all: the session's history is not known there.
    None,
    /// As an option of the start-up message.
    Startup(String),
    /// By a `SET` once connected.
    Set(String),
}

/// A request that has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// It was told not to have run.
    #[error("not run ({sqlstate})")]
    NotRun {
        /// SQLSTATE.
        sqlstate: String,
        /// How long to wait before asking again.
        retry_after: Duration,
    },
    /// Its identifier was told to have run before.
    #[error("a request with this identifier already ran")]
    AlreadyRan,
    /// Refused with an ordinary error.
    #[error("refused ({sqlstate}): {message}")]
    Rejected {
        /// SQLSTATE.
        sqlstate: String,
        /// Message.
        message: String,
    },
    /// Told to be of unknown outcome.
    #[error("unknown outcome ({sqlstate})")]
    Unknown {
        /// SQLSTATE.
        sqlstate: String,
    },
    /// The connection broke.
    #[error("the connection broke")]
    ConnectionLost,
    /// No answer within the client's patience.
    #[error("no answer in time")]
    TimedOut,
}

/// How a connection came to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ConnectionEnd {
    farewell: Option<Failure>,
}

/// One client connection.
pub struct ClientConnection {
    client: Client,
    token: Arc<Mutex<Option<String>>>,
    driver: Option<JoinHandle<ConnectionEnd>>,
    end: ConnectionEnd,
    patience: Duration,
    /// Statements prepared on this connection; the workload has a fixed few texts.
    statements: BTreeMap<String, Statement>,
}

impl ClientConnection {
    /// Connects to `address`, waiting at most `patience` for this and for each later
    /// answer.
    ///
    /// # Errors
    /// A [`Failure`]; the session is not connected.
    pub async fn open(
        address: SocketAddr,
        credentials: &Credentials,
        token: &TokenDelivery,
        patience: Duration,
    ) -> Result<Self, Failure> {
        let config = config_of(credentials, token);
        let opened = tokio::time::timeout(patience, connect(address, &config));
        let (client, connection) = match opened.await {
            Ok(opened) => opened?,
            Err(_) => return Err(Failure::TimedOut),
        };
        let cell = Arc::new(Mutex::new(None));
        let driver = tokio::spawn(drive(connection, cell.clone()));
        let mut this = Self {
            client,
            token: cell,
            driver: Some(driver),
            end: ConnectionEnd::default(),
            patience,
            statements: BTreeMap::new(),
        };
        if let TokenDelivery::Set(token) = token {
            this.simple(&format!("SET {TOKEN_PARAMETER} = '{token}'"))
                .await?;
        }
        Ok(this)
    }

    /// The underlying client.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Whether the connection is known to be gone.
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// The last token that was reported, complete once the connection has ended.
    pub async fn last_token(&mut self) -> Option<String> {
        if self.is_closed() {
            self.wait_for_end().await;
        }
        self.token.lock().clone()
    }

    /// Asks for the token.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn show_token(&mut self) -> Result<Option<String>, Failure> {
        let messages = self.simple(&format!("SHOW {TOKEN_PARAMETER}")).await?;
        let text = rows(&messages).next().and_then(|row| row.get(0));
        let token = text.filter(|text| !text.is_empty()).map(str::to_owned);
        Ok(token)
    }

    /// Runs `statement` by the simple protocol.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn simple(&mut self, statement: &str) -> Result<Vec<SimpleQueryMessage>, Failure> {
        self.simple_within(statement, self.patience).await
    }

    /// Like [`ClientConnection::simple`] with a patience of its own.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn simple_within(
        &mut self,
        statement: &str,
        patience: Duration,
    ) -> Result<Vec<SimpleQueryMessage>, Failure> {
        let answer = self.client.simple_query(statement);
        match tokio::time::timeout(patience, answer).await {
            Ok(Ok(messages)) => Ok(messages),
            Ok(Err(error)) => Err(self.failure_of(&error).await),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    /// Runs `statement` by the extended protocol under a name, prepared once for each
    /// connection, and returns its rows.
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
        match tokio::time::timeout(self.patience, answer).await {
            Ok(Ok(rows)) => Ok(rows),
            Ok(Err(error)) => Err(self.failure_of(&error).await),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    /// Runs `statement` by the extended protocol without a name, in one round trip, and
    /// returns the number of rows affected.
    ///
    /// # Errors
    /// A [`Failure`].
    pub async fn execute(
        &mut self,
        statement: &str,
        parameters: &[(&(dyn ToSql + Sync), Type)],
        patience: Duration,
    ) -> Result<u64, Failure> {
        let answer = self.client.execute_typed(statement, parameters);
        match tokio::time::timeout(patience, answer).await {
            Ok(Ok(rows)) => Ok(rows),
            Ok(Err(error)) => Err(self.failure_of(&error).await),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    async fn prepared(&mut self, statement: &str) -> Result<Statement, Failure> {
        if let Some(prepared) = self.statements.get(statement) {
            return Ok(prepared.clone());
        }
        let prepared = self.client.prepare(statement);
        match tokio::time::timeout(self.patience, prepared).await {
            Ok(Ok(prepared)) => {
                self.statements
                    .insert(statement.to_owned(), prepared.clone());
                Ok(prepared)
            }
            Ok(Err(error)) => Err(self.failure_of(&error).await),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    /// What `error` says of a request of this connection.
    pub async fn failure_of(&mut self, error: &tokio_postgres::Error) -> Failure {
        if let Some(failure) = told_failure(error) {
            return failure;
        }
        self.wait_for_end().await;
        match &self.end.farewell {
            Some(farewell @ Failure::NotRun { .. }) => farewell.clone(),
            _ => Failure::ConnectionLost,
        }
    }

    async fn wait_for_end(&mut self) {
        let Some(mut driver) = self.driver.take() else {
            return;
        };
        match tokio::time::timeout(END_WAIT, &mut driver).await {
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

/// The rows among `messages`.
pub fn rows(messages: &[SimpleQueryMessage]) -> impl Iterator<Item = &SimpleQueryRow> {
    messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    })
}

/// The number of rows that the last statement among `messages` affected.
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
        .map_err(|error| told_failure(&error).unwrap_or(Failure::ConnectionLost))
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
                    farewell: told_failure(&error),
                };
            }
            None => return ConnectionEnd::default(),
        }
    }
}

/// What the server itself said, if it said anything.
fn told_failure(error: &tokio_postgres::Error) -> Option<Failure> {
    let told = error.as_db_error()?;
    let sqlstate = told.code().code().to_owned();
    let detail = told.detail().unwrap_or_default();
    if sqlstate == ALREADY_RAN {
        return Some(Failure::AlreadyRan);
    }
    if detail.contains(NOT_RUN_FIELD) {
        let retry_after = told.hint().and_then(milliseconds_in);
        return Some(Failure::NotRun {
            sqlstate,
            retry_after: retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        });
    }
    if detail.contains(UNKNOWN_FIELD) || sqlstate.starts_with("08") || sqlstate == ADMIN_SHUTDOWN {
        return Some(Failure::Unknown { sqlstate });
    }
    Some(Failure::Rejected {
        sqlstate,
        message: told.message().to_owned(),
    })
}

/// The first number in `hint`, taken as milliseconds.
fn milliseconds_in(hint: &str) -> Option<Duration> {
    let digits: String = hint
        .chars()
        .skip_while(|character| !character.is_ascii_digit())
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok().map(Duration::from_millis)
}
