//! The same seed gives the same history in different processes, and the sources avoid constructs that would prevent that.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// How many scenarios are run from each first seed.
const SCENARIOS: &str = "20";
/// The first seeds. Some histories of the seeds from 478 on once depended on the order in which a killed process dropped
/// its connections.
const FIRST_SEEDS: [&str; 2] = ["1", "478"];

/// The digests of the histories of scenarios, run in a separate process on `threads` threads.
fn digests(arguments: &[&str], threads: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing-emulator"));
    command.args(["--digest", "--jobs", threads]).args(arguments);
    let output = command.output().expect("the program runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("UTF-8")
}

/// Two processes differ in memory addresses, hash keys and thread ids, none of which may affect a history.
#[test]
fn same_seeds_give_same_histories_in_two_processes() {
    for first_seed in FIRST_SEEDS {
        assert_same_digests(&["--seed", first_seed, "--days", SCENARIOS]);
    }
}

#[test]
fn same_seeds_with_stores_give_same_histories_in_two_processes() {
    assert_same_digests(&["--stores", "--days", "6"]);
}

fn assert_same_digests(arguments: &[&str]) {
    let (first, second) = (digests(arguments, "2"), digests(arguments, "3"));
    assert!(first.lines().count() >= 6, "{first}");
    let difference = first.lines().zip(second.lines()).find(|(one, other)| one != other);
    assert_eq!(difference, None);
    assert_eq!(first.lines().count(), second.lines().count());
}

/// The `.rs` files below a directory.
fn sources(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("a readable directory").map(|entry| entry.unwrap().path());
    let (directories, files): (Vec<_>, Vec<_>) = entries.partition(|path| path.is_dir());
    let is_source = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "rs");
    let nested = directories.iter().flat_map(|directory| sources(directory));
    files.into_iter().filter(is_source).chain(nested).collect()
}

/// `select!` polls its branches in a random order unless it is `biased`. `clippy.toml` disallows hash maps and tokio's
/// `watch`.
#[test]
fn every_select_has_a_fixed_order() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let directories = ["node", "emulator"].map(|name| crates.join(name).join("src"));
    let files: Vec<PathBuf> = directories.iter().flat_map(|directory| sources(directory)).collect();
    let mut selects = 0;
    for file in files {
        let text = fs::read_to_string(&file).expect("a readable file");
        for after in text.split("select! {").skip(1) {
            selects += 1;
            assert!(after.trim_start().starts_with("biased;"), "{}: {after:.80}", file.display());
        }
    }
    assert!(selects > 0, "no select found: does this test still look in the right place?");
}
