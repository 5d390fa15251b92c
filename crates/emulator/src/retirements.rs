//! The operator who retires store machines: orders it until a keeper accepts, and waits until it is completed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::clock;
use juniperwing_node::sync::{lock, watch};
use tokio::time::sleep;

use crate::history::{Event, History};
use crate::http::{Request, Response};
use crate::scenario::ProcessId;

/// The interval at which the operator looks for new retirements, and asks for the state of one.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// The timeout of a request, after which another keeper is asked.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit that the order names, in seconds.
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

    /// Removes and returns the machines that may be taken away.
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
            let operator = RetiringOperator { keepers: keepers.clone(), history: history.clone(), asked: 0 };
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
    /// The number of requests so far: each goes to another keeper.
    asked: usize,
}

impl RetiringOperator {
    /// Retires a machine. Returns whether that is completed; otherwise it was refused.
    async fn retire(mut self, store: ProcessId) -> bool {
        let body = format!("{{\"durationS\":{TIME_LIMIT_S}}}").into_bytes();
        let order = Request { target: format!("POST /retire/{store}"), body, if_match: None };
        loop {
            match self.ask(&order).await {
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
            let reply = self.ask(&query).await;
            if reply.is_some_and(|reply| reply.status == 200 && is_completed(&reply.body)) {
                self.history.record(clock::now(), Event::RetirementCompleted { store });
                return true;
            }
        }
    }

    /// Sends a request to the next keeper, after a pause.
    async fn ask(&mut self, request: &Request) -> Option<Response> {
        sleep(POLL_INTERVAL).await;
        self.asked += 1;
        let keeper = {
            let keepers = self.keepers.borrow();
            keepers.get(self.asked % keepers.len().max(1)).copied()?
        };
        request.send(keeper, RESPONSE_TIMEOUT).await
    }
}

fn is_completed(body: &[u8]) -> bool {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    value.is_some_and(|value| value.get("state").and_then(|state| state.as_str()) == Some("completed"))
}
