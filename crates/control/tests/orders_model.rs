//! Operators, lost answers and changes of primary, played by chance over the real decisions and the real state.
//!
//! A step is a copy of an order that is sent, that reaches a primary (which confirms its state), that is decided
//! on (later, on the state that was confirmed), or a write that is committed, or lost with its primary. The
//! oracle sees only what operators see: answers, and configurations read back. The test fails without the look
//! at the orders taken, without the look at those refused, and with an answer of `Stale` in place of `Reject` in
//! `decide_put`.

use std::collections::{BTreeMap, BTreeSet};

use juniperwing_control::{ControlChange, ControlState, PutDecision, decide_put};
use juniperwing_replication::ReplicatedState;
use proptest::collection::vec;
use proptest::prelude::*;

/// An order as an operator sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    base: u64,
    generation: u64,
    /// Orders under one number may differ in content.
    content: u8,
}

impl Order {
    fn body(self) -> Vec<u8> {
        let Order { base, generation, content } = self;
        // The unknown field tells what is read back from the same configuration on another base.
        let text =
            format!(r#"{{"generation":{generation},"routes":[],"backends":[],"order":"{base} {content}"}}"#);
        text.into_bytes()
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// An operator sends an order, for the first time or again.
    Send(Order),
    /// A copy on its way comes twice: it was passed on once more after a lost answer.
    Double(usize),
    /// A copy on its way reaches the primary, which confirms its state and decides.
    Arrive(usize),
    /// A decision is carried out: answered or proposed.
    CarryOut(usize),
    /// The write under way is committed, and its answer is lost or not.
    Commit { answer_lost: bool },
    /// Another keeper becomes primary, with the write under way or without it.
    ChangePrimary { keeps_write: bool },
}

/// A decision on the way from its state to its answer; the primary may have been frozen meanwhile.
#[derive(Clone, Debug)]
struct Decided {
    order: Order,
    version: u64,
    decision: PutDecision,
}

#[derive(Clone, Debug)]
struct Write {
    order: Order,
    change: ControlChange,
    status: u16,
}

#[derive(Default)]
struct Tier {
    state: ControlState,
    version: u64,
    under_way: Option<Write>,
    on_their_way: Vec<Order>,
    decided: Vec<Decided>,
    oracle: Oracle,
}

/// What operators saw.
#[derive(Default)]
struct Oracle {
    sent: BTreeSet<Order>,
    confirmed: BTreeSet<Order>,
    refused: BTreeSet<Order>,
    /// What was read back under each number.
    read: BTreeMap<u64, Vec<u8>>,
    newest_read: u64,
}

impl Oracle {
    fn answered(&mut self, order: Order, status: u16) {
        match status {
            200 => {
                self.confirmed.insert(order);
                let rivals = self.confirmed.iter().filter(|other| other.base == order.base).count();
                assert_eq!(rivals, 1, "two confirmed on base {}", order.base);
            }
            _ => drop(self.refused.insert(order)),
        }
        assert!(
            !self.confirmed.contains(&order) || !self.refused.contains(&order),
            "{order:?} was confirmed and refused"
        );
    }

    fn reads(&mut self, state: &ControlState) {
        let Some(configuration) = &state.configuration else { return };
        let generation = configuration.generation;
        assert!(generation >= self.newest_read, "an older configuration comes back");
        self.newest_read = generation;
        let body = configuration.body.to_vec();
        let refused =
            self.refused.iter().find(|order| order.generation == generation && order.body() == body);
        let also_other = |order: &Order| {
            let same = |other: &&Order| other.generation == order.generation && other.body() == order.body();
            self.sent.iter().filter(same).count() > 1
        };
        // The same content may have been sent on another base as well, and taken there.
        assert!(refused.is_none_or(also_other), "{refused:?} was refused and is in force");
        let before = self.read.entry(generation).or_insert_with(|| body.clone());
        assert_eq!(*before, body, "two contents under one number");
    }
}

impl Tier {
    fn play(&mut self, step: Step) {
        match step {
            Step::Send(order) => {
                self.oracle.sent.insert(order);
                self.on_their_way.push(order);
            }
            Step::Double(index) => {
                let copy = pick(&self.on_their_way, index).map(|place| self.on_their_way[place]);
                self.on_their_way.extend(copy);
            }
            Step::Arrive(index) => {
                let Some(place) = pick(&self.on_their_way, index) else { return };
                let order = self.on_their_way.remove(place);
                let decision = decide_put(&self.state, order.base, &order.body());
                self.decided.push(Decided { order, version: self.version, decision });
            }
            Step::CarryOut(index) => {
                let Some(place) = pick(&self.decided, index) else { return };
                let decided = self.decided.remove(place);
                self.carry_out(decided);
            }
            Step::Commit { answer_lost } => self.commit(answer_lost),
            Step::ChangePrimary { keeps_write } => match keeps_write {
                // The outcome is not known to the primary before.
                true => self.commit(true),
                false => self.under_way = None,
            },
        }
        self.oracle.reads(&self.state);
    }

    fn carry_out(&mut self, Decided { order, version, decision }: Decided) {
        let (change, status) = match decision {
            PutDecision::AlreadyAccepted => return self.oracle.answered(order, 200),
            PutDecision::Stale { .. } => return self.oracle.answered(order, 412),
            PutDecision::Invalid(_) => return self.oracle.answered(order, 400),
            PutDecision::Accept(change) => (change, 200),
            PutDecision::Reject { change, .. } => (change, 412),
        };
        if version == self.version && self.under_way.is_none() {
            self.under_way = Some(Write { order, change, status });
        } else {
            // A conflict: the order is decided on once more.
            self.on_their_way.push(order);
        }
    }

    fn commit(&mut self, answer_lost: bool) {
        let Some(Write { order, change, status }) = self.under_way.take() else { return };
        self.state.apply(&change);
        self.version += 1;
        if !answer_lost {
            self.oracle.answered(order, status);
        }
    }

    /// Every order that was ever sent is sent again, and all that is on its way comes in.
    fn end(&mut self) {
        let sent: Vec<Order> = self.oracle.sent.iter().copied().collect();
        self.on_their_way.extend(sent);
        while !self.on_their_way.is_empty() || !self.decided.is_empty() || self.under_way.is_some() {
            for step in [Step::Arrive(0), Step::CarryOut(0), Step::Commit { answer_lost: false }] {
                self.play(step);
            }
        }
        let answered =
            |order: &&Order| !self.oracle.confirmed.contains(order) && !self.oracle.refused.contains(order);
        assert_eq!(self.oracle.sent.iter().find(answered), None, "an order without an answer");
    }
}

fn pick<T>(items: &[T], index: usize) -> Option<usize> {
    index.checked_rem(items.len())
}

/// Few bases and numbers, so that orders meet.
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
        1 => any::<usize>().prop_map(Step::Double),
        5 => any::<usize>().prop_map(Step::Arrive),
        5 => any::<usize>().prop_map(Step::CarryOut),
        4 => any::<bool>().prop_map(|answer_lost| Step::Commit { answer_lost }),
        1 => any::<bool>().prop_map(|keeps_write| Step::ChangePrimary { keeps_write }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn what_operators_see_never_contradicts_itself(steps in vec(steps(), 1..80)) {
        let mut tier = Tier::default();
        for step in steps {
            tier.play(step);
        }
        tier.end();
    }
}
