//! Benchmarks of operations on a bundle of 3,000 databases.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{Criterion, criterion_group, criterion_main};
use hookpoint_state::bundle::{
    Bundle, BundleDelta, BundleVersion, Database, Group, OperatorKey, SignedBundle, TrustedKeys,
    parse_bundle,
};
use hookpoint_state::{DatabaseName, GroupName, ZoneName};

const DATABASES: usize = 3_000;

fn large_bundle(version: u64) -> Bundle {
    let mut bundle = Bundle::default().with_version(BundleVersion(version));
    bundle.zones.insert("zone".into(), "region".into());
    for number in 0..DATABASES {
        let group = GroupName::new(format!("group-{}", number / 3));
        let entry = Group {
            database: "messages".to_owned(),
            user: "hookpoint".to_owned(),
            reads: Default::default(),
            election_timeout_ms: 300,
        };
        bundle.groups.insert(group.clone(), entry);
        let entry = Database {
            group,
            zone: ZoneName::new("zone"),
            address: format!("10.1.{}.{}:5432", number / 250, number % 250),
            slots: 5,
        };
        let name = DatabaseName::new(format!("group-{}-{}", number / 3, number % 3));
        bundle.databases.insert(name, entry);
    }
    bundle
}

fn measure(criterion: &mut Criterion) {
    let bundle = large_bundle(1);
    let text = toml::to_string(&bundle).unwrap_or_default();
    let mut next = large_bundle(2);
    next.drain.insert("group-7-1".into());
    let key = OperatorKey::from_secret([1; 32]);
    let signatures = vec![key.sign(next.version, next.digest())];
    let next = SignedBundle {
        bundle: Arc::new(next),
        signatures,
    };
    let delta = BundleDelta::between(&bundle, &next);
    let trusted = TrustedKeys::read(&[key.public_text()]).unwrap_or_default();

    criterion.bench_function("bundle/parse", |bench| {
        bench.iter(|| parse_bundle("bench", black_box(&text)));
    });
    criterion.bench_function("bundle/check", |bench| {
        bench.iter(|| black_box(&bundle).check());
    });
    criterion.bench_function("bundle/digest", |bench| {
        bench.iter(|| black_box(&bundle).digest());
    });
    criterion.bench_function("bundle/delta", |bench| {
        bench.iter(|| BundleDelta::between(black_box(&bundle), &next));
    });
    criterion.bench_function("bundle/apply", |bench| {
        bench.iter(|| delta.apply(black_box(&bundle)));
    });
    criterion.bench_function("bundle/verify", |bench| {
        bench.iter(|| trusted.verify_digest(next.version(), delta.digest, &next.signatures));
    });
}

criterion_group!(benches, measure);
criterion_main!(benches);
