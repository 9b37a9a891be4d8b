//! A database group over the links between zones.

use hookpoint_standin::database::{
    DatabaseGroup, DatabaseRole, DatabaseSettings, DatabaseStatus, GroupSettings,
};
use hookpoint_standin::links::{RegionSpacing, ZoneLinks};
use std::sync::Arc;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(30);
const ZONES: [&str; 3] = ["sj-sala-a", "al-sala-b", "lb-sala-c"];

/// A group with one database in each zone, of the zone's name; the first leads.
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
        // Longer than any pause of a busy machine.
        election_timeout: Duration::from_secs(1),
        ..GroupSettings::default()
    };
    let network = Arc::new(links.clone());
    DatabaseGroup::start(settings, network)
        .await
        .expect("the group starts")
}

/// Names of the databases that believe they lead, with their terms.
fn leaders(group: &DatabaseGroup) -> Vec<(String, u64)> {
    let leads = |status: &DatabaseStatus| status.role == DatabaseRole::Primary;
    let status = group.status().into_iter().filter(leads);
    status.map(|status| (status.name, status.term)).collect()
}

async fn until(group: &DatabaseGroup, reached: impl Fn(&[(String, u64)]) -> bool) {
    let waiting = async {
        while !reached(&leaders(group)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "{:?}", group.status());
}

#[tokio::test]
async fn a_primary_in_a_cut_zone_is_replaced_and_steps_down_when_it_heals() {
    for spacing in [RegionSpacing::Near, RegionSpacing::Apart] {
        let links = ZoneLinks::costa_rica(spacing);
        let group = group(&links).await;
        assert_eq!(group.primary().as_deref(), Some(ZONES[0]));
        links.cut_zone(ZONES[0]);
        until(&group, |leaders| leaders.len() == 2).await;
        let seen = leaders(&group);
        assert_eq!(
            seen[0].0, ZONES[0],
            "the old primary believes that it leads"
        );
        assert!(seen[1].1 > seen[0].1, "{seen:?}");
        links.heal_all();
        until(&group, |leaders| {
            leaders.len() == 1 && leaders[0].0 != ZONES[0]
        })
        .await;
        group.stop().await;
    }
}
