//! The links of this node, at most one in use for each peer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_state::NodeId;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::Link;

const MINIMUM_BACK_OFF: Duration = Duration::from_millis(50);
const MAXIMUM_BACK_OFF: Duration = Duration::from_secs(2);
/// Number of doublings after which the back-off reaches its maximum.
const MAXIMUM_DOUBLINGS: u32 = 6;

/// Dial state of one peer. Only the holder of its lock may dial.
#[derive(Debug, Default)]
pub(in crate::peer) struct Dial {
    failures: u32,
    retry_at: Option<Instant>,
}

impl Dial {
    /// Returns whether the back-off after a failed attempt is still running.
    pub fn is_backing_off(&self) -> bool {
        self.retry_at.is_some_and(|at| at > Instant::now())
    }

    /// Records a failed attempt and starts the back-off.
    pub fn record_failure(&mut self) {
        let doublings = self.failures.min(MAXIMUM_DOUBLINGS);
        let pause = (MINIMUM_BACK_OFF * 2u32.pow(doublings)).min(MAXIMUM_BACK_OFF);
        self.failures += 1;
        self.retry_at = Some(Instant::now() + pause);
    }

    /// Records a successful attempt, which resets the back-off.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}

#[derive(Default)]
struct Peer {
    link: Option<Arc<Link>>,
    dial: Arc<tokio::sync::Mutex<Dial>>,
}

/// Links by peer, and links that are retiring.
#[derive(Default)]
pub(in crate::peer) struct LinkTable {
    peers: Mutex<BTreeMap<NodeId, Peer>>,
    retiring: Mutex<Vec<Arc<Link>>>,
}

impl LinkTable {
    /// Returns the link in use to a peer.
    pub fn get(&self, node: NodeId) -> Option<Arc<Link>> {
        let peers = self.peers.lock();
        let link = peers.get(&node)?.link.as_ref()?;
        (!link.is_closed()).then(|| link.clone())
    }

    /// Returns the dial state of a peer.
    pub fn dial(&self, node: NodeId) -> Arc<tokio::sync::Mutex<Dial>> {
        self.peers.lock().entry(node).or_default().dial.clone()
    }

    /// Puts a new link into use. If there is one already, the link dialled by the node
    /// with the smaller identifier stays in use and the other one retires; of two links
    /// dialled by the same node the newer one stays.
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

    /// Removes a lost link.
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

    /// Removes a peer that is considered dead. An open link to it is kept: its own
    /// heartbeats detect more reliably whether its leases still work.
    pub fn remove_peer(&self, node: NodeId) {
        let mut peers = self.peers.lock();
        let open = peers
            .get(&node)
            .and_then(|peer| peer.link.as_ref())
            .is_some_and(|link| !link.is_closed());
        if !open {
            peers.remove(&node);
        }
    }

    /// Removes and closes every link, including those that are retiring.
    pub fn close_all(&self) {
        let peers = std::mem::take(&mut *self.peers.lock());
        let links = peers.into_values().filter_map(|peer| peer.link);
        let retiring = std::mem::take(&mut *self.retiring.lock());
        for link in links.chain(retiring) {
            link.close();
        }
    }

    /// Returns the numbers of open links and of their streams.
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
