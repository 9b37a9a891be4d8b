//! Delivers messages between the databases of a group, with the delays and cuts
//! of the network between their zones.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::consensus::{Member, Message};
use super::node::Node;
use super::settings::ZoneNetwork;
use crate::links::sleep_until;

/// Maximum number of messages in flight on one link; further ones are dropped.
const MAX_IN_FLIGHT: usize = 1024;

struct QueuedMessage {
    due: Instant,
    message: Message,
}

/// The links from one database to each of its peers.
pub struct Links {
    senders: Vec<Option<mpsc::Sender<QueuedMessage>>>,
    zone: String,
    zones: Vec<String>,
    network: Arc<dyn ZoneNetwork>,
}

impl Links {
    /// Opens the links from `nodes[from]`. The returned tasks deliver messages until
    /// they are aborted.
    pub fn open(
        nodes: &[Arc<Node>],
        from: Member,
        network: &Arc<dyn ZoneNetwork>,
    ) -> (Self, Vec<JoinHandle<()>>) {
        let mut senders = Vec::new();
        let mut tasks = Vec::new();
        for to in nodes {
            if to.member == from {
                senders.push(None);
                continue;
            }
            let (sender, receiver) = mpsc::channel(MAX_IN_FLIGHT);
            senders.push(Some(sender));
            tasks.push(tokio::spawn(deliver_messages(
                nodes[from].clone(),
                to.clone(),
                network.clone(),
                receiver,
            )));
        }
        let links = Self {
            senders,
            zone: nodes[from].settings.zone.clone(),
            zones: nodes
                .iter()
                .map(|node| node.settings.zone.clone())
                .collect(),
            network: network.clone(),
        };
        (links, tasks)
    }

    /// Sends a message, or drops it when the link is full.
    pub fn send(&self, to: Member, message: Message) {
        let delay = self.network.delay(&self.zone, &self.zones[to]);
        let queued = QueuedMessage {
            due: Instant::now() + delay,
            message,
        };
        if let Some(Some(sender)) = self.senders.get(to)
            && sender.try_send(queued).is_err()
        {
            log::debug!("database: dropped a message to peer {to}: the link is full.");
        }
    }
}

async fn deliver_messages(
    from: Arc<Node>,
    to: Arc<Node>,
    network: Arc<dyn ZoneNetwork>,
    mut receiver: mpsc::Receiver<QueuedMessage>,
) {
    while let Some(queued) = receiver.recv().await {
        if queued.due > Instant::now() {
            sleep_until(queued.due).await;
        }
        let cut = from.is_isolated()
            || to.is_isolated()
            || !from.is_alive()
            || network.is_cut(&from.settings.zone, &to.settings.zone);
        if !cut {
            to.receive(from.member, queued.message);
        }
    }
}
