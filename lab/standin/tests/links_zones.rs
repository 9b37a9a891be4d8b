//! Tests of latencies and cuts between zones.

use hookpoint_standin::database::ZoneNetwork;
use hookpoint_standin::links::{CLIENTS, RegionSpacing, ZoneLinks};
use std::time::Duration;

#[test]
fn delays_match_the_deployment_and_the_region_spacing() {
    let (zone_latency, region_latency) = (
        RegionSpacing::UseZoneLatency,
        RegionSpacing::UseRegionLatency,
    );
    let costa_rica = ["sj-sala-a", "al-sala-b", "lb-sala-c"];
    let greece = ["ath-hall", "thes-hall", "her-hall"];
    let cases = [
        (
            ZoneLinks::costa_rica(zone_latency),
            costa_rica,
            1_500,
            20_000,
        ),
        (
            ZoneLinks::costa_rica(region_latency),
            costa_rica,
            20_000,
            20_000,
        ),
        (ZoneLinks::greece(zone_latency), greece, 500, 10_000),
        (ZoneLinks::greece(region_latency), greece, 10_000, 10_000),
    ];
    for (links, zones, between, unknown) in cases {
        let micros = |from: &str, to: &str| links.delay(from, to).as_micros();
        let mut listed: Vec<&str> = links.zones().collect();
        listed.sort_by_key(|zone| zones.iter().position(|known| known == zone));
        assert_eq!(listed, zones);
        for zone in zones {
            assert_eq!(micros(zone, zone), 0);
            assert_eq!(micros(zone, CLIENTS), 3_000);
            assert_eq!(micros(CLIENTS, zone), 3_000);
            assert_eq!(micros(zone, "elsewhere"), unknown);
        }
        assert_eq!(micros(zones[0], zones[1]), between);
        assert_eq!(micros(zones[2], zones[0]), between);
    }
}

#[test]
fn zones_of_one_region_use_the_latency_between_zones() {
    let template = ZoneLinks::greece(RegionSpacing::UseRegionLatency);
    assert_eq!(template.region("her-hall"), Some("crete"));
    let zones = [("a", "north"), ("b", "north"), ("c", "south")];
    let latencies = hookpoint_standin::links::Latencies {
        same_zone: Duration::from_micros(100),
        between_zones: Duration::from_millis(1),
        between_regions: Duration::from_millis(9),
        to_clients: Duration::from_millis(3),
    };
    let links = ZoneLinks::new(&zones, latencies, RegionSpacing::UseRegionLatency);
    assert_eq!(links.delay("a", "a"), Duration::from_micros(100));
    assert_eq!(links.delay("a", "b"), Duration::from_millis(1));
    assert_eq!(links.delay("b", "c"), Duration::from_millis(9));
}

/// A change of the cuts.
type Change = fn(&ZoneLinks);

/// Name, changes, and the expected cuts as pairs of source and destination.
type Case<'a> = (&'a str, &'a [Change], &'a [(&'a str, &'a str)]);

#[test]
fn cuts_accumulate_and_heal() {
    let (a, b, c) = ("ath-hall", "her-hall", "thes-hall");
    let cases: [Case<'_>; 9] = [
        ("none", &[], &[]),
        (
            "both ways",
            &[|links| links.cut("ath-hall", "her-hall")],
            &[(a, b), (b, a)],
        ),
        (
            "one way",
            &[|links| links.cut_one_way("ath-hall", "her-hall")],
            &[(a, b)],
        ),
        (
            "a zone from itself",
            &[|links| links.cut("ath-hall", "ath-hall")],
            &[],
        ),
        (
            "a zone",
            &[|links| links.cut_zone("ath-hall")],
            &[(a, b), (a, c), (b, a), (c, a)],
        ),
        (
            "a zone, one link healed",
            &[
                |links| links.cut_zone("ath-hall"),
                |links| links.heal("her-hall", "ath-hall"),
            ],
            &[(a, c), (c, a)],
        ),
        (
            "two zones, one healed",
            &[
                |links| links.cut_zone("ath-hall"),
                |links| links.cut_zone("her-hall"),
                |links| links.heal_zone("ath-hall"),
            ],
            &[(b, c), (c, b)],
        ),
        (
            "all healed",
            &[|links| links.cut_zone("ath-hall"), ZoneLinks::heal_all],
            &[],
        ),
        (
            "clients",
            &[
                |links| links.cut(CLIENTS, "ath-hall"),
                |links| links.cut_zone("thes-hall"),
                |links| {
                    links.heal_zone("thes-hall");
                },
            ],
            &[(a, CLIENTS), (CLIENTS, a)],
        ),
    ];
    for (name, changes, expected) in cases {
        let links = ZoneLinks::greece(RegionSpacing::UseZoneLatency);
        changes.iter().for_each(|change| change(&links));
        let cuts = links.cuts();
        let cuts: Vec<(&str, &str)> = cuts.iter().map(|(from, to)| (&**from, &**to)).collect();
        assert_eq!(cuts, expected, "{name}");
        for from in [a, b, c, CLIENTS] {
            for to in [a, b, c, CLIENTS] {
                assert_eq!(
                    links.is_cut(from, to),
                    expected.contains(&(from, to)),
                    "{name}"
                );
            }
        }
    }
}

#[test]
fn databases_use_the_same_links() {
    let links = ZoneLinks::greece(RegionSpacing::UseZoneLatency);
    let network: &dyn ZoneNetwork = &links;
    assert_eq!(
        network.delay("ath-hall", "her-hall"),
        Duration::from_micros(500)
    );
    links.cut_one_way("ath-hall", "her-hall");
    assert!(network.is_cut("ath-hall", "her-hall"));
    assert!(!network.is_cut("her-hall", "ath-hall"));
}
