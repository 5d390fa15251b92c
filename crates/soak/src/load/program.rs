//! Agent programs: sequences of stored turns, each of which continues the previous one, within a token budget.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_random::Rng;
use tokio::time::sleep;

use super::turn_attempt::{Events, ReceivedStream, StreamEnd, TurnAttempt, TurnRequest, output_of};
use super::{Shared, resumable_turn};
use crate::history::{Budget, RequestKind};
use crate::http::Head;

/// The maximum number of tokens that one turn generates.
pub const MAX_TURN_TOKENS: u64 = 30;
/// Number of tokens in an event (`stride` in the configuration).
pub const TOKENS_PER_EVENT: u64 = 3;
/// Percentage of turns on the resumable route.
const RESUMABLE_TURN_PERCENT: u64 = 50;
/// Maximum number of attempts of one turn.
const MAX_TURN_ATTEMPTS: usize = 3;

/// A turn that was served completely, with the turns before it.
#[derive(Clone, Debug)]
pub struct StoredTurn {
    /// The id of the turn.
    pub id: String,
    /// The inputs and outputs of all turns of the chain, oldest first.
    pub history: Vec<u8>,
    /// The program that it belongs to.
    pub program: String,
}

/// Outcome of an attempt of a turn, which decides how its program continues.
pub enum TurnOutcome {
    /// It was served completely.
    Completed(StoredTurn),
    /// The turn was not executed and may be retried.
    NotExecuted,
    /// The turn may have been executed; the program retries it with a new id.
    Indeterminate,
    /// The budget is exhausted.
    BudgetExhausted,
    /// The tier does not know the previous turn.
    PreviousTurnUnknown,
}

impl TurnOutcome {
    /// Whether the program tries the turn again.
    pub fn may_retry(&self) -> bool {
        matches!(self, TurnOutcome::NotExecuted | TurnOutcome::Indeterminate)
    }
}

/// Runs programs in sequence until the load ends.
pub async fn run(shared: Arc<Shared>, number: u64) {
    let mut rng = shared.rng(&format!("program {number}"));
    while shared.is_running() {
        run_program(&shared, &mut rng).await;
    }
}

async fn run_program(shared: &Arc<Shared>, rng: &mut Rng) {
    let program = shared.unique_name("p");
    let turns = 2 + rng.below(5);
    let is_tight = rng.percent(25);
    let tokens = if is_tight { MAX_TURN_TOKENS * 2 } else { MAX_TURN_TOKENS * (turns + 12) };
    let budget = Budget { tokens, max_turn_tokens: MAX_TURN_TOKENS };
    shared.history.record().budgets.insert(program.clone(), budget);
    let mut last: Option<StoredTurn> = None;
    for _ in 0..turns {
        if !shared.is_running() {
            return;
        }
        let outcome = run_turn(shared, &program, budget, last.as_ref(), rng).await;
        let TurnOutcome::Completed(next) = outcome else { return };
        if rng.percent(15) {
            // Two concurrent turns continue the same turn.
            let mut other = rng.clone();
            other.below(2);
            let first = run_turn(shared, &program, budget, Some(&next), &mut other);
            let second = run_turn(shared, &program, budget, Some(&next), rng);
            tokio::join!(first, second);
        }
        last = Some(next);
        sleep(Duration::from_millis(rng.below(120))).await;
    }
}

/// Runs one turn of a program, on either route.
async fn run_turn(
    shared: &Arc<Shared>, program: &str, budget: Budget, previous: Option<&StoredTurn>, rng: &mut Rng,
) -> TurnOutcome {
    if rng.percent(RESUMABLE_TURN_PERCENT) {
        return resumable_turn::run(shared, program, budget, previous, rng).await;
    }
    run_turn_without_resumption(shared, program, budget, previous, rng).await
}

/// Runs one turn, with retries from its start.
async fn run_turn_without_resumption(
    shared: &Arc<Shared>, program: &str, budget: Budget, previous: Option<&StoredTurn>, rng: &mut Rng,
) -> TurnOutcome {
    let mut outcome = TurnOutcome::NotExecuted;
    for _ in 0..MAX_TURN_ATTEMPTS {
        outcome = attempt_turn(shared, program, budget, previous, rng).await;
        if !outcome.may_retry() {
            return outcome;
        }
        sleep(Duration::from_millis(100 + rng.below(300))).await;
    }
    outcome
}

/// Continues a turn that was served earlier, with retries. Returns whether that succeeded.
pub async fn continue_turn(shared: &Arc<Shared>, stored: &StoredTurn, max_attempts: usize) -> bool {
    let mut rng = shared.rng(&stored.id);
    let program = shared.unique_name("c");
    let budget = Budget { tokens: MAX_TURN_TOKENS * 40, max_turn_tokens: MAX_TURN_TOKENS };
    shared.history.record().budgets.insert(program.clone(), budget);
    for _ in 0..max_attempts {
        if let TurnOutcome::Completed(_) = run_turn(shared, &program, budget, Some(stored), &mut rng).await {
            return true;
        }
    }
    false
}

async fn attempt_turn(
    shared: &Arc<Shared>, program: &str, budget: Budget, previous: Option<&StoredTurn>, rng: &mut Rng,
) -> TurnOutcome {
    let id = shared.unique_name("t");
    let input = turn_input(&id, rng);
    let expected_body = [previous.map_or(&[][..], |stored| &stored.history), &input].concat();
    let path = format!("/k/{id}");
    let request = TurnRequest { id: &id, path: &path, program, budget, previous, last_event_id: None };
    let attempt =
        TurnAttempt { kind: RequestKind::Turn, request, input: &input, expected_body: &expected_body };
    let ReceivedStream { events, end } = match attempt.run(shared, rng).await {
        Ok(received) => received,
        Err(outcome) => return outcome,
    };
    match end {
        StreamEnd::Complete(head) if head.status == 200 => {
            check_events(shared, &id, &head, &events);
            let history = [expected_body, output_of(&events.complete)].concat();
            let stored = StoredTurn { id, history, program: program.to_owned() };
            shared.add_stored_turn(&stored);
            TurnOutcome::Completed(stored)
        }
        StreamEnd::Complete(head) => outcome_of_failure(shared, &id, previous, head.status),
        StreamEnd::Truncated => TurnOutcome::Indeterminate,
    }
}

/// The outcome of an attempt that got a complete response with a status other than 200.
pub fn outcome_of_failure(
    shared: &Arc<Shared>, id: &str, previous: Option<&StoredTurn>, status: u16,
) -> TurnOutcome {
    match status {
        402 => TurnOutcome::BudgetExhausted,
        404 => {
            let before = previous.map_or("none", |stored| &stored.id);
            shared.history.record_finding("a kept turn is denied", format!("{id} continues {before}: 404"));
            TurnOutcome::PreviousTurnUnknown
        }
        429 | 503 => TurnOutcome::NotExecuted,
        _ => TurnOutcome::Indeterminate,
    }
}

/// A new input; inputs of different turns differ.
pub fn turn_input(name: &str, rng: &mut Rng) -> Vec<u8> {
    format!("[{name}:{}]", "x".repeat(rng.below(400) as usize)).into_bytes()
}

/// Checks that the events are exactly those that an endpoint sent for this turn, complete and in order.
fn check_events(shared: &Arc<Shared>, id: &str, head: &Head, events: &Events) {
    let is_complete = shared.history.is_response_to(id, &events.complete.concat());
    let has_own_head = head.has("x-server-signature") && head.header("x-request-id") == id;
    if !has_own_head || !is_complete || !events.partial.is_empty() {
        let details = format!(
            "{id}: id and signature match: {has_own_head}, {} complete events",
            events.complete.len()
        );
        shared.history.record_finding("a stream of another run or not whole", details);
    }
}
