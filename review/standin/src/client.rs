//! A client's session, by PROTOCOL.md.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(4);

/// The answer to one statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Done {
        rows: Vec<String>,
        signature: String,
    },
    Error {
        code: String,
    },
    /// The connection ended, or no answer came in time.
    None,
}

impl Answer {
    pub fn is_done(&self) -> bool {
        matches!(self, Answer::Done { .. })
    }
}

/// An open session.
pub struct Session {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// State in the last READY: I, T or E.
    pub state: String,
}

impl Session {
    /// Connects and starts a session; `None` if that fails.
    pub async fn open(front: SocketAddr, database: &str, who: &str) -> Option<Self> {
        let opening = async {
            let stream = TcpStream::connect(front).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (reader, writer) = stream.into_split();
            let mut session = Self {
                reader: BufReader::new(reader),
                writer,
                state: String::new(),
            };
            session.send(&format!("START {database} {who}\r\n")).await?;
            let line = session.line().await?;
            let state = line.strip_prefix("READY ")?.split(' ').next()?.to_owned();
            session.state = state;
            Some(session)
        };
        timeout(PATIENCE, opening).await.ok().flatten()
    }

    async fn send(&mut self, text: &str) -> Option<()> {
        self.writer.write_all(text.as_bytes()).await.ok()
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).await.ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }

    pub async fn query(&mut self, id: &str, text: &str) -> Answer {
        let asking = self.ask(id, text);
        timeout(PATIENCE, asking)
            .await
            .ok()
            .flatten()
            .unwrap_or(Answer::None)
    }

    async fn ask(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}\r\n")).await?;
        let mut rows = Vec::new();
        let mut answer = None;
        loop {
            let line = self.line().await?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "DONE" => {
                    let signature = rest.to_owned();
                    answer = Some(Answer::Done {
                        rows: std::mem::take(&mut rows),
                        signature,
                    });
                }
                "ERROR" => {
                    let code = rest.split(' ').next().unwrap_or("").to_owned();
                    answer = Some(Answer::Error { code });
                }
                "READY" => {
                    self.state = rest.split(' ').next().unwrap_or("").to_owned();
                    return answer;
                }
                _ => return None,
            }
        }
    }
}
