//! Addresses at which members may be found: seeds from the settings, and the platform's
//! list of machines, which may be out of date.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_state::Timestamp;

use super::datagram::{Datagram, DatagramBody};
use super::machine::{Membership, MembershipAction};

/// Maximum number of addresses kept from each source.
const MAXIMUM_ADDRESSES: usize = 4_096;
/// Number of addresses sent a `Hello` at once while no member is known.
const HELLOS_WHILE_ALONE: usize = 8;
/// Time between two rounds of `Hello`s while no member is known.
const PERIOD_WHILE_ALONE: Duration = Duration::from_millis(500);

/// Known addresses and the one used last.
#[derive(Clone, Debug)]
pub struct Hints {
    seeds: BTreeSet<SocketAddr>,
    hints: BTreeSet<SocketAddr>,
    last: Option<SocketAddr>,
    /// When the next `Hello` is due.
    pub next_at: Timestamp,
}

impl Hints {
    /// Creates an empty set of addresses.
    pub fn new(now: Timestamp) -> Self {
        Self {
            seeds: BTreeSet::new(),
            hints: BTreeSet::new(),
            last: None,
            next_at: now,
        }
    }

    /// Replaces the seeds, the addresses from the settings.
    pub fn set_seeds(&mut self, addresses: Vec<SocketAddr>) {
        self.seeds = addresses.into_iter().take(MAXIMUM_ADDRESSES).collect();
    }

    /// Replaces the addresses from the platform's list of machines.
    pub fn set_hints(&mut self, addresses: Vec<SocketAddr>) {
        self.hints = addresses.into_iter().take(MAXIMUM_ADDRESSES).collect();
    }

    /// Returns the next address, in round-robin order, that `wanted` accepts.
    fn next(&mut self, mut wanted: impl FnMut(SocketAddr) -> bool) -> Option<SocketAddr> {
        let rounds = self.seeds.len() + self.hints.len();
        for _ in 0..rounds {
            let address = self.advance()?;
            if wanted(address) {
                return Some(address);
            }
        }
        None
    }

    fn advance(&mut self) -> Option<SocketAddr> {
        let address_after = |set: &BTreeSet<SocketAddr>, last: SocketAddr| {
            let range = (std::ops::Bound::Excluded(last), std::ops::Bound::Unbounded);
            set.range(range).next().copied()
        };
        let following = self.last.and_then(|last| {
            let seed = address_after(&self.seeds, last);
            let hint = address_after(&self.hints, last);
            seed.into_iter().chain(hint).min()
        });
        let first = || {
            let seed = self.seeds.first().copied();
            let hint = self.hints.first().copied();
            seed.into_iter().chain(hint).min()
        };
        self.last = following.or_else(first);
        self.last
    }
}

impl Membership {
    /// Sends a `Hello` to addresses that belong to no known member.
    pub(super) fn send_hellos(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let no_members_known = self.table.present() == 0;
        let (count, period) = if no_members_known {
            (HELLOS_WHILE_ALONE, PERIOD_WHILE_ALONE)
        } else {
            (1, self.settings.hint_period)
        };
        self.hints.next_at = now + period;
        let mut contacted = BTreeSet::new();
        for _ in 0..count {
            let table = &self.table;
            let address = self.hints.next(|address| !table.has_address(address));
            let Some(address) = address.filter(|address| contacted.insert(*address)) else {
                return;
            };
            let datagram = Datagram {
                sender: self.sender(true),
                receiver: None,
                body: DatagramBody::Hello,
                updates: Vec::new(),
            };
            actions.push(MembershipAction::Send {
                to: address,
                datagram: Box::new(datagram),
            });
        }
    }
}
