//! The state that clients share: their programs, the answered turns, and the turns to send again.

use std::sync::{Arc, Mutex};

use juniperwing_clock::Time;
use juniperwing_node::sync::lock;
use juniperwing_random::Rng;

use super::turn::{TurnId, TurnRequest};
use crate::history::{Event, History};
use crate::network::MIN_DELAY;

/// The token budget of a program that has one.
const BUDGET: u64 = 150;
/// The maximum number of tokens that a turn may request.
const MAX_TOKENS_PER_TURN: u64 = 40;
/// The number of programs that clients run at the same time.
const ACTIVE_PROGRAMS: usize = 12;
/// The first of the turn identifiers that no client requests; those of requested turns are lower.
const FIRST_UNKNOWN_TURN: TurnId = 1 << 40;

/// A program, as its client knows it.
#[derive(Clone, Copy, Debug)]
struct Program {
    number: usize,
    budget: Option<u64>,
}

/// A turn that was answered completely and stored.
#[derive(Clone, Copy, Debug)]
struct AnsweredTurn {
    turn: TurnId,
    program: usize,
    /// When other clients may refer to it.
    visible_at: Time,
}

/// A request whose response said that it was not run.
#[derive(Clone, Copy, Debug)]
struct RefusedRequest {
    request: TurnRequest,
    visible_at: Time,
}

#[derive(Debug, Default)]
struct PoolState {
    programs: Vec<Program>,
    last_turn: TurnId,
    last_attempt: u64,
    answered: Vec<AnsweredTurn>,
    refused: Vec<RefusedRequest>,
}

/// The state that all clients share. Clones share it as well.
#[derive(Clone, Debug)]
pub struct ProgramPool {
    state: Arc<Mutex<PoolState>>,
    /// Where clients record what they observe.
    pub history: History,
    /// The seed of the scenario.
    pub seed: u64,
}

impl ProgramPool {
    /// Creates a pool without programs.
    pub fn new(history: History, seed: u64) -> ProgramPool {
        ProgramPool { state: Arc::default(), history, seed }
    }

    /// Chooses what to send next: a new turn, or one whose response said that it was not run.
    pub(super) fn choose_request(&self, now: Time, rng: &mut Rng) -> TurnRequest {
        let mut state = lock(&self.state);
        if rng.one_in(5)
            && let Some(request) = state.take_refused(now, rng)
        {
            return request;
        }
        let Program { number: program, budget } = state.choose_program(rng);
        let previous = state.choose_previous(program, now, rng);
        state.last_turn += 1;
        let max_tokens = 1 + rng.below(MAX_TOKENS_PER_TURN);
        TurnRequest { turn: state.last_turn, program, budget, max_tokens, previous }
    }

    /// Returns a unique number for an attempt to run a turn.
    pub(super) fn next_attempt(&self) -> u64 {
        let mut state = lock(&self.state);
        state.last_attempt += 1;
        state.last_attempt
    }

    /// Adds a turn that was answered completely and stored.
    pub(super) fn add_answered(&self, now: Time, request: &TurnRequest) {
        let TurnRequest { turn, program, .. } = *request;
        lock(&self.state).answered.push(AnsweredTurn { turn, program, visible_at: now + MIN_DELAY });
    }

    /// Adds a request that may be sent again.
    pub(super) fn add_refused(&self, now: Time, request: &TurnRequest) {
        lock(&self.state).refused.push(RefusedRequest { request: *request, visible_at: now + MIN_DELAY });
    }

    pub(super) fn record(&self, now: Time, event: Event) {
        self.history.record(now, event);
    }
}

impl PoolState {
    fn take_refused(&mut self, now: Time, rng: &mut Rng) -> Option<TurnRequest> {
        let visible: Vec<usize> =
            (0..self.refused.len()).filter(|index| self.refused[*index].visible_at <= now).collect();
        let index = *rng.choose(&visible)?;
        Some(self.refused.remove(index).request)
    }

    /// One of the newest programs, or a new one.
    fn choose_program(&mut self, rng: &mut Rng) -> Program {
        if self.programs.len() < ACTIVE_PROGRAMS || rng.one_in(12) {
            let number = self.programs.len() + 1;
            let budget = (!rng.one_in(4)).then_some(BUDGET);
            self.programs.push(Program { number, budget });
        }
        let newest = self.programs.len().saturating_sub(ACTIVE_PROGRAMS);
        let active = &self.programs[newest..];
        active[rng.index(active.len())]
    }

    /// The turn that a new one continues: usually one of the same program, and in half of these cases the newest.
    fn choose_previous(&self, program: usize, now: Time, rng: &mut Rng) -> Option<TurnId> {
        if rng.one_in(40) {
            return Some(FIRST_UNKNOWN_TURN + rng.below(1_000));
        }
        let is_visible = |answered: &&AnsweredTurn| answered.visible_at <= now;
        if rng.one_in(10) {
            let any: Vec<TurnId> =
                self.answered.iter().filter(is_visible).map(|answered| answered.turn).collect();
            return rng.choose(&any).copied();
        }
        let visible = self.answered.iter().filter(is_visible);
        let of_program = visible.filter(|answered| answered.program == program);
        let of_program: Vec<TurnId> = of_program.map(|answered| answered.turn).collect();
        if rng.one_in(2) { of_program.last().copied() } else { rng.choose(&of_program).copied() }
    }
}
