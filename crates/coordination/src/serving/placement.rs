//! Restricts where a caller's statement may run, and which nodes may forward its text.
//!
//! A route and a tenant may each name the regions to which their statements are confined. If both
//! do, both restrictions apply. The node to which the caller is connected always has the text;
//! apart from it, only nodes in the allowed regions may receive it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use hookpoint_state::{DatabaseName, GroupName, RegionName, ZoneName};

use super::directory::Database;
use super::feed::Regions;
use super::tenancy::Principal;
use super::topology::{Configuration, Route};

/// The regions to which one statement is confined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// `None` if any region is allowed; empty if no region is.
    allowed: Option<BTreeSet<RegionName>>,
}

/// A database that a placement permits. Only a placement creates one, so code that takes one cannot
/// be given a database that was not checked.
#[derive(Clone, Debug)]
pub struct PermittedDatabase {
    name: DatabaseName,
    placement: Rc<Placement>,
}

impl PermittedDatabase {
    /// Returns the name of the database.
    pub fn name(&self) -> &DatabaseName {
        &self.name
    }

    /// Returns the placement that permitted it.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }
}

/// Which of a group's databases a statement needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredDatabase {
    /// The primary.
    Primary,
    /// Any database that has reached a given position.
    AnyDatabase,
}

/// What is known about the databases of a group.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// Databases to which work may be sent, whether or not they are reachable.
    pub databases: &'a [&'a Database],
    /// The known leader; `None` while it does not answer and may be replaced.
    pub leader: Option<&'a DatabaseName>,
    /// The database that is to lead next, if a promotion is in progress.
    pub successor: Option<&'a DatabaseName>,
}

impl<'a> GroupView<'a> {
    fn find(&self, name: Option<&DatabaseName>) -> Option<&'a Database> {
        let name = name?;
        self.databases
            .iter()
            .copied()
            .find(|known| known.name == *name)
    }
}

/// Why no permitted database can run a statement, however long it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The regions of the route and of the tenant have none in common.
    NoCommonRegion,
    /// No database of the group is in an allowed region.
    NoDatabase,
    /// Only the primary can run the statement, and the primary is in a region that is not allowed.
    PrimaryOutside,
}

impl PlacementError {
    /// Returns the short name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PlacementError::NoCommonRegion => "no_common_region",
            PlacementError::NoDatabase => "no_database_in_region",
            PlacementError::PrimaryOutside => "primary_outside_region",
        }
    }
}

impl Placement {
    /// Returns a placement that allows every region. It is used for a node's own status queries,
    /// which carry no text of a caller, and by a node that leases a connection to a node which has
    /// checked the placement.
    pub fn unrestricted() -> Self {
        Self { allowed: None }
    }

    /// Returns the placement of a route's statements for a tenant. An empty set imposes no
    /// restriction.
    pub fn of(route: &BTreeSet<RegionName>, tenant: Option<&BTreeSet<RegionName>>) -> Self {
        let tenant = tenant.filter(|regions| !regions.is_empty());
        let allowed = match (route.is_empty(), tenant) {
            (true, None) => None,
            (true, Some(tenant)) => Some(tenant.clone()),
            (false, None) => Some(route.clone()),
            (false, Some(tenant)) => Some(route.intersection(tenant).cloned().collect()),
        };
        Self { allowed }
    }

    /// Returns the placement according to the newest configuration. `admitted` is the route as it
    /// was when the statement arrived; it applies if the configuration no longer has a route called
    /// `name`.
    pub fn in_force(
        configuration: Option<&Configuration>,
        name: &str,
        admitted: &Route,
        principal: &Principal,
    ) -> Self {
        let newest = configuration.and_then(|known| known.routes.get(name));
        let route = newest.map_or(admitted, |route| route.as_ref());
        let tenant = configuration
            .zip(principal.tenant())
            .and_then(|(known, tenant)| known.tenants.allowed_regions.get(tenant));
        Self::of(&route.allowed_regions, tenant)
    }

    /// Returns whether some regions are not allowed.
    pub fn is_restricted(&self) -> bool {
        self.allowed.is_some()
    }

    /// Returns the allowed regions, or `None` if all are allowed.
    pub fn allowed_regions(&self) -> Option<&BTreeSet<RegionName>> {
        self.allowed.as_ref()
    }

    /// Returns whether a node of `zone` may forward the text from the caller's node to a database.
    pub fn may_forward(&self, zone: &ZoneName, regions: &Regions) -> bool {
        self.allows(zone, regions)
    }

    /// Returns whether the statement may run on a database of `zone`.
    pub fn may_run(&self, zone: &ZoneName, regions: &Regions) -> bool {
        self.allows(zone, regions)
    }

    /// Returns the database as permitted if the statement may run on it.
    pub fn permit(
        self: &Rc<Self>,
        database: &Database,
        regions: &Regions,
    ) -> Option<PermittedDatabase> {
        let permitted = self.may_run(&database.zone, regions);
        permitted.then(|| PermittedDatabase {
            name: database.name.clone(),
            placement: Rc::clone(self),
        })
    }

    /// Returns whether everything that `earlier` allowed is still allowed.
    pub fn covers(&self, earlier: &Placement) -> bool {
        match (&self.allowed, &earlier.allowed) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(allowed), Some(before)) => before.is_subset(allowed),
        }
    }

    /// Returns why waiting is futile, or `None` if a permitted database can run the statement or
    /// may be able to shortly.
    pub fn placement_error(
        &self,
        need: RequiredDatabase,
        group: GroupView<'_>,
        regions: &Regions,
    ) -> Option<PlacementError> {
        let allowed = self.allowed.as_ref()?;
        if allowed.is_empty() {
            return Some(PlacementError::NoCommonRegion);
        }
        let is_permitted = |database: &Database| self.may_run(&database.zone, regions);
        if !group.databases.iter().any(|known| is_permitted(known)) {
            return Some(PlacementError::NoDatabase);
        }
        let leader_outside = group
            .find(group.leader)
            .is_some_and(|leader| !is_permitted(leader));
        let successor_permitted = group.find(group.successor).is_some_and(is_permitted);
        match need {
            RequiredDatabase::Primary if leader_outside && !successor_permitted => {
                Some(PlacementError::PrimaryOutside)
            }
            _ => None,
        }
    }

    /// Returns whether `zone` is in an allowed region. A zone of unknown region is in none if the
    /// placement is restricted.
    fn allows(&self, zone: &ZoneName, regions: &Regions) -> bool {
        let Some(allowed) = &self.allowed else {
            return true;
        };
        let region = regions.get(zone);
        region.is_some_and(|region| allowed.iter().any(|known| known.as_str() == region))
    }
}

/// Returns, for each group, the regions in which its primary can serve all region-restricted routes
/// of the group. A group is absent if none of its routes is restricted, or if the restricted ones
/// have no region in common.
///
/// Routes that contradict each other therefore never cause a move, and two nodes with the same
/// configuration request the same move.
pub fn primary_regions(configuration: &Configuration) -> BTreeMap<GroupName, BTreeSet<RegionName>> {
    let mut common: BTreeMap<GroupName, BTreeSet<RegionName>> = BTreeMap::new();
    let confined = configuration
        .routes
        .values()
        .filter(|route| !route.allowed_regions.is_empty());
    for route in confined {
        common
            .entry(route.group.clone())
            .and_modify(|regions| regions.retain(|region| route.allowed_regions.contains(region)))
            .or_insert_with(|| route.allowed_regions.clone());
    }
    common.retain(|_, regions| !regions.is_empty());
    common
}
