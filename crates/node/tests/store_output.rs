//! The output of streams in flight at real stores: another relay finds it, also after the loss of stores.

#[allow(dead_code)]
mod loopback;
#[allow(dead_code)]
mod stores;

use std::time::Duration;

use juniperwing_node::sessions_client::SessionsClient;
use juniperwing_protocol::session::{FindOutput, OutputEvent, TurnKey};
use juniperwing_protocol::{ProgramId, RequestId};
use stores::{STORE_COUNT, TEST_TIMEOUT, TestCluster};

const RETENTION_MS: u64 = 5_000;

fn key() -> TurnKey {
    TurnKey {
        program: ProgramId::from("p"),
        session: "s".into(),
        previous: None,
        target: "h.example/kept/a".into(),
        input_digest: TurnKey::digest(b"input"),
    }
}

fn events(ids: std::ops::RangeInclusive<u64>) -> Vec<OutputEvent> {
    ids.map(|id| OutputEvent { id, output: format!("text {id}\n").into_bytes().into() }).collect()
}

/// Waits until the output up to an event is found.
async fn wait_until_found(client: &SessionsClient, last_event_id: u64) {
    let find = FindOutput { turn: key(), last_event_id };
    let expected = events(1..=last_event_id);
    let wait = async {
        while client.find_output(find.clone(), TEST_TIMEOUT).await != expected {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.expect("the output is found in time");
}

// Guards against a client whose relay and whose program's primary are lost together: every replica has the output.
#[tokio::test]
async fn another_relay_finds_the_output_at_any_replica_that_is_left() {
    let mut cluster = TestCluster::start("output").await;
    let sender = cluster.client.record_output(key(), RequestId::from("r"), RETENTION_MS);
    events(1..=6).into_iter().for_each(|event| sender.send(event).unwrap());
    // The stream is cut: its relay sends nothing more, and another one asks.
    drop(sender);
    let another = cluster.another_client();
    for store in 0..STORE_COUNT {
        wait_until_found(&another, 6).await;
        wait_until_found(&another, 4).await;
        cluster.running[store].take().unwrap().kill();
    }
    let find = FindOutput { turn: key(), last_event_id: 6 };
    assert_eq!(another.find_output(find, TEST_TIMEOUT).await, Vec::new(), "no store is left");
}

// Guards against a recorder that goes on after a gap at a store that has lost the stream.
#[tokio::test]
async fn a_store_that_was_restarted_gets_the_whole_output_with_the_next_event() {
    let mut cluster = TestCluster::start("output-restart").await;
    let disks = cluster.keeper.wait_for_stores(STORE_COUNT).await;
    let sender = cluster.client.record_output(key(), RequestId::from("r"), RETENTION_MS);
    events(1..=3).into_iter().for_each(|event| sender.send(event).unwrap());
    wait_until_found(&cluster.another_client(), 3).await;
    for store in 0..STORE_COUNT {
        cluster.running[store].take().unwrap().kill();
        cluster.restart(store);
    }
    cluster.keeper.wait_for_stores(STORE_COUNT).await;
    cluster.assign(&disks, &[]);
    events(4..=5).into_iter().for_each(|event| sender.send(event).unwrap());
    // Until a call has reached the restarted store, further events follow, as in a stream.
    let another = cluster.another_client();
    let mut last = 5;
    while another.find_output(FindOutput { turn: key(), last_event_id: last }, TEST_TIMEOUT).await
        != events(1..=last)
    {
        last += 1;
        assert!(last < 1_000, "the output is found in time");
        sender.send(events(last..=last).remove(0)).unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// One call holds a part of a long output only, so that the calls of many streams do not overflow a link's queue.
#[tokio::test]
async fn a_long_output_is_recorded_in_several_calls() {
    let cluster = TestCluster::start("output-long").await;
    let disks = cluster.keeper.wait_for_stores(STORE_COUNT).await;
    cluster.assign(&disks, &[]);
    let event = |id: u64| OutputEvent { id, output: vec![b'x'; 10_000 * id as usize].into() };
    let sender = cluster.client.record_output(key(), RequestId::from("r"), RETENTION_MS);
    (1..=12).for_each(|id| sender.send(event(id)).unwrap());
    let find = FindOutput { turn: key(), last_event_id: 12 };
    let expected: Vec<OutputEvent> = (1..=12).map(event).collect();
    let wait = async {
        while cluster.another_client().find_output(find.clone(), TEST_TIMEOUT).await != expected {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.expect("the output is found in time");
}
