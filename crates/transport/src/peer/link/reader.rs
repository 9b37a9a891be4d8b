//! The task that reads from a link.

use std::sync::Arc;

use hookpoint_coordination::node::NodeEvent;
use hookpoint_protocol::peer::{
    Assembler, FrameDecodeError, LinkCipher, LinkError, LinkFrame, StreamError, decode_frames,
};
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

use super::{Link, StreamEvent};
use crate::peer::core::Core;
use crate::peer::serve;

/// Why reading from a link ended.
#[derive(Debug, Error)]
pub(super) enum ReadError {
    /// The connection failed or was closed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// A record is not authentic.
    #[error("{0}")]
    Record(#[from] LinkError),
    /// A record contains something other than frames.
    #[error("{0}")]
    Frame(#[from] FrameDecodeError),
    /// The peer violated the flow control of a stream or sent an invalid message.
    #[error("{0}")]
    Stream(#[from] StreamError),
    /// A frame arrived that is not allowed at this point.
    #[error("unexpected frame")]
    Unexpected,
}

/// Reads one record and returns its frames.
pub(super) async fn read_record(
    cipher: &LinkCipher,
    number: u64,
    socket: &mut OwnedReadHalf,
) -> Result<Vec<LinkFrame>, ReadError> {
    let length = usize::from(socket.read_u16().await?);
    let mut sealed = vec![0; length];
    socket.read_exact(&mut sealed).await?;
    let content = cipher.open(number, &sealed)?;
    Ok(decode_frames(&content)?)
}

/// Reads until the link is lost and dispatches every frame. Never waits for the receiver
/// of a frame.
pub(super) async fn read(
    core: Arc<Core>,
    link: Arc<Link>,
    cipher: Arc<LinkCipher>,
    mut socket: OwnedReadHalf,
    first_record: u64,
) {
    let mut closed = link.closed.subscribe();
    let mut number = first_record;
    let mut control = Assembler::for_control();
    loop {
        let frames = tokio::select! {
            frames = read_record(&cipher, number, &mut socket) => frames,
            _ = closed.wait_for(|closed| *closed) => break,
        };
        number += 1;
        link.record_answer();
        let result = frames.and_then(|frames| handle_frames(&core, &link, &mut control, frames));
        if let Err(error) = result {
            if !matches!(error, ReadError::Io(_)) {
                log::warn!("fleet: the link to {} failed: {error}.", link.peer.node);
            }
            break;
        }
    }
    link.close();
    core.links.remove(&link);
    core.handle_event(NodeEvent::PeerLost(link.peer.node));
}

fn handle_frames(
    core: &Arc<Core>,
    link: &Arc<Link>,
    control: &mut Assembler,
    frames: Vec<LinkFrame>,
) -> Result<(), ReadError> {
    for frame in frames {
        handle_frame(core, link, control, frame)?;
    }
    Ok(())
}

fn handle_frame(
    core: &Arc<Core>,
    link: &Arc<Link>,
    control: &mut Assembler,
    frame: LinkFrame,
) -> Result<(), ReadError> {
    match frame {
        LinkFrame::Hello(_) => return Err(ReadError::Unexpected),
        LinkFrame::Ping => {
            // If the writer is busy, the frames it sends serve as the answer.
            let _ = link.frames.try_send(LinkFrame::Pong);
        }
        LinkFrame::Pong => {}
        LinkFrame::Open { stream, request } => {
            let ours = (stream % 2 == 1) == link.dialled;
            if ours {
                return Err(ReadError::Unexpected);
            }
            serve::open(core, link, stream, request);
        }
        LinkFrame::Granted { stream } => {
            deliver(link, stream, StreamEvent::Granted)?;
        }
        LinkFrame::Refused { stream, refusal } => {
            deliver(link, stream, StreamEvent::Refused(refusal))?;
        }
        LinkFrame::Data {
            stream,
            last,
            bytes,
        } => deliver(link, stream, StreamEvent::Data { last, bytes })?,
        LinkFrame::Credit { stream, bytes } => link.streams.lock().credit(stream, bytes)?,
        LinkFrame::Closed { stream } => deliver(link, stream, StreamEvent::Closed)?,
        LinkFrame::Control { last, bytes } => {
            if let Some(message) = control.push(last, &bytes)? {
                let from = link.peer.node;
                core.handle_event(NodeEvent::PeerMessage { from, message });
            }
        }
        LinkFrame::CancelSession { process, secret } => {
            let handler = core.cancel.read().clone();
            if let Some(handler) = handler {
                handler(process, secret);
            }
        }
    }
    Ok(())
}

fn deliver(link: &Link, stream: u32, event: StreamEvent) -> Result<(), StreamError> {
    link.streams.lock().deliver(stream, event)
}
