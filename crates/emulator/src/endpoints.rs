//! Simulated endpoints, which send heartbeats with increasing sequence numbers and then drain, terminate, or stop without
//! notice.

use std::net::SocketAddr;
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_node::clock;
use juniperwing_node::sync::watch;
use juniperwing_protocol::registry::InstanceState;
use juniperwing_random::Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::history::{Event, History};
use crate::http::Request;
use crate::operators::keeper_number;

/// The interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// The timeout of a request, after which another keeper is tried.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum time during which an endpoint retries an unacknowledged report of its draining or termination.
const MAX_TERMINATION_DURATION: Span = Span::from_millis(6_000);
/// How long an endpoint drains before it terminates.
const DRAINING_DURATION: Duration = Duration::from_millis(2_000);

/// An endpoint, which runs one incarnation after another.
struct Endpoint {
    number: u64,
    incarnation: u64,
    sequence: u64,
    /// The index of the keeper to use, which wraps around.
    keeper_index: usize,
    keepers: watch::Receiver<Vec<SocketAddr>>,
    history: History,
    rng: Rng,
}

/// Runs `count` endpoints.
pub async fn run(keepers: watch::Receiver<Vec<SocketAddr>>, history: History, seed: u64, count: u64) {
    let mut endpoints = JoinSet::new();
    for number in 0..count {
        let mut rng = Rng::for_purpose(seed, 2_000 + number);
        let keeper_index = rng.below(16) as usize;
        let (keepers, history) = (keepers.clone(), history.clone());
        let endpoint = Endpoint { number, incarnation: 0, sequence: 0, keeper_index, keepers, history, rng };
        endpoints.spawn(endpoint.run());
    }
    while endpoints.join_next().await.is_some() {}
}

impl Endpoint {
    async fn run(mut self) {
        sleep(Duration::from_millis(self.rng.below(1_500))).await;
        loop {
            let lifetime = Span::from_millis(self.rng.between(4_000, 25_000));
            let end = clock::now() + lifetime;
            while clock::now() < end {
                self.report(InstanceState::Ready).await;
                sleep(HEARTBEAT_INTERVAL).await;
            }
            match self.rng.below(4) {
                0 => {}
                1 => self.report_until_acknowledged(InstanceState::Terminated).await,
                _ => {
                    self.report_until_acknowledged(InstanceState::Draining).await;
                    sleep(DRAINING_DURATION).await;
                    self.report_until_acknowledged(InstanceState::Terminated).await;
                }
            }
            self.history.record(clock::now(), Event::EndpointStopped { id: self.id() });
            self.incarnation += 1;
            sleep(Duration::from_millis(self.rng.between(500, 3_000))).await;
        }
    }

    /// The identifier of this incarnation.
    fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.incarnation)
    }

    /// Reports a state until it is acknowledged or [`MAX_TERMINATION_DURATION`] has passed.
    async fn report_until_acknowledged(&mut self, state: InstanceState) {
        let deadline: Time = clock::now() + MAX_TERMINATION_DURATION;
        while clock::now() < deadline && !self.report(state).await {
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Reports a state once and returns whether it was acknowledged.
    async fn report(&mut self, state: InstanceState) -> bool {
        self.sequence += 1;
        let keepers = self.keepers.borrow().clone();
        let Some(address) = keepers.get(self.keeper_index % keepers.len().max(1)).copied() else {
            return false;
        };
        let response = self.request(state).send(address, RESPONSE_TIMEOUT).await;
        let id = self.id();
        let event = match &response {
            Some(response) => Event::HeartbeatReplied {
                id,
                state,
                status: response.status,
                keeper: keeper_number(&address),
            },
            None => Event::HeartbeatFailed { id, state },
        };
        self.history.record(clock::now(), event);
        let is_acknowledged = response.is_some_and(|response| response.status == 200);
        if !is_acknowledged {
            self.keeper_index += 1;
        }
        is_acknowledged
    }

    fn request(&self, state: InstanceState) -> Request {
        let (id, sequence) = (self.id(), self.sequence);
        if state == InstanceState::Terminated {
            return Request { target: format!("DELETE /instances/{id}"), body: Vec::new(), if_match: None };
        }
        let state = if state == InstanceState::Draining { "draining" } else { "ready" };
        // The next incarnation of an endpoint reuses its address, as on the operators' machines.
        let port = 9_000 + self.number;
        let body = format!(
            r#"{{"backend":"b","address":"10.9.0.1:{port}","zone":"a","generation":"v1","capacity":4,"state":"{state}","warmupRemainingMs":0,"sequence":{sequence}}}"#
        );
        Request { target: format!("PUT /instances/{id}"), body: body.into_bytes(), if_match: None }
    }
}
