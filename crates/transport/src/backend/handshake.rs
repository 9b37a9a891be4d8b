//! Opens connections: connect, start-up message and authentication.

use std::time::Duration;

use futures::StreamExt;
use hookpoint_protocol::errors::BackendError;
use hookpoint_protocol::frame::{Frame, FrameCodec};
use hookpoint_protocol::scram::{ClientExchange, MECHANISM};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::FramedRead;

use super::cancel::CancelKey;
use super::connection::{Connection, ConnectionContext};
use super::error::ConnectError;
use super::outgoing;
use hookpoint_protocol::tags::backend;

/// `application_name` of every connection.
const APPLICATION_NAME: &str = "hookpoint";

/// Authentication methods, as numbered in the protocol.
mod method {
    pub const OK: u32 = 0;
    pub const CLEARTEXT: u32 = 3;
    pub const SASL: u32 = 10;
    pub const SASL_CONTINUE: u32 = 11;
    pub const SASL_FINAL: u32 = 12;
}

struct Handshake<'a> {
    context: &'a ConnectionContext,
    reader: FramedRead<OwnedReadHalf, FrameCodec>,
    writer: OwnedWriteHalf,
    exchange: Option<ClientExchange>,
}

/// Connects, sends the start-up message and authenticates, within the connect timeout.
pub(super) async fn connect(context: &ConnectionContext) -> Result<Connection, ConnectError> {
    let limit = context.settings.connect_timeout;
    tokio::time::timeout(limit, connect_unbounded(context))
        .await
        .map_err(|_| ConnectError::Timeout)?
}

async fn connect_unbounded(context: &ConnectionContext) -> Result<Connection, ConnectError> {
    let address = context.address()?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let codec = FrameCodec::new(context.settings.message_bytes);
    let mut handshake = Handshake {
        context,
        reader: FramedRead::new(read, codec),
        writer: write,
        exchange: None,
    };
    handshake.start_up().await?;
    handshake.authenticate().await?;
    let key = handshake
        .wait_until_ready()
        .await?
        .map(|(process, secret)| CancelKey {
            address,
            process,
            secret,
        });
    let Handshake { reader, writer, .. } = handshake;
    Ok(Connection::new(
        reader,
        writer,
        key,
        context.settings.prepared_statements,
    ))
}

impl Handshake<'_> {
    async fn start_up(&mut self) -> Result<(), ConnectError> {
        let target = &self.context.target;
        let idle_session = milliseconds(self.context.settings.idle_session_timeout);
        let idle_transaction = milliseconds(target.idle_transaction_timeout);
        let message = outgoing::startup([
            ("user", target.user.as_str()),
            ("database", target.database.as_str()),
            ("application_name", APPLICATION_NAME),
            ("client_encoding", "UTF8"),
            ("idle_session_timeout", idle_session.as_str()),
            (
                "idle_in_transaction_session_timeout",
                idle_transaction.as_str(),
            ),
        ]);
        self.writer.write_all(&message).await?;
        Ok(())
    }

    async fn authenticate(&mut self) -> Result<(), ConnectError> {
        loop {
            let frame = self.next().await?;
            match frame.tag {
                backend::AUTHENTICATION => {}
                backend::NOTICE | backend::NEGOTIATE_VERSION => continue,
                tag => return Err(ConnectError::OutOfPlace { tag }),
            }
            let Some((code, data)) = frame.body.split_first_chunk::<4>() else {
                return Err(ConnectError::OutOfPlace { tag: frame.tag });
            };
            match u32::from_be_bytes(*code) {
                method::OK => return Ok(()),
                method::CLEARTEXT => {
                    let answer = outgoing::password(self.password()?);
                    self.send(&answer).await?;
                }
                code => self.sasl(code, data).await?,
            }
        }
    }

    async fn sasl(&mut self, code: u32, data: &[u8]) -> Result<(), ConnectError> {
        let unsupported = ConnectError::UnsupportedAuthentication { method: code };
        match (code, &mut self.exchange) {
            (method::SASL, None) => {
                if !data
                    .split(|byte| *byte == 0)
                    .any(|m| m == MECHANISM.as_bytes())
                {
                    return Err(unsupported);
                }
                let exchange = ClientExchange::new(self.password()?);
                let answer = outgoing::sasl_initial(MECHANISM, &exchange.first());
                self.exchange = Some(exchange);
                self.send(&answer).await
            }
            (method::SASL_CONTINUE, Some(exchange)) => {
                let answer = outgoing::sasl_response(&exchange.last(data)?);
                self.send(&answer).await
            }
            (method::SASL_FINAL, Some(exchange)) => Ok(exchange.finish(data)?),
            _ => Err(unsupported),
        }
    }

    async fn wait_until_ready(&mut self) -> Result<Option<(u32, u32)>, ConnectError> {
        let mut key = None;
        loop {
            let frame = self.next().await?;
            match frame.tag {
                backend::READY_FOR_QUERY => return Ok(key),
                backend::BACKEND_KEY_DATA => key = parse_key_data(&frame),
                backend::NOTICE | backend::PARAMETER_STATUS => {}
                tag => return Err(ConnectError::OutOfPlace { tag }),
            }
        }
    }

    fn password(&self) -> Result<&str, ConnectError> {
        self.context
            .settings
            .passwords
            .get(&self.context.group)
            .map(String::as_str)
            .ok_or(ConnectError::NoPassword)
    }

    async fn send(&mut self, frame: &Frame) -> Result<(), ConnectError> {
        let mut bytes = bytes::BytesMut::new();
        frame.write_to(&mut bytes);
        self.writer.write_all(&bytes).await?;
        Ok(())
    }

    /// Reads the next message; an error message becomes an error.
    async fn next(&mut self) -> Result<Frame, ConnectError> {
        let frame = self.reader.next().await.ok_or(ConnectError::Closed)??;
        match BackendError::from_frame(&frame) {
            Some(error) => Err(ConnectError::Refused(error)),
            None => Ok(frame),
        }
    }
}

/// Formats a duration for a start-up parameter, in milliseconds and capped at the largest
/// value that the database accepts.
fn milliseconds(time: Duration) -> String {
    let bounded = i32::try_from(time.as_millis()).unwrap_or(i32::MAX);
    bounded.to_string()
}

/// Returns process number and secret of a `BackendKeyData` message.
fn parse_key_data(frame: &Frame) -> Option<(u32, u32)> {
    let (process, rest) = frame.body.split_first_chunk::<4>()?;
    let (secret, _) = rest.split_first_chunk::<4>()?;
    Some((u32::from_be_bytes(*process), u32::from_be_bytes(*secret)))
}
