//! Tests of endpoint selection, admission and the grants of slots.

mod common;

use juniperwing_balancing::{
    Admission, Balancer, CallOutcome, LatencyModels, PlacementRequest, PromptSection, RejectionReason,
    ServerLoad,
};
use juniperwing_clock::Span;
use juniperwing_protocol::identity::{InstanceId, ProgramId};
use proptest::prelude::*;

use crate::common::{EXPECTED_DURATION, at, balancer_of, destination, granted_endpoint, plain_request};

fn balancer(endpoints: &[(&str, &str, u32)]) -> Balancer {
    balancer_of(7, endpoints)
}

/// Occupies every slot of the balancer's endpoints.
fn fill(balancer: &mut Balancer, prefix: &str) -> Vec<InstanceId> {
    let mut granted = Vec::new();
    loop {
        match balancer.admit(at(0), plain_request(prefix, 1), EXPECTED_DURATION) {
            Admission::Granted(id) => granted.push(id),
            Admission::Queued(ticket) => {
                balancer.cancel(&"s".into(), ticket);
                return granted;
            }
            Admission::Rejected(reason) => panic!("{reason:?}"),
        }
    }
}

#[test]
fn load_is_spread_and_ties_go_to_the_relays_own_zone() {
    let mut balancer = balancer(&[("far", "b", 4), ("near", "a", 4)]);
    let chosen: Vec<_> =
        (0..4).map(|_| granted_endpoint(&mut balancer, at(0), plain_request("/", 0))).collect();
    assert_eq!(chosen[0], InstanceId::from("near"));
    assert_eq!(chosen.iter().filter(|id| **id == chosen[0]).count(), 2);
}

#[test]
fn a_reported_load_counts_and_decays() {
    let mut balancer = balancer(&[("far", "b", 4), ("near", "a", 4)]);
    balancer.record_load(at(0), &"near".into(), ServerLoad { running: 4, waiting: 1, slots: 4 });
    assert_eq!(granted_endpoint(&mut balancer, at(1), plain_request("/", 0)), "far".into());
    balancer.end_call(at(2), &destination("/"), &"far".into(), CallOutcome::Succeeded);
    assert_eq!(granted_endpoint(&mut balancer, at(5_000), plain_request("/", 0)), "near".into());
}

#[test]
fn a_failed_endpoint_is_ejected_but_used_if_it_is_the_only_one() {
    let mut balancer = balancer(&[("far", "b", 4), ("near", "a", 4)]);
    let near = granted_endpoint(&mut balancer, at(0), plain_request("/", 0));
    balancer.end_call(at(1), &destination("/"), &near, CallOutcome::Failed);
    assert_eq!(granted_endpoint(&mut balancer, at(2), plain_request("/", 0)), "far".into());
    balancer.remove(&"far".into());
    assert_eq!(granted_endpoint(&mut balancer, at(3), plain_request("/", 0)), near);
}

#[test]
fn removed_and_excluded_endpoints_are_not_chosen() {
    let mut balancer = balancer(&[("one", "a", 4), ("two", "a", 4)]);
    let request = PlacementRequest { excluded: vec!["one".into()], ..plain_request("/", 0) };
    assert_eq!(granted_endpoint(&mut balancer, at(0), request.clone()), "two".into());
    balancer.remove(&"two".into());
    assert_eq!(
        balancer.admit(at(0), request, EXPECTED_DURATION),
        Admission::Rejected(RejectionReason::NoEndpoint)
    );
    assert!(!balancer.is_ready(&"two".into()));
}

#[test]
fn a_free_slot_goes_to_the_most_urgent_then_to_the_least_served() {
    let mut balancer = balancer(&[("one", "a", 2)]);
    let granted = fill(&mut balancer, "/busy/");
    let Admission::Queued(busy) = balancer.admit(at(1), plain_request("/busy/", 1), EXPECTED_DURATION) else {
        panic!()
    };
    let Admission::Queued(idle) = balancer.admit(at(2), plain_request("/idle/", 1), EXPECTED_DURATION) else {
        panic!()
    };
    let Admission::Queued(urgent) = balancer.admit(at(3), plain_request("/urgent/", 0), EXPECTED_DURATION)
    else {
        panic!()
    };
    assert!(balancer.grant_slots(at(4), &"s".into()).is_empty());
    let mut order = Vec::new();
    for step in 0..3 {
        balancer.end_call(at(10 + step), &destination("/busy/"), &granted[0], CallOutcome::Succeeded);
        order.extend(balancer.grant_slots(at(10 + step), &"s".into()).into_iter().map(|grant| grant.ticket));
    }
    assert_eq!(order, [urgent, idle, busy]);
}

#[test]
fn the_queue_is_bounded_and_requests_can_be_cancelled() {
    let mut balancer = balancer(&[("one", "a", 1)]);
    fill(&mut balancer, "/");
    let waiting: Vec<_> =
        (0..4).map(|_| balancer.admit(at(0), plain_request("/", 0), EXPECTED_DURATION)).collect();
    let Admission::Queued(last) = waiting[3] else { panic!("{waiting:?}") };
    assert_eq!(
        balancer.admit(at(0), plain_request("/", 0), EXPECTED_DURATION),
        Admission::Rejected(RejectionReason::QueueFull)
    );
    balancer.cancel(&"s".into(), last);
    assert!(matches!(balancer.admit(at(0), plain_request("/", 0), EXPECTED_DURATION), Admission::Queued(_)));
}

#[test]
fn queued_requests_are_notified_when_all_endpoints_are_removed() {
    let mut balancer = balancer(&[("one", "a", 1)]);
    fill(&mut balancer, "/");
    assert!(matches!(balancer.admit(at(0), plain_request("/", 0), EXPECTED_DURATION), Admission::Queued(_)));
    balancer.remove(&"one".into());
    let grants = balancer.grant_slots(at(1), &"s".into());
    assert_eq!((grants.len(), grants[0].endpoint.clone()), (1, None));
}

#[test]
fn turns_follow_their_program_and_prefix_cache_unless_load_outweighs_it() {
    let ids: Vec<String> = (0..6).map(|number| format!("i-{number}")).collect();
    let endpoints: Vec<_> = ids.iter().map(|id| (id.as_str(), "a", 10)).collect();
    let mut balancer = balancer(&endpoints);
    let turn = |program: &str, prompt: &str| PlacementRequest {
        program: Some(ProgramId::from(program)),
        prompt: PromptSection::parse_list(prompt),
        ..plain_request("/", 0)
    };
    // Trains a fast prefill, so that prefilling this prompt costs less than waiting in a queue.
    balancer.record_first_response(&turn("z", "ee:100000"), &"i-0".into(), EXPECTED_DURATION);
    let first = granted_endpoint(&mut balancer, at(0), turn("p", "aa:100,bb:50"));
    balancer.record_first_response(&turn("p", "aa:100,bb:50"), &first, EXPECTED_DURATION);
    balancer.end_call(at(1), &destination("/"), &first, CallOutcome::Succeeded);
    assert_eq!(granted_endpoint(&mut balancer, at(1), turn("p", "aa:100,bb:50,cc:20")), first);
    let loaded = ServerLoad { running: 10, waiting: 0, slots: 10 };
    balancer.record_load(at(2), &first, loaded);
    assert_ne!(granted_endpoint(&mut balancer, at(3), turn("p", "aa:100,bb:50,cc:20")), first);
}

#[test]
fn a_turn_follows_the_previous_endpoint_even_if_that_has_a_call() {
    let mut balancer = balancer(&[("one", "a", 10), ("two", "a", 10), ("three", "a", 10)]);
    let turn = |prompt: &str| PlacementRequest {
        program: Some(ProgramId::from("p")),
        prompt: PromptSection::parse_list(prompt),
        ..plain_request("/", 0)
    };
    balancer.record_first_response(&turn("ee:1000"), &"two".into(), EXPECTED_DURATION);
    let previous_endpoint = granted_endpoint(&mut balancer, at(0), plain_request("/", 0));
    let next_turn = PlacementRequest {
        previous_endpoint: Some(previous_endpoint.clone()),
        new_prompt_fraction: 0.1,
        ..turn("dd:5000")
    };
    assert_eq!(granted_endpoint(&mut balancer, at(4), next_turn), previous_endpoint);
}

#[test]
fn latencies_shorten_attempt_timeouts_and_rule_out_hopeless_attempts() {
    let mut latencies = LatencyModels::default();
    let remaining = Span::from_millis(1_000);
    assert_eq!(latencies.attempt_timeout(&destination("/"), remaining, 3), remaining);
    assert!(latencies.allows_attempt(at(0), &destination("/"), Span::from_millis(1)));
    for step in 0..10 {
        latencies.record(at(step), &destination("/"), Span::from_millis(50), false);
    }
    assert!(latencies.attempt_timeout(&destination("/"), remaining, 3) < remaining);
    assert_eq!(latencies.attempt_timeout(&destination("/"), remaining, 1), remaining);
    assert!(!latencies.allows_attempt(at(10), &destination("/"), Span::from_millis(20)));
    assert!(latencies.allows_attempt(at(10), &destination("/"), Span::from_millis(200)));
    latencies.retain(|_| false);
    assert_eq!(latencies.median(&destination("/")), Span::ZERO);
}

#[test]
fn malformed_sections_and_loads_are_ignored() {
    assert_eq!(PromptSection::parse_list("5c1e07a2:800,91:41").len(), 2);
    assert_eq!(PromptSection::parse_list("5c:8,malformed,7:7").len(), 1);
    assert_eq!(ServerLoad::parse("3,0,8"), Some(ServerLoad { running: 3, waiting: 0, slots: 8 }));
    assert_eq!(ServerLoad::parse("3,0"), None);
}

proptest! {
    /// For any sequence of calls, no endpoint gets more calls than its slots and the allowed overcommitment, and queued
    /// requests are granted as soon as slots are free.
    #[test]
    fn slots_are_never_exceeded_and_never_lost(steps in prop::collection::vec((0_u8..3, 0_u32..3), 1..200)) {
        let mut balancer = balancer(&[("one", "a", 4), ("two", "b", 4)]);
        let (mut open, mut waiting): (Vec<InstanceId>, usize) = (Vec::new(), 0);
        for (time, (action, priority)) in steps.into_iter().enumerate() {
            let now = at(time as u64);
            if action < 2 {
                match balancer.admit(now, plain_request("/", priority), EXPECTED_DURATION) {
                    Admission::Granted(id) => open.push(id),
                    Admission::Queued(_) => waiting += 1,
                    Admission::Rejected(_) => {}
                }
            } else if let Some(id) = open.pop() {
                balancer.end_call(now, &destination("/"), &id, CallOutcome::Succeeded);
            }
            for grant in balancer.grant_slots(now, &"s".into()) {
                waiting -= 1;
                open.extend(grant.endpoint);
            }
            for id in ["one", "two"] {
                prop_assert!(open.iter().filter(|granted| **granted == id.into()).count() <= 5);
            }
            prop_assert!(waiting == 0 || open.len() == 10);
        }
    }
}

#[test]
fn a_partially_failing_endpoint_is_avoided() {
    for failure in [CallOutcome::Overloaded, CallOutcome::ServerError, CallOutcome::TimedOut] {
        let mut balancer = balancer(&[("flaky", "a", 4), ("healthy", "b", 4)]);
        let mut calls_to_flaky = 0;
        for step in 0..40 {
            let now = at(100 * step);
            let id = granted_endpoint(&mut balancer, now, plain_request("/", 0));
            let is_flaky = id == InstanceId::from("flaky");
            calls_to_flaky += u32::from(is_flaky);
            let fails = is_flaky && calls_to_flaky % 2 == 1;
            balancer.end_call(
                now,
                &destination("/"),
                &id,
                if fails { failure } else { CallOutcome::Succeeded },
            );
        }
        assert!(calls_to_flaky < 10, "{failure:?}: {calls_to_flaky} of 40 calls");
    }
}

#[test]
fn a_failed_endpoint_is_tried_again_later() {
    let mut balancer = balancer(&[("near", "a", 4), ("far", "b", 4)]);
    let first = granted_endpoint(&mut balancer, at(0), plain_request("/", 0));
    balancer.end_call(at(0), &destination("/"), &first, CallOutcome::ServerError);
    assert_eq!(granted_endpoint(&mut balancer, at(100), plain_request("/", 0)), "far".into());
    balancer.end_call(at(100), &destination("/"), &"far".into(), CallOutcome::Succeeded);
    assert_eq!(granted_endpoint(&mut balancer, at(10_000), plain_request("/", 0)), first);
}
