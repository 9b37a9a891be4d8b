//! Bytes and messages of the nodes.

use std::time::Duration;

use hookpoint_coordination::membership::Datagram;
use serde::Serialize;

use super::report::Traffic;

/// Sealing, IP and UDP around a datagram.
const DATAGRAM_OVERHEAD: u64 = 73;
/// Framing, encryption, IP and TCP around a message on a link, and its acknowledgement.
const LINK_OVERHEAD: u64 = 120;
/// A change of a few entries with its signature, in place of the simulator's numbers.
pub(super) const CHANGE_BYTES: u64 = 400;

/// What one node sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Account {
    sent_bytes: u64,
    sent_messages: u64,
    received_bytes: u64,
}

impl Account {
    pub(super) fn sent(&mut self, bytes: u64) {
        self.sent_bytes += bytes;
        self.sent_messages += 1;
    }

    pub(super) fn received(&mut self, bytes: u64) {
        self.received_bytes += bytes;
    }
}

/// Bytes of a datagram on the network.
pub(super) fn datagram_bytes(datagram: &Datagram) -> u64 {
    encoded(datagram) + DATAGRAM_OVERHEAD
}

/// Bytes of a message on a link.
pub(super) fn message_bytes(message: &impl Serialize) -> u64 {
    encoded(message) + LINK_OVERHEAD
}

fn encoded(value: &impl Serialize) -> u64 {
    // Every type here has an encoding, and memory is the only sink.
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len() as u64)
}

/// The traffic between two readings of the accounts.
pub(super) fn traffic(before: &[Account], after: &[Account], time: Duration) -> Traffic {
    let seconds = time.as_secs_f64().max(f64::MIN_POSITIVE);
    let count = after.len().max(1) as f64;
    let difference = |field: fn(&Account) -> u64| {
        let pairs = before.iter().zip(after);
        let values: Vec<f64> = pairs
            .map(|(before, after)| (field(after) - field(before)) as f64 / seconds)
            .collect();
        let mean = values.iter().sum::<f64>() / count;
        (mean, values.iter().copied().fold(0.0, f64::max))
    };
    let (sent_bytes_mean, sent_bytes_max) = difference(|account| account.sent_bytes);
    let (sent_messages_mean, sent_messages_max) = difference(|account| account.sent_messages);
    let (received_bytes_mean, received_bytes_max) = difference(|account| account.received_bytes);
    Traffic {
        sent_bytes_mean,
        sent_bytes_max,
        sent_messages_mean,
        sent_messages_max,
        received_bytes_mean,
        received_bytes_max,
    }
}
