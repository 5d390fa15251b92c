//! Many changes: the disk usage of a keeper, and the catch-up of a keeper that missed them.

mod keepers;
mod loopback;

use std::fs;

use juniperwing_protocol::subscription::SubscriberKind;
use keepers::{Keepers, Observer, configuration};

const CHANGE_COUNT: u64 = 40;
/// The number of records that are on disk at a time.
const MAX_RECORDS_ON_DISK: u64 = 2;
/// An allowance for the identity and for the contents of a record other than the configuration and the orders.
const OVERHEAD_BYTES: u64 = 2_048;
/// The size of an entry of the order history.
const BYTES_PER_ORDER: u64 = 16;

async fn put_configurations(keepers: &Keepers, at: usize, first: u64, last: u64) {
    for generation in first..=last {
        assert_eq!(keepers.put(at, generation - 1, &configuration(generation)).await.status, 200);
    }
}

fn disk_bytes(keepers: &Keepers, keeper: usize) -> u64 {
    let directory = keepers.settings(keeper).data_directory.as_ref().expect("a directory");
    fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().metadata().unwrap().len()).sum()
}

/// Fails if old records are not removed.
#[tokio::test]
async fn the_disk_usage_is_bounded_and_a_restart_keeps_all_orders() {
    let mut keepers = Keepers::start(1).await;
    put_configurations(&keepers, 0, 1, CHANGE_COUNT).await;
    let max_bytes = MAX_RECORDS_ON_DISK
        * (configuration(CHANGE_COUNT).len() as u64 + BYTES_PER_ORDER * CHANGE_COUNT + OVERHEAD_BYTES);
    assert!(disk_bytes(&keepers, 0) <= max_bytes, "{} bytes", disk_bytes(&keepers, 0));
    keepers.kill(0).await;
    keepers.restart(0).await;
    assert_eq!(keepers.get(0).await.body, configuration(CHANGE_COUNT));
    for generation in [1, CHANGE_COUNT / 2, CHANGE_COUNT] {
        assert_eq!(keepers.put(0, generation - 1, &configuration(generation)).await.status, 200);
    }
    assert!(disk_bytes(&keepers, 0) <= max_bytes, "{} bytes", disk_bytes(&keepers, 0));
}

#[tokio::test]
async fn a_keeper_that_missed_many_changes_catches_up_with_and_without_its_disk() {
    let mut keepers = Keepers::start(3).await;
    put_configurations(&keepers, 1, 1, 2).await;
    keepers.kill(0).await;
    put_configurations(&keepers, 1, 3, CHANGE_COUNT).await;
    expect_caught_up(&mut keepers, CHANGE_COUNT).await;
    // From here on, a majority needs the first keeper, so it must have all accepted orders.
    keepers.kill(1).await;
    assert_eq!(keepers.put(0, 0, &configuration(1)).await.status, 200);
    put_configurations(&keepers, 0, CHANGE_COUNT + 1, CHANGE_COUNT + 10).await;
    keepers.restart(1).await;
    assert_eq!(keepers.get(1).await.body, configuration(CHANGE_COUNT + 10));
    keepers.kill(0).await;
    let directory = keepers.settings(0).data_directory.clone().expect("a directory");
    fs::remove_dir_all(directory).unwrap();
    expect_caught_up(&mut keepers, CHANGE_COUNT + 10).await;
}

/// Starts the first keeper, whose first update to a relay must be the newest configuration.
async fn expect_caught_up(keepers: &mut Keepers, newest: u64) {
    keepers.restart(0).await;
    let mut relay = Observer::subscribe(keepers.internal(0), SubscriberKind::Relay);
    relay.wait_for_configuration(&configuration(newest)).await;
}
