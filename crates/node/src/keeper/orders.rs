//! Operators' orders: decided by the primary, passed on to it by the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_configuration::digest;
use juniperwing_control::{
    ControlState, PutDecision, RetireDecision, RetirementState, decide_put, decide_retire, retirement_state,
};
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::registry::{Order, OrderReply, RegistryMessage};
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::{Message, NodeName};
use juniperwing_replication::Versioned;
use serde::Serialize;
use slog::info;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout, timeout_at};

use super::consensus::PrimaryLocation;
use super::controller::Controller;

/// Callers move on after a second without an answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(930);
/// Callers wait longer for large bodies: so many bytes for each further millisecond.
const BODY_BYTES_PER_EXTRA_MS: u64 = 10_000;
/// Between two looks for a primary.
const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How much sooner a keeper that was passed an order answers.
const FORWARDING_ALLOWANCE: Duration = Duration::from_millis(30);

/// The status of an order without a clear answer.
const STATUS_UNAVAILABLE: u16 = 503;
/// Lines for orders in a second; further ones are counted.
pub(super) const MAX_ORDER_LOG_LINES_PER_SECOND: u32 = 50;

/// A JSON body that says what is wrong.
#[derive(Serialize)]
struct ErrorBody<'text> {
    error: &'text str,
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<u64>,
}

/// A JSON body that says how far an order has come.
#[derive(Serialize)]
struct RetirementStateBody {
    state: &'static str,
}

/// What an attempt to carry out an order came to.
enum OrderAttempt {
    /// The answer.
    Replied(OrderReply),
    /// Not here or not now.
    Retry(RetryReason),
}

/// Why an order has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryReason {
    /// No primary is known, or it was not heard of lately.
    NoPrimary,
    /// The primary gave no clear answer to a keeper that passed the order on.
    NoReplyFromPrimary,
    /// No majority confirmed the state of this primary in time.
    ReadNotConfirmed,
    /// The change was not in force in time.
    ChangeNotCommitted,
    /// The stores are not known well enough yet.
    StoresUncertain,
}

impl RetryReason {
    fn as_str(self) -> &'static str {
        match self {
            RetryReason::NoPrimary => "no primary",
            RetryReason::NoReplyFromPrimary => "the primary gives no clear answer",
            RetryReason::ReadNotConfirmed => "no majority confirms",
            RetryReason::ChangeNotCommitted => "the change is not in force",
            RetryReason::StoresUncertain => "the stores are not certain",
        }
    }
}

impl Controller {
    /// Carries out an order that an operator sent to this keeper, here or at the primary.
    pub(super) async fn handle_order(self: &Arc<Self>, order: Order) -> OrderReply {
        let began = Instant::now();
        let deadline = began + order_timeout(&order);
        loop {
            let place = self.primary_location();
            let attempt = match place {
                PrimaryLocation::Local => self.handle_order_locally(&order, deadline).await,
                PrimaryLocation::Remote(address) => self.forward_order(&order, address, deadline).await,
                PrimaryLocation::Unknown => OrderAttempt::Retry(RetryReason::NoPrimary),
            };
            let obstacle = match attempt {
                OrderAttempt::Replied(answer) => {
                    let answer = unless_expired(&order, answer, deadline);
                    self.log_order(&order, &answer, place, None, began);
                    return answer;
                }
                OrderAttempt::Retry(obstacle) => obstacle,
            };
            if Instant::now() + PRIMARY_POLL_INTERVAL >= deadline {
                let answer = unavailable_reply();
                self.log_order(&order, &answer, place, Some(obstacle), began);
                return answer;
            }
            // Either ends the wait: news, or the time.
            let _ = timeout(PRIMARY_POLL_INTERVAL, self.state_changed.notified()).await;
        }
    }

    /// Logs what became of an order that changes something, and of every order without a clear answer.
    fn log_order(
        &self, order: &Order, answer: &OrderReply, place: PrimaryLocation, obstacle: Option<RetryReason>,
        began: Instant,
    ) {
        self.order_replies.count(answer.status);
        let changes = matches!(order, Order::PutConfiguration { .. } | Order::Retire { .. });
        if !changes && answer.status != STATUS_UNAVAILABLE {
            return;
        }
        let Some(unlogged) = self.order_log_limit.try_acquire() else { return };
        let (kind, base, digest) = describe(order);
        let epoch = self.lock().consensus.replica.epoch().number.0;
        info!(self.log, "order";
            "order" => kind, "base" => base, "digest" => digest, "status" => answer.status,
            "primary" => format!("{place:?}"), "epoch" => epoch, "why" => obstacle.map_or("", RetryReason::as_str),
            "took_ms" => began.elapsed().as_millis() as u64, "unlogged" => unlogged);
    }

    /// Carries out an order that another keeper passed on; it goes no further.
    pub(super) async fn handle_forwarded_order(self: &Arc<Self>, order: Order) -> OrderReply {
        let deadline = Instant::now() + order_timeout(&order) - FORWARDING_ALLOWANCE;
        while self.primary_location() == PrimaryLocation::Local {
            if let OrderAttempt::Replied(answer) = self.handle_order_locally(&order, deadline).await {
                return answer;
            }
            if Instant::now() + PRIMARY_POLL_INTERVAL >= deadline {
                break;
            }
            let _ = timeout(PRIMARY_POLL_INTERVAL, self.state_changed.notified()).await;
        }
        unavailable_reply()
    }

    async fn forward_order(&self, order: &Order, address: SocketAddr, deadline: Instant) -> OrderAttempt {
        let within = deadline.saturating_duration_since(Instant::now());
        let message = Message::Registry(RegistryMessage::Order(order.clone()));
        match self.peers.call(address, message, within).await {
            Ok(Message::Registry(RegistryMessage::OrderReply(answer)))
                if answer.status != STATUS_UNAVAILABLE =>
            {
                OrderAttempt::Replied(answer)
            }
            _ => OrderAttempt::Retry(RetryReason::NoReplyFromPrimary),
        }
    }

    /// One try as primary. Whatever is decided rests on a state confirmed after the order came.
    async fn handle_order_locally(self: &Arc<Self>, order: &Order, deadline: Instant) -> OrderAttempt {
        let Ok(Ok(confirmed)) = timeout_at(deadline, self.read_confirmed()).await else {
            return OrderAttempt::Retry(RetryReason::ReadNotConfirmed);
        };
        match order {
            Order::PutConfiguration { base, body } => {
                self.put_configuration(&confirmed, *base, body, deadline).await
            }
            Order::GetConfiguration => OrderAttempt::Replied(configuration_reply(&confirmed.state)),
            Order::Retire { node, .. } => self.retire_store(&confirmed, node, deadline).await,
            Order::RetireState { node } => {
                OrderAttempt::Replied(self.retirement_reply(&confirmed.state, node))
            }
        }
    }

    async fn put_configuration(
        self: &Arc<Self>, confirmed: &Versioned<ControlState>, base: u64, body: &[u8], deadline: Instant,
    ) -> OrderAttempt {
        let change = match decide_put(&confirmed.state, base, body) {
            PutDecision::Accept(change) => change,
            PutDecision::AlreadyAccepted => {
                self.distribute_configuration(confirmed.state.configuration_version(), deadline).await;
                return OrderAttempt::Replied(json_reply(200, &serde_json::json!({})));
            }
            PutDecision::Stale { current } => {
                return OrderAttempt::Replied(stale_reply(current));
            }
            PutDecision::Reject { current, change } => {
                return match timeout_at(deadline, self.propose(confirmed.version, change)).await {
                    Ok(Ok(_)) => OrderAttempt::Replied(stale_reply(current)),
                    _ => OrderAttempt::Retry(RetryReason::ChangeNotCommitted),
                };
            }
            PutDecision::Invalid(findings) => return OrderAttempt::Replied(json_reply(400, &findings)),
        };
        let Ok(Ok(_)) = timeout_at(deadline, self.propose(confirmed.version, change)).await else {
            return OrderAttempt::Retry(RetryReason::ChangeNotCommitted);
        };
        // The change was made on the very state that was confirmed, so this is its number.
        let taken = Version {
            sequence: confirmed.state.configuration_version().sequence + 1,
            ..confirmed.state.configuration_version()
        };
        self.distribute_configuration(taken, deadline).await;
        let committed = self.lock().consensus.committed().map(|held| held.state.configuration_version());
        check(Invariant::AcknowledgedOrderIsCommitted, committed >= Some(taken), || {
            format!("{taken:?} is acknowledged, {committed:?} is committed")
        });
        OrderAttempt::Replied(json_reply(200, &serde_json::json!({})))
    }

    async fn retire_store(
        self: &Arc<Self>, confirmed: &Versioned<ControlState>, node: &NodeName, deadline: Instant,
    ) -> OrderAttempt {
        let decision = {
            let state = self.lock();
            decide_retire(&confirmed.state, &state.store_view, node, self.required_replicas)
        };
        let change = match decision {
            RetireDecision::Accept(change) => change,
            RetireDecision::AlreadyAccepted => {
                return OrderAttempt::Replied(self.retirement_reply(&confirmed.state, node));
            }
            RetireDecision::StoresUncertain => return OrderAttempt::Retry(RetryReason::StoresUncertain),
            RetireDecision::UnknownMachine => return OrderAttempt::Replied(unknown_machine_reply()),
            RetireDecision::TooFewRemaining { others } => {
                info!(self.log, "retiring refused"; "store" => %node.0, "others" => others);
                return OrderAttempt::Replied(json_reply(409, &error_body("too few machines would remain")));
            }
        };
        match timeout_at(deadline, self.propose(confirmed.version, change)).await {
            Ok(Ok(_)) => {
                info!(self.log, "retiring"; "store" => %node.0);
                OrderAttempt::Replied(json_reply(
                    200,
                    &RetirementStateBody { state: retirement_state_name(RetirementState::Active) },
                ))
            }
            _ => OrderAttempt::Retry(RetryReason::ChangeNotCommitted),
        }
    }

    fn retirement_reply(&self, state: &ControlState, node: &NodeName) -> OrderReply {
        if let Some(progress) = retirement_state(state, &self.lock().store_view, node) {
            return json_reply(200, &RetirementStateBody { state: retirement_state_name(progress) });
        }
        unknown_machine_reply()
    }

    /// Brings the configuration to the subscribers of all keepers in reach; returns when all have it, or the
    /// time for it is over.
    async fn distribute_configuration(self: &Arc<Self>, version: Version, deadline: Instant) {
        let apply_within = self.control_timings.configuration_apply_timeout;
        let until = deadline.min(Instant::now() + apply_within);
        let wait_ms = until.saturating_duration_since(Instant::now()).as_millis() as u32;
        let mut calls = JoinSet::new();
        for address in self.reachable_voter_addresses() {
            let controller = Arc::clone(self);
            let message = Message::Registry(RegistryMessage::DistributeConfiguration { version, wait_ms });
            calls.spawn(async move { drop(controller.peers.call(address, message, apply_within).await) });
        }
        self.distribute_to_own_subscribers(version, until).await;
        // Past its time, the calls that are left end with the set.
        let _ = timeout_at(until, async { while calls.join_next().await.is_some() {} }).await;
    }

    /// Waits until this keeper's own subscribers have the configuration, until a time.
    pub(super) async fn distribute_to_own_subscribers(&self, version: Version, until: Instant) {
        self.wait_until(until, |state| {
            let committed = state.consensus.committed();
            let here = committed.is_some_and(|held| held.state.configuration_version() >= version);
            here && state.subscribers.have_applied_configuration(version)
        })
        .await;
    }
}

fn order_timeout(order: &Order) -> Duration {
    let bytes = match order {
        Order::PutConfiguration { body, .. } => body.len() as u64,
        _ => 0,
    };
    ORDER_TIMEOUT + Duration::from_millis(bytes / BODY_BYTES_PER_EXTRA_MS)
}

/// What a question was answered in time. A process that was frozen may have its answer only long after the
/// state that it tells of was confirmed; then it is no longer given out as the newest. Orders are answered
/// only by what no later state changes, and their answers are given at any time.
fn unless_expired(order: &Order, answer: OrderReply, deadline: Instant) -> OrderReply {
    let is_question = matches!(order, Order::GetConfiguration | Order::RetireState { .. });
    if is_question && Instant::now() > deadline { unavailable_reply() } else { answer }
}

fn configuration_reply(state: &ControlState) -> OrderReply {
    match &state.configuration {
        Some(configuration) => OrderReply { status: 200, body: configuration.body.to_vec() },
        None => json_reply(404, &error_body("no configuration yet")),
    }
}

/// The kind of an order, the version that it builds on, and what tells it from others with the same number.
fn describe(order: &Order) -> (&'static str, u64, String) {
    match order {
        Order::PutConfiguration { base, body } => {
            ("put configuration", *base, digest(*base, body).to_string())
        }
        Order::GetConfiguration => ("get configuration", 0, String::new()),
        Order::Retire { node, .. } => ("retire", 0, node.0.to_string()),
        Order::RetireState { node } => ("retirement state", 0, node.0.to_string()),
    }
}

fn retirement_state_name(state: RetirementState) -> &'static str {
    match state {
        RetirementState::Active => "active",
        RetirementState::Completed => "completed",
    }
}

fn unknown_machine_reply() -> OrderReply {
    json_reply(404, &error_body("no such machine"))
}

fn stale_reply(current: u64) -> OrderReply {
    let error = "builds on another version than the current one";
    json_reply(412, &ErrorBody { error, current: Some(current) })
}

fn error_body(error: &str) -> ErrorBody<'_> {
    ErrorBody { error, current: None }
}

/// No answer: the order may come into force or not, and is to be sent again.
pub(super) fn unavailable_reply() -> OrderReply {
    json_reply(STATUS_UNAVAILABLE, &error_body("no primary can be reached"))
}

pub(super) fn json_reply(status: u16, body: &impl Serialize) -> OrderReply {
    // Plain structures of numbers and text always have a JSON form.
    OrderReply { status, body: serde_json::to_vec(body).unwrap_or_default() }
}
