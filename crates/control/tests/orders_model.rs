//! A randomized model of operators, lost replies and changes of primary, which runs the real decisions and
//! state.
//!
//! In each step, a copy of an order is sent or delivered to a primary (which confirms its state and decides),
//! a decision is executed (possibly much later), or a write is committed or lost with its primary. The oracle
//! observes only what operators observe: replies, and configurations read back.
//!
//! Covers the checks of `has_accepted` and `has_rejected` in `decide_configuration`, and its decision
//! `Reject`: the test fails if `Reject` is replaced by `Stale`.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_control::{ConfigurationDecision, ControlChange, ControlState, decide_configuration};
use juniperwing_replication::ReplicatedState;
use proptest::collection::vec;
use proptest::prelude::*;

/// An order as an operator sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    base: u64,
    generation: u64,
    /// Orders of one generation may differ in content.
    content: u8,
}

impl Order {
    fn body(self) -> Vec<u8> {
        let Order { base, generation, content } = self;
        // The unknown field distinguishes the body from the same configuration on another base.
        let text =
            format!(r#"{{"generation":{generation},"routes":[],"backends":[],"order":"{base} {content}"}}"#);
        text.into_bytes()
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// An operator sends an order, for the first time or again.
    Send(Order),
    /// A copy in flight is duplicated: it was forwarded again after a lost reply.
    Duplicate(usize),
    /// A copy in flight reaches the primary, which confirms its state and decides.
    Deliver(usize),
    /// A decision is executed: a reply is sent or a change is proposed.
    Execute(usize),
    /// The pending write is committed, and its reply is lost or not.
    Commit { is_reply_lost: bool },
    /// Another keeper becomes primary, with the pending write or without it.
    ChangePrimary { keeps_write: bool },
}

/// A decision that has not been executed yet, for example because the primary was frozen after it.
#[derive(Clone, Debug)]
struct PendingDecision {
    order: Order,
    version: u64,
    decision: ConfigurationDecision,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    order: Order,
    change: ControlChange,
    status: u16,
}

#[derive(Default)]
struct Tier {
    state: ControlState,
    version: u64,
    pending_write: Option<PendingWrite>,
    in_flight: Vec<Order>,
    pending_decisions: Vec<PendingDecision>,
    oracle: Oracle,
}

/// The replies and reads that operators have observed.
#[derive(Default)]
struct Oracle {
    sent: BTreeSet<Order>,
    confirmed: BTreeSet<Order>,
    rejected: BTreeSet<Order>,
    /// The body that was read back of each generation.
    read_bodies: BTreeMap<u64, Vec<u8>>,
    newest_read_generation: u64,
}

impl Oracle {
    fn record_reply(&mut self, order: Order, status: u16) {
        match status {
            200 => {
                self.confirmed.insert(order);
                let confirmed_on_base =
                    self.confirmed.iter().filter(|other| other.base == order.base).count();
                assert_eq!(confirmed_on_base, 1, "two orders confirmed on base {}", order.base);
            }
            _ => drop(self.rejected.insert(order)),
        }
        assert!(
            !self.confirmed.contains(&order) || !self.rejected.contains(&order),
            "{order:?} was confirmed and rejected"
        );
    }

    fn record_read(&mut self, state: &ControlState) {
        let Some(configuration) = &state.configuration else { return };
        let generation = configuration.generation;
        assert!(
            generation >= self.newest_read_generation,
            "the configuration reverts to an older generation"
        );
        self.newest_read_generation = generation;
        let body = configuration.body.to_vec();
        let rejected =
            self.rejected.iter().find(|order| order.generation == generation && order.body() == body);
        let was_sent_twice = |order: &Order| {
            let same = |other: &&Order| other.generation == order.generation && other.body() == order.body();
            self.sent.iter().filter(same).count() > 1
        };
        // The same content may also have been sent on another base, and accepted there.
        assert!(rejected.is_none_or(was_sent_twice), "{rejected:?} was rejected and is active");
        let before = self.read_bodies.entry(generation).or_insert_with(|| body.clone());
        assert_eq!(*before, body, "two contents under one generation");
    }
}

impl Tier {
    fn run_step(&mut self, step: Step) {
        match step {
            Step::Send(order) => {
                self.oracle.sent.insert(order);
                self.in_flight.push(order);
            }
            Step::Duplicate(index) => {
                let copy = index_of(&self.in_flight, index).map(|position| self.in_flight[position]);
                self.in_flight.extend(copy);
            }
            Step::Deliver(index) => {
                let Some(position) = index_of(&self.in_flight, index) else { return };
                let order = self.in_flight.remove(position);
                let decision = decide_configuration(&self.state, order.base, &order.body());
                self.pending_decisions.push(PendingDecision { order, version: self.version, decision });
            }
            Step::Execute(index) => {
                let Some(position) = index_of(&self.pending_decisions, index) else { return };
                let pending = self.pending_decisions.remove(position);
                self.execute(pending);
            }
            Step::Commit { is_reply_lost } => self.commit(is_reply_lost),
            Step::ChangePrimary { keeps_write } => match keeps_write {
                // The previous primary does not know the outcome.
                true => self.commit(true),
                false => self.pending_write = None,
            },
        }
        self.oracle.record_read(&self.state);
    }

    fn execute(&mut self, PendingDecision { order, version, decision }: PendingDecision) {
        let (change, status) = match decision {
            ConfigurationDecision::AlreadyAccepted => return self.oracle.record_reply(order, 200),
            ConfigurationDecision::Stale { .. } => return self.oracle.record_reply(order, 412),
            ConfigurationDecision::Invalid(_) => return self.oracle.record_reply(order, 400),
            ConfigurationDecision::Accept(change) => (change, 200),
            ConfigurationDecision::Reject { change, .. } => (change, 412),
        };
        if version == self.version && self.pending_write.is_none() {
            self.pending_write = Some(PendingWrite { order, change, status });
        } else {
            // A conflict: the order has to be decided again.
            self.in_flight.push(order);
        }
    }

    fn commit(&mut self, is_reply_lost: bool) {
        let Some(PendingWrite { order, change, status }) = self.pending_write.take() else { return };
        self.state.apply(&change);
        self.version += 1;
        if !is_reply_lost {
            self.oracle.record_reply(order, status);
        }
    }

    /// Sends every order once more and delivers everything in flight.
    fn finish(&mut self) {
        let sent: Vec<Order> = self.oracle.sent.iter().copied().collect();
        self.in_flight.extend(sent);
        while !self.in_flight.is_empty() || !self.pending_decisions.is_empty() || self.pending_write.is_some()
        {
            for step in [Step::Deliver(0), Step::Execute(0), Step::Commit { is_reply_lost: false }] {
                self.run_step(step);
            }
        }
        let has_no_reply =
            |order: &&Order| !self.oracle.confirmed.contains(order) && !self.oracle.rejected.contains(order);
        assert_eq!(self.oracle.sent.iter().find(has_no_reply), None, "an order without a reply");
    }
}

fn index_of<T>(items: &[T], index: usize) -> Option<usize> {
    index.checked_rem(items.len())
}

/// Few bases and generations, so that orders conflict.
fn orders() -> impl Strategy<Value = Order> {
    (0_u64..6, 0_u64..4, 0_u8..2).prop_map(|(base, above, content)| Order {
        base,
        generation: base + above,
        content,
    })
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => orders().prop_map(Step::Send),
        1 => any::<usize>().prop_map(Step::Duplicate),
        5 => any::<usize>().prop_map(Step::Deliver),
        5 => any::<usize>().prop_map(Step::Execute),
        4 => any::<bool>().prop_map(|is_reply_lost| Step::Commit { is_reply_lost }),
        1 => any::<bool>().prop_map(|keeps_write| Step::ChangePrimary { keeps_write }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn replies_and_reads_never_contradict_each_other(steps in vec(steps(), 1..80)) {
        let mut tier = Tier::default();
        for step in steps {
            tier.run_step(step);
        }
        tier.finish();
    }
}
