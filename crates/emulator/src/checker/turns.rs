//! Checks what clients of programs observed: stored turns, chains and budgets.

use std::collections::BTreeMap;

use juniperwing_clock::Time;

use super::observations::Observations;
use super::{Property, Violations};
use crate::history::{Event, RecordedEvent};
use crate::programs::{TurnContent, TurnId, TurnRequest};
use crate::stability::{Scope, Stability, millis};

/// How long the stores may take to be assigned after the start of the tier, in milliseconds.
const BOOTSTRAP_MS: u64 = 6_000;

/// A complete response to a turn.
struct CompleteResponse {
    at: Time,
    /// The attempt whose content is stored; `None` if the turn is not stored.
    stored_attempt: Option<u64>,
}

/// What clients observed of a turn.
struct TurnHistory {
    request: TurnRequest,
    requested_at: Time,
    request_count: usize,
    has_begun: bool,
    is_denied: bool,
    tokens_sent: u64,
    response: Option<CompleteResponse>,
}

/// What clients have observed so far.
struct TurnChecker<'check> {
    violations: &'check mut Violations,
    stability: Stability,
    turns: BTreeMap<TurnId, TurnHistory>,
    /// Tokens that clients received, by program.
    tokens_received: BTreeMap<usize, u64>,
}

pub(super) fn check(observations: &Observations<'_>, violations: &mut Violations) {
    if observations.scenario.stores == 0 {
        return;
    }
    let stability = Stability::compute(observations.scenario, observations.history, Scope::Tier);
    let mut checker =
        TurnChecker { violations, stability, turns: BTreeMap::new(), tokens_received: BTreeMap::new() };
    for RecordedEvent { at, event } in observations.history {
        checker.handle(*at, event);
    }
}

impl TurnChecker<'_> {
    fn handle(&mut self, at: Time, event: &Event) {
        match event {
            Event::TurnRequested { request, .. } => self.handle_request(at, request),
            Event::TurnBegun { turn, chain } => self.handle_begun(at, *turn, chain.as_deref()),
            Event::TokensSent { turn, tokens } => self.handle_tokens(at, *turn, *tokens),
            Event::TurnAnswered { turn, stored_attempt } => {
                if let Some(known) = self.turns.get_mut(turn) {
                    known.response = Some(CompleteResponse { at, stored_attempt: *stored_attempt });
                }
            }
            Event::TurnRefused { turn, status, requested_at } => {
                self.handle_refusal(at, *turn, *status, *requested_at);
            }
            _ => {}
        }
    }

    fn handle_request(&mut self, at: Time, request: &TurnRequest) {
        let new = TurnHistory {
            request: *request,
            requested_at: at,
            request_count: 0,
            has_begun: false,
            is_denied: false,
            tokens_sent: 0,
            response: None,
        };
        self.turns.entry(request.turn).or_insert(new).request_count += 1;
    }

    fn handle_begun(&mut self, at: Time, turn: TurnId, chain: Option<&[TurnContent]>) {
        let Some(known) = self.turns.get_mut(&turn) else { return };
        known.has_begun = true;
        let (is_denied, previous) = (known.is_denied, known.request.previous);
        if is_denied {
            self.add(Property::DeniedTurnRan, at, turn, "402 before it ran".to_owned());
        }
        match self.stored_chain(previous) {
            None => self.add(Property::UnknownTurnContinued, at, turn, format!("continues {previous:?}")),
            Some(expected) if chain != Some(expected.as_slice()) => {
                self.add(Property::WrongChain, at, turn, format!("{chain:?} instead of {expected:?}"));
            }
            Some(_) => {}
        }
    }

    /// The contents of a turn and of those before it, oldest first; `None` if one of them is not stored.
    fn stored_chain(&self, last: Option<TurnId>) -> Option<Vec<TurnContent>> {
        let mut chain = Vec::new();
        let mut next = last;
        while let Some(turn) = next {
            let known = self.turns.get(&turn)?;
            let attempt = known.response.as_ref()?.stored_attempt?;
            chain.push(TurnContent { turn, attempt });
            next = known.request.previous;
        }
        chain.reverse();
        Some(chain)
    }

    fn handle_tokens(&mut self, at: Time, turn: TurnId, tokens: u64) {
        let Some(known) = self.turns.get_mut(&turn) else { return };
        known.tokens_sent += tokens;
        let TurnRequest { program, budget, .. } = known.request;
        let received = self.tokens_received.entry(program).or_default();
        *received += tokens;
        let received = *received;
        if budget.is_some_and(|budget| received > budget) {
            self.add(Property::BudgetExceeded, at, turn, format!("program {program} has {received} tokens"));
        }
    }

    fn handle_refusal(&mut self, at: Time, turn: TurnId, status: u16, requested_at: Time) {
        match status {
            402 => self.handle_denial(at, turn),
            404 => self.handle_not_found(at, turn),
            _ => self.handle_unavailable(at, turn, requested_at),
        }
    }

    /// A denial is permanent, so the budget must have lacked room for the turn at some time since it was first sent.
    fn handle_denial(&mut self, at: Time, turn: TurnId) {
        let Some(known) = self.turns.get_mut(&turn) else { return };
        known.is_denied = true;
        let (has_begun, request, requested_at) = (known.has_begun, known.request, known.requested_at);
        if has_begun {
            self.add(Property::DeniedTurnRan, at, turn, "402 after it ran".to_owned());
        }
        let others = self
            .turns
            .values()
            .filter(|other| other.request.program == request.program && other.request.turn != turn);
        let used: u64 = others.map(|other| other.max_counted_tokens_at(requested_at)).sum();
        if request.budget.is_none_or(|budget| used + request.max_tokens <= budget) {
            let detail = format!("{} more than {used} of {:?}", request.max_tokens, request.budget);
            self.add(Property::DeniedWithinBudget, at, turn, detail);
        }
    }

    fn handle_not_found(&mut self, at: Time, turn: TurnId) {
        let Some(known) = self.turns.get(&turn) else { return };
        let (previous, requested_at) = (known.request.previous, known.requested_at);
        let is_stored = |chain: Vec<TurnContent>| {
            let responses =
                chain.iter().filter_map(|content| self.turns.get(&content.turn)?.response.as_ref());
            responses.into_iter().all(|response| response.at <= requested_at)
        };
        if self.stored_chain(previous).is_some_and(is_stored) {
            self.add(Property::StoredTurnDenied, at, turn, format!("404, continues {previous:?}"));
        }
    }

    fn handle_unavailable(&mut self, at: Time, turn: TurnId, requested_at: Time) {
        let Some(known) = self.turns.get(&turn) else { return };
        let (from_ms, until_ms) = (millis(requested_at), millis(at));
        let is_stable = self.stability.is_stable_throughout(from_ms, until_ms);
        // A turn that is sent again may have been ended by the commit that followed the first 503.
        if is_stable && from_ms >= BOOTSTRAP_MS && known.request_count == 1 {
            self.add(Property::TurnNotServed, at, turn, format!("503 after {} ms", until_ms - from_ms));
        }
    }

    fn add(&mut self, property: Property, at: Time, turn: TurnId, detail: String) {
        self.violations.add(property, at, format!("turn {turn}: {detail}"));
    }
}

impl TurnHistory {
    /// The maximum number of tokens that may count for this turn in the decision on another turn that was requested at
    /// `moment`: the tokens that clients received if the commit was acknowledged before, and otherwise all that the turn
    /// may generate.
    fn max_counted_tokens_at(&self, moment: Time) -> u64 {
        match &self.response {
            Some(CompleteResponse { at, stored_attempt: Some(_) }) if *at <= moment => self.tokens_sent,
            _ => self.request.max_tokens,
        }
    }
}
