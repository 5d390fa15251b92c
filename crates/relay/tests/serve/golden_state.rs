//! A relay is started with a committed journal that contains a notification in each possible state.
//!
//! `tests/journal.rs` writes the journal and describes how to regenerate it.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde_json::{Value, json};

use crate::harness::RelayHarness;

/// Starts a relay with a committed journal, and checks its pushes and notices.
fn check_pushes_and_notices(name: &str) {
    let mut harness = RelayHarness::start();
    harness.kill();
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name).join("log");
    fs::copy(committed, harness.state_directory().join("log")).expect("the committed journal");
    harness.restart();

    let mut pushes: Vec<(String, Option<String>, String)> = Vec::new();
    for _ in 0..5 {
        let mut push = harness.endpoint.next_message();
        let body = String::from_utf8(push.body.clone()).expect("text");
        pushes.push((push.id().to_owned(), push.header("Idempotency-Key").map(str::to_owned), body));
        push.respond("200 OK", "", "");
    }
    pushes.sort();
    let push =
        |id: &str, key: Option<&str>| (id.to_owned(), key.map(str::to_owned), format!("body of {id}\n"));
    let expected = [
        push("never-ran", None),
        push("out", Some("i-out")),
        push("out-in-zone", Some("i-out-in-zone")),
        push("returned", None),
        push("waiting", None),
    ];
    assert_eq!(pushes, expected);

    let mut ends: BTreeMap<String, Value> = BTreeMap::new();
    while ends.len() < 3 {
        let (mut message, notices) = harness.next_notices();
        let id = |notice: &Value| notice["message"].as_str().expect("an id").to_owned();
        ends.extend(notices.into_iter().map(|notice| (id(&notice), notice)));
        message.respond("204 No Content", "", "");
    }
    let expected = [
        json!({"message": "given-up", "outcome": "given_up"}),
        json!({"message": "handed-back", "outcome": "handed_back", "retry_in_ms": 1_500}),
        json!({"message": "out-once", "outcome": "given_up"}),
    ];
    assert_eq!(ends.into_values().collect::<Vec<_>>(), expected);
}

#[test]
fn a_relay_continues_the_committed_state() {
    check_pushes_and_notices("state");
}

#[test]
fn a_relay_continues_the_committed_state_after_compaction() {
    check_pushes_and_notices("compacted");
}
