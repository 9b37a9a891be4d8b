//! The links of this node, at most one in use per peer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_state::NodeId;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::Link;

const FIRST_BACK_OFF: Duration = Duration::from_millis(50);
const LONGEST_BACK_OFF: Duration = Duration::from_secs(2);
/// Doublings after which the back-off is at its longest.
const MAXIMUM_DOUBLINGS: u32 = 6;

/// State of dialling one peer. Whoever holds its lock may dial.
#[derive(Debug, Default)]
pub(in crate::peer) struct Dial {
    failures: u32,
    retry_at: Option<Instant>,
}

impl Dial {
    /// Whether the peer was found unreachable a moment ago.
    pub fn is_backing_off(&self) -> bool {
        self.retry_at.is_some_and(|at| at > Instant::now())
    }

    /// Notes a failure.
    pub fn failed(&mut self) {
        let doublings = self.failures.min(MAXIMUM_DOUBLINGS);
        let pause = (FIRST_BACK_OFF * 2u32.pow(doublings)).min(LONGEST_BACK_OFF);
        self.failures += 1;
        self.retry_at = Some(Instant::now() + pause);
    }

    /// Notes a success.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }
}

#[derive(Default)]
struct Peer {
    link: Option<Arc<Link>>,
    dial: Arc<tokio::sync::Mutex<Dial>>,
}

/// Links by peer, and those that are retiring.
#[derive(Default)]
pub(in crate::peer) struct LinkTable {
    peers: Mutex<BTreeMap<NodeId, Peer>>,
    retiring: Mutex<Vec<Arc<Link>>>,
}

impl LinkTable {
    /// The link in use to a peer.
    pub fn get(&self, node: NodeId) -> Option<Arc<Link>> {
        let peers = self.peers.lock();
        let link = peers.get(&node)?.link.as_ref()?;
        (!link.is_closed()).then(|| link.clone())
    }

    /// The state of dialling a peer.
    pub fn dial(&self, node: NodeId) -> Arc<tokio::sync::Mutex<Dial>> {
        self.peers.lock().entry(node).or_default().dial.clone()
    }

    /// Takes a new link into use. Where there is one already, the link dialled by the
    /// smaller node stays in use and the other one retires; a newer one of the same
    /// direction replaces the older.
    pub fn register(&self, own: NodeId, link: &Arc<Link>) {
        let node = link.peer.node;
        let mut peers = self.peers.lock();
        let peer = peers.entry(node).or_default();
        let before = peer.link.take().filter(|before| !before.is_closed());
        let Some(before) = before else {
            peer.link = Some(link.clone());
            return;
        };
        let preferred = link.dialled == (own < node) || link.dialled == before.dialled;
        let (kept, retired) = if preferred {
            (link.clone(), before)
        } else {
            (before, link.clone())
        };
        peer.link = Some(kept);
        drop(peers);
        retired.retire();
        let mut retiring = self.retiring.lock();
        retiring.retain(|link| !link.is_closed());
        retiring.push(retired);
    }

    /// Takes a lost link out of use.
    pub fn remove(&self, link: &Arc<Link>) {
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(&link.peer.node) else {
            return;
        };
        if peer
            .link
            .as_ref()
            .is_some_and(|held| Arc::ptr_eq(held, link))
        {
            peer.link = None;
        }
    }

    /// Forgets a peer that is held for dead. An open link to it stays: its own
    /// heartbeats know better whether its leases still flow.
    pub fn forget(&self, node: NodeId) {
        let mut peers = self.peers.lock();
        let open = peers
            .get(&node)
            .and_then(|peer| peer.link.as_ref())
            .is_some_and(|link| !link.is_closed());
        if !open {
            peers.remove(&node);
        }
    }

    /// Closes every link.
    pub fn close_all(&self) {
        let peers = std::mem::take(&mut *self.peers.lock());
        let links = peers.into_values().filter_map(|peer| peer.link);
        let retiring = std::mem::take(&mut *self.retiring.lock());
        for link in links.chain(retiring) {
            link.close();
        }
    }

    /// Open links and their streams.
    pub fn counts(&self) -> (usize, usize) {
        let in_use: Vec<Arc<Link>> = {
            let peers = self.peers.lock();
            let links = peers.values().filter_map(|peer| peer.link.clone());
            links.collect()
        };
        let retiring = self.retiring.lock().clone();
        let open = in_use
            .iter()
            .chain(&retiring)
            .filter(|link| !link.is_closed());
        open.fold((0, 0), |(links, streams), link| {
            (links + 1, streams + link.stream_count())
        })
    }
}
