//! Tests of the choice of home nodes.

use std::collections::BTreeMap;

use hookpoint_coordination::home::{DatabaseKey, HomeTable, score};
use hookpoint_state::{DatabaseName, NodeId, RegionName, ZoneName};
use quickcheck::{Gen, QuickCheck};

const DATABASES: usize = 300;

fn zone(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{index}"))
}

fn region(zone: usize) -> RegionName {
    RegionName::new(format!("region-{}", zone / 3))
}

fn node(index: usize) -> NodeId {
    NodeId((index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

fn configure(table: &mut HomeTable, zones: usize) -> Vec<DatabaseName> {
    let databases: Vec<(DatabaseName, ZoneName, RegionName)> = (0..DATABASES)
        .map(|index| {
            let name = DatabaseName::new(format!("database-{index}"));
            (name, zone(index % zones), region(index % zones))
        })
        .collect();
    table.configure(
        databases
            .iter()
            .map(|(name, zone, region)| (name, zone, Some(region))),
    );
    databases.into_iter().map(|(name, _, _)| name).collect()
}

fn homes(table: &mut HomeTable, names: &[DatabaseName]) -> BTreeMap<DatabaseName, Option<NodeId>> {
    names
        .iter()
        .map(|name| (name.clone(), table.home_of(name)))
        .collect()
}

#[test]
fn scores_are_the_same_in_every_build() {
    let key = DatabaseKey::new(&DatabaseName::new("mensajes-1a"));
    assert_eq!(score(key, NodeId(1)), SCORE_OF_NODE_1);
    assert_eq!(score(key, NodeId(2)), SCORE_OF_NODE_2);
}

const SCORE_OF_NODE_1: u64 = 7_770_878_682_467_136_764;
const SCORE_OF_NODE_2: u64 = 17_037_056_578_443_886_453;

#[test]
fn an_added_node_takes_over_only_its_share() {
    for count in [3, 10, 50] {
        let mut table = HomeTable::new(node(0));
        let names = configure(&mut table, 1);
        for index in 0..count {
            table.add(node(index), &zone(0), &region(0));
        }
        let before = homes(&mut table, &names);
        table.add(node(count), &zone(0), &region(0));
        let after = homes(&mut table, &names);
        let moved = names.iter().filter(|name| before[*name] != after[*name]);
        let mut moved_count = 0;
        for name in moved {
            assert_eq!(after[name], Some(node(count)));
            moved_count += 1;
        }
        assert!(
            moved_count <= 2 * DATABASES / (count + 1),
            "{moved_count} of {DATABASES} moved"
        );
        table.remove(node(count));
        assert_eq!(homes(&mut table, &names), before);
    }
}

#[test]
fn homes_are_chosen_from_the_zone_then_the_region_then_the_fleet() {
    let mut table = HomeTable::new(node(0));
    let names = configure(&mut table, 1);
    let name = &names[0];
    assert_eq!(table.home_of(name), None);
    table.add(node(1), &zone(4), &region(4));
    assert_eq!(table.home_of(name), Some(node(1)));
    table.add(node(2), &zone(1), &region(1));
    assert_eq!(table.home_of(name), Some(node(2)));
    table.add(node(3), &zone(0), &region(0));
    assert_eq!(table.home_of(name), Some(node(3)));
    table.remove(node(3));
    assert_eq!(table.home_of(name), Some(node(2)));
}

/// A sequence of joins and departures results in the same homes as computing them from
/// scratch.
#[test]
fn incremental_changes_equal_a_full_computation() {
    fn property(steps: Vec<u8>) -> bool {
        const NODES: usize = 24;
        const ZONES: usize = 5;
        let mut table = HomeTable::new(node(0));
        let names = configure(&mut table, ZONES);
        let mut own_databases = std::collections::BTreeSet::new();
        let mut present = [false; NODES];
        for step in steps {
            let index = usize::from(step) % NODES;
            let zone_index = index % ZONES;
            let changes = if present[index] {
                table.remove(node(index))
            } else {
                table.add(node(index), &zone(zone_index), &region(zone_index))
            };
            present[index] = !present[index];
            for change in changes {
                if change.is_home {
                    assert!(own_databases.insert(change.database));
                } else {
                    assert!(own_databases.remove(&change.database));
                }
            }
        }
        let mut fresh = HomeTable::new(node(0));
        for index in (0..NODES).filter(|index| present[*index]) {
            fresh.add(node(index), &zone(index % ZONES), &region(index % ZONES));
        }
        configure(&mut fresh, ZONES);
        let expected: std::collections::BTreeSet<DatabaseName> =
            fresh.own_databases().cloned().collect();
        own_databases == expected && homes(&mut table, &names) == homes(&mut fresh, &names)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 4))
        .tests(200)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
