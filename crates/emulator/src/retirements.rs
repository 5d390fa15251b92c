//! A simulated operator that retires store machines: it submits each retirement until a keeper accepts it, and then polls
//! until the retirement is completed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::clock;
use juniperwing_node::sync::{lock, watch};
use tokio::time::sleep;

use crate::history::{Event, History};
use crate::http::{Request, Response};
use crate::scenario::ProcessId;

/// The interval at which the operator checks for new retirements and polls the state of the current one.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// The timeout of a request, after which another keeper is tried.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit of a retirement, as sent in the order, in seconds.
const TIME_LIMIT_S: u64 = 30;

/// Machines to retire, and those whose retirement is completed. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Retirements(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    requested: Vec<ProcessId>,
    completed: Vec<ProcessId>,
}

impl Retirements {
    /// Asks the operator to retire a machine.
    pub fn request(&self, store: ProcessId) {
        lock(&self.0).requested.push(store);
    }

    /// Returns the machines that may be removed, and clears their list.
    pub fn take_completed(&self) -> Vec<ProcessId> {
        std::mem::take(&mut lock(&self.0).completed)
    }

    fn next_requested(&self) -> Option<ProcessId> {
        let mut state = lock(&self.0);
        (!state.requested.is_empty()).then(|| state.requested.remove(0))
    }
}

/// Runs the operator.
pub async fn run(retirements: Retirements, keepers: watch::Receiver<Vec<SocketAddr>>, history: History) {
    loop {
        sleep(POLL_INTERVAL).await;
        if let Some(store) = retirements.next_requested() {
            let operator =
                RetiringOperator { keepers: keepers.clone(), history: history.clone(), request_count: 0 };
            if operator.retire(store).await {
                lock(&retirements.0).completed.push(store);
            }
        }
    }
}

/// The operator, during one retirement.
struct RetiringOperator {
    keepers: watch::Receiver<Vec<SocketAddr>>,
    history: History,
    /// The number of requests so far, which selects the keeper: each request goes to the next one.
    request_count: usize,
}

impl RetiringOperator {
    /// Retires a machine. Returns `true` when the retirement is completed, and `false` if it was refused.
    async fn retire(mut self, store: ProcessId) -> bool {
        let body = format!("{{\"durationS\":{TIME_LIMIT_S}}}").into_bytes();
        let order = Request { target: format!("POST /retire/{store}"), body, if_match: None };
        loop {
            match self.send_to_next_keeper(&order).await {
                Some(Response { status: 200..=299, .. }) => break,
                Some(Response { status, .. }) if (400..500).contains(&status) => {
                    self.history.record(clock::now(), Event::RetirementRefused { store, status });
                    return false;
                }
                _ => {}
            }
        }
        let query = Request { target: format!("GET /retire/{store}"), body: Vec::new(), if_match: None };
        loop {
            let reply = self.send_to_next_keeper(&query).await;
            if reply.is_some_and(|reply| reply.status == 200 && is_completed(&reply.body)) {
                self.history.record(clock::now(), Event::RetirementCompleted { store });
                return true;
            }
        }
    }

    /// Sends a request to the next keeper, after a pause.
    async fn send_to_next_keeper(&mut self, request: &Request) -> Option<Response> {
        sleep(POLL_INTERVAL).await;
        self.request_count += 1;
        let keeper = {
            let keepers = self.keepers.borrow();
            keepers.get(self.request_count % keepers.len().max(1)).copied()?
        };
        request.send(keeper, RESPONSE_TIMEOUT).await
    }
}

fn is_completed(body: &[u8]) -> bool {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    value.is_some_and(|value| value.get("state").and_then(|state| state.as_str()) == Some("completed"))
}
