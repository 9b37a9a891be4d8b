//! Tests that a node accepts only approved, newer versions, whatever the order of
//! events.

use std::sync::Arc;

use bytes::Bytes;
use hookpoint_state::bundle::{
    Bundle, BundleDelta, BundleVersion, Database, Group, OperatorKey, SignatureError, SignedBundle,
    TrustedKeys,
};
use hookpoint_state::{NodeId, Timestamp, ZoneName};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::rollout::{
    BundleStore, Change, ChangeError, RolloutAction, RolloutEvent, RolloutMachine, RolloutMessage,
    SignedStore,
};

const NEWEST: u64 = 8;

fn key(number: u8) -> OperatorKey {
    OperatorKey::from_secret([number; 32])
}

fn store() -> SignedStore {
    SignedStore::new(TrustedKeys::read(&[key(1).public_text()]).expect("a key"))
}

fn machine(seed: u64) -> RolloutMachine<SignedStore> {
    RolloutMachine::new(Timestamp(0), store(), ChaCha8Rng::seed_from_u64(seed))
}

/// Returns a valid bundle whose contents depend on the version.
fn bundle(version: u64) -> Bundle {
    let mut bundle = Bundle::default().with_version(BundleVersion(version));
    bundle.zones.insert("z".into(), "r".into());
    let group = Group {
        database: "d".to_owned(),
        user: "u".to_owned(),
        reads: Default::default(),
        election_timeout_ms: 300,
    };
    bundle.groups.insert("g".into(), group);
    for number in 0..version.min(3) + 1 {
        let database = Database {
            group: "g".into(),
            zone: ZoneName::new("z"),
            address: format!("10.0.0.{}:5432", number + 1),
            slots: 5 + u32::try_from(version).unwrap_or(0),
        };
        bundle
            .databases
            .insert(format!("d{number}").into(), database);
    }
    bundle
}

fn signed_by(signer: u8, version: u64) -> SignedBundle {
    let bundle = Arc::new(bundle(version));
    let signatures = vec![key(signer).sign(bundle.version, bundle.digest())];
    SignedBundle { bundle, signatures }
}

fn full(version: u64) -> Bytes {
    Change::Full(signed_by(1, version)).encode()
}

fn delta(from: u64, to: u64) -> Bytes {
    let delta = BundleDelta::between(&bundle(from), &signed_by(1, to));
    Change::Delta(Box::new(delta)).encode()
}

/// Returns a change that must never come into force.
fn forged(kind: usize, version: u64) -> Bytes {
    let mut signed = signed_by(1, version);
    match kind % 4 {
        0 => signed.signatures.clear(),
        1 => signed = signed_by(2, version),
        2 => Arc::make_mut(&mut signed.bundle).limits.wait_ms += 1,
        _ => Arc::make_mut(&mut signed.bundle).version = BundleVersion(version + 1_000),
    }
    Change::Full(signed).encode()
}

#[derive(Clone, Debug)]
struct AnyEvent(u64, RolloutEvent);

impl Arbitrary for AnyEvent {
    fn arbitrary(generator: &mut Gen) -> Self {
        let version = u64::arbitrary(generator) % (NEWEST + 1);
        let node = NodeId(u64::arbitrary(generator) % 3 + 1);
        let change = match usize::arbitrary(generator) % 4 {
            0 => full(version),
            1 => delta(version.saturating_sub(1), version),
            2 => delta(version / 2, version),
            _ => forged(usize::arbitrary(generator), version),
        };
        let message = match usize::arbitrary(generator) % 6 {
            0 => RolloutMessage::Busy,
            1 => RolloutMessage::NothingNewer,
            2 => RolloutMessage::Pull {
                have: BundleVersion(version),
            },
            _ => RolloutMessage::Change(change.clone()),
        };
        let event = match usize::arbitrary(generator) % 10 {
            0 => RolloutEvent::ZoneRank(usize::arbitrary(generator) % 4),
            1 => RolloutEvent::PlatformVersion(BundleVersion(version)),
            2 => RolloutEvent::PlatformChange(change),
            3 => RolloutEvent::PlatformFailed,
            4 | 5 => RolloutEvent::PeerVersion {
                node,
                version: BundleVersion(version),
            },
            6 => RolloutEvent::PeerLost(node),
            7 | 8 => RolloutEvent::PeerMessage {
                from: node,
                message,
            },
            _ => RolloutEvent::Timer,
        };
        Self(u64::arbitrary(generator) % 200, event)
    }
}

#[test]
fn the_version_in_force_never_decreases_and_is_always_approved() {
    fn property(seed: u64, events: Vec<AnyEvent>) -> bool {
        let mut machine = machine(seed);
        let mut now = Timestamp(0);
        let mut highest = BundleVersion(0);
        let mut actions = Vec::new();
        for AnyEvent(millis, event) in events {
            now = now + std::time::Duration::from_millis(millis);
            machine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                if let RolloutAction::Install(version) = action {
                    if version <= highest {
                        return false;
                    }
                    highest = version;
                }
            }
            if machine.store().version() != highest || highest > BundleVersion(NEWEST) {
                return false;
            }
            let current = machine.store().current();
            if current.is_some_and(|signed| *signed.bundle != bundle(signed.version().0)) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 11))
        .tests(400)
        .quickcheck(property as fn(u64, Vec<AnyEvent>) -> bool);
}

/// Name, change and a predicate that its error must satisfy.
type RejectionCase = (&'static str, Bytes, fn(&ChangeError) -> bool);

#[test]
fn forged_and_damaged_changes_are_rejected() {
    let mut large = full(1).to_vec();
    large.resize(super::super::MAXIMUM_CHANGE_BYTES + 1, 0);
    let invalid = {
        let mut broken = bundle(1);
        broken.zones.clear();
        let bundle = Arc::new(broken);
        let signatures = vec![key(1).sign(bundle.version, bundle.digest())];
        Change::Full(SignedBundle { bundle, signatures }).encode()
    };
    let cases: Vec<RejectionCase> = vec![
        ("unsigned", forged(0, 1), |error| {
            *error == ChangeError::Signature(SignatureError::Unsigned)
        }),
        ("signed by an untrusted key", forged(1, 1), |error| {
            *error == ChangeError::Signature(SignatureError::NotTrusted)
        }),
        ("other contents", forged(2, 1), |error| {
            *error == ChangeError::Signature(SignatureError::Mismatch)
        }),
        ("another version", forged(3, 1), |error| {
            *error == ChangeError::Signature(SignatureError::Mismatch)
        }),
        (
            "not encoded",
            Bytes::from_static(b"\x07nonsense"),
            |error| *error == ChangeError::Malformed,
        ),
        ("too large", Bytes::from(large), |error| {
            *error == ChangeError::TooLarge
        }),
        ("signed but invalid", invalid, |error| {
            matches!(error, ChangeError::Rule(_))
        }),
        ("a delta without its base", delta(1, 2), |error| {
            matches!(error, ChangeError::Delta(_))
        }),
    ];
    for (name, change, expected) in cases {
        let mut store = store();
        let error = store.apply(&change).expect_err(name);
        assert!(expected(&error), "{name}: {error:?}");
        assert_eq!(store.version(), BundleVersion(0), "{name}");
    }
}

#[test]
fn an_older_version_from_the_platform_is_ignored() {
    let mut machine = machine(1);
    let mut actions = Vec::new();
    machine.handle(Timestamp(0), RolloutEvent::ZoneRank(0), &mut actions);
    machine.handle(
        Timestamp(1),
        RolloutEvent::PlatformChange(full(5)),
        &mut actions,
    );
    assert_eq!(actions, vec![RolloutAction::Install(BundleVersion(5))]);
    actions.clear();
    let old = RolloutEvent::PlatformVersion(BundleVersion(3));
    machine.handle(Timestamp(2), old, &mut actions);
    machine.handle(
        Timestamp(3),
        RolloutEvent::PlatformChange(full(3)),
        &mut actions,
    );
    assert_eq!(actions, vec![]);
    assert_eq!(machine.store().version(), BundleVersion(5));
}

#[test]
fn known_versions_get_deltas_and_unknown_ones_the_whole_bundle() {
    let mut store = store();
    for version in 1..=NEWEST {
        let installed = store.apply(&full(version));
        assert_eq!(installed, Ok(Some(BundleVersion(version))));
    }
    let change = |have: u64| {
        let bytes = store.change_since(BundleVersion(have)).expect("a change");
        postcard::from_bytes::<Change>(&bytes).expect("an encoded change")
    };
    assert!(matches!(change(0), Change::Full(_)));
    for have in 1..NEWEST {
        let Change::Delta(delta) = change(have) else {
            panic!("a delta is kept for version {have}");
        };
        assert_eq!(delta.apply(&bundle(have)), Ok(bundle(NEWEST)));
    }
    assert_eq!(store.change_since(BundleVersion(NEWEST)), None);
    assert_eq!(store.change_since(BundleVersion(NEWEST + 1)), None);
}

#[test]
fn a_delta_that_does_not_apply_is_followed_by_a_pull_of_the_whole_bundle() {
    let mut machine = machine(3);
    let mut actions = Vec::new();
    let holder = NodeId(9);
    let mut now = Timestamp(0);
    machine.handle(now, RolloutEvent::PlatformChange(full(2)), &mut actions);
    let report = RolloutEvent::PeerVersion {
        node: holder,
        version: BundleVersion(6),
    };
    machine.handle(now, report, &mut actions);
    let mut pulls = Vec::new();
    for answer in [delta(4, 6), full(6)] {
        now = machine.next_wake().expect("a pull is scheduled");
        machine.handle(now, RolloutEvent::Timer, &mut actions);
        pulls.extend(actions.drain(..).filter_map(|action| match action {
            RolloutAction::SendPeer {
                message: RolloutMessage::Pull { have },
                ..
            } => Some(have.0),
            _ => None,
        }));
        let message = RolloutMessage::Change(answer);
        let event = RolloutEvent::PeerMessage {
            from: holder,
            message,
        };
        machine.handle(now, event, &mut actions);
    }
    assert_eq!(pulls, vec![2, 0]);
    assert_eq!(machine.store().version(), BundleVersion(6));
}
