//! Zones whose databases the operator wants to get no more requests.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{StoreRevision, Timestamp, ZoneName};

use super::departure::WRITTEN_AGAIN;

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
    /// Since when the store has not listed the request, after it came back from a copy. Lost
    /// requests are written again; one that was taken back is not.
    unlisted_since: Option<Timestamp>,
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
            unlisted_since: None,
        };
        self.zones.insert(zone.clone(), evacuation);
        before != requested
    }

    /// Takes a complete listing of the requests in force, read at `revision`: what it lacks
    /// has ended. A listing of a later era may lack what the store has lost, which holds on for
    /// a while. Returns the zones for which what is in force changed.
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
        let absent: Vec<(ZoneName, StoreRevision)> = self
            .requested()
            .filter(|(zone, _)| !listed.iter().any(|(present, _)| present == *zone))
            .map(|(zone, requested_at)| (zone.clone(), requested_at))
            .collect();
        for (zone, requested_at) in absent {
            if requested_at.era() < revision.era() {
                self.note_unlisted(&zone, now);
            } else if self.take(&zone, false, revision, now) {
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

    /// Ends the requests that were not written again after the store came back without them, as
    /// of `revision`. Returns their zones.
    pub fn end_unlisted(&mut self, revision: StoreRevision, now: Timestamp) -> Vec<ZoneName> {
        let is_over = |evacuation: &Evacuation| {
            let since = evacuation.unlisted_since;
            since.is_some_and(|since| now.since(since) >= WRITTEN_AGAIN)
        };
        let over: Vec<ZoneName> = self
            .zones
            .iter()
            .filter(|(_, evacuation)| is_over(evacuation))
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in &over {
            self.take(zone, false, revision, now);
        }
        over
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
