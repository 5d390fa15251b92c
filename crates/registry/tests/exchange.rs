//! Replication of instances between keepers, and which changes count as confirmed.

use juniperwing_protocol::DiskId;
use juniperwing_protocol::registry::{Instance, InstanceState, Refresh};
use juniperwing_protocol::replication::Voter;
use juniperwing_registry::{Batch, ChangeNumber, Exchange};

const FIRST_CONNECTION: u32 = 1;
const NO_RECENT_MESSAGES: fn(DiskId) -> bool = |_| false;

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

/// Replication to one peer, and the instances known locally.
struct Harness {
    exchange: Exchange<u32>,
    known: Vec<Instance>,
}

impl Harness {
    fn new() -> Self {
        let mut exchange = Exchange::default();
        exchange.set_peers(&[voter(2)]);
        Harness { exchange, known: Vec::new() }
    }

    /// A harness whose peer has replied to one batch.
    fn with_synchronized_peer() -> Self {
        let mut harness = Harness::new();
        let first = harness.batch(true).unwrap();
        harness.exchange.handle_reply(DiskId(2), first.number, FIRST_CONNECTION);
        harness
    }

    fn change(&mut self, id: &str) -> ChangeNumber {
        self.known.push(instance(id));
        self.exchange.record_changes(&[instance(id)])
    }

    fn batch(&mut self, is_periodic: bool) -> Option<Batch> {
        let known = &self.known;
        let batches = self.exchange.next_batches(is_periodic, || known.iter().collect());
        assert!(batches.len() <= 1);
        batches.into_iter().next()
    }
}

fn ids(batch: &Batch) -> Vec<&str> {
    batch.changed.iter().map(|instance| &*instance.id.0).collect()
}

#[test]
fn a_peer_that_has_not_replied_yet_has_not_confirmed() {
    let mut harness = Harness::new();
    let change = harness.change("a");
    assert!(!harness.exchange.is_confirmed_by_reachable_peers(change, NO_RECENT_MESSAGES));
    let batch = harness.batch(false).expect("changes are sent at once");
    assert!(!harness.exchange.is_confirmed_by_reachable_peers(change, NO_RECENT_MESSAGES));
    harness.exchange.handle_reply(DiskId(2), batch.number, FIRST_CONNECTION);
    assert!(harness.exchange.is_confirmed_by_reachable_peers(change, NO_RECENT_MESSAGES));
}

#[test]
fn changes_are_sent_at_once_and_refreshes_periodically() {
    let mut harness = Harness::with_synchronized_peer();
    harness.exchange.record_refresh(&Refresh { id: "a".into(), sequence: 2 });
    assert_eq!(harness.batch(false), None);
    assert_eq!(harness.batch(true).unwrap().refreshed, [Refresh { id: "a".into(), sequence: 2 }]);
    harness.change("b");
    assert_eq!(ids(&harness.batch(false).unwrap()), ["b"]);
    assert_eq!(harness.batch(true), None);
}

#[test]
fn each_of_several_batches_is_confirmed_on_its_own() {
    let mut harness = Harness::with_synchronized_peer();
    let one = harness.change("a");
    let first = harness.batch(false).unwrap();
    let two = harness.change("b");
    let second = harness.batch(false).unwrap();
    harness.exchange.handle_reply(DiskId(2), second.number, FIRST_CONNECTION);
    assert!(!harness.exchange.is_confirmed_by_reachable_peers(two, NO_RECENT_MESSAGES));
    harness.exchange.handle_reply(DiskId(2), first.number, FIRST_CONNECTION);
    assert!(harness.exchange.is_confirmed_by_reachable_peers(one, NO_RECENT_MESSAGES));
    assert!(harness.exchange.is_confirmed_by_reachable_peers(two, NO_RECENT_MESSAGES));
}

#[test]
fn the_reply_to_a_periodic_batch_does_not_confirm_a_later_change() {
    let mut harness = Harness::with_synchronized_peer();
    harness.exchange.record_refresh(&Refresh { id: "a".into(), sequence: 2 });
    let periodic = harness.batch(true).unwrap();
    let change = harness.change("b");
    harness.batch(false).unwrap();
    harness.exchange.handle_reply(DiskId(2), periodic.number, FIRST_CONNECTION);
    assert!(!harness.exchange.is_confirmed_by_reachable_peers(change, NO_RECENT_MESSAGES));
}

#[test]
fn after_a_failure_everything_is_sent_again() {
    let mut harness = Harness::with_synchronized_peer();
    let change = harness.change("a");
    let lost = harness.batch(false).unwrap();
    harness.exchange.handle_failure(DiskId(2), lost.number);
    assert_eq!(harness.batch(false), None, "an unreachable peer is sent periodic batches only");
    assert!(
        harness.exchange.is_confirmed_by_reachable_peers(change, NO_RECENT_MESSAGES),
        "an unreachable peer is not waited for"
    );
    assert!(
        !harness.exchange.is_confirmed_by_reachable_peers(change, |_| true),
        "unless a message of it was received recently"
    );
    let again = harness.batch(true).unwrap();
    assert_eq!(ids(&again), ["a"]);
    harness.exchange.handle_reply(DiskId(2), again.number, FIRST_CONNECTION);
    assert!(harness.exchange.is_confirmed_by_reachable_peers(change, |_| true));
}

#[test]
fn a_restarted_keeper_is_sent_a_snapshot() {
    let mut harness = Harness::with_synchronized_peer();
    harness.change("a");
    let batch = harness.batch(false).unwrap();
    harness.exchange.handle_reply(DiskId(2), batch.number, FIRST_CONNECTION);
    harness.change("b");
    let batch = harness.batch(false).unwrap();
    harness.exchange.handle_reply(DiskId(2), batch.number, FIRST_CONNECTION + 1);
    assert_eq!(ids(&harness.batch(true).unwrap()), ["a", "b"]);
}

#[test]
fn a_removed_voter_is_not_waited_for() {
    let mut harness = Harness::with_synchronized_peer();
    let change = harness.change("a");
    harness.exchange.set_peers(&[voter(3)]);
    let batch = harness.batch(true).unwrap();
    assert_eq!((batch.to.disk, ids(&batch)), (DiskId(3), vec!["a"]));
    harness.exchange.handle_reply(DiskId(3), batch.number, FIRST_CONNECTION);
    assert!(harness.exchange.is_confirmed_by_reachable_peers(change, NO_RECENT_MESSAGES));
}

fn confirmed_by(exchange: &Exchange<u32>, change: ChangeNumber) -> Vec<DiskId> {
    exchange.confirmed_peers(change).collect()
}

/// A new peer starts with everything unconfirmed.
#[test]
fn a_keeper_added_after_a_change_has_not_confirmed_it() {
    let mut harness = Harness::with_synchronized_peer();
    let change = harness.change("a");
    harness.exchange.set_peers(&[voter(3)]);
    assert_eq!(confirmed_by(&harness.exchange, change), []);
    let batch = harness.batch(true).unwrap();
    assert!(batch.needs_confirmation);
    harness.exchange.handle_reply(DiskId(3), batch.number, FIRST_CONNECTION);
    assert_eq!(confirmed_by(&harness.exchange, change), [DiskId(3)]);
}

#[test]
fn an_unreachable_keeper_is_not_waited_for_but_has_not_confirmed() {
    let mut harness = Harness::with_synchronized_peer();
    let change = harness.change("a");
    let lost = harness.batch(false).unwrap();
    harness.exchange.handle_failure(DiskId(2), lost.number);
    assert!(harness.exchange.is_confirmed_by_reachable_peers(change, NO_RECENT_MESSAGES));
    assert_eq!(confirmed_by(&harness.exchange, change), []);
}

/// A reply which says that a relay has not applied a change leaves it unconfirmed; confirmation is requested
/// again without sending the change again.
#[test]
fn confirmation_of_a_change_that_relays_have_not_applied_is_requested_again() {
    let mut harness = Harness::with_synchronized_peer();
    let change = harness.change("a");
    let batch = harness.batch(false).unwrap();
    assert!(batch.needs_confirmation);
    harness.exchange.handle_not_applied(DiskId(2), batch.number, FIRST_CONNECTION);
    assert_eq!(confirmed_by(&harness.exchange, change), []);
    assert!(!harness.exchange.is_confirmed_by_reachable_peers(change, NO_RECENT_MESSAGES));
    assert_eq!(harness.batch(false), None);
    let again = harness.batch(true).expect("confirmation is requested again");
    assert_eq!((ids(&again), again.needs_confirmation), (vec![], true));
    harness.exchange.handle_reply(DiskId(2), again.number, FIRST_CONNECTION);
    assert_eq!(confirmed_by(&harness.exchange, change), [DiskId(2)]);
}

/// Confirmations that a keeper gave before its restart do not count.
#[test]
fn a_restarted_keeper_has_confirmed_nothing() {
    let mut harness = Harness::with_synchronized_peer();
    let change = harness.change("a");
    let batch = harness.batch(false).unwrap();
    harness.exchange.handle_reply(DiskId(2), batch.number, FIRST_CONNECTION);
    assert_eq!(confirmed_by(&harness.exchange, change), [DiskId(2)]);
    harness.exchange.record_refresh(&Refresh { id: "a".into(), sequence: 2 });
    let periodic = harness.batch(true).unwrap();
    assert!(!periodic.needs_confirmation, "refreshes alone need no confirmation");
    harness.exchange.handle_reply(DiskId(2), periodic.number, FIRST_CONNECTION + 1);
    assert_eq!(confirmed_by(&harness.exchange, change), []);
}
