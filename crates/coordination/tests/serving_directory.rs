//! Property test that compares the directory's indexes with a scan of all databases.

mod store;

use std::time::Duration;

use hookpoint_coordination::serving::departure::LearnedTimes;
use hookpoint_coordination::serving::directory::{Database, Directory, DirectoryEntry, StatedRole};
use hookpoint_state::{DatabaseName, GroupName, Timestamp, ZoneName};
use quickcheck::quickcheck;

const START: Timestamp = Timestamp(60_000_000);

fn database(number: u8, group: u8, draining: bool) -> Database {
    Database {
        name: DatabaseName::new(format!("db-{}", number % 16)),
        group: GroupName::new(format!("group-{}", group % 4)),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 3,
        draining,
        role: StatedRole::Replica,
        started: None,
        cold_for: Duration::ZERO,
    }
}

/// Applies one step to the directory: registers a database, removes its entry, or forgets databases
/// that have been missing for a while.
fn apply_step(directory: &mut Directory, step: (u8, u8, u8), revision: u64) {
    let (number, group, kind) = step;
    let at = START + Duration::from_secs(revision);
    let revision = store::revision(revision);
    let learned_times = LearnedTimes { at, not_before: at };
    match kind % 4 {
        0 => {
            directory.put(database(number, group, false), revision, learned_times);
        }
        1 => {
            directory.put(database(number, group, true), revision, learned_times);
        }
        2 => directory.remove(
            &database(number, group, false).name,
            revision,
            learned_times,
        ),
        _ => {
            directory.forget_missing(at - Duration::from_secs(5));
        }
    }
}

fn names<'a>(listed: impl Iterator<Item = &'a DirectoryEntry>) -> Vec<&'a DatabaseName> {
    listed.map(|listed| &listed.database.name).collect()
}

quickcheck! {
    fn indexes_match_a_scan_of_all_databases(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut directory = Directory::default();
        for (revision, step) in (1..).zip(steps) {
            apply_step(&mut directory, step, revision);
        }
        let groups_agree = (0..4).all(|number| {
            let group = GroupName::new(format!("group-{number}"));
            let control = directory.iter().filter(|listed| listed.database.group == group);
            names(directory.of_group(&group)) == names(control)
        });
        let control = directory.iter().filter(|listed| listed.departure.is_some());
        groups_agree && names(directory.leaving()) == names(control)
    }
}
