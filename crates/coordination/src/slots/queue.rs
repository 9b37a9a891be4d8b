//! Fair queue of the requests for connections to one database.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hookpoint_state::{TenantName, Timestamp, ZoneName};

use super::event::{Lane, RequestNumber, WaitingRequest};

/// Waiting requests in the order in which they are served.
///
/// Requests whose grant failed come first, then observers in order of arrival. The rest
/// is served by deficit round robin: in its turn a tenant is served as often as its
/// weight specifies. Within a tenant the zones take turns; within a zone requests are
/// served in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    front: VecDeque<WaitingRequest>,
    tenants: BTreeMap<TenantName, TenantQueue>,
    rotation: VecDeque<TenantName>,
    locations: BTreeMap<RequestNumber, Location>,
    deadlines: BTreeSet<(Timestamp, RequestNumber)>,
    total_weight: u64,
    observers: usize,
}

#[derive(Clone, Debug)]
enum Location {
    Front,
    Tenant(TenantName, ZoneName),
}

#[derive(Clone, Debug, Default)]
struct TenantQueue {
    zones: BTreeMap<ZoneName, VecDeque<WaitingRequest>>,
    rotation: VecDeque<ZoneName>,
    weight: u32,
    deficit: u32,
    length: usize,
}

impl TenantQueue {
    fn push(&mut self, request: WaitingRequest) {
        let zone = request.zone.clone();
        let queue = self.zones.entry(zone.clone()).or_default();
        if queue.is_empty() {
            self.rotation.push_back(zone);
        }
        queue.push_back(request);
        self.length += 1;
    }

    fn pop(&mut self) -> Option<WaitingRequest> {
        let zone = self.rotation.pop_front()?;
        let queue = self.zones.get_mut(&zone)?;
        let request = queue.pop_front();
        if queue.is_empty() {
            self.zones.remove(&zone);
        } else {
            self.rotation.push_back(zone);
        }
        self.length -= usize::from(request.is_some());
        request
    }

    fn remove(&mut self, zone: &ZoneName, number: RequestNumber) -> Option<WaitingRequest> {
        let queue = self.zones.get_mut(zone)?;
        let index = queue.iter().position(|request| request.number == number)?;
        let request = queue.remove(index);
        if queue.is_empty() {
            self.zones.remove(zone);
            self.rotation.retain(|candidate| candidate != zone);
        }
        self.length -= 1;
        request
    }
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests, including observers.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the number of waiting observers.
    pub fn observers(&self) -> usize {
        self.observers
    }

    /// Returns the number of waiting requests of `tenant`, without observers and
    /// requests whose grant failed.
    pub fn tenant_length(&self, tenant: &TenantName) -> usize {
        self.tenants.get(tenant).map_or(0, |queue| queue.length)
    }

    /// Returns the sum of the weights of the waiting tenants and of `tenant`, whose
    /// weight is `weight`.
    pub fn total_weight_with(&self, tenant: &TenantName, weight: u32) -> u64 {
        let known = self.tenants.contains_key(tenant);
        self.total_weight + if known { 0 } else { u64::from(weight) }
    }

    /// Returns the earliest deadline of a waiting request.
    pub fn first_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Adds a request at the end of its part of the queue. `weight` takes effect only if
    /// the tenant had no waiting request.
    pub fn push(&mut self, request: WaitingRequest, weight: u32) {
        if request.lane == Lane::Observer {
            self.track(&request, Location::Front);
            self.front.push_back(request);
            return;
        }
        let location = Location::Tenant(request.tenant.clone(), request.zone.clone());
        self.track(&request, location);
        let tenant = request.tenant.clone();
        let queue = self.tenants.entry(tenant.clone()).or_default();
        if queue.length == 0 {
            queue.weight = weight.max(1);
            self.total_weight += u64::from(queue.weight);
            self.rotation.push_back(tenant);
        }
        queue.push(request);
    }

    /// Puts a request whose grant failed ahead of all others.
    pub fn push_front(&mut self, request: WaitingRequest) {
        self.track(&request, Location::Front);
        self.front.push_front(request);
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let request = match self.front.pop_front() {
            Some(request) => request,
            None => self.pop_fair()?,
        };
        self.untrack(&request);
        Some(request)
    }

    /// Removes and returns a request from any part of the queue.
    pub fn remove(&mut self, number: RequestNumber) -> Option<WaitingRequest> {
        let request = match self.locations.get(&number)?.clone() {
            Location::Front => {
                let index = self.front.iter().position(|r| r.number == number)?;
                self.front.remove(index)?
            }
            Location::Tenant(tenant, zone) => {
                let request = self.tenants.get_mut(&tenant)?.remove(&zone, number)?;
                self.remove_if_empty(&tenant);
                request
            }
        };
        self.untrack(&request);
        Some(request)
    }

    /// Removes and returns a request whose deadline is `now` or earlier.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<WaitingRequest> {
        let (deadline, number) = *self.deadlines.first()?;
        (deadline <= now).then(|| self.remove(number)).flatten()
    }

    /// Removes and returns the first waiting request of `lane`.
    pub fn pop_lane(&mut self, lane: Lane) -> Option<WaitingRequest> {
        let number = match lane {
            Lane::Observer => self.front.iter().find(|r| r.lane == lane)?.number,
            Lane::Work => self.first_work()?,
        };
        self.remove(number)
    }

    fn first_work(&self) -> Option<RequestNumber> {
        let in_front = self.front.iter().find(|r| r.lane == Lane::Work);
        let queued = || {
            let tenant = self.rotation.front()?;
            let queue = self.tenants.get(tenant)?;
            queue.zones.get(queue.rotation.front()?)?.front()
        };
        in_front.or_else(queued).map(|request| request.number)
    }

    fn pop_fair(&mut self) -> Option<WaitingRequest> {
        let tenant = self.rotation.front()?.clone();
        let queue = self.tenants.get_mut(&tenant)?;
        if queue.deficit == 0 {
            queue.deficit = queue.weight;
        }
        let request = queue.pop();
        queue.deficit -= 1;
        if queue.deficit == 0 && queue.length > 0 {
            self.rotation.rotate_left(1);
        }
        self.remove_if_empty(&tenant);
        request
    }

    fn remove_if_empty(&mut self, tenant: &TenantName) {
        if self.tenant_length(tenant) > 0 {
            return;
        }
        if let Some(queue) = self.tenants.remove(tenant) {
            self.total_weight -= u64::from(queue.weight);
            self.rotation.retain(|candidate| candidate != tenant);
        }
    }

    fn track(&mut self, request: &WaitingRequest, location: Location) {
        self.locations.insert(request.number, location);
        self.deadlines.insert((request.deadline, request.number));
        self.observers += usize::from(request.lane == Lane::Observer);
    }

    fn untrack(&mut self, request: &WaitingRequest) {
        self.locations.remove(&request.number);
        self.deadlines.remove(&(request.deadline, request.number));
        self.observers -= usize::from(request.lane == Lane::Observer);
    }
}
