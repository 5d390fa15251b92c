//! Client connections to a relay. Each sends one request after another and runs it as a relay does.

use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_node::clock;
use juniperwing_node::sessions_client::{SessionError, SessionsClient};
use juniperwing_random::Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::pool::ProgramPool;
use super::turn::{TurnRequest, decode_chain};
use crate::history::Event;

/// The number of connections to a relay.
const WORKER_COUNT: u64 = 4;
/// The maximum pause before a request, in milliseconds.
const MAX_PAUSE_MS: u64 = 600;
/// The maximum pause before a chunk of a response, in milliseconds.
const MAX_CHUNK_DELAY_MS: u64 = 60;
/// The number of chunks of a response.
const CHUNK_COUNT: u64 = 4;
/// How long the stores may take to begin a turn.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The time limit for storing a turn, for which the end of its response waits.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How the run of a turn at an endpoint ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// The response is complete, and the turn is stored.
    Stored,
    /// The response is complete; its route stores no turns.
    NotStored,
    /// The endpoint or the client disconnects before the end.
    BrokenOff,
}

/// A connection to a relay.
struct Worker {
    pool: ProgramPool,
    client: SessionsClient,
    relay: usize,
    rng: Rng,
}

/// Runs the client connections to a relay until it is killed.
pub async fn run_workers(pool: &ProgramPool, client: &SessionsClient, relay: usize, incarnation: Time) {
    let mut workers = JoinSet::new();
    for number in 0..WORKER_COUNT {
        let started = incarnation.since(Time::default()).as_nanos();
        let purpose = 50_000 + started + 100 * relay as u64 + number;
        let rng = Rng::for_purpose(pool.seed, purpose);
        let worker = Worker { pool: pool.clone(), client: client.clone(), relay, rng };
        workers.spawn(worker.run());
    }
    while workers.join_next().await.is_some() {}
}

impl Worker {
    async fn run(mut self) {
        loop {
            self.pause(MAX_PAUSE_MS).await;
            let request = self.pool.choose_request(clock::now(), &mut self.rng);
            self.send(request).await;
        }
    }

    async fn pause(&mut self, max_ms: u64) {
        sleep(Duration::from_millis(1 + self.rng.below(max_ms))).await;
    }

    fn record(&self, event: Event) {
        self.pool.record(clock::now(), event);
    }

    async fn send(&mut self, request: TurnRequest) {
        let requested_at = clock::now();
        self.record(Event::TurnRequested { request, relay: self.relay });
        match self.client.begin(request.begin_message(), BEGIN_TIMEOUT).await {
            Ok(begun) => {
                let chain = decode_chain(&begun.chain);
                self.record(Event::TurnBegun { turn: request.turn, chain });
                self.run_turn(&request).await;
            }
            Err(error) => self.handle_refusal(&request, &error, requested_at),
        }
    }

    fn handle_refusal(&mut self, request: &TurnRequest, error: &SessionError, requested_at: Time) {
        let status = match error {
            SessionError::BudgetExhausted => 402,
            SessionError::UnknownTurn => 404,
            SessionError::Unavailable { .. } => 503,
        };
        if status == 503 {
            let TurnRequest { turn, program, .. } = request;
            let line = format!("edge-{}: turn {turn} of program {program} not begun: {error}", self.relay);
            self.record(Event::Log(line));
        }
        if status == 503 && request.budget.is_some() {
            // As a relay does: commits no tokens, since the stores may hold a reservation.
            self.client.finish_in_background(request.commit_message(0));
        }
        self.record(Event::TurnRefused { turn: request.turn, status, requested_at });
        // After a 503 the commit above usually ends the turn; after a 402 the response must stay the same.
        if status == 402 || (status == 503 && self.rng.one_in(2)) {
            self.pool.add_refused(clock::now(), request);
        }
    }

    /// Runs a turn that has begun: the client receives the chunks of the response, and then its end.
    async fn run_turn(&mut self, request: &TurnRequest) {
        let ending = match self.rng.below(10) {
            0 => Ending::BrokenOff,
            1 => Ending::NotStored,
            _ => Ending::Stored,
        };
        let total = self.rng.below(request.max_tokens + 1);
        let chunks = if ending == Ending::BrokenOff { self.rng.below(CHUNK_COUNT) } else { CHUNK_COUNT };
        let mut sent = 0;
        for chunk in 1..=chunks {
            self.pause(MAX_CHUNK_DELAY_MS).await;
            let tokens = total * chunk / CHUNK_COUNT - sent;
            sent += tokens;
            self.record(Event::TokensSent { turn: request.turn, tokens });
        }
        self.finish_turn(request, ending, sent).await;
    }

    async fn finish_turn(&mut self, request: &TurnRequest, ending: Ending, tokens: u64) {
        let attempt = self.pool.next_attempt();
        match ending {
            Ending::Stored => match self
                .client
                .finish(request.store_message(tokens, attempt), STORE_TIMEOUT)
                .await
            {
                Ok(()) => {
                    self.record(Event::TurnAnswered { turn: request.turn, stored_attempt: Some(attempt) });
                    self.pool.add_answered(clock::now(), request);
                }
                Err(_) => {
                    if request.budget.is_some() {
                        self.client.finish_in_background(request.commit_message(tokens));
                    }
                    self.record(Event::TurnBrokenOff { turn: request.turn });
                }
            },
            Ending::NotStored | Ending::BrokenOff => {
                if request.budget.is_some() {
                    self.client.finish_in_background(request.commit_message(tokens));
                }
                let event = if ending == Ending::BrokenOff {
                    Event::TurnBrokenOff { turn: request.turn }
                } else {
                    Event::TurnAnswered { turn: request.turn, stored_attempt: None }
                };
                self.record(event);
            }
        }
    }
}
