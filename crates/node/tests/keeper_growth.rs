//! Many changes: what a keeper's disk comes to, and that one that was away catches up.

mod keepers;

use std::fs;

use juniperwing_protocol::subscription::SubscriberKind;
use keepers::{Keepers, Observer, configuration};

const CHANGES: u64 = 40;
/// Versions of the record that are on disk at a time.
const RECORDS: u64 = 2;
/// Bytes of a record besides the configuration and the orders, and those of the identity.
const OVERHEAD: u64 = 2_048;
/// Bytes of an order that is remembered.
const PER_ORDER: u64 = 16;

async fn make_changes(keepers: &Keepers, at: usize, first: u64, last: u64) {
    for generation in first..=last {
        assert_eq!(keepers.put(at, generation - 1, &configuration(generation)).await.status, 200);
    }
}

fn disk_bytes(keepers: &Keepers, keeper: usize) -> u64 {
    let folder = keepers.settings(keeper).data_directory.as_ref().expect("a folder");
    fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().metadata().unwrap().len()).sum()
}

/// Fails if old versions of the record are not removed.
#[tokio::test]
async fn the_disk_of_a_keeper_stays_small_and_a_restart_keeps_all_orders() {
    let mut keepers = Keepers::start(1).await;
    make_changes(&keepers, 0, 1, CHANGES).await;
    let most = RECORDS * (configuration(CHANGES).len() as u64 + PER_ORDER * CHANGES + OVERHEAD);
    assert!(disk_bytes(&keepers, 0) <= most, "{} bytes", disk_bytes(&keepers, 0));
    keepers.kill(0).await;
    keepers.restart(0).await;
    assert_eq!(keepers.get(0).await.body, configuration(CHANGES));
    for generation in [1, CHANGES / 2, CHANGES] {
        assert_eq!(keepers.put(0, generation - 1, &configuration(generation)).await.status, 200);
    }
    assert!(disk_bytes(&keepers, 0) <= most, "{} bytes", disk_bytes(&keepers, 0));
}

#[tokio::test]
async fn a_keeper_that_was_away_for_many_changes_catches_up_with_and_without_its_disk() {
    let mut keepers = Keepers::start(3).await;
    make_changes(&keepers, 1, 1, 2).await;
    keepers.kill(0).await;
    make_changes(&keepers, 1, 3, CHANGES).await;
    expect_caught_up(&mut keepers, CHANGES).await;
    // It is needed from now on: it holds all that was taken.
    keepers.kill(1).await;
    assert_eq!(keepers.put(0, 0, &configuration(1)).await.status, 200);
    make_changes(&keepers, 0, CHANGES + 1, CHANGES + 10).await;
    keepers.restart(1).await;
    assert_eq!(keepers.get(1).await.body, configuration(CHANGES + 10));
    keepers.kill(0).await;
    let folder = keepers.settings(0).data_directory.clone().expect("a folder");
    fs::remove_dir_all(folder).unwrap();
    expect_caught_up(&mut keepers, CHANGES + 10).await;
}

/// Starts the first keeper, which must tell a relay the newest configuration first of all, and soon.
async fn expect_caught_up(keepers: &mut Keepers, newest: u64) {
    keepers.restart(0).await;
    let mut relay = Observer::subscribe(keepers.internal(0), SubscriberKind::Relay);
    relay.until_configuration(&configuration(newest)).await;
}
