//! Hollow programs: each begins and finishes turns at the stores; no model runs.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::link::{Link, LinkPool, Reply, Service};
use juniperwing_node::sessions_client::SessionsClient;
use juniperwing_protocol::session::{BeginTurn, FinishTurn, Turn};
use juniperwing_protocol::{Message, ProgramId, RequestId};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval_at, timeout};

use crate::load::Load;
use crate::relay::{CountingSink, subscribe};
use crate::report::Tally;

/// How long a turn may take to begin or to finish.
const WITHIN: Duration = Duration::from_secs(3);
/// Tokens of a program's budget: never spent here.
const BUDGET: u64 = 1 << 40;
/// The most that a turn reserves.
const MOST_TOKENS: u64 = 135;
/// For how long turns are kept, in milliseconds.
const RETENTION_MS: u64 = 60_000;
/// Bytes of a turn's answer.
const OUTPUT_BYTES: usize = 500;

/// The other ends of links to stores ask nothing.
struct Silent;

impl Service for Silent {
    fn message(&self, _: &Link, _: Message, _: Reply) {}
}

/// What all programs share.
#[derive(Clone)]
struct Shared {
    client: SessionsClient,
    begun: Arc<Tally>,
    finished: Arc<Tally>,
    input: Arc<[u8]>,
    output: Arc<[u8]>,
    depth: u64,
}

/// Runs the programs until the time is over.
pub async fn run(load: &Load) {
    let sink = Arc::new(CountingSink::new(Arc::new(Tally::new("updates"))));
    let stores = sink.stores();
    let _subscriptions = subscribe(0, load.keepers.clone(), sink);
    let shared = Shared {
        client: SessionsClient::new(Arc::new(LinkPool::new(Arc::new(Silent))), stores),
        begun: Arc::new(Tally::new("turns begun")),
        finished: Arc::new(Tally::new("turns finished")),
        input: vec![b'i'; load.turn_bytes as usize].into(),
        output: vec![b'o'; OUTPUT_BYTES].into(),
        depth: load.depth,
    };
    let until = Instant::now() + load.duration;
    let mut tasks = JoinSet::new();
    for number in 0..load.count {
        tasks.spawn(turns_until(until, number, load.clone(), shared.clone()));
    }
    eprintln!("{} programs for {} s", load.count, load.duration.as_secs());
    while tasks.join_next().await.is_some() {}
    shared.begun.print();
    shared.finished.print();
}

async fn turns_until(until: Instant, number: u64, load: Load, shared: Shared) {
    let open_loop = load.turns_per_s > 0.0;
    let period = if open_loop { load.count as f64 / load.turns_per_s } else { 1.0 };
    let offset = Duration::from_secs_f64(period * number as f64 / load.count as f64);
    let mut ticks = interval_at(Instant::now() + offset, Duration::from_secs_f64(period));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    for turn in 0.. {
        if open_loop && timeout(until.saturating_duration_since(Instant::now()), ticks.tick()).await.is_err()
        {
            return;
        }
        if Instant::now() >= until {
            return;
        }
        one_turn(number, turn, &shared).await;
    }
}

async fn one_turn(number: u64, turn: u64, shared: &Shared) {
    let program = ProgramId::from(format!("p-{number}-{}", turn / shared.depth).as_str());
    let name = |turn: u64| RequestId::from(format!("t-{number}-{turn}").as_str());
    let previous = (!turn.is_multiple_of(shared.depth)).then(|| name(turn - 1));
    let begin = BeginTurn {
        program: program.clone(),
        request: name(turn),
        previous: previous.clone(),
        budget: Some(BUDGET),
        most_tokens: MOST_TOKENS,
        imported: Vec::new(),
    };
    let started = Instant::now();
    match shared.client.begin(begin, WITHIN).await {
        Ok(begun) => {
            let bytes = begun.chain.iter().map(|kept| kept.input.len() + kept.output.len()).sum();
            shared.begun.done(started.elapsed(), bytes);
        }
        Err(_) => return shared.begun.failed(),
    }
    let kept = Turn {
        request: name(turn),
        previous,
        input: Arc::clone(&shared.input),
        output: Arc::clone(&shared.output),
        retention_ms: RETENTION_MS,
        endpoint: None,
    };
    let bytes = kept.input.len() + kept.output.len();
    let finish = FinishTurn { program, request: name(turn), tokens: MOST_TOKENS, kept: Some(kept) };
    let started = Instant::now();
    match shared.client.finish(finish, WITHIN).await {
        Ok(()) => shared.finished.done(started.elapsed(), bytes),
        Err(_) => shared.finished.failed(),
    }
}
