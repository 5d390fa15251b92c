//! Properties of the choice of an endpoint.

mod common;

use std::collections::BTreeMap;

use juniperwing_balancing::{Admission, Balancer, CallOutcome, PlacementRequest, PromptSection, ServerLoad};
use juniperwing_clock::Span;
use juniperwing_protocol::identity::{InstanceId, ProgramId};
use proptest::prelude::*;

use crate::common::{USUAL, ask, at, balancer_of, destination, goes_to};

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
    let parts = prompt.iter().map(|(id, tokens)| PromptSection { id: *id, tokens: *tokens });
    PlacementRequest { prompt: parts.collect(), program: Some(ProgramId::from(program)), ..ask("/", 0) }
}

/// Has the balancer see that reading takes `micros_per_token`, and that a call holds its slot for 300 ms.
fn measured(balancer: &mut Balancer, micros_per_token: u64) {
    for tokens in [500_u32, 1_500, 2_500] {
        let ask = turn("measured", &[(u64::from(tokens), tokens)]);
        let endpoint = goes_to(balancer, at(0), ask.clone());
        let lasted = Span::from_nanos(u64::from(tokens) * micros_per_token * 1_000);
        balancer.record_first_response(&ask, &endpoint, lasted);
        balancer.end_call(at(300), &destination("/"), &endpoint, CallOutcome::Succeeded);
    }
}

/// Whether a program's second turn stays where its first one ran, if that endpoint tells such a load.
fn stays(history: u32, load: u32) -> bool {
    let mut balancer = balancer(6, 7);
    measured(&mut balancer, 26);
    let first = turn("p", &[(1, 100), (2, history)]);
    let endpoint = goes_to(&mut balancer, at(400), first.clone());
    balancer.record_first_response(&first, &endpoint, Span::from_millis(u64::from(history) * 26 / 1_000));
    balancer.end_call(at(700), &destination("/"), &endpoint, CallOutcome::Succeeded);
    balancer.record_load(at(800), &endpoint, ServerLoad { running: load, waiting: 0, slots: SLOTS });
    goes_to(&mut balancer, at(801), turn("p", &[(1, 100), (2, history + 50)])) == endpoint
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
        for ask in [turn("p", &[(1, tokens), (2, 10)]), ask("/", 0)] {
            let ask = PlacementRequest { excluded: excluded.clone(), previous_endpoint: Some(id(0)), ..ask };
            if let Admission::Granted(endpoint) = balancer.admit(at(100), ask, USUAL) {
                prop_assert!(balancer.is_ready(&endpoint));
                prop_assert!(!excluded.contains(&endpoint));
            }
        }
    }

    /// Nobody tells a load, or all tell the same: first turns go round.
    #[test]
    fn equal_knowledge_spreads_evenly(endpoints in 1_usize..60, rounds in 1_usize..5, told in any::<bool>(), seed in any::<u64>()) {
        let mut balancer = balancer(endpoints, seed);
        if told {
            let load = ServerLoad { running: 3, waiting: 0, slots: SLOTS };
            (0..endpoints).for_each(|number| balancer.record_load(at(0), &id(number), load));
        }
        let mut counts = BTreeMap::new();
        for number in 0..endpoints * rounds {
            let now = at(10_000 + 50 * number as u64);
            let endpoint = goes_to(&mut balancer, now, turn(&format!("p-{number}"), &[(1, 500)]));
            balancer.end_call(now + Span::from_millis(40), &destination("/"), &endpoint, CallOutcome::Succeeded);
            *counts.entry(endpoint).or_insert(0) += 1;
        }
        prop_assert!(counts.len() == endpoints && counts.values().all(|count| *count == rounds), "{counts:?}");
    }

    /// What an endpoint is told to have may be anything: the choice neither panics nor refuses while there is room elsewhere.
    #[test]
    fn loads_that_lie_leave_a_choice(running in any::<u32>(), waiting in any::<u32>(), slots in any::<u32>(), new_prompt_fraction in any::<f64>()) {
        let mut balancer = balancer(3, 1);
        balancer.record_load(at(0), &id(0), ServerLoad { running, waiting, slots });
        let ask = PlacementRequest { new_prompt_fraction, previous_endpoint: Some(id(0)), ..turn("p", &[(1, u32::MAX), (2, u32::MAX)]) };
        prop_assert!(matches!(balancer.admit(at(1), ask, USUAL), Admission::Granted(_)));
    }

    /// A program stays with its prompt up to some load; the longer its history, the more load it bears.
    #[test]
    fn a_turn_goes_where_its_prompt_is_unless_that_costs_more(history in 100_u32..6_000, more in 0_u32..6_000, load in 0_u32..12) {
        prop_assert!(stays(history, 0));
        if stays(history, load) {
            prop_assert!(load == 0 || stays(history, load - 1));
            prop_assert!(stays(history + more, load));
        }
    }
}

#[test]
fn waiting_behind_a_full_endpoint_may_cost_more_than_reading_anew() {
    assert!(stays(4_000, 4));
    assert!(!stays(100, 12));
}

/// Parts that several programs send are read by other relays, too; parts of one program are not.
#[test]
fn a_shared_part_holds_no_program_at_the_endpoints_that_have_read_it_for_this_relay() {
    let mut balancer = balancer(20, 5);
    measured(&mut balancer, 26);
    let mut endpoints = BTreeMap::new();
    for number in 0..40_u64 {
        let ask = turn(&format!("p-{number}"), &[(1, 2_560), (100 + number, 300)]);
        let now = at(1_000 + 200 * number);
        let endpoint = goes_to(&mut balancer, now, ask.clone());
        balancer.record_load(now, &endpoint, ServerLoad { running: 4, waiting: 0, slots: SLOTS });
        balancer.record_first_response(&ask, &endpoint, Span::from_millis(74));
        balancer.end_call(now + Span::from_millis(150), &destination("/"), &endpoint, CallOutcome::Succeeded);
        *endpoints.entry(endpoint).or_insert(0) += 1;
    }
    assert!(endpoints.len() >= 15, "{endpoints:?}");
}
