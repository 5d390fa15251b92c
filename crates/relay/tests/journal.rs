//! The relay's journal, byte for byte: every kind of record as it is written, and read from the committed file.
//!
//! A relay must take up the journal of the release before it, whatever becomes of names in the source. Only a
//! deliberate change of the format may renew the committed files. To have them written by the present code, run
//!
//! ```text
//! UPDATE_GOLDEN=1 cargo test -p juniperwing-relay --test journal
//! ```
//!
//! and commit what is under `crates/relay/tests/golden`. `golden/state` is also what `serve::golden_state` starts a
//! relay on.

// The relay is a binary without a library, so its journal is compiled into the test.
#[allow(dead_code, missing_docs)]
#[path = "../src/journal.rs"]
mod journal;

use std::fs;
use std::path::{Path, PathBuf};

use journal::{
    AcceptedNotification, Attributes, Guarantee, History, Journal, RecordedEffect, UndeliveredEnd,
};
use juniperwing::time::Time;

/// A folder of this size is never compacted here.
const ROOM: u64 = 1_000_000;
/// In a folder of this size nothing but what is live fits: the journal is compacted at the first flush.
const NO_ROOM: u64 = 2_500;
const MINUTE: u64 = 60_000_000_000;
/// In December 2026.
const THEN: u64 = 1_796_000_000_000_000_000;
/// In the year 2100.
const VALID_UNTIL: u64 = 4_102_444_800_000_000_000;
/// A hundred years.
const CENTURY: u64 = 100 * 365 * 24 * 60 * MINUTE;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name).join("log")
}

/// An empty folder of this test's own.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("juniperwing-journal-{}-{name}", std::process::id()));
    // Left by an earlier run that failed, if it is there.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder for temporary files");
    folder
}

fn taken(topic: &str, id: &str, promise: Guarantee) -> AcceptedNotification {
    let words = Attributes {
        id: id.to_owned(),
        topic: topic.to_owned(),
        account: (topic == "safe").then(|| "a".to_owned()),
        key: promise.is_ordered.then(|| format!("key-of-{id}")),
        idempotency_key: (topic == "mark").then(|| format!("i-{id}")),
        destination: 7,
    };
    AcceptedNotification {
        attributes: words,
        valid_until_ns: VALID_UNTIL,
        history: History::default(),
        guarantee: Some(promise),
    }
}

fn safe(id: &str) -> AcceptedNotification {
    taken("safe", id, Guarantee { effect: RecordedEffect::Repeatable, is_ordered: false })
}

fn mark(id: &str, all: bool) -> AcceptedNotification {
    taken(
        "mark",
        id,
        Guarantee {
            effect: RecordedEffect::Collapsible { is_group_all: all, window_ns: CENTURY },
            is_ordered: false,
        },
    )
}

fn once(id: &str) -> AcceptedNotification {
    taken("once", id, Guarantee { effect: RecordedEffect::OnceOnly, is_ordered: true })
}

fn body(id: &str) -> Vec<u8> {
    format!("body of {id}\n").into_bytes()
}

fn take(store: &mut Journal, taken: &AcceptedNotification) -> u64 {
    let promise = taken.guarantee.expect("a promise");
    let until = Time::from_nanos(taken.valid_until_ns);
    store.accept(taken.attributes.clone(), until, promise, body(&taken.attributes.id))
}

/// Takes a notification on for every state that one may be in, and brings it there.
fn write_every_record(store: &mut Journal) {
    let then = Time::from_nanos(THEN);
    let later = Time::from_nanos(THEN + MINUTE);
    take(store, &safe("waiting"));
    let n = take(store, &mark("out", true));
    store.record_push(n, then, "z");
    let n = take(store, &mark("out-in-zone", false));
    store.record_push(n, then, "z");
    let n = take(store, &once("out-once"));
    store.record_push(n, then, "z");
    let n = take(store, &safe("returned"));
    store.record_push(n, then, "z");
    store.record_push_ended(n, true, Some(later));
    let n = take(store, &once("never-ran"));
    store.record_push(n, then, "z");
    store.record_push_ended(n, false, None);
    let n = take(store, &once("given-up"));
    store.record_end(n, UndeliveredEnd::GivenUp);
    let n = take(store, &safe("handed-back"));
    store.record_end(n, UndeliveredEnd::ReturnedToClient(1_500));
    let n = take(store, &safe("over"));
    store.close(n);
}

/// What is live after [`write_every_record`]: with number and body.
fn live() -> Vec<(u64, AcceptedNotification, Vec<u8>)> {
    let out = || Some((THEN, "z".to_owned()));
    let with = |mut taken: AcceptedNotification, history: History| {
        taken.history = history;
        taken
    };
    let none = History::default;
    let is_out = || History { push_count: 1, in_flight: out(), ..none() };
    let ended = |end| History { end: Some(end), ..none() };
    let returned =
        History { push_count: 1, first_may_have_run: out(), may_run_since_ns: Some(THEN + MINUTE), ..none() };
    let all = [
        safe("waiting"),
        with(mark("out", true), is_out()),
        with(mark("out-in-zone", false), is_out()),
        with(once("out-once"), is_out()),
        with(safe("returned"), returned),
        with(once("never-ran"), History { push_count: 1, ..none() }),
        with(once("given-up"), ended(UndeliveredEnd::GivenUp)),
        with(safe("handed-back"), ended(UndeliveredEnd::ReturnedToClient(1_500))),
    ];
    let kept = |taken: &AcceptedNotification| {
        if taken.history.end.is_some() { Vec::new() } else { body(&taken.attributes.id) }
    };
    (1..).zip(all).map(|(n, taken)| (n, taken.clone(), kept(&taken))).collect()
}

fn held(store: &Journal) -> Vec<(u64, AcceptedNotification, Vec<u8>)> {
    store.live().map(|(n, kept)| (n, kept.notification.clone(), kept.body.clone())).collect()
}

/// Has a journal written in a folder of that size, and compares it with the committed one, written and read.
fn check(name: &str, most: u64) {
    let folder = folder(name);
    let (mut store, _) = Journal::open(&folder, most).expect("a new journal");
    write_every_record(&mut store);
    store.flush().expect("room");
    let written = fs::read(folder.join("log")).expect("a journal");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::create_dir_all(golden(name).parent().expect("a folder")).expect("a folder");
        fs::write(golden(name), &written).expect("room");
    }
    let committed = fs::read(golden(name)).expect("the committed journal");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert_eq!(text(&written), text(&committed));
    assert!(written == committed, "lengths or checksums differ");

    fs::write(folder.join("log"), &committed).expect("room");
    let (store, torn) = Journal::open(&folder, ROOM).expect("the committed journal");
    assert_eq!((held(&store), torn), (live(), 0));
    fs::remove_dir_all(folder).expect("a folder of ours");
}

#[test]
fn every_kind_of_record_is_written_and_read_as_committed() {
    check("state", ROOM);
}

#[test]
fn a_compacted_journal_is_written_and_read_as_committed() {
    check("compacted", NO_ROOM);
    let committed = fs::read(golden("compacted")).expect("the committed journal");
    assert!(!String::from_utf8_lossy(&committed).contains("Pushed"), "each is one record with its history");
}
