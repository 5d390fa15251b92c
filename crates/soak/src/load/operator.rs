//! Operators: they read and change the configuration concurrently, lose responses and retry.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Shared;
use super::endpoint::{ENGINE, TOOL};
use super::resumable_turn::PATH_PREFIX as RESUMABLE_PATH_PREFIX;
use crate::faults::Machine;
use crate::history::{ConfigurationRead, Order, OrderResponse};
use crate::http::{Connection, encode_request, exchange};
use crate::schedule::KEEPER_COUNT;
use juniperwing_random::Rng;

/// The host name of all routes.
pub const HOST: &str = "soak.example";
/// Maximum number of routes that are kept for previous generations.
const MAX_OLD_ROUTES: usize = 40;
/// Interval between two configuration reads at a keeper.
const READ_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout of a request to a keeper.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_050);
/// How long an order is retried without a definite response.
const ORDER_RETRY_DURATION: Duration = Duration::from_secs(15);

/// Operators, which act independently of each other.
#[derive(Debug)]
pub struct Operators;

impl Operators {
    /// Sends the first configuration until it is acknowledged. Returns `false` if that takes longer than `within`.
    pub async fn apply_first_configuration(shared: &Arc<Shared>, within: Duration) -> bool {
        let mut rng = shared.rng("first configuration");
        let body = configuration(1, &[1]);
        let order = record_order(shared, 0, 1, &body);
        let until = Instant::now() + within;
        while Instant::now() < until {
            let keeper = rng.below(KEEPER_COUNT as u64) as usize;
            if put_configuration(shared, order, keeper, 0, &body, false).await == Some(200) {
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Reads the configuration at one keeper repeatedly until the load ends.
    pub async fn read_continuously(shared: Arc<Shared>, keeper: usize) {
        while shared.is_running() {
            // The response is recorded, and the oracle checks it at the end of the play.
            let _ = read_configuration(&shared, keeper).await;
            sleep(READ_INTERVAL).await;
        }
    }

    /// Runs one operator until the load ends.
    pub async fn run(shared: Arc<Shared>, number: u64) {
        let mut rng = shared.rng(&format!("operator {number}"));
        let mut routes = vec![1];
        while shared.is_running() {
            sleep(Duration::from_millis(150 + rng.below(700))).await;
            if let Some(current) = read_configuration(&shared, rng.below(KEEPER_COUNT as u64) as usize).await
            {
                routes = current;
            }
            if rng.percent(70) {
                change_configuration(&shared, &mut routes, &mut rng).await;
            }
        }
    }
}

/// Sends one change until there is a definite response, for a limited time.
async fn change_configuration(shared: &Arc<Shared>, routes: &mut Vec<u64>, rng: &mut Rng) {
    let base = routes.last().copied().unwrap_or_default();
    let generation = base + 1 + rng.below(3);
    let mut next = routes.clone();
    next.push(generation);
    let surplus = next.len().saturating_sub(MAX_OLD_ROUTES);
    next.drain(..surplus);
    let mut body = configuration(generation, &next);
    // Two operators may choose the same generation: a random number of trailing blanks makes their bodies differ.
    body.extend(std::iter::repeat_n(b' ', 1 + rng.below(50) as usize));
    let order = record_order(shared, base, generation, &body);
    let until = Instant::now() + ORDER_RETRY_DURATION;
    let mut keeper = rng.below(KEEPER_COUNT as u64) as usize;
    while Instant::now() < until {
        let loses_response = rng.percent(10);
        match put_configuration(shared, order, keeper, base, &body, loses_response).await {
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
        // Sends the same order once more, long after its acknowledgement.
        let (shared, body) = (Arc::clone(shared), body);
        tokio::spawn(async move {
            sleep(Duration::from_millis(2_500)).await;
            put_configuration(&shared, order, keeper + 1, base, &body, false).await;
        });
    }
}

/// Sends an order to a keeper. Returns the status, or `None` if there was no response or it was dropped on purpose.
async fn put_configuration(
    shared: &Arc<Shared>, order: usize, keeper: usize, base: u64, body: &[u8], loses_response: bool,
) -> Option<u16> {
    let if_match = base.to_string();
    let headers = [("Host", "keeper"), ("If-Match", if_match.as_str())];
    let bytes = encode_request("PUT", "/config", &headers, body);
    let sent_at = shared.history.now();
    if loses_response {
        let mut connection = Connection::open(shared.keeper(keeper)).await.ok()?;
        connection.write(&bytes).await.ok()?;
        sleep(Duration::from_millis(sent_at % 40)).await;
        return None;
    }
    let (head, _) = exchange(shared.keeper(keeper), &bytes, RESPONSE_TIMEOUT).await.ok()?;
    let response = OrderResponse {
        keeper: keeper % KEEPER_COUNT,
        sent_at,
        at: shared.history.now(),
        status: head.status,
    };
    shared.history.record().orders[order].responses.push(response);
    Some(head.status)
}

/// Reads the configuration at a keeper and returns the generations whose routes it contains, oldest first.
pub async fn read_configuration(shared: &Arc<Shared>, keeper: usize) -> Option<Vec<u64>> {
    let sent_at = shared.history.now();
    let request = encode_request("GET", "/config", &[("Host", "keeper")], b"");
    let (head, body) = exchange(shared.keeper(keeper), &request, RESPONSE_TIMEOUT).await.ok()?;
    let at = shared.history.now();
    let routes = (head.status == 200).then(|| route_generations(&body)).flatten();
    let read = ConfigurationRead { keeper: keeper % KEEPER_COUNT, sent_at, at, status: head.status, body };
    shared.history.record().reads.push(read);
    routes
}

/// Retires a store. Returns `true` once that is completed, `false` if it is rejected or not completed in time.
pub async fn retire_store(shared: &Arc<Shared>, machine: Machine, within: Duration) -> bool {
    let path = format!("/retire/{machine}");
    let headers = [("Host", "keeper"), ("Content-Type", "application/json")];
    let order = encode_request("POST", &path, &headers, br#"{"durationS":10}"#);
    let poll = encode_request("GET", &path, &[("Host", "keeper")], b"");
    let until = Instant::now() + within;
    let (mut keeper, mut is_accepted) = (0, false);
    while Instant::now() < until {
        let request = if is_accepted { &poll } else { &order };
        keeper += 1;
        match exchange(shared.keeper(keeper), request, RESPONSE_TIMEOUT).await {
            Ok((head, body)) if head.status == 200 => {
                is_accepted = true;
                if String::from_utf8_lossy(&body).contains("completed") {
                    return true;
                }
            }
            // Rejected: there are too few other stores, or the keepers do not know this one yet.
            Ok((head, _)) if head.status < 500 => return false,
            _ => {}
        }
        sleep(Duration::from_millis(200)).await;
    }
    false
}

fn record_order(shared: &Arc<Shared>, base: u64, generation: u64, body: &[u8]) -> usize {
    let sent_at = shared.history.now();
    let mut record = shared.history.record();
    record.orders.push(Order { base, generation, body: body.to_vec(), sent_at, responses: Vec::new() });
    record.orders.len() - 1
}

/// The generations whose routes a configuration contains.
fn route_generations(body: &[u8]) -> Option<Vec<u64>> {
    let parsed: serde_json::Value = serde_json::from_slice(body).ok()?;
    let names = parsed["routes"].as_array()?.iter().filter_map(|route| route["name"].as_str());
    Some(names.filter_map(|name| name.strip_prefix('g')?.parse().ok()).collect())
}

/// The generation of a configuration.
pub fn generation_of(body: &[u8]) -> Option<u64> {
    let parsed: serde_json::Value = serde_json::from_slice(body).ok()?;
    parsed["generation"].as_u64()
}

/// A configuration with the routes of all clients, and one route for each of `generations`.
fn configuration(generation: u64, generations: &[u64]) -> Vec<u8> {
    let route = |name: &str, path: &str, kind: &str, service: &str, kept: bool| {
        let resumable = path == RESUMABLE_PATH_PREFIX;
        serde_json::json!({
            "name": name, "hostname": HOST, "pathPrefix": path, "routeType": kind, "timeoutMs": 6_000,
            "targetLatencyMs": 400, "priority": 1, "backend": service, "maxRetries": 2, "kept": kept,
            "retentionS": 120.0, "resumable": resumable,
        })
    };
    let mut routes = vec![
        route("idempotent", "/i/", "idempotent", TOOL, false),
        route("once", "/n/", "non_idempotent", TOOL, false),
        route("turns", "/k/", "streaming", ENGINE, true),
        route("resumable", RESUMABLE_PATH_PREFIX, "streaming", ENGINE, true),
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
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
    });
    body.to_string().into_bytes()
}
