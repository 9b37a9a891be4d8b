//! Which nodes hold a tenant's tokens.
//!
//! They stand in different regions, then in different zones, so that one is near to each caller.
//! Within a place any node may be one: a cut then leaves about as much of the limit on each
//! side as there are nodes, and so callers.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use hookpoint_state::{TenantName, ZoneName};

use super::homes::{HomeCandidate, rendezvous_score};

/// Holders of one tenant at the most: one for each zone of the known deployments.
pub const MOST_HOLDERS: usize = 6;

/// The `count` nodes that hold the tokens of `tenant`; `region` tells where a zone is.
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
        let fresh = chosen.len() < count && regions.insert(region(&candidate.zone));
        if fresh {
            zones.insert(candidate.zone.clone());
            chosen.push(candidate);
        }
        !fresh
    });
    ranked.retain(|candidate| {
        let fresh = chosen.len() < count && zones.insert(candidate.zone.clone());
        if fresh {
            chosen.push(candidate);
        }
        !fresh
    });
    chosen.extend(ranked.into_iter().take(count.saturating_sub(chosen.len())));
    chosen
}
