//! Operators: configurations sent until the answer is clear, at several members, with answers lost on the way.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_node::clock;
use juniperwing_node::sync::lock;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::history::{History, OrderId, Seen};
use crate::http::{Answer, Call};
use juniperwing_random::Rng;

/// A caller moves on after this much silence.
const SILENCE: Duration = Duration::from_secs(1);
/// An order without a clear answer is sent for so long.
const GIVE_UP_AFTER: Span = Span::from_millis(25_000);
/// The first pause between two calls; it grows.
const FIRST_PAUSE_MS: u64 = 50;
/// The longest one.
const LONGEST_PAUSE_MS: u64 = 400;
/// Orders under way at once when operators hurry.
const MOST_AT_ONCE: u64 = 8;
/// One answer in so many is lost.
const LOST_ANSWERS: u64 = 8;
/// When a connection breaks whose answer is lost, at the latest.
const LOST_WITHIN_MS: u64 = 60;
/// Where an order's number stands in its body.
const MARK: &str = "\"name\":\"order-";

/// A configuration that an operator sends.
#[derive(Clone, Debug)]
struct Order {
    id: OrderId,
    base: u64,
    generation: u64,
}

/// What all operators share.
pub struct Office {
    keepers: watch::Receiver<Vec<SocketAddr>>,
    history: History,
    next_order: AtomicUsize,
    acknowledged: Mutex<Vec<Order>>,
    quiet_from: Time,
}

/// One operator.
struct Operator {
    office: Arc<Office>,
    rng: Rng,
    /// The newest version that it knows of.
    known: u64,
}

/// The body of an order.
fn body(order: &Order) -> Vec<u8> {
    let Order { id, generation, .. } = order;
    format!(
        r#"{{"generation":{generation},"routes":[{{"name":"order-{id}","hostname":"h.example","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":0,"backend":"b","maxRetries":2}}],"backends":[{{"name":"b","healthCheck":"/healthz","maxConnections":10,"protocol":"h1","tls":false}}]}}"#
    )
    .into_bytes()
}

/// The order that a body is from.
pub fn order_of(body: &[u8]) -> Option<OrderId> {
    let text = std::str::from_utf8(body).ok()?;
    let behind = &text[text.find(MARK)? + MARK.len()..];
    let digits = &behind[..behind.find('"')?];
    digits.parse().ok()
}

/// Runs `count` operators. From `quiet_from` on they only read.
pub async fn run(
    keepers: watch::Receiver<Vec<SocketAddr>>, history: History, seed: u64, count: u64, quiet_from: Time,
) {
    let office = Arc::new(Office {
        keepers,
        history,
        next_order: AtomicUsize::new(0),
        acknowledged: Mutex::default(),
        quiet_from,
    });
    let mut operators = JoinSet::new();
    for number in 0..count {
        let rng = Rng::for_purpose(seed, 1_000 + number);
        operators.spawn(Operator { office: Arc::clone(&office), rng, known: 0 }.work());
    }
    while operators.join_next().await.is_some() {}
}

impl Operator {
    async fn work(mut self) {
        loop {
            self.pause(200, 1_500).await;
            let quiet = clock::now() >= self.office.quiet_from;
            match self.rng.below(10) {
                _ if quiet => self.read().await,
                0 => self.send_again().await,
                1 | 2 => self.read().await,
                3 => {
                    let count = 2 + self.rng.below(MOST_AT_ONCE - 1);
                    self.send_many(count).await;
                }
                _ => self.send_many(1).await,
            }
        }
    }

    async fn pause(&mut self, least_ms: u64, limit_ms: u64) {
        sleep(Duration::from_millis(self.rng.between(least_ms, limit_ms))).await;
    }

    /// Sends different orders on one base at once, some of them under the same number.
    async fn send_many(&mut self, count: u64) {
        let mut calls = JoinSet::new();
        for _ in 0..count {
            let id = self.office.next_order.fetch_add(1, Ordering::Relaxed);
            let generation = self.known + 1 + self.rng.below(3);
            let order = Order { id, base: self.known, generation };
            let made = Seen::OrderMade { order: id, base: order.base, generation };
            self.office.history.add(clock::now(), made);
            let rng = Rng::for_purpose(self.rng.next_u64(), 1);
            calls.spawn(Arc::clone(&self.office).send_until_clear(order, rng));
        }
        let mut refused = false;
        while let Some(sent) = calls.join_next().await {
            match sent {
                Ok(Some((200, order))) => self.known = self.known.max(order.generation),
                _ => refused = true,
            }
        }
        if refused {
            self.read().await;
        }
    }

    /// Sends an order that was acknowledged some time ago.
    async fn send_again(&mut self) {
        let order = {
            let acknowledged = lock(&self.office.acknowledged);
            self.rng.choose(&acknowledged).cloned()
        };
        if let Some(order) = order {
            let rng = Rng::for_purpose(self.rng.next_u64(), 2);
            Arc::clone(&self.office).send_until_clear(order, rng).await;
        }
    }

    async fn read(&mut self) {
        let turn = self.office.first_turn(&mut self.rng);
        let Some(address) = self.office.keeper(turn) else { return };
        let asked = clock::now();
        let get = Call { line: "GET /config".to_owned(), body: Vec::new(), base: None };
        let Some(Answer { status, body }) = get.make(address, SILENCE).await else { return };
        let (keeper, order) = (number_of(&address), order_of(&body));
        self.office.history.add(clock::now(), Seen::Read { status, asked, keeper, order });
        let generation = generation_of(&body).filter(|_| status == 200);
        self.known = self.known.max(generation.unwrap_or(0));
    }
}

impl Office {
    /// Where to begin in the list of keepers.
    fn first_turn(&self, rng: &mut Rng) -> usize {
        rng.below(self.keepers.borrow().len() as u64) as usize
    }

    /// The keeper whose turn it is.
    fn keeper(&self, turn: usize) -> Option<SocketAddr> {
        let keepers = self.keepers.borrow();
        keepers.get(turn % keepers.len().max(1)).copied()
    }

    /// Sends an order to one keeper after the other; gives back the clear answer's status.
    async fn send_until_clear(self: Arc<Self>, order: Order, mut rng: Rng) -> Option<(u16, Order)> {
        let give_up = clock::now() + GIVE_UP_AFTER;
        let put = Call { line: "PUT /config".to_owned(), body: body(&order), base: Some(order.base) };
        let mut pause = FIRST_PAUSE_MS;
        let mut turn = self.first_turn(&mut rng);
        while clock::now() < give_up {
            let status = self.send_once(&order, &put, turn, &mut rng).await;
            if let Some(status) = status.filter(|status| is_clear(*status)) {
                return Some((status, order));
            }
            turn += 1;
            sleep(Duration::from_millis(pause)).await;
            pause = (pause * 2).min(LONGEST_PAUSE_MS);
        }
        self.history.add(clock::now(), Seen::OrderGivenUp { order: order.id });
        None
    }

    async fn send_once(&self, order: &Order, put: &Call, turn: usize, rng: &mut Rng) -> Option<u16> {
        let address = self.keeper(turn)?;
        let asked = clock::now();
        // The answer may be lost: the operator then learns nothing.
        let is_lost = rng.one_in(LOST_ANSWERS);
        let within = if is_lost { Duration::from_millis(rng.below(LOST_WITHIN_MS)) } else { SILENCE };
        let Answer { status, .. } = put.make(address, within).await?;
        let keeper = number_of(&address);
        self.history.add(clock::now(), Seen::OrderAnswered { order: order.id, status, asked, keeper });
        if status == 200 {
            let mut acknowledged = lock(&self.acknowledged);
            acknowledged.push(order.clone());
        }
        Some(status)
    }
}

/// Whether an order with this answer is not sent again.
fn is_clear(status: u16) -> bool {
    (200..500).contains(&status) && status != 408 && status != 429
}

/// The number of a keeper, which its address ends with.
pub fn number_of(address: &SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => 0,
    }
}

fn generation_of(body: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("generation")?.as_u64()
}
