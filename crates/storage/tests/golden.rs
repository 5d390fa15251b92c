//! Files have the same names and bytes as in earlier releases.

#[path = "../../protocol/tests/golden_files/mod.rs"]
mod golden_files;

use std::fs;
use std::path::{Path, PathBuf};

use golden_files::assert_golden;
use juniperwing_storage::{SegmentLog, SnapshotFiles, identity, layout};

/// The number of the first version or segment, as in file names.
const FIRST: &str = "0000000000000001";

#[test]
fn a_version_has_its_golden_bytes() {
    let write = |directory: &Path, contents: &Vec<u8>| open_versions(directory).0.write(contents).unwrap();
    let read = |directory: &Path| open_versions(directory).1.expect("a version");
    let versions = [("empty", Vec::new()), ("filled", b"contents \x00\x7f\x80\xff".to_vec())];
    assert_file("versions", &format!("state-{FIRST}"), &versions, write, read);
}

#[test]
fn a_later_version_has_its_golden_bytes() {
    let name = "state-0000000000000012";
    let write = |directory: &Path, contents: &Vec<u8>| {
        let (mut files, _) = open_versions(directory);
        (1..0x12).for_each(|_| files.write(b"earlier").unwrap());
        files.write(contents).unwrap();
    };
    let read = |directory: &Path| open_versions(directory).1.expect("a version");
    assert_file("later-versions", name, &[("filled", b"later contents".to_vec())], write, read);
}

#[test]
fn an_identity_has_its_golden_bytes() {
    let new_identity = 0x0102_0304_0506_0708;
    let open =
        |directory: &Path, new: &u64| assert_eq!(identity::open(directory, *new).unwrap(), (*new, true));
    let read = |directory: &Path| {
        let (identity, is_new) = identity::open(directory, !new_identity).unwrap();
        assert!(!is_new);
        identity
    };
    assert_file("identities", &format!("identity-{FIRST}"), &[("drawn", new_identity)], open, read);
    let renew = |directory: &Path, new: &u64| {
        fs::create_dir_all(directory).unwrap();
        identity::renew(directory, *new).unwrap();
    };
    assert_file("identities", &format!("identity-{FIRST}"), &[("drawn", new_identity)], renew, read);
}

/// Other layouts are rejected in a directory without a layout number, so only the first can be written.
#[test]
fn a_layout_has_its_golden_bytes() {
    let write = |directory: &Path, number: &u32| layout::check(directory, "sessions", *number).unwrap();
    let read = |directory: &Path| {
        layout::check(directory, "sessions", 2).expect_err("another layout");
        layout::check(directory, "sessions", 1).expect("the first layout");
        1
    };
    assert_file("layouts", &format!("layout-sessions-{FIRST}"), &[("first", 1)], write, read);
}

#[test]
fn a_segment_has_its_golden_bytes() {
    let batches = vec![b"one".to_vec(), Vec::new(), b"three \x00\x7f\x80\xff".to_vec()];
    let write = |directory: &Path, batches: &Vec<Vec<u8>>| {
        let (mut files, _) = SegmentLog::open(directory).unwrap();
        for batch in batches {
            assert_eq!(files.append(batch).unwrap().0, 1);
        }
    };
    let read = |directory: &Path| {
        let (_, batches) = SegmentLog::open(directory).unwrap();
        assert!(batches.iter().all(|batch| batch.segment.0 == 1));
        batches.into_iter().map(|batch| batch.contents).collect()
    };
    assert_file("segments", &format!("segment-{FIRST}"), &[("batches", batches)], write, read);
}

fn open_versions(directory: &Path) -> (SnapshotFiles, Option<Vec<u8>>) {
    SnapshotFiles::open(directory, "state").unwrap()
}

/// Asserts that `write` creates the file `name` with the golden bytes, and that `read` reads the value from a directory
/// that contains only this file.
fn assert_file<T: std::fmt::Debug + PartialEq>(
    golden: &str, name: &str, table: &[(&str, T)], write: impl Fn(&Path, &T), read: impl Fn(&Path) -> T,
) {
    let encode = |value: &T| {
        let directory = TempDirectory::new(golden);
        write(&directory.0, value);
        fs::read(directory.0.join(name)).expect("the file that was written")
    };
    let decode = |bytes: &[u8]| {
        let directory = TempDirectory::new(golden);
        fs::create_dir_all(&directory.0).unwrap();
        fs::write(directory.0.join(name), bytes).unwrap();
        read(&directory.0)
    };
    assert_golden(&format!("golden/{golden}"), table, encode, decode);
}

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let name = format!("juniperwing-storage-golden-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        TempDirectory(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
