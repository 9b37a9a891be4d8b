//! A client's session.

use std::io::{Error, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::database::Lines;
use crate::record::Record;

pub struct Session {
    name: String,
    lines: Lines,
    writer: TcpStream,
    record: Arc<Record>,
}

/// The answer to a statement.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Shown in the record.
    #[allow(dead_code)]
    pub rows: Vec<String>,
    /// The code of the error, if it failed.
    pub code: Option<String>,
    pub state: String,
}

impl Session {
    /// Connects and opens a session with the database `host`.
    pub fn open(
        front: SocketAddr,
        host: &str,
        name: &str,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let mut session = Self {
            name: name.to_owned(),
            lines: Lines::new(stream.try_clone()?),
            writer: stream,
            record: Arc::clone(record),
        };
        session.send(&format!("START {host} {name}"))?;
        let ready = session.line()?;
        if ready.starts_with("READY ") {
            Ok(session)
        } else {
            Err(Error::new(ErrorKind::ConnectionRefused, ready))
        }
    }

    fn send(&mut self, line: &str) -> std::io::Result<()> {
        self.writer.write_all(format!("{line}\r\n").as_bytes())
    }

    fn line(&mut self) -> std::io::Result<String> {
        self.lines
            .next()?
            .ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    pub fn query(&mut self, id: &str, text: &str) -> std::io::Result<Answer> {
        self.record.note(format!("{} asks {id} {text}", self.name));
        let answer = self.ask(id, text);
        self.record.note(match &answer {
            Ok(answer) => format!("{} gets {id} {answer:?}", self.name),
            Err(error) => format!("{} gets {id} no answer: {error}", self.name),
        });
        answer
    }

    /// Sends a statement and waits for nothing.
    pub fn send_only(&mut self, id: &str, text: &str) -> std::io::Result<()> {
        self.record
            .note(format!("{} sends {id} {text} and leaves", self.name));
        self.send(&format!("QUERY {id} {text}"))
    }

    fn ask(&mut self, id: &str, text: &str) -> std::io::Result<Answer> {
        self.send(&format!("QUERY {id} {text}"))?;
        let mut rows = Vec::new();
        let mut code = None;
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "ERROR" => code = rest.split(' ').next().map(str::to_owned),
                "READY" => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(Answer { rows, code, state });
                }
                _ => {}
            }
        }
    }
}

/// Returns whether a code promises that nothing of the attempt is kept.
pub fn is_promise(code: &str) -> bool {
    [
        "BUSY",
        "ABORTED",
        "LAGGING",
        "READONLY",
        "MISROUTED",
        "TOOMANY",
    ]
    .contains(&code)
}
