//! Chooses endpoints for requests, and queues requests while all endpoints are full.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::{InstanceId, ProgramId, ServiceName};

use crate::call_outcome::CallOutcome;
use crate::endpoint::Endpoint;
use crate::placement_request::{
    Admission, Destination, EndpointInfo, Grant, PlacementRequest, RejectionReason, Ticket,
};
use crate::server_load::ServerLoad;
use crate::service::Service;

/// The number of programs whose last endpoint is remembered.
const MAX_REMEMBERED_PROGRAMS: usize = 4_096;

/// The limits of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct BalancerLimits {
    /// The number of requests that may wait for the endpoints of one service.
    pub max_queued_per_service: usize,
}

impl Default for BalancerLimits {
    fn default() -> Self {
        BalancerLimits { max_queued_per_service: 256 }
    }
}

/// One relay's view of the ready endpoints of all services.
#[derive(Debug)]
pub struct Balancer {
    zone: Arc<str>,
    seed: u64,
    limits: BalancerLimits,
    services: BTreeMap<ServiceName, Service>,
    service_of: BTreeMap<InstanceId, ServiceName>,
    /// The endpoint that ran the last turn of each program, as far as this relay knows.
    last_endpoints: BTreeMap<ProgramId, InstanceId>,
    next_ticket: u64,
}

impl Balancer {
    /// Creates a balancer without endpoints. `zone` is the relay's own; `seed` makes relays break ties differently.
    pub fn new(zone: Arc<str>, seed: u64, limits: BalancerLimits) -> Self {
        Balancer {
            zone,
            seed,
            limits,
            services: BTreeMap::new(),
            service_of: BTreeMap::new(),
            last_endpoints: BTreeMap::new(),
            next_ticket: 0,
        }
    }

    /// Adds a ready endpoint, or updates a known one.
    pub fn insert(&mut self, info: &EndpointInfo) {
        if self.service_of.get(&info.id).is_some_and(|service| *service != info.service) {
            self.remove(&info.id);
        }
        let is_in_own_zone = info.zone == self.zone;
        self.service_of.insert(info.id.clone(), info.service.clone());
        let service = self.services.entry(info.service.clone()).or_default();
        let endpoint = service.endpoints.entry(info.id.clone());
        let endpoint = endpoint.or_insert_with(|| Endpoint::new(info.capacity, is_in_own_zone));
        endpoint.set_capacity(info.capacity);
    }

    /// Removes an endpoint, so that it gets no more requests. Its calls in flight are not affected.
    pub fn remove(&mut self, id: &InstanceId) {
        let Some(service) = self.service_of.remove(id) else { return };
        if let Some(service) = self.services.get_mut(&service) {
            service.endpoints.remove(id);
        }
    }

    /// Whether an endpoint is ready for requests.
    pub fn is_ready(&self, id: &InstanceId) -> bool {
        self.service_of.contains_key(id)
    }

    /// Chooses an endpoint for a request and occupies a slot there, or queues the request. `expected_duration` is the
    /// typical duration of calls to its destination.
    pub fn admit(&mut self, now: Time, request: PlacementRequest, expected_duration: Span) -> Admission {
        let Some(service) = self.services.get(&request.destination.service) else {
            return Admission::Rejected(RejectionReason::NoEndpoint);
        };
        if !service.has_endpoint_for(&request) {
            return Admission::Rejected(RejectionReason::NoEndpoint);
        }
        let is_first_in_line = !service.queue.iter().any(|(_, queued)| queued.priority <= request.priority);
        if is_first_in_line && let Some(id) = self.choose(now, &request) {
            self.begin_call(now, &request, &id, expected_duration);
            return Admission::Granted(id);
        }
        self.enqueue(request)
    }

    fn enqueue(&mut self, request: PlacementRequest) -> Admission {
        let ticket = Ticket(self.next_ticket);
        let max_queued = self.limits.max_queued_per_service;
        let Some(service) = self.services.get_mut(&request.destination.service) else {
            return Admission::Rejected(RejectionReason::NoEndpoint);
        };
        if service.queue.len() >= max_queued {
            return Admission::Rejected(RejectionReason::QueueFull);
        }
        self.next_ticket += 1;
        service.queue.push(ticket, request);
        Admission::Queued(ticket)
    }

    /// Removes a request from the queue, if it is still queued.
    pub fn cancel(&mut self, service: &ServiceName, ticket: Ticket) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.remove(ticket);
        }
    }

    /// Records the end of a call. The caller should follow up with [`Balancer::grant_slots`], because slots may be free
    /// now.
    pub fn end_call(&mut self, now: Time, destination: &Destination, id: &InstanceId, outcome: CallOutcome) {
        if let Some(service) = self.services.get_mut(&destination.service) {
            service.end_call(now, destination, id, outcome);
        }
    }

    /// Records the load that an endpoint has reported.
    pub fn record_load(&mut self, now: Time, id: &InstanceId, load: ServerLoad) {
        let service = self.service_of.get(id).and_then(|service| self.services.get_mut(service));
        if let Some(service) = service {
            service.record_load(now, id, load);
        }
    }

    /// Records that an endpoint began to respond, `elapsed` after the request was sent. Does nothing for requests
    /// without a prompt.
    pub fn record_first_response(&mut self, request: &PlacementRequest, id: &InstanceId, elapsed: Span) {
        if request.prompt.is_empty() {
            return;
        }
        let Some(service) = self.services.get_mut(&request.destination.service) else { return };
        let ran_previous_turn = last_endpoint(&self.last_endpoints, request) == Some(id);
        service.record_first_response(request, id, ran_previous_turn, elapsed);
        if let Some(program) = &request.program {
            self.remember_endpoint(program, id);
        }
    }

    fn remember_endpoint(&mut self, program: &ProgramId, id: &InstanceId) {
        let is_full = self.last_endpoints.len() >= MAX_REMEMBERED_PROGRAMS;
        if is_full && !self.last_endpoints.contains_key(program) {
            self.last_endpoints.clear();
        }
        self.last_endpoints.insert(program.clone(), id.clone());
    }

    /// Grants free slots of a service to queued requests.
    pub fn grant_slots(&mut self, now: Time, service: &ServiceName) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let Some(grant) = self.next_grant(now, service) {
            grants.push(grant);
        }
        grants
    }

    /// Returns when the first backoff of a service's overloaded endpoints ends; `None` if there is none or no request
    /// is queued.
    pub fn next_backoff_end(&self, now: Time, service: &ServiceName) -> Option<Time> {
        let service = self.services.get(service)?;
        let ends = service.endpoints.values().map(Endpoint::overloaded_until).filter(|end| *end > now);
        ends.min().filter(|_| service.queue.len() > 0)
    }

    fn next_grant(&mut self, now: Time, name: &ServiceName) -> Option<Grant> {
        let service = self.services.get(name)?;
        if service.queue.len() == 0 {
            return None;
        }
        let unplaceable = service.queue.iter().find(|(_, request)| !service.has_endpoint_for(request));
        if let Some((ticket, request)) = unplaceable {
            let destination = request.destination.clone();
            self.cancel(name, ticket);
            return Some(Grant { ticket, destination, endpoint: None });
        }
        let heads = service.queue.next_by_destination(now);
        let (ticket, id) =
            heads.iter().find_map(|(ticket, request)| Some((*ticket, self.choose(now, request)?)))?;
        let request = self.services.get_mut(name)?.queue.remove(ticket)?;
        self.begin_call(now, &request, &id, Span::ZERO);
        Some(Grant { ticket, destination: request.destination, endpoint: Some(id) })
    }

    fn begin_call(
        &mut self, now: Time, request: &PlacementRequest, id: &InstanceId, expected_duration: Span,
    ) {
        if let Some(service) = self.services.get_mut(&request.destination.service) {
            service.begin_call(now, request, id, expected_duration);
        }
    }

    fn choose(&self, now: Time, request: &PlacementRequest) -> Option<InstanceId> {
        let service = self.services.get(&request.destination.service)?;
        service.choose(now, request, last_endpoint(&self.last_endpoints, request), self.seed)
    }
}

/// Returns the endpoint that ran the program's previous turn. What the stores report takes precedence over this
/// relay's own record, because other relays serve turns of the program as well.
fn last_endpoint<'a>(
    last_endpoints: &'a BTreeMap<ProgramId, InstanceId>, request: &'a PlacementRequest,
) -> Option<&'a InstanceId> {
    let known = request.program.as_ref().and_then(|program| last_endpoints.get(program));
    request.previous_endpoint.as_ref().or(known)
}
