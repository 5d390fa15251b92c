//! Plain clients: idempotent and non-idempotent requests over persistent connections, some of which they abandon.

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
/// How much longer than the deadline a client waits, in milliseconds.
const EXTRA_WAIT_MS: Millis = 3_000;
/// The size of a large body, in bytes.
const LARGE_BYTES: u64 = 200_000;

/// A connection to a relay.
struct RelayConnection {
    relay: usize,
    stream: Connection,
}

/// Runs one client until the load ends or until a time.
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
                let relay = shared.platform.choose(&mut rng);
                match Connection::open(shared.platform.frontend(relay)).await {
                    Ok(connection) => RelayConnection { relay, stream: connection },
                    Err(_) => continue,
                }
            }
        };
        idle_connection = run_request(&shared, connection, &mut rng).await;
    }
}

/// Sends one request. Returns the connection if it can be used again.
async fn run_request(
    shared: &Arc<Shared>, mut connection: RelayConnection, rng: &mut Rng,
) -> Option<RelayConnection> {
    let id = shared.unique_name("q");
    let kind = if rng.percent(50) { RequestKind::Idempotent } else { RequestKind::NonIdempotent };
    let (method, path) = match kind {
        RequestKind::Idempotent => ("GET", format!("/i/{id}")),
        RequestKind::NonIdempotent | RequestKind::Turn => ("POST", format!("/n/{id}")),
    };
    let length = if rng.percent(3) { LARGE_BYTES } else { rng.below(300) };
    let body: Vec<u8> = (0..length).map(|index| (index % 251) as u8).collect();
    let deadline = DEADLINE_MS.to_string();
    let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", deadline.as_str())];
    let bytes = encode_request(method, &path, &headers, &body);
    let attempt = Attempt::begin(kind, connection.relay, shared.history.now(), DEADLINE_MS, body);
    shared.history.record().attempts.insert(id.clone(), attempt);
    if rng.percent(1) {
        // The client abandons the connection in the middle of its request.
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
    let (ended, closes) = read_answer(shared, &mut connection.stream, &id).await;
    shared.history.record_outcome(&id, ended, 0);
    if closes { None } else { Some(connection) }
}

/// Reads the response and checks it. Returns how it ended and whether the connection closes.
async fn read_answer(shared: &Arc<Shared>, connection: &mut Connection, id: &str) -> (Outcome, bool) {
    let mut after_head = false;
    let whole = async {
        let head = connection.read_response_head().await?;
        after_head = true;
        let body = connection.read_full_body(&head).await?;
        Ok::<_, HttpError>((head, body))
    };
    let patience = Duration::from_millis(DEADLINE_MS + EXTRA_WAIT_MS);
    let (head, body) = match timeout(patience, whole).await {
        Err(_) => return (Outcome::TimedOut, true),
        Ok(Err(_)) => return (Outcome::ConnectionLost { after_head }, true),
        Ok(Ok(answer)) => answer,
    };
    let is_signed = head.has("x-server-signature");
    if (200..300).contains(&head.status) {
        let right = shared.history.is_answer_to(id, &body);
        let own = head.header("x-request-id") == id;
        if !is_signed || !own || !right {
            let details = format!("{id}: stamped {is_signed}, own id {own}, {} bytes", body.len());
            shared.history.record_finding("an answer of another request or not whole", details);
        }
    }
    (Outcome::Status { status: head.status, is_signed }, head.closes_connection())
}
