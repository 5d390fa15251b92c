//! Data directories written by an earlier release, committed under `tests/golden`, are read by the present code.
//!
//! They must remain readable, since a rolling upgrade starts the new binary on the directory of the old one. Only a
//! deliberate change of a layout may renew them. To rewrite them with the present code, run
//!
//! ```text
//! UPDATE_GOLDEN=1 cargo test -p juniperwing-node --test golden_state
//! ```
//!
//! and commit the files under `crates/node/tests/golden`. Identities are random, so the bytes differ every time.

mod keepers;
mod loopback;
// Not all of its helpers are used here.
#[allow(dead_code)]
mod stores;

use std::fs;
use std::path::{Path, PathBuf};

use juniperwing_node::sessions_client::{BegunTurn, SessionError};
use juniperwing_protocol::session::{FinishTurn, Turn};
use juniperwing_protocol::subscription::SubscriberKind;
use juniperwing_protocol::{DiskId, ProgramId, RequestId};
use juniperwing_sessions::{decode_batch, encode_batch};
use juniperwing_storage::{SegmentLog, SnapshotFiles, identity};
use keepers::{Keepers, Observer, configuration};
use stores::{STORE_COUNT, TEST_TIMEOUT, TestCluster, begin, turn};

/// Expiry of the committed records of a store: in the year 2100, in milliseconds since the Unix epoch.
const EXPIRES_AT_MS: u64 = 4_102_444_800_000;
/// The version of the store map that is recorded in the committed state of the store.
const MAP_VERSION: u64 = 2;
/// A store that is retired in the committed state of the keeper.
const RETIRED: &str = "store-1";

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn is_update() -> bool {
    std::env::var_os("UPDATE_GOLDEN").is_some()
}

/// Replaces `to` by a copy of the directory `from`.
fn copy(from: &Path, to: &Path) {
    // The directory may not exist.
    let _ = fs::remove_dir_all(to);
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap().map(Result::unwrap) {
        let target = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy(&entry.path(), &target),
            false => drop(fs::copy(entry.path(), target).unwrap()),
        }
    }
}

/// Writes the state of a keeper: accepted configurations, a rejected one, a store map, and a retired store.
async fn write_keeper_state(directory: &Path) {
    let mut keepers = Keepers::start(1).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    assert_eq!(keepers.put(0, 9, &configuration(10)).await.status, 412);
    assert_eq!(keepers.put(0, 3, &configuration(7)).await.status, 200);
    let address = keepers.internal(0);
    let mut first = Observer::subscribe(address, SubscriberKind::Store { disk: DiskId(1) });
    first.wait_for_store_map(|map| !map.partitions.is_empty()).await;
    let _second = Observer::subscribe(address, SubscriberKind::Store { disk: DiskId(2) });
    let joining = first
        .wait_for_store_map(|map| map.partitions.iter().all(|assignment| assignment.joining == [DiskId(2)]))
        .await;
    assert_eq!(keepers.retire(0, RETIRED).await.status, 200);
    first.report_caught_up(&joining, DiskId(2));
    keepers.wait_until_retired(0, RETIRED).await;
    keepers.stop(0).await;
    copy(keepers.settings(0).data_directory.as_ref().unwrap(), directory);
}

#[tokio::test]
async fn a_keeper_continues_from_the_committed_state() {
    let directory = golden("keeper-state");
    if is_update() {
        write_keeper_state(&directory).await;
    }
    let mut keepers = Keepers::prepare(1);
    copy(&directory, keepers.settings(0).data_directory.as_ref().unwrap());
    keepers.restart(0).await;
    let read = keepers.get(0).await;
    assert_eq!((read.status, read.body), (200, configuration(7)), "the configuration in force");
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200, "a resent order that was accepted");
    assert_eq!(keepers.put(0, 9, &configuration(10)).await.status, 412, "a resent order that was rejected");
    assert_eq!(keepers.put(0, 3, &configuration(8)).await.status, 412, "an order on an outdated base");
    let mut relay = Observer::subscribe(keepers.internal(0), SubscriberKind::Relay);
    relay.wait_for_configuration(&configuration(7)).await;
    let map = relay.wait_for_store_map(|map| !map.partitions.is_empty()).await;
    assert!(
        map.partitions.iter().all(|assignment| assignment.primary == DiskId(2)),
        "the store map: {map:?}"
    );
    let retired = keepers.retire_state(0, RETIRED).await;
    assert!(retired.body.contains("completed"), "the retired store: {}", retired.body);
    assert_eq!(keepers.put(0, 7, &configuration(8)).await.status, 200, "a new order");
}

/// The identity of a store's data directory.
fn identity_of(directory: &Path) -> DiskId {
    let (identity, is_new) = identity::open(directory, 0).unwrap();
    assert!(!is_new);
    DiskId(identity)
}

fn all_partitions() -> Vec<u16> {
    (0..8).collect()
}

/// The stored turns, in order.
fn stored_turns() -> Vec<Turn> {
    vec![turn("t1", None), turn("t2", Some("t1"))]
}

/// Writes the state of a store: two stored turns (10 tokens each), one finished without being stored (20), one begun
/// (40), and the version of the store map.
async fn write_store_state(directory: &Path) {
    let mut cluster = TestCluster::start("golden-written").await;
    let client = cluster.client.clone();
    let finish = |request: &str, tokens, stored_turn| {
        let (program, request) = (ProgramId::from("program"), RequestId::from(request));
        client
            .finish(FinishTurn { program, request, tokens, stored_turn, retention_ms: 60_000 }, TEST_TIMEOUT)
    };
    for turn in stored_turns() {
        let request = turn.request.0.to_string();
        let previous = turn.previous.as_ref().map(|previous| previous.0.to_string());
        client
            .begin(begin("program", &request, previous.as_deref(), Some(1_000)), TEST_TIMEOUT)
            .await
            .unwrap();
        finish(&request, 10, Some(turn)).await.unwrap();
    }
    client.begin(begin("program", "settled", None, Some(1_000)), TEST_TIMEOUT).await.unwrap();
    finish("settled", 20, None).await.unwrap();
    client.begin(begin("program", "open", None, Some(1_000)), TEST_TIMEOUT).await.unwrap();
    // A store records the version of the map before it reports that other replicas have caught up.
    let mut others = cluster.keeper.wait_for_stores(STORE_COUNT).await;
    let disk = identity_of(&cluster.data_directory(0));
    others.retain(|other| *other != disk);
    let epoch = cluster.assign(&[disk], &others);
    assert_eq!(epoch.0, MAP_VERSION);
    for other in others {
        cluster.keeper.wait_until_caught_up(other, epoch, &all_partitions()).await;
    }
    for running in &mut cluster.running {
        running.take().unwrap().kill();
    }
    copy(&cluster.data_directory(0), directory);
    // Records of a store expire after a day at most; the committed ones must not expire for decades.
    let segments = directory.join("sessions");
    let (_, batches) = SegmentLog::open(&segments).unwrap();
    fs::remove_dir_all(&segments).unwrap();
    let (mut files, _) = SegmentLog::open(&segments).unwrap();
    for batch in batches {
        let mut records = decode_batch(&batch.contents).unwrap();
        records.iter_mut().for_each(|stored| stored.record.expires_at_ms = EXPIRES_AT_MS);
        files.append(&encode_batch(&records).unwrap()).unwrap();
    }
}

#[tokio::test]
async fn a_store_continues_from_the_committed_state() {
    let directory = golden("store-state");
    if is_update() {
        write_store_state(&directory).await;
    }
    let mut cluster = TestCluster::start("golden").await;
    for number in 0..STORE_COUNT {
        cluster.running[number].take().unwrap().kill();
        fs::remove_dir_all(cluster.data_directory(number)).unwrap();
    }
    copy(&directory, &cluster.data_directory(0));
    let (_, version) = SnapshotFiles::open(cluster.data_directory(0), "map-version").unwrap();
    assert_eq!(version, Some(MAP_VERSION.to_le_bytes().to_vec()), "the version of the map");
    cluster.keeper.wait_for_stores(0).await;
    let disk = identity_of(&cluster.data_directory(0));
    cluster.restart(0);
    let found = cluster.keeper.wait_for_stores(1).await[0];
    assert_eq!(found, disk, "the identity");
    (1..STORE_COUNT).for_each(|number| cluster.restart(number));
    let all = cluster.keeper.wait_for_stores(STORE_COUNT).await;
    let empty: Vec<DiskId> = all.into_iter().filter(|disk| *disk != found).collect();
    let epoch = cluster.assign(&[found], &empty);
    assert!(epoch.0 >= MAP_VERSION, "the epoch is not older than the recorded map");
    for disk in &empty {
        cluster.keeper.wait_until_caught_up(*disk, epoch, &all_partitions()).await;
    }
    cluster.assign(&[found, empty[0], empty[1]], &[]);

    let next = cluster.client.begin(begin("program", "t3", Some("t2"), Some(1_000)), TEST_TIMEOUT).await;
    assert_eq!(next, Ok(BegunTurn { chain: stored_turns() }), "the turns");
    let unknown =
        cluster.client.begin(begin("program", "t4", Some("settled"), Some(1_000)), TEST_TIMEOUT).await;
    assert_eq!(unknown, Err(SessionError::UnknownTurn), "a turn that was finished but not stored");
    // Used or reserved: 10 + 10 + 20 + 40 in the committed state, and 40 for the turn begun above.
    let over_budget = cluster.client.begin(begin("program", "t5", None, Some(159)), TEST_TIMEOUT).await;
    assert_eq!(over_budget, Err(SessionError::BudgetExhausted), "the budget");
    // A new turn, since the one that was denied remains denied.
    let within_budget = cluster.client.begin(begin("program", "t6", None, Some(160)), TEST_TIMEOUT).await;
    assert_eq!(within_budget, Ok(BegunTurn::default()), "the budget");
}
