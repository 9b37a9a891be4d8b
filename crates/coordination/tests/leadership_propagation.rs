//! Tests of the propagation of leadership changes between node machines, in virtual
//! time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::membership::{MemberInfo, MembershipSettings};
use hookpoint_coordination::node::{
    LeadershipUpdate, NodeAction, NodeEvent, NodeMachine, PeerMessage, PlatformMachine, Route,
};
use hookpoint_state::bundle::{Database, Group};
use hookpoint_state::{
    Bundle, BundleVersion, DatabaseName, GroupName, NodeId, Position, RegionName, Term, Timestamp,
    ZoneName,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LATENCY: Duration = Duration::from_millis(2);
const ZONES: usize = 3;

struct Mesh {
    now: Timestamp,
    machines: BTreeMap<NodeId, NodeMachine>,
    addresses: BTreeMap<SocketAddr, NodeId>,
    queue: BTreeMap<(Timestamp, u64), (NodeId, NodeEvent)>,
    sequence: u64,
    learned: BTreeMap<NodeId, Vec<LeadershipUpdate>>,
    /// Number of leadership messages sent.
    sent: usize,
    /// Nodes to which every message is lost.
    unreachable: BTreeSet<NodeId>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7_000))
}

fn group(index: usize) -> GroupName {
    GroupName::new(format!("group-{index}"))
}

fn database(index: usize, zone: usize) -> DatabaseName {
    DatabaseName::new(format!("database-{index}-{zone}"))
}

fn zone(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{index}"))
}

fn bundle(groups: usize) -> Arc<Bundle> {
    let mut bundle = Bundle {
        version: BundleVersion(1),
        ..Bundle::default()
    };
    for index in 0..ZONES {
        bundle.zones.insert(zone(index), RegionName::new("region"));
    }
    for index in 0..groups {
        let entry = Group {
            database: "data".to_owned(),
            user: "user".to_owned(),
            reads: Default::default(),
            election_timeout_ms: 300,
        };
        bundle.groups.insert(group(index), entry);
        for zone_index in 0..ZONES {
            let entry = Database {
                group: group(index),
                zone: zone(zone_index),
                address: "10.9.9.9:5432".to_owned(),
                slots: 5,
            };
            bundle.databases.insert(database(index, zone_index), entry);
        }
    }
    Arc::new(bundle)
}

impl Mesh {
    /// Creates `count` nodes that know each other and have a bundle with `groups` groups
    /// in force.
    fn new(count: usize, groups: usize) -> Self {
        let mut mesh = Self {
            now: Timestamp::from_millis(1),
            machines: BTreeMap::new(),
            addresses: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            learned: BTreeMap::new(),
            sent: 0,
            unreachable: BTreeSet::new(),
        };
        for index in 0..count {
            mesh.add(index);
        }
        mesh.run(Duration::from_secs(20));
        for node in mesh.nodes() {
            mesh.deliver(node, NodeEvent::BundleInstalled(bundle(groups)));
        }
        mesh.run(Duration::from_secs(1));
        mesh
    }

    fn add(&mut self, index: usize) {
        let node = NodeId((index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let info = MemberInfo {
            node,
            zone: zone(index % ZONES),
            region: RegionName::new("region"),
            address: address(index),
        };
        let random = ChaCha8Rng::seed_from_u64(index as u64);
        let machine = NodeMachine::new(self.now, MembershipSettings::default(), info, random);
        self.machines.insert(node, machine);
        self.addresses.insert(address(index), node);
        self.push(self.now, node, NodeEvent::Seeds(vec![address(0)]));
    }

    fn nodes(&self) -> Vec<NodeId> {
        self.machines.keys().copied().collect()
    }

    fn push(&mut self, at: Timestamp, to: NodeId, event: NodeEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (to, event));
    }

    fn deliver(&mut self, node: NodeId, event: NodeEvent) {
        let Some(machine) = self.machines.get_mut(&node) else {
            return;
        };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        let wake = machine.next_wake().max(self.now);
        self.push(wake, node, NodeEvent::Timer);
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: NodeId, action: NodeAction) {
        let arrival = self.now + LATENCY;
        match action {
            NodeAction::SendDatagram { to, datagram } => {
                if let Some(to) = self.addresses.get(&to).copied() {
                    self.push(arrival, to, NodeEvent::Datagram(datagram));
                }
            }
            NodeAction::SendPeer { to, message } => {
                self.sent += usize::from(matches!(message, PeerMessage::LeadershipChange(_)));
                if !self.unreachable.contains(&to) {
                    let from = node;
                    self.push(arrival, to, NodeEvent::PeerMessage { from, message });
                }
            }
            NodeAction::LeadershipLearned(leadership) => {
                self.learned.entry(node).or_default().push(leadership);
            }
            _ => {}
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let (node, event) = entry.remove();
            self.now = self.now.max(at);
            let idle = matches!(event, NodeEvent::Timer)
                && self
                    .machines
                    .get(&node)
                    .is_some_and(|machine| machine.next_wake() > self.now);
            if !idle {
                self.deliver(node, event);
            }
        }
        self.now = end;
    }

    fn home(&self, database: &DatabaseName) -> NodeId {
        let homes: Vec<NodeId> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.is_home(database))
            .map(|(node, _)| *node)
            .collect();
        assert_eq!(homes.len(), 1, "every database has one home");
        homes[0]
    }

    fn learned(&self, node: NodeId) -> &[LeadershipUpdate] {
        self.learned.get(&node).map_or(&[], Vec::as_slice)
    }
}

fn leadership(group_index: usize, term: u32, primary: Option<usize>) -> LeadershipUpdate {
    LeadershipUpdate {
        group: group(group_index),
        term: Term(term),
        primary: primary.map(|zone_index| database(group_index, zone_index)),
        position: Position::new(term, 100),
    }
}

#[test]
fn a_change_reaches_only_homes_and_users_of_the_group() {
    let mut mesh = Mesh::new(12, 8);
    let nodes = mesh.nodes();
    let users = &nodes[2..6];
    for user in users {
        mesh.deliver(*user, NodeEvent::GroupUsed(group(3)));
    }
    mesh.run(Duration::from_millis(100));
    let observer = mesh.home(&database(3, 0));
    mesh.deliver(
        observer,
        NodeEvent::LeadershipObserved(leadership(3, 2, Some(1))),
    );
    mesh.run(Duration::from_millis(50));
    let homes: BTreeSet<NodeId> = (0..ZONES)
        .map(|zone_index| mesh.home(&database(3, zone_index)))
        .collect();
    for node in &nodes {
        let expected_to_learn = users.contains(node) || homes.contains(node);
        let expected = if expected_to_learn && *node != observer {
            vec![leadership(3, 2, Some(1))]
        } else {
            Vec::new()
        };
        assert_eq!(mesh.learned(*node), expected);
    }
    // Three homes notify four users and each other.
    assert!(mesh.sent <= 3 * (4 + 2), "{} messages", mesh.sent);
}

#[test]
fn only_newer_leadership_is_applied() {
    // (known term and primary, reported term and primary, whether the report is newer)
    let cases = [
        ((2, Some(0)), (1, Some(1)), false),
        ((2, Some(0)), (2, Some(1)), false),
        ((2, Some(0)), (2, None), false),
        ((2, None), (2, Some(1)), true),
        ((2, Some(0)), (3, None), true),
        ((0, None), (1, Some(2)), true),
    ];
    for (known, reported, is_newer) in cases {
        let mut mesh = Mesh::new(3, 1);
        let home = mesh.home(&database(0, 0));
        let from = mesh.home(&database(0, 1));
        let known = leadership(0, known.0, known.1);
        mesh.deliver(home, NodeEvent::LeadershipObserved(known.clone()));
        let message = PeerMessage::LeadershipChange(leadership(0, reported.0, reported.1));
        mesh.deliver(home, NodeEvent::PeerMessage { from, message });
        assert_eq!(
            !mesh.learned(home).is_empty(),
            is_newer,
            "{known:?} then {reported:?}"
        );
    }
}

#[test]
fn a_user_that_missed_a_change_learns_it_on_renewal() {
    let mut mesh = Mesh::new(12, 2);
    let homes: BTreeSet<NodeId> = (0..ZONES)
        .map(|zone_index| mesh.home(&database(0, zone_index)))
        .collect();
    let user = mesh.nodes().into_iter().find(|node| !homes.contains(node));
    let user = user.expect("not every node is a home of the group");
    mesh.deliver(user, NodeEvent::GroupUsed(group(0)));
    mesh.run(Duration::from_millis(100));
    mesh.unreachable.insert(user);
    let observer = mesh.home(&database(0, 0));
    mesh.deliver(
        observer,
        NodeEvent::LeadershipObserved(leadership(0, 5, Some(2))),
    );
    mesh.run(Duration::from_secs(1));
    assert!(mesh.learned(user).is_empty());
    mesh.unreachable.clear();
    mesh.run(Duration::from_secs(20));
    assert_eq!(mesh.learned(user), [leadership(0, 5, Some(2))]);
}

#[test]
fn a_user_with_newer_leadership_updates_the_homes() {
    let mut mesh = Mesh::new(6, 1);
    let homes: BTreeSet<NodeId> = (0..ZONES)
        .map(|zone_index| mesh.home(&database(0, zone_index)))
        .collect();
    let user = mesh.nodes().into_iter().find(|node| !homes.contains(node));
    let user = user.expect("not every node is a home of the group");
    mesh.deliver(
        user,
        NodeEvent::LeadershipObserved(leadership(0, 7, Some(1))),
    );
    mesh.run(Duration::from_millis(100));
    for home in homes {
        assert_eq!(mesh.learned(home), [leadership(0, 7, Some(1))]);
    }
}

#[test]
fn a_stopping_node_is_home_of_no_database() {
    let mut mesh = Mesh::new(6, 12);
    let node = mesh.home(&database(0, 0));
    let homed_databases: Vec<DatabaseName> =
        mesh.machines[&node].own_databases().cloned().collect();
    mesh.deliver(node, NodeEvent::StopRequested);
    assert_eq!(mesh.machines[&node].own_databases().count(), 0);
    mesh.run(Duration::from_millis(1_000));
    for database in homed_databases {
        assert_ne!(mesh.home(&database), node);
    }
}

#[test]
fn a_machine_listed_as_leaving_is_home_of_no_database() {
    let mut mesh = Mesh::new(6, 12);
    let node = mesh.home(&database(0, 0));
    let leaving = mesh.machines[&node].membership().own().address;
    let machines = |leaves: bool| {
        let machine = |address| PlatformMachine {
            address,
            leaving: leaves && address == leaving,
        };
        NodeEvent::PlatformMachines(mesh_addresses().map(machine).collect())
    };
    for other in mesh.nodes() {
        mesh.deliver(other, machines(true));
    }
    assert_ne!(mesh.home(&database(0, 0)), node);
    for other in mesh.nodes() {
        mesh.deliver(other, machines(false));
    }
    assert_eq!(mesh.home(&database(0, 0)), node);
}

fn mesh_addresses() -> impl Iterator<Item = SocketAddr> {
    (0..6).map(address)
}

#[test]
fn a_request_is_routed_to_the_home_and_then_to_the_next_candidate() {
    let mut mesh = Mesh::new(9, 4);
    let name = database(1, 1);
    let home = mesh.home(&name);
    let now = mesh.now;
    for (node, machine) in &mut mesh.machines {
        let route = machine.route(now, &group(1), &name, &mut Vec::new());
        let next = machine.route_after(&name, &[home]);
        if *node == home {
            assert_eq!(route, Some(Route::Here));
        } else {
            assert!(matches!(route, Some(Route::Peer { node, .. }) if node == home));
        }
        assert_ne!(next, route);
        let unknown = DatabaseName::new("unknown");
        assert_eq!(
            machine.route(now, &group(1), &unknown, &mut Vec::new()),
            None
        );
        assert_eq!(machine.route_after(&unknown, &[]), None);
    }
}
