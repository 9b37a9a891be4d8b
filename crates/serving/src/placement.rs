//! What the configuration in force says about where statements may run and pass through.

use std::collections::BTreeSet;
use std::rc::Rc;

use hookpoint_coordination::serving::placement::{Placement, primary_regions};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_coordination::serving::topology::{Configuration, Route};
use hookpoint_state::{GroupName, RegionName};

use crate::homes::Peer;
use crate::node::Node;

impl Node {
    /// The placement, by the configuration in force, of a statement that was admitted to the
    /// route called `name`.
    pub(crate) fn placement(
        &self,
        name: &str,
        admitted: &Route,
        principal: &Principal,
    ) -> Rc<Placement> {
        let configuration = self.configuration();
        let placement = Placement::in_force(configuration.as_deref(), name, admitted, principal);
        Rc::new(placement)
    }

    /// Takes over what a configuration says of the regions of primaries.
    pub(crate) fn place_primaries(&self, configuration: &Configuration) {
        *self.primary_regions.borrow_mut() = primary_regions(configuration);
    }

    /// The regions that the routes of a group want its primary in; none if they do not care
    /// or do not agree.
    pub fn primary_regions(&self, group: &GroupName) -> Option<BTreeSet<RegionName>> {
        self.primary_regions.borrow().get(group).cloned()
    }

    /// Whether a peer may be given the text of a statement placed so. One that is not known
    /// any more may not, unless any may.
    pub(crate) fn may_carry(&self, peer: &Peer, placement: &Placement) -> bool {
        if !placement.is_restricted() {
            return true;
        }
        let members = self.members.borrow();
        let zone = members.get(&peer.name).map(|member| &member.zone);
        zone.is_some_and(|zone| placement.may_carry(zone, &self.changeable().regions))
    }

    /// Whether this node may carry the text of other nodes' statements placed so.
    pub(crate) fn is_carrier(&self, placement: &Placement) -> bool {
        placement.may_carry(&self.settings.zone, &self.changeable().regions)
    }
}
