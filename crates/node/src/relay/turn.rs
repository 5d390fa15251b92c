//! Turns of agent programs: budgets are reserved before a turn runs, and turns are kept where the route says so.

use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use http::StatusCode;
use juniperwing_clock::Span;
use juniperwing_configuration::RouteTable;
use juniperwing_protocol::headers;
use juniperwing_protocol::identity::{InstanceId, ProgramId, RequestId};
use juniperwing_protocol::session::{BeginTurn, FinishTurn, Turn};

use super::RelayState;
use super::attempt_outcome::Rejection;
use super::events::Event;
use super::exchange::{Exchange, header_number, header_text};
use super::sessions::{Sessions, TurnError};
use crate::clock::duration;

/// The end of an answer is held back for so long at the most while its turn is being kept.
const STORE_TIMEOUT: Span = Span::from_millis(1_000);
/// Time to keep a turn whose answer ends just before its deadline.
const STORE_ALLOWANCE_PAST_DEADLINE: Span = Span::from_millis(100);
/// The share of the time left that the stores may take to begin a turn.
const BEGIN_TIMEOUT_FRACTION: f64 = 0.5;

/// Why a turn does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnRejection {
    /// With this status: it is a final answer.
    Final(StatusCode),
    /// For now.
    Rejection(Rejection),
}

impl From<TurnError> for TurnRejection {
    fn from(fault: TurnError) -> Self {
        match fault {
            TurnError::BudgetExhausted => TurnRejection::Final(StatusCode::PAYMENT_REQUIRED),
            TurnError::UnknownTurn => TurnRejection::Final(StatusCode::NOT_FOUND),
            TurnError::Unavailable { .. } => TurnRejection::Rejection(Rejection::StoresUnreachable),
        }
    }
}

/// A turn that has been begun. Dropped before its end, it is settled at what was handed out.
pub struct OpenTurn {
    sessions: Arc<dyn Sessions>,
    program: ProgramId,
    request: RequestId,
    previous: Option<RequestId>,
    input: Bytes,
    /// Tokens in an event.
    stride: u64,
    /// The most that it may generate; `None` if the client does not say.
    most: Option<u64>,
    /// For how long it is kept, where it is.
    retention: Option<Span>,
    delivered_tokens: u64,
    output: Vec<u8>,
    /// Whether the stores hold a reservation that must be settled.
    reserved: bool,
}

impl OpenTurn {
    /// Begins the turn that a request is, if it is one that the stores must know of. The bodies of the turns
    /// before are put before its own.
    ///
    /// # Errors
    ///
    /// If it must not run, or not now.
    pub async fn begin(
        core: &RelayState, exchange: &mut Exchange, table: &RouteTable,
    ) -> Result<Option<OpenTurn>, TurnRejection> {
        let kept = exchange.route.stores_turns;
        let budget = budget(exchange)?;
        if !exchange.route.route_type.is_streaming() || (budget.is_none() && !kept) {
            return Ok(None);
        }
        let mut turn = OpenTurn::new(core, exchange, table, budget);
        let begin = BeginTurn {
            program: turn.program.clone(),
            request: turn.request.clone(),
            previous: turn.previous.clone(),
            budget,
            max_tokens: turn.most.or(budget).unwrap_or(0),
            imported: Vec::new(),
        };
        let within = exchange.left().mul_f64(BEGIN_TIMEOUT_FRACTION);
        let chain = match core.sessions.begin(begin, duration(within)).await {
            Ok(chain) => chain,
            Err(fault) => {
                // Where the answer is certain there is no reservation.
                turn.reserved &= matches!(fault, TurnError::Unavailable { .. });
                exchange.note_stores(fault);
                return Err(fault.into());
            }
        };
        if kept {
            exchange.hint = chain.last().and_then(|turn| turn.endpoint.clone()).map(InstanceId);
            let input = exchange.body.len();
            exchange.body = body_of(&chain, &exchange.body);
            // A prompt has about as many tokens for each byte everywhere.
            exchange.new_prompt_fraction = input as f64 / exchange.body.len().max(1) as f64;
        }
        Ok(Some(turn))
    }

    fn new(core: &RelayState, exchange: &Exchange, table: &RouteTable, budget: Option<u64>) -> OpenTurn {
        let request = exchange.request_id();
        let program = exchange.program.clone().unwrap_or_else(|| ProgramId(request.0.clone()));
        let service = table.service(&exchange.destination.service);
        let stride =
            service.and_then(|service| service.engine.as_ref()).map_or(1, |engine| engine.tokens_per_event);
        let kept = exchange.route.stores_turns;
        let previous = Some(header_text(&exchange.headers, headers::PREVIOUS)).filter(|id| !id.is_empty());
        OpenTurn {
            sessions: Arc::clone(&core.sessions),
            program,
            request,
            previous: previous.filter(|_| kept).map(RequestId::from),
            input: exchange.body.clone(),
            stride: u64::from(stride),
            most: most_tokens(exchange),
            retention: kept.then_some(exchange.route.retention),
            delivered_tokens: 0,
            output: Vec::new(),
            reserved: budget.is_some(),
        }
    }

    /// An event is passed on to the client. Returns how many bytes are kept of it.
    pub fn record_event(&mut self, event: &Event) -> usize {
        let Some(data) = &event.data else { return 0 };
        self.delivered_tokens = self.delivered_tokens.saturating_add(self.stride);
        if self.retention.is_none() {
            return 0;
        }
        self.output.extend_from_slice(data);
        self.output.push(b'\n');
        data.len() + 1
    }

    /// The answer has come to its end at an endpoint, with `left` until its deadline: the turn is kept before that
    /// end is passed on.
    ///
    /// # Errors
    ///
    /// If it could not be kept in time: the answer must not look complete.
    pub async fn complete(mut self, endpoint: &InstanceId, left: Span) -> Result<(), TurnError> {
        let Some(retention) = self.retention else { return Ok(()) };
        let turn = Turn {
            request: self.request.clone(),
            previous: self.previous.clone(),
            input: Arc::from(&*self.input),
            output: Arc::from(std::mem::take(&mut self.output)),
            retention_ms: retention.as_nanos() / 1_000_000,
            endpoint: Some(endpoint.0.clone()),
        };
        let finish = FinishTurn { stored_turn: Some(turn), ..self.settled() };
        let within = STORE_TIMEOUT.min(left + STORE_ALLOWANCE_PAST_DEADLINE);
        self.sessions.finish(finish, duration(within)).await?;
        self.reserved = false;
        Ok(())
    }

    fn settled(&self) -> FinishTurn {
        let tokens = self.most.map_or(self.delivered_tokens, |most| self.delivered_tokens.min(most));
        FinishTurn { program: self.program.clone(), request: self.request.clone(), tokens, stored_turn: None }
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if self.reserved {
            self.sessions.finish_later(self.settled());
        }
    }
}

fn budget(exchange: &Exchange) -> Result<Option<u64>, TurnRejection> {
    if !exchange.headers.contains_key(headers::BUDGET) {
        return Ok(None);
    }
    let budget = header_number(&exchange.headers, headers::BUDGET);
    budget.map(Some).ok_or(TurnRejection::Final(StatusCode::BAD_REQUEST))
}

/// The second number of `X-Token-Count`.
fn most_tokens(exchange: &Exchange) -> Option<u64> {
    let (_, most) = header_text(&exchange.headers, headers::TOKEN_COUNT).split_once(',')?;
    most.trim().parse().ok()
}

/// For each turn its input and its output, then the new input.
fn body_of(chain: &[Turn], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let before: usize = chain.iter().map(|turn| turn.input.len() + turn.output.len()).sum();
    let mut body = BytesMut::with_capacity(before + input.len());
    for turn in chain {
        body.put_slice(&turn.input);
        body.put_slice(&turn.output);
    }
    body.put_slice(input);
    body.freeze()
}
