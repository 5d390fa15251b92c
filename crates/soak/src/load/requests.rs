//! Plain clients: they send idempotent and non-idempotent requests over persistent connections and abandon some.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Shared;
use super::operator::HOST;
use crate::history::{Attempt, Millis, Outcome, RequestKind};
use crate::http::{Connection, HttpError, encode_request};
use juniperwing_random::Rng;

/// The deadline of a request, in milliseconds.
const DEADLINE_MS: Millis = 2_500;
/// How long a client waits beyond the deadline, in milliseconds.
const EXTRA_WAIT_MS: Millis = 3_000;
/// The size of a large body, in bytes.
const LARGE_BODY_BYTES: u64 = 200_000;

/// A connection to a relay.
struct RelayConnection {
    relay: usize,
    stream: Connection,
}

/// Runs one client until the load ends, or until a given time.
pub async fn run(shared: Arc<Shared>, client: u64, until: Millis) {
    let mut rng = shared.rng(&format!("client {client}"));
    let mut idle_connection: Option<RelayConnection> = None;
    while shared.is_running() && shared.history.now() < until {
        sleep(Duration::from_millis(20 + rng.below(160))).await;
        if rng.percent(20) {
            idle_connection = None;
        }
        let connection = match idle_connection.take() {
            Some(connection) => connection,
            None => {
                let relay = shared.load_balancer.choose(&mut rng);
                match Connection::open(shared.load_balancer.frontend(relay)).await {
                    Ok(connection) => RelayConnection { relay, stream: connection },
                    Err(_) => continue,
                }
            }
        };
        idle_connection = run_request(&shared, connection, &mut rng).await;
    }
}

/// Sends one request. Returns the connection if it can be reused.
async fn run_request(
    shared: &Arc<Shared>, mut connection: RelayConnection, rng: &mut Rng,
) -> Option<RelayConnection> {
    let id = shared.unique_name("q");
    let kind = if rng.percent(50) { RequestKind::Idempotent } else { RequestKind::NonIdempotent };
    let (method, path) = match kind {
        RequestKind::Idempotent => ("GET", format!("/i/{id}")),
        RequestKind::NonIdempotent | RequestKind::Turn | RequestKind::ResumableTurn => {
            ("POST", format!("/n/{id}"))
        }
    };
    let length = if rng.percent(3) { LARGE_BODY_BYTES } else { rng.below(300) };
    let body: Vec<u8> = (0..length).map(|index| (index % 251) as u8).collect();
    let deadline = DEADLINE_MS.to_string();
    let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", deadline.as_str())];
    let bytes = encode_request(method, &path, &headers, &body);
    let attempt = Attempt::new(kind, connection.relay, shared.history.now(), DEADLINE_MS, body);
    shared.history.record().attempts.insert(id.clone(), attempt);
    if rng.percent(1) {
        // The client abandons the connection in the middle of the request.
        let _ = connection.stream.write(&bytes[..bytes.len() / 2]).await;
        sleep(Duration::from_millis(rng.below(500))).await;
        shared.history.record_outcome(&id, Outcome::ClientDisconnected, 0);
        return None;
    }
    if connection.stream.write(&bytes).await.is_err() {
        shared.history.record_outcome(&id, Outcome::NotSent, 0);
        return None;
    }
    if let Some(attempt) = shared.history.record().attempts.get_mut(&id) {
        attempt.sent_at = shared.history.now();
    }
    if rng.percent(if shared.has_early_disconnects() { 30 } else { 2 }) {
        sleep(Duration::from_millis(rng.below(60))).await;
        shared.history.record_outcome(&id, Outcome::ClientDisconnected, 0);
        return None;
    }
    let (outcome, closes_connection) = read_response(shared, &mut connection.stream, &id).await;
    shared.history.record_outcome(&id, outcome, 0);
    if closes_connection { None } else { Some(connection) }
}

/// Reads the response and checks it. Returns the outcome and whether the connection closes.
async fn read_response(shared: &Arc<Shared>, connection: &mut Connection, id: &str) -> (Outcome, bool) {
    let mut after_head = false;
    let response = async {
        let head = connection.read_response_head().await?;
        after_head = true;
        let body = connection.read_full_body(&head).await?;
        Ok::<_, HttpError>((head, body))
    };
    let wait_limit = Duration::from_millis(DEADLINE_MS + EXTRA_WAIT_MS);
    let (head, body) = match timeout(wait_limit, response).await {
        Err(_) => return (Outcome::TimedOut, true),
        Ok(Err(_)) => return (Outcome::ConnectionLost { after_head }, true),
        Ok(Ok(response)) => response,
    };
    let is_signed = head.has("x-server-signature");
    if (200..300).contains(&head.status) {
        let has_own_body = shared.history.is_response_to(id, &body);
        let has_own_id = head.header("x-request-id") == id;
        if !is_signed || !has_own_id || !has_own_body {
            let details =
                format!("{id}: signed: {is_signed}, id matches: {has_own_id}, {} bytes", body.len());
            shared.history.record_finding("an answer of another request or not whole", details);
        }
    }
    (Outcome::Status { status: head.status, is_signed }, head.closes_connection())
}
