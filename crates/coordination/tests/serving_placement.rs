//! Tests of where statements may run and pass through: the regions of routes and tenants, and
//! changes while a statement waits.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::directory::{Database, StatedRole};
use hookpoint_coordination::serving::feed::Regions;
use hookpoint_coordination::serving::placement::{
    GroupView, Placement, PlacementError, RequiredDatabase, primary_regions,
};
use hookpoint_coordination::serving::tenancy::{Principal, Tenants};
use hookpoint_coordination::serving::topology::{Configuration, Consistency, Group, Route};
use hookpoint_state::{DatabaseName, GroupName, RegionName, TenantName, ZoneName};
use quickcheck::{QuickCheck, quickcheck};

const ROUTE: &str = "main";
const GROUP: &str = "orders";
/// Regions of the tests; each contains the zones `NAME-0` and `NAME-1`.
const REGIONS: [&str; 4] = ["north", "east", "south", "west"];

fn set(names: &[&str]) -> BTreeSet<RegionName> {
    names.iter().copied().map(RegionName::new).collect()
}

fn zone(region: &str, number: u8) -> ZoneName {
    ZoneName::new(format!("{region}-{number}"))
}

fn regions() -> Regions {
    let of_region = |region: &str| [0, 1].map(|number| (zone(region, number), region.to_owned()));
    REGIONS.into_iter().flat_map(of_region).collect()
}

fn route(allowed: &[&str]) -> Route {
    Route {
        group: GroupName::new(GROUP),
        consistency: Consistency::Primary,
        statement_timeout: Duration::from_millis(800),
        target_latency: Duration::from_millis(600),
        priority: 1,
        allows_anonymous: true,
        allowed_regions: set(allowed),
    }
}

fn tenant() -> Principal {
    Principal::Tenant(TenantName::new("clinic"))
}

fn configuration(routes: &[(&str, &[&str])], tenant_regions: &[&str]) -> Configuration {
    let routes = routes
        .iter()
        .map(|(name, allowed)| ((*name).to_owned(), Rc::new(route(allowed))))
        .collect();
    let group = Group {
        max_connections: 16,
        sync_replicas: 0,
        cold_start: None,
    };
    Configuration {
        version: 1,
        routes,
        groups: BTreeMap::from([(GroupName::new(GROUP), group)]),
        tenants: Tenants {
            allowed_regions: BTreeMap::from([(TenantName::new("clinic"), set(tenant_regions))]),
            ..Tenants::default()
        },
        transaction_idle: None,
    }
}

/// Returns a database named after its region, in the region's first zone.
fn database(region: &str) -> Database {
    Database {
        name: DatabaseName::new(region),
        group: GroupName::new(GROUP),
        address: SocketAddr::from(([127, 0, 0, 1], 5_000)),
        zone: zone(region, 0),
        slots: 2,
        draining: false,
        role: StatedRole::Replica,
        started: None,
        cold_for: Duration::ZERO,
    }
}

/// Returns the regions of [`REGIONS`] whose databases a placement permits; fails if forwarding
/// nodes are treated differently.
fn permitted(placement: &Rc<Placement>) -> BTreeSet<RegionName> {
    let known = regions();
    let mut found = BTreeSet::new();
    for region in REGIONS {
        let permitted = placement.permit(&database(region), &known);
        let may_forward = placement.may_forward(&zone(region, 1), &known);
        assert_eq!(permitted.is_some(), may_forward, "{region}");
        if permitted.is_some_and(|permitted| permitted.name().as_str() == region) {
            found.insert(RegionName::new(region));
        }
    }
    found
}

#[test]
fn the_regions_of_route_and_tenant_both_apply() {
    let rows: [(&[&str], &[&str], &[&str]); 7] = [
        (&[], &[], &REGIONS),
        (&["east"], &[], &["east"]),
        (&[], &["east", "west"], &["east", "west"]),
        (&["east", "south"], &["east", "west"], &["east"]),
        (&["east", "south"], &["east", "south"], &["east", "south"]),
        (&["south"], &["west"], &[]),
        (&["nowhere"], &[], &[]),
    ];
    for (of_route, of_tenant, expected) in rows {
        let known = configuration(&[(ROUTE, of_route)], of_tenant);
        let admitted = &known.routes[ROUTE];
        let placement = Placement::in_force(Some(&known), ROUTE, admitted, &tenant());
        let row = format!("route {of_route:?}, tenant {of_tenant:?}");
        assert_eq!(permitted(&Rc::new(placement)), set(expected), "{row}");
    }
}

#[test]
fn a_tenants_regions_apply_to_no_other_principal() {
    let known = configuration(&[(ROUTE, &[])], &["east"]);
    let admitted = &known.routes[ROUTE];
    let anonymous = Principal::Anonymous;
    let placement = Placement::in_force(Some(&known), ROUTE, admitted, &anonymous);
    assert!(!placement.is_restricted());
}

#[test]
fn a_zone_of_unknown_region_is_in_no_allowed_one() {
    let unknown = ZoneName::new("unknown");
    let restricted = Placement::of(&set(&["north"]), None);
    assert!(!restricted.may_run(&unknown, &regions()));
    assert!(!restricted.may_forward(&unknown, &regions()));
    assert!(Placement::unrestricted().may_run(&unknown, &regions()));
}

#[test]
fn the_newest_configuration_applies_to_a_waiting_statement() {
    let before = configuration(&[(ROUTE, &["north", "east"])], &[]);
    let admitted = &before.routes[ROUTE];
    let chosen_by = Placement::of(&admitted.allowed_regions, None);
    // The new regions, the databases they permit, and whether an earlier choice is covered.
    let rows: [(&[&str], &[&str], bool); 6] = [
        (&["north", "east"], &["north", "east"], true),
        (
            &["north", "east", "south"],
            &["north", "east", "south"],
            true,
        ),
        (&[], &REGIONS, true),
        (&["east"], &["east"], false),
        (&["south"], &["south"], false),
        (&["east", "south"], &["east", "south"], false),
    ];
    for (now, expected, covered) in rows {
        let after = configuration(&[(ROUTE, now)], &[]);
        let placement = Placement::in_force(Some(&after), ROUTE, admitted, &tenant());
        assert_eq!(placement.covers(&chosen_by), covered, "{now:?}");
        assert_eq!(permitted(&Rc::new(placement)), set(expected), "{now:?}");
    }
    let removed = configuration(&[("other", &[])], &[]);
    let placement = Placement::in_force(Some(&removed), ROUTE, admitted, &tenant());
    assert_eq!(placement, chosen_by, "the route was removed");
    let restricted = configuration(&[(ROUTE, &["north", "east"])], &["east"]);
    let placement = Placement::in_force(Some(&restricted), ROUTE, admitted, &tenant());
    assert!(!placement.covers(&chosen_by), "the tenant was restricted");
}

#[test]
fn a_statement_that_no_permitted_database_can_run_is_detected_at_once() {
    use PlacementError::{NoCommonRegion, NoDatabase, PrimaryOutside};
    use RequiredDatabase::{AnyDatabase, Primary};
    struct Row {
        allowed: Placement,
        need: RequiredDatabase,
        leader: Option<&'static str>,
        successor: Option<&'static str>,
        expected: Option<PlacementError>,
    }
    let row = |allowed: &[&str], need, leader, successor, expected| Row {
        allowed: Placement::of(&set(allowed), None),
        need,
        leader,
        successor,
        expected,
    };
    let nowhere = Placement::of(&set(&["south"]), Some(&set(&["east"])));
    let rows = [
        row(&[], Primary, Some("north"), None, None),
        row(&["north"], Primary, Some("north"), None, None),
        row(&["east"], AnyDatabase, Some("north"), None, None),
        row(
            &["east"],
            Primary,
            Some("north"),
            None,
            Some(PrimaryOutside),
        ),
        // The primary is being replaced by a database inside, by one outside, and by itself.
        row(&["east"], Primary, Some("north"), Some("east"), None),
        row(
            &["east"],
            Primary,
            Some("north"),
            Some("south"),
            Some(PrimaryOutside),
        ),
        row(
            &["east"],
            Primary,
            Some("north"),
            Some("north"),
            Some(PrimaryOutside),
        ),
        // No leader is known, or the leader is no longer in use.
        row(&["east"], Primary, None, None, None),
        row(&["east"], Primary, Some("gone"), None, None),
        // The west has no database.
        row(
            &["west"],
            AnyDatabase,
            Some("north"),
            None,
            Some(NoDatabase),
        ),
        row(&["west"], Primary, None, None, Some(NoDatabase)),
        Row {
            allowed: nowhere,
            ..row(&[], AnyDatabase, Some("north"), None, Some(NoCommonRegion))
        },
    ];
    let databases = ["north", "east", "south"].map(database);
    let listed: Vec<&Database> = databases.iter().collect();
    for (number, row) in rows.iter().enumerate() {
        let leader = row.leader.map(DatabaseName::new);
        let successor = row.successor.map(DatabaseName::new);
        let group = GroupView {
            databases: &listed,
            leader: leader.as_ref(),
            successor: successor.as_ref(),
        };
        let found = row.allowed.placement_error(row.need, group, &regions());
        assert_eq!(found, row.expected, "row {number}");
    }
}

#[test]
fn primary_regions_are_those_common_to_all_restricted_routes() {
    type Routes<'a> = &'a [(&'a str, &'a [&'a str])];
    let rows: [(Routes<'_>, Option<&[&str]>); 5] = [
        (&[("a", &[]), ("b", &[])], None),
        (&[("a", &["east"]), ("b", &[])], Some(&["east"])),
        (
            &[("a", &["east", "west"]), ("b", &["west"])],
            Some(&["west"]),
        ),
        (&[("a", &["east"]), ("b", &["west"])], None),
        (
            &[("a", &["east"]), ("b", &["west"]), ("c", &["east", "west"])],
            None,
        ),
    ];
    for (routes, expected) in rows {
        // A tenant's regions never move a primary.
        let known = configuration(routes, &["south"]);
        let found = primary_regions(&known);
        let group = GroupName::new(GROUP);
        assert_eq!(found.get(&group).cloned(), expected.map(set), "{routes:?}");
        assert!(found.keys().all(|named| *named == group), "{routes:?}");
    }
}

/// Returns the regions whose bits are set in `bits`.
fn chosen(bits: u8) -> BTreeSet<RegionName> {
    let names = REGIONS.iter().enumerate();
    let chosen = names.filter(|(index, _)| bits & (1 << index) != 0);
    chosen.map(|(_, name)| RegionName::new(name)).collect()
}

/// Returns whether nothing is permitted, to run or to be forwarded, outside the regions of the
/// route or the tenant.
fn stays_inside(
    placement: Placement,
    route: &BTreeSet<RegionName>,
    tenant: &BTreeSet<RegionName>,
) -> bool {
    let is_violated = |regions: &BTreeSet<RegionName>, region: &RegionName| {
        !regions.is_empty() && !regions.contains(region)
    };
    let permitted = permitted(&Rc::new(placement));
    let violation = permitted
        .iter()
        .any(|region| is_violated(route, region) || is_violated(tenant, region));
    !violation
}

quickcheck! {
    fn nothing_is_permitted_outside_either_set(route: u8, tenant: u8) -> bool {
        let (route, tenant) = (chosen(route), chosen(tenant));
        stays_inside(Placement::of(&route, Some(&tenant)), &route, &tenant)
    }

    fn a_covered_choice_is_still_permitted(before: u8, after: u8) -> bool {
        let before = Rc::new(Placement::of(&chosen(before), None));
        let after = Rc::new(Placement::of(&chosen(after), None));
        let (was, is) = (permitted(&before), permitted(&after));
        // A zone of unknown region is in no named region, so no set covers all zones.
        let lost_unknown = after.is_restricted() && !before.is_restricted();
        after.covers(&before) == (was.is_subset(&is) && !lost_unknown)
    }

    fn primary_regions_suit_every_restricted_route(first: u8, second: u8, third: u8) -> bool {
        let sets = [first, second, third].map(chosen);
        let mut known = configuration(&[], &[]);
        for (index, allowed) in sets.iter().enumerate() {
            let mut added = route(&[]);
            added.allowed_regions = allowed.clone();
            known.routes.insert(format!("route-{index}"), Rc::new(added));
        }
        let found = primary_regions(&known);
        let Some(wanted) = found.get(&GroupName::new(GROUP)) else {
            return true;
        };
        let suits = |allowed: &BTreeSet<RegionName>| {
            allowed.is_empty() || wanted.is_subset(allowed)
        };
        !wanted.is_empty() && sets.iter().all(suits)
    }
}

/// Negative control: the property detects a placement that applies only one of the two sets.
#[test]
fn a_placement_that_applies_only_one_set_is_detected() {
    fn route_alone(route: u8, tenant: u8) -> bool {
        let (route, tenant) = (chosen(route), chosen(tenant));
        stays_inside(Placement::of(&route, None), &route, &tenant)
    }
    fn tenant_alone(route: u8, tenant: u8) -> bool {
        let (route, tenant) = (chosen(route), chosen(tenant));
        stays_inside(
            Placement::of(&BTreeSet::new(), Some(&tenant)),
            &route,
            &tenant,
        )
    }
    for incomplete in [route_alone, tenant_alone] {
        let outcome = QuickCheck::new().quicktest(incomplete as fn(u8, u8) -> bool);
        assert!(outcome.is_err(), "the property found no violation");
    }
}
