//! Probes each relay for the route that the newest acknowledged configuration added.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::role::Role;
use tokio::time::sleep;

use super::Shared;
use super::operator::HOST;
use crate::faults::Machine;
use crate::history::RelayProbe;
use crate::http::{encode_request, exchange};
use crate::schedule::RELAY_COUNT;

/// Interval between two probes of a relay.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a probe.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Probes all relays until the load ends.
pub async fn run(shared: Arc<Shared>) {
    while shared.is_running() {
        for relay in 0..RELAY_COUNT {
            tokio::spawn(probe(Arc::clone(&shared), relay));
        }
        sleep(PROBE_INTERVAL).await;
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
    let (incarnation, sent_at) = (shared.tier.incarnation(machine), shared.history.now());
    let id = shared.unique_name("v");
    let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1000")];
    let request = encode_request("GET", &format!("/g{generation}/x"), &headers, b"");
    let response = exchange(shared.load_balancer.frontend(relay), &request, RESPONSE_TIMEOUT).await;
    // A probe that overlaps a restart cannot be attributed to one incarnation.
    if let Ok((head, _)) = response
        && shared.tier.incarnation(machine) == incarnation
    {
        let probe = RelayProbe { relay, incarnation, sent_at, generation, status: head.status };
        shared.history.record().probes.push(probe);
    }
}
