//! Snapshots of a node's configuration, databases, members and evacuations, for nodes that cannot
//! read the store.
//!
//! A snapshot includes versions and revisions, so applying it never replaces newer information.

use std::rc::Rc;

use hookpoint_coordination::serving::directory::Database;
use hookpoint_coordination::serving::topology::Configuration;
use hookpoint_state::{StoreRevision, ZoneName};
use serde::{Deserialize, Serialize};

use crate::departures;
use crate::node::Node;
use crate::records::MemberRecord;
use crate::relay;

/// A snapshot of what one node knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force on that node.
    pub configuration: Configuration,
    /// Registered databases with the revisions of their records.
    pub databases: Vec<(Database, StoreRevision)>,
    /// Records of the registered nodes.
    pub members: Vec<MemberRecord>,
    /// Zones under evacuation or evacuated earlier: the zone, whether the request is in force, and
    /// the revision of that state.
    pub evacuations: Vec<(ZoneName, bool, StoreRevision)>,
}

impl Snapshot {
    /// Takes a snapshot of `node`, or `None` before it has a configuration.
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

/// Fetches and applies the snapshot of the first seed or known member that answers.
pub async fn fetch(node: &Rc<Node>) {
    let members = node.other_members();
    let changeable = node.changeable();
    let seeds = changeable.seed_addresses.iter().copied();
    for address in seeds.chain(members).take(MAX_PEERS_ASKED) {
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

/// Maximum number of peers asked in one round.
const MAX_PEERS_ASKED: usize = 4;
