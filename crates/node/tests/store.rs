//! Stores on loopback: turns begin, are settled and kept, and outlast the loss of a store.

mod stores;

use std::future::pending;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::sessions_client::{BegunTurn, CommitUncertain, SessionError};
use juniperwing_node::store::run_until;
use juniperwing_protocol::session::{BeginTurn, FinishTurn, Turn};
use juniperwing_protocol::{ProgramId, RequestId};
use juniperwing_storage::SegmentLog;
use slog::{Discard, Logger, o};
use stores::{COUNT, Stores, WITHIN};

/// How long a call may take that is known to end without success.
const SHORTLY: Duration = Duration::from_millis(300);
/// Segments that may be open when a folder loses its name: one, and another if a slow call was made twice.
const MOST_OPEN_SEGMENTS: usize = 4;

fn begin(program: &str, request: &str, previous: Option<&str>, budget: Option<u64>) -> BeginTurn {
    BeginTurn {
        program: ProgramId::from(program),
        request: RequestId::from(request),
        previous: previous.map(RequestId::from),
        budget,
        max_tokens: 40,
        imported: Vec::new(),
    }
}

fn turn(request: &str, previous: Option<&str>) -> Turn {
    Turn {
        request: RequestId::from(request),
        previous: previous.map(RequestId::from),
        input: Arc::from(format!("in {request}").into_bytes()),
        output: Arc::from(format!("out {request}\n").into_bytes()),
        retention_ms: 60_000,
        endpoint: Some("i-1".into()),
    }
}

fn keep(program: &str, request: &str, previous: Option<&str>) -> FinishTurn {
    FinishTurn {
        program: ProgramId::from(program),
        request: RequestId::from(request),
        tokens: 10,
        stored_turn: Some(turn(request, previous)),
    }
}

/// The end of a turn that fills a segment.
fn filling(number: usize) -> FinishTurn {
    let mut filling = keep("p", &format!("filling-{number}"), Some("t2"));
    filling.stored_turn.as_mut().unwrap().output = Arc::from(vec![b'x'; 1 << 20]);
    filling
}

async fn keep_two(stores: &Stores) {
    for (request, previous) in [("t1", None), ("t2", Some("t1"))] {
        stores.client.begin(begin("p", request, previous, Some(1_000)), WITHIN).await.unwrap();
        stores.client.finish(keep("p", request, previous), WITHIN).await.unwrap();
    }
}

fn two() -> BegunTurn {
    BegunTurn { chain: vec![turn("t1", None), turn("t2", Some("t1"))] }
}

#[tokio::test]
async fn a_chain_is_kept_and_another_program_may_go_on_from_it() {
    let stores = Stores::start("chain").await;
    keep_two(&stores).await;
    let next = stores.client.begin(begin("p", "t3", Some("t2"), Some(1_000)), WITHIN).await;
    assert_eq!(next, Ok(two()));
    // Of these some are in other partitions than the first program.
    for number in 0..8 {
        let program = format!("other-{number}");
        let next = stores.client.begin(begin(&program, &program, Some("t2"), None), WITHIN).await;
        assert_eq!(next, Ok(two()));
    }
    let unknown = stores.client.begin(begin("p", "t4", Some("nobody"), None), WITHIN).await;
    assert_eq!(unknown, Err(SessionError::UnknownTurn));
}

#[tokio::test]
async fn the_budget_is_spent_until_turns_are_settled() {
    let stores = Stores::start("budget").await;
    for request in ["a", "b"] {
        stores.client.begin(begin("p", request, None, Some(100)), WITHIN).await.unwrap();
    }
    let third = || stores.client.begin(begin("p", "c", None, Some(100)), WITHIN);
    assert_eq!(third().await, Err(SessionError::BudgetExhausted));
    let settled = FinishTurn { stored_turn: None, ..keep("p", "a", None) };
    stores.client.finish_in_background(settled);
    assert_eq!(stores.client.lost_commits(), 0);
    let begun = async {
        while third().await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(WITHIN, begun).await.expect("the turn is settled");
}

#[tokio::test]
async fn what_was_kept_outlasts_a_store_and_fills_it_when_it_is_back() {
    let mut stores = Stores::start("failover").await;
    keep_two(&stores).await;
    let disks = stores.keeper.subscribed(COUNT).await;
    stores.running[0].take().unwrap().kill();
    let left = stores.keeper.subscribed(COUNT - 1).await;
    stores.assign(&left, &[]);
    let next = stores.client.begin(begin("p", "t3", Some("t2"), Some(1_000)), WITHIN).await;
    assert_eq!(next, Ok(two()));
    stores.client.finish(keep("p", "t3", Some("t2")), WITHIN).await.unwrap();
    // An empty disk: the store comes back as another one.
    std::fs::remove_dir_all(stores.data(0)).unwrap();
    stores.restart(0);
    let now = stores.keeper.subscribed(COUNT).await;
    let empty = *now.iter().find(|disk| !disks.contains(disk)).expect("another identity");
    let epoch = stores.assign(&left[..1], &[left[1], empty]);
    let all: Vec<u16> = (0..8).collect();
    stores.keeper.caught_up(empty, epoch, &all).await;
    // Now the one that was filled leads, together with one of the others.
    stores.assign(&[empty, left[1]], &[]);
    let chain = [two().chain, vec![turn("t3", Some("t2"))]].concat();
    let next = stores.client.begin(begin("p", "t4", Some("t3"), Some(1_000)), WITHIN).await;
    assert_eq!(next, Ok(BegunTurn { chain }));
}

fn is_unavailable(begun: &Result<BegunTurn, SessionError>) -> bool {
    matches!(begun, Err(SessionError::Unavailable { .. }))
}

#[tokio::test]
async fn stores_that_are_all_killed_come_back_with_what_they_had() {
    let mut stores = Stores::start("restart").await;
    keep_two(&stores).await;
    for number in 0..COUNT {
        stores.running[number].take().unwrap().kill();
    }
    let nobody = stores.client.begin(begin("p", "t3", Some("t2"), None), SHORTLY).await;
    assert!(is_unavailable(&nobody), "{nobody:?}");
    (0..COUNT).for_each(|number| stores.restart(number));
    let next = stores.client.begin(begin("p", "t3", Some("t2"), None), WITHIN).await;
    assert_eq!(next, Ok(two()));
}

#[tokio::test]
async fn with_a_replica_missing_nothing_is_certain() {
    let mut stores = Stores::start("missing").await;
    keep_two(&stores).await;
    stores.running[2].take().unwrap().stop();
    let finished = stores.client.finish(keep("p", "t3", Some("t2")), SHORTLY).await;
    assert!(matches!(finished, Err(CommitUncertain { .. })), "{finished:?}");
    let unknown = stores.client.begin(begin("p", "t4", Some("nobody"), None), SHORTLY).await;
    assert!(is_unavailable(&unknown), "{unknown:?}");
    // As soon as the keepers have taken it out, all is.
    let left = stores.keeper.subscribed(COUNT - 1).await;
    stores.assign(&left, &[]);
    assert_eq!(stores.client.finish(keep("p", "t3", Some("t2")), WITHIN).await, Ok(()));
    let unknown = stores.client.begin(begin("p", "t4", Some("nobody"), None), WITHIN).await;
    assert_eq!(unknown, Err(SessionError::UnknownTurn));
}

#[tokio::test]
async fn a_store_whose_disk_fails_leaves_the_keepers_until_the_disk_is_back() {
    let stores = Stores::start("disk").await;
    keep_two(&stores).await;
    let batches = stores.data(0).join("sessions");
    let aside = stores.data(0).join("aside");
    std::fs::rename(&batches, &aside).unwrap();
    // An open segment outlives the name of its folder. A turn that fills it has the next batch open another.
    let mut filled = 0;
    while stores.client.finish(filling(filled), SHORTLY).await == Ok(()) {
        filled += 1;
        assert!(filled < MOST_OPEN_SEGMENTS, "the disk takes everything");
    }
    let finished = stores.client.finish(keep("p", "t3", Some("t2")), SHORTLY).await;
    assert!(matches!(finished, Err(CommitUncertain { .. })), "{finished:?}");
    stores.keeper.subscribed(COUNT - 1).await;
    std::fs::rename(&aside, &batches).unwrap();
    stores.keeper.subscribed(COUNT).await;
    assert_eq!(stores.client.finish(keep("p", "t3", Some("t2")), WITHIN).await, Ok(()));
}

/// What a batch holds must not be taken for nothing: others count on this disk.
#[tokio::test]
async fn a_store_with_a_batch_of_another_release_does_not_start() {
    let mut stores = Stores::start("other-release").await;
    keep_two(&stores).await;
    stores.running[0].take().unwrap().kill();
    let (mut segments, before) = SegmentLog::open(stores.data(0).join("sessions")).unwrap();
    segments.append(&[0xff; 40]).unwrap();
    let settings = stores.settings(0);
    let started = run_until(&settings, Logger::root(Discard, o!()), pending());
    let refused = tokio::time::timeout(Duration::from_secs(5), started).await;
    let Ok(Err(error)) = refused else { panic!("it has started") };
    assert!(error.to_string().contains("release"), "{error}");
    let (_, after) = SegmentLog::open(stores.data(0).join("sessions")).unwrap();
    assert_eq!(after.len(), before.len() + 1, "nothing is lost");
}

/// A disk that answers nothing gives no event: opening a pipe that nobody reads blocks like it.
#[tokio::test]
async fn a_store_whose_disk_answers_nothing_leaves_the_keepers_until_it_does() {
    let stores = Stores::start("stalled").await;
    keep_two(&stores).await;
    let pipe = Pipe::make(stores.next_segment(0));
    let mut filled = 0;
    while stores.client.finish(filling(filled), SHORTLY).await == Ok(()) {
        filled += 1;
        assert!(filled < MOST_OPEN_SEGMENTS, "the disk takes everything");
    }
    let left = stores.keeper.subscribed(COUNT - 1).await;
    stores.assign(&left, &[]);
    assert_eq!(stores.client.finish(keep("p", "t3", Some("t2")), WITHIN).await, Ok(()));
    // The pipe is read, and refuses to be synced: the next batch goes into a segment of its own.
    drop(pipe);
    stores.keeper.subscribed(COUNT).await;
}

/// A pipe in the place of a file. It is read when this is dropped, also by a test that fails.
struct Pipe(PathBuf);

impl Pipe {
    fn make(path: PathBuf) -> Pipe {
        let made = std::process::Command::new("mkfifo").arg(&path).status().unwrap();
        assert!(made.success());
        Pipe(path)
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        let path = self.0.clone();
        // Blocks until whoever writes has opened it.
        std::thread::spawn(move || std::fs::read(path));
    }
}

// Guard: reservations and settled turns are records on disk like any other, kept turn or not.
#[tokio::test]
async fn a_spent_budget_stays_spent_through_the_loss_of_all_stores() {
    let mut stores = Stores::start("spent").await;
    stores.client.begin(begin("p", "settled", None, Some(100)), WITHIN).await.unwrap();
    let settled = FinishTurn { stored_turn: None, tokens: 40, ..keep("p", "settled", None) };
    stores.client.finish(settled, WITHIN).await.unwrap();
    // BegunTurn and never settled: it counts at its most.
    stores.client.begin(begin("p", "open", None, Some(100)), WITHIN).await.unwrap();
    let next = |request: &str| begin("p", request, None, Some(100));
    assert_eq!(stores.client.begin(next("before"), WITHIN).await, Err(SessionError::BudgetExhausted));
    for number in 0..COUNT {
        stores.running[number].take().unwrap().kill();
    }
    let meanwhile = stores.client.begin(next("meanwhile"), SHORTLY).await;
    assert!(is_unavailable(&meanwhile), "{meanwhile:?}");
    (0..COUNT).for_each(|number| stores.restart(number));
    // A program that loops asks again and again.
    for request in ["after", "again", "before"] {
        assert_eq!(stores.client.begin(next(request), WITHIN).await, Err(SessionError::BudgetExhausted));
    }
    let other = stores.client.begin(begin("q", "first", None, Some(100)), WITHIN).await;
    assert_eq!(other, Ok(BegunTurn::default()));
}

// Guard: what a turn needs is at the stores, not at the relay that served the turn before.
#[tokio::test]
async fn a_line_of_turns_goes_on_through_another_relay_at_every_turn() {
    let stores = Stores::start("zones").await;
    let relays = [stores.client.clone(), stores.another_client()];
    let mut before: Vec<Turn> = Vec::new();
    for number in 0..6 {
        let (relay, request) = (&relays[number % 2], format!("t{number}"));
        let previous = before.last().map(|turn| turn.request.clone());
        let previous = previous.as_ref().map(|previous| &*previous.0);
        let begun = relay.begin(begin("p", &request, previous, Some(80)), WITHIN).await;
        if number == 5 {
            // Five turns of 10 tokens and the most of a sixth are more than the budget, through either relay.
            assert_eq!(begun, Err(SessionError::BudgetExhausted));
            continue;
        }
        assert_eq!(begun, Ok(BegunTurn { chain: before.clone() }));
        relay.finish(keep("p", &request, previous), WITHIN).await.unwrap();
        before.push(turn(&request, previous));
    }
}

#[tokio::test]
async fn the_only_holder_fills_another_store_before_it_ends() {
    // Guard: `stop` waits while `is_filling_second_replica`.
    let mut stores = Stores::start("handover").await;
    keep_two(&stores).await;
    stores.running[2].take().unwrap().kill();
    let two_left = stores.keeper.subscribed(2).await;
    stores.running[1].take().unwrap().kill();
    let only = stores.keeper.subscribed(1).await[0];
    let other = *two_left.iter().find(|disk| **disk != only).unwrap();
    let epoch = stores.assign(&[only], &[other]);
    stores.keeper.applied(epoch).await;
    let holder = stores.running[0].take().unwrap();
    let stopping = tokio::task::spawn_blocking(move || holder.stop());
    stores.restart(1);
    stores.keeper.subscribed(2).await;
    let epoch = stores.assign(&[only], &[other]);
    let all: Vec<u16> = (0..8).collect();
    stores.keeper.caught_up(other, epoch, &all).await;
    stores.assign(&[only, other], &[]);
    tokio::time::timeout(WITHIN, stopping).await.expect("it ends").unwrap();
    stores.assign(&[other], &[]);
}
