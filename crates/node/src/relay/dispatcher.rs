//! Assigns slots at endpoints to requests: a lock around the balancer, and the tasks that wait for slots.

use std::collections::BTreeMap;
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
use crate::panics::critical_section;
use crate::sync::lock;

/// How often queued requests poll for free slots. Polling is needed because no event occurs when the reported load of
/// an endpoint becomes outdated.
const GRANT_POLL_INTERVAL: Span = Span::from_millis(50);

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotError {
    /// No endpoint is ready, except those that were tried already.
    NoEndpoint,
    /// All endpoints are full, and the request has waited too long or the queue is full.
    Overloaded,
}

#[derive(Debug)]
struct State {
    balancer: Balancer,
    latencies: LatencyModels,
    /// The channels to queued requests; `None` is sent if no endpoint is left.
    waiters: BTreeMap<Ticket, oneshot::Sender<Option<Slot>>>,
}

/// Assigns slots at endpoints to requests.
#[derive(Debug)]
pub struct Dispatcher {
    state: Mutex<State>,
    occupied_slots: AtomicUsize,
}

/// An occupied slot at an endpoint. If it is dropped without an outcome, the call counts as cancelled.
#[derive(Debug)]
pub struct Slot {
    dispatcher: Arc<Dispatcher>,
    destination: Destination,
    endpoint: InstanceId,
    is_released: bool,
}

impl Slot {
    /// The endpoint.
    pub fn endpoint(&self) -> &InstanceId {
        &self.endpoint
    }

    /// Releases the slot with the outcome of its call.
    pub fn release(mut self, outcome: CallOutcome) {
        self.release_once(outcome);
    }

    fn release_once(&mut self, outcome: CallOutcome) {
        if !std::mem::replace(&mut self.is_released, true) {
            self.dispatcher.occupied_slots.fetch_sub(1, Ordering::Relaxed);
            self.dispatcher.end_call(&self.destination, &self.endpoint, outcome);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release_once(CallOutcome::Cancelled);
    }
}

impl Dispatcher {
    /// Creates a dispatcher around a balancer.
    pub fn new(balancer: Balancer) -> Arc<Self> {
        let state = State { balancer, latencies: LatencyModels::default(), waiters: BTreeMap::new() };
        Arc::new(Dispatcher { state: Mutex::new(state), occupied_slots: AtomicUsize::new(0) })
    }

    /// Acquires a slot for a request, waiting for up to `max_wait`.
    ///
    /// # Errors
    ///
    /// If no slot becomes free in that time, no endpoint is left, or the queue is full.
    pub async fn acquire_slot(
        self: &Arc<Self>, request: PlacementRequest, max_wait: Span,
    ) -> Result<Slot, SlotError> {
        let service = request.destination.service.clone();
        let (ticket, mut receiver) = match self.admit(request)? {
            Admitted::Slot(slot) => return Ok(slot),
            Admitted::Queued(ticket, receiver) => (ticket, receiver),
        };
        let _queued = QueuedRequest { dispatcher: self, service: &service, ticket };
        let until = now() + max_wait;
        loop {
            match timeout(self.time_to_next_poll(&service, until), &mut receiver).await {
                Ok(Ok(Some(slot))) => return Ok(slot),
                Ok(Ok(None) | Err(_)) => return Err(SlotError::NoEndpoint),
                Err(_) if now() >= until => return Err(SlotError::Overloaded),
                Err(_) => self.grant_slots(&service),
            }
        }
    }

    fn admit(self: &Arc<Self>, request: PlacementRequest) -> Result<Admitted, SlotError> {
        let destination = request.destination.clone();
        let mut state = self.lock();
        let expected_duration = state.latencies.median(&destination);
        match critical_section(|| state.balancer.admit(now(), request, expected_duration)) {
            Admission::Granted(endpoint) => {
                drop(state);
                Ok(Admitted::Slot(self.occupy_slot(destination, endpoint)))
            }
            Admission::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                drop(state);
                self.grant_slots(&destination.service);
                Ok(Admitted::Queued(ticket, receiver))
            }
            Admission::Rejected(RejectionReason::NoEndpoint) => Err(SlotError::NoEndpoint),
            Admission::Rejected(RejectionReason::QueueFull) => Err(SlotError::Overloaded),
        }
    }

    fn occupy_slot(self: &Arc<Self>, destination: Destination, endpoint: InstanceId) -> Slot {
        self.occupied_slots.fetch_add(1, Ordering::Relaxed);
        Slot { dispatcher: Arc::clone(self), destination, endpoint, is_released: false }
    }

    /// The number of slots that are occupied now.
    pub fn occupied_slots(&self) -> usize {
        self.occupied_slots.load(Ordering::Relaxed)
    }

    fn time_to_next_poll(&self, service: &ServiceName, until: Time) -> Duration {
        let now = now();
        let state = self.lock();
        let backoff_end = state.balancer.next_backoff_end(now, service).unwrap_or(Time::NEVER);
        duration(backoff_end.min(now + GRANT_POLL_INTERVAL).min(until).since(now))
    }

    /// Grants free slots of a service to queued requests.
    fn grant_slots(self: &Arc<Self>, service: &ServiceName) {
        let granted: Vec<_> = critical_section(|| {
            let mut state = self.lock();
            let grants = state.balancer.grant_slots(now(), service);
            grants.into_iter().map(|grant| (state.waiters.remove(&grant.ticket), grant)).collect()
        });
        for (waiter, Grant { endpoint, destination, .. }) in granted {
            let slot = endpoint.map(|endpoint| self.occupy_slot(destination, endpoint));
            // If the request no longer waits, the slot is dropped and thereby released.
            let _ = waiter.map(|waiter| waiter.send(slot));
        }
    }

    fn end_call(self: &Arc<Self>, destination: &Destination, endpoint: &InstanceId, outcome: CallOutcome) {
        critical_section(|| self.lock().balancer.end_call(now(), destination, endpoint, outcome));
        self.grant_slots(&destination.service);
    }

    /// Adds a ready endpoint, or updates a known one.
    pub fn insert(self: &Arc<Self>, info: &EndpointInfo) {
        self.lock().balancer.insert(info);
        self.grant_slots(&info.service);
    }

    /// Removes an endpoint, so that it gets no more requests.
    pub fn remove(self: &Arc<Self>, endpoint: &InstanceId, service: &ServiceName) {
        self.lock().balancer.remove(endpoint);
        self.grant_slots(service);
    }

    /// Whether an endpoint is ready for requests.
    pub fn is_ready(&self, endpoint: &InstanceId) -> bool {
        self.lock().balancer.is_ready(endpoint)
    }

    /// Records the load that an endpoint has reported.
    pub fn record_load(&self, endpoint: &InstanceId, load: ServerLoad) {
        self.lock().balancer.record_load(now(), endpoint, load);
    }

    /// Records that an endpoint began to respond, `elapsed` after the request was sent.
    pub fn record_first_response(&self, request: &PlacementRequest, endpoint: &InstanceId, elapsed: Span) {
        critical_section(|| self.lock().balancer.record_first_response(request, endpoint, elapsed));
    }

    /// Records the duration of an attempt, as a censored sample if the attempt was abandoned at its timeout.
    pub fn record_latency(&self, destination: &Destination, duration: Span, is_censored: bool) {
        self.lock().latencies.record(now(), destination, duration, is_censored);
    }

    /// The timeout of the next attempt.
    pub fn attempt_timeout(&self, destination: &Destination, remaining: Span, attempts_left: u32) -> Span {
        self.lock().latencies.attempt_timeout(destination, remaining, attempts_left)
    }

    /// Whether an attempt may begin with the remaining time.
    pub fn allows_attempt(&self, destination: &Destination, remaining: Span) -> bool {
        self.lock().latencies.allows_attempt(now(), destination, remaining)
    }

    /// Begins an attempt; returns `false` if it may not begin with the remaining time.
    pub fn begin_attempt(&self, destination: &Destination, remaining: Span) -> bool {
        self.lock().latencies.begin_attempt(now(), destination, remaining)
    }

    /// The longest fitted median latency of any destination; zero if there is no fit.
    pub fn longest_median(&self) -> Span {
        self.lock().latencies.longest_median()
    }

    /// Removes the latency models of destinations that no longer exist.
    pub fn retain_destinations(&self, exists: impl Fn(&Destination) -> bool) {
        self.lock().latencies.retain(exists);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

enum Admitted {
    Slot(Slot),
    Queued(Ticket, oneshot::Receiver<Option<Slot>>),
}

/// Removes a request from the queue when dropped; a no-op if a slot was granted.
struct QueuedRequest<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatcher.lock();
        state.balancer.cancel(self.service, self.ticket);
        state.waiters.remove(&self.ticket);
    }
}
