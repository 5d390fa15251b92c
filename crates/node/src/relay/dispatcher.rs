//! Slots at endpoints: the balancer behind a lock, and the requests that wait for it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniperwing_balancing::{
    Admission, Balancer, CallOutcome, Destination, EndpointInfo, Grant, LatencyModels, PlacementRequest,
    RejectionReason, ServerLoad, Ticket,
};
use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::{InstanceId, ServiceName};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::{duration, now};
use crate::panics::critical;
use crate::sync::lock;

/// What endpoints tell ages without an event: those that wait look again this often.
const RELEASE_POLL_INTERVAL: Span = Span::from_millis(50);

/// Why there is no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotError {
    /// No endpoint is ready that has not had the request already.
    NoEndpoint,
    /// All are full, and it has waited long enough, or too many wait.
    Full,
}

#[derive(Debug)]
struct State {
    balancer: Balancer,
    latencies: LatencyModels,
    waiting: HashMap<Ticket, oneshot::Sender<Option<Slot>>>,
}

/// Gives out slots at endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    state: Mutex<State>,
    /// Slots that are taken.
    taken: AtomicUsize,
}

/// A slot taken at an endpoint. Dropped without an ending, it counts as abandoned.
#[derive(Debug)]
pub struct Slot {
    dispatcher: Arc<Dispatcher>,
    destination: Destination,
    endpoint: InstanceId,
    ended: bool,
}

impl Slot {
    /// The endpoint.
    pub fn endpoint(&self) -> &InstanceId {
        &self.endpoint
    }

    /// Gives the slot back.
    pub fn end(mut self, ending: CallOutcome) {
        self.give_back(ending);
    }

    fn give_back(&mut self, ending: CallOutcome) {
        if !std::mem::replace(&mut self.ended, true) {
            self.dispatcher.taken.fetch_sub(1, Ordering::Relaxed);
            self.dispatcher.end(&self.destination, &self.endpoint, ending);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.give_back(CallOutcome::Cancelled);
    }
}

impl Dispatcher {
    /// A dispatcher over a balancer.
    pub fn new(balancer: Balancer) -> Arc<Self> {
        let state = State { balancer, latencies: LatencyModels::default(), waiting: HashMap::new() };
        Arc::new(Dispatcher { state: Mutex::new(state), taken: AtomicUsize::new(0) })
    }

    /// Takes a slot for a request, waiting for one up to `patience`.
    ///
    /// # Errors
    ///
    /// If there is none in that time, or none will be.
    pub async fn slot(self: &Arc<Self>, ask: PlacementRequest, patience: Span) -> Result<Slot, SlotError> {
        let destination = ask.destination.clone();
        let (ticket, mut receiver) = match self.admit(ask)? {
            Admitted::Slot(slot) => return Ok(slot),
            Admitted::Waiting(ticket, receiver) => (ticket, receiver),
        };
        let _waiting = Waiting { dispatcher: self, service: &destination.service, ticket };
        let until = now() + patience;
        loop {
            match timeout(self.next_look(&destination.service, until), &mut receiver).await {
                Ok(Ok(Some(slot))) => return Ok(slot),
                Ok(Ok(None) | Err(_)) => return Err(SlotError::NoEndpoint),
                Err(_) if now() >= until => return Err(SlotError::Full),
                Err(_) => self.release(&destination.service),
            }
        }
    }

    fn admit(self: &Arc<Self>, ask: PlacementRequest) -> Result<Admitted, SlotError> {
        let destination = ask.destination.clone();
        let mut state = self.lock();
        let usual = state.latencies.median(&destination);
        match critical(|| state.balancer.admit(now(), ask, usual)) {
            Admission::Granted(endpoint) => {
                drop(state);
                Ok(Admitted::Slot(self.slot_at(destination, endpoint)))
            }
            Admission::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                drop(state);
                self.release(&destination.service);
                Ok(Admitted::Waiting(ticket, receiver))
            }
            Admission::Rejected(RejectionReason::NoEndpoint) => Err(SlotError::NoEndpoint),
            Admission::Rejected(RejectionReason::QueueFull) => Err(SlotError::Full),
        }
    }

    fn slot_at(self: &Arc<Self>, destination: Destination, endpoint: InstanceId) -> Slot {
        self.taken.fetch_add(1, Ordering::Relaxed);
        Slot { dispatcher: Arc::clone(self), destination, endpoint, ended: false }
    }

    /// Slots that are taken now.
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::Relaxed)
    }

    fn next_look(&self, service: &ServiceName, until: Time) -> Duration {
        let now = now();
        let state = self.lock();
        let look = state.balancer.next_release(now, service).unwrap_or(Time::NEVER);
        duration(look.min(now + RELEASE_POLL_INTERVAL).min(until).since(now))
    }

    /// Hands free slots of a service to those that wait.
    fn release(self: &Arc<Self>, service: &ServiceName) {
        let given: Vec<_> = critical(|| {
            let mut state = self.lock();
            let grants = state.balancer.release(now(), service);
            grants.into_iter().map(|grant| (state.waiting.remove(&grant.ticket), grant)).collect()
        });
        for (waiter, Grant { endpoint, destination, .. }) in given {
            let slot = endpoint.map(|endpoint| self.slot_at(destination, endpoint));
            // A waiter that is gone drops the slot, which gives it back.
            let _ = waiter.map(|waiter| waiter.send(slot));
        }
    }

    fn end(self: &Arc<Self>, destination: &Destination, endpoint: &InstanceId, ending: CallOutcome) {
        critical(|| self.lock().balancer.end(now(), destination, endpoint, ending));
        self.release(&destination.service);
    }

    /// An endpoint is ready.
    pub fn insert(self: &Arc<Self>, info: &EndpointInfo) {
        self.lock().balancer.insert(info);
        self.release(&info.service);
    }

    /// An endpoint takes no more requests.
    pub fn remove(self: &Arc<Self>, endpoint: &InstanceId, service: &ServiceName) {
        self.lock().balancer.remove(endpoint);
        self.release(service);
    }

    /// Whether an endpoint takes requests.
    pub fn is_ready(&self, endpoint: &InstanceId) -> bool {
        self.lock().balancer.is_ready(endpoint)
    }

    /// An endpoint has told its load.
    pub fn tell(&self, endpoint: &InstanceId, load: ServerLoad) {
        self.lock().balancer.tell(now(), endpoint, load);
    }

    /// An endpoint began to answer a call, so long after it was sent.
    pub fn answered(&self, ask: &PlacementRequest, endpoint: &InstanceId, lasted: Span) {
        critical(|| self.lock().balancer.answered(ask, endpoint, lasted));
    }

    /// Takes in how long a try lasted.
    pub fn record(&self, destination: &Destination, lasted: Span, censored: bool) {
        self.lock().latencies.record(now(), destination, lasted, censored);
    }

    /// How long the next try may last.
    pub fn time_out(&self, destination: &Destination, left: Span, tries_left: u32) -> Span {
        self.lock().latencies.time_out(destination, left, tries_left)
    }

    /// Whether a try is worth making with so much time left.
    pub fn has_time_for_attempt(&self, destination: &Destination, left: Span) -> bool {
        self.lock().latencies.has_time_for_attempt(destination, left)
    }

    /// Forgets latencies of destinations that are no more.
    pub fn retain(&self, wanted: impl Fn(&Destination) -> bool) {
        self.lock().latencies.retain(wanted);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

enum Admitted {
    Slot(Slot),
    Waiting(Ticket, oneshot::Receiver<Option<Slot>>),
}

/// Takes a request out of the queue when it does not wait any more, for whatever reason.
struct Waiting<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatcher.lock();
        state.balancer.cancel(self.service, self.ticket);
        state.waiting.remove(&self.ticket);
    }
}
