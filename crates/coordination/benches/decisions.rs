//! Benchmarks of the decisions that are made for every request or message.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use hookpoint_coordination::home::HomeTable;
use hookpoint_coordination::membership::{
    Datagram, DatagramBody, MemberInfo, MemberState, MemberUpdate, Membership, MembershipEvent,
    MembershipSettings, Sender,
};
use hookpoint_coordination::request::{
    Access, RequestEvent, RequestMachine, RequestProfile, Unit, UnitResult,
};
use hookpoint_coordination::slots::{
    Lane, RequestNumber, SlotAction, SlotEvent, SlotPolicy, SlotTable, WaitingRequest,
};
use hookpoint_coordination::status::{BackendStatus, FlushedReplica, Role};
use hookpoint_coordination::terms::{GroupMember, Proximity, TermTable};
use hookpoint_state::bundle::ReadPreference;
use hookpoint_state::{
    BundleVersion, DatabaseName, GroupName, Lsn, NodeId, Position, RegionName, SessionId,
    TenantName, Term, Timestamp, ZoneName,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Groups in the table of terms; with three databases each they make 3,000 databases.
const GROUPS: usize = 1_000;
/// Members of the fleet.
const NODES: u64 = 1_500;

fn group(index: usize) -> GroupName {
    GroupName::new(format!("group-{index}"))
}

fn database(group: usize, index: usize) -> DatabaseName {
    DatabaseName::new(format!("group-{group}-{index}"))
}

fn status(role: Role, position: u64) -> BackendStatus {
    let flushed = (1..3).map(|index| FlushedReplica {
        name: database(7, index).as_str().to_owned(),
        position: Lsn(position),
    });
    BackendStatus {
        role,
        term: Term(1),
        position: Lsn(position),
        flushed: flushed.collect(),
    }
}

fn term_table() -> TermTable {
    let mut table = TermTable::new();
    for index in 0..GROUPS {
        let members = (0..3).map(|member| GroupMember {
            name: database(index, member),
            proximity: Proximity::SameRegion,
            draining: false,
        });
        table.configure(&group(index), ReadPreference::Replica, members);
        for member in 0..3 {
            let role = [Role::Primary, Role::Replica, Role::Replica][member];
            let now = Timestamp::from_millis(1);
            table.apply_status(
                now,
                &group(index),
                &database(index, member),
                &status(role, 100),
            );
        }
    }
    table
}

fn profile(access: Access) -> RequestProfile {
    RequestProfile {
        session: SessionId(1),
        tenant: TenantName::new("clinic"),
        group: group(7),
        zone: ZoneName::new("zone-1"),
        unit: Unit {
            access,
            may_commit: access == Access::Write,
        },
        required: Some(Position::new(1, 90)),
        deadline: Timestamp::from_millis(10_000),
    }
}

/// Runs one request from beginning to end without faults. Returns the number of actions.
fn run_request(table: &TermTable, access: Access) -> usize {
    let now = Timestamp::from_millis(2);
    let index = if access == Access::Read { 1 } else { 0 };
    let role = if access == Access::Read {
        Role::Replica
    } else {
        Role::Primary
    };
    let mut machine = RequestMachine::new(profile(access), Duration::from_secs(5));
    let mut actions = Vec::new();
    let events = [
        RequestEvent::Begin,
        RequestEvent::LeaseGranted {
            database: database(7, index),
        },
        RequestEvent::CheckAnswered {
            status: status(role, 100),
        },
        RequestEvent::UnitFinished {
            result: UnitResult::Succeeded,
            in_transaction: false,
        },
        RequestEvent::ProbeAnswered {
            status: status(role, 110),
        },
    ];
    for event in events {
        let view = table.view(&group(7)).expect("the group is configured");
        machine.handle(now, view, event, &mut actions);
    }
    assert!(machine.is_finished());
    actions.len()
}

fn requests(criterion: &mut Criterion) {
    let table = term_table();
    for (name, access) in [("read", Access::Read), ("write", Access::Write)] {
        criterion.bench_function(&format!("request/{name}"), |bencher| {
            bencher.iter(|| run_request(&table, black_box(access)));
        });
    }
}

fn terms(criterion: &mut Criterion) {
    let mut table = term_table();
    let (group, database) = (group(7), database(7, 1));
    let mut position = 100;
    criterion.bench_function("terms/observe", |bencher| {
        bencher.iter(|| {
            position += 1;
            let now = Timestamp::from_millis(position);
            table.apply_status(now, &group, &database, &status(Role::Replica, position))
        });
    });
}

fn slots(criterion: &mut Criterion) {
    let policy = SlotPolicy {
        slots: 5,
        queue_limit: 1_000,
        tenants: Default::default(),
        minimum_idle: 1,
        idle_time: Duration::from_secs(10),
    };
    let mut table = SlotTable::new(policy, 1);
    let mut actions = Vec::new();
    let mut number = 0;
    let now = Timestamp::from_millis(1);
    criterion.bench_function("slots/take_and_return", |bencher| {
        bencher.iter(|| {
            number += 1;
            let request = WaitingRequest {
                number: RequestNumber(number),
                tenant: TenantName::new("clinic"),
                zone: ZoneName::new("zone-1"),
                session: SessionId(number),
                deadline: Timestamp::from_millis(10_000),
                lane: Lane::Work,
            };
            table.handle(now, SlotEvent::Request(request), &mut actions);
            while let Some(action) = actions.pop() {
                let event = match action {
                    SlotAction::OpenConnection(connection) => {
                        SlotEvent::ConnectionOpened(connection)
                    }
                    SlotAction::Grant { connection, .. } => SlotEvent::ConnectionReturned {
                        connection,
                        reusable: true,
                    },
                    other => panic!("an unexpected action: {other:?}"),
                };
                table.handle(now, event, &mut actions);
            }
        });
    });
}

fn info(node: u64) -> MemberInfo {
    MemberInfo {
        node: NodeId(node),
        zone: ZoneName::new(format!("zone-{}", node % 5)),
        region: RegionName::new(format!("region-{}", node % 2)),
        address: format!("127.0.0.1:{}", 1_000 + node)
            .parse()
            .expect("an address"),
    }
}

fn gossip(receiver: u64, incarnation: u32) -> Datagram {
    Datagram {
        sender: Sender {
            node: NodeId(2),
            incarnation: 0,
            leaving: false,
            bundle: BundleVersion(1),
            digest: 0,
            info: None,
        },
        receiver: Some(NodeId(receiver)),
        body: DatagramBody::Gossip,
        updates: (3..13)
            .map(|node| MemberUpdate {
                node: NodeId(node),
                incarnation,
                state: MemberState::Alive,
                info: Some(info(node).into()),
            })
            .collect(),
    }
}

fn membership(criterion: &mut Criterion) {
    let now = Timestamp::from_millis(1);
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut machine = Membership::new(now, MembershipSettings::default(), info(1), random);
    let mut actions = Vec::new();
    let mut join = gossip(1, 0);
    join.updates = (2..=NODES)
        .map(|node| MemberUpdate {
            node: NodeId(node),
            incarnation: 0,
            state: MemberState::Alive,
            info: Some(info(node).into()),
        })
        .collect();
    machine.handle(now, MembershipEvent::Datagram(join.into()), &mut actions);
    let mut incarnation = 0;
    criterion.bench_function("membership/merge_10_updates", |bencher| {
        bencher.iter(|| {
            incarnation += 1;
            actions.clear();
            let datagram = gossip(1, incarnation).into();
            machine.handle(now, MembershipEvent::Datagram(datagram), &mut actions);
        });
    });
}

fn homes(criterion: &mut Criterion) {
    let mut table = HomeTable::new(NodeId(1));
    let zones: Vec<ZoneName> = (0..5)
        .map(|zone| ZoneName::new(format!("zone-{zone}")))
        .collect();
    let names: Vec<DatabaseName> = (0..GROUPS)
        .flat_map(|group| (0..3).map(move |index| database(group, index)))
        .collect();
    let indexed_names = names.iter().enumerate();
    table.configure(indexed_names.map(|(index, name)| (name, &zones[index % 5], None)));
    for node in 1..=NODES {
        let member = info(node);
        table.add(member.node, &member.zone, &member.region);
    }
    let member = info(NODES);
    criterion.bench_function("home/leave_and_join", |bencher| {
        bencher.iter(|| {
            table.remove(member.node);
            table.add(member.node, &member.zone, &member.region)
        });
    });
    criterion.bench_function("home/find", |bencher| {
        bencher.iter(|| table.home_of(black_box(&names[100])));
    });
}

criterion_group!(benches, requests, terms, slots, membership, homes);
criterion_main!(benches);
