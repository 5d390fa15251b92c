//! Programs, and what they know must hold.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::session::{BeginTurn, FinishTurn, SessionCall, SessionReply, Turn};
use juniperwing_protocol::{ProgramId, RequestId};

use super::Chance;

pub const RETENTION: Span = Span::from_millis(60_000);
const BUDGET: u64 = 100;
const MOST: u64 = 20;
const MAX_TRIES: usize = 6;
/// A program that rests for longer is over: it may be forgotten.
const REST: Span = Span::from_millis(30_000);

/// How long a client waits for an answer before it asks again.
const ANSWER_WITHIN: Span = Span::from_millis(2_000);

/// A turn under way.
#[derive(Clone, Debug)]
pub struct Operation {
    pub program: ProgramId,
    pub call: SessionCall,
    tries: usize,
    asked_at: Time,
    /// When it was sent last.
    pub sent_at: Time,
}

/// A turn that was acknowledged as kept.
#[derive(Clone, Debug)]
pub struct Kept {
    pub turn: Turn,
    pub program: ProgramId,
    acknowledged_at: Time,
}

#[derive(Default)]
pub struct Clients {
    pub operations: BTreeMap<u64, Operation>,
    pub kept: BTreeMap<RequestId, Kept>,
    /// Tokens handed to clients.
    handed: BTreeMap<ProgramId, u64>,
    active: BTreeMap<ProgramId, Time>,
    /// When a turn of a program ran or was settled last.
    worked: BTreeMap<ProgramId, Time>,
    programs: usize,
    last: u64,
    pub begun: usize,
    pub denied: usize,
}

impl Clients {
    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Begins a turn of an old or a new program; returns the operation to send.
    pub fn begin(&mut self, now: Time, chance: &mut Chance) -> u64 {
        let program = self.choose_program(now, chance);
        let previous = self.choose_previous(&program, now, chance);
        let request = RequestId::from(format!("r{}", self.next()).as_str());
        let begin = BeginTurn {
            program: program.clone(),
            request,
            previous,
            budget: chance.percent(90).then_some(BUDGET),
            max_tokens: MOST,
            imported: Vec::new(),
        };
        // A program either has a budget in all its turns or in none.
        let begin = BeginTurn { budget: program.0.ends_with('b').then_some(BUDGET), ..begin };
        self.add(now, program, SessionCall::Begin(begin))
    }

    pub fn add(&mut self, now: Time, program: ProgramId, call: SessionCall) -> u64 {
        let number = self.next();
        self.operations.insert(number, Operation { program, call, tries: 0, asked_at: now, sent_at: now });
        number
    }

    fn choose_program(&mut self, now: Time, chance: &mut Chance) -> ProgramId {
        // A program is remembered for its retention from its last turn on, whatever it asks and is denied.
        let worked = &self.worked;
        let remembered =
            |program: &ProgramId| worked.get(program).is_none_or(|at| now.since(*at) < RETENTION);
        self.active.retain(|program, at| now.since(*at) < REST && remembered(program));
        let known: Vec<ProgramId> = self.active.keys().cloned().collect();
        let program = if known.is_empty() || chance.percent(15) {
            self.programs += 1;
            let kind = if chance.percent(70) { "b" } else { "free" };
            ProgramId::from(format!("p{}{kind}", self.programs).as_str())
        } else {
            known[chance.below(known.len())].clone()
        };
        self.active.insert(program.clone(), now);
        program
    }

    fn choose_previous(&self, program: &ProgramId, now: Time, chance: &mut Chance) -> Option<RequestId> {
        let own: Vec<&Kept> = self
            .kept
            .values()
            .filter(|kept| kept.program == *program && now.since(kept.acknowledged_at) < RETENTION)
            .collect();
        (!own.is_empty() && chance.percent(80)).then(|| own[chance.below(own.len())].turn.request.clone())
    }

    /// An answer came, or `None` if it was lost. Returns whether the operation is to be sent again, and an
    /// operation that follows.
    pub fn answered(
        &mut self, number: u64, reply: Option<SessionReply>, now: Time, chance: &mut Chance,
    ) -> Option<u64> {
        let operation = self.operations.get_mut(&number)?;
        let operation_copy = operation.clone();
        match (&operation_copy.call, reply) {
            (_, None | Some(SessionReply::Unavailable | SessionReply::NotPrimary { .. })) => {
                operation.tries += 1;
                if operation.tries < MAX_TRIES {
                    return Some(number);
                }
                self.operations.remove(&number);
                self.give_up(now, operation_copy, chance)
            }
            (SessionCall::Begin(begin), Some(reply)) => {
                self.operations.remove(&number);
                self.begun(begin, reply, operation_copy.asked_at, now, chance)
            }
            (SessionCall::Finish(finish), Some(reply)) => {
                assert_eq!(reply, SessionReply::TurnFinished);
                self.operations.remove(&number);
                self.finished(finish, now);
                None
            }
            (SessionCall::Find { .. }, _) => None,
        }
    }

    /// Operations whose answer is not waited for any longer.
    pub fn overdue(&mut self, now: Time) -> Vec<u64> {
        let mut overdue = Vec::new();
        for (number, operation) in &mut self.operations {
            if now.since(operation.sent_at) > ANSWER_WITHIN {
                operation.sent_at = now;
                overdue.push(*number);
            }
        }
        overdue
    }

    fn give_up(&mut self, now: Time, operation: Operation, chance: &mut Chance) -> Option<u64> {
        let SessionCall::Begin(begin) = operation.call else { return None };
        if chance.percent(50) {
            return None;
        }
        let finish = FinishTurn {
            program: begin.program.clone(),
            request: begin.request,
            tokens: 0,
            stored_turn: None,
        };
        Some(self.add(now, begin.program, SessionCall::Finish(finish)))
    }

    fn begun(
        &mut self, begin: &BeginTurn, reply: SessionReply, asked_at: Time, now: Time, chance: &mut Chance,
    ) -> Option<u64> {
        match reply {
            SessionReply::TurnBegun { chain } => {
                self.check_chain(begin.previous.as_ref(), &chain);
                self.run(begin, now, chance)
            }
            SessionReply::UnknownTurn => {
                let previous = begin.previous.as_ref().expect("a previous turn that is not known");
                let kept = &self.kept[previous];
                let age = asked_at.since(kept.acknowledged_at);
                assert!(age >= RETENTION, "{previous} was kept {age:?} ago and is denied");
                self.denied += 1;
                None
            }
            SessionReply::BudgetExhausted => {
                assert!(begin.budget.is_some());
                self.denied += 1;
                None
            }
            other => panic!("{other:?} answers a beginning"),
        }
    }

    /// The turn runs: tokens reach the client; the relay may die before it settles.
    fn run(&mut self, begin: &BeginTurn, now: Time, chance: &mut Chance) -> Option<u64> {
        self.begun += 1;
        let tokens = chance.below(MOST as usize + 1) as u64;
        let handed = self.handed.entry(begin.program.clone()).or_default();
        *handed += tokens;
        if let Some(budget) = begin.budget {
            assert!(*handed <= budget, "{} was handed {handed} tokens of {budget}", begin.program);
        }
        self.active.insert(begin.program.clone(), now);
        self.worked.insert(begin.program.clone(), now);
        if chance.percent(10) {
            return None;
        }
        let kept = chance.percent(80).then(|| Turn {
            request: begin.request.clone(),
            previous: begin.previous.clone(),
            input: Arc::from(format!("in {}", begin.request).into_bytes()),
            output: Arc::from(format!("out {}", begin.request).into_bytes()),
            retention_ms: RETENTION.as_nanos() / 1_000_000,
            endpoint: None,
        });
        let finish = FinishTurn {
            program: begin.program.clone(),
            request: begin.request.clone(),
            tokens,
            stored_turn: kept,
        };
        Some(self.add(now, begin.program.clone(), SessionCall::Finish(finish)))
    }

    fn finished(&mut self, finish: &FinishTurn, now: Time) {
        self.active.insert(finish.program.clone(), now);
        self.worked.insert(finish.program.clone(), now);
        if let Some(turn) = finish.stored_turn.clone() {
            let program = finish.program.clone();
            self.kept.insert(finish.request.clone(), Kept { turn, program, acknowledged_at: now });
        }
    }

    fn check_chain(&self, previous: Option<&RequestId>, chain: &[Turn]) {
        let mut wanted = previous;
        for turn in chain.iter().rev() {
            let expected = &self.kept[wanted.expect("a chain that is not too long")].turn;
            assert_eq!(turn, expected);
            wanted = expected.previous.as_ref();
        }
        assert_eq!(wanted, None, "the chain is whole");
    }

    /// Turns that must be known now and for the next seconds.
    pub fn must_be_known(&self, now: Time) -> Vec<Kept> {
        let young = |kept: &&Kept| now.since(kept.acknowledged_at) + REST < RETENTION;
        self.kept.values().filter(young).cloned().collect()
    }
}
