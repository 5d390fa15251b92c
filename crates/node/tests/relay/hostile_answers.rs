//! Whatever endpoints answer and whenever clients leave, nothing reaches another caller, nothing broken looks
//! whole, and what may run once is sent once.

use std::collections::HashMap;
use std::env;
use std::sync::Arc;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use tokio::runtime::Builder;
use tokio::task::JoinSet;

use crate::hostile::client::{Outcome, play};
use crate::hostile::endpoint::{HostileEndpoint, Stage};
use crate::hostile::oracle::judge;
use crate::hostile::relay_thread::RelayThread;
use crate::hostile::script::{ClientPlan, RequestPlan, client_plans, request_id};
use crate::support::soon;

/// Cases for each seed.
const CASES: u32 = 40;
/// Cases tried to shorten one that fails.
const SHRINK_STEPS: u32 = 200;
/// The seeds that are always played. `HOSTILE_SEEDS=200` plays the first 200 instead.
const SEEDS: u8 = 3;

#[test]
fn no_answer_event_or_byte_reaches_another_caller_and_what_may_run_once_is_sent_once() {
    let seeds = env::var("HOSTILE_SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        let config = Config {
            cases: CASES,
            failure_persistence: None,
            max_shrink_iters: SHRINK_STEPS,
            ..Config::default()
        };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let played = TestRunner::new_with_rng(config, rng)
            .run(&client_plans(), |clients| play_case(clients).map_err(TestCaseError::fail));
        if let Err(error) = played {
            panic!("seed {seed}: {error}");
        }
        println!("seed {seed} is played");
    }
}

fn play_case(clients: Vec<ClientPlan>) -> Result<(), String> {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(soon(converse(clients)))
}

async fn converse(clients: Vec<ClientPlan>) -> Result<(), String> {
    let plans = by_id(&clients);
    let stage = Stage::new(plans.clone());
    let endpoints = [HostileEndpoint::start(&stage), HostileEndpoint::start(&stage)];
    let instances =
        endpoints.iter().enumerate().map(|(number, endpoint)| endpoint.instance(number)).collect();
    let relay = RelayThread::start(instances).await;
    let mut playing = JoinSet::new();
    for (number, client) in clients.into_iter().enumerate() {
        playing.spawn(play(number, client, relay.frontend, Arc::clone(&stage)));
    }
    let mut outcomes: Vec<Outcome> = Vec::new();
    while let Some(played) = playing.join_next().await {
        outcomes.extend(played.unwrap()?);
    }
    // Once the relay is gone, nothing more can come to the endpoints.
    relay.end();
    for endpoint in endpoints {
        endpoint.finish().await;
    }
    judge(&plans, &outcomes, &stage)
}

fn by_id(clients: &[ClientPlan]) -> HashMap<String, RequestPlan> {
    let numbered = clients.iter().enumerate();
    let requests = numbered.flat_map(|(client, plan)| {
        plan.requests
            .iter()
            .enumerate()
            .map(move |(request, plan)| (request_id(client, request), plan.clone()))
    });
    requests.collect()
}
