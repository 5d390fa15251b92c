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

use super::Keeper;
use super::consensus::PrimaryPlace;

/// Callers move on after a second without an answer.
const PATIENCE: Duration = Duration::from_millis(930);
/// Callers wait longer for large bodies: so many bytes for each further millisecond.
const BYTES_PER_MS: u64 = 10_000;
/// Between two looks for a primary.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// How much sooner a keeper that was passed an order answers.
const HOP: Duration = Duration::from_millis(30);

/// The status of an order without a clear answer.
const UNAVAILABLE: u16 = 503;
/// Lines for orders in a second; further ones are counted.
pub(super) const LINES_PER_SECOND: u32 = 50;

/// A JSON body that says what is wrong.
#[derive(Serialize)]
struct Refusal<'text> {
    error: &'text str,
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<u64>,
}

/// A JSON body that says how far an order has come.
#[derive(Serialize)]
struct StateBody {
    state: &'static str,
}

/// What an attempt to carry out an order came to.
enum Attempt {
    /// The answer.
    Answered(OrderReply),
    /// Not here or not now.
    Again(Obstacle),
}

/// Why an order has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Obstacle {
    /// No primary is known, or it was not heard of lately.
    NoPrimary,
    /// The primary gave no clear answer to a keeper that passed the order on.
    PrimaryUnclear,
    /// No majority confirmed the state of this primary in time.
    NotConfirmed,
    /// The change was not in force in time.
    NotInForce,
    /// The stores are not known well enough yet.
    StoresUncertain,
}

impl Obstacle {
    fn name(self) -> &'static str {
        match self {
            Obstacle::NoPrimary => "no primary",
            Obstacle::PrimaryUnclear => "the primary gives no clear answer",
            Obstacle::NotConfirmed => "no majority confirms",
            Obstacle::NotInForce => "the change is not in force",
            Obstacle::StoresUncertain => "the stores are not certain",
        }
    }
}

impl Keeper {
    /// Carries out an order that an operator sent to this keeper, here or at the primary.
    pub(super) async fn order(self: &Arc<Self>, order: Order) -> OrderReply {
        let began = Instant::now();
        let deadline = began + patience_for(&order);
        loop {
            let place = self.primary_place();
            let attempt = match place {
                PrimaryPlace::Here => self.order_here(&order, deadline).await,
                PrimaryPlace::At(address) => self.pass_on(&order, address, deadline).await,
                PrimaryPlace::Unknown => Attempt::Again(Obstacle::NoPrimary),
            };
            let obstacle = match attempt {
                Attempt::Answered(answer) => {
                    let answer = in_time(&order, answer, deadline);
                    self.log_order(&order, &answer, place, None, began);
                    return answer;
                }
                Attempt::Again(obstacle) => obstacle,
            };
            if Instant::now() + LOOK_AGAIN >= deadline {
                let answer = unavailable();
                self.log_order(&order, &answer, place, Some(obstacle), began);
                return answer;
            }
            // Either ends the wait: news, or the time.
            let _ = timeout(LOOK_AGAIN, self.progress.notified()).await;
        }
    }

    /// Logs what became of an order that changes something, and of every order without a clear answer.
    fn log_order(
        &self, order: &Order, answer: &OrderReply, place: PrimaryPlace, obstacle: Option<Obstacle>,
        began: Instant,
    ) {
        self.order_answers.count(answer.status);
        let changes = matches!(order, Order::PutConfiguration { .. } | Order::Retire { .. });
        if !changes && answer.status != UNAVAILABLE {
            return;
        }
        let Some(unlogged) = self.order_lines.take() else { return };
        let (kind, base, digest) = described(order);
        let epoch = self.lock().consensus.replica.epoch().number.0;
        info!(self.log, "order";
            "order" => kind, "base" => base, "digest" => digest, "status" => answer.status,
            "primary" => format!("{place:?}"), "epoch" => epoch, "why" => obstacle.map_or("", Obstacle::name),
            "took_ms" => began.elapsed().as_millis() as u64, "unlogged" => unlogged);
    }

    /// Carries out an order that another keeper passed on; it goes no further.
    pub(super) async fn order_passed_on(self: &Arc<Self>, order: Order) -> OrderReply {
        let deadline = Instant::now() + patience_for(&order) - HOP;
        while self.primary_place() == PrimaryPlace::Here {
            if let Attempt::Answered(answer) = self.order_here(&order, deadline).await {
                return answer;
            }
            if Instant::now() + LOOK_AGAIN >= deadline {
                break;
            }
            let _ = timeout(LOOK_AGAIN, self.progress.notified()).await;
        }
        unavailable()
    }

    async fn pass_on(&self, order: &Order, address: SocketAddr, deadline: Instant) -> Attempt {
        let within = deadline.saturating_duration_since(Instant::now());
        let message = Message::Registry(RegistryMessage::Order(order.clone()));
        match self.peers.call(address, message, within).await {
            Ok(Message::Registry(RegistryMessage::OrderReply(answer))) if answer.status != UNAVAILABLE => {
                Attempt::Answered(answer)
            }
            _ => Attempt::Again(Obstacle::PrimaryUnclear),
        }
    }

    /// One try as primary. Whatever is decided rests on a state confirmed after the order came.
    async fn order_here(self: &Arc<Self>, order: &Order, deadline: Instant) -> Attempt {
        let Ok(Ok(confirmed)) = timeout_at(deadline, self.read_confirmed()).await else {
            return Attempt::Again(Obstacle::NotConfirmed);
        };
        match order {
            Order::PutConfiguration { base, body } => self.put(&confirmed, *base, body, deadline).await,
            Order::GetConfiguration => Attempt::Answered(configuration_of(&confirmed.state)),
            Order::Retire { node, .. } => self.retire(&confirmed, node, deadline).await,
            Order::RetireState { node } => Attempt::Answered(self.retire_state(&confirmed.state, node)),
        }
    }

    async fn put(
        self: &Arc<Self>, confirmed: &Versioned<ControlState>, base: u64, body: &[u8], deadline: Instant,
    ) -> Attempt {
        let change = match decide_put(&confirmed.state, base, body) {
            PutDecision::Accept(change) => change,
            PutDecision::AlreadyAccepted => {
                self.distribute(confirmed.state.configuration_version(), deadline).await;
                return Attempt::Answered(json(200, &serde_json::json!({})));
            }
            PutDecision::Stale { current } => {
                return Attempt::Answered(stale(current));
            }
            PutDecision::Reject { current, change } => {
                return match timeout_at(deadline, self.propose(confirmed.version, change)).await {
                    Ok(Ok(_)) => Attempt::Answered(stale(current)),
                    _ => Attempt::Again(Obstacle::NotInForce),
                };
            }
            PutDecision::Invalid(findings) => return Attempt::Answered(json(400, &findings)),
        };
        let Ok(Ok(_)) = timeout_at(deadline, self.propose(confirmed.version, change)).await else {
            return Attempt::Again(Obstacle::NotInForce);
        };
        // The change was made on the very state that was confirmed, so this is its number.
        let taken = Version {
            sequence: confirmed.state.configuration_version().sequence + 1,
            ..confirmed.state.configuration_version()
        };
        self.distribute(taken, deadline).await;
        let committed = self.lock().consensus.committed().map(|held| held.state.configuration_version());
        check(Invariant::AcknowledgedOrderIsCommitted, committed >= Some(taken), || {
            format!("{taken:?} is acknowledged, {committed:?} is committed")
        });
        Attempt::Answered(json(200, &serde_json::json!({})))
    }

    async fn retire(
        self: &Arc<Self>, confirmed: &Versioned<ControlState>, node: &NodeName, deadline: Instant,
    ) -> Attempt {
        let decision = {
            let state = self.lock();
            decide_retire(&confirmed.state, &state.store_view, node, self.required_copies)
        };
        let change = match decision {
            RetireDecision::Accept(change) => change,
            RetireDecision::AlreadyAccepted => {
                return Attempt::Answered(self.retire_state(&confirmed.state, node));
            }
            RetireDecision::StoresUncertain => return Attempt::Again(Obstacle::StoresUncertain),
            RetireDecision::UnknownMachine => return Attempt::Answered(unknown_machine()),
            RetireDecision::TooFewRemaining { others } => {
                info!(self.log, "retiring refused"; "store" => %node.0, "others" => others);
                return Attempt::Answered(json(409, &refusal("too few machines would remain")));
            }
        };
        match timeout_at(deadline, self.propose(confirmed.version, change)).await {
            Ok(Ok(_)) => {
                info!(self.log, "retiring"; "store" => %node.0);
                Attempt::Answered(json(200, &StateBody { state: state_name(RetirementState::Active) }))
            }
            _ => Attempt::Again(Obstacle::NotInForce),
        }
    }

    fn retire_state(&self, state: &ControlState, node: &NodeName) -> OrderReply {
        if let Some(progress) = retirement_state(state, &self.lock().store_view, node) {
            return json(200, &StateBody { state: state_name(progress) });
        }
        unknown_machine()
    }

    /// Brings the configuration to the subscribers of all keepers in reach; returns when all have it, or the
    /// time for it is over.
    async fn distribute(self: &Arc<Self>, version: Version, deadline: Instant) {
        let apply_within = self.times.configuration_applies_within;
        let until = deadline.min(Instant::now() + apply_within);
        let wait_ms = until.saturating_duration_since(Instant::now()).as_millis() as u32;
        let mut calls = JoinSet::new();
        for address in self.keepers_in_reach() {
            let keeper = Arc::clone(self);
            let message = Message::Registry(RegistryMessage::DistributeConfiguration { version, wait_ms });
            calls.spawn(async move { drop(keeper.peers.call(address, message, apply_within).await) });
        }
        self.distribute_here(version, until).await;
        // Past its time, the calls that are left end with the set.
        let _ = timeout_at(until, async { while calls.join_next().await.is_some() {} }).await;
    }

    /// Waits until this keeper's own subscribers have the configuration, until a time.
    pub(super) async fn distribute_here(&self, version: Version, until: Instant) {
        self.wait_until(until, |state| {
            let committed = state.consensus.committed();
            let here = committed.is_some_and(|held| held.state.configuration_version() >= version);
            here && state.subscribers.have_configuration(version)
        })
        .await;
    }
}

fn patience_for(order: &Order) -> Duration {
    let bytes = match order {
        Order::PutConfiguration { body, .. } => body.len() as u64,
        _ => 0,
    };
    PATIENCE + Duration::from_millis(bytes / BYTES_PER_MS)
}

/// What a question was answered in time. A process that was frozen may have its answer only long after the
/// state that it tells of was confirmed; then it is no longer given out as the newest. Orders are answered
/// only by what no later state changes, and their answers are given at any time.
fn in_time(order: &Order, answer: OrderReply, deadline: Instant) -> OrderReply {
    let is_question = matches!(order, Order::GetConfiguration | Order::RetireState { .. });
    if is_question && Instant::now() > deadline { unavailable() } else { answer }
}

fn configuration_of(state: &ControlState) -> OrderReply {
    match &state.configuration {
        Some(configuration) => OrderReply { status: 200, body: configuration.body.to_vec() },
        None => json(404, &refusal("no configuration yet")),
    }
}

/// The kind of an order, the version that it builds on, and what tells it from others with the same number.
fn described(order: &Order) -> (&'static str, u64, String) {
    match order {
        Order::PutConfiguration { base, body } => {
            ("put configuration", *base, digest(*base, body).to_string())
        }
        Order::GetConfiguration => ("get configuration", 0, String::new()),
        Order::Retire { node, .. } => ("retire", 0, node.0.to_string()),
        Order::RetireState { node } => ("retirement state", 0, node.0.to_string()),
    }
}

fn state_name(state: RetirementState) -> &'static str {
    match state {
        RetirementState::Active => "active",
        RetirementState::Completed => "completed",
    }
}

fn unknown_machine() -> OrderReply {
    json(404, &refusal("no such machine"))
}

fn stale(current: u64) -> OrderReply {
    let error = "builds on another version than the current one";
    json(412, &Refusal { error, current: Some(current) })
}

fn refusal(error: &str) -> Refusal<'_> {
    Refusal { error, current: None }
}

/// No answer: the order may come into force or not, and is to be sent again.
pub(super) fn unavailable() -> OrderReply {
    json(UNAVAILABLE, &refusal("no primary can be reached"))
}

pub(super) fn json(status: u16, body: &impl Serialize) -> OrderReply {
    // Plain structures of numbers and text always have a JSON form.
    OrderReply { status, body: serde_json::to_vec(body).unwrap_or_default() }
}
