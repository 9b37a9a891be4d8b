//! What a node knows of configuration, databases, members and evacuations, for one that cannot read
//! the store.
//!
//! Versions and revisions go along, so taking a snapshot never replaces newer knowledge.

use std::rc::Rc;

use hookpoint_coordination::serving::directory::Database;
use hookpoint_coordination::serving::topology::Configuration;
use hookpoint_state::{StoreRevision, ZoneName};
use serde::{Deserialize, Serialize};

use crate::departures;
use crate::node::Node;
use crate::records::MemberRecord;
use crate::relay;

/// One node's knowledge.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force there.
    pub configuration: Configuration,
    /// Registered databases with the revisions of their entries.
    pub databases: Vec<(Database, StoreRevision)>,
    /// Registered nodes.
    pub members: Vec<MemberRecord>,
    /// Zones that are being evacuated, or were, with the revisions that say so.
    pub evacuations: Vec<(ZoneName, bool, StoreRevision)>,
}

impl Snapshot {
    /// What `node` knows; nothing before it has a configuration.
    pub fn of(node: &Node) -> Option<Self> {
        let configuration = node.configuration()?;
        let databases = node
            .directory
            .borrow()
            .iter()
            .filter(|listed| !listed.missing)
            .map(|listed| (listed.database.clone(), listed.revision))
            .collect();
        let members = node
            .members
            .borrow()
            .iter()
            .filter(|(_, member)| member.gone_at.is_none())
            .map(|(name, member)| member.record(name))
            .collect();
        Some(Self {
            configuration: (*configuration).clone(),
            databases,
            members,
            evacuations: node.known_evacuations(),
        })
    }

    fn apply(self, node: &Rc<Node>) {
        for (zone, requested, revision) in self.evacuations {
            node.apply_evacuation(&zone, requested, revision);
        }
        for (database, revision) in self.databases {
            node.register_database(database, revision);
        }
        for record in self.members {
            if !node.members.borrow().contains_key(&record.node) {
                node.register_member(record);
            }
        }
        node.homes.borrow_mut().forget_views();
        departures::ask_about_late_departures(node);
        node.feed.note_caught_up();
        node.take_configuration(self.configuration);
    }
}

/// Takes what seeds or known members know, from the first that answers.
pub async fn fetch(node: &Rc<Node>) {
    let members = node.other_members();
    let changeable = node.changeable();
    let seeds = changeable.seed_addresses.iter().copied();
    for address in seeds.chain(members).take(PEERS_ASKED) {
        if let Some(snapshot) = relay::fetch_snapshot(address).await {
            node.log(
                "snapshot_taken",
                &[
                    ("from", address.to_string().into()),
                    ("version", snapshot.configuration.version.into()),
                    ("databases", snapshot.databases.len().into()),
                ],
            );
            snapshot.apply(node);
            return;
        }
    }
}

/// Peers asked in one round at the most.
const PEERS_ASKED: usize = 4;
