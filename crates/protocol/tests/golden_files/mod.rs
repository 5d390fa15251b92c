//! Golden files: committed encodings that the present code must reproduce byte for byte.
//!
//! `UPDATE_GOLDEN=1` writes them; otherwise a missing file fails the test.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::fs;
use std::path::{Path, PathBuf};

/// Asserts that each value encodes to exactly the bytes of its golden file, that these bytes decode to the value, and
/// that `folder`, relative to the tests of the package, contains no other files.
pub fn assert_golden<T: Debug + PartialEq>(
    folder: &str, table: &[(&str, T)], encode: impl Fn(&T) -> Vec<u8>, decode: impl Fn(&[u8]) -> T,
) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(folder);
    let mut expected_paths = BTreeSet::new();
    for (name, value) in table {
        let path = folder.join(format!("{name}.bin"));
        let encoded = encode(value);
        if is_update() {
            fs::create_dir_all(&folder).expect("create the golden directory");
            fs::write(&path, &encoded).expect("write a golden file");
        }
        let golden = fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert_eq!(encoded, golden, "the encoding of {name} differs from its golden file");
        assert_eq!(decode(&golden), *value, "the golden file of {name} decodes to another value");
        assert!(expected_paths.insert(path), "{name} is in the table twice");
    }
    assert_eq!(files_in(&folder), expected_paths, "golden files and table differ");
}

fn is_update() -> bool {
    std::env::var("UPDATE_GOLDEN").is_ok_and(|value| value == "1")
}

fn files_in(folder: &Path) -> BTreeSet<PathBuf> {
    let entries = fs::read_dir(folder).expect("list the golden directory");
    let paths = entries.map(|entry| entry.expect("read an entry of the golden directory").path());
    paths.filter(|path| path.is_file()).collect()
}
