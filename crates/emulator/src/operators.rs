//! Simulated operators, which submit configurations to one keeper after another until the response is conclusive.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_node::clock;
use juniperwing_node::sync::{lock, watch};
use juniperwing_random::Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::history::{Event, History, OrderId};
use crate::http::{Request, Response};

/// The timeout of a request, after which another keeper is tried.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an order without a conclusive response is retried.
const MAX_RETRY_DURATION: Span = Span::from_millis(25_000);
/// The first delay between two submissions of an order, in milliseconds; it doubles each time.
const INITIAL_BACKOFF_MS: u64 = 50;
/// The maximum delay between two submissions of an order, in milliseconds.
const MAX_BACKOFF_MS: u64 = 400;
/// The maximum number of orders that one operator submits concurrently.
const MAX_CONCURRENT_ORDERS: u64 = 8;
/// One response in this many is lost.
const RESPONSE_LOSS_INTERVAL: u64 = 8;
/// The maximum time until the connection of a lost response breaks, in milliseconds.
const MAX_LOST_RESPONSE_TIMEOUT_MS: u64 = 60;
/// The text before the identifier of an order in its body.
const ORDER_NAME_PREFIX: &str = "\"name\":\"order-";

/// A configuration that an operator submits.
#[derive(Clone, Debug)]
struct Order {
    id: OrderId,
    base: u64,
    generation: u64,
}

/// An order and the status of its conclusive response.
struct ConclusiveResponse {
    status: u16,
    order: Order,
}

/// The state that all operators share.
struct OperatorPool {
    keepers: watch::Receiver<Vec<SocketAddr>>,
    history: History,
    next_order: AtomicUsize,
    acknowledged: Mutex<Vec<Order>>,
    read_only_from: Time,
}

/// An operator.
struct Operator {
    pool: Arc<OperatorPool>,
    rng: Rng,
    /// The newest configuration version that it has observed.
    known_version: u64,
}

/// Encodes the body of an order.
fn order_body(order: &Order) -> Vec<u8> {
    let Order { id, generation, .. } = order;
    format!(
        r#"{{"generation":{generation},"routes":[{{"name":"order-{id}","hostname":"h.example","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":0,"backend":"b","maxRetries":2}}],"backends":[{{"name":"b","healthCheck":"/healthz","maxConnections":10,"protocol":"h1","tls":false}}]}}"#
    )
    .into_bytes()
}

/// Finds the order that a body belongs to.
pub fn order_in_body(body: &[u8]) -> Option<OrderId> {
    let text = std::str::from_utf8(body).ok()?;
    let after_prefix = &text[text.find(ORDER_NAME_PREFIX)? + ORDER_NAME_PREFIX.len()..];
    let digits = &after_prefix[..after_prefix.find('"')?];
    digits.parse().ok()
}

/// Runs `count` operators, which only read from `read_only_from` on.
pub async fn run(
    keepers: watch::Receiver<Vec<SocketAddr>>, history: History, seed: u64, count: u64, read_only_from: Time,
) {
    let pool = Arc::new(OperatorPool {
        keepers,
        history,
        next_order: AtomicUsize::new(0),
        acknowledged: Mutex::default(),
        read_only_from,
    });
    let mut operators = JoinSet::new();
    for number in 0..count {
        let rng = Rng::for_purpose(seed, 1_000 + number);
        operators.spawn(Operator { pool: Arc::clone(&pool), rng, known_version: 0 }.run());
    }
    while operators.join_next().await.is_some() {}
}

impl Operator {
    async fn run(mut self) {
        loop {
            self.pause(200, 1_500).await;
            let is_read_only = clock::now() >= self.pool.read_only_from;
            match self.rng.below(10) {
                _ if is_read_only => self.read().await,
                0 => self.resubmit().await,
                1 | 2 => self.read().await,
                3 => {
                    let count = 2 + self.rng.below(MAX_CONCURRENT_ORDERS - 1);
                    self.submit_concurrently(count).await;
                }
                _ => self.submit_concurrently(1).await,
            }
        }
    }

    async fn pause(&mut self, min_ms: u64, max_ms: u64) {
        sleep(Duration::from_millis(self.rng.between(min_ms, max_ms))).await;
    }

    /// Submits different orders on the same base concurrently, some of them with the same generation.
    async fn submit_concurrently(&mut self, count: u64) {
        let mut submissions = JoinSet::new();
        for _ in 0..count {
            let id = self.pool.next_order.fetch_add(1, Ordering::Relaxed);
            let generation = self.known_version + 1 + self.rng.below(3);
            let order = Order { id, base: self.known_version, generation };
            let submitted = Event::OrderSubmitted { order: id, base: order.base, generation };
            self.pool.history.record(clock::now(), submitted);
            let rng = Rng::for_purpose(self.rng.next_u64(), 1);
            submissions.spawn(Arc::clone(&self.pool).submit_until_conclusive(order, rng));
        }
        let mut any_failed = false;
        while let Some(outcome) = submissions.join_next().await {
            match outcome {
                Ok(Some(ConclusiveResponse { status: 200, order })) => {
                    self.known_version = self.known_version.max(order.generation)
                }
                _ => any_failed = true,
            }
        }
        if any_failed {
            self.read().await;
        }
    }

    /// Submits an order again that was acknowledged some time ago.
    async fn resubmit(&mut self) {
        let order = {
            let acknowledged = lock(&self.pool.acknowledged);
            self.rng.choose(&acknowledged).cloned()
        };
        if let Some(order) = order {
            let rng = Rng::for_purpose(self.rng.next_u64(), 2);
            Arc::clone(&self.pool).submit_until_conclusive(order, rng).await;
        }
    }

    async fn read(&mut self) {
        let keeper_index = self.pool.random_keeper_index(&mut self.rng);
        let Some(address) = self.pool.keeper_at(keeper_index) else { return };
        let requested_at = clock::now();
        let get = Request { target: "GET /config".to_owned(), body: Vec::new(), if_match: None };
        let Some(Response { status, body }) = get.send(address, RESPONSE_TIMEOUT).await else { return };
        let (keeper, order) = (keeper_number(&address), order_in_body(&body));
        self.pool
            .history
            .record(clock::now(), Event::ConfigurationRead { status, requested_at, keeper, order });
        let generation = generation_in_body(&body).filter(|_| status == 200);
        self.known_version = self.known_version.max(generation.unwrap_or(0));
    }
}

impl OperatorPool {
    /// A random index into the list of keepers.
    fn random_keeper_index(&self, rng: &mut Rng) -> usize {
        rng.below(self.keepers.borrow().len() as u64) as usize
    }

    /// The keeper at an index, which wraps around.
    fn keeper_at(&self, keeper_index: usize) -> Option<SocketAddr> {
        let keepers = self.keepers.borrow();
        keepers.get(keeper_index % keepers.len().max(1)).copied()
    }

    /// Submits an order to one keeper after another and returns the conclusive response, if any.
    async fn submit_until_conclusive(
        self: Arc<Self>, order: Order, mut rng: Rng,
    ) -> Option<ConclusiveResponse> {
        let retry_deadline = clock::now() + MAX_RETRY_DURATION;
        let put = Request {
            target: "PUT /config".to_owned(),
            body: order_body(&order),
            if_match: Some(order.base),
        };
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        let mut keeper_index = self.random_keeper_index(&mut rng);
        let mut is_lost = false;
        while clock::now() < retry_deadline {
            // Never two in a row: with a partitioned keeper as well, a reply in time would be left to chance.
            is_lost = !is_lost && rng.one_in(RESPONSE_LOSS_INTERVAL);
            let status = self.submit_once(&order, &put, keeper_index, is_lost, &mut rng).await;
            if let Some(status) = status.filter(|status| is_conclusive(*status)) {
                return Some(ConclusiveResponse { status, order });
            }
            keeper_index += 1;
            sleep(Duration::from_millis(backoff_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
        self.history.record(clock::now(), Event::OrderAbandoned { order: order.id });
        None
    }

    async fn submit_once(
        &self, order: &Order, put: &Request, keeper_index: usize, is_lost: bool, rng: &mut Rng,
    ) -> Option<u16> {
        let address = self.keeper_at(keeper_index)?;
        let requested_at = clock::now();
        // If the response is lost, the operator does not learn whether the order was accepted.
        let time_limit = if is_lost {
            Duration::from_millis(rng.below(MAX_LOST_RESPONSE_TIMEOUT_MS))
        } else {
            RESPONSE_TIMEOUT
        };
        let Response { status, .. } = put.send(address, time_limit).await?;
        let keeper = keeper_number(&address);
        self.history
            .record(clock::now(), Event::OrderReplied { order: order.id, status, requested_at, keeper });
        if status == 200 {
            let mut acknowledged = lock(&self.acknowledged);
            acknowledged.push(order.clone());
        }
        Some(status)
    }
}

/// Whether an order with this status is not retried.
fn is_conclusive(status: u16) -> bool {
    (200..500).contains(&status) && status != 408 && status != 429
}

/// The number of a keeper, which is the last byte of its address.
pub fn keeper_number(address: &SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => 0,
    }
}

fn generation_in_body(body: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("generation")?.as_u64()
}
