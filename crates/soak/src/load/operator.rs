//! Operators: they change the configuration, lose answers, send again, race, and read.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Shared;
use super::endpoint::{ENGINE, TOOL};
use crate::history::{ConfigurationRead, Order, OrderAnswer};
use crate::http::{Connection, ask, request};
use crate::schedule::KEEPERS;
use crate::troubles::Machine;
use juniperwing_random::Rng;

/// The host of all routes.
pub const HOST: &str = "soak.example";
/// Routes of older generations that a configuration keeps.
const KEPT_ROUTES: usize = 40;
/// Between two reads at a keeper.
const READ_EVERY: Duration = Duration::from_millis(60);
/// How long a call may take.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_050);
/// For how long an order without a clear answer is sent again.
const PERSISTS: Duration = Duration::from_secs(15);

/// Operators, who know nothing of each other.
#[derive(Debug)]
pub struct Operators;

impl Operators {
    /// Sends the first configuration until it is taken. `false` if that takes too long.
    pub async fn found(shared: &Arc<Shared>, within: Duration) -> bool {
        let mut rng = shared.rng("first configuration");
        let body = configuration(1, &[1]);
        let order = note_order(shared, 0, 1, &body);
        let until = Instant::now() + within;
        while Instant::now() < until {
            let keeper = rng.below(KEEPERS as u64) as usize;
            if put(shared, order, keeper, 0, &body, false).await == Some(200) {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Reads the configuration at one keeper over and over, until the load ends.
    pub async fn keep_reading(shared: Arc<Shared>, keeper: usize) {
        while shared.is_running() {
            // What it tells is judged at the end.
            let _ = read(&shared, keeper).await;
            sleep(READ_EVERY).await;
        }
    }

    /// One operator, until the load ends.
    pub async fn run(shared: Arc<Shared>, number: u64) {
        let mut rng = shared.rng(&format!("operator {number}"));
        let mut routes = vec![1];
        while shared.is_running() {
            sleep(Duration::from_millis(150 + rng.below(700))).await;
            if let Some(known) = read(&shared, rng.below(KEEPERS as u64) as usize).await {
                routes = known;
            }
            if rng.percent(70) {
                change(&shared, &mut routes, &mut rng).await;
            }
        }
    }
}

/// Sends one change until it has a clear answer, for a limited time.
async fn change(shared: &Arc<Shared>, routes: &mut Vec<u64>, rng: &mut Rng) {
    let base = routes.last().copied().unwrap_or_default();
    let generation = base + 1 + rng.below(3);
    let mut next = routes.clone();
    next.push(generation);
    let surplus = next.len().saturating_sub(KEPT_ROUTES);
    next.drain(..surplus);
    let mut body = configuration(generation, &next);
    // Two operators may choose the same number: a blank tells their changes apart.
    body.extend(std::iter::repeat_n(b' ', 1 + rng.below(50) as usize));
    let order = note_order(shared, base, generation, &body);
    let until = Instant::now() + PERSISTS;
    let mut keeper = rng.below(KEEPERS as u64) as usize;
    while Instant::now() < until {
        let loses_answer = rng.percent(10);
        match put(shared, order, keeper, base, &body, loses_answer).await {
            Some(200) => {
                *routes = next;
                break;
            }
            Some(status) if status < 500 => return,
            _ => {}
        }
        keeper += 1;
        sleep(Duration::from_millis(60 + rng.below(200))).await;
        if !shared.is_running() {
            return;
        }
    }
    if rng.percent(15) {
        // The same order, long after its acknowledgement.
        let (shared, body) = (Arc::clone(shared), body);
        tokio::spawn(async move {
            sleep(Duration::from_millis(2_500)).await;
            put(&shared, order, keeper + 1, base, &body, false).await;
        });
    }
}

/// Sends an order to a keeper. Its status, unless the answer is lost or does not come.
async fn put(
    shared: &Arc<Shared>, order: usize, keeper: usize, base: u64, body: &[u8], loses_answer: bool,
) -> Option<u16> {
    let if_match = base.to_string();
    let headers = [("Host", "keeper"), ("If-Match", if_match.as_str())];
    let bytes = request("PUT", "/config", &headers, body);
    let sent_at = shared.history.now();
    if loses_answer {
        let mut connection = Connection::open(shared.keeper(keeper)).await.ok()?;
        connection.write(&bytes).await.ok()?;
        sleep(Duration::from_millis(sent_at % 40)).await;
        return None;
    }
    let (head, _) = ask(shared.keeper(keeper), &bytes, ANSWER_WITHIN).await.ok()?;
    let answer =
        OrderAnswer { keeper: keeper % KEEPERS, sent_at, at: shared.history.now(), status: head.status };
    shared.history.record().orders[order].answers.push(answer);
    Some(head.status)
}

/// Reads the configuration at a keeper. The generations whose routes it has, oldest first.
pub async fn read(shared: &Arc<Shared>, keeper: usize) -> Option<Vec<u64>> {
    let sent_at = shared.history.now();
    let question = request("GET", "/config", &[("Host", "keeper")], b"");
    let (head, body) = ask(shared.keeper(keeper), &question, ANSWER_WITHIN).await.ok()?;
    let at = shared.history.now();
    let told = (head.status == 200).then(|| routes_of(&body)).flatten();
    let read = ConfigurationRead { keeper: keeper % KEEPERS, sent_at, at, status: head.status, body };
    shared.history.record().reads.push(read);
    told
}

/// Has a store emptied. `true` once that is completed, `false` if it is not in time.
pub async fn retired(shared: &Arc<Shared>, machine: Machine, within: Duration) -> bool {
    let path = format!("/retire/{machine}");
    let headers = [("Host", "keeper"), ("Content-Type", "application/json")];
    let order = request("POST", &path, &headers, br#"{"durationS":10}"#);
    let question = request("GET", &path, &[("Host", "keeper")], b"");
    let until = Instant::now() + within;
    let (mut keeper, mut taken) = (0, false);
    while Instant::now() < until {
        let call = if taken { &question } else { &order };
        keeper += 1;
        match ask(shared.keeper(keeper), call, ANSWER_WITHIN).await {
            Ok((head, body)) if head.status == 200 => {
                taken = true;
                if String::from_utf8_lossy(&body).contains("completed") {
                    return true;
                }
            }
            // Too few others, or it has not been seen yet.
            Ok((head, _)) if head.status < 500 => return false,
            _ => {}
        }
        sleep(Duration::from_millis(200)).await;
    }
    false
}

fn note_order(shared: &Arc<Shared>, base: u64, generation: u64, body: &[u8]) -> usize {
    let sent_at = shared.history.now();
    let mut record = shared.history.record();
    record.orders.push(Order { base, generation, body: body.to_vec(), sent_at, answers: Vec::new() });
    record.orders.len() - 1
}

/// The generations whose routes a configuration has.
fn routes_of(body: &[u8]) -> Option<Vec<u64>> {
    let parsed: serde_json::Value = serde_json::from_slice(body).ok()?;
    let names = parsed["routes"].as_array()?.iter().filter_map(|route| route["name"].as_str());
    Some(names.filter_map(|name| name.strip_prefix('g')?.parse().ok()).collect())
}

/// The generation of a configuration.
pub fn generation_of(body: &[u8]) -> Option<u64> {
    let parsed: serde_json::Value = serde_json::from_slice(body).ok()?;
    parsed["generation"].as_u64()
}

/// A configuration with the routes of all loads and one for each of some generations.
fn configuration(generation: u64, generations: &[u64]) -> Vec<u8> {
    let route = |name: &str, path: &str, kind: &str, service: &str, kept: bool| {
        serde_json::json!({
            "name": name, "hostname": HOST, "pathPrefix": path, "routeType": kind, "timeoutMs": 6_000,
            "targetLatencyMs": 400, "priority": 1, "backend": service, "maxRetries": 2, "kept": kept,
            "retentionS": 120.0, "resumable": false,
        })
    };
    let mut routes = vec![
        route("idempotent", "/i/", "idempotent", TOOL, false),
        route("once", "/n/", "non_idempotent", TOOL, false),
        route("turns", "/k/", "streaming", ENGINE, true),
    ];
    for generation in generations {
        routes.push(route(&format!("g{generation}"), &format!("/g{generation}/"), "idempotent", TOOL, false));
    }
    let service = |name: &str| {
        serde_json::json!({
            "name": name, "healthCheck": "/healthz", "maxConnections": 200, "protocol": "h1", "tls": false,
        })
    };
    let mut engine = service(ENGINE);
    engine["engine"] = serde_json::json!({"capacity": 16, "stride": 3, "models": [{"name": "m"}]});
    let body = serde_json::json!({
        "generation": generation, "routes": routes, "backends": [engine, service(TOOL)],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
    });
    body.to_string().into_bytes()
}
