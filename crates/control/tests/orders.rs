//! Operators' configurations: what is taken, what is refused, and that a taken order is known for ever.

use juniperwing_configuration::digest;
use juniperwing_control::{ControlChange, ControlState, OrderHistory, PutDecision, decide_put};
use juniperwing_replication::ReplicatedState;

fn configuration(generation: u64) -> Vec<u8> {
    format!(r#"{{"generation":{generation},"routes":[],"backends":[]}}"#).into_bytes()
}

fn take(state: &mut ControlState, base: u64, body: &[u8]) {
    match decide_put(state, base, body) {
        PutDecision::Accept(change) => state.apply(&change),
        other => panic!("{other:?}"),
    }
}

/// An order that builds on what may yet come is refused for good.
fn refuse(state: &mut ControlState, base: u64, body: &[u8]) {
    match decide_put(state, base, body) {
        PutDecision::Reject { current, change } => {
            assert_eq!(current, state.generation());
            state.apply(&change);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_first_builds_on_nothing() {
    let mut state = ControlState::default();
    refuse(&mut state, 1, &configuration(3));
    assert_eq!(decide_put(&state, 1, &configuration(3)), PutDecision::Stale { current: 0 });
    take(&mut state, 0, &configuration(3));
    assert_eq!(state.generation(), 3);
    assert_eq!(&*state.configuration.as_ref().unwrap().body, configuration(3));
}

#[test]
fn a_taken_order_is_known_whatever_came_after() {
    let mut state = ControlState::default();
    take(&mut state, 0, &configuration(3));
    take(&mut state, 3, &configuration(7));
    take(&mut state, 7, &configuration(8));
    assert_eq!(decide_put(&state, 0, &configuration(3)), PutDecision::AlreadyAccepted);
    assert_eq!(decide_put(&state, 3, &configuration(7)), PutDecision::AlreadyAccepted);
    // The same body on another base is another order.
    assert_eq!(decide_put(&state, 0, &configuration(7)), PutDecision::Stale { current: 8 });
}

#[test]
fn of_two_with_one_number_one_wins_for_ever() {
    let mut state = ControlState::default();
    take(&mut state, 0, &configuration(3));
    let rival = b" {\"generation\":3,\"routes\":[],\"backends\":[]}";
    assert_eq!(decide_put(&state, 0, rival), PutDecision::Stale { current: 3 });
    assert!(matches!(decide_put(&state, 3, rival), PutDecision::Invalid(_)));
}

#[test]
fn a_number_that_does_not_climb_is_invalid() {
    let mut state = ControlState::default();
    take(&mut state, 0, &configuration(3));
    assert!(matches!(decide_put(&state, 3, &configuration(3)), PutDecision::Invalid(_)));
    assert!(matches!(decide_put(&state, 3, &configuration(2)), PutDecision::Invalid(_)));
    assert!(matches!(decide_put(&state, 3, b"{"), PutDecision::Invalid(_)));
}

/// Fails without the look at the refusals in `decide_put`.
#[test]
fn an_order_refused_before_its_base_came_is_never_taken() {
    let mut state = ControlState::default();
    take(&mut state, 0, &configuration(3));
    let before = state.configuration_version();
    refuse(&mut state, 5, &configuration(8));
    assert_eq!(state.configuration_version(), before);
    take(&mut state, 3, &configuration(5));
    assert_eq!(decide_put(&state, 5, &configuration(8)), PutDecision::Stale { current: 5 });
    // Another order on that base is not concerned.
    take(&mut state, 5, &configuration(9));
}

#[test]
fn what_is_invalid_on_its_own_base_is_invalid_before_that_base_comes() {
    let mut state = ControlState::default();
    take(&mut state, 0, &configuration(3));
    assert!(matches!(decide_put(&state, 5, &configuration(5)), PutDecision::Invalid(_)));
    assert!(matches!(decide_put(&state, 5, b"{"), PutDecision::Invalid(_)));
}

#[test]
fn no_more_orders_are_remembered_than_the_limit() {
    let mut history = OrderHistory::default();
    for base in 0..10 {
        history.insert(digest(base, b""), 4);
    }
    assert_eq!(history.len(), 4);
    assert!(!history.contains(digest(5, b"")));
    assert!((6..10).all(|base| history.contains(digest(base, b""))));
}

#[test]
fn versions_for_subscribers_climb_with_every_configuration() {
    let mut state = ControlState::default();
    let before = state.configuration_version();
    take(&mut state, 0, &configuration(3));
    let first = state.configuration_version();
    take(&mut state, 3, &configuration(9));
    assert!(before < first && first < state.configuration_version());
}

#[test]
fn state_and_changes_survive_their_encoding() {
    let mut state = ControlState::default();
    take(&mut state, 0, &configuration(3));
    take(&mut state, 3, &configuration(4));
    refuse(&mut state, 7, &configuration(8));
    assert_eq!(ControlState::decode(&state.encode()).unwrap(), state);
    let change = ControlChange::CompleteRetirement(juniperwing_protocol::DiskId(4));
    let bytes = ControlState::encode_change(&change);
    assert_eq!(ControlState::decode_change(&bytes).unwrap(), change);
    assert!(ControlState::decode(&[0xff; 3]).is_err());
}
