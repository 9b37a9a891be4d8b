//! The spread of leadership changes among node machines, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::membership::{MemberInfo, MembershipSettings};
use hookpoint_coordination::node::{
    LeadershipNews, NodeAction, NodeEvent, NodeMachine, PeerMessage, PlatformMachine, Route,
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
    learnt: BTreeMap<NodeId, Vec<LeadershipNews>>,
    /// Leadership messages sent.
    sent: usize,
    /// Nodes whose links lose every message.
    deaf: BTreeSet<NodeId>,
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
        for place in 0..ZONES {
            let entry = Database {
                group: group(index),
                zone: zone(place),
                address: "10.9.9.9:5432".to_owned(),
                slots: 5,
            };
            bundle.databases.insert(database(index, place), entry);
        }
    }
    Arc::new(bundle)
}

impl Mesh {
    /// `count` nodes that know each other and have a bundle of `groups` in force.
    fn new(count: usize, groups: usize) -> Self {
        let mut mesh = Self {
            now: Timestamp::from_millis(1),
            machines: BTreeMap::new(),
            addresses: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            learnt: BTreeMap::new(),
            sent: 0,
            deaf: BTreeSet::new(),
        };
        for index in 0..count {
            mesh.add(index);
        }
        mesh.run(Duration::from_secs(20));
        for node in mesh.nodes() {
            mesh.tell(node, NodeEvent::BundleInstalled(bundle(groups)));
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

    fn tell(&mut self, node: NodeId, event: NodeEvent) {
        let Some(machine) = self.machines.get_mut(&node) else {
            return;
        };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        let wake = machine.next_wake().max(self.now);
        self.push(wake, node, NodeEvent::Timer);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: NodeId, action: NodeAction) {
        let arrival = self.now + LATENCY;
        match action {
            NodeAction::SendDatagram { to, datagram } => {
                if let Some(to) = self.addresses.get(&to).copied() {
                    self.push(arrival, to, NodeEvent::Datagram(datagram));
                }
            }
            NodeAction::SendPeer { to, message } => {
                self.sent += usize::from(matches!(message, PeerMessage::LeadershipChange(_)));
                if !self.deaf.contains(&to) {
                    let from = node;
                    self.push(arrival, to, NodeEvent::PeerMessage { from, message });
                }
            }
            NodeAction::LeadershipLearned(news) => {
                self.learnt.entry(node).or_default().push(news);
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
                self.tell(node, event);
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

    fn learnt(&self, node: NodeId) -> &[LeadershipNews] {
        self.learnt.get(&node).map_or(&[], Vec::as_slice)
    }
}

fn news(group_index: usize, term: u32, primary: Option<usize>) -> LeadershipNews {
    LeadershipNews {
        group: group(group_index),
        term: Term(term),
        primary: primary.map(|place| database(group_index, place)),
        place: Position::new(term, 100),
    }
}

#[test]
fn a_change_reaches_those_who_use_the_group_and_nobody_else() {
    let mut mesh = Mesh::new(12, 8);
    let nodes = mesh.nodes();
    let users = &nodes[2..6];
    for user in users {
        mesh.tell(*user, NodeEvent::GroupUsed(group(3)));
    }
    mesh.run(Duration::from_millis(100));
    let observer = mesh.home(&database(3, 0));
    mesh.tell(observer, NodeEvent::LeadershipObserved(news(3, 2, Some(1))));
    mesh.run(Duration::from_millis(50));
    let homes: BTreeSet<NodeId> = (0..ZONES)
        .map(|place| mesh.home(&database(3, place)))
        .collect();
    for node in &nodes {
        let concerned = users.contains(node) || homes.contains(node);
        let expected = if concerned && *node != observer {
            vec![news(3, 2, Some(1))]
        } else {
            Vec::new()
        };
        assert_eq!(mesh.learnt(*node), expected);
    }
    // Three homes tell four users and each other.
    assert!(mesh.sent <= 3 * (4 + 2), "{} messages", mesh.sent);
}

#[test]
fn older_news_change_nothing() {
    // (term and primary known, term and primary told, whether it is news)
    let cases = [
        ((2, Some(0)), (1, Some(1)), false),
        ((2, Some(0)), (2, Some(1)), false),
        ((2, Some(0)), (2, None), false),
        ((2, None), (2, Some(1)), true),
        ((2, Some(0)), (3, None), true),
        ((0, None), (1, Some(2)), true),
    ];
    for (known, told, is_news) in cases {
        let mut mesh = Mesh::new(3, 1);
        let home = mesh.home(&database(0, 0));
        let from = mesh.home(&database(0, 1));
        let known = news(0, known.0, known.1);
        mesh.tell(home, NodeEvent::LeadershipObserved(known.clone()));
        let message = PeerMessage::LeadershipChange(news(0, told.0, told.1));
        mesh.tell(home, NodeEvent::PeerMessage { from, message });
        assert_eq!(
            !mesh.learnt(home).is_empty(),
            is_news,
            "{known:?} then {told:?}"
        );
    }
}

#[test]
fn a_user_that_missed_a_change_learns_it_when_it_renews() {
    let mut mesh = Mesh::new(12, 2);
    let homes: BTreeSet<NodeId> = (0..ZONES)
        .map(|place| mesh.home(&database(0, place)))
        .collect();
    let user = mesh.nodes().into_iter().find(|node| !homes.contains(node));
    let user = user.expect("not every node is a home of the group");
    mesh.tell(user, NodeEvent::GroupUsed(group(0)));
    mesh.run(Duration::from_millis(100));
    mesh.deaf.insert(user);
    let observer = mesh.home(&database(0, 0));
    mesh.tell(observer, NodeEvent::LeadershipObserved(news(0, 5, Some(2))));
    mesh.run(Duration::from_secs(1));
    assert!(mesh.learnt(user).is_empty());
    mesh.deaf.clear();
    mesh.run(Duration::from_secs(20));
    assert_eq!(mesh.learnt(user), [news(0, 5, Some(2))]);
}

#[test]
fn a_user_ahead_of_the_homes_tells_them() {
    let mut mesh = Mesh::new(6, 1);
    let homes: BTreeSet<NodeId> = (0..ZONES)
        .map(|place| mesh.home(&database(0, place)))
        .collect();
    let user = mesh.nodes().into_iter().find(|node| !homes.contains(node));
    let user = user.expect("not every node is a home of the group");
    mesh.tell(user, NodeEvent::LeadershipObserved(news(0, 7, Some(1))));
    mesh.run(Duration::from_millis(100));
    for home in homes {
        assert_eq!(mesh.learnt(home), [news(0, 7, Some(1))]);
    }
}

#[test]
fn a_stopping_node_gives_up_its_duties_at_once() {
    let mut mesh = Mesh::new(6, 12);
    let node = mesh.home(&database(0, 0));
    let held: Vec<DatabaseName> = mesh.machines[&node].held().cloned().collect();
    mesh.tell(node, NodeEvent::StopRequested);
    assert_eq!(mesh.machines[&node].held().count(), 0);
    mesh.run(Duration::from_millis(1_000));
    for database in held {
        assert_ne!(mesh.home(&database), node);
    }
}

#[test]
fn a_machine_that_the_platform_calls_leaving_gets_no_duties() {
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
        mesh.tell(other, machines(true));
    }
    assert_ne!(mesh.home(&database(0, 0)), node);
    for other in mesh.nodes() {
        mesh.tell(other, machines(false));
    }
    assert_eq!(mesh.home(&database(0, 0)), node);
}

fn mesh_addresses() -> impl Iterator<Item = SocketAddr> {
    (0..6).map(address)
}

#[test]
fn a_request_goes_home_and_then_to_the_next_choice() {
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
