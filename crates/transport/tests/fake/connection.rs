//! One connection of the fake server.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use futures::StreamExt;
use hookpoint_protocol::frame::{Frame, FrameCodec};
use hookpoint_protocol::scram::{ServerExchange, Verifier};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio_util::codec::FramedRead;

use super::reply;
use super::{Authentication, Core, LogEntry, Script};

const CANCEL_CODE: u32 = 80_877_102;

pub async fn run(core: Arc<Core>, mut stream: TcpStream) {
    let Some((code, body)) = first_packet(&mut stream).await else {
        return;
    };
    if code == CANCEL_CODE {
        let process = u32::from_be_bytes(body[..4].try_into().unwrap());
        core.log.lock().push(LogEntry::Cancelled(process));
        if let Some(sender) = core.cancels.lock().get(&process) {
            sender.send_modify(|count| *count += 1);
        }
        return;
    }
    let number = core.next.fetch_add(1, Ordering::SeqCst);
    let parameters = parameters_of(&body);
    let idle = parameters
        .get("idle_session_timeout")
        .and_then(|text| text.parse().ok());
    core.log.lock().push(LogEntry::Started(number, parameters));
    let open = core.open.fetch_add(1, Ordering::SeqCst) + 1;
    core.most_open.fetch_max(open, Ordering::SeqCst);
    let (sender, cancels) = watch::channel(0);
    core.cancels.lock().insert(number, sender);
    let (read, writer) = stream.into_split();
    let connection = Connection {
        core: core.clone(),
        number,
        reader: FramedRead::new(read, FrameCodec::new(1 << 26)),
        writer,
        output: BytesMut::new(),
        status: b'I',
        cancels,
        idle: Duration::from_millis(idle.unwrap_or(60_000)),
    };
    let _ended = connection.serve(open).await;
    core.cancels.lock().remove(&number);
    core.open.fetch_sub(1, Ordering::SeqCst);
    core.log.lock().push(LogEntry::Ended(number));
}

async fn first_packet(stream: &mut TcpStream) -> Option<(u32, Vec<u8>)> {
    let length = stream.read_u32().await.ok()?;
    let code = stream.read_u32().await.ok()?;
    let mut body = vec![0; length as usize - 8];
    stream.read_exact(&mut body).await.ok()?;
    Some((code, body))
}

fn parameters_of(body: &[u8]) -> BTreeMap<String, String> {
    let mut texts = body
        .split(|byte| *byte == 0)
        .map(|text| String::from_utf8_lossy(text).into_owned());
    let mut parameters = BTreeMap::new();
    while let (Some(name), Some(value)) = (texts.next(), texts.next()) {
        if !name.is_empty() {
            parameters.insert(name, value);
        }
    }
    parameters
}

struct Connection {
    core: Arc<Core>,
    number: u32,
    reader: FramedRead<OwnedReadHalf, FrameCodec>,
    writer: OwnedWriteHalf,
    output: BytesMut,
    status: u8,
    cancels: watch::Receiver<u32>,
    /// Idle time after which the connection is closed.
    idle: Duration,
}

impl Connection {
    async fn serve(mut self, open: usize) -> Option<()> {
        let script = self.script();
        let refusal = if open > script.slots {
            Some("53300")
        } else {
            script.refusal
        };
        if let Some(sqlstate) = refusal {
            reply::error(&mut self.output, "FATAL", sqlstate);
            return self.flush().await;
        }
        self.authenticate(&script).await?;
        reply::authentication(&mut self.output, 0, &[]);
        let key = [self.number.to_be_bytes(), 7u32.to_be_bytes()].concat();
        reply::message(&mut self.output, b'K', &key);
        reply::ready(&mut self.output, b'I');
        self.flush().await?;
        let mut skipping = false;
        while let Some(frame) = self.next().await {
            if frame.tag == b'X' {
                return Some(());
            }
            self.record(&frame);
            match frame.tag {
                b'Q' => self.query(&text_at(&frame, 0)).await?,
                b'S' => {
                    skipping = false;
                    reply::ready(&mut self.output, self.status);
                    self.flush().await?;
                }
                _ if skipping => {}
                b'P' if text_at(&frame, 1).contains("FAIL") => {
                    reply::error(&mut self.output, "ERROR", "42601");
                    skipping = true;
                }
                b'P' => reply::message(&mut self.output, b'1', &[]),
                b'B' => reply::message(&mut self.output, b'2', &[]),
                b'D' => reply::message(&mut self.output, b'n', &[]),
                b'C' => reply::message(&mut self.output, b'3', &[]),
                b'E' => reply::complete(&mut self.output, "SELECT 0"),
                _ => {}
            }
        }
        None
    }

    async fn next(&mut self) -> Option<Frame> {
        let next = tokio::time::timeout(self.idle, self.reader.next()).await;
        next.ok()??.ok()
    }

    fn script(&self) -> Script {
        self.core.script.lock().clone()
    }

    fn record(&self, frame: &Frame) {
        let text = match frame.tag {
            b'C' => text_at(&Frame::new(b'C', frame.body.slice(1..)), 0),
            b'Q' | b'P' => text_at(frame, 0),
            b'B' => text_at(frame, 1),
            _ => String::new(),
        };
        let seen = LogEntry::Message(self.number, frame.tag, text);
        self.core.log.lock().push(seen);
    }

    async fn authenticate(&mut self, script: &Script) -> Option<()> {
        match &script.authentication {
            Authentication::Trust => Some(()),
            Authentication::Method(code) => {
                reply::authentication(&mut self.output, *code, &[0; 4]);
                self.flush().await?;
                self.reader.next().await?.ok().map(|_| ())
            }
            Authentication::Cleartext(password) => {
                reply::authentication(&mut self.output, 3, &[]);
                self.flush().await?;
                let answer = self.reader.next().await?.ok()?;
                self.finish_authentication(text_at(&answer, 0) == *password)
                    .await
            }
            Authentication::Scram(verifier) => self.scram(verifier).await,
        }
    }

    async fn scram(&mut self, verifier: &Verifier) -> Option<()> {
        let mut exchange = ServerExchange::new(Some(verifier), "proxy", b"secret");
        reply::authentication(&mut self.output, 10, b"SCRAM-SHA-256\0\0");
        self.flush().await?;
        let first = self.reader.next().await?.ok()?;
        let mechanism = text_at(&first, 0);
        let data = &first.body[mechanism.len() + 5..];
        let answer = exchange.first(&mechanism, data).ok()?;
        reply::authentication(&mut self.output, 11, answer.as_bytes());
        self.flush().await?;
        let last = self.reader.next().await?.ok()?;
        let result = exchange.last(&last.body);
        if let Ok(answer) = &result {
            reply::authentication(&mut self.output, 12, answer.as_bytes());
        }
        self.finish_authentication(result.is_ok()).await
    }

    async fn finish_authentication(&mut self, accepted: bool) -> Option<()> {
        if accepted {
            return Some(());
        }
        reply::error(&mut self.output, "FATAL", "28P01");
        self.flush().await?;
        None
    }

    async fn query(&mut self, text: &str) -> Option<()> {
        let script = self.script();
        if text.contains("pg_is_in_recovery") {
            if script.silent {
                std::future::pending::<()>().await;
            }
            let recovery = if script.recovery { "t" } else { "f" };
            let term = script.term.to_string();
            reply::row(&mut self.output, &[recovery, &term, script.position, ""]);
        }
        let mut words = text.split_whitespace();
        let tag = match words.next().unwrap_or_default() {
            "BEGIN" => {
                self.status = b'T';
                "BEGIN"
            }
            "COMMIT" => {
                self.status = b'I';
                "COMMIT"
            }
            "SET" => "SET",
            "DIE" => return None,
            "SLEEP" => return self.sleep().await,
            "FAIL" => {
                reply::error(&mut self.output, "ERROR", "22012");
                reply::ready(&mut self.output, self.status);
                return self.flush().await;
            }
            "ROWS" => {
                self.rows(words.next()?.parse().ok()?).await?;
                "SELECT"
            }
            "WHO" => {
                let number = self.number.to_string();
                reply::row(&mut self.output, &[&number]);
                "SELECT 1"
            }
            _ => "OK",
        };
        reply::complete(&mut self.output, tag);
        reply::ready(&mut self.output, self.status);
        self.flush().await
    }

    /// Writes many rows of one kilobyte each, with back-pressure.
    async fn rows(&mut self, count: usize) -> Option<()> {
        let value = "x".repeat(1_000);
        for _ in 0..count {
            reply::data_row(&mut self.output, &[&value]);
            if self.output.len() > 64 * 1024 {
                self.flush().await?;
            }
        }
        Some(())
    }

    /// Waits until the statement is cancelled.
    async fn sleep(&mut self) -> Option<()> {
        self.cancels.mark_unchanged();
        tokio::select! {
            _ = self.cancels.changed() => {}
            () = tokio::time::sleep(Duration::from_secs(60)) => {}
            message = self.reader.next() => {
                message?.ok()?;
            }
        }
        reply::error(&mut self.output, "ERROR", "57014");
        reply::ready(&mut self.output, self.status);
        self.flush().await
    }

    async fn flush(&mut self) -> Option<()> {
        self.writer.write_all_buf(&mut self.output).await.ok()
    }
}

/// Returns the zero-terminated text after the first `skip` texts of the body.
fn text_at(frame: &Frame, skip: usize) -> String {
    let text = frame.body.split(|byte| *byte == 0).nth(skip);
    String::from_utf8_lossy(text.unwrap_or_default()).into_owned()
}
