//! Endpoints: heartbeats with rising sequence, drains, ends, and some that fall silent.

use std::net::SocketAddr;
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_node::clock;
use juniperwing_protocol::registry::InstanceState;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::history::{History, Seen};
use crate::http::Call;
use crate::operators::number_of;
use juniperwing_random::Rng;

/// From one heartbeat to the next.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// A caller moves on after this much silence.
const SILENCE: Duration = Duration::from_secs(1);
/// How long an endpoint tries to have its end acknowledged.
const END_WITHIN: Span = Span::from_millis(6_000);
/// How long it serves on after the acknowledgement.
const SERVE_ON: Duration = Duration::from_millis(2_000);

/// One endpoint, life after life.
struct Endpoint {
    number: u64,
    life: u64,
    sequence: u64,
    turn: usize,
    keepers: watch::Receiver<Vec<SocketAddr>>,
    history: History,
    rng: Rng,
}

/// Runs `count` endpoints.
pub async fn run(keepers: watch::Receiver<Vec<SocketAddr>>, history: History, seed: u64, count: u64) {
    let mut endpoints = JoinSet::new();
    for number in 0..count {
        let mut rng = Rng::for_purpose(seed, 2_000 + number);
        let turn = rng.below(16) as usize;
        let (keepers, history) = (keepers.clone(), history.clone());
        let endpoint = Endpoint { number, life: 0, sequence: 0, turn, keepers, history, rng };
        endpoints.spawn(endpoint.live());
    }
    while endpoints.join_next().await.is_some() {}
}

impl Endpoint {
    async fn live(mut self) {
        sleep(Duration::from_millis(self.rng.below(1_500))).await;
        loop {
            let lives_for = Span::from_millis(self.rng.between(4_000, 25_000));
            let until = clock::now() + lives_for;
            while clock::now() < until {
                self.say(InstanceState::Ready).await;
                sleep(HEARTBEAT).await;
            }
            match self.rng.below(4) {
                0 => {}
                1 => self.insist(InstanceState::Terminated).await,
                _ => {
                    self.insist(InstanceState::Draining).await;
                    sleep(SERVE_ON).await;
                    self.insist(InstanceState::Terminated).await;
                }
            }
            self.history.add(clock::now(), Seen::EndpointSilent { id: self.id() });
            self.life += 1;
            sleep(Duration::from_millis(self.rng.between(500, 3_000))).await;
        }
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.life)
    }

    /// Says it until it is acknowledged, for a while.
    async fn insist(&mut self, state: InstanceState) {
        let until: Time = clock::now() + END_WITHIN;
        while clock::now() < until && !self.say(state).await {
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Says it once; whether it was acknowledged.
    async fn say(&mut self, said: InstanceState) -> bool {
        self.sequence += 1;
        let keepers = self.keepers.borrow().clone();
        let Some(address) = keepers.get(self.turn % keepers.len().max(1)).copied() else { return false };
        let answer = self.call(said).make(address, SILENCE).await;
        let id = self.id();
        let seen = match &answer {
            Some(answer) => {
                Seen::BeatAnswered { id, said, status: answer.status, keeper: number_of(&address) }
            }
            None => Seen::BeatFailed { id, said },
        };
        self.history.add(clock::now(), seen);
        let acknowledged = answer.is_some_and(|answer| answer.status == 200);
        if !acknowledged {
            self.turn += 1;
        }
        acknowledged
    }

    fn call(&self, said: InstanceState) -> Call {
        let (id, sequence) = (self.id(), self.sequence);
        if said == InstanceState::Terminated {
            return Call { line: format!("DELETE /instances/{id}"), body: Vec::new(), base: None };
        }
        let state = if said == InstanceState::Draining { "draining" } else { "ready" };
        // Addresses are taken over by the next life of the same endpoint, as on the operators' machines.
        let port = 9_000 + self.number;
        let body = format!(
            r#"{{"backend":"b","address":"10.9.0.1:{port}","zone":"a","generation":"v1","capacity":4,"state":"{state}","warmupRemainingMs":0,"sequence":{sequence}}}"#
        );
        Call { line: format!("PUT /instances/{id}"), body: body.into_bytes(), base: None }
    }
}
