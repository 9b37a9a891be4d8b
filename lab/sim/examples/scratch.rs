//! Scratch runner.
use hookpoint_sim::*;
fn main() {
    let args: Vec<String> = std::env::args().collect();
    let first: u64 = args[1].parse().unwrap();
    let count: u64 = args[2].parse().unwrap();
    let threads: usize = args[3].parse().unwrap();
    let deployment = if args.get(4).map(|s| s.as_str()) == Some("greece") {
        SimDeployment::Greece
    } else {
        SimDeployment::CostaRica
    };
    let mut settings = SimSettings::today(deployment);
    if let Some(m) = args.get(5) {
        if m != "none" {
            settings.mutation = Some(serde_json::from_str(&format!("\"{m}\"")).unwrap());
        }
    }
    if let Some(f) = args.get(6) {
        settings.faults = f.parse().unwrap();
    }
    let t = std::time::Instant::now();
    let report = run_range(&settings, first, count, threads, |_| {});
    println!(
        "{:?} failures {} in {:?}",
        report.counts,
        report.failures.len(),
        t.elapsed()
    );
    for f in report.failures.iter().take(4) {
        println!("seed {} trace {:x} faults {:?}", f.seed, f.trace, f.faults);
        for v in f.violations.iter().take(3) {
            println!(
                "   {:?} {} {}",
                v.invariant,
                v.at_us,
                v.detail.chars().take(1400).collect::<String>()
            );
        }
    }
    if std::env::var("DECISIONS").is_ok() {
        if let Some(f) = report.failures.first() {
            for d in &f.decisions {
                println!("   {}", d);
            }
        }
    }
    let mut by = std::collections::BTreeMap::new();
    for f in &report.failures {
        *by.entry(format!("{:?}", f.violations[0].invariant))
            .or_insert(0) += 1;
    }
    println!("{by:?}");
}
