//! Asks each relay, over and over, for the route that the newest acknowledged configuration brought.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::role::Role;
use tokio::time::sleep;

use super::Shared;
use super::operator::HOST;
use crate::history::RelayProbe;
use crate::http::{ask, request};
use crate::schedule::RELAYS;
use crate::troubles::Machine;

/// Between two probes of a relay.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// How long an answer may take.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_500);

/// Probes all relays until the load ends.
pub async fn run(shared: Arc<Shared>) {
    while shared.is_running() {
        for relay in 0..RELAYS {
            tokio::spawn(probe(Arc::clone(&shared), relay));
        }
        sleep(PROBE_EVERY).await;
    }
}

async fn probe(shared: Arc<Shared>, relay: usize) {
    let newest = {
        let record = shared.history.record();
        let acknowledged = record.orders.iter().filter(|order| order.acknowledged_at().is_some());
        acknowledged.map(|order| order.generation).max()
    };
    let Some(generation) = newest else { return };
    let machine = Machine { role: Role::Relay, number: relay };
    let (life, sent_at) = (shared.tier.life(machine), shared.history.now());
    let id = shared.name("v");
    let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1000")];
    let question = request("GET", &format!("/g{generation}/x"), &headers, b"");
    let answer = ask(shared.platform.frontend(relay), &question, ANSWER_WITHIN).await;
    // A probe that crosses a start of the process tells of no life for certain.
    if let Ok((head, _)) = answer
        && shared.tier.life(machine) == life
    {
        let probe = RelayProbe { relay, life, sent_at, generation, status: head.status };
        shared.history.record().probes.push(probe);
    }
}
