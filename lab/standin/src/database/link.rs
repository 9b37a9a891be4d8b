//! Carries messages between the databases of a group, with the delays and
//! cuts of the network between their zones.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::consensus::{Member, Message};
use super::node::Node;
use super::settings::ZoneNetwork;
use crate::links::sleep_until;

/// Messages under way on one link; more are lost.
const CAPACITY: usize = 1024;

struct Envelope {
    due: Instant,
    message: Message,
}

/// The links from one database to each of its peers.
pub struct Links {
    senders: Vec<Option<mpsc::Sender<Envelope>>>,
    zone: String,
    zones: Vec<String>,
    network: Arc<dyn ZoneNetwork>,
}

impl Links {
    /// Opens the links from `nodes[from]`; the tasks carry messages until
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
            let (sender, receiver) = mpsc::channel(CAPACITY);
            senders.push(Some(sender));
            tasks.push(tokio::spawn(carry(
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

    /// Sends a message; it is lost when the link is full.
    pub fn send(&self, to: Member, message: Message) {
        let delay = self.network.delay(&self.zone, &self.zones[to]);
        let envelope = Envelope {
            due: Instant::now() + delay,
            message,
        };
        if let Some(Some(sender)) = self.senders.get(to)
            && sender.try_send(envelope).is_err()
        {
            log::debug!("database: a message to peer {to} is lost.");
        }
    }
}

async fn carry(
    from: Arc<Node>,
    to: Arc<Node>,
    network: Arc<dyn ZoneNetwork>,
    mut receiver: mpsc::Receiver<Envelope>,
) {
    while let Some(envelope) = receiver.recv().await {
        if envelope.due > Instant::now() {
            sleep_until(envelope.due).await;
        }
        let cut = from.is_isolated()
            || to.is_isolated()
            || !from.is_alive()
            || network.is_cut(&from.settings.zone, &to.settings.zone);
        if !cut {
            to.receive(from.member, envelope.message);
        }
    }
}
