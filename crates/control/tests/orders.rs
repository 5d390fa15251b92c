//! Tests of the decisions on submitted configurations and of the history of accepted and rejected orders.

use juniperwing_configuration::digest;
use juniperwing_control::{
    ConfigurationDecision, ControlChange, ControlState, OrderHistory, decide_configuration,
};
use juniperwing_replication::ReplicatedState;

fn configuration(generation: u64) -> Vec<u8> {
    format!(r#"{{"generation":{generation},"routes":[],"backends":[]}}"#).into_bytes()
}

fn accept(state: &mut ControlState, base: u64, body: &[u8]) {
    match decide_configuration(state, base, body) {
        ConfigurationDecision::Accept(change) => state.apply(&change),
        other => panic!("{other:?}"),
    }
}

/// Rejects an order that is based on a generation that is not active yet.
fn reject(state: &mut ControlState, base: u64, body: &[u8]) {
    match decide_configuration(state, base, body) {
        ConfigurationDecision::Reject { current, change } => {
            assert_eq!(current, state.generation());
            state.apply(&change);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_first_configuration_builds_on_generation_zero() {
    let mut state = ControlState::default();
    reject(&mut state, 1, &configuration(3));
    assert_eq!(
        decide_configuration(&state, 1, &configuration(3)),
        ConfigurationDecision::Stale { current: 0 }
    );
    accept(&mut state, 0, &configuration(3));
    assert_eq!(state.generation(), 3);
    assert_eq!(&*state.configuration.as_ref().unwrap().body, configuration(3));
}

#[test]
fn an_accepted_order_stays_known_after_later_ones() {
    let mut state = ControlState::default();
    accept(&mut state, 0, &configuration(3));
    accept(&mut state, 3, &configuration(7));
    accept(&mut state, 7, &configuration(8));
    assert_eq!(decide_configuration(&state, 0, &configuration(3)), ConfigurationDecision::AlreadyAccepted);
    assert_eq!(decide_configuration(&state, 3, &configuration(7)), ConfigurationDecision::AlreadyAccepted);
    // The same body on another base is another order.
    assert_eq!(
        decide_configuration(&state, 0, &configuration(7)),
        ConfigurationDecision::Stale { current: 8 }
    );
}

#[test]
fn of_two_configurations_with_one_generation_only_one_is_ever_accepted() {
    let mut state = ControlState::default();
    accept(&mut state, 0, &configuration(3));
    let conflicting = b" {\"generation\":3,\"routes\":[],\"backends\":[]}";
    assert_eq!(decide_configuration(&state, 0, conflicting), ConfigurationDecision::Stale { current: 3 });
    assert!(matches!(decide_configuration(&state, 3, conflicting), ConfigurationDecision::Invalid(_)));
}

#[test]
fn a_generation_that_does_not_increase_is_invalid() {
    let mut state = ControlState::default();
    accept(&mut state, 0, &configuration(3));
    assert!(matches!(decide_configuration(&state, 3, &configuration(3)), ConfigurationDecision::Invalid(_)));
    assert!(matches!(decide_configuration(&state, 3, &configuration(2)), ConfigurationDecision::Invalid(_)));
    assert!(matches!(decide_configuration(&state, 3, b"{"), ConfigurationDecision::Invalid(_)));
}

/// Relies on the check of `has_rejected` in `decide_configuration`.
#[test]
fn an_order_rejected_before_its_base_was_accepted_is_never_accepted() {
    let mut state = ControlState::default();
    accept(&mut state, 0, &configuration(3));
    let before = state.configuration_version();
    reject(&mut state, 5, &configuration(8));
    assert_eq!(state.configuration_version(), before);
    accept(&mut state, 3, &configuration(5));
    assert_eq!(
        decide_configuration(&state, 5, &configuration(8)),
        ConfigurationDecision::Stale { current: 5 }
    );
    // Another order on that base is not affected.
    accept(&mut state, 5, &configuration(9));
}

#[test]
fn an_invalid_configuration_is_invalid_before_its_base_is_accepted() {
    let mut state = ControlState::default();
    accept(&mut state, 0, &configuration(3));
    assert!(matches!(decide_configuration(&state, 5, &configuration(5)), ConfigurationDecision::Invalid(_)));
    assert!(matches!(decide_configuration(&state, 5, b"{"), ConfigurationDecision::Invalid(_)));
}

#[test]
fn the_order_history_is_bounded_by_its_limit() {
    let mut history = OrderHistory::default();
    for base in 0..10 {
        history.insert(digest(base, b""), 4);
    }
    assert_eq!(history.len(), 4);
    assert!(!history.contains(digest(5, b"")));
    assert!((6..10).all(|base| history.contains(digest(base, b""))));
}

#[test]
fn versions_for_subscribers_increase_with_every_configuration() {
    let mut state = ControlState::default();
    let before = state.configuration_version();
    accept(&mut state, 0, &configuration(3));
    let first = state.configuration_version();
    accept(&mut state, 3, &configuration(9));
    assert!(before < first && first < state.configuration_version());
}

#[test]
fn state_and_changes_round_trip_through_their_encoding() {
    let mut state = ControlState::default();
    accept(&mut state, 0, &configuration(3));
    accept(&mut state, 3, &configuration(4));
    reject(&mut state, 7, &configuration(8));
    assert_eq!(ControlState::decode(&state.encode()).unwrap(), state);
    let change = ControlChange::CompleteRetirement(juniperwing_protocol::DiskId(4));
    let bytes = ControlState::encode_change(&change);
    assert_eq!(ControlState::decode_change(&bytes).unwrap(), change);
    assert!(ControlState::decode(&[0xff; 3]).is_err());
}
