//! Traces of what keepers tell each other, and of what counts as confirmed.

use juniperwing_protocol::DiskId;
use juniperwing_protocol::registry::{Instance, InstanceState, Refresh};
use juniperwing_protocol::replication::Voter;
use juniperwing_registry::{Batch, ChangeNumber, Exchange};

const FIRST_CONNECTION: u32 = 1;
const NOBODY_HEARD: fn(DiskId) -> bool = |_| false;

fn voter(disk: u64) -> Voter {
    Voter {
        disk: DiskId(disk),
        node: format!("core-{disk}").as_str().into(),
        address: ([10, 0, 0, disk as u8], 7000).into(),
    }
}

fn instance(id: &str) -> Instance {
    Instance {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        capacity: 4,
        state: InstanceState::Ready,
        sequence: 1,
    }
}

/// Exchange with one other keeper, and what this keeper knows.
struct Trace {
    exchange: Exchange<u32>,
    known: Vec<Instance>,
}

impl Trace {
    fn new() -> Self {
        let mut exchange = Exchange::default();
        exchange.set_peers(&[voter(2)]);
        Trace { exchange, known: Vec::new() }
    }

    /// A trace in which the other keeper has answered once.
    fn in_contact() -> Self {
        let mut trace = Trace::new();
        let first = trace.batch(true).unwrap();
        trace.exchange.handle_reply(DiskId(2), first.number, FIRST_CONNECTION);
        trace
    }

    fn change(&mut self, id: &str) -> ChangeNumber {
        self.known.push(instance(id));
        self.exchange.record_changes(&[instance(id)])
    }

    fn batch(&mut self, regular: bool) -> Option<Batch> {
        let known = &self.known;
        let batches = self.exchange.next_batches(regular, || known.iter().collect());
        assert!(batches.len() <= 1);
        batches.into_iter().next()
    }
}

fn ids(batch: &Batch) -> Vec<&str> {
    batch.changed.iter().map(|instance| &*instance.id.0).collect()
}

#[test]
fn a_keeper_of_which_nothing_is_known_yet_has_not_confirmed() {
    let mut trace = Trace::new();
    let change = trace.change("a");
    assert!(!trace.exchange.is_confirmed_by_reachable_peers(change, NOBODY_HEARD));
    let batch = trace.batch(false).expect("changes go at once");
    assert!(!trace.exchange.is_confirmed_by_reachable_peers(change, NOBODY_HEARD));
    trace.exchange.handle_reply(DiskId(2), batch.number, FIRST_CONNECTION);
    assert!(trace.exchange.is_confirmed_by_reachable_peers(change, NOBODY_HEARD));
}

#[test]
fn changes_go_at_once_and_the_rest_regularly() {
    let mut trace = Trace::in_contact();
    trace.exchange.record_refresh(&Refresh { id: "a".into(), sequence: 2 });
    assert_eq!(trace.batch(false), None);
    assert_eq!(trace.batch(true).unwrap().refreshed, [Refresh { id: "a".into(), sequence: 2 }]);
    trace.change("b");
    assert_eq!(ids(&trace.batch(false).unwrap()), ["b"]);
    assert_eq!(trace.batch(true), None);
}

#[test]
fn each_of_several_batches_is_confirmed_on_its_own() {
    let mut trace = Trace::in_contact();
    let one = trace.change("a");
    let first = trace.batch(false).unwrap();
    let two = trace.change("b");
    let second = trace.batch(false).unwrap();
    trace.exchange.handle_reply(DiskId(2), second.number, FIRST_CONNECTION);
    assert!(!trace.exchange.is_confirmed_by_reachable_peers(two, NOBODY_HEARD));
    trace.exchange.handle_reply(DiskId(2), first.number, FIRST_CONNECTION);
    assert!(trace.exchange.is_confirmed_by_reachable_peers(one, NOBODY_HEARD));
    assert!(trace.exchange.is_confirmed_by_reachable_peers(two, NOBODY_HEARD));
}

#[test]
fn the_answer_to_a_regular_batch_does_not_confirm_a_later_change() {
    let mut trace = Trace::in_contact();
    trace.exchange.record_refresh(&Refresh { id: "a".into(), sequence: 2 });
    let regular = trace.batch(true).unwrap();
    let change = trace.change("b");
    trace.batch(false).unwrap();
    trace.exchange.handle_reply(DiskId(2), regular.number, FIRST_CONNECTION);
    assert!(!trace.exchange.is_confirmed_by_reachable_peers(change, NOBODY_HEARD));
}

#[test]
fn after_a_failure_everything_is_told_again() {
    let mut trace = Trace::in_contact();
    let change = trace.change("a");
    let lost = trace.batch(false).unwrap();
    trace.exchange.handle_failure(DiskId(2), lost.number);
    assert_eq!(trace.batch(false), None, "one that does not answer is tried with the regular ones only");
    assert!(
        trace.exchange.is_confirmed_by_reachable_peers(change, NOBODY_HEARD),
        "nobody waits for one out of reach"
    );
    assert!(!trace.exchange.is_confirmed_by_reachable_peers(change, |_| true), "but for one that is heard");
    let again = trace.batch(true).unwrap();
    assert_eq!(ids(&again), ["a"]);
    trace.exchange.handle_reply(DiskId(2), again.number, FIRST_CONNECTION);
    assert!(trace.exchange.is_confirmed_by_reachable_peers(change, |_| true));
}

#[test]
fn a_keeper_that_started_again_is_told_everything() {
    let mut trace = Trace::in_contact();
    trace.change("a");
    let batch = trace.batch(false).unwrap();
    trace.exchange.handle_reply(DiskId(2), batch.number, FIRST_CONNECTION);
    trace.change("b");
    let batch = trace.batch(false).unwrap();
    trace.exchange.handle_reply(DiskId(2), batch.number, FIRST_CONNECTION + 1);
    assert_eq!(ids(&trace.batch(true).unwrap()), ["a", "b"]);
}

#[test]
fn a_keeper_that_is_no_voter_any_more_is_not_waited_for() {
    let mut trace = Trace::in_contact();
    let change = trace.change("a");
    trace.exchange.set_peers(&[voter(3)]);
    let batch = trace.batch(true).unwrap();
    assert_eq!((batch.to.disk, ids(&batch)), (DiskId(3), vec!["a"]));
    trace.exchange.handle_reply(DiskId(3), batch.number, FIRST_CONNECTION);
    assert!(trace.exchange.is_confirmed_by_reachable_peers(change, NOBODY_HEARD));
}

fn confirmed_by(exchange: &Exchange<u32>, change: ChangeNumber) -> Vec<DiskId> {
    exchange.confirmed_peers(change).collect()
}

/// Guard: a counterpart starts with everything unconfirmed.
#[test]
fn a_keeper_that_came_after_a_change_has_not_confirmed_it() {
    let mut trace = Trace::in_contact();
    let change = trace.change("a");
    trace.exchange.set_peers(&[voter(3)]);
    assert_eq!(confirmed_by(&trace.exchange, change), []);
    let batch = trace.batch(true).unwrap();
    assert!(batch.needs_confirmation);
    trace.exchange.handle_reply(DiskId(3), batch.number, FIRST_CONNECTION);
    assert_eq!(confirmed_by(&trace.exchange, change), [DiskId(3)]);
}

#[test]
fn a_keeper_out_of_reach_is_not_waited_for_but_has_not_confirmed() {
    let mut trace = Trace::in_contact();
    let change = trace.change("a");
    let lost = trace.batch(false).unwrap();
    trace.exchange.handle_failure(DiskId(2), lost.number);
    assert!(trace.exchange.is_confirmed_by_reachable_peers(change, NOBODY_HEARD));
    assert_eq!(confirmed_by(&trace.exchange, change), []);
}

/// Guard: an answer that says that a relay has not applied a change leaves it unconfirmed, and it is asked
/// about again without being told again.
#[test]
fn a_change_that_relays_have_not_applied_is_asked_about_again() {
    let mut trace = Trace::in_contact();
    let change = trace.change("a");
    let batch = trace.batch(false).unwrap();
    assert!(batch.needs_confirmation);
    trace.exchange.handle_not_applied(DiskId(2), batch.number, FIRST_CONNECTION);
    assert_eq!(confirmed_by(&trace.exchange, change), []);
    assert!(!trace.exchange.is_confirmed_by_reachable_peers(change, NOBODY_HEARD));
    assert_eq!(trace.batch(false), None);
    let again = trace.batch(true).expect("asked about again");
    assert_eq!((ids(&again), again.needs_confirmation), (vec![], true));
    trace.exchange.handle_reply(DiskId(2), again.number, FIRST_CONNECTION);
    assert_eq!(confirmed_by(&trace.exchange, change), [DiskId(2)]);
}

/// Guard: what a keeper confirmed before it started again is void.
#[test]
fn a_keeper_that_started_again_has_confirmed_nothing() {
    let mut trace = Trace::in_contact();
    let change = trace.change("a");
    let batch = trace.batch(false).unwrap();
    trace.exchange.handle_reply(DiskId(2), batch.number, FIRST_CONNECTION);
    assert_eq!(confirmed_by(&trace.exchange, change), [DiskId(2)]);
    trace.exchange.record_refresh(&Refresh { id: "a".into(), sequence: 2 });
    let regular = trace.batch(true).unwrap();
    assert!(!regular.needs_confirmation, "refreshes alone need no confirmation");
    trace.exchange.handle_reply(DiskId(2), regular.number, FIRST_CONNECTION + 1);
    assert_eq!(confirmed_by(&trace.exchange, change), []);
}
