//! Operators' orders: executed at the primary, forwarded to it by the other keepers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_configuration::digest;
use juniperwing_protocol::Message;
use juniperwing_protocol::registry::{Order, OrderReply, RegistryMessage};
use slog::info;
use tokio::time::{Instant, timeout};

use super::consensus::PrimaryLocation;
use super::controller::Controller;
use super::order_execution::{OrderAttempt, RetryReason};
use super::order_replies::{STATUS_UNAVAILABLE, unavailable_reply};

/// The time limit for an order with a small body. Clients try the next keeper after one second.
const ORDER_TIMEOUT: Duration = Duration::from_millis(930);
/// Clients wait longer for large bodies: one more millisecond for each of this number of bytes.
const BODY_BYTES_PER_EXTRA_MS: u64 = 10_000;
/// The interval between two attempts to find a primary.
const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How much earlier a keeper replies to a forwarded order, so that the reply arrives in time.
const FORWARDING_ALLOWANCE: Duration = Duration::from_millis(30);

/// The maximum number of log lines for orders per second; further ones are only counted.
pub(super) const MAX_ORDER_LOG_LINES_PER_SECOND: u32 = 50;

/// How an order is identified in the log.
struct OrderSummary {
    kind: &'static str,
    /// The generation that a configuration builds on; 0 for other orders.
    base: u64,
    /// Distinguishes the order from others of the same kind and base: a digest or a store's name.
    digest: String,
}

/// The outcome of an order, for the log.
struct OrderOutcome<'reply> {
    reply: &'reply OrderReply,
    primary: PrimaryLocation,
    /// Why the last attempt failed, if the order has no definite reply.
    retry_reason: Option<RetryReason>,
    started_at: Instant,
}

impl Controller {
    /// Executes an order that an operator sent to this keeper, here or at the primary.
    pub(super) async fn handle_order(self: &Arc<Self>, order: Order) -> OrderReply {
        let started_at = Instant::now();
        let deadline = started_at + order_timeout(&order);
        loop {
            let primary = self.primary_location();
            let attempt = match primary {
                PrimaryLocation::Local => self.handle_order_locally(&order, deadline).await,
                PrimaryLocation::Remote(address) => self.forward_order(&order, address, deadline).await,
                PrimaryLocation::Unknown => OrderAttempt::Retry(RetryReason::NoPrimary),
            };
            let (reply, retry_reason) = match attempt {
                OrderAttempt::Replied(reply) => (unless_expired(&order, reply, deadline), None),
                OrderAttempt::Retry(_) if self.wait_for_retry(deadline).await => continue,
                OrderAttempt::Retry(reason) => (unavailable_reply(), Some(reason)),
            };
            self.log_order(&order, OrderOutcome { reply: &reply, primary, retry_reason, started_at });
            return reply;
        }
    }

    /// Executes an order that another keeper forwarded. It is not forwarded any further.
    pub(super) async fn handle_forwarded_order(self: &Arc<Self>, order: Order) -> OrderReply {
        let deadline = Instant::now() + order_timeout(&order) - FORWARDING_ALLOWANCE;
        while self.primary_location() == PrimaryLocation::Local {
            if let OrderAttempt::Replied(reply) = self.handle_order_locally(&order, deadline).await {
                return reply;
            }
            if !self.wait_for_retry(deadline).await {
                break;
            }
        }
        unavailable_reply()
    }

    async fn forward_order(&self, order: &Order, primary: SocketAddr, deadline: Instant) -> OrderAttempt {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let message = Message::Registry(RegistryMessage::Order(order.clone()));
        match self.peers.call(primary, message, time_left).await {
            Ok(Message::Registry(RegistryMessage::OrderReply(reply)))
                if reply.status != STATUS_UNAVAILABLE =>
            {
                OrderAttempt::Replied(reply)
            }
            _ => OrderAttempt::Retry(RetryReason::NoReplyFromPrimary),
        }
    }

    /// Waits until an order may be attempted again. Returns `false`, at once, if too little time is left for that.
    async fn wait_for_retry(&self, deadline: Instant) -> bool {
        if Instant::now() + PRIMARY_POLL_INTERVAL >= deadline {
            return false;
        }
        // Either a change of the state or the interval ends the wait.
        let _ = timeout(PRIMARY_POLL_INTERVAL, self.state_changed.notified()).await;
        true
    }

    /// Logs the outcome of an order that changes the state, and of every order without a definite reply.
    fn log_order(&self, order: &Order, outcome: OrderOutcome<'_>) {
        let OrderOutcome { reply, primary, retry_reason, started_at } = outcome;
        self.order_replies.count(reply.status);
        let is_change = matches!(order, Order::PutConfiguration { .. } | Order::Retire { .. });
        if !is_change && reply.status != STATUS_UNAVAILABLE {
            return;
        }
        let Some(suppressed) = self.order_log_limit.try_acquire() else { return };
        let OrderSummary { kind, base, digest } = OrderSummary::of(order);
        let epoch = self.lock().consensus.replica.epoch().number.0;
        info!(self.log, "order completed";
            "order" => kind, "base" => base, "digest" => digest, "status" => reply.status,
            "primary" => format!("{primary:?}"), "epoch" => epoch,
            "reason" => retry_reason.map_or("", RetryReason::as_str),
            "duration_ms" => started_at.elapsed().as_millis() as u64, "suppressed" => suppressed);
    }
}

impl OrderSummary {
    fn of(order: &Order) -> OrderSummary {
        let (kind, base, digest) = match order {
            Order::PutConfiguration { base, body } => {
                ("put configuration", *base, digest(*base, body).to_string())
            }
            Order::GetConfiguration => ("get configuration", 0, String::new()),
            Order::Retire { node, .. } => ("retire", 0, node.0.to_string()),
            Order::RetireState { node } => ("retirement state", 0, node.0.to_string()),
        };
        OrderSummary { kind, base, digest }
    }
}

fn order_timeout(order: &Order) -> Duration {
    let body_bytes = match order {
        Order::PutConfiguration { body, .. } => body.len() as u64,
        _ => 0,
    };
    ORDER_TIMEOUT + Duration::from_millis(body_bytes / BODY_BYTES_PER_EXTRA_MS)
}

/// The reply, or 503 if the order is a read whose deadline has passed. A process that was suspended may send a reply
/// long after the state in it was confirmed, when it may no longer be the newest. Replies to changes remain valid:
/// no later state invalidates what they report.
fn unless_expired(order: &Order, reply: OrderReply, deadline: Instant) -> OrderReply {
    let is_read = matches!(order, Order::GetConfiguration | Order::RetireState { .. });
    if is_read && Instant::now() > deadline { unavailable_reply() } else { reply }
}
