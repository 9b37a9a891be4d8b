//! Zones whose databases the operator has asked to take out of service.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{StoreRevision, Timestamp, ZoneName};

use super::departure::REWRITE_TIME;

/// What the databases of a zone may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneAvailability {
    /// Any request.
    Open,
    /// Any request, but only if no other database can serve it: an evacuation has just ended.
    Returning,
    /// Only work that is already open, status queries, and statements that only a primary can run,
    /// while that primary is being moved to another zone.
    Evacuating,
    /// No requests at all.
    Evacuated,
}

/// What is known about one zone's evacuation.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// Revision of the evacuation request, or of its end.
    revision: StoreRevision,
    /// Whether the request is in force.
    requested: bool,
    /// When this node learned of the request or its end.
    since: Timestamp,
    /// Since when a store restored from a copy has not listed the request. Lost requests are
    /// rewritten; a withdrawn one is not.
    unlisted_since: Option<Timestamp>,
}

/// The evacuations known to this node. A request that has ended is remembered, so that an older
/// message does not bring it back.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<ZoneName, Evacuation>,
}

impl Evacuations {
    /// Applies a request, or its end, as of `revision`. A revision that is not newer than the known
    /// one is ignored. Returns whether a request for the zone came into force or ended.
    pub fn apply(
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
            unlisted_since: None,
        };
        self.zones.insert(zone.clone(), evacuation);
        before != requested
    }

    /// Applies a complete listing of the requests in force, read at `revision`: a request that is
    /// absent has ended. A listing of a later era may lack requests that the store has lost; those
    /// remain in force for a while. Returns the zones whose state changed.
    pub fn replace(
        &mut self,
        listed: &[(ZoneName, StoreRevision)],
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<ZoneName> {
        let mut changed = Vec::new();
        for (zone, requested_at) in listed {
            if self.apply(zone, true, *requested_at, now) {
                changed.push(zone.clone());
            }
        }
        let absent: Vec<(ZoneName, StoreRevision)> = self
            .requested()
            .filter(|(zone, _)| !listed.iter().any(|(present, _)| present == *zone))
            .map(|(zone, requested_at)| (zone.clone(), requested_at))
            .collect();
        for (zone, requested_at) in absent {
            if requested_at.era() < revision.era() {
                self.note_unlisted(&zone, now);
            } else if self.apply(&zone, false, revision, now) {
                changed.push(zone);
            }
        }
        changed
    }

    fn note_unlisted(&mut self, zone: &ZoneName, now: Timestamp) {
        if let Some(evacuation) = self.zones.get_mut(zone) {
            evacuation.unlisted_since.get_or_insert(now);
        }
    }

    /// Ends, as of `revision`, the requests that were not rewritten after the store was restored
    /// without them. Returns their zones.
    pub fn end_unlisted(&mut self, revision: StoreRevision, now: Timestamp) -> Vec<ZoneName> {
        let is_over = |evacuation: &Evacuation| {
            let since = evacuation.unlisted_since;
            since.is_some_and(|since| now.since(since) >= REWRITE_TIME)
        };
        let over: Vec<ZoneName> = self
            .zones
            .iter()
            .filter(|(_, evacuation)| is_over(evacuation))
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in &over {
            self.apply(zone, false, revision, now);
        }
        over
    }

    /// Returns whether no evacuation, current or ended, is known.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns every known zone, whether its request is in force, and the revision of the request
    /// or its end.
    pub fn known(&self) -> impl Iterator<Item = (&ZoneName, bool, StoreRevision)> {
        self.zones
            .iter()
            .map(|(zone, evacuation)| (zone, evacuation.requested, evacuation.revision))
    }

    /// Returns for how long the request for a zone has been known, if it is in force.
    pub fn age(&self, zone: &ZoneName, now: Timestamp) -> Option<Duration> {
        let evacuation = self.zones.get(zone)?;
        evacuation.requested.then(|| now.since(evacuation.since))
    }

    /// Returns the requests in force and their revisions.
    pub fn requested(&self) -> impl Iterator<Item = (&ZoneName, StoreRevision)> {
        self.zones
            .iter()
            .filter(|(_, evacuation)| evacuation.requested)
            .map(|(zone, evacuation)| (zone, evacuation.revision))
    }

    /// Returns what the databases of a zone may be used for. They receive nothing once the request
    /// has been known for `limit`; after its end they are used only as a last resort for
    /// `return_time`.
    pub fn availability(
        &self,
        zone: &ZoneName,
        limit: Duration,
        return_time: Duration,
        now: Timestamp,
    ) -> ZoneAvailability {
        let Some(evacuation) = self.zones.get(zone) else {
            return ZoneAvailability::Open;
        };
        let elapsed = now.since(evacuation.since);
        match evacuation.requested {
            true if elapsed >= limit => ZoneAvailability::Evacuated,
            true => ZoneAvailability::Evacuating,
            false if elapsed < return_time => ZoneAvailability::Returning,
            false => ZoneAvailability::Open,
        }
    }
}
