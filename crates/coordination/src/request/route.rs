//! Routing of requests to databases.

use std::collections::BTreeSet;

use hookpoint_state::bundle::ReadPreference;
use hookpoint_state::{DatabaseName, Position, SessionId, Timestamp};

use crate::explain::RouteReason;
use crate::request::profile::Access;
use crate::status::Role;
use crate::terms::{DatabaseView, GroupView};

/// Input of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Current time.
    pub now: Timestamp,
    /// Access that the request needs.
    pub access: Access,
    /// Position that the request's reads must see.
    pub required: Option<Position>,
    /// Databases on which this request has already failed.
    pub excluded: &'a BTreeSet<DatabaseName>,
    /// Whether a replica has already turned out to be behind. If so, the primary is
    /// preferred, so that a read fails at most one check.
    pub replica_failed: bool,
    /// Session, used to spread sessions over equally good databases.
    pub session: SessionId,
}

/// A routing decision and its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// Database chosen.
    pub database: DatabaseName,
    /// Why it was chosen.
    pub reason: RouteReason,
}

/// Chooses a database; returns `None` when the request has to wait.
///
/// Writes go to the primary. Reads go to the nearest, least loaded replica that is
/// expected to have replayed `required`, and to the primary when there is none.
pub fn choose(view: &GroupView, query: RouteQuery<'_>) -> Option<RouteChoice> {
    if query.access == Access::Write {
        return primary(view, query, RouteReason::Write);
    }
    if view.reads == ReadPreference::Primary {
        return primary(view, query, RouteReason::Preference);
    }
    if query.replica_failed
        && let Some(route) = primary(view, query, RouteReason::NoFreshReplica)
    {
        return Some(route);
    }
    if let Some(replica) = fresh_replica(view, query) {
        return Some(RouteChoice {
            database: replica.name.clone(),
            reason: RouteReason::FreshReplica,
        });
    }
    primary(view, query, RouteReason::NoFreshReplica)
}

fn primary(view: &GroupView, query: RouteQuery<'_>, reason: RouteReason) -> Option<RouteChoice> {
    let primary = view.primary()?;
    let known_term = query
        .required
        .is_none_or(|required| primary.position.term >= required.term);
    let confirmed = query.access == Access::Read || primary.unconfirmed.is_none();
    (is_usable(primary, query) && known_term && confirmed).then(|| RouteChoice {
        database: primary.name.clone(),
        reason,
    })
}

fn fresh_replica<'a>(view: &'a GroupView, query: RouteQuery<'_>) -> Option<&'a DatabaseView> {
    let required = query.required?;
    view.databases
        .iter()
        .filter(|database| database.role == Some(Role::Replica) && is_usable(database, query))
        .filter(|database| view.expects_fresh(query.now, database, required))
        .min_by_key(|database| {
            (
                database.proximity,
                database.load,
                tie_breaker(query.session, &database.name),
            )
        })
}

fn is_usable(database: &DatabaseView, query: RouteQuery<'_>) -> bool {
    database.reachable && !database.draining && !query.excluded.contains(&database.name)
}

/// Returns a hash that gives each session its own fixed order of databases.
fn tie_breaker(session: SessionId, database: &DatabaseName) -> u64 {
    let mut hash = session.0 ^ 0xcbf2_9ce4_8422_2325;
    for byte in database.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash
}
