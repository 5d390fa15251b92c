//! Chooses endpoints and releases slots.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::{InstanceId, ProgramId, ServiceName};

use crate::endpoint::{CallOutcome, Endpoint, ServerLoad};
use crate::placement_request::{
    Admission, Destination, EndpointInfo, Grant, PlacementRequest, RejectionReason, Ticket,
};
use crate::prompt::{LikelyPart, SharedParts};
use crate::queue::Queue;
use crate::service_time::{AgedMean, ServiceTime};

/// Programs whose last endpoint is remembered.
const PROGRAMS_REMEMBERED: usize = 4_096;

/// How much a balancer holds.
#[derive(Clone, Copy, Debug)]
pub struct BalancerLimits {
    /// Requests that may wait for the endpoints of one service.
    pub max_queued_per_service: usize,
}

impl Default for BalancerLimits {
    fn default() -> Self {
        BalancerLimits { max_queued_per_service: 256 }
    }
}

#[derive(Debug, Default)]
struct Service {
    endpoints: HashMap<InstanceId, Endpoint>,
    queue: Queue,
    times: ServiceTime,
    /// Calls of others at an endpoint that tells its load.
    others: AgedMean,
    /// This relay's own calls, at all endpoints together, at those moments.
    own: AgedMean,
    in_flight: u32,
    shared_parts: SharedParts,
}

/// One relay's view of the ready endpoints of all services.
#[derive(Debug)]
pub struct Balancer {
    zone: Arc<str>,
    seed: u64,
    limits: BalancerLimits,
    services: HashMap<ServiceName, Service>,
    /// The service of each endpoint.
    owners: HashMap<InstanceId, ServiceName>,
    programs: HashMap<ProgramId, InstanceId>,
    next_ticket: u64,
}

impl Balancer {
    /// A balancer without endpoints. `zone` is the relay's own; `seed` breaks ties differently at each relay.
    pub fn new(zone: Arc<str>, seed: u64, limits: BalancerLimits) -> Self {
        Balancer {
            zone,
            seed,
            limits,
            services: HashMap::new(),
            owners: HashMap::new(),
            programs: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// An endpoint is ready, or what is known of it has changed.
    pub fn insert(&mut self, info: &EndpointInfo) {
        if self.owners.get(&info.id).is_some_and(|owner| *owner != info.service) {
            self.remove(&info.id);
        }
        let own_zone = info.zone == self.zone;
        self.owners.insert(info.id.clone(), info.service.clone());
        let service = self.services.entry(info.service.clone()).or_default();
        let endpoint = service.endpoints.entry(info.id.clone());
        endpoint.or_insert_with(|| Endpoint::new(info.capacity, own_zone)).set_capacity(info.capacity);
    }

    /// An endpoint takes no more requests. Calls that are out end as usual.
    pub fn remove(&mut self, id: &InstanceId) {
        let Some(owner) = self.owners.remove(id) else { return };
        if let Some(service) = self.services.get_mut(&owner) {
            service.endpoints.remove(id);
        }
    }

    /// Whether an endpoint takes requests.
    pub fn is_ready(&self, id: &InstanceId) -> bool {
        self.owners.contains_key(id)
    }

    /// How many endpoints of a service take requests.
    pub fn ready(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |service| service.endpoints.len())
    }

    /// Chooses an endpoint for a request and takes a slot there, or has it wait.
    pub fn admit(&mut self, now: Time, ask: PlacementRequest, usual: Span) -> Admission {
        let Some(service) = self.services.get(&ask.destination.service) else {
            return Admission::Rejected(RejectionReason::NoEndpoint);
        };
        if !service.has_endpoint_for(&ask) {
            return Admission::Rejected(RejectionReason::NoEndpoint);
        }
        let nobody_before = !service.queue.all().any(|(_, other)| other.priority <= ask.priority);
        if nobody_before && let Some(id) = self.choose(now, &ask) {
            self.take(now, &ask, &id, usual);
            return Admission::Granted(id);
        }
        self.wait(ask)
    }

    fn wait(&mut self, ask: PlacementRequest) -> Admission {
        let ticket = Ticket(self.next_ticket);
        let most = self.limits.max_queued_per_service;
        let Some(service) = self.services.get_mut(&ask.destination.service) else {
            return Admission::Rejected(RejectionReason::NoEndpoint);
        };
        if service.queue.len() >= most {
            return Admission::Rejected(RejectionReason::QueueFull);
        }
        self.next_ticket += 1;
        service.queue.push(ticket, ask);
        Admission::Queued(ticket)
    }

    /// A waiting request does not wait any more.
    pub fn cancel(&mut self, service: &ServiceName, ticket: Ticket) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.remove(ticket);
        }
    }

    /// A call has ended. Slots may be free now: see [`Balancer::release`].
    pub fn end(&mut self, now: Time, destination: &Destination, id: &InstanceId, ending: CallOutcome) {
        let Some(service) = self.services.get_mut(&destination.service) else { return };
        service.queue.end(now, destination);
        service.in_flight = service.in_flight.saturating_sub(1);
        let held = service.endpoints.get_mut(id).and_then(|endpoint| endpoint.end(now, ending));
        if let Some(held) = held {
            service.times.record_held(held);
        }
    }

    /// An endpoint has told its load.
    pub fn tell(&mut self, now: Time, id: &InstanceId, load: ServerLoad) {
        let Some(service) = self.owners.get(id).and_then(|owner| self.services.get_mut(owner)) else {
            return;
        };
        let Some(endpoint) = service.endpoints.get_mut(id) else { return };
        service.others.add(f64::from(endpoint.tell(now, load)));
        service.own.add(f64::from(service.in_flight));
    }

    /// An endpoint began to answer a call, so long after it was sent: it has read the prompt.
    pub fn answered(&mut self, ask: &PlacementRequest, id: &InstanceId, lasted: Span) {
        if ask.prompt.is_empty() {
            return;
        }
        let Some(service) = self.services.get_mut(&ask.destination.service) else { return };
        let likely = service.likely_parts(ask);
        let ran_before = last_endpoint(&self.programs, ask) == Some(id);
        if let Some(endpoint) = service.endpoints.get_mut(id) {
            service.times.record_first_event(unread_tokens(endpoint, ask, &likely, ran_before), lasted);
            endpoint.parts.read(&ask.prompt);
        }
        if let Some(program) = &ask.program {
            service.shared_parts.sent(program, &ask.prompt);
            if self.programs.len() >= PROGRAMS_REMEMBERED && !self.programs.contains_key(program) {
                self.programs.clear();
            }
            self.programs.insert(program.clone(), id.clone());
        }
    }

    /// Gives free slots to those that wait.
    pub fn release(&mut self, now: Time, name: &ServiceName) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let Some(grant) = self.next_grant(now, name) {
            grants.push(grant);
        }
        grants
    }

    /// When the endpoints of a service that are full may next be asked, if anything waits for that.
    pub fn next_release(&self, now: Time, name: &ServiceName) -> Option<Time> {
        let service = self.services.get(name)?;
        let pauses = service.endpoints.values().map(Endpoint::full_until).filter(|until| *until > now);
        pauses.min().filter(|_| service.queue.len() > 0)
    }

    fn next_grant(&mut self, now: Time, name: &ServiceName) -> Option<Grant> {
        let service = self.services.get(name)?;
        if service.queue.len() == 0 {
            return None;
        }
        let stranded = service.queue.all().find(|(_, ask)| !service.has_endpoint_for(ask));
        if let Some((ticket, ask)) = stranded {
            let destination = ask.destination.clone();
            self.cancel(name, ticket);
            return Some(Grant { ticket, destination, endpoint: None });
        }
        let order = service.queue.order(now);
        let (ticket, id) = order.iter().find_map(|(ticket, ask)| Some((*ticket, self.choose(now, ask)?)))?;
        let ask = self.services.get_mut(name)?.queue.remove(ticket)?;
        self.take(now, &ask, &id, Span::ZERO);
        Some(Grant { ticket, destination: ask.destination, endpoint: Some(id) })
    }

    fn take(&mut self, now: Time, ask: &PlacementRequest, id: &InstanceId, usual: Span) {
        let Some(service) = self.services.get_mut(&ask.destination.service) else { return };
        service.queue.begin(now, &ask.destination, usual);
        service.in_flight += 1;
        if let Some(endpoint) = service.endpoints.get_mut(id) {
            endpoint.begin(now);
        }
    }

    /// The endpoint with room at which the call adds the least time ([`Rank`]).
    fn choose(&self, now: Time, ask: &PlacementRequest) -> Option<InstanceId> {
        let service = self.services.get(&ask.destination.service)?;
        let last = last_endpoint(&self.programs, ask);
        let likely = service.likely_parts(ask);
        let times = service.times.expected(!ask.prompt.is_empty(), service.mean_slots());
        let usual_others = service.others.get();
        let usual_load = usual_others + f64::from(service.in_flight) / service.endpoints.len() as f64;
        let open = service.open_to(ask).filter(|(_, endpoint)| endpoint.has_room(now));
        let ranks = open.map(|(id, endpoint)| {
            let ran_before = last == Some(id);
            let load = endpoint.likely_load(now, usual_others);
            let unread = unread_tokens(endpoint, ask, &likely, ran_before);
            let predicted = times.added_secs(load, endpoint.slots(), unread, usual_load);
            let predicted = predicted + endpoint.failure_secs(now, ask.time_out);
            Rank {
                predicted_calls: (predicted / times.per_call) as u64,
                reads_anew: !ran_before,
                is_in_other_zone: !endpoint.own_zone,
                last_begun: if ask.prompt.is_empty() { Time::default() } else { endpoint.last_begun() },
                order_of_relay: hash_of(&(self.seed, id)),
                id,
            }
        });
        ranks.min().map(|rank| rank.id.clone())
    }
}

/// Where an endpoint stands among those that may be chosen; the least is taken.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank<'a> {
    /// The time that the call adds, in whole times of what one call more makes: less is no difference.
    predicted_calls: u64,
    /// Whether another endpoint ran the program's turn before.
    reads_anew: bool,
    is_in_other_zone: bool,
    /// When this relay last sent it a turn: a program stays where its first turn ran, so that programs have to be spread.
    /// The same for calls without prompts, which go to the same few so that connections are used again.
    last_begun: Time,
    /// An order that differs by relay.
    order_of_relay: u64,
    id: &'a InstanceId,
}

/// The endpoint that ran the program's turn before: the stores know it better than this relay, through which not all
/// turns of a program come.
fn last_endpoint<'a>(
    programs: &'a HashMap<ProgramId, InstanceId>, ask: &'a PlacementRequest,
) -> Option<&'a InstanceId> {
    let known = ask.program.as_ref().and_then(|program| programs.get(program));
    ask.hint.as_ref().or(known)
}

/// Tokens of a prompt that an endpoint has yet to read. One that ran the turn before has read all but what is new.
fn unread_tokens(
    endpoint: &Endpoint, ask: &PlacementRequest, prompt: &[LikelyPart], ran_before: bool,
) -> f64 {
    let total: f64 = ask.prompt.iter().map(|part| f64::from(part.tokens)).sum();
    let unread = total - endpoint.parts.kept_tokens(prompt);
    if ran_before { unread.min(total * ask.new_prompt_fraction) } else { unread }
}

impl Service {
    fn open_to<'a>(
        &'a self, ask: &'a PlacementRequest,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a Endpoint)> {
        self.endpoints.iter().filter(|(id, _)| !ask.excluded.contains(id))
    }

    fn has_endpoint_for(&self, ask: &PlacementRequest) -> bool {
        self.open_to(ask).next().is_some()
    }

    fn mean_slots(&self) -> f64 {
        let slots: f64 = self.endpoints.values().map(|endpoint| f64::from(endpoint.slots())).sum();
        slots / self.endpoints.len().max(1) as f64
    }

    fn likely_parts(&self, ask: &PlacementRequest) -> Vec<LikelyPart> {
        let own = self.own.get();
        let others_per_own_call = if own > 0.0 { self.others.get() / own } else { 0.0 };
        self.shared_parts.likely(&ask.prompt, others_per_own_call)
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
