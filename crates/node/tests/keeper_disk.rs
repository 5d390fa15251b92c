//! Keepers whose disk does not hold what was written to it: each is found at its start, and comes back as one that
//! lost its disk.

mod keepers;

use std::fs;
use std::path::PathBuf;

use keepers::{Keepers, configuration};
use tokio::time::timeout;

/// The records of a keeper, oldest first.
fn records(keepers: &Keepers, keeper: usize) -> Vec<PathBuf> {
    files(keepers, keeper, "control-")
}

/// The ballots of a keeper that came after its records, oldest first.
fn ballots(keepers: &Keepers, keeper: usize) -> Vec<PathBuf> {
    files(keepers, keeper, "ballot-")
}

fn files(keepers: &Keepers, keeper: usize, prefix: &str) -> Vec<PathBuf> {
    let folder = keepers.settings(keeper).data_directory.as_ref().expect("a folder");
    let entries = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let is_named = |path: &PathBuf| path.file_name().unwrap().to_str().unwrap().starts_with(prefix);
    let mut files: Vec<PathBuf> = entries.filter(is_named).collect();
    files.sort();
    files
}

/// What tells a folder from others.
fn identity(keepers: &Keepers, keeper: usize) -> Vec<u8> {
    fs::read(files(keepers, keeper, "identity-").last().expect("an identity")).unwrap()
}

/// Three keepers of which the first is down, a change behind the others.
async fn with_one_behind() -> Keepers {
    let mut keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(1)).await.status, 200);
    assert_eq!(keepers.put(0, 1, &configuration(2)).await.status, 200);
    keepers.kill(0).await;
    assert_eq!(keepers.put(1, 2, &configuration(3)).await.status, 200);
    keepers
}

/// Starts the first keeper and takes another one away, so that the first is needed: it has to have caught up, and
/// must neither found the tier once more nor lead with what it finds.
async fn expect_new_start(mut keepers: Keepers, before: &[u8]) {
    keepers.restart(0).await;
    assert_ne!(identity(&keepers, 0), before, "it comes back with another identity");
    assert_eq!(keepers.get(0).await.body, configuration(3));
    assert_eq!(keepers.put(0, 3, &configuration(4)).await.status, 200);
    until_replaced(&keepers, before, &identity(&keepers, 0)).await;
    keepers.kill(1).await;
    assert_eq!(keepers.put(0, 4, &configuration(5)).await.status, 200);
    assert_eq!(keepers.put(2, 2, &configuration(3)).await.status, 200);
    assert_eq!(keepers.get(0).await.body, configuration(5));
}

/// Waits until the records of the first and the last keeper name the new disk of the first as a voter in sync, and
/// the old one no more.
async fn until_replaced(keepers: &Keepers, old: &[u8], new: &[u8]) {
    const IN_VOTERS_AND_IN_SYNC: usize = 2;
    let replaced = async {
        for keeper in [0, 2] {
            loop {
                // The newest ballot is in one of the two, and the other is an older one or names it as well.
                let newest = [records(keepers, keeper).pop(), ballots(keepers, keeper).pop()];
                let mut held = newest.into_iter().flatten().filter_map(|path| fs::read(path).ok());
                let is_new =
                    |held: Vec<u8>| count(&held, new) >= IN_VOTERS_AND_IN_SYNC && count(&held, old) == 0;
                if held.any(is_new) {
                    break;
                }
                keepers.get(keeper).await;
            }
        }
    };
    timeout(keepers::TEST_TIMEOUT, replaced).await.expect("the voter is replaced");
}

/// How often a record names the disk that an identity file tells of.
fn count(record: &[u8], identity: &[u8]) -> usize {
    let disk = u64::from_le_bytes(*identity.last_chunk().expect("an identity"));
    let encoded = postcard::to_stdvec(&disk).expect("numbers have an encoding");
    record.windows(encoded.len()).filter(|window| *window == encoded).count()
}

#[tokio::test]
async fn a_torn_record_is_a_lost_disk() {
    let keepers = with_one_behind().await;
    let before = identity(&keepers, 0);
    let newest = records(&keepers, 0).pop().expect("a record");
    let bytes = fs::read(&newest).unwrap();
    fs::write(&newest, &bytes[..bytes.len() / 2]).unwrap();
    expect_new_start(keepers, &before).await;
}

#[tokio::test]
async fn an_older_record_under_the_newest_name_is_a_lost_disk() {
    let keepers = with_one_behind().await;
    let before = identity(&keepers, 0);
    let records = records(&keepers, 0);
    fs::copy(&records[0], records.last().unwrap()).unwrap();
    expect_new_start(keepers, &before).await;
}

/// Fails without the comparison of disks in `decode_record`.
#[tokio::test]
async fn a_record_of_another_keeper_is_a_lost_disk() {
    let mut keepers = with_one_behind().await;
    let before = identity(&keepers, 0);
    keepers.stop(2).await;
    for record in records(&keepers, 0) {
        fs::remove_file(record).unwrap();
    }
    let foreign = records(&keepers, 2).pop().expect("a record");
    let folder = keepers.settings(0).data_directory.clone().expect("a folder");
    fs::copy(&foreign, folder.join(foreign.file_name().unwrap())).unwrap();
    keepers.restart(2).await;
    expect_new_start(keepers, &before).await;
}

#[tokio::test]
async fn a_record_without_the_identity_of_its_folder_is_a_lost_disk() {
    let keepers = with_one_behind().await;
    let before = identity(&keepers, 0);
    for file in files(&keepers, 0, "identity-") {
        fs::remove_file(file).unwrap();
    }
    expect_new_start(keepers, &before).await;
}

#[tokio::test]
async fn a_record_that_is_whole_keeps_its_identity() {
    let mut keepers = with_one_behind().await;
    let before = identity(&keepers, 0);
    keepers.restart(0).await;
    assert_eq!(keepers.get(0).await.body, configuration(3));
    assert_eq!(identity(&keepers, 0), before);
}

/// A ballot that is torn, or without its record, is a lost disk: it may have been a promise.
#[tokio::test]
async fn a_torn_ballot_or_one_without_its_record_is_a_lost_disk() {
    for is_torn in [true, false] {
        let mut keepers = with_one_behind().await;
        keepers.restart(0).await;
        until_ballot(&mut keepers).await;
        let before = identity(&keepers, 0);
        keepers.kill(0).await;
        if is_torn {
            fs::write(ballots(&keepers, 0).pop().expect("a ballot"), b"torn").unwrap();
        } else {
            records(&keepers, 0).iter().for_each(|record| fs::remove_file(record).unwrap());
        }
        keepers.restart(0).await;
        assert_ne!(identity(&keepers, 0), before, "torn: {is_torn}");
        assert_eq!(keepers.get(0).await.body, configuration(3));
    }
}

/// Fails if every ballot writes the state.
#[tokio::test]
async fn elections_do_not_write_the_state() {
    const SMALL: u64 = 1_024;
    let mut keepers = with_one_behind().await;
    keepers.restart(0).await;
    until_ballot(&mut keepers).await;
    let state = records(&keepers, 0).pop().expect("a record");
    for lost in [1, 2] {
        keepers.kill(lost).await;
        assert_eq!(keepers.get(0).await.body, configuration(3));
        keepers.restart(lost).await;
        assert_eq!(keepers.get(lost).await.body, configuration(3));
    }
    assert_eq!(records(&keepers, 0).pop(), Some(state), "no other record");
    let ballot = ballots(&keepers, 0).pop().expect("a ballot");
    assert!(fs::metadata(ballot).unwrap().len() <= SMALL);
    // What was promised and accepted is there after a restart.
    keepers.kill(0).await;
    keepers.restart(0).await;
    assert_eq!(keepers.put(0, 3, &configuration(4)).await.status, 200);
}

/// Changes the primary until the first keeper, which holds the newest state, has a ballot beside its record.
async fn until_ballot(keepers: &mut Keepers) {
    assert_eq!(keepers.get(0).await.body, configuration(3));
    let changed = async {
        for lost in [1, 2].into_iter().cycle() {
            let newest = records(keepers, 0).pop().and_then(|path| fs::read(path).ok()).unwrap_or_default();
            let body = configuration(3).into_bytes();
            let is_up_to_date = newest.windows(body.len()).any(|window| window == body);
            if is_up_to_date && !ballots(keepers, 0).is_empty() {
                return;
            }
            keepers.kill(lost).await;
            keepers.get(0).await;
            keepers.restart(lost).await;
            keepers.get(lost).await;
        }
    };
    timeout(keepers::TEST_TIMEOUT, changed).await.expect("a ballot");
}
