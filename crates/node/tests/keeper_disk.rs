//! Keepers with damaged disks: the damage is detected at start-up, and the keeper rejoins as one that lost its disk.

mod keepers;
mod loopback;

use std::fs;
use std::path::PathBuf;

use keepers::{Keepers, configuration};
use tokio::time::timeout;

/// The record files of a keeper, oldest first.
fn record_files(keepers: &Keepers, keeper: usize) -> Vec<PathBuf> {
    files(keepers, keeper, "control-")
}

/// The acceptor-state files of a keeper that were written after its records, oldest first.
fn acceptor_files(keepers: &Keepers, keeper: usize) -> Vec<PathBuf> {
    files(keepers, keeper, "ballot-")
}

fn files(keepers: &Keepers, keeper: usize, prefix: &str) -> Vec<PathBuf> {
    let directory = keepers.settings(keeper).data_directory.as_ref().expect("a directory");
    let entries = fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path());
    let is_named = |path: &PathBuf| path.file_name().unwrap().to_str().unwrap().starts_with(prefix);
    let mut files: Vec<PathBuf> = entries.filter(is_named).collect();
    files.sort();
    files
}

/// The identity of a keeper's data directory, as on disk.
fn identity(keepers: &Keepers, keeper: usize) -> Vec<u8> {
    fs::read(files(keepers, keeper, "identity-").last().expect("an identity")).unwrap()
}

/// Starts three keepers and kills the first, which then misses a change.
async fn start_with_one_keeper_behind() -> Keepers {
    let mut keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(1)).await.status, 200);
    assert_eq!(keepers.put(0, 1, &configuration(2)).await.status, 200);
    keepers.kill(0).await;
    assert_eq!(keepers.put(1, 2, &configuration(3)).await.status, 200);
    keepers
}

/// Restarts the first keeper and kills another one, so that the first is needed: it must have caught up, and must
/// neither bootstrap the tier again nor become primary with its old state.
async fn expect_restart_as_new_member(mut keepers: Keepers, before: &[u8]) {
    keepers.restart(0).await;
    assert_ne!(identity(&keepers, 0), before, "it restarts with another identity");
    assert_eq!(keepers.get(0).await.body, configuration(3));
    assert_eq!(keepers.put(0, 3, &configuration(4)).await.status, 200);
    wait_until_replaced(&keepers, before, &identity(&keepers, 0)).await;
    keepers.kill(1).await;
    assert_eq!(keepers.put(0, 4, &configuration(5)).await.status, 200);
    assert_eq!(keepers.put(2, 2, &configuration(3)).await.status, 200);
    assert_eq!(keepers.get(0).await.body, configuration(5));
}

/// Waits until the records of the first and the last keeper name the new disk of the first as a voter in sync, and
/// no longer the old one.
async fn wait_until_replaced(keepers: &Keepers, old: &[u8], new: &[u8]) {
    const IN_VOTERS_AND_IN_SYNC: usize = 2;
    let replaced = async {
        for keeper in [0, 2] {
            loop {
                // The newest acceptor state is in one of the two files; the other is older or has the same one.
                let newest = [record_files(keepers, keeper).pop(), acceptor_files(keepers, keeper).pop()];
                let mut contents = newest.into_iter().flatten().filter_map(|path| fs::read(path).ok());
                let names_only_new = |content: Vec<u8>| {
                    count_disk_id(&content, new) >= IN_VOTERS_AND_IN_SYNC && count_disk_id(&content, old) == 0
                };
                if contents.any(names_only_new) {
                    break;
                }
                keepers.get(keeper).await;
            }
        }
    };
    timeout(keepers::TEST_TIMEOUT, replaced).await.expect("the voter is replaced");
}

/// The number of times that a record contains the disk id of an identity file.
fn count_disk_id(record: &[u8], identity: &[u8]) -> usize {
    let disk = u64::from_le_bytes(*identity.last_chunk().expect("an identity"));
    let encoded = postcard::to_stdvec(&disk).expect("numbers have an encoding");
    record.windows(encoded.len()).filter(|window| *window == encoded).count()
}

#[tokio::test]
async fn a_torn_record_counts_as_a_lost_disk() {
    let keepers = start_with_one_keeper_behind().await;
    let before = identity(&keepers, 0);
    let newest = record_files(&keepers, 0).pop().expect("a record");
    let bytes = fs::read(&newest).unwrap();
    fs::write(&newest, &bytes[..bytes.len() / 2]).unwrap();
    expect_restart_as_new_member(keepers, &before).await;
}

#[tokio::test]
async fn an_older_record_under_the_newest_name_counts_as_a_lost_disk() {
    let keepers = start_with_one_keeper_behind().await;
    let before = identity(&keepers, 0);
    let records = record_files(&keepers, 0);
    fs::copy(&records[0], records.last().unwrap()).unwrap();
    expect_restart_as_new_member(keepers, &before).await;
}

/// `decode_record` rejects the record of another disk (`check_disk`).
#[tokio::test]
async fn a_record_of_another_keeper_counts_as_a_lost_disk() {
    let mut keepers = start_with_one_keeper_behind().await;
    let before = identity(&keepers, 0);
    keepers.stop(2).await;
    for record in record_files(&keepers, 0) {
        fs::remove_file(record).unwrap();
    }
    let foreign = record_files(&keepers, 2).pop().expect("a record");
    let directory = keepers.settings(0).data_directory.clone().expect("a directory");
    fs::copy(&foreign, directory.join(foreign.file_name().unwrap())).unwrap();
    keepers.restart(2).await;
    expect_restart_as_new_member(keepers, &before).await;
}

#[tokio::test]
async fn a_record_without_the_identity_of_its_directory_counts_as_a_lost_disk() {
    let keepers = start_with_one_keeper_behind().await;
    let before = identity(&keepers, 0);
    for file in files(&keepers, 0, "identity-") {
        fs::remove_file(file).unwrap();
    }
    expect_restart_as_new_member(keepers, &before).await;
}

#[tokio::test]
async fn an_intact_record_keeps_its_identity() {
    let mut keepers = start_with_one_keeper_behind().await;
    let before = identity(&keepers, 0);
    keepers.restart(0).await;
    assert_eq!(keepers.get(0).await.body, configuration(3));
    assert_eq!(identity(&keepers, 0), before);
}

/// An acceptor state that is torn or lacks its record may have contained a promise that is now unknown.
#[tokio::test]
async fn an_acceptor_state_that_is_torn_or_without_its_record_counts_as_a_lost_disk() {
    for is_torn in [true, false] {
        let mut keepers = start_with_one_keeper_behind().await;
        keepers.restart(0).await;
        wait_until_acceptor_state_written(&mut keepers).await;
        let before = identity(&keepers, 0);
        keepers.kill(0).await;
        if is_torn {
            fs::write(acceptor_files(&keepers, 0).pop().expect("an acceptor state"), b"torn").unwrap();
        } else {
            record_files(&keepers, 0).iter().for_each(|record| fs::remove_file(record).unwrap());
        }
        keepers.restart(0).await;
        assert_ne!(identity(&keepers, 0), before, "torn: {is_torn}");
        assert_eq!(keepers.get(0).await.body, configuration(3));
    }
}

/// Fails if a change of the acceptor state alone rewrites the control state.
#[tokio::test]
async fn elections_do_not_write_the_state() {
    const MAX_ACCEPTOR_FILE_BYTES: u64 = 1_024;
    let mut keepers = start_with_one_keeper_behind().await;
    keepers.restart(0).await;
    wait_until_acceptor_state_written(&mut keepers).await;
    let state = record_files(&keepers, 0).pop().expect("a record");
    for lost in [1, 2] {
        keepers.kill(lost).await;
        assert_eq!(keepers.get(0).await.body, configuration(3));
        keepers.restart(lost).await;
        assert_eq!(keepers.get(lost).await.body, configuration(3));
    }
    assert_eq!(record_files(&keepers, 0).pop(), Some(state), "no other record");
    let acceptor_file = acceptor_files(&keepers, 0).pop().expect("an acceptor state");
    assert!(fs::metadata(acceptor_file).unwrap().len() <= MAX_ACCEPTOR_FILE_BYTES);
    // Promised and accepted epochs survive a restart.
    keepers.kill(0).await;
    keepers.restart(0).await;
    assert_eq!(keepers.put(0, 3, &configuration(4)).await.status, 200);
}

/// Changes the primary until the first keeper, which has the newest state, has an acceptor state beside its record.
async fn wait_until_acceptor_state_written(keepers: &mut Keepers) {
    assert_eq!(keepers.get(0).await.body, configuration(3));
    let changed = async {
        for lost in [1, 2].into_iter().cycle() {
            let newest =
                record_files(keepers, 0).pop().and_then(|path| fs::read(path).ok()).unwrap_or_default();
            let body = configuration(3).into_bytes();
            let is_up_to_date = newest.windows(body.len()).any(|window| window == body);
            if is_up_to_date && !acceptor_files(keepers, 0).is_empty() {
                return;
            }
            keepers.kill(lost).await;
            keepers.get(0).await;
            keepers.restart(lost).await;
            keepers.get(lost).await;
        }
    };
    timeout(keepers::TEST_TIMEOUT, changed).await.expect("an acceptor state");
}
