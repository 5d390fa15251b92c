//! Kills and losses of power at every call to the disk, in any order, with every mixture of names and writes kept
//! and lost.
//!
//! What a process reads at its start it goes on to confirm to others, so what was read counts as confirmed.
//! Each test fails without the sync of the folder, or of the newest segment, when files are opened, without the
//! sync of a file, and (versions) without the sync of the folder behind a rename.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::ForgetfulDisk;
use juniperwing_storage::{SegmentLog, SegmentNumber, SnapshotFiles, StorageError, file_system};
use proptest::collection::vec;
use proptest::prelude::*;

const FOLDER: &str = "/data";
/// More calls than opening and a few writes take.
const MOST_CALLS: usize = 60;
/// More names than a state may leave behind.
const MOST_FILES: usize = 8;

/// One life of a process: the calls that it gets to make, and how it ends.
#[derive(Clone, Debug)]
struct Life {
    calls: usize,
    writes: usize,
    loses_power: bool,
}

fn lives() -> impl Strategy<Value = Vec<Life>> {
    let life = (0..MOST_CALLS, 0_usize..5, any::<bool>());
    vec(life.prop_map(|(calls, writes, loses_power)| Life { calls, writes, loses_power }), 1..12)
}

/// Contents that differ in length as well.
fn contents(number: u64) -> Vec<u8> {
    let mut contents = number.to_le_bytes().to_vec();
    contents.resize(8 + number as usize % 5 * 7, number as u8);
    contents
}

fn number_of(contents: &[u8]) -> u64 {
    let (number, _) = contents.split_first_chunk().expect("a number");
    u64::from_le_bytes(*number)
}

/// Plays the lives one after the other on one disk; the last one is not interrupted.
fn play(seed: u64, lives: &[Life], mut live: impl FnMut(usize) -> Result<(), StorageError>) {
    let disk = Arc::new(ForgetfulDisk::new(seed));
    let _entered = file_system::simulate(disk.clone());
    for life in lives {
        disk.die_after(life.calls);
        // It dies of its last call.
        let _ = live(life.writes);
        if life.loses_power { disk.lose_power() } else { disk.restart() }
    }
    live(1).expect("a healthy disk");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn the_newest_confirmed_version_comes_back(seed: u64, lives in lives()) {
        let mut written = 0;
        let mut confirmed = 0;
        play(seed, &lives, |writes| {
            let opened = SnapshotFiles::open(FOLDER, "state");
            let damage = opened.as_ref().err().filter(|error| error.is_corruption());
            assert!(damage.is_none(), "{damage:?}");
            let (mut files, newest) = opened?;
            let read = newest.as_deref().map_or(0, number_of);
            assert!(newest.is_none_or(|newest| newest == contents(read)));
            assert!((confirmed..=written).contains(&read), "{read}, {confirmed} confirmed, {written} written");
            confirmed = read;
            for _ in 0..writes {
                written += 1;
                files.write(&contents(written))?;
                confirmed = written;
            }
            Ok(())
        });
    }

    #[test]
    fn all_confirmed_batches_come_back(seed: u64, lives in lives()) {
        let mut written = 0;
        let mut confirmed: BTreeSet<u64> = BTreeSet::new();
        let mut removed: BTreeSet<SegmentNumber> = BTreeSet::new();
        play(seed, &lives, |writes| {
            let (mut files, batches) = SegmentLog::open(FOLDER)?;
            let read: Vec<u64> = batches.iter().map(|batch| number_of(&batch.contents)).collect();
            assert!(batches.iter().all(|batch| batch.contents == contents(number_of(&batch.contents))));
            assert!(read.is_sorted());
            let missing: Vec<&u64> = confirmed.iter().filter(|number| !read.contains(number)).collect();
            assert!(missing.is_empty(), "{missing:?} missing of {confirmed:?}");
            confirmed.extend(read);
            // The oldest segment is not needed any more.
            if batches.len() > MOST_FILES && removed.insert(batches[0].segment) {
                for batch in batches.iter().filter(|batch| batch.segment == batches[0].segment) {
                    confirmed.remove(&number_of(&batch.contents));
                }
                files.remove(batches[0].segment)?;
            }
            for _ in 0..writes {
                written += 1;
                files.append(&contents(written))?;
                confirmed.insert(written);
            }
            Ok(())
        });
    }
}
