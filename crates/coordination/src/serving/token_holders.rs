//! Selection of the nodes that hold a tenant's tokens.
//!
//! The holders are spread over different regions, then over different zones, so that one is near to
//! each caller. Within a region or zone any node may be chosen, so that a partition leaves each
//! side with a part of the limit that is roughly proportional to its number of nodes, and thus of
//! callers.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use hookpoint_state::{TenantName, ZoneName};

use super::homes::{HomeCandidate, rendezvous_score};

/// Maximum number of holders of one tenant: one for each zone of the known deployments.
pub const MAX_HOLDERS: usize = 6;

/// Returns the `count` nodes that hold the tokens of `tenant`; `region` returns the region of a
/// zone.
pub fn choose_token_holders<'a>(
    tenant: &TenantName,
    nodes: &'a [HomeCandidate],
    region: impl Fn(&ZoneName) -> Option<String>,
    count: usize,
) -> Vec<&'a HomeCandidate> {
    let mut ranked: Vec<&HomeCandidate> = nodes.iter().collect();
    ranked.sort_by_cached_key(|candidate| {
        let score = rendezvous_score(tenant.as_str(), &candidate.node);
        (Reverse(score), candidate.node.clone())
    });
    let mut chosen: Vec<&HomeCandidate> = Vec::with_capacity(count);
    let mut regions = BTreeSet::new();
    let mut zones = BTreeSet::new();
    ranked.retain(|candidate| {
        let is_new = chosen.len() < count && regions.insert(region(&candidate.zone));
        if is_new {
            zones.insert(candidate.zone.clone());
            chosen.push(candidate);
        }
        !is_new
    });
    ranked.retain(|candidate| {
        let is_new = chosen.len() < count && zones.insert(candidate.zone.clone());
        if is_new {
            chosen.push(candidate);
        }
        !is_new
    });
    chosen.extend(ranked.into_iter().take(count.saturating_sub(chosen.len())));
    chosen
}
