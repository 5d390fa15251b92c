//! Turns of agent programs: reserves tokens before a turn runs, and stores turns if their route says so.

mod lease;
mod resumption;

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use juniperwing_clock::Span;
use juniperwing_configuration::RouteTable;
use juniperwing_protocol::headers;
use juniperwing_protocol::identity::{InstanceId, ProgramId, RequestId};
use juniperwing_protocol::session::{BeginTurn, FinishTurn, Turn};

use super::events::Event;
use super::exchange::Exchange;
use super::http_headers::{header_number, header_text};
use super::rejection::Rejection;
use super::sessions::{SessionStore, TurnError};
use super::trace::StoredTurnSize;
use super::turn_history::prepend_turns;
use super::turn_output::TurnOutput;
use crate::clock::duration;
use crate::sessions_client::LeaseRenewal;

/// The maximum time for which the end of a response is delayed while its turn is stored.
const STORE_TIMEOUT: Span = Span::from_millis(1_000);
/// How far a response may exceed its deadline while its turn is stored.
const STORE_ALLOWANCE_PAST_DEADLINE: Span = Span::from_millis(100);
/// The fraction of the remaining time that the stores may take to begin a turn.
const BEGIN_TIMEOUT_FRACTION: f64 = 0.5;

/// Why a turn does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnRejection {
    /// Permanently, with this status.
    Permanent(StatusCode),
    /// Temporarily: the client may retry.
    Temporary(Rejection),
}

impl From<TurnError> for TurnRejection {
    fn from(error: TurnError) -> Self {
        match error {
            TurnError::BudgetExhausted => TurnRejection::Permanent(StatusCode::PAYMENT_REQUIRED),
            TurnError::UnknownTurn => TurnRejection::Permanent(StatusCode::NOT_FOUND),
            TurnError::Unavailable { .. } => TurnRejection::Temporary(Rejection::StoresUnreachable),
        }
    }
}

/// A turn that has begun. If it is dropped with an open reservation, it is committed with the tokens that were sent to
/// the client.
pub struct OpenTurn {
    sessions: Arc<dyn SessionStore>,
    program: ProgramId,
    request: RequestId,
    previous: Option<RequestId>,
    input: Bytes,
    tokens_per_event: u64,
    /// The maximum number of tokens that the turn may generate; `None` if the client does not specify it.
    max_tokens: Option<u64>,
    /// Whether the turn is stored when it is complete.
    is_stored: bool,
    /// How long the program is retained after the turn.
    retention_ms: u64,
    /// The tokens sent to the client.
    sent_tokens: u64,
    /// The output of the turn, if it is to be stored.
    output: TurnOutput,
    /// Whether the stores may have a reservation that must be committed.
    has_reservation: bool,
    /// Renews the turn's lease until it is dropped, if the turn may run for longer.
    renewal: Option<LeaseRenewal>,
}

impl OpenTurn {
    /// Begins the turn of a request; returns `None` if it has neither a budget nor storage. The bodies of earlier turns
    /// are prepended to the request's body.
    ///
    /// # Errors
    ///
    /// If the turn must not run, permanently or at present.
    pub async fn begin(
        sessions: &Arc<dyn SessionStore>, exchange: &mut Exchange, table: &RouteTable,
    ) -> Result<Option<OpenTurn>, TurnRejection> {
        let is_stored = exchange.route.stores_turns;
        let budget = budget(exchange)?;
        if !exchange.route.route_type.is_streaming() || (budget.is_none() && !is_stored) {
            return Ok(None);
        }
        let mut turn = OpenTurn::new(sessions, exchange, table, budget);
        let earlier_turns = turn.reserve(exchange, budget).await?;
        turn.renew_lease(exchange, budget);
        if is_stored {
            turn.resume(exchange).await;
            prepend_turns(exchange, &earlier_turns);
        }
        Ok(Some(turn))
    }

    fn new(
        sessions: &Arc<dyn SessionStore>, exchange: &Exchange, table: &RouteTable, budget: Option<u64>,
    ) -> OpenTurn {
        let request = exchange.request_id();
        let program = exchange.program.clone().unwrap_or_else(|| ProgramId(request.0.clone()));
        let service = table.service(&exchange.destination.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let is_stored = exchange.route.stores_turns;
        let previous = Some(header_text(&exchange.headers, headers::PREVIOUS)).filter(|id| !id.is_empty());
        OpenTurn {
            sessions: Arc::clone(sessions),
            program,
            request,
            previous: previous.filter(|_| is_stored).map(RequestId::from),
            input: exchange.body.clone(),
            tokens_per_event: u64::from(engine.map_or(1, |engine| engine.tokens_per_event)),
            max_tokens: max_tokens(exchange),
            is_stored,
            retention_ms: exchange.route.retention.as_millis(),
            sent_tokens: 0,
            output: TurnOutput::default(),
            has_reservation: budget.is_some(),
            renewal: None,
        }
    }

    /// Reserves tokens at the stores, and returns the earlier turns, oldest first.
    async fn reserve(
        &mut self, exchange: &Exchange, budget: Option<u64>,
    ) -> Result<Vec<Turn>, TurnRejection> {
        let begin = BeginTurn {
            program: self.program.clone(),
            request: self.request.clone(),
            previous: self.previous.clone(),
            budget,
            max_tokens: self.reserved_tokens(budget),
            imported: Vec::new(),
            lease: self.lease(exchange),
        };
        let max_wait = exchange.remaining_time().mul_f64(BEGIN_TIMEOUT_FRACTION);
        let begun = self.sessions.begin_turn(begin, duration(max_wait)).await;
        begun.map_err(|error| {
            // There can be a reservation only if it is unknown whether the stores accepted the request.
            self.has_reservation &= matches!(error, TurnError::Unavailable { .. });
            exchange.record_turn_error(error);
            error.into()
        })
    }

    /// The number of tokens that the turn reserves.
    fn reserved_tokens(&self, budget: Option<u64>) -> u64 {
        self.max_tokens.or(budget).unwrap_or(0)
    }

    /// Counts the tokens of an event that is sent to the client.
    pub fn count_tokens(&mut self, event: &Event) {
        if event.data.is_some() {
            self.sent_tokens = self.sent_tokens.saturating_add(self.tokens_per_event);
        }
    }

    /// Records an event of the turn, if the turn is to be stored. Returns how many bytes are retained for it.
    pub fn record_event(&mut self, event: &Event) -> usize {
        if self.is_stored { self.output.push(event) } else { 0 }
    }

    /// Retains the program for `retention` after the turn, if that is longer than the route said when the turn began.
    pub fn extend_retention(&mut self, retention: Span) {
        self.retention_ms = self.retention_ms.max(retention.as_millis());
    }

    /// Handles the end of an endpoint's stream, with `remaining` until the deadline: stores the turn, if its route says
    /// so, before the end is sent to the client.
    ///
    /// # Errors
    ///
    /// If the turn could not be stored in time. The response must be aborted then, so that it does not look complete.
    pub async fn store(mut self, endpoint: &InstanceId, remaining: Span) -> Result<(), TurnError> {
        if !self.is_stored {
            return Ok(());
        }
        let turn = Turn {
            request: self.request.clone(),
            previous: self.previous.clone(),
            input: Arc::from(&*self.input),
            output: Arc::from(self.output.take()),
            retention_ms: self.retention_ms,
            endpoint: Some(endpoint.0.clone()),
        };
        let finish = FinishTurn { stored_turn: Some(turn), ..self.commit_message() };
        let max_wait = STORE_TIMEOUT.min(remaining + STORE_ALLOWANCE_PAST_DEADLINE);
        self.sessions.finish_turn(finish, duration(max_wait)).await?;
        self.has_reservation = false;
        Ok(())
    }

    /// The size of the turn as it would be stored now.
    pub fn stored_size(&self) -> StoredTurnSize {
        self.output.size()
    }

    /// The message that replaces the reservation with the tokens sent.
    fn commit_message(&self) -> FinishTurn {
        let tokens = self.max_tokens.map_or(self.sent_tokens, |max| self.sent_tokens.min(max));
        FinishTurn {
            program: self.program.clone(),
            request: self.request.clone(),
            tokens,
            stored_turn: None,
            retention_ms: self.retention_ms,
        }
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if self.has_reservation {
            self.sessions.finish_turn_in_background(self.commit_message());
        }
    }
}

/// The token budget of the program, if the client specifies one.
fn budget(exchange: &Exchange) -> Result<Option<u64>, TurnRejection> {
    if !exchange.headers.contains_key(headers::BUDGET) {
        return Ok(None);
    }
    let budget = header_number(&exchange.headers, headers::BUDGET);
    budget.map(Some).ok_or(TurnRejection::Permanent(StatusCode::BAD_REQUEST))
}

/// The maximum number of tokens to generate: the second number in `X-Token-Count`.
fn max_tokens(exchange: &Exchange) -> Option<u64> {
    let (_, max_tokens) = header_text(&exchange.headers, headers::TOKEN_COUNT).split_once(',')?;
    max_tokens.trim().parse().ok()
}
