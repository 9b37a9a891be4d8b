//! Time to classify a statement that is cached and one that is not.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use hookpoint_protocol::classify::Classifier;

fn classify(criterion: &mut Criterion) {
    let classifier = Classifier::new();
    let known = "SELECT reading, taken_at FROM readings WHERE meter = 42 ORDER BY taken_at";
    criterion.bench_function("classify/known_text", |bencher| {
        bencher.iter(|| classifier.classify(black_box(known)));
    });
    let mut number = 0_u64;
    criterion.bench_function("classify/new_text", |bencher| {
        bencher.iter(|| {
            number += 1;
            let text = format!("SELECT reading, taken_at FROM readings WHERE meter = {number}");
            classifier.classify(&text)
        });
    });
}

criterion_group!(benches, classify);
criterion_main!(benches);
