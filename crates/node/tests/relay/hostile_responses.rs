//! Whatever endpoints send and whenever clients disconnect, no bytes reach the wrong client, no broken response looks
//! complete, and non-idempotent requests are executed at most once.

use std::collections::BTreeMap;
use std::env;
use std::sync::Arc;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use tokio::runtime::Builder;
use tokio::task::JoinSet;

use crate::hostile::case_state::CaseState;
use crate::hostile::client::{Outcome, run};
use crate::hostile::endpoint::HostileEndpoint;
use crate::hostile::oracle::check_case;
use crate::hostile::relay_thread::RelayThread;
use crate::hostile::script::{ClientPlan, RequestPlan, client_plans, request_id};
use crate::hostile::violation::Violation;
use crate::support::with_timeout;

/// The number of test cases per seed.
const CASES: u32 = 40;
/// The maximum number of steps to shrink a failing test case.
const SHRINK_STEPS: u32 = 200;
/// The number of seeds that are always run. `HOSTILE_SEEDS=200` runs the first 200 instead.
const SEEDS: u8 = 3;

#[test]
fn responses_never_reach_other_clients_and_non_idempotent_requests_run_at_most_once() {
    let seeds = env::var("HOSTILE_SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        let config = Config {
            cases: CASES,
            failure_persistence: None,
            max_shrink_iters: SHRINK_STEPS,
            ..Config::default()
        };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let result = TestRunner::new_with_rng(config, rng).run(&client_plans(), |clients| {
            run_case(clients).map_err(|violation| TestCaseError::fail(violation.to_string()))
        });
        if let Err(error) = result {
            panic!("seed {seed}: {error}");
        }
        println!("seed {seed} passed");
    }
}

fn run_case(clients: Vec<ClientPlan>) -> Result<(), Violation> {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(with_timeout(run_clients(clients)))
}

async fn run_clients(clients: Vec<ClientPlan>) -> Result<(), Violation> {
    let plans = by_id(&clients);
    let case = CaseState::new(plans.clone());
    let endpoints = [HostileEndpoint::start(&case), HostileEndpoint::start(&case)];
    let instances =
        endpoints.iter().enumerate().map(|(number, endpoint)| endpoint.instance(number)).collect();
    let relay = RelayThread::start(instances).await;
    let mut clients_running = JoinSet::new();
    for (number, client) in clients.into_iter().enumerate() {
        clients_running.spawn(run(number, client, relay.frontend, Arc::clone(&case)));
    }
    let mut outcomes: Vec<Outcome> = Vec::new();
    while let Some(result) = clients_running.join_next().await {
        outcomes.extend(result.unwrap()?);
    }
    // After the relay has shut down, nothing more can reach the endpoints.
    relay.shut_down();
    for endpoint in endpoints {
        endpoint.finish().await;
    }
    check_case(&plans, &outcomes, &case)
}

fn by_id(clients: &[ClientPlan]) -> BTreeMap<String, RequestPlan> {
    let numbered = clients.iter().enumerate();
    let requests = numbered.flat_map(|(client, plan)| {
        plan.requests
            .iter()
            .enumerate()
            .map(move |(request, plan)| (request_id(client, request), plan.clone()))
    });
    requests.collect()
}
