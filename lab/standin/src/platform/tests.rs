//! Properties of the store under random changes from fixed seeds.

use super::lease::LeaseTable;
use super::message::{EventKind, KeyValue};
use super::range::KeyRange;
use super::store::{Changes, FIRST_REVISION, Put, Store};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SEEDS: u64 = 200;
const STEPS: usize = 60;
const LARGE_HISTORY: usize = 1_000_000;

#[derive(Debug, Clone)]
enum Step {
    Put(u8, u8),
    PutLeased(u8, i64),
    Delete(u8),
    DeleteRange(u8, u8),
    PutAndDelete(u8, u8),
    Expire(i64),
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let key = u8::arbitrary(random) % 6;
        let other = u8::arbitrary(random) % 6;
        let lease = i64::from(u8::arbitrary(random) % 3) + 1;
        match u8::arbitrary(random) % 8 {
            0..=2 => Self::Put(key, other),
            3 => Self::PutLeased(key, lease),
            4 => Self::Delete(key),
            5 => Self::DeleteRange(key, other),
            6 => Self::PutAndDelete(key, other),
            _ => Self::Expire(lease),
        }
    }
}

fn key(number: u8) -> Vec<u8> {
    vec![b'k', number]
}

fn put(store: &mut Store, number: u8, value: u8, lease: i64) {
    store.put(Put {
        key: key(number),
        value: Some(vec![value]),
        lease: Some(lease),
    });
}

fn apply(store: &mut Store, step: &Step, now: Instant) {
    match *step {
        Step::Put(number, value) => put(store, number, value, 0),
        Step::PutLeased(number, lease) => {
            // Granted again if it has expired; rejected if it is still active.
            let _already_active = store.grant_lease(lease, 60, now);
            put(store, number, 0, lease);
        }
        Step::Delete(number) => {
            store.delete(&KeyRange::One(key(number)));
        }
        Step::DeleteRange(first, last) => {
            store.delete(&KeyRange::Between(key(first), key(last)));
        }
        Step::PutAndDelete(first, second) => {
            put(store, first, second, 0);
            if first != second {
                store.delete(&KeyRange::One(key(second)));
            }
        }
        Step::Expire(lease) => {
            // Fails when the lease is not active.
            let _ended = store.end_lease(lease);
        }
    }
    store.commit();
}

type Snapshot = BTreeMap<Vec<u8>, KeyValue>;

fn all() -> KeyRange {
    KeyRange::From(vec![0])
}

fn snapshot(store: &Store, revision: i64) -> Snapshot {
    let items = store.range(&all(), revision, 0).items;
    items
        .into_iter()
        .map(|item| (item.key.clone(), item))
        .collect()
}

/// Runs random steps and returns the store with a snapshot of every revision.
fn run(seed: u64, history: usize) -> (Store, BTreeMap<i64, Snapshot>) {
    let mut random = Gen::from_size_and_seed(STEPS, seed);
    let mut store = Store::new(history, 1);
    let now = Instant::now();
    let mut snapshots = BTreeMap::from([(FIRST_REVISION, Snapshot::new())]);
    for _ in 0..STEPS {
        let step = Step::arbitrary(&mut random);
        let before = store.revision();
        apply(&mut store, &step, now);
        assert!(
            store.revision() - before <= 1,
            "seed {seed}: one change, one revision"
        );
        let taken = snapshot(&store, store.revision());
        let known = snapshots
            .entry(store.revision())
            .or_insert_with(|| taken.clone());
        assert_eq!(
            *known, taken,
            "seed {seed}: {step:?} changed without a new revision"
        );
    }
    (store, snapshots)
}

/// Applies the events from a revision on to a snapshot; `None` when they have been
/// compacted.
fn replay(store: &Store, from: i64, mut state: Snapshot) -> Option<Snapshot> {
    let Changes::Events(events, next) = store.changes(&all(), from, store.revision()) else {
        return None;
    };
    assert_eq!(next, store.revision() + 1);
    assert!(events.is_sorted_by_key(|event| event.kv.mod_revision));
    for event in events {
        assert_eq!(event.prev_kv.as_ref(), state.get(&event.kv.key));
        match event.kind {
            EventKind::Put => state.insert(event.kv.key.clone(), event.kv),
            EventKind::Delete => state.remove(&event.kv.key),
        };
    }
    Some(state)
}

#[test]
fn every_revision_is_readable_and_watchable() {
    for seed in 0..SEEDS {
        let (store, snapshots) = run(seed, LARGE_HISTORY);
        let newest = snapshot(&store, store.revision());
        for (revision, taken) in &snapshots {
            assert_eq!(
                snapshot(&store, *revision),
                *taken,
                "seed {seed}, revision {revision}"
            );
            let replayed = replay(&store, revision + 1, taken.clone());
            assert_eq!(
                replayed,
                Some(newest.clone()),
                "seed {seed}, from {revision}"
            );
        }
    }
}

#[test]
fn compaction_keeps_newer_revisions_and_reports_older_ones_as_compacted() {
    for seed in 0..SEEDS {
        let (mut store, snapshots) = run(seed, LARGE_HISTORY);
        let newest = store.revision();
        let oldest = FIRST_REVISION + (newest - FIRST_REVISION) / 2;
        store.compact(oldest).expect("compacted");
        for (revision, taken) in &snapshots {
            let readable = store.check_revision(*revision, newest).is_ok();
            assert_eq!(readable, *revision >= oldest, "seed {seed}");
            let replayed = replay(&store, revision + 1, taken.clone());
            assert_eq!(replayed.is_some(), *revision >= oldest, "seed {seed}");
            if readable {
                assert_eq!(
                    snapshot(&store, *revision),
                    *taken,
                    "seed {seed}, {revision}"
                );
            }
        }
    }
}

#[test]
fn bounded_history_keeps_every_newest_value() {
    for seed in 0..SEEDS {
        let (unbounded, snapshots) = run(seed, LARGE_HISTORY);
        let (bounded, _) = run(seed, 8);
        assert_eq!(bounded.revision(), unbounded.revision(), "seed {seed}");
        let newest = snapshot(&bounded, bounded.revision());
        assert_eq!(
            Some(&newest),
            snapshots.get(&bounded.revision()),
            "seed {seed}"
        );
        let gone = history_is_compacted(&bounded);
        assert!(gone || unbounded.revision() <= 9, "seed {seed}");
    }
}

fn history_is_compacted(store: &Store) -> bool {
    let changes = store.changes(&all(), FIRST_REVISION, store.revision());
    matches!(changes, Changes::Compacted(_))
}

#[test]
fn restore_recovers_the_older_state_and_its_lease_bindings() {
    for seed in 0..SEEDS {
        let (mut store, snapshots) = run(seed, LARGE_HISTORY);
        let revision = FIRST_REVISION + (store.revision() - FIRST_REVISION) / 3;
        store.restore(revision).expect("restored");
        assert_eq!(store.revision(), revision);
        assert_eq!(
            Some(&snapshot(&store, revision)),
            snapshots.get(&revision),
            "seed {seed}"
        );
        let now = Instant::now();
        for lease in store.lease_identifiers() {
            let bound: Vec<Vec<u8>> = snapshot(&store, revision)
                .into_values()
                .filter(|item| item.lease == lease)
                .map(|item| item.key)
                .collect();
            let state = store.lease_state(lease, now).expect("an active lease");
            assert_eq!(state.keys, bound, "seed {seed}");
        }
        put(&mut store, 0, 9, 0);
        assert_eq!(store.commit(), revision + 1, "seed {seed}");
    }
}

#[test]
fn leases_expire_at_their_deadline_and_not_before() {
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let cases = [
        ("not renewed, before", 5, &[][..], 4.9, true),
        ("not renewed, at", 5, &[][..], 5.0, false),
        ("renewed, before", 5, &[3.0][..], 7.9, true),
        ("renewed, at", 5, &[3.0][..], 8.0, false),
        ("renewed twice", 5, &[3.0, 7.0][..], 11.9, true),
        ("raised to the minimum", 0, &[][..], 1.9, true),
        ("raised to the minimum, at", 0, &[][..], 2.0, false),
    ];
    for (name, ttl, renewals, moment, active) in cases {
        let mut leases = LeaseTable::new(2);
        leases.grant(1, ttl, start).expect("granted");
        for renewal in renewals {
            assert!(leases.keep_alive(1, at(*renewal)).is_some(), "{name}");
        }
        assert_eq!(leases.expired(at(moment)).is_empty(), active, "{name}");
    }
}
