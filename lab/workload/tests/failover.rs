//! Tests the measurement of the write gap during a change of primary.

use hookpoint_state::GroupName;
use hookpoint_workload::failover::{PrimaryChange, failover_gap};
use hookpoint_workload::history::{
    Operation, OperationResult, ProxyIndex, Record, SessionNumber, WriteKind,
};

const LOST: u64 = 100_000;
const ELECTED: u64 = 500_000;

fn write(group: &str, started: u64, ended: u64, acknowledged: bool) -> Record {
    let result = match acknowledged {
        true => OperationResult::Written { rows: 1 },
        false => OperationResult::Unknown {
            sqlstate: "08007".to_owned(),
        },
    };
    Record {
        session: SessionNumber(1),
        group: GroupName::new(group),
        proxy: ProxyIndex(0),
        started,
        ended,
        operation: Operation::Write {
            kind: WriteKind::Reminder,
            sequence: 1,
            attempt: 1,
        },
        result,
    }
}

fn gap_of(records: &[Record]) -> Option<(f64, f64, u64)> {
    let change = PrimaryChange {
        group: GroupName::new("a"),
        lost: LOST,
        elected: ELECTED,
    };
    failover_gap(records, &change).map(|gap| (gap.gap_ms, gap.election_ms, gap.held_writes))
}

#[test]
fn gap_is_measured_from_the_first_blocked_write() {
    let before = write("a", 10_000, 50_000, true);
    let in_flight = write("a", 90_000, 110_000, false);
    let answered = write("a", 95_000, 120_000, true);
    let blocked = write("a", 200_000, 700_000, true);
    let after = write("a", 800_000, 850_000, true);
    let other_group = write("b", 150_000, 600_000, true);
    let table = [
        ("no write at all", vec![], None),
        ("no write after the change", vec![before.clone()], None),
        (
            "one blocked write",
            vec![
                before.clone(),
                answered.clone(),
                blocked.clone(),
                after.clone(),
            ],
            Some((500.0, 300.0, 1)),
        ),
        (
            "a write in flight when the primary was lost",
            vec![in_flight, blocked.clone(), after],
            Some((600.0, 400.0, 2)),
        ),
        (
            "only writes of another group",
            vec![other_group.clone()],
            None,
        ),
        (
            "writes of another group and a blocked write",
            vec![other_group, blocked],
            Some((500.0, 300.0, 1)),
        ),
    ];
    for (name, records, expected) in table {
        assert_eq!(gap_of(&records), expected, "{name}");
    }
}
