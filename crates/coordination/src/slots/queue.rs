//! The fair queue of one database.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hookpoint_state::{TenantName, Timestamp, ZoneName};

use super::event::{Lane, RequestNumber, WaitingRequest};

/// Waiting requests in the order they are served.
///
/// Observers and requests whose grant failed come first, in order of arrival. The rest
/// is served by deficit round robin: in its turn a tenant is served as often as its
/// weight says. Inside a tenant the zones take turns; inside a zone the first come is
/// the first served.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    front: VecDeque<WaitingRequest>,
    tenants: BTreeMap<TenantName, TenantQueue>,
    turns: VecDeque<TenantName>,
    places: BTreeMap<RequestNumber, Place>,
    deadlines: BTreeSet<(Timestamp, RequestNumber)>,
    total_weight: u64,
    observers: usize,
}

#[derive(Clone, Debug)]
enum Place {
    Front,
    Tenant(TenantName, ZoneName),
}

#[derive(Clone, Debug, Default)]
struct TenantQueue {
    zones: BTreeMap<ZoneName, VecDeque<WaitingRequest>>,
    turns: VecDeque<ZoneName>,
    weight: u32,
    deficit: u32,
    length: usize,
}

impl TenantQueue {
    fn push(&mut self, request: WaitingRequest) {
        let zone = request.zone.clone();
        let queue = self.zones.entry(zone.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(zone);
        }
        queue.push_back(request);
        self.length += 1;
    }

    fn pop(&mut self) -> Option<WaitingRequest> {
        let zone = self.turns.pop_front()?;
        let queue = self.zones.get_mut(&zone)?;
        let request = queue.pop_front();
        if queue.is_empty() {
            self.zones.remove(&zone);
        } else {
            self.turns.push_back(zone);
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
            self.turns.retain(|candidate| candidate != zone);
        }
        self.length -= 1;
        request
    }
}

impl FairQueue {
    /// An empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that wait, observers included.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Observers that wait.
    pub fn observers(&self) -> usize {
        self.observers
    }

    /// Requests of `tenant` that wait in the fair part.
    pub fn tenant_length(&self, tenant: &TenantName) -> usize {
        self.tenants.get(tenant).map_or(0, |queue| queue.length)
    }

    /// Sum of the weights of the waiting tenants and of `tenant`, whose weight is
    /// `weight`.
    pub fn total_weight_with(&self, tenant: &TenantName, weight: u32) -> u64 {
        let known = self.tenants.contains_key(tenant);
        self.total_weight + if known { 0 } else { u64::from(weight) }
    }

    /// Earliest deadline of a waiting request.
    pub fn first_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Adds a request at the end of its part of the queue. `weight` takes effect when
    /// the tenant had nothing waiting.
    pub fn push(&mut self, request: WaitingRequest, weight: u32) {
        if request.lane == Lane::Observer {
            self.enter(&request, Place::Front);
            self.front.push_back(request);
            return;
        }
        let place = Place::Tenant(request.tenant.clone(), request.zone.clone());
        self.enter(&request, place);
        let tenant = request.tenant.clone();
        let queue = self.tenants.entry(tenant.clone()).or_default();
        if queue.length == 0 {
            queue.weight = weight.max(1);
            self.total_weight += u64::from(queue.weight);
            self.turns.push_back(tenant);
        }
        queue.push(request);
    }

    /// Puts a request whose grant failed ahead of all others.
    pub fn push_front(&mut self, request: WaitingRequest) {
        self.enter(&request, Place::Front);
        self.front.push_front(request);
    }

    /// Takes the request that is served next.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let request = match self.front.pop_front() {
            Some(request) => request,
            None => self.pop_fair()?,
        };
        self.leave(&request);
        Some(request)
    }

    /// Takes a request out, wherever it waits.
    pub fn remove(&mut self, number: RequestNumber) -> Option<WaitingRequest> {
        let request = match self.places.get(&number)?.clone() {
            Place::Front => {
                let index = self.front.iter().position(|r| r.number == number)?;
                self.front.remove(index)?
            }
            Place::Tenant(tenant, zone) => {
                let request = self.tenants.get_mut(&tenant)?.remove(&zone, number)?;
                self.forget_if_empty(&tenant);
                request
            }
        };
        self.leave(&request);
        Some(request)
    }

    /// Takes out a request whose deadline is `now` or earlier.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<WaitingRequest> {
        let (deadline, number) = *self.deadlines.first()?;
        (deadline <= now).then(|| self.remove(number)).flatten()
    }

    /// Takes out a request of `lane`, in the order of numbers.
    pub fn pop_lane(&mut self, lane: Lane) -> Option<WaitingRequest> {
        let number = match lane {
            Lane::Observer => self.front.iter().find(|r| r.lane == lane)?.number,
            Lane::Work => self.first_work()?,
        };
        self.remove(number)
    }

    fn first_work(&self) -> Option<RequestNumber> {
        let fronted = self.front.iter().find(|r| r.lane == Lane::Work);
        let queued = || {
            let tenant = self.turns.front()?;
            let queue = self.tenants.get(tenant)?;
            queue.zones.get(queue.turns.front()?)?.front()
        };
        fronted.or_else(queued).map(|request| request.number)
    }

    fn pop_fair(&mut self) -> Option<WaitingRequest> {
        let tenant = self.turns.front()?.clone();
        let queue = self.tenants.get_mut(&tenant)?;
        if queue.deficit == 0 {
            queue.deficit = queue.weight;
        }
        let request = queue.pop();
        queue.deficit -= 1;
        if queue.deficit == 0 && queue.length > 0 {
            self.turns.rotate_left(1);
        }
        self.forget_if_empty(&tenant);
        request
    }

    fn forget_if_empty(&mut self, tenant: &TenantName) {
        if self.tenant_length(tenant) > 0 {
            return;
        }
        if let Some(queue) = self.tenants.remove(tenant) {
            self.total_weight -= u64::from(queue.weight);
            self.turns.retain(|candidate| candidate != tenant);
        }
    }

    fn enter(&mut self, request: &WaitingRequest, place: Place) {
        self.places.insert(request.number, place);
        self.deadlines.insert((request.deadline, request.number));
        self.observers += usize::from(request.lane == Lane::Observer);
    }

    fn leave(&mut self, request: &WaitingRequest) {
        self.places.remove(&request.number);
        self.deadlines.remove(&(request.deadline, request.number));
        self.observers -= usize::from(request.lane == Lane::Observer);
    }
}
