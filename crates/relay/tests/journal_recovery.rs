//! The journal after a crash and after many compactions.

use std::fs;
use std::path::{Path, PathBuf};

use juniperwing::time::Time;
use juniperwing_relay::journal::{
    AcceptedNotification, Attributes, Guarantee, Journal, OpenedJournal, RecordedSemantics, UndeliveredEnd,
};

/// The block size of the file system, in bytes; files occupy multiples of it.
const FILE_BLOCK_BYTES: u64 = 512;

/// Creates an empty directory for one test.
fn create_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("juniperwing-store-{}-{name}", std::process::id()));
    // May have been left by an earlier failed run.
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("a directory for temporary files");
    directory
}

fn open(directory: &Path, max_bytes: u64) -> (Journal, u64) {
    let OpenedJournal { journal, torn_bytes } = Journal::open(directory, max_bytes).expect("a journal");
    (journal, torn_bytes)
}

fn file_bytes(directory: &Path) -> u64 {
    fs::metadata(directory.join("log")).expect("a journal").len()
}

fn accept(journal: &mut Journal, id: &str, body: &[u8]) -> u64 {
    let attributes = Attributes {
        id: id.to_owned(),
        topic: "t".to_owned(),
        account: None,
        key: Some("k".to_owned()),
        idempotency_key: None,
        destination: 7,
    };
    let semantics = RecordedSemantics::Deduplicated { is_scope_all: true, window_ns: 5 };
    let guarantee = Guarantee { semantics, is_ordered: true };
    journal.accept(attributes, Time::from_nanos(9), guarantee, body.to_vec())
}

fn live(journal: &Journal) -> Vec<(u64, AcceptedNotification, Vec<u8>)> {
    journal.live().map(|(number, entry)| (number, entry.notification.clone(), entry.body.clone())).collect()
}

/// After truncation at any byte, all complete records are recovered and the journal can be appended to.
#[test]
fn a_journal_truncated_at_any_byte_keeps_the_records_before() {
    let directory = create_directory("cut");
    let (mut journal, _) = open(&directory, 1_000_000);
    let (mut states, mut ends) = (vec![live(&journal)], vec![0]);
    let first = accept(&mut journal, "1", b"one");
    let steps: [&dyn Fn(&mut Journal); 5] = [
        &|journal| assert_eq!(accept(journal, "2", b"two"), first + 1),
        &|journal| journal.record_push(first, Time::from_nanos(5), "z"),
        &|journal| journal.record_push_ended(first, true, Some(Time::from_nanos(6))),
        &|journal| journal.record_end(first, UndeliveredEnd::ReturnedToClient(3)),
        &|journal| journal.close(first),
    ];
    for step in steps {
        journal.flush().expect("disk space");
        states.push(live(&journal));
        ends.push(file_bytes(&directory) as usize);
        step(&mut journal);
    }
    journal.flush().expect("disk space");
    let bytes = fs::read(directory.join("log")).expect("a journal");
    for cut in 0..bytes.len() {
        fs::write(directory.join("log"), &bytes[..cut]).expect("disk space");
        let (mut journal, torn_bytes) = open(&directory, 1_000_000);
        let last = ends.iter().rposition(|end| *end <= cut).expect("the empty journal at least");
        assert_eq!(
            (live(&journal), torn_bytes as usize),
            (states[last].clone(), cut - ends[last]),
            "cut at {cut}"
        );
        let number = accept(&mut journal, "3", b"three");
        journal.flush().expect("disk space");
        let (journal, torn_bytes) = open(&directory, 1_000_000);
        assert_eq!((journal.get(number).map(|entry| &*entry.body), torn_bytes), (Some(&b"three"[..]), 0));
    }
    fs::remove_dir_all(directory).expect("the directory can be removed");
}

/// A compaction keeps the live notifications with their histories, and both files together stay within the size limit.
#[test]
fn a_compacted_journal_keeps_all_live_notifications_within_its_size_limit() {
    let directory = create_directory("compact");
    let max_bytes = 300_000;
    let (mut journal, _) = open(&directory, max_bytes);
    let mut compactions = 0;
    for round in 0..2_000u64 {
        let bytes_before = file_bytes(&directory);
        if journal.has_capacity_for(700) {
            let number = accept(&mut journal, &format!("{round}"), &[round as u8; 700]);
            journal.record_push(number, Time::from_nanos(round), "zone");
            journal.record_push_ended(number, round % 2 == 0, None);
        } else {
            let oldest = journal.live().next().map(|(number, _)| number).expect("a live notification");
            journal.close(oldest);
        }
        // Some rounds do not flush, so that one flush writes many records as in a burst.
        if round % 300 > 40 {
            journal.flush().expect("disk space");
        }
        let bytes = file_bytes(&directory);
        if bytes < bytes_before {
            compactions += 1;
            assert!(bytes_before + bytes + 2 * FILE_BLOCK_BYTES <= max_bytes);
        }
        assert!(bytes + 2 * FILE_BLOCK_BYTES <= max_bytes);
    }
    journal.flush().expect("disk space");
    assert!(compactions > 3, "{compactions}");
    let (reopened, torn_bytes) = open(&directory, max_bytes);
    assert_eq!((live(&reopened), torn_bytes), (live(&journal), 0));
    assert!(reopened.live().all(|(_, entry)| entry.notification.history.push_count == 1));
    fs::remove_dir_all(directory).expect("the directory can be removed");
}
