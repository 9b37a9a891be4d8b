//! Tests of a database group whose network is the links between zones.

use hookpoint_standin::database::{
    DatabaseGroup, DatabaseRole, DatabaseSettings, DatabaseStatus, GroupSettings,
};
use hookpoint_standin::links::{RegionSpacing, ZoneLinks};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);
const ZONES: [&str; 3] = ["sj-sala-a", "al-sala-b", "lb-sala-c"];

/// Starts a group with one database per zone, named after the zone. The first one
/// is the initial primary.
async fn group(links: &ZoneLinks) -> DatabaseGroup {
    let database = |zone: &str| DatabaseSettings {
        name: zone.to_owned(),
        zone: zone.to_owned(),
        slots: 5,
        replay_lag: Duration::ZERO,
        password: None,
    };
    let settings = GroupSettings {
        databases: ZONES.map(database).to_vec(),
        // Longer than any scheduling delay on a busy machine.
        election_timeout: Duration::from_secs(1),
        ..GroupSettings::default()
    };
    let network = Arc::new(links.clone());
    DatabaseGroup::start(settings, network)
        .await
        .expect("the group starts")
}

/// Returns the names and terms of the databases that report the primary role.
fn primaries(group: &DatabaseGroup) -> Vec<(String, u64)> {
    let is_primary = |status: &DatabaseStatus| status.role == DatabaseRole::Primary;
    let status = group.status().into_iter().filter(is_primary);
    status.map(|status| (status.name, status.term)).collect()
}

async fn wait_until(group: &DatabaseGroup, reached: impl Fn(&[(String, u64)]) -> bool) {
    let waiting = async {
        while !reached(&primaries(group)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "{:?}", group.status());
}

#[tokio::test]
async fn primary_in_a_cut_zone_is_replaced_and_steps_down_after_healing() {
    for spacing in [
        RegionSpacing::UseZoneLatency,
        RegionSpacing::UseRegionLatency,
    ] {
        let links = ZoneLinks::costa_rica(spacing);
        let group = group(&links).await;
        assert_eq!(group.primary().as_deref(), Some(ZONES[0]));
        links.cut_zone(ZONES[0]);
        wait_until(&group, |primaries| primaries.len() == 2).await;
        let during_cut = primaries(&group);
        assert_eq!(
            during_cut[0].0, ZONES[0],
            "the old primary still reports the primary role"
        );
        assert!(during_cut[1].1 > during_cut[0].1, "{during_cut:?}");
        links.heal_all();
        wait_until(&group, |primaries| {
            primaries.len() == 1 && primaries[0].0 != ZONES[0]
        })
        .await;
        group.stop().await;
    }
}
