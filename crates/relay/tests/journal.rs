//! The on-disk format of the journal: every kind of record is written and read back, and compared byte for byte with
//! the committed files.
//!
//! A relay must be able to read the journal of the previous release, so renaming identifiers must not change the
//! format. The committed files may only be regenerated for a deliberate change of the format. To do so, run
//!
//! ```text
//! UPDATE_GOLDEN=1 cargo test -p juniperwing-relay --test journal
//! ```
//!
//! and commit the files under `crates/relay/tests/golden`. `serve::golden_state` starts a relay with `golden/state` and
//! `golden/compacted`.

use std::fs;
use std::path::{Path, PathBuf};

use juniperwing::time::Time;
use juniperwing_relay::journal::{
    AcceptedNotification, Attributes, Guarantee, History, Journal, OpenedJournal, RecordedSemantics,
    SentPush, UndeliveredEnd,
};

/// A size limit at which these tests cause no compaction.
const LARGE_LIMIT_BYTES: u64 = 1_000_000;
/// A size limit that only fits the live notifications: the journal is compacted at the first flush.
const SMALL_LIMIT_BYTES: u64 = 2_500;
const MINUTE_NS: u64 = 60_000_000_000;
/// In December 2026.
const SENT_AT_NS: u64 = 1_796_000_000_000_000_000;
/// In the year 2100.
const VALID_UNTIL_NS: u64 = 4_102_444_800_000_000_000;
/// A hundred years.
const CENTURY_NS: u64 = 100 * 365 * 24 * 60 * MINUTE_NS;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name).join("log")
}

/// Creates an empty directory for one test.
fn create_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("juniperwing-journal-{}-{name}", std::process::id()));
    // May have been left by an earlier failed run.
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("a directory for temporary files");
    directory
}

fn notification(topic: &str, id: &str, guarantee: Guarantee) -> AcceptedNotification {
    let attributes = Attributes {
        id: id.to_owned(),
        topic: topic.to_owned(),
        account: (topic == "safe").then(|| "a".to_owned()),
        key: guarantee.is_ordered.then(|| format!("key-of-{id}")),
        idempotency_key: (topic == "mark").then(|| format!("i-{id}")),
        destination: 7,
    };
    AcceptedNotification {
        attributes,
        valid_until_ns: VALID_UNTIL_NS,
        history: History::default(),
        guarantee: Some(guarantee),
    }
}

fn safe(id: &str) -> AcceptedNotification {
    notification("safe", id, Guarantee { semantics: RecordedSemantics::Idempotent, is_ordered: false })
}

fn mark(id: &str, all: bool) -> AcceptedNotification {
    notification(
        "mark",
        id,
        Guarantee {
            semantics: RecordedSemantics::Deduplicated { is_scope_all: all, window_ns: CENTURY_NS },
            is_ordered: false,
        },
    )
}

fn once(id: &str) -> AcceptedNotification {
    notification("once", id, Guarantee { semantics: RecordedSemantics::NonIdempotent, is_ordered: true })
}

fn body(id: &str) -> Vec<u8> {
    format!("body of {id}\n").into_bytes()
}

fn accept(journal: &mut Journal, notification: &AcceptedNotification) -> u64 {
    let guarantee = notification.guarantee.expect("a guarantee");
    let until = Time::from_nanos(notification.valid_until_ns);
    let attributes = notification.attributes.clone();
    let body = body(&attributes.id);
    journal.accept(attributes, until, guarantee, body)
}

/// Accepts a notification for each possible state and moves it to that state.
fn write_every_record(journal: &mut Journal) {
    let sent_at = Time::from_nanos(SENT_AT_NS);
    let ended_at = Time::from_nanos(SENT_AT_NS + MINUTE_NS);
    accept(journal, &safe("waiting"));
    let number = accept(journal, &mark("out", true));
    journal.record_push(number, sent_at, "z");
    let number = accept(journal, &mark("out-in-zone", false));
    journal.record_push(number, sent_at, "z");
    let number = accept(journal, &once("out-once"));
    journal.record_push(number, sent_at, "z");
    let number = accept(journal, &safe("returned"));
    journal.record_push(number, sent_at, "z");
    journal.record_push_ended(number, true, Some(ended_at));
    let number = accept(journal, &once("never-ran"));
    journal.record_push(number, sent_at, "z");
    journal.record_push_ended(number, false, None);
    let number = accept(journal, &once("given-up"));
    journal.record_end(number, UndeliveredEnd::GivenUp);
    let number = accept(journal, &safe("handed-back"));
    journal.record_end(number, UndeliveredEnd::ReturnedToClient(1_500));
    let number = accept(journal, &safe("over"));
    journal.close(number);
}

/// Returns the notifications that are live after [`write_every_record`], with their numbers and bodies.
fn expected_live() -> Vec<(u64, AcceptedNotification, Vec<u8>)> {
    let push = || Some(SentPush { sent_at_ns: SENT_AT_NS, zone: "z".to_owned() });
    let with = |mut notification: AcceptedNotification, history: History| {
        notification.history = history;
        notification
    };
    let none = History::default;
    let in_flight = || History { push_count: 1, in_flight: push(), ..none() };
    let ended = |end| History { end: Some(end), ..none() };
    let may_run_since_ns = Some(SENT_AT_NS + MINUTE_NS);
    let timed_out = History { push_count: 1, first_possible_execution: push(), may_run_since_ns, ..none() };
    let all = [
        safe("waiting"),
        with(mark("out", true), in_flight()),
        with(mark("out-in-zone", false), in_flight()),
        with(once("out-once"), in_flight()),
        with(safe("returned"), timed_out),
        with(once("never-ran"), History { push_count: 1, ..none() }),
        with(once("given-up"), ended(UndeliveredEnd::GivenUp)),
        with(safe("handed-back"), ended(UndeliveredEnd::ReturnedToClient(1_500))),
    ];
    let body_of = |notification: &AcceptedNotification| match notification.history.end {
        Some(_) => Vec::new(),
        None => body(&notification.attributes.id),
    };
    (1..)
        .zip(all)
        .map(|(number, notification)| (number, notification.clone(), body_of(&notification)))
        .collect()
}

fn live(journal: &Journal) -> Vec<(u64, AcceptedNotification, Vec<u8>)> {
    journal.live().map(|(number, entry)| (number, entry.notification.clone(), entry.body.clone())).collect()
}

/// Writes a journal with this size limit, compares it with the committed file, and checks the state read from that
/// file.
fn check_golden_journal(name: &str, max_bytes: u64) {
    let directory = create_directory(name);
    let OpenedJournal { mut journal, .. } = Journal::open(&directory, max_bytes).expect("a new journal");
    write_every_record(&mut journal);
    journal.flush().expect("disk space");
    let written = fs::read(directory.join("log")).expect("a journal");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::create_dir_all(golden(name).parent().expect("a directory")).expect("a directory");
        fs::write(golden(name), &written).expect("disk space");
    }
    let committed = fs::read(golden(name)).expect("the committed journal");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert_eq!(text(&written), text(&committed));
    assert!(written == committed, "lengths or checksums differ");

    fs::write(directory.join("log"), &committed).expect("disk space");
    let OpenedJournal { journal, torn_bytes } =
        Journal::open(&directory, LARGE_LIMIT_BYTES).expect("the committed journal");
    assert_eq!((live(&journal), torn_bytes), (expected_live(), 0));
    fs::remove_dir_all(directory).expect("the directory can be removed");
}

#[test]
fn every_kind_of_record_is_written_and_read_as_committed() {
    check_golden_journal("state", LARGE_LIMIT_BYTES);
}

#[test]
fn a_compacted_journal_is_written_and_read_as_committed() {
    check_golden_journal("compacted", SMALL_LIMIT_BYTES);
    let committed = fs::read(golden("compacted")).expect("the committed journal");
    assert!(
        !String::from_utf8_lossy(&committed).contains("Pushed"),
        "each notification must be one record with its history"
    );
}
