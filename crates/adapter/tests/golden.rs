//! Compares the adapter's replies to batches with every kind of event with the committed ones, byte for byte.
//!
//! The wire protocol is an external interface and must not change when names in the source do. When the core's
//! decisions change, regenerate the replies and check that no key or keyword differs. Run
//!
//! ```text
//! UPDATE_GOLDEN=1 cargo test -p juniperwing-adapter --test golden
//! ```
//!
//! `golden/input.jsonl` is the input of the test and is never regenerated. The core never issues a probe command, so no
//! reply contains `SoundOut`.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use serde_json::Value;

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// The kinds of the messages in the array `list` of all JSON lines.
fn kinds(lines: &str, list: &str) -> BTreeSet<String> {
    let lines = lines.lines().map(|line| serde_json::from_str::<Value>(line).expect("a line of JSON"));
    let messages = lines.flat_map(|line| line[list].as_array().expect("a list").clone());
    messages.map(|message| message["m"].as_str().expect("a kind").to_owned()).collect()
}

fn set(kinds: &[&str]) -> BTreeSet<String> {
    kinds.iter().map(|kind| (*kind).to_owned()).collect()
}

/// Checks that the committed files contain every kind of message.
fn check_coverage() {
    let read = |name| fs::read_to_string(golden_path(name)).expect("a committed file");
    let events =
        ["Accept", "Answer", "Endpoints", "HealthResult", "Inventory", "Kill", "Ring", "Spawn", "Withdrawn"];
    assert_eq!(kinds(&read("input.jsonl"), "happened"), set(&events));
    let commands =
        ["AbortAttempt", "Bounce", "DropConns", "Fail", "Listen", "NotifyMe", "SayLog", "Transmit"];
    assert_eq!(kinds(&read("output.jsonl"), "cmds"), set(&commands));
}

#[test]
fn replies_to_every_kind_of_event_equal_the_committed_ones() {
    let output = Command::new(env!("CARGO_BIN_EXE_juniperwing-adapter"))
        .stdin(Stdio::from(File::open(golden_path("input.jsonl")).expect("the input")))
        .output()
        .expect("the adapter runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = String::from_utf8(output.stdout).expect("text");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(golden_path("output.jsonl"), &replies).expect("the replies are written");
    }
    let committed = fs::read_to_string(golden_path("output.jsonl")).expect("the committed replies");
    for (number, (reply, committed)) in replies.lines().zip(committed.lines()).enumerate() {
        assert_eq!(reply, committed, "line {}", number + 1);
    }
    assert_eq!(replies, committed);
    check_coverage();
}
