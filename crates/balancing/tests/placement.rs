//! Property tests of endpoint selection.

mod common;

use std::collections::BTreeMap;

use juniperwing_balancing::{Admission, Balancer, CallOutcome, PlacementRequest, PromptSection, ServerLoad};
use juniperwing_clock::Span;
use juniperwing_protocol::identity::{InstanceId, ProgramId};
use proptest::prelude::*;

use crate::common::{EXPECTED_DURATION, at, balancer_of, destination, granted_endpoint, plain_request};

const SLOTS: u32 = 12;

fn id(number: usize) -> InstanceId {
    InstanceId::from(format!("i-{number}").as_str())
}

fn balancer(endpoints: usize, seed: u64) -> Balancer {
    let ids: Vec<InstanceId> = (0..endpoints).map(id).collect();
    let endpoints: Vec<_> = ids.iter().map(|id| (&*id.0, "a", SLOTS)).collect();
    balancer_of(seed, &endpoints)
}

fn turn(program: &str, prompt: &[(u64, u32)]) -> PlacementRequest {
    let sections = prompt.iter().map(|(id, tokens)| PromptSection { id: *id, tokens: *tokens });
    PlacementRequest {
        prompt: sections.collect(),
        program: Some(ProgramId::from(program)),
        ..plain_request("/", 0)
    }
}

/// Records calls whose prefill takes `micros_per_token` and which occupy their slot for 300 ms.
fn record_measurements(balancer: &mut Balancer, micros_per_token: u64) {
    for tokens in [500_u32, 1_500, 2_500] {
        let request = turn("measured", &[(u64::from(tokens), tokens)]);
        let endpoint = granted_endpoint(balancer, at(0), request.clone());
        let elapsed = Span::from_nanos(u64::from(tokens) * micros_per_token * 1_000);
        balancer.record_first_response(&request, &endpoint, elapsed);
        balancer.end_call(at(300), &destination("/"), &endpoint, CallOutcome::Succeeded);
    }
}

/// Whether a program's second turn goes to the endpoint of its first one, if that endpoint reports this load.
fn stays_with_its_prefix_cache(history: u32, load: u32) -> bool {
    let mut balancer = balancer(6, 7);
    record_measurements(&mut balancer, 26);
    let first = turn("p", &[(1, 100), (2, history)]);
    let endpoint = granted_endpoint(&mut balancer, at(400), first.clone());
    balancer.record_first_response(&first, &endpoint, Span::from_millis(u64::from(history) * 26 / 1_000));
    balancer.end_call(at(700), &destination("/"), &endpoint, CallOutcome::Succeeded);
    balancer.record_load(at(800), &endpoint, ServerLoad { running: load, waiting: 0, slots: SLOTS });
    granted_endpoint(&mut balancer, at(801), turn("p", &[(1, 100), (2, history + 50)])) == endpoint
}

proptest! {
    #[test]
    fn a_chosen_endpoint_is_ready_and_not_excluded(
        removed in prop::collection::btree_set(0_usize..8, 0..7),
        excluded in prop::collection::btree_set(0_usize..8, 0..7),
        loads in prop::collection::vec((0_usize..8, 0_u32..40, 0_u32..40, 0_u32..20), 0..20),
        tokens in 0_u32..100_000,
    ) {
        let mut balancer = balancer(8, 3);
        for (step, (number, running, waiting, slots)) in loads.into_iter().enumerate() {
            balancer.record_load(at(step as u64), &id(number), ServerLoad { running, waiting, slots });
        }
        removed.iter().for_each(|number| balancer.remove(&id(*number)));
        let excluded: Vec<_> = excluded.into_iter().map(id).collect();
        for request in [turn("p", &[(1, tokens), (2, 10)]), plain_request("/", 0)] {
            let request = PlacementRequest { excluded: excluded.clone(), previous_endpoint: Some(id(0)), ..request };
            if let Admission::Granted(endpoint) = balancer.admit(at(100), request, EXPECTED_DURATION) {
                prop_assert!(balancer.is_ready(&endpoint));
                prop_assert!(!excluded.contains(&endpoint));
            }
        }
    }

    /// First turns are spread evenly if no endpoint reports a load, or all report the same.
    #[test]
    fn first_turns_are_spread_evenly_over_equally_loaded_endpoints(endpoints in 1_usize..60, rounds in 1_usize..5, is_reported in any::<bool>(), seed in any::<u64>()) {
        let mut balancer = balancer(endpoints, seed);
        if is_reported {
            let load = ServerLoad { running: 3, waiting: 0, slots: SLOTS };
            (0..endpoints).for_each(|number| balancer.record_load(at(0), &id(number), load));
        }
        let mut counts = BTreeMap::new();
        for number in 0..endpoints * rounds {
            let now = at(10_000 + 50 * number as u64);
            let endpoint = granted_endpoint(&mut balancer, now, turn(&format!("p-{number}"), &[(1, 500)]));
            balancer.end_call(now + Span::from_millis(40), &destination("/"), &endpoint, CallOutcome::Succeeded);
            *counts.entry(endpoint).or_insert(0) += 1;
        }
        prop_assert!(counts.len() == endpoints && counts.values().all(|count| *count == rounds), "{counts:?}");
    }

    /// Whatever numbers an endpoint reports as its load, the choice neither panics nor rejects a request while another
    /// endpoint has capacity.
    #[test]
    fn arbitrary_reported_loads_leave_a_choice(running in any::<u32>(), waiting in any::<u32>(), slots in any::<u32>(), new_prompt_fraction in any::<f64>()) {
        let mut balancer = balancer(3, 1);
        balancer.record_load(at(0), &id(0), ServerLoad { running, waiting, slots });
        let request = PlacementRequest { new_prompt_fraction, previous_endpoint: Some(id(0)), ..turn("p", &[(1, u32::MAX), (2, u32::MAX)]) };
        prop_assert!(matches!(balancer.admit(at(1), request, EXPECTED_DURATION), Admission::Granted(_)));
    }

    /// A program stays with its prefix cache up to some load, which grows with the length of its history.
    #[test]
    fn a_turn_goes_to_its_prefix_cache_unless_that_costs_more(history in 100_u32..6_000, more in 0_u32..6_000, load in 0_u32..12) {
        prop_assert!(stays_with_its_prefix_cache(history, 0));
        if stays_with_its_prefix_cache(history, load) {
            prop_assert!(load == 0 || stays_with_its_prefix_cache(history, load - 1));
            prop_assert!(stays_with_its_prefix_cache(history + more, load));
        }
    }
}

#[test]
fn waiting_at_a_full_endpoint_may_cost_more_than_a_new_prefill() {
    assert!(stays_with_its_prefix_cache(4_000, 4));
    assert!(!stays_with_its_prefix_cache(100, 12));
}

/// Guards against all programs going to the first endpoints that cached a shared section: other relays send that
/// section as well, so that other endpoints probably have it cached, too.
#[test]
fn a_shared_section_does_not_bind_programs_to_the_endpoints_that_cached_it() {
    let mut balancer = balancer(20, 5);
    record_measurements(&mut balancer, 26);
    let mut endpoints = BTreeMap::new();
    for number in 0..40_u64 {
        let request = turn(&format!("p-{number}"), &[(1, 2_560), (100 + number, 300)]);
        let now = at(1_000 + 200 * number);
        let endpoint = granted_endpoint(&mut balancer, now, request.clone());
        balancer.record_load(now, &endpoint, ServerLoad { running: 4, waiting: 0, slots: SLOTS });
        balancer.record_first_response(&request, &endpoint, Span::from_millis(74));
        balancer.end_call(now + Span::from_millis(150), &destination("/"), &endpoint, CallOutcome::Succeeded);
        *endpoints.entry(endpoint).or_insert(0) += 1;
    }
    assert!(endpoints.len() >= 15, "{endpoints:?}");
}
