//! Measures the memory that idle connections take in the process that serves them.
//!
//! The connections are plain sockets that complete the startup of the PostgreSQL protocol
//! and then send nothing. The serving process is separate from this one, so that its
//! memory does not include that of the clients.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fit::Line;
use crate::process::{Process, load_average};

/// Version 3.0 of the PostgreSQL protocol.
const PROTOCOL_VERSION: u32 = 196_608;
/// Maximum wait for one connection to become ready.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait before each reading, for the memory of the serving process to settle.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of connections opened concurrently.
const CONNECT_CONCURRENCY: usize = 64;
/// Maximum body length of a message during startup, in bytes.
const MAXIMUM_MESSAGE_BYTES: usize = 64 * 1_024;

/// Server to measure, how to connect to it, and the numbers of connections.
#[derive(Clone, Debug)]
pub struct IdleSettings {
    /// Address of the server.
    pub address: SocketAddr,
    /// Process ID of the server.
    pub process: u32,
    /// User to connect as, without a password.
    pub user: String,
    /// Database to connect to.
    pub database: String,
    /// Numbers of connections at which to measure, ascending.
    pub sizes: Vec<usize>,
}

/// Error of [`run`]. The first error ends the measurement, and no report is returned.
#[derive(Debug, Error)]
pub enum IdleError {
    /// A connection failed.
    #[error("connection {number} failed: {source}")]
    Connection {
        /// Number of connections open when the batch started.
        number: usize,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The server refused a connection.
    #[error("the server refused connection {number}: {text}")]
    Refused {
        /// Number of connections open when the batch started.
        number: usize,
        /// Text of the error message.
        text: String,
    },
    /// A connection was not ready within the timeout. Holds the number of connections open
    /// when the batch started.
    #[error("connection {0} was not ready in time")]
    TimedOut(usize),
    /// The resource usage of the serving process cannot be read.
    #[error("the resource usage of the process cannot be read: {0}")]
    Process(std::io::Error),
}

/// Memory of the serving process at one number of connections.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdlePoint {
    /// Number of open connections.
    pub connections: usize,
    /// Resident memory of the serving process in bytes.
    pub resident_bytes: u64,
    /// Growth per connection relative to the reading without connections, in bytes.
    pub bytes_per_connection: f64,
    /// Load average of the machine over one minute.
    pub load_average: f64,
}

/// Memory of the serving process at all measured numbers of connections.
#[derive(Clone, Debug, Serialize)]
pub struct IdleReport {
    /// Memory at each number of connections, starting with zero.
    pub points: Vec<IdlePoint>,
    /// Line fitted through the points: resident bytes over connections.
    pub line: Option<Line>,
}

impl IdleReport {
    /// Formats the report as a table for a terminal.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:>12}{:>16}{:>18}{:>8}",
            "connections", "resident MB", "bytes/connection", "load"
        )];
        lines.extend(self.points.iter().map(|point| {
            format!(
                "{:>12}{:>16.1}{:>18.0}{:>8.1}",
                point.connections,
                point.resident_bytes as f64 / 1e6,
                point.bytes_per_connection,
                point.load_average
            )
        }));
        if let Some(line) = &self.line {
            lines.push(format!(
                "slope {:.0} bytes a connection, R2 {:.4}",
                line.slope, line.r_squared
            ));
        }
        lines.join("\n")
    }
}

/// Opens the connections and reads the memory of the serving process at each size.
///
/// # Errors
/// An [`IdleError`], after closing the connections.
pub async fn run(settings: &IdleSettings) -> Result<IdleReport, IdleError> {
    let process = Process::Other(settings.process);
    let mut open: Vec<TcpStream> = Vec::new();
    let mut points: Vec<IdlePoint> = Vec::new();
    for size in std::iter::once(0).chain(settings.sizes.iter().copied()) {
        while open.len() < size {
            let batch = CONNECT_CONCURRENCY.min(size - open.len());
            connect_batch(settings, batch, &mut open).await?;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let resident_bytes = process.read().map_err(IdleError::Process)?.resident_bytes;
        let first = points
            .first()
            .map_or(resident_bytes, |point| point.resident_bytes);
        let growth = resident_bytes as f64 - first as f64;
        points.push(IdlePoint {
            connections: size,
            resident_bytes,
            bytes_per_connection: growth / size.max(1) as f64,
            load_average: load_average(),
        });
    }
    let pairs: Vec<(f64, f64)> = points
        .iter()
        .map(|point| (point.connections as f64, point.resident_bytes as f64))
        .collect();
    Ok(IdleReport {
        points,
        line: Line::through(&pairs),
    })
}

async fn connect_batch(
    settings: &IdleSettings,
    batch: usize,
    open: &mut Vec<TcpStream>,
) -> Result<(), IdleError> {
    let number = open.len();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..batch {
        let (address, startup_message) = (settings.address, startup_message(settings));
        tasks.spawn(async move {
            tokio::time::timeout(CONNECT_TIMEOUT, connect(address, &startup_message))
                .await
                .map_err(|_| ConnectFailure::TimedOut)?
        });
    }
    while let Some(result) = tasks.join_next().await {
        let stream = result.map_err(|error| IdleError::Connection {
            number,
            source: std::io::Error::other(error),
        })?;
        open.push(stream.map_err(|failure| failure.into_error(number))?);
    }
    Ok(())
}

enum ConnectFailure {
    Socket(std::io::Error),
    Refused(String),
    TimedOut,
}

impl From<std::io::Error> for ConnectFailure {
    fn from(error: std::io::Error) -> Self {
        ConnectFailure::Socket(error)
    }
}

impl ConnectFailure {
    fn into_error(self, number: usize) -> IdleError {
        match self {
            ConnectFailure::Socket(source) => IdleError::Connection { number, source },
            ConnectFailure::Refused(text) => IdleError::Refused { number, text },
            ConnectFailure::TimedOut => IdleError::TimedOut(number),
        }
    }
}

/// Builds a startup message of protocol version 3.0.
fn startup_message(settings: &IdleSettings) -> Vec<u8> {
    let mut body = PROTOCOL_VERSION.to_be_bytes().to_vec();
    for text in ["user", &settings.user, "database", &settings.database] {
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    body.push(0);
    let length = u32::try_from(body.len() + 4).unwrap_or(u32::MAX);
    let mut message = length.to_be_bytes().to_vec();
    message.extend(body);
    message
}

async fn connect(address: SocketAddr, startup_message: &[u8]) -> Result<TcpStream, ConnectFailure> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(startup_message).await?;
    loop {
        let kind = stream.read_u8().await?;
        let length = stream.read_u32().await? as usize;
        let length = length.saturating_sub(4);
        if length > MAXIMUM_MESSAGE_BYTES {
            return Err(ConnectFailure::Refused("an oversized message".to_owned()));
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await?;
        match kind {
            b'Z' => return Ok(stream),
            b'E' => {
                let text = String::from_utf8_lossy(&body).replace('\0', " ");
                return Err(ConnectFailure::Refused(text));
            }
            _ => {}
        }
    }
}
