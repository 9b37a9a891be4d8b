//! Region restrictions of the current configuration: where statements may run and through which
//! nodes they may pass.

use std::collections::BTreeSet;
use std::rc::Rc;

use hookpoint_coordination::serving::placement::{Placement, primary_regions};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_coordination::serving::topology::{Configuration, Route};
use hookpoint_state::{GroupName, RegionName};

use crate::homes::Peer;
use crate::node::Node;

impl Node {
    /// Returns the placement, by the current configuration, of a statement that was admitted to the
    /// route called `name`. `admitted`: the route as it was then.
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

    /// Stores the regions in which a configuration wants the primaries.
    pub(crate) fn compute_primary_regions(&self, configuration: &Configuration) {
        *self.primary_regions.borrow_mut() = primary_regions(configuration);
    }

    /// Returns the regions in which the routes of a group want its primary; `None` if they do not
    /// restrict it or do not agree.
    pub fn primary_regions(&self, group: &GroupName) -> Option<BTreeSet<RegionName>> {
        self.primary_regions.borrow().get(group).cloned()
    }

    /// Returns whether a peer may receive the text of a statement with this placement. A peer that
    /// is no longer a known member may receive it only if the placement is not restricted.
    pub(crate) fn may_receive_statement(&self, peer: &Peer, placement: &Placement) -> bool {
        if !placement.is_restricted() {
            return true;
        }
        let members = self.members.borrow();
        let zone = members.get(&peer.name).map(|member| &member.zone);
        zone.is_some_and(|zone| placement.may_forward(zone, &self.changeable().regions))
    }

    /// Returns whether this node may carry the text of other nodes' statements with this placement.
    pub(crate) fn may_relay_statement(&self, placement: &Placement) -> bool {
        placement.may_forward(&self.settings.zone, &self.changeable().regions)
    }
}
