//! Memory that idle connections take in the process that serves them.
//!
//! The connections are plain sockets that have gone through the start-up of the
//! PostgreSQL protocol and then say nothing. The serving process is another one, so its
//! memory can be told from that of the clients.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fit::Line;
use crate::process::{Process, load_average};

/// Version 3.0 of the protocol.
const PROTOCOL: u32 = 196_608;
/// Longest wait for one connection to be ready.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time given to the serving process to come to rest before it is read.
const SETTLE: Duration = Duration::from_secs(2);
/// Connections opened at the same time.
const CONCURRENCY: usize = 64;
/// Largest message taken during start-up, in bytes.
const MAXIMUM_MESSAGE_BYTES: usize = 64 * 1_024;

/// What to measure.
#[derive(Clone, Debug)]
pub struct IdleSettings {
    /// Address of the server.
    pub address: SocketAddr,
    /// Number of the process that serves it.
    pub process: u32,
    /// User to connect as, without a password.
    pub user: String,
    /// Database to connect to.
    pub database: String,
    /// Numbers of connections to measure at, ascending.
    pub sizes: Vec<usize>,
}

/// Why nothing was measured.
#[derive(Debug, Error)]
pub enum IdleError {
    /// A connection failed.
    #[error("connection {number} failed: {source}")]
    Connection {
        /// Number of connections that were open.
        number: usize,
        /// The cause.
        source: std::io::Error,
    },
    /// The server refused a connection.
    #[error("the server refused connection {number}: {text}")]
    Refused {
        /// Number of connections that were open.
        number: usize,
        /// What it said.
        text: String,
    },
    /// A connection was not ready in time.
    #[error("connection {0} was not ready in time")]
    Slow(usize),
    /// The process cannot be read.
    #[error("the process cannot be read: {0}")]
    Process(std::io::Error),
}

/// Memory at one number of connections.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdlePoint {
    /// Connections.
    pub connections: usize,
    /// Resident memory of the serving process in bytes.
    pub resident_bytes: u64,
    /// Growth since no connection, for each connection, in bytes.
    pub bytes_per_connection: f64,
    /// Load average of the machine.
    pub load_average: f64,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct IdleReport {
    /// Memory at each size, first at none.
    pub points: Vec<IdlePoint>,
    /// Line through them: bytes over connections.
    pub line: Option<Line>,
}

impl IdleReport {
    /// The report as a table for a terminal.
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

/// Opens the connections and reads the process at each size.
///
/// # Errors
/// An [`IdleError`]; the connections are closed.
pub async fn run(settings: &IdleSettings) -> Result<IdleReport, IdleError> {
    let process = Process::Other(settings.process);
    let mut open: Vec<TcpStream> = Vec::new();
    let mut points: Vec<IdlePoint> = Vec::new();
    for size in std::iter::once(0).chain(settings.sizes.iter().copied()) {
        while open.len() < size {
            let batch = CONCURRENCY.min(size - open.len());
            connect_batch(settings, batch, &mut open).await?;
        }
        tokio::time::sleep(SETTLE).await;
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
        let (address, start_up) = (settings.address, start_up(settings));
        tasks.spawn(async move {
            tokio::time::timeout(PATIENCE, connect(address, &start_up))
                .await
                .map_err(|_| Failure::Slow)?
        });
    }
    while let Some(result) = tasks.join_next().await {
        let stream = result.map_err(|error| IdleError::Connection {
            number,
            source: std::io::Error::other(error),
        })?;
        open.push(stream.map_err(|failure| failure.at(number))?);
    }
    Ok(())
}

enum Failure {
    Socket(std::io::Error),
    Refused(String),
    Slow,
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Failure::Socket(error)
    }
}

impl Failure {
    fn at(self, number: usize) -> IdleError {
        match self {
            Failure::Socket(source) => IdleError::Connection { number, source },
            Failure::Refused(text) => IdleError::Refused { number, text },
            Failure::Slow => IdleError::Slow(number),
        }
    }
}

/// A start-up message of the protocol's version 3.0.
fn start_up(settings: &IdleSettings) -> Vec<u8> {
    let mut body = PROTOCOL.to_be_bytes().to_vec();
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

async fn connect(address: SocketAddr, start_up: &[u8]) -> Result<TcpStream, Failure> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(start_up).await?;
    loop {
        let kind = stream.read_u8().await?;
        let length = stream.read_u32().await? as usize;
        let length = length.saturating_sub(4);
        if length > MAXIMUM_MESSAGE_BYTES {
            return Err(Failure::Refused("an oversized message".to_owned()));
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await?;
        match kind {
            b'Z' => return Ok(stream),
            b'E' => {
                let text = String::from_utf8_lossy(&body).replace('\0', " ");
                return Err(Failure::Refused(text));
            }
            _ => {}
        }
    }
}
