//! Fleets of hollow nodes at sizes that a test can afford.

use hookpoint_sim::fleet::{FleetReport, FleetSettings, run};

fn small() -> FleetSettings {
    FleetSettings {
        join_ms: 10_000,
        quiet_ms: 60_000,
        bundles: 3,
        term_changes: 5,
        deaths: 4,
        cut_ms: 30_000,
        ..FleetSettings::of_size(40)
    }
}

/// All that does not depend on the machine that runs it.
fn measured(settings: &FleetSettings) -> FleetReport {
    FleetReport {
        wall_ms: 0,
        ..run(settings)
    }
}

#[test]
fn a_fleet_meets_its_goals_and_replays() {
    let report = measured(&small());
    assert!(report.fully_joined_ms.is_some(), "{report:#?}");
    assert_eq!(report.false_deaths, 0, "{report:#?}");
    assert_eq!(report.bundle_in_force.missing, 0, "{report:#?}");
    assert!(report.bundle_in_force.max_ms < 3_000.0, "{report:#?}");
    assert_eq!(report.bundle_after_cut.missing, 0, "{report:#?}");
    assert!(report.bundle_after_cut.max_ms < 3_000.0, "{report:#?}");
    assert_eq!(report.term_change.missing, 0, "{report:#?}");
    assert!(report.term_change.max_ms < 1_000.0, "{report:#?}");
    assert_eq!(report.death_known.missing, 0, "{report:#?}");
    assert!(report.quiet.sent_bytes_max < 5_000.0, "{report:#?}");
    assert_eq!(
        report,
        measured(&small()),
        "the same seed gives the same report"
    );
}

#[test]
fn without_loss_nobody_is_taken_for_dead() {
    let settings = FleetSettings {
        loss_per_million: 0,
        quiet_ms: 300_000,
        bundles: 0,
        term_changes: 0,
        deaths: 0,
        cut_zone: false,
        ..small()
    };
    let report = run(&settings);
    assert_eq!(report.falsely_dead_nodes, 0);
    assert!(report.quiet.sent_messages_mean > 1.0, "{report:#?}");
}
