//! Simulated clients that run turns of programs and check the guarantees of the stores.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::session::{BeginTurn, FinishTurn, SessionCall, SessionReply, Turn};
use juniperwing_protocol::{ProgramId, RequestId};

use super::TestRng;
use super::long_turns::LongTurns;

/// How long a stored turn is retained.
pub const RETENTION: Span = Span::from_millis(60_000);
const BUDGET: u64 = 100;
const MAX_TOKENS: u64 = 20;
const MAX_ATTEMPTS: usize = 6;
/// A program that is idle for longer is not continued, since it may have expired.
const IDLE_LIMIT: Span = Span::from_millis(30_000);

/// How long a client waits for a reply before it retries the request.
const REPLY_TIMEOUT: Span = Span::from_millis(2_000);

/// A request that has no final reply yet.
#[derive(Clone, Debug)]
pub struct Operation {
    pub program: ProgramId,
    pub call: SessionCall,
    attempts: usize,
    started_at: Time,
    /// When it was last sent.
    pub sent_at: Time,
}

/// A turn whose storage was acknowledged.
#[derive(Clone, Debug)]
pub struct StoredTurn {
    pub turn: Turn,
    pub program: ProgramId,
    acknowledged_at: Time,
}

#[derive(Default)]
pub struct Clients {
    pub operations: BTreeMap<u64, Operation>,
    pub stored_turns: BTreeMap<RequestId, StoredTurn>,
    pub long_turns: LongTurns,
    /// The tokens that clients received, by program.
    tokens_received: BTreeMap<ProgramId, u64>,
    last_active_at: BTreeMap<ProgramId, Time>,
    /// When the last turn of each program ran or was committed.
    last_turn_at: BTreeMap<ProgramId, Time>,
    program_count: usize,
    last_number: u64,
    pub begun_turns: usize,
    pub denied_turns: usize,
}

impl Clients {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Begins a turn of an old or a new program; returns the operation to send.
    pub fn begin(&mut self, now: Time, rng: &mut TestRng) -> u64 {
        let program = self.choose_program(now, rng);
        let previous = self.choose_previous(&program, now, rng);
        let request = RequestId::from(format!("r{}", self.next_number()).as_str());
        let begin = BeginTurn {
            program: program.clone(),
            request,
            previous,
            budget: rng.random_bool(90).then_some(BUDGET),
            max_tokens: MAX_TOKENS,
            imported: Vec::new(),
            lease: self.long_turns.lease(),
        };
        // A program either has a budget in all its turns or in none.
        let begin = BeginTurn { budget: program.0.ends_with('b').then_some(BUDGET), ..begin };
        self.add(now, program, SessionCall::Begin(begin))
    }

    pub fn add(&mut self, now: Time, program: ProgramId, call: SessionCall) -> u64 {
        let number = self.next_number();
        self.operations
            .insert(number, Operation { program, call, attempts: 0, started_at: now, sent_at: now });
        number
    }

    fn choose_program(&mut self, now: Time, rng: &mut TestRng) -> ProgramId {
        // The retention of a program starts at its last turn; denied requests do not extend it.
        let last_turn_at = &self.last_turn_at;
        let is_retained =
            |program: &ProgramId| last_turn_at.get(program).is_none_or(|at| now.since(*at) < RETENTION);
        self.last_active_at.retain(|program, at| now.since(*at) < IDLE_LIMIT && is_retained(program));
        let known: Vec<ProgramId> = self.last_active_at.keys().cloned().collect();
        let program = if known.is_empty() || rng.random_bool(15) {
            self.program_count += 1;
            let kind = if rng.random_bool(70) { "b" } else { "free" };
            ProgramId::from(format!("p{}{kind}", self.program_count).as_str())
        } else {
            known[rng.below(known.len())].clone()
        };
        self.last_active_at.insert(program.clone(), now);
        program
    }

    fn choose_previous(&self, program: &ProgramId, now: Time, rng: &mut TestRng) -> Option<RequestId> {
        let own: Vec<&StoredTurn> = self
            .stored_turns
            .values()
            .filter(|stored| stored.program == *program && now.since(stored.acknowledged_at) < RETENTION)
            .collect();
        (!own.is_empty() && rng.random_bool(80)).then(|| own[rng.below(own.len())].turn.request.clone())
    }

    /// Handles a reply; `None` if it was lost. Returns the operation to send next, which is a retry or a subsequent
    /// operation.
    pub fn handle_reply(
        &mut self, number: u64, reply: Option<SessionReply>, now: Time, rng: &mut TestRng,
    ) -> Option<u64> {
        let operation = self.operations.get_mut(&number)?;
        let pending = operation.clone();
        match (&pending.call, reply) {
            (_, None | Some(SessionReply::Unavailable | SessionReply::NotPrimary { .. })) => {
                operation.attempts += 1;
                if operation.attempts < MAX_ATTEMPTS {
                    return Some(number);
                }
                self.operations.remove(&number);
                self.give_up(now, pending, rng)
            }
            (SessionCall::Begin(begin), Some(reply)) => {
                self.operations.remove(&number);
                self.handle_begun(begin, reply, pending.started_at, now, rng)
            }
            (SessionCall::Finish(finish), Some(reply)) => {
                assert_eq!(reply, SessionReply::TurnFinished);
                self.operations.remove(&number);
                self.handle_finished(finish, now);
                None
            }
            (SessionCall::Renew(renew), Some(reply)) => {
                assert_eq!(reply, SessionReply::TurnRenewed);
                self.operations.remove(&number);
                self.extend_activity(&renew.program, now);
                None
            }
            (SessionCall::Find { .. } | SessionCall::RecordOutput(_) | SessionCall::FindOutput(_), _) => None,
        }
    }

    /// Returns the operations of turns under way that are due.
    pub fn take_due(&mut self, now: Time, rng: &mut TestRng) -> Vec<u64> {
        let due = self.long_turns.take_due(now, rng);
        due.into_iter().map(|(program, call)| self.add(now, program, call)).collect()
    }

    /// Returns the operations whose reply has timed out, and restarts their timeout.
    pub fn take_timed_out(&mut self, now: Time) -> Vec<u64> {
        let mut timed_out = Vec::new();
        for (number, operation) in &mut self.operations {
            if now.since(operation.sent_at) > REPLY_TIMEOUT {
                operation.sent_at = now;
                timed_out.push(*number);
            }
        }
        timed_out
    }

    fn give_up(&mut self, now: Time, operation: Operation, rng: &mut TestRng) -> Option<u64> {
        let SessionCall::Begin(begin) = operation.call else { return None };
        if rng.random_bool(50) {
            return None;
        }
        let finish = FinishTurn {
            program: begin.program.clone(),
            request: begin.request,
            tokens: 0,
            stored_turn: None,
            retention_ms: 0,
        };
        Some(self.add(now, begin.program, SessionCall::Finish(finish)))
    }

    fn handle_begun(
        &mut self, begin: &BeginTurn, reply: SessionReply, started_at: Time, now: Time, rng: &mut TestRng,
    ) -> Option<u64> {
        match reply {
            SessionReply::TurnBegun { chain } => {
                self.check_chain(begin.previous.as_ref(), &chain);
                self.run_turn(begin, now, rng)
            }
            SessionReply::UnknownTurn => {
                let previous = begin.previous.as_ref().expect("an unknown turn is a previous turn");
                let stored = &self.stored_turns[previous];
                let age = started_at.since(stored.acknowledged_at);
                assert!(
                    age >= RETENTION,
                    "{previous} is denied as unknown but was stored {age:?} before the request"
                );
                self.denied_turns += 1;
                None
            }
            SessionReply::BudgetExhausted => {
                assert!(begin.budget.is_some());
                self.denied_turns += 1;
                None
            }
            other => panic!("unexpected reply to a begin: {other:?}"),
        }
    }

    /// Runs a turn: the client receives tokens. The relay may exit before it commits the turn.
    fn run_turn(&mut self, begin: &BeginTurn, now: Time, rng: &mut TestRng) -> Option<u64> {
        self.begun_turns += 1;
        let tokens = rng.below(MAX_TOKENS as usize + 1) as u64;
        let received = self.tokens_received.entry(begin.program.clone()).or_default();
        *received += tokens;
        if let Some(budget) = begin.budget {
            assert!(*received <= budget, "{} received {received} tokens of {budget}", begin.program);
        }
        self.extend_activity(&begin.program, now);
        if rng.random_bool(10) {
            return None;
        }
        let stored_turn = rng.random_bool(80).then(|| Turn {
            request: begin.request.clone(),
            previous: begin.previous.clone(),
            input: Arc::from(format!("in {}", begin.request).into_bytes()),
            output: Arc::from(format!("out {}", begin.request).into_bytes()),
            retention_ms: RETENTION.as_millis(),
            endpoint: None,
        });
        let finish = FinishTurn {
            program: begin.program.clone(),
            request: begin.request.clone(),
            tokens,
            stored_turn,
            retention_ms: RETENTION.as_millis(),
        };
        if self.long_turns.is_long(rng) {
            self.long_turns.start(now, begin, finish, rng);
            return None;
        }
        Some(self.add(now, begin.program.clone(), SessionCall::Finish(finish)))
    }

    /// Records that a turn of a program runs, or has run.
    fn extend_activity(&mut self, program: &ProgramId, now: Time) {
        self.last_active_at.insert(program.clone(), now);
        self.last_turn_at.insert(program.clone(), now);
    }

    fn handle_finished(&mut self, finish: &FinishTurn, now: Time) {
        self.extend_activity(&finish.program, now);
        if let Some(turn) = finish.stored_turn.clone() {
            let program = finish.program.clone();
            self.stored_turns
                .insert(finish.request.clone(), StoredTurn { turn, program, acknowledged_at: now });
        }
    }

    fn check_chain(&self, previous: Option<&RequestId>, chain: &[Turn]) {
        let mut next = previous;
        for turn in chain.iter().rev() {
            let expected = &self.stored_turns[next.expect("a chain with no more turns than expected")].turn;
            assert_eq!(turn, expected);
            next = expected.previous.as_ref();
        }
        assert_eq!(next, None, "the chain is complete");
    }

    /// The stored turns that must be found now and for at least [`IDLE_LIMIT`] longer.
    pub fn turns_that_must_be_found(&self, now: Time) -> Vec<StoredTurn> {
        let is_retained = |stored: &&StoredTurn| now.since(stored.acknowledged_at) + IDLE_LIMIT < RETENTION;
        self.stored_turns.values().filter(is_retained).cloned().collect()
    }
}
