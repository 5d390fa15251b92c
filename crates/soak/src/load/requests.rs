//! Plain clients: requests of both kinds over kept connections, some of them rudely.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Shared;
use super::operator::HOST;
use crate::history::{Ended, Millis, RequestKind, Try};
use crate::http::{Connection, request};
use juniperwing_random::Rng;

/// The time that a request is given, in milliseconds.
const DEADLINE_MS: Millis = 2_500;
/// How much longer a client waits.
const PATIENCE_MS: Millis = 3_000;
/// A large body, in bytes.
const LARGE_BYTES: u64 = 200_000;

/// A connection to a relay.
struct Kept {
    relay: usize,
    connection: Connection,
}

/// One client, until the load ends or its time is over.
pub async fn run(shared: Arc<Shared>, client: u64, until: Millis) {
    let mut rng = shared.rng(&format!("client {client}"));
    let mut kept: Option<Kept> = None;
    while shared.is_running() && shared.history.now() < until {
        sleep(Duration::from_millis(20 + rng.below(160))).await;
        if rng.percent(20) {
            kept = None;
        }
        let held = match kept.take() {
            Some(held) => held,
            None => {
                let relay = shared.platform.choose(&mut rng);
                match Connection::open(shared.platform.frontend(relay)).await {
                    Ok(connection) => Kept { relay, connection },
                    Err(_) => continue,
                }
            }
        };
        kept = one(&shared, held, &mut rng).await;
    }
}

/// One request. Gives the connection back if it may be used again.
async fn one(shared: &Arc<Shared>, mut held: Kept, rng: &mut Rng) -> Option<Kept> {
    let id = shared.name("q");
    let kind = if rng.percent(50) { RequestKind::Repeatable } else { RequestKind::Once };
    let (method, path) = match kind {
        RequestKind::Repeatable => ("GET", format!("/i/{id}")),
        RequestKind::Once | RequestKind::Turn => ("POST", format!("/n/{id}")),
    };
    let length = if rng.percent(3) { LARGE_BYTES } else { rng.below(300) };
    let body: Vec<u8> = (0..length).map(|place| (place % 251) as u8).collect();
    let deadline = DEADLINE_MS.to_string();
    let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", deadline.as_str())];
    let bytes = request(method, &path, &headers, &body);
    let tried = Try::begin(kind, held.relay, shared.history.now(), DEADLINE_MS, body);
    shared.history.record().tries.insert(id.clone(), tried);
    if rng.percent(1) {
        // Half a request, and then nothing.
        let _ = held.connection.write(&bytes[..bytes.len() / 2]).await;
        sleep(Duration::from_millis(rng.below(500))).await;
        shared.history.ended(&id, Ended::Left, 0);
        return None;
    }
    if held.connection.write(&bytes).await.is_err() {
        shared.history.ended(&id, Ended::NotSent, 0);
        return None;
    }
    if let Some(tried) = shared.history.record().tries.get_mut(&id) {
        tried.sent_at = shared.history.now();
    }
    if rng.percent(if shared.is_leaving() { 30 } else { 2 }) {
        sleep(Duration::from_millis(rng.below(60))).await;
        shared.history.ended(&id, Ended::Left, 0);
        return None;
    }
    let (ended, closes) = read_answer(shared, &mut held.connection, &id).await;
    shared.history.ended(&id, ended, 0);
    if closes { None } else { Some(held) }
}

/// Reads the answer and judges it. Tells whether the connection ends with it.
async fn read_answer(shared: &Arc<Shared>, connection: &mut Connection, id: &str) -> (Ended, bool) {
    let mut after_head = false;
    let whole = async {
        let head = connection.answer_head().await?;
        after_head = true;
        let body = connection.whole_body(&head).await?;
        Ok::<_, std::io::Error>((head, body))
    };
    let patience = Duration::from_millis(DEADLINE_MS + PATIENCE_MS);
    let (head, body) = match timeout(patience, whole).await {
        Err(_) => return (Ended::Silence, true),
        Ok(Err(_)) => return (Ended::Cut { after_head }, true),
        Ok(Ok(answer)) => answer,
    };
    let stamped = head.has("x-server-signature");
    if (200..300).contains(&head.status) {
        let right = shared.history.is_answer_to(id, &body);
        let own = head.header("x-request-id") == id;
        if !stamped || !own || !right {
            let details = format!("{id}: stamped {stamped}, own id {own}, {} bytes", body.len());
            shared.history.found("an answer of another request or not whole", details);
        }
    }
    (Ended::Status { status: head.status, stamped }, head.closes())
}
