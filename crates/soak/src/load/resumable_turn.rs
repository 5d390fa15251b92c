//! Stored turns on a resumable route: after a cut, the client resumes the stream at another relay, after the last event
//! that it has.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_protocol::session::TurnKey;
use juniperwing_random::Rng;
use tokio::time::sleep;

use super::Shared;
use super::program::{
    MAX_TURN_TOKENS, StoredTurn, TOKENS_PER_EVENT, TurnOutcome, outcome_of_failure, turn_input,
};
use super::turn_attempt::{ReceivedStream, StreamEnd, TurnAttempt, TurnRequest, output_of};
use crate::history::{Budget, RequestKind};

/// The path prefix of the route.
pub const PATH_PREFIX: &str = "/kr/";
/// Maximum number of attempts of one turn.
const MAX_ATTEMPTS: usize = 6;

/// The events that every endpoint generates for a body.
pub fn generated_events(body: &[u8]) -> Vec<Vec<u8>> {
    let digest = TurnKey::digest(body);
    let events = MAX_TURN_TOKENS / TOKENS_PER_EVENT / 2 + digest % (MAX_TURN_TOKENS / TOKENS_PER_EVENT / 2);
    let event = |number| format!("id: {number}\ndata: {digest:016x}.{number}\n\n").into_bytes();
    (1..=events).map(event).collect()
}

/// A turn that one or more attempts run.
struct ResumableTurn<'a> {
    shared: &'a Arc<Shared>,
    program: &'a str,
    budget: Budget,
    previous: Option<&'a StoredTurn>,
    path: String,
    input: Vec<u8>,
    /// The body that endpoints must receive.
    expected_body: Vec<u8>,
    /// The events that the client has.
    received: Vec<Vec<u8>>,
}

/// Runs one turn; an attempt that was cut is resumed after the last event received.
pub async fn run(
    shared: &Arc<Shared>, program: &str, budget: Budget, previous: Option<&StoredTurn>, rng: &mut Rng,
) -> TurnOutcome {
    let name = shared.unique_name("t");
    let input = turn_input(&name, rng);
    let mut turn = ResumableTurn {
        shared,
        program,
        budget,
        previous,
        path: format!("{PATH_PREFIX}{name}"),
        expected_body: [previous.map_or(&[][..], |stored| &stored.history), &input].concat(),
        input,
        received: Vec::new(),
    };
    let mut outcome = TurnOutcome::NotExecuted;
    for _ in 0..MAX_ATTEMPTS {
        outcome = turn.attempt(rng).await;
        if !outcome.may_retry() {
            return outcome;
        }
        sleep(Duration::from_millis(20 + rng.below(300))).await;
    }
    outcome
}

impl ResumableTurn<'_> {
    async fn attempt(&mut self, rng: &mut Rng) -> TurnOutcome {
        let id = self.shared.unique_name("t");
        let request = TurnRequest {
            id: &id,
            path: &self.path,
            program: self.program,
            budget: self.budget,
            previous: self.previous,
            last_event_id: (!self.received.is_empty()).then_some(self.received.len()),
        };
        let attempt = TurnAttempt {
            kind: RequestKind::ResumableTurn,
            request,
            input: &self.input,
            expected_body: &self.expected_body,
        };
        let ReceivedStream { mut events, end } = match attempt.run(self.shared, rng).await {
            Ok(received) => received,
            Err(outcome) => return outcome,
        };
        self.received.append(&mut events.complete);
        match end {
            StreamEnd::Complete(head) if head.status == 200 => self.complete(id),
            StreamEnd::Complete(head) => outcome_of_failure(self.shared, &id, self.previous, head.status),
            StreamEnd::Truncated => TurnOutcome::Indeterminate,
        }
    }

    /// Checks that the client has each event of the stream once, and adds the turn to those that can be continued.
    fn complete(&self, id: String) -> TurnOutcome {
        if self.received != generated_events(&self.expected_body) {
            let details = format!("{id}: {} events over all attempts", self.received.len());
            self.shared.history.record_finding("a resumed stream is whole", details);
        }
        let history = [&self.expected_body[..], &output_of(&self.received)].concat();
        let stored = StoredTurn { id, history, program: self.program.to_owned() };
        self.shared.add_stored_turn(&stored);
        TurnOutcome::Completed(stored)
    }
}
