//! Heartbeats, draining, termination, expiry and the merging of instances between keepers.

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::InstanceId;
use juniperwing_protocol::registry::{Instance, InstanceState, Refresh};
use juniperwing_registry::{
    HeartbeatOutcome, Registry, RegistrySettings, TOMBSTONE_RETENTION, parse_heartbeat,
};
use proptest::prelude::*;

const HEARTBEAT_MS: u64 = 1_000;

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn registry() -> Registry {
    let settings =
        RegistrySettings { heartbeat_interval: Span::from_millis(HEARTBEAT_MS), max_instances: 10 };
    Registry::new(at(0), settings)
}

fn instance(id: &str, port: u16, state: InstanceState, sequence: u64) -> Instance {
    Instance {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".into(),
        capacity: 4,
        state,
        sequence,
    }
}

fn ready(id: &str, sequence: u64) -> Instance {
    instance(id, 80, InstanceState::Ready, sequence)
}

fn draining(id: &str, sequence: u64) -> Instance {
    instance(id, 80, InstanceState::Draining, sequence)
}

fn state_of(registry: &Registry, id: &str) -> Option<InstanceState> {
    registry.get(&InstanceId::from(id)).map(|instance| instance.state)
}

fn refresh(id: &str, sequence: u64) -> Refresh {
    Refresh { id: id.into(), sequence }
}

#[test]
fn the_first_heartbeat_is_a_change_and_the_next_is_a_refresh() {
    let mut registry = registry();
    assert_eq!(
        registry.handle_heartbeat(at(0), ready("a", 1)),
        HeartbeatOutcome::Changed(vec![ready("a", 1)])
    );
    assert_eq!(registry.handle_heartbeat(at(1), ready("a", 2)), HeartbeatOutcome::Refreshed(refresh("a", 2)));
}

#[test]
fn a_stale_heartbeat_changes_nothing() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 5));
    assert_eq!(registry.handle_heartbeat(at(1), ready("a", 4)), HeartbeatOutcome::Stale);
    assert_eq!(registry.get(&"a".into()).unwrap().sequence, 5);
}

#[test]
fn draining_is_final_within_an_incarnation() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 1));
    assert!(matches!(registry.handle_heartbeat(at(1), draining("a", 2)), HeartbeatOutcome::Changed(_)));
    assert_eq!(registry.handle_heartbeat(at(2), ready("a", 9)), HeartbeatOutcome::Stale);
    assert_eq!(state_of(&registry, "a"), Some(InstanceState::Draining));
    assert!(registry.merge(at(3), vec![ready("a", 10)], &[refresh("a", 11)]).is_empty());
    assert_eq!(state_of(&registry, "a"), Some(InstanceState::Draining));
}

#[test]
fn a_terminated_instance_leaves_a_tombstone_that_rejects_delayed_heartbeats() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 1));
    assert_eq!(
        registry.deregister(at(1), &"a".into()).map(|tombstone| tombstone.state),
        Some(InstanceState::Terminated)
    );
    assert_eq!(registry.deregister(at(2), &"a".into()), None);
    assert_eq!(registry.handle_heartbeat(at(3), ready("a", 2)), HeartbeatOutcome::Stale);
    registry.expire(at(59_000), at(59_000));
    assert_eq!(state_of(&registry, "a"), Some(InstanceState::Terminated));
    registry.expire(at(1) + TOMBSTONE_RETENTION, at(1) + TOMBSTONE_RETENTION);
    assert!(registry.is_empty());
}

#[test]
fn a_deregistration_before_any_heartbeat_leaves_a_tombstone() {
    let mut registry = registry();
    assert!(registry.deregister(at(0), &"a".into()).is_some());
    assert_eq!(registry.handle_heartbeat(at(1), ready("a", 1)), HeartbeatOutcome::Stale);
}

#[test]
fn an_instance_expires_without_heartbeats_and_a_later_one_revives_it() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 1));
    assert!(registry.expire(at(2_999), at(2_999)).is_empty());
    assert_eq!(registry.expire(at(3_000), at(3_000))[0].state, InstanceState::Expired);
    assert!(registry.expire(at(3_100), at(3_100)).is_empty());
    assert_eq!(registry.handle_heartbeat(at(3_200), ready("a", 1)), HeartbeatOutcome::Stale);
    assert!(matches!(registry.handle_heartbeat(at(3_300), ready("a", 2)), HeartbeatOutcome::Changed(_)));
    assert_eq!(state_of(&registry, "a"), Some(InstanceState::Ready));
}

#[test]
fn heartbeats_received_by_another_keeper_prevent_expiry() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 1));
    assert!(registry.merge(at(2_000), Vec::new(), &[refresh("a", 3)]).is_empty());
    assert!(registry.expire(at(4_000), at(4_000)).is_empty());
    assert_eq!(registry.expire(at(5_000), at(5_000)).len(), 1);
    let back = registry.merge(at(5_100), Vec::new(), &[refresh("a", 4)]);
    assert_eq!(back[0].state, InstanceState::Ready);
}

#[test]
fn timeouts_do_not_run_during_a_partition() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 1));
    registry.restart_timeouts(at(10_000));
    assert!(registry.expire(at(12_900), at(12_900)).is_empty());
    assert_eq!(registry.expire(at(13_000), at(13_000)).len(), 1);
}

/// Timeouts are measured up to `confirmed_until`, not up to now. Heartbeats that the other keepers received
/// since then may not have reached this one.
#[test]
fn timeouts_run_only_while_contact_is_confirmed() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 1));
    assert!(registry.expire(at(3_900), at(2_900)).is_empty());
    assert_eq!(registry.expire(at(3_900), at(3_000)).len(), 1);
}

/// Without `refutation_of`, the subscribers of the keeper that lost contact would regard the instance as expired
/// indefinitely, since a heartbeat that changes nothing else is not sent to them.
#[test]
fn an_expiry_sent_by_a_keeper_that_missed_heartbeats_is_refuted() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 1));
    registry.handle_heartbeat(at(1_000), ready("a", 2));
    let expired = instance("a", 1, InstanceState::Expired, 1);
    let updates = registry.merge(at(1_100), vec![expired.clone()], &[]);
    assert_eq!(updates.len(), 1);
    assert!(updates[0].state == InstanceState::Ready && updates[0].supersedes(&expired));
    // An expiry with the same sequence may be right.
    let expired = instance("a", 1, InstanceState::Expired, 2);
    assert_eq!(registry.merge(at(1_200), vec![expired.clone()], &[]), [expired]);
}

#[test]
fn a_newer_instance_at_an_address_terminates_the_older_one() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 1));
    registry.handle_heartbeat(at(2_500), ready("b", 1));
    assert_eq!(state_of(&registry, "a"), Some(InstanceState::Terminated));
    assert_eq!(state_of(&registry, "b"), Some(InstanceState::Ready));
}

#[test]
fn a_delayed_heartbeat_of_the_older_instance_does_not_terminate_the_newer_one() {
    let mut registry = registry();
    registry.handle_heartbeat(at(0), ready("a", 1));
    registry.handle_heartbeat(at(2_500), ready("b", 1));
    assert_eq!(registry.handle_heartbeat(at(2_600), ready("a", 2)), HeartbeatOutcome::Stale);
    assert_eq!(state_of(&registry, "b"), Some(InstanceState::Ready));
}

#[test]
fn the_number_of_instances_is_bounded() {
    let mut registry = registry();
    for port in 0..10 {
        let id = format!("i-{port}");
        registry.handle_heartbeat(at(0), instance(&id, port, InstanceState::Ready, 1));
    }
    assert_eq!(registry.handle_heartbeat(at(1), ready("more", 1)), HeartbeatOutcome::Full);
    assert!(registry.merge(at(1), vec![ready("more", 1)], &[]).is_empty());
    assert_eq!(registry.len(), 10);
}

#[test]
fn the_registry_is_complete_after_two_heartbeat_intervals() {
    let registry = registry();
    assert!(!registry.is_complete(at(1_999)));
    assert!(registry.is_complete(at(2_000)));
}

/// Completeness counts from the end of a pause or partition, not from the start of the process.
#[test]
fn the_registry_is_incomplete_until_two_heartbeat_intervals_after_a_partition() {
    let mut registry = registry();
    registry.restart_timeouts(at(20_000));
    assert!(!registry.is_complete(at(21_999)));
    assert!(registry.is_complete(at(22_000)));
}

#[test]
fn a_heartbeat_is_parsed_and_all_invalid_fields_are_reported() {
    let body = br#"{"backend":"s","address":"10.0.0.1:80","zone":"a","generation":"v1","capacity":4,
        "state":"ready","warmupRemainingMs":0,"stage":"both","models":[{"name":"m"}],"sequence":7}"#;
    assert_eq!(parse_heartbeat("a", body), Ok(ready("a", 7)));
    let errors = parse_heartbeat("a", br#"{"address":"here","state":"asleep","capacity":-1}"#).unwrap_err();
    let fields: Vec<&str> = errors.iter().map(|error| error.field.as_str()).collect();
    assert_eq!(fields, ["backend", "zone", "address", "state", "sequence", "capacity"]);
    assert!(parse_heartbeat("a", b"[").is_err());
    assert!(parse_heartbeat("a", br#"{"sequence":-1}"#).is_err());
}

fn heartbeat() -> impl Strategy<Value = Instance> {
    (0_u64..20, prop::bool::weighted(0.1)).prop_map(|(sequence, is_draining)| {
        let state = if is_draining { InstanceState::Draining } else { InstanceState::Ready };
        instance("a", 80, state, sequence)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn two_keepers_agree_after_merging_each_others_instances(
        heartbeats in prop::collection::vec((heartbeat(), any::<bool>()), 1..40), deregisters in any::<bool>(),
    ) {
        let (mut one, mut other) = (registry(), registry());
        for (heartbeat, first) in heartbeats {
            let keeper = if first { &mut one } else { &mut other };
            keeper.handle_heartbeat(at(1), heartbeat);
        }
        if deregisters {
            one.deregister(at(1), &"a".into());
        }
        let sent: Vec<Instance> = one.instances().cloned().collect();
        other.merge(at(2), sent, &[]);
        let sent: Vec<Instance> = other.instances().cloned().collect();
        one.merge(at(2), sent, &[]);
        prop_assert_eq!(one.get(&"a".into()), other.get(&"a".into()));
    }
}
