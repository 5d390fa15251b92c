//! Stores on loopback addresses: turns begin, are committed and stored, and survive the loss of a store.

mod loopback;
mod stores;

use std::future::pending;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::link::LinkPool;
use juniperwing_node::sessions_client::{BegunTurn, CallUnconfirmed, SessionError, SessionsClient};
use juniperwing_node::store::run_until;
use juniperwing_node::sync::watch;
use juniperwing_protocol::session::{FinishTurn, MAX_TURN_LEASE_MS, RenewTurn, Turn, TurnLease};
use juniperwing_protocol::{ProgramId, RequestId};
use juniperwing_storage::SegmentLog;
use slog::{Discard, Logger, o};
use stores::{STORE_COUNT, TEST_TIMEOUT, TestCluster, TestKeeper, begin, turn};
use tokio::time::Instant;

/// The timeout of calls that are expected to fail.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longer than a relay commits turns without a break.
const LONG_OUTAGE: Duration = Duration::from_secs(12);
/// The maximum number of segments that may be open when the directory is renamed, with some slack. One is open, and a
/// second one if a slow call was retried.
const MAX_OPEN_SEGMENTS: usize = 4;

fn finish_stored(program: &str, request: &str, previous: Option<&str>) -> FinishTurn {
    FinishTurn {
        program: ProgramId::from(program),
        request: RequestId::from(request),
        tokens: 10,
        stored_turn: Some(turn(request, previous)),
        retention_ms: 60_000,
    }
}

/// A commit of a turn that is large enough to fill a segment.
fn segment_filling_turn(number: usize) -> FinishTurn {
    let mut finish = finish_stored("p", &format!("filling-{number}"), Some("t2"));
    finish.stored_turn.as_mut().unwrap().output = Arc::from(vec![b'x'; 1 << 20]);
    finish
}

/// Fills enough segments to reach the disk fault, whichever segment is open. All turns are sent, since on a busy
/// machine one of them may time out although the disk still works.
async fn fill_segments_of_failing_disk(cluster: &TestCluster) {
    let mut has_failed = false;
    for number in 0..MAX_OPEN_SEGMENTS {
        has_failed |= cluster.client.finish(segment_filling_turn(number), SHORT_TIMEOUT).await != Ok(());
    }
    assert!(has_failed, "no commit failed on the failing disk");
}

async fn store_two_turns(cluster: &TestCluster) {
    for (request, previous) in [("t1", None), ("t2", Some("t1"))] {
        cluster.client.begin(begin("p", request, previous, Some(1_000)), TEST_TIMEOUT).await.unwrap();
        cluster.client.finish(finish_stored("p", request, previous), TEST_TIMEOUT).await.unwrap();
    }
}

fn begun_with_two_turns() -> BegunTurn {
    BegunTurn { chain: vec![turn("t1", None), turn("t2", Some("t1"))] }
}

#[tokio::test]
async fn a_chain_is_stored_and_another_program_may_continue_it() {
    let cluster = TestCluster::start("chain").await;
    store_two_turns(&cluster).await;
    let next = cluster.client.begin(begin("p", "t3", Some("t2"), Some(1_000)), TEST_TIMEOUT).await;
    assert_eq!(next, Ok(begun_with_two_turns()));
    // Some of these programs are in other partitions than the first one.
    for number in 0..8 {
        let program = format!("other-{number}");
        let next = cluster.client.begin(begin(&program, &program, Some("t2"), None), TEST_TIMEOUT).await;
        assert_eq!(next, Ok(begun_with_two_turns()));
    }
    let unknown = cluster.client.begin(begin("p", "t4", Some("unknown"), None), TEST_TIMEOUT).await;
    assert_eq!(unknown, Err(SessionError::UnknownTurn));
}

#[tokio::test]
async fn the_budget_is_exhausted_until_turns_are_committed() {
    let cluster = TestCluster::start("budget").await;
    for request in ["a", "b"] {
        cluster.client.begin(begin("p", request, None, Some(100)), TEST_TIMEOUT).await.unwrap();
    }
    let next = |request: String| {
        let client = cluster.client.clone();
        async move { client.begin(begin("p", &request, None, Some(100)), TEST_TIMEOUT).await }
    };
    assert_eq!(next("denied".to_owned()).await, Err(SessionError::BudgetExhausted));
    let committed = FinishTurn { stored_turn: None, ..finish_stored("p", "a", None) };
    cluster.client.finish_in_background(committed);
    assert_eq!(cluster.client.failed_commits(), 0);
    let begun = async {
        let mut number = 0;
        while next(format!("c-{number}")).await.is_err() {
            number += 1;
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, begun).await.expect("the turn is committed");
    assert_eq!(
        next("denied".to_owned()).await,
        Err(SessionError::BudgetExhausted),
        "a denied turn stays denied"
    );
}

// Guards against a budget that stays spent by a reservation, since the stores were gone when its turn was committed.
#[tokio::test]
async fn a_turn_that_ended_while_all_stores_were_gone_for_long_is_committed_when_they_are_back() {
    let mut cluster = TestCluster::start("late-commit").await;
    for request in ["a", "b"] {
        cluster.client.begin(begin("p", request, None, Some(100)), TEST_TIMEOUT).await.unwrap();
    }
    for number in 0..STORE_COUNT {
        cluster.running[number].take().unwrap().kill();
    }
    let committed = FinishTurn { stored_turn: None, ..finish_stored("p", "a", None) };
    cluster.client.finish_in_background(committed);
    tokio::time::sleep(LONG_OUTAGE).await;
    (0..STORE_COUNT).for_each(|number| cluster.restart(number));
    let all_committed = cluster.client.wait_for_background_commits();
    tokio::time::timeout(TEST_TIMEOUT, all_committed).await.expect("the turn is committed");
    assert_eq!(cluster.client.failed_commits(), 0);
    cluster
        .client
        .begin(begin("p", "c", None, Some(100)), TEST_TIMEOUT)
        .await
        .expect("40 and 10 of 100 are used");
}

/// Whether the stores count tokens against the budget of 100 of the program `p`, which has no turn but the one named here.
async fn are_tokens_reserved(cluster: &TestCluster, request: &str) -> bool {
    let begun = cluster.client.begin(begin("p", request, None, Some(100)), TEST_TIMEOUT).await;
    if begun.is_ok() {
        let finish = FinishTurn { tokens: 0, stored_turn: None, ..finish_stored("p", request, None) };
        cluster.client.finish(finish, TEST_TIMEOUT).await.unwrap();
    }
    begun == Err(SessionError::BudgetExhausted)
}

fn renewal_of_long_turn() -> RenewTurn {
    RenewTurn {
        program: ProgramId::from("p"),
        request: RequestId::from("long"),
        previous: None,
        reserved_tokens: Some(90),
        lease: TurnLease::default(),
    }
}

// Guards against a relay that renews no leases: the stores would forget programs while their turns run (review/6).
#[tokio::test]
async fn a_lease_is_renewed_at_the_stores_before_it_ends() {
    let cluster = TestCluster::start("renewal").await;
    let lease = Duration::from_millis(MAX_TURN_LEASE_MS);
    let ends_at = Instant::now() + lease;
    // The stores do not know the turn before its first renewal.
    let _renewal = cluster.client.renew_in_background(renewal_of_long_turn(), ends_at + lease);
    assert!(!are_tokens_reserved(&cluster, "first").await, "nothing is reserved before the first renewal");
    let mut number = 0;
    while !are_tokens_reserved(&cluster, &format!("next-{number}")).await {
        number += 1;
        tokio::time::sleep(SHORT_TIMEOUT).await;
        assert!(Instant::now() < ends_at, "the lease has ended");
    }
}

// Guards against an outage of the stores that leaves no trace while turns run. In virtual time, since no store is called.
#[tokio::test(start_paused = true)]
async fn renewals_that_the_stores_do_not_confirm_are_counted() {
    let pool = Arc::new(LinkPool::new(Arc::new(TestKeeper::default())));
    // The map names no store.
    let (_map, maps) = watch::channel(Arc::default());
    let client = SessionsClient::new(pool, maps);
    let interval = Duration::from_millis(MAX_TURN_LEASE_MS / 2);
    let _renewal = client.renew_in_background(renewal_of_long_turn(), Instant::now() + 5 * interval);
    tokio::time::sleep(interval).await;
    assert_eq!(client.failed_renewals(), 0);
    tokio::time::sleep(2 * interval).await;
    assert!((1..=2).contains(&client.failed_renewals()), "{}", client.failed_renewals());
}

#[tokio::test]
async fn stored_turns_survive_the_loss_of_a_store_and_are_copied_to_its_replacement() {
    let mut cluster = TestCluster::start("failover").await;
    store_two_turns(&cluster).await;
    let disks = cluster.keeper.wait_for_stores(STORE_COUNT).await;
    cluster.running[0].take().unwrap().kill();
    let remaining = cluster.keeper.wait_for_stores(STORE_COUNT - 1).await;
    cluster.assign(&remaining, &[]);
    let next = cluster.client.begin(begin("p", "t3", Some("t2"), Some(1_000)), TEST_TIMEOUT).await;
    assert_eq!(next, Ok(begun_with_two_turns()));
    cluster.client.finish(finish_stored("p", "t3", Some("t2")), TEST_TIMEOUT).await.unwrap();
    // With an empty disk the store returns with a new identity.
    std::fs::remove_dir_all(cluster.data_directory(0)).unwrap();
    cluster.restart(0);
    let current = cluster.keeper.wait_for_stores(STORE_COUNT).await;
    let empty = *current.iter().find(|disk| !disks.contains(disk)).expect("another identity");
    let epoch = cluster.assign(&remaining[..1], &[remaining[1], empty]);
    let all: Vec<u16> = (0..8).collect();
    cluster.keeper.wait_until_caught_up(empty, epoch, &all).await;
    // The synchronized store and one of the others now lead the partitions.
    cluster.assign(&[empty, remaining[1]], &[]);
    let chain = [begun_with_two_turns().chain, vec![turn("t3", Some("t2"))]].concat();
    let next = cluster.client.begin(begin("p", "t4", Some("t3"), Some(1_000)), TEST_TIMEOUT).await;
    assert_eq!(next, Ok(BegunTurn { chain }));
}

fn is_unavailable(begun: &Result<BegunTurn, SessionError>) -> bool {
    matches!(begun, Err(SessionError::Unavailable { .. }))
}

#[tokio::test]
async fn after_all_stores_were_killed_they_recover_their_turns() {
    let mut cluster = TestCluster::start("restart").await;
    store_two_turns(&cluster).await;
    for number in 0..STORE_COUNT {
        cluster.running[number].take().unwrap().kill();
    }
    let unavailable = cluster.client.begin(begin("p", "t3", Some("t2"), None), SHORT_TIMEOUT).await;
    assert!(is_unavailable(&unavailable), "{unavailable:?}");
    (0..STORE_COUNT).for_each(|number| cluster.restart(number));
    let next = cluster.client.begin(begin("p", "t3", Some("t2"), None), TEST_TIMEOUT).await;
    assert_eq!(next, Ok(begun_with_two_turns()));
}

#[tokio::test]
async fn without_an_in_sync_replica_no_reply_is_definite() {
    let mut cluster = TestCluster::start("missing").await;
    store_two_turns(&cluster).await;
    cluster.running[2].take().unwrap().stop();
    let finished = cluster.client.finish(finish_stored("p", "t3", Some("t2")), SHORT_TIMEOUT).await;
    assert!(matches!(finished, Err(CallUnconfirmed { .. })), "{finished:?}");
    let unknown = cluster.client.begin(begin("p", "t4", Some("unknown"), None), SHORT_TIMEOUT).await;
    assert!(is_unavailable(&unknown), "{unknown:?}");
    // Once the keepers have removed the replica from the in-sync set, replies are definite again.
    let remaining = cluster.keeper.wait_for_stores(STORE_COUNT - 1).await;
    cluster.assign(&remaining, &[]);
    assert_eq!(cluster.client.finish(finish_stored("p", "t3", Some("t2")), TEST_TIMEOUT).await, Ok(()));
    let unknown = cluster.client.begin(begin("p", "t4", Some("unknown"), None), TEST_TIMEOUT).await;
    assert_eq!(unknown, Err(SessionError::UnknownTurn));
}

#[tokio::test]
async fn a_store_whose_disk_fails_suspends_its_subscriptions_until_the_disk_recovers() {
    let cluster = TestCluster::start("disk").await;
    store_two_turns(&cluster).await;
    let batches = cluster.data_directory(0).join("sessions");
    let renamed = cluster.data_directory(0).join("aside");
    std::fs::rename(&batches, &renamed).unwrap();
    // An open segment stays writable after the rename. A turn that fills it makes the next batch open another.
    fill_segments_of_failing_disk(&cluster).await;
    let finished = cluster.client.finish(finish_stored("p", "t3", Some("t2")), SHORT_TIMEOUT).await;
    assert!(matches!(finished, Err(CallUnconfirmed { .. })), "{finished:?}");
    cluster.keeper.wait_for_stores(STORE_COUNT - 1).await;
    std::fs::rename(&renamed, &batches).unwrap();
    cluster.keeper.wait_for_stores(STORE_COUNT).await;
    assert_eq!(cluster.client.finish(finish_stored("p", "t3", Some("t2")), TEST_TIMEOUT).await, Ok(()));
}

/// An unreadable batch must not be skipped, since other stores rely on this replica.
#[tokio::test]
async fn a_store_with_a_batch_of_another_release_does_not_start() {
    let mut cluster = TestCluster::start("other-release").await;
    store_two_turns(&cluster).await;
    cluster.running[0].take().unwrap().kill();
    let (mut segments, before) = SegmentLog::open(cluster.data_directory(0).join("sessions")).unwrap();
    segments.append(&[0xff; 40]).unwrap();
    let settings = cluster.settings(0);
    let started = run_until(&settings, Logger::root(Discard, o!()), pending());
    let result = tokio::time::timeout(Duration::from_secs(5), started).await;
    let Ok(Err(error)) = result else { panic!("the store started or hung instead of failing") };
    assert!(error.to_string().contains("release"), "{error}");
    let (_, after) = SegmentLog::open(cluster.data_directory(0).join("sessions")).unwrap();
    assert_eq!(after.len(), before.len() + 1, "the existing batches and the invalid one are still on disk");
}

/// A stalled disk produces no event. It is simulated by a named pipe without a reader, whose opening blocks.
#[tokio::test]
async fn a_store_whose_disk_stalls_suspends_its_subscriptions_until_it_resumes() {
    let cluster = TestCluster::start("stalled").await;
    store_two_turns(&cluster).await;
    let pipe = BlockingPipe::create(cluster.next_segment_path(0));
    fill_segments_of_failing_disk(&cluster).await;
    let remaining = cluster.keeper.wait_for_stores(STORE_COUNT - 1).await;
    cluster.assign(&remaining, &[]);
    assert_eq!(cluster.client.finish(finish_stored("p", "t3", Some("t2")), TEST_TIMEOUT).await, Ok(()));
    // The pipe is read and cannot be synced, so the next batch is written to a new segment.
    drop(pipe);
    cluster.keeper.wait_for_stores(STORE_COUNT).await;
}

/// A named pipe in place of a file. Dropping it unblocks the writer by reading the pipe, even if the test fails.
struct BlockingPipe(PathBuf);

impl BlockingPipe {
    fn create(path: PathBuf) -> BlockingPipe {
        let status = std::process::Command::new("mkfifo").arg(&path).status().unwrap();
        assert!(status.success());
        BlockingPipe(path)
    }
}

impl Drop for BlockingPipe {
    fn drop(&mut self) {
        let path = self.0.clone();
        // Blocks until the writer has opened the pipe, so it runs on a separate thread.
        std::thread::spawn(move || std::fs::read(path));
    }
}

// Guards that reservations and committed turns without stored contents are persisted, too.
#[tokio::test]
async fn an_exhausted_budget_stays_exhausted_when_all_stores_are_killed() {
    let mut cluster = TestCluster::start("spent").await;
    cluster.client.begin(begin("p", "settled", None, Some(100)), TEST_TIMEOUT).await.unwrap();
    let committed = FinishTurn { stored_turn: None, tokens: 40, ..finish_stored("p", "settled", None) };
    cluster.client.finish(committed, TEST_TIMEOUT).await.unwrap();
    // This turn is never committed, so its reservation counts in full.
    cluster.client.begin(begin("p", "open", None, Some(100)), TEST_TIMEOUT).await.unwrap();
    let next = |request: &str| begin("p", request, None, Some(100));
    assert_eq!(cluster.client.begin(next("before"), TEST_TIMEOUT).await, Err(SessionError::BudgetExhausted));
    for number in 0..STORE_COUNT {
        cluster.running[number].take().unwrap().kill();
    }
    let meanwhile = cluster.client.begin(next("meanwhile"), SHORT_TIMEOUT).await;
    assert!(is_unavailable(&meanwhile), "{meanwhile:?}");
    (0..STORE_COUNT).for_each(|number| cluster.restart(number));
    // A program in a loop keeps sending requests after the denial.
    for request in ["after", "again", "before"] {
        assert_eq!(
            cluster.client.begin(next(request), TEST_TIMEOUT).await,
            Err(SessionError::BudgetExhausted)
        );
    }
    let other = cluster.client.begin(begin("q", "first", None, Some(100)), TEST_TIMEOUT).await;
    assert_eq!(other, Ok(BegunTurn::default()));
}

// Guards that all state of a chain is in the stores, not in the relay that served the previous turn.
#[tokio::test]
async fn a_chain_of_turns_continues_through_another_relay_at_every_turn() {
    let cluster = TestCluster::start("zones").await;
    let relays = [cluster.client.clone(), cluster.another_client()];
    let mut chain: Vec<Turn> = Vec::new();
    for number in 0..6 {
        let (relay, request) = (&relays[number % 2], format!("t{number}"));
        let previous = chain.last().map(|turn| turn.request.clone());
        let previous = previous.as_ref().map(|previous| &*previous.0);
        let begun = relay.begin(begin("p", &request, previous, Some(80)), TEST_TIMEOUT).await;
        if number == 5 {
            // Five turns of 10 tokens and the reservation of a sixth exceed the budget, through either relay.
            assert_eq!(begun, Err(SessionError::BudgetExhausted));
            continue;
        }
        assert_eq!(begun, Ok(BegunTurn { chain: chain.clone() }));
        relay.finish(finish_stored("p", &request, previous), TEST_TIMEOUT).await.unwrap();
        chain.push(turn(&request, previous));
    }
}

#[tokio::test]
async fn the_only_replica_syncs_another_store_before_it_shuts_down() {
    // Guards that `StoreProcess::stop` waits while `is_syncing_second_replica`.
    let mut cluster = TestCluster::start("handover").await;
    store_two_turns(&cluster).await;
    cluster.running[2].take().unwrap().kill();
    let two_left = cluster.keeper.wait_for_stores(2).await;
    cluster.running[1].take().unwrap().kill();
    let only = cluster.keeper.wait_for_stores(1).await[0];
    let other = *two_left.iter().find(|disk| **disk != only).unwrap();
    let epoch = cluster.assign(&[only], &[other]);
    cluster.keeper.wait_until_applied(epoch).await;
    let only_replica = cluster.running[0].take().unwrap();
    let stopping = tokio::task::spawn_blocking(move || only_replica.stop());
    cluster.restart(1);
    cluster.keeper.wait_for_stores(2).await;
    let epoch = cluster.assign(&[only], &[other]);
    let all: Vec<u16> = (0..8).collect();
    cluster.keeper.wait_until_caught_up(other, epoch, &all).await;
    cluster.assign(&[only, other], &[]);
    tokio::time::timeout(TEST_TIMEOUT, stopping).await.expect("it shuts down").unwrap();
    cluster.assign(&[other], &[]);
}
