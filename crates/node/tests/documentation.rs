//! Everything that the pages for operators and developers refer to exists: the log lines and metrics in
//! `docs/on-call.md`, and the files and functions in `docs/architecture.md` and `docs/glossary.md`.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

#[test]
fn every_log_line_that_the_on_call_page_quotes_is_written_by_the_code() {
    let sources = sources_of(&["crates/node/src", "crates/relay/src", "crates/log/src", "src"]);
    let text: String = sources.iter().map(|path| read(path)).collect();
    let quoted = quoted_in_column("docs/on-call.md", "log line");
    assert!(quoted.len() > 40, "{} log lines", quoted.len());
    let missing: Vec<_> = quoted.iter().filter(|line| !text.contains(&format!("\"{line}\""))).collect();
    assert!(missing.is_empty(), "log lines not found in the code: {missing:#?}");
}

#[test]
fn every_metric_that_the_on_call_page_quotes_is_exposed() {
    let golden = ["relay", "keeper", "store"]
        .map(|role| read(&root().join(format!("crates/relay/tests/golden/metrics-{role}.txt"))))
        .concat();
    let exposed: BTreeSet<&str> = golden.lines().filter_map(|line| line.split(['{', ' ']).next()).collect();
    let quoted = quoted_in_column("docs/on-call.md", "metric");
    assert!(quoted.len() > 25, "{} metrics", quoted.len());
    let missing: Vec<_> = quoted.iter().filter(|name| !exposed.contains(name.as_str())).collect();
    assert!(missing.is_empty(), "metrics not exposed by any role: {missing:#?}");
}

#[test]
fn every_file_and_function_that_the_architecture_names_exists() {
    let pages = ["docs/architecture.md", "docs/glossary.md"].map(|page| read(&root().join(page))).concat();
    let references: Vec<String> = code_spans(&pages).into_iter().filter(|span| is_reference(span)).collect();
    assert!(references.len() > 50, "only {} references", references.len());
    let missing: Vec<&String> = references.iter().filter(|reference| !exists(reference)).collect();
    assert!(missing.is_empty(), "not found: {missing:#?}");
}

#[test]
fn a_missing_file_or_function_is_detected() {
    assert!(exists("src/relay.rs: route"));
    assert!(!exists("src/relay.rs: rout"));
    assert!(!exists("src/relay.rs: no_such_function"));
    assert!(!exists("src/no_such_file.rs"));
}

/// Whether a code span is a reference to a file or function, like `crates/x/src/y.rs` or
/// `crates/x/src/y.rs: function`.
fn is_reference(span: &str) -> bool {
    ["src/", "crates/", "tests/", "docs/"].iter().any(|directory| span.starts_with(directory))
}

fn exists(reference: &str) -> bool {
    match reference.split_once(": ") {
        None => root().join(reference).exists(),
        Some((path, function)) => {
            fs::read_to_string(root().join(path)).is_ok_and(|source| declares(&source, function))
        }
    }
}

/// Whether `source` declares a function with exactly this name.
fn declares(source: &str, function: &str) -> bool {
    source.match_indices(&format!("fn {function}")).any(|(start, found)| {
        let following = source[start + found.len()..].chars().next();
        matches!(following, Some('(' | '<'))
    })
}

/// Collects the code spans in the cells of a column, from all tables of the page that have this column.
fn quoted_in_column(page: &str, heading: &str) -> BTreeSet<String> {
    let mut quoted = BTreeSet::new();
    let mut column = None;
    for line in read(&root().join(page)).lines() {
        if !line.starts_with('|') {
            column = None;
            continue;
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        match column {
            None => column = Some(cells.iter().position(|cell| *cell == heading)),
            Some(Some(index)) => quoted.extend(code_spans(cells[index])),
            Some(None) => {}
        }
    }
    quoted
}

fn code_spans(text: &str) -> Vec<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

fn sources_of(directories: &[&str]) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let mut remaining: Vec<PathBuf> = directories.iter().map(|directory| root().join(directory)).collect();
    while let Some(path) = remaining.pop() {
        if path.is_dir() {
            remaining.extend(
                fs::read_dir(&path).expect("a directory").map(|entry| entry.expect("an entry").path()),
            );
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}
