//! Zones whose databases the operator wants to get no more requests.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{StoreRevision, Timestamp, ZoneName};

/// What the databases of a zone may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneStanding {
    /// Anything.
    Open,
    /// Anything, but only if no other database will do: an evacuation has just ended.
    Returning,
    /// Only what is open already, questions, and what a primary alone can run, which is on its
    /// way to another zone.
    Evacuating,
    /// Nothing.
    Evacuated,
}

/// What is known of one zone's evacuation.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// Revision of the request, or of its end.
    revision: StoreRevision,
    /// Whether it is in force.
    requested: bool,
    /// When this node learnt of the request or its end.
    since: Timestamp,
}

/// The evacuations that this node knows of. A request that has ended is remembered, so that
/// an older word of it does not bring it back.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<ZoneName, Evacuation>,
}

impl Evacuations {
    /// Takes a request, or its end, of `revision`; one that is not newer than what is known is
    /// passed over. Says whether what is in force changed.
    pub fn take(
        &mut self,
        zone: &ZoneName,
        requested: bool,
        revision: StoreRevision,
        now: Timestamp,
    ) -> bool {
        let known = self.zones.get(zone).copied();
        if known.is_some_and(|known| known.revision >= revision) {
            return false;
        }
        let before = known.is_some_and(|known| known.requested);
        let since = match known {
            Some(known) if known.requested == requested => known.since,
            _ => now,
        };
        let evacuation = Evacuation {
            revision,
            requested,
            since,
        };
        self.zones.insert(zone.clone(), evacuation);
        before != requested
    }

    /// Takes a complete listing of the requests in force, read at `revision`: what it lacks
    /// has ended. Returns the zones for which what is in force changed.
    pub fn replace(
        &mut self,
        listed: &[(ZoneName, StoreRevision)],
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<ZoneName> {
        let mut changed = Vec::new();
        for (zone, requested_at) in listed {
            if self.take(zone, true, *requested_at, now) {
                changed.push(zone.clone());
            }
        }
        let absent: Vec<ZoneName> = self
            .requested()
            .map(|(zone, _)| zone.clone())
            .filter(|zone| !listed.iter().any(|(present, _)| present == zone))
            .collect();
        for zone in absent {
            if self.take(&zone, false, revision, now) {
                changed.push(zone);
            }
        }
        changed
    }

    /// Whether no zone has been evacuated as far as is known.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// All that is known: each zone, whether its request is in force, and the revision of the
    /// request or its end.
    pub fn known(&self) -> impl Iterator<Item = (&ZoneName, bool, StoreRevision)> {
        self.zones
            .iter()
            .map(|(zone, evacuation)| (zone, evacuation.requested, evacuation.revision))
    }

    /// How long the request for a zone has been known, if it is in force.
    pub fn age(&self, zone: &ZoneName, now: Timestamp) -> Option<Duration> {
        let evacuation = self.zones.get(zone)?;
        evacuation.requested.then(|| now.since(evacuation.since))
    }

    /// The requests in force and their revisions.
    pub fn requested(&self) -> impl Iterator<Item = (&ZoneName, StoreRevision)> {
        self.zones
            .iter()
            .filter(|(_, evacuation)| evacuation.requested)
            .map(|(zone, evacuation)| (zone, evacuation.revision))
    }

    /// What the databases of a zone may be used for. They get nothing any more once the
    /// request has been known for `limit`; after its end they are spared for `return_time`.
    pub fn standing(
        &self,
        zone: &ZoneName,
        limit: Duration,
        return_time: Duration,
        now: Timestamp,
    ) -> ZoneStanding {
        let Some(evacuation) = self.zones.get(zone) else {
            return ZoneStanding::Open;
        };
        let elapsed = now.since(evacuation.since);
        match evacuation.requested {
            true if elapsed >= limit => ZoneStanding::Evacuated,
            true => ZoneStanding::Evacuating,
            false if elapsed < return_time => ZoneStanding::Returning,
            false => ZoneStanding::Open,
        }
    }
}
