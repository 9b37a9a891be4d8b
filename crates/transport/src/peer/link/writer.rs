//! The task that writes to a link.

use std::sync::Arc;

use hookpoint_protocol::peer::{
    LinkCipher, LinkError, LinkFrame, MAXIMUM_FRAGMENT_BYTES, encode_frame,
};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;

use super::Link;
use crate::peer::core::Core;
use crate::peer::status::count;

/// Size in bytes from which a record is sent; one more frame still fits.
const RECORD_TARGET_BYTES: usize = 2 * MAXIMUM_FRAGMENT_BYTES;

/// Writes frames until the link is lost, combining frames that wait into one record.
pub(super) async fn write(
    core: Arc<Core>,
    link: Arc<Link>,
    mut frames: mpsc::Receiver<LinkFrame>,
    cipher: Arc<LinkCipher>,
    mut socket: OwnedWriteHalf,
    first_record: u64,
) {
    let mut closed = link.closed.subscribe();
    let mut number = first_record;
    loop {
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            _ = closed.wait_for(|closed| *closed) => None,
        };
        let Some(frame) = frame else {
            return;
        };
        let content = collect_record(frame, &mut frames);
        let sent = tokio::select! {
            sent = send_record(&cipher, number, &content, &mut socket) => sent,
            _ = closed.wait_for(|closed| *closed) => return,
        };
        let Ok(bytes) = sent else {
            link.close();
            return;
        };
        count(&core.counters.link_records_sent, 1);
        count(&core.counters.link_bytes_sent, bytes as u64);
        number += 1;
    }
}

fn collect_record(first: LinkFrame, frames: &mut mpsc::Receiver<LinkFrame>) -> Vec<u8> {
    let mut content = encode_frame(&first, Vec::new());
    while content.len() < RECORD_TARGET_BYTES
        && let Ok(frame) = frames.try_recv()
    {
        content = encode_frame(&frame, content);
    }
    content
}

/// Seals and sends one record. Returns its size in bytes.
pub(super) async fn send_record(
    cipher: &LinkCipher,
    number: u64,
    content: &[u8],
    socket: &mut OwnedWriteHalf,
) -> std::io::Result<usize> {
    let record = cipher
        .seal(number, content)
        .map_err(|error: LinkError| std::io::Error::other(error))?;
    socket.write_all(&record).await?;
    Ok(record.len())
}
