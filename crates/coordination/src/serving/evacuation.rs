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

/// The newest request to evacuate a zone, or the end of that request. A request ends when an
/// operator withdraws it, or when it was lost with a restored store and not written again in time.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// Store revision of the request, or, if it has ended, the revision at which it was found to
    /// have ended.
    revision: StoreRevision,
    /// Whether the request is in force; false once it has ended.
    requested: bool,
    /// When this node first observed the request, or, if it has ended, its end.
    since: Timestamp,
    /// When this node first read, from a store restored from an older copy, a listing without the
    /// request; `None` if no such listing was read since the request was recorded. A request that
    /// was lost with the restored store is written again, a withdrawn one is not.
    unlisted_since: Option<Timestamp>,
}

/// The evacuation requests known to this node, by zone. A request that has ended is remembered, so
/// that an older message does not put it in force again.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<ZoneName, Evacuation>,
}

impl Evacuations {
    /// Records that the evacuation of `zone` is requested as of `revision`, or, if `requested` is
    /// false, that the request has ended. Has no effect if `revision` is not newer than the
    /// recorded one. Returns whether a request for the zone came into force or ended.
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
    /// absent has ended. The era of a revision increases when the store is restored from an older
    /// copy; a listing of a later era may lack requests that the store has lost, so those remain in
    /// force until [`Evacuations::end_unlisted`] ends them. Returns the zones whose state changed.
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

    /// Ends, as of `revision`, the requests that were not written again within [`REWRITE_TIME`]
    /// after this node found them missing in a restored store. Returns their zones.
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

    /// Returns whether no evacuation request, in force or ended, is recorded.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns every zone with a recorded request, whether the request is in force, and the
    /// revision of the request or, if it has ended, of its end.
    pub fn known(&self) -> impl Iterator<Item = (&ZoneName, bool, StoreRevision)> {
        self.zones
            .iter()
            .map(|(zone, evacuation)| (zone, evacuation.requested, evacuation.revision))
    }

    /// Returns how long ago this node observed the request for `zone`; `None` if no request is in
    /// force.
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

    /// Returns what the databases of `zone` may be used for. They receive no requests once `limit`
    /// has passed since this node observed the evacuation request; for `return_time` after the
    /// request has ended, they are used only if no other database can serve a request.
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
