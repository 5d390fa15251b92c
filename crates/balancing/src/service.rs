//! The endpoints of one service, the requests queued for them, and measurements of their calls.

use std::collections::BTreeMap;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::InstanceId;

use crate::call_outcome::CallOutcome;
use crate::decaying_mean::DecayingMean;
use crate::endpoint::Endpoint;
use crate::placement_request::{Destination, PlacementRequest};
use crate::prefix_cache::CacheableSection;
use crate::queue::Queue;
use crate::rank::Rank;
use crate::server_load::ServerLoad;
use crate::service_time::ServiceTime;
use crate::shared_sections::SharedSections;

#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) endpoints: BTreeMap<InstanceId, Endpoint>,
    pub(crate) queue: Queue,
    service_time: ServiceTime,
    /// The mean number of calls of other relays at an endpoint, taken when it reports its load.
    calls_of_other_relays: DecayingMean,
    /// The mean number of this relay's own calls in flight at all endpoints, taken at the same times.
    own_calls: DecayingMean,
    in_flight: u32,
    shared_sections: SharedSections,
}

impl Service {
    /// Records the start of a call at an endpoint.
    pub(crate) fn begin_call(
        &mut self, now: Time, request: &PlacementRequest, id: &InstanceId, expected_duration: Span,
    ) {
        self.queue.begin_call(now, &request.destination, expected_duration);
        self.in_flight += 1;
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.begin_call(now);
        }
    }

    /// Records the end of a call at an endpoint.
    pub(crate) fn end_call(
        &mut self, now: Time, destination: &Destination, id: &InstanceId, outcome: CallOutcome,
    ) {
        self.queue.end_call(now, destination);
        self.in_flight = self.in_flight.saturating_sub(1);
        let endpoint = self.endpoints.get_mut(id);
        if let Some(slot_time) = endpoint.and_then(|endpoint| endpoint.end_call(now, outcome)) {
            self.service_time.record_slot_time(slot_time);
        }
    }

    /// Records the load that an endpoint has reported.
    pub(crate) fn record_load(&mut self, now: Time, id: &InstanceId, load: ServerLoad) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        self.calls_of_other_relays.add(f64::from(endpoint.record_load(now, load)));
        self.own_calls.add(f64::from(self.in_flight));
    }

    /// Records that an endpoint began to respond, which implies that it has prefilled the prompt.
    pub(crate) fn record_first_response(
        &mut self, request: &PlacementRequest, id: &InstanceId, ran_previous_turn: bool, elapsed: Span,
    ) {
        let prompt = self.cacheable_sections(request);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let uncached_tokens = uncached_tokens(endpoint, request, &prompt, ran_previous_turn);
            self.service_time.record_first_event(uncached_tokens, elapsed);
            endpoint.prefix_cache.insert(&request.prompt);
        }
        if let Some(program) = &request.program {
            self.shared_sections.record(program, &request.prompt);
        }
    }

    /// Whether an endpoint is ready that is not excluded by the request.
    pub(crate) fn has_endpoint_for(&self, request: &PlacementRequest) -> bool {
        self.candidates(request).next().is_some()
    }

    /// Chooses the endpoint with capacity at which the call adds the least delay ([`Rank`]). `last_endpoint` ran the
    /// program's previous turn; `seed` makes each relay order equal endpoints differently.
    pub(crate) fn choose(
        &self, now: Time, request: &PlacementRequest, last_endpoint: Option<&InstanceId>, seed: u64,
    ) -> Option<InstanceId> {
        let has_prompt = !request.prompt.is_empty();
        let prompt = self.cacheable_sections(request);
        let times = self.service_time.expect(has_prompt, self.mean_slots());
        let mean_calls_of_other_relays = self.calls_of_other_relays.get();
        let own_calls_per_endpoint = f64::from(self.in_flight) / self.endpoints.len() as f64;
        let mean_load = mean_calls_of_other_relays + own_calls_per_endpoint;
        let candidates = self.candidates(request).filter(|(_, endpoint)| endpoint.has_capacity(now));
        let ranks = candidates.map(|(id, endpoint)| {
            let ran_previous_turn = last_endpoint == Some(id);
            let load = endpoint.expected_load(now, mean_calls_of_other_relays);
            let uncached_tokens = uncached_tokens(endpoint, request, &prompt, ran_previous_turn);
            let added_secs = times.added_secs(load, endpoint.slots(), uncached_tokens, mean_load)
                + endpoint.expected_failure_secs(now, request.attempt_timeout);
            Rank {
                quantized_delay: (added_secs / times.delay_per_call) as u64,
                is_cache_cold: !ran_previous_turn,
                is_in_other_zone: !endpoint.is_in_own_zone,
                last_turn_at: if has_prompt { endpoint.last_call_at() } else { Time::default() },
                tie_breaker: Rank::tie_breaker(seed, id),
                id,
            }
        });
        ranks.min().map(|rank| rank.id.clone())
    }

    fn candidates<'a>(
        &'a self, request: &'a PlacementRequest,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a Endpoint)> {
        self.endpoints.iter().filter(|(id, _)| !request.excluded.contains(id))
    }

    fn mean_slots(&self) -> f64 {
        let slots: f64 = self.endpoints.values().map(|endpoint| f64::from(endpoint.slots())).sum();
        slots / self.endpoints.len().max(1) as f64
    }

    fn cacheable_sections(&self, request: &PlacementRequest) -> Vec<CacheableSection> {
        let own_calls = self.own_calls.get();
        let other_calls_per_own_call =
            if own_calls > 0.0 { self.calls_of_other_relays.get() / own_calls } else { 0.0 };
        self.shared_sections.cacheable(&request.prompt, other_calls_per_own_call)
    }
}

/// The expected number of a prompt's tokens that an endpoint has to prefill. An endpoint that ran the previous turn has
/// cached everything that is not new.
fn uncached_tokens(
    endpoint: &Endpoint, request: &PlacementRequest, prompt: &[CacheableSection], ran_previous_turn: bool,
) -> f64 {
    let total: f64 = request.prompt.iter().map(|section| f64::from(section.tokens)).sum();
    let uncached = total - endpoint.prefix_cache.cached_tokens(prompt);
    if ran_previous_turn { uncached.min(total * request.new_prompt_fraction) } else { uncached }
}
