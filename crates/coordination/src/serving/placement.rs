//! Where a caller's statement may run, and which nodes may carry its text.
//!
//! A route and a tenant may each name the regions that their statements are confined to. If
//! both do, both bind. The node that the caller is connected to always has the text; apart
//! from it, only nodes in the allowed regions may have it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use hookpoint_state::{DatabaseName, GroupName, RegionName, ZoneName};

use super::directory::Database;
use super::feed::Regions;
use super::tenancy::Principal;
use super::topology::{Configuration, Route};

/// The regions that one statement is confined to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// None if any region will do; empty if none will.
    allowed: Option<BTreeSet<RegionName>>,
}

/// A database that a placement permits. Only a placement makes one, so what asks for it
/// cannot be given a database that was not checked.
#[derive(Clone, Debug)]
pub struct PermittedDatabase {
    name: DatabaseName,
    placement: Rc<Placement>,
}

impl PermittedDatabase {
    /// The database.
    pub fn name(&self) -> &DatabaseName {
        &self.name
    }

    /// What permitted it.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }
}

/// Which of a group's databases a statement needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The primary.
    Primary,
    /// Any that holds a position.
    AnyDatabase,
}

/// What is known of the databases of a group.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// Those that work may be sent to, reachable or not.
    pub databases: &'a [&'a Database],
    /// The one believed to lead; none while it does not answer and may be replaced.
    pub leader: Option<&'a DatabaseName>,
    /// The one that is to lead next, if a promotion is under way.
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
pub enum Obstacle {
    /// The route's and the tenant's regions have none in common.
    NoCommonRegion,
    /// No database of the group stands in an allowed region.
    NoDatabase,
    /// Only the primary can run it, and that stands in another region.
    PrimaryOutside,
}

impl Obstacle {
    /// Short name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Obstacle::NoCommonRegion => "no_common_region",
            Obstacle::NoDatabase => "no_database_in_region",
            Obstacle::PrimaryOutside => "primary_outside_region",
        }
    }
}

impl Placement {
    /// A placement that allows every region: for a question of the node's own, which carries
    /// no text of a caller's, and for a node that lends to one which has made the choice.
    pub fn unrestricted() -> Self {
        Self { allowed: None }
    }

    /// The placement of a route's statements for a tenant. An empty set binds nothing.
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

    /// The placement by the newest configuration. `admitted` is the route as it was when the
    /// statement arrived; it binds if the configuration no longer has a route called `name`.
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

    /// Whether some region is not allowed.
    pub fn is_restricted(&self) -> bool {
        self.allowed.is_some()
    }

    /// The allowed regions; none if any is.
    pub fn allowed_regions(&self) -> Option<&BTreeSet<RegionName>> {
        self.allowed.as_ref()
    }

    /// Whether a node of `zone` may carry the text from the caller's node to a database.
    pub fn may_carry(&self, zone: &ZoneName, regions: &Regions) -> bool {
        self.allows(zone, regions)
    }

    /// Whether the statement may run on a database of `zone`.
    pub fn may_run(&self, zone: &ZoneName, regions: &Regions) -> bool {
        self.allows(zone, regions)
    }

    /// The database, if the statement may run there.
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

    /// Whether everything that `earlier` allowed is still allowed.
    pub fn covers(&self, earlier: &Placement) -> bool {
        match (&self.allowed, &earlier.allowed) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(allowed), Some(before)) => before.is_subset(allowed),
        }
    }

    /// Why waiting is in vain; nothing if a permitted database can run the statement, or may
    /// be able to in a moment.
    pub fn obstacle(
        &self,
        need: Need,
        group: GroupView<'_>,
        regions: &Regions,
    ) -> Option<Obstacle> {
        let allowed = self.allowed.as_ref()?;
        if allowed.is_empty() {
            return Some(Obstacle::NoCommonRegion);
        }
        let is_permitted = |database: &Database| self.may_run(&database.zone, regions);
        if !group.databases.iter().any(|known| is_permitted(known)) {
            return Some(Obstacle::NoDatabase);
        }
        let outside = group
            .find(group.leader)
            .is_some_and(|leader| !is_permitted(leader));
        let arrives = group.find(group.successor).is_some_and(is_permitted);
        match need {
            Need::Primary if outside && !arrives => Some(Obstacle::PrimaryOutside),
            _ => None,
        }
    }

    /// A zone whose region is not known is in no allowed one.
    fn allows(&self, zone: &ZoneName, regions: &Regions) -> bool {
        let Some(allowed) = &self.allowed else {
            return true;
        };
        let region = regions.get(zone);
        region.is_some_and(|region| allowed.iter().any(|known| known.as_str() == region))
    }
}

/// Regions in which each group's primary serves all routes of the group that are confined to
/// some. A group is absent if no route of it is, or if they have no region in common.
///
/// Routes that contradict each other therefore never ask for a move, and two nodes with the
/// same configuration ask for the same one.
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
