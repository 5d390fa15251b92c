//! The files and functions that `docs/architecture.md` names exist.

use std::fs;
use std::path::Path;

/// The references between backquotes that begin with a source directory: a path, and after a colon a function.
fn references(page: &str) -> Vec<&str> {
    let quoted = page.split('`').skip(1).step_by(2);
    quoted
        .filter(|text| ["src/", "crates/", "tests/", "docs/"].iter().any(|root| text.starts_with(root)))
        .collect()
}

/// Whether `source` declares a function of this name.
fn declares(source: &str, function: &str) -> bool {
    source.match_indices(&format!("fn {function}")).any(|(start, found)| {
        let following = source[start + found.len()..].chars().next();
        matches!(following, Some('(' | '<'))
    })
}

fn missing(reference: &str) -> bool {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    match reference.split_once(": ") {
        None => !root.join(reference).exists(),
        Some((path, function)) => {
            !fs::read_to_string(root.join(path)).is_ok_and(|source| declares(&source, function))
        }
    }
}

#[test]
fn files_and_functions_of_the_architecture_page_exist() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/architecture.md");
    let page = fs::read_to_string(page).expect("the page is readable");
    let references = references(&page);
    assert!(references.len() > 50, "only {} references found", references.len());
    let missing: Vec<&str> = references.into_iter().filter(|reference| missing(reference)).collect();
    assert!(missing.is_empty(), "not found: {missing:#?}");
}

#[test]
fn a_reference_to_a_missing_function_or_file_is_noticed() {
    assert!(!missing("src/relay.rs: route"));
    assert!(missing("src/relay.rs: rout"));
    assert!(missing("src/relay.rs: no_such_function"));
    assert!(missing("src/no_such_file.rs"));
}
