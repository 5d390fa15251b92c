//! Golden files: expected texts, committed in `tests/golden` of each crate.
//!
//! `UPDATE_GOLDEN=1 cargo test ...` regenerates them; otherwise a missing or different file fails its test. They
//! contain names that users depend on, so any difference other than an added line breaks compatibility.

use std::path::Path;

/// Asserts that a text equals the golden file of this name.
#[track_caller]
pub fn assert_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some_and(|value| value == "1") {
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder for golden files");
        std::fs::write(&path, text).expect("a written golden file");
        return;
    }
    let golden = std::fs::read_to_string(&path);
    let golden =
        golden.unwrap_or_else(|error| panic!("{}: {error}; UPDATE_GOLDEN=1 writes it", path.display()));
    let line = golden.lines().zip(text.lines()).position(|(golden, actual)| golden != actual);
    let line = line.unwrap_or_else(|| golden.lines().count().min(text.lines().count())) + 1;
    let position = format!("{}:{line}", path.display());
    assert!(golden == text, "{position} is the first difference\n--- golden\n{golden}\n--- actual\n{text}");
}
