//! Recovery after kills and power losses at random disk calls, with random combinations of names and writes retained or
//! lost.
//!
//! A process acknowledges to others what it reads at its start, so data that was read counts as acknowledged. Each test
//! fails without the sync of the directory or of the newest segment when files are opened, without the sync of a file,
//! and, for versions, without the sync of the directory after a rename.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::PowerLossDisk;
use juniperwing_storage::{SegmentLog, SegmentNumber, SnapshotFiles, StorageError, file_system};
use proptest::collection::vec;
use proptest::prelude::*;

const DIRECTORY: &str = "/data";
/// Limit of the disk calls of an incarnation: more than opening and a few writes need.
const MAX_CALLS: usize = 60;
/// The number of batches above which the oldest segment is removed.
const MAX_BATCHES: usize = 8;

/// One incarnation of a process: its number of disk calls and writes, and whether it ends by a power loss.
#[derive(Clone, Debug)]
struct Incarnation {
    calls: usize,
    writes: usize,
    loses_power: bool,
}

fn incarnations() -> impl Strategy<Value = Vec<Incarnation>> {
    let incarnation = (0..MAX_CALLS, 0_usize..5, any::<bool>());
    vec(
        incarnation.prop_map(|(calls, writes, loses_power)| Incarnation { calls, writes, loses_power }),
        1..12,
    )
}

/// Contents whose length also depends on the number.
fn contents(number: u64) -> Vec<u8> {
    let mut contents = number.to_le_bytes().to_vec();
    contents.resize(8 + number as usize % 5 * 7, number as u8);
    contents
}

fn number_of(contents: &[u8]) -> u64 {
    let (number, _) = contents.split_first_chunk().expect("a number");
    u64::from_le_bytes(*number)
}

/// Runs the incarnations in sequence on one disk, and then one that is not interrupted.
fn run_incarnations(
    seed: u64, incarnations: &[Incarnation], mut run: impl FnMut(usize) -> Result<(), StorageError>,
) {
    let disk = Arc::new(PowerLossDisk::new(seed));
    let _simulation = file_system::simulate(disk.clone());
    for incarnation in incarnations {
        disk.kill_after(incarnation.calls);
        // Fails when the process is killed.
        let _ = run(incarnation.writes);
        if incarnation.loses_power { disk.lose_power() } else { disk.restart() }
    }
    run(1).expect("a healthy disk");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn the_newest_acknowledged_version_is_recovered(seed: u64, incarnations in incarnations()) {
        let mut written = 0;
        let mut acknowledged = 0;
        run_incarnations(seed, &incarnations, |writes| {
            let opened = SnapshotFiles::open(DIRECTORY, "state");
            let corruption = opened.as_ref().err().filter(|error| error.is_corruption());
            assert!(corruption.is_none(), "{corruption:?}");
            let (mut files, newest) = opened?;
            let read = newest.as_deref().map_or(0, number_of);
            assert!(newest.is_none_or(|newest| newest == contents(read)));
            assert!((acknowledged..=written).contains(&read), "{read}, {acknowledged} acknowledged, {written} written");
            acknowledged = read;
            for _ in 0..writes {
                written += 1;
                files.write(&contents(written))?;
                acknowledged = written;
            }
            Ok(())
        });
    }

    #[test]
    fn all_acknowledged_batches_are_recovered(seed: u64, incarnations in incarnations()) {
        let mut written = 0;
        let mut acknowledged: BTreeSet<u64> = BTreeSet::new();
        let mut removed: BTreeSet<SegmentNumber> = BTreeSet::new();
        run_incarnations(seed, &incarnations, |writes| {
            let (mut files, batches) = SegmentLog::open(DIRECTORY)?;
            let read: Vec<u64> = batches.iter().map(|batch| number_of(&batch.contents)).collect();
            assert!(batches.iter().all(|batch| batch.contents == contents(number_of(&batch.contents))));
            assert!(read.is_sorted());
            let missing: Vec<&u64> = acknowledged.iter().filter(|number| !read.contains(number)).collect();
            assert!(missing.is_empty(), "{missing:?} missing of {acknowledged:?}");
            acknowledged.extend(read);
            // Removes the oldest segment.
            if batches.len() > MAX_BATCHES && removed.insert(batches[0].segment) {
                for batch in batches.iter().filter(|batch| batch.segment == batches[0].segment) {
                    acknowledged.remove(&number_of(&batch.contents));
                }
                files.remove(batches[0].segment)?;
            }
            for _ in 0..writes {
                written += 1;
                files.append(&contents(written))?;
                acknowledged.insert(written);
            }
            Ok(())
        });
    }
}
