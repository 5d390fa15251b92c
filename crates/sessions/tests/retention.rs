//! What a store retains, and for how long: programs by their turns, chains by the turns that continue them.

mod harness;

use harness::{
    TURN_BEGUN, TestStore, begin, begin_turn, finish, finish_retained, finish_stored, finish_turn, renew,
    turn,
};
use juniperwing_clock::Span;
use juniperwing_protocol::session::{BeginTurn, SessionCall, SessionReply, Turn, TurnLease};

/// Longer than any retention in these tests, with the slack and the interval between sweeps.
const PAST_ALL_RETENTION: Span = Span::from_millis(1_000_000);

// Guards against a program that disappears without a trace in the metrics.
#[test]
fn programs_that_expire_are_counted_with_their_reservations() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, finish_stored("a", None)), SessionReply::TurnFinished);
    assert!(matches!(store.call(2, begin("b", Some("a"), Some(100))), SessionReply::TurnBegun { .. }));
    store.advance_time(PAST_ALL_RETENTION);
    let statistics = store.state_machine.statistics();
    assert_eq!((statistics.expired_programs, statistics.expired_reservations), (1, 1));
    assert_eq!(store.call(3, begin("c", None, Some(100))), TURN_BEGUN, "a new program");
}

/// The interval between renewals in these tests.
const RENEWAL_INTERVAL: Span = Span::from_millis(20_000);
/// The number of renewals of a long turn: it outlasts leases, retention, slack and sweeps.
const RENEWALS: u64 = 10;

/// Lets a turn run for long, with renewals of its lease.
fn run_long_turn(store: &mut TestStore, request: &str, previous: &str, reserved_tokens: Option<u64>) {
    for number in 0..RENEWALS {
        store.advance_time(RENEWAL_INTERVAL);
        let reply = store.call(100 + number, renew(request, previous, reserved_tokens));
        assert_eq!(reply, SessionReply::TurnRenewed);
    }
}

fn chain_of(reply: SessionReply) -> Vec<Turn> {
    match reply {
        SessionReply::TurnBegun { chain } => chain,
        other => panic!("{other:?}"),
    }
}

// Guards against 503 for every turn that continues a turn which ran for longer than its reservation (review/6).
#[test]
fn a_turn_that_runs_for_longer_than_its_lease_is_stored_with_its_chain() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, finish_stored("a", None)), SessionReply::TurnFinished);
    assert_eq!(chain_of(store.call(2, begin("b", Some("a"), Some(100)))), [turn("a", None)]);
    run_long_turn(&mut store, "b", "a", Some(40));
    assert_eq!(store.call(3, finish_stored("b", Some("a"))), SessionReply::TurnFinished);
    let chain = chain_of(store.call(4, begin("c", Some("b"), Some(100))));
    assert_eq!(chain, [turn("a", None), turn("b", Some("a"))]);
    assert_eq!(store.call(5, begin("d", None, Some(80))), SessionReply::BudgetExhausted, "all tokens count");
}

// Guards against the same without a budget, where nothing is reserved that would hold the chain.
#[test]
fn a_turn_without_a_budget_holds_its_chain_while_it_runs() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, finish_stored("a", None)), SessionReply::TurnFinished);
    // The chain is about to expire when the turn begins.
    store.advance_time(Span::from_millis(59_000));
    assert_eq!(chain_of(store.call(2, begin("b", Some("a"), None))), [turn("a", None)]);
    run_long_turn(&mut store, "b", "a", None);
    assert_eq!(store.call(3, finish_stored("b", Some("a"))), SessionReply::TurnFinished);
    let chain = chain_of(store.call(4, begin("c", Some("b"), None)));
    assert_eq!(chain, [turn("a", None), turn("b", Some("a"))]);
}

// Guards against a turn that is answered as stored although nothing can continue it.
#[test]
fn a_turn_whose_chain_has_expired_is_not_acknowledged_as_stored() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, finish_stored("a", None)), SessionReply::TurnFinished);
    assert_eq!(chain_of(store.call(2, begin("b", Some("a"), Some(100)))), [turn("a", None)]);
    store.advance_time(PAST_ALL_RETENTION);
    assert_eq!(store.call(3, finish_stored("b", Some("a"))), SessionReply::Unavailable);
    assert_eq!(store.call(4, begin("c", Some("b"), Some(100))), SessionReply::UnknownTurn);
    assert_eq!(store.state_machine.statistics().turns_without_previous, 1);
}

// Guards against a renewal on its way when the turn ends: it must not take tokens from the budget again.
#[test]
fn a_renewal_that_arrives_after_the_end_of_its_turn_reserves_nothing() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, begin("a", None, Some(50))), TURN_BEGUN);
    assert_eq!(store.call(2, finish("a", 5)), SessionReply::TurnFinished);
    assert_eq!(store.call(3, renew("a", "none", Some(40))), SessionReply::TurnRenewed);
    assert_eq!(store.call(4, begin("b", None, Some(50))), TURN_BEGUN);
}

// Guards against a renewal that creates a chain where there is none.
#[test]
fn a_lease_on_a_chain_that_is_gone_is_not_renewed() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, renew("b", "a", None)), SessionReply::Unavailable);
    assert_eq!(store.call(2, begin("c", Some("a"), None)), SessionReply::UnknownTurn);
}

// Guards against a copy of another program's chain that expires while the turn runs that continues it.
#[test]
fn a_copied_chain_is_held_by_the_turn_that_continues_it() {
    let mut store = TestStore::leading();
    let imported = vec![turn("x", None)];
    let begin = SessionCall::Begin(BeginTurn { imported, ..begin_turn("b", Some("x"), Some(100)) });
    assert_eq!(chain_of(store.call(1, begin)), [turn("x", None)]);
    run_long_turn(&mut store, "b", "x", Some(40));
    assert_eq!(store.call(2, finish_stored("b", Some("x"))), SessionReply::TurnFinished);
}

/// A retention above all minimums.
const LONG_RETENTION_MS: u64 = 300_000;
/// The longest retention that a configuration may have.
const LONGEST_RETENTION_MS: u64 = 366 * 86_400_000;
/// How long before its end a retention is looked at.
const BEFORE_THE_END_MS: u64 = 1_000;

fn shortly_before(retention_ms: u64) -> Span {
    Span::from_millis(retention_ms - BEFORE_THE_END_MS)
}

fn begin_on_long_route(request: &str, budget: u64) -> SessionCall {
    let lease = TurnLease { duration_ms: 5_000, retention_ms: LONG_RETENTION_MS };
    SessionCall::Begin(BeginTurn { lease, ..begin_turn(request, None, Some(budget)) })
}

// Guards against a budget that is spent twice since its relay was killed (review/5).
#[test]
fn the_reservation_of_an_abandoned_turn_counts_for_the_retention_of_its_route() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, begin_on_long_route("a", 50)), TURN_BEGUN);
    store.advance_time(shortly_before(LONG_RETENTION_MS));
    assert_eq!(store.call(2, begin("b", None, Some(50))), SessionReply::BudgetExhausted);
}

// Guards against a budget that is spent twice on a route that stores no turns.
#[test]
fn the_tokens_of_a_turn_that_is_not_stored_count_for_the_retention_of_its_route() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, begin("a", None, Some(50))), TURN_BEGUN);
    assert_eq!(store.call(2, finish_retained("a", 40, LONG_RETENTION_MS)), SessionReply::TurnFinished);
    store.advance_time(shortly_before(LONG_RETENTION_MS));
    assert_eq!(store.call(3, begin("b", None, Some(50))), SessionReply::BudgetExhausted);
}

// Guards against a denied turn that is admitted when it is sent again, with a fresh budget.
#[test]
fn a_denial_holds_for_the_retention_of_its_route() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, begin_on_long_route("a", 10)), SessionReply::BudgetExhausted);
    store.advance_time(shortly_before(LONG_RETENTION_MS));
    assert_eq!(store.call(2, begin_on_long_route("a", 100)), SessionReply::BudgetExhausted);
}

// Guards against a turn that gets 404 although the configuration has its route retain it.
#[test]
fn a_turn_is_stored_for_the_longest_retention_that_a_configuration_may_have() {
    let mut store = TestStore::leading();
    let stored_turn = Turn { retention_ms: LONGEST_RETENTION_MS, ..turn("a", None) };
    assert_eq!(store.call(1, finish_turn(stored_turn.clone())), SessionReply::TurnFinished);
    store.advance_time(shortly_before(LONGEST_RETENTION_MS));
    assert_eq!(chain_of(store.call(2, begin("b", Some("a"), Some(100)))), [stored_turn]);
}

// Guards against minimums that give way to the retention of a route that is shorter.
#[test]
fn a_short_retention_does_not_shorten_the_minimum() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, finish_retained("a", 40, 1_000)), SessionReply::TurnFinished);
    store.advance_time(Span::from_millis(119_000));
    assert_eq!(store.call(2, begin("b", None, Some(50))), SessionReply::BudgetExhausted);
}
