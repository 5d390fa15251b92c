//! Chooses endpoints and releases slots.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::{InstanceId, ProgramId, ServiceName};

use crate::ask::{Admission, Ask, Destination, EndpointInfo, Grant, Refusal, Ticket};
use crate::endpoint::{Ending, Endpoint, ServerLoad};
use crate::queue::Queue;

/// What a share of the prompt that need not be read again is worth, in shares of an endpoint's slots.
const CACHED_PROMPT: f64 = 0.4;
/// What it is worth to follow the program's turn before.
const SAME_PROGRAM: f64 = 0.4;
/// What the agreed place of an unknown prompt is worth: all relays send it there while load allows.
const AGREED_PLACE: f64 = 0.1;
/// What the relay's own zone is worth.
const OWN_ZONE: f64 = 0.02;
/// What it costs to go to an endpoint that failed lately: any other with room is taken first.
const FAILED_LATELY: f64 = 100.0;
/// What it costs to go to an endpoint all of whose late calls went badly, in shares of its slots.
const TROUBLE: f64 = 3.0;
/// Programs whose last endpoint is remembered.
const PROGRAMS_REMEMBERED: usize = 4_096;

/// How much a balancer holds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests that may wait for the endpoints of one service.
    pub waiting: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { waiting: 256 }
    }
}

#[derive(Debug, Default)]
struct Service {
    endpoints: HashMap<InstanceId, Endpoint>,
    queue: Queue,
}

/// One relay's view of the ready endpoints of all services.
#[derive(Debug)]
pub struct Balancer {
    zone: Arc<str>,
    seed: u64,
    bounds: Bounds,
    services: HashMap<ServiceName, Service>,
    /// The service of each endpoint.
    owners: HashMap<InstanceId, ServiceName>,
    programs: HashMap<ProgramId, InstanceId>,
    next_ticket: u64,
}

impl Balancer {
    /// A balancer without endpoints. `zone` is the relay's own; `seed` breaks ties differently at each relay.
    pub fn new(zone: Arc<str>, seed: u64, bounds: Bounds) -> Self {
        Balancer {
            zone,
            seed,
            bounds,
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
    pub fn admit(&mut self, now: Time, ask: Ask, usual: Span) -> Admission {
        let Some(service) = self.services.get(&ask.destination.service) else {
            return Admission::Refuse(Refusal::NoEndpoint);
        };
        if !service.has_endpoint_for(&ask) {
            return Admission::Refuse(Refusal::NoEndpoint);
        }
        let nobody_before = !service.queue.all().any(|(_, other)| other.priority <= ask.priority);
        if nobody_before && let Some(id) = self.choose(now, &ask) {
            self.take(now, &ask, &id, usual);
            return Admission::Go(id);
        }
        self.wait(ask)
    }

    fn wait(&mut self, ask: Ask) -> Admission {
        let ticket = Ticket(self.next_ticket);
        let most = self.bounds.waiting;
        let Some(service) = self.services.get_mut(&ask.destination.service) else {
            return Admission::Refuse(Refusal::NoEndpoint);
        };
        if service.queue.len() >= most {
            return Admission::Refuse(Refusal::QueueFull);
        }
        self.next_ticket += 1;
        service.queue.push(ticket, ask);
        Admission::Wait(ticket)
    }

    /// A waiting request does not wait any more.
    pub fn cancel(&mut self, service: &ServiceName, ticket: Ticket) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.remove(ticket);
        }
    }

    /// A call has ended. Slots may be free now: see [`Balancer::release`].
    pub fn end(&mut self, now: Time, destination: &Destination, id: &InstanceId, ending: Ending) {
        let Some(service) = self.services.get_mut(&destination.service) else { return };
        service.queue.end(now, destination);
        if let Some(endpoint) = service.endpoints.get_mut(id) {
            endpoint.end(now, ending);
        }
    }

    /// An endpoint has told its load.
    pub fn tell(&mut self, now: Time, id: &InstanceId, load: ServerLoad) {
        let Some(owner) = self.owners.get(id) else { return };
        let endpoint = self.services.get_mut(owner).and_then(|service| service.endpoints.get_mut(id));
        if let Some(endpoint) = endpoint {
            endpoint.tell(now, load);
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

    fn take(&mut self, now: Time, ask: &Ask, id: &InstanceId, usual: Span) {
        let Some(service) = self.services.get_mut(&ask.destination.service) else { return };
        service.queue.begin(now, &ask.destination, usual);
        if let Some(endpoint) = service.endpoints.get_mut(id) {
            endpoint.begin();
            endpoint.parts.read(&ask.prompt);
        }
        if let Some(program) = ask.program.as_ref().filter(|_| !ask.prompt.is_empty()) {
            if self.programs.len() >= PROGRAMS_REMEMBERED && !self.programs.contains_key(program) {
                self.programs.clear();
            }
            self.programs.insert(program.clone(), id.clone());
        }
    }

    /// The endpoint with room that costs least: its load, less what the prompt and the program find there.
    fn choose(&self, now: Time, ask: &Ask) -> Option<InstanceId> {
        let service = self.services.get(&ask.destination.service)?;
        let agreed = service.agreed_place(ask);
        let before = ask.program.as_ref().and_then(|program| self.programs.get(program));
        let open = service.open_to(ask).filter(|(_, endpoint)| endpoint.has_room(now));
        let costs = open.map(|(id, endpoint)| {
            let mut cost = endpoint.fullness(now);
            cost -= CACHED_PROMPT * endpoint.parts.share(&ask.prompt);
            cost -= if [before, ask.hint.as_ref()].contains(&Some(id)) { SAME_PROGRAM } else { 0.0 };
            cost -= if agreed == Some(id) { AGREED_PLACE } else { 0.0 };
            cost -= if endpoint.own_zone { OWN_ZONE } else { 0.0 };
            cost += if endpoint.is_aside(now) { FAILED_LATELY } else { 0.0 };
            cost += TROUBLE * endpoint.trouble(now);
            (cost, hash_of(&(self.seed, id)), id)
        });
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, _, id)| id.clone())
    }
}

impl Service {
    fn open_to<'a>(&'a self, ask: &'a Ask) -> impl Iterator<Item = (&'a InstanceId, &'a Endpoint)> {
        self.endpoints.iter().filter(|(id, _)| !ask.excluded.contains(id))
    }

    fn has_endpoint_for(&self, ask: &Ask) -> bool {
        self.open_to(ask).next().is_some()
    }

    /// Where a prompt goes that no endpoint is known to have read: by rendezvous hashing of its first part, the
    /// same at every relay.
    fn agreed_place(&self, ask: &Ask) -> Option<&InstanceId> {
        let first = ask.prompt.first()?;
        self.endpoints.keys().max_by_key(|id| hash_of(&(first.id, id)))
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
