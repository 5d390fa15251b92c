//! Golden files: text as it is now, committed beside the tests that compare with it, in `tests/golden` of each crate.
//!
//! `UPDATE_GOLDEN=1 cargo test ...` writes them anew; without it a file that is missing or differs fails its test. What
//! they hold is seen from outside by name, so a difference is a break for someone unless it is only a new line.

use std::path::Path;

/// Asserts that a text is the one in the golden file of this name.
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
    let line = golden.lines().zip(text.lines()).position(|(golden, now)| golden != now);
    let line = line.unwrap_or_else(|| golden.lines().count().min(text.lines().count())) + 1;
    let position = format!("{}:{line}", path.display());
    assert!(golden == text, "{position} is the first difference\n--- golden\n{golden}\n--- now\n{text}");
}
