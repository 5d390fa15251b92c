//! Versions and batches are read after a restart; torn ones are not.

use std::fs;
use std::path::PathBuf;

use juniperwing_storage::{Batch, SegmentLog, SnapshotFiles, StorageError, identity, layout};

struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("juniperwing-storage-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TempDirectory(path)
    }

    fn files(&self) -> Vec<PathBuf> {
        let mut files: Vec<PathBuf> = fs::read_dir(&self.0).unwrap().map(|e| e.unwrap().path()).collect();
        files.sort();
        files
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_newest_version_is_read_and_old_ones_are_removed() {
    let directory = TempDirectory::new("newest");
    let (mut files, newest) = SnapshotFiles::open(&directory.0, "state").unwrap();
    assert_eq!(newest, None);
    for contents in ["one", "two", "three", "four"] {
        files.write(contents.as_bytes()).unwrap();
    }
    assert_eq!(directory.files().len(), 2);
    assert_eq!(SnapshotFiles::open(&directory.0, "state").unwrap().1.as_deref(), Some(&b"four"[..]));
    assert_eq!(SnapshotFiles::open(&directory.0, "other").unwrap().1, None);
}

/// Fails if `open` reads an older version in offset of a torn one.
#[test]
fn a_torn_version_is_never_replaced_by_an_older_one() {
    let directory = TempDirectory::new("torn");
    let (mut files, _) = SnapshotFiles::open(&directory.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    let newest = directory.files().pop().unwrap();
    let bytes = fs::read(&newest).unwrap();
    for length in 0..bytes.len() {
        fs::write(&newest, &bytes[..length]).unwrap();
        assert!(corruption_error(&directory).contains("a torn version"), "{length}");
    }
    for offset in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[offset] ^= 1;
        fs::write(&newest, &corrupted).unwrap();
        assert!(corruption_error(&directory).contains("a torn version"), "{offset}");
    }
    fs::write(&newest, [&bytes[..], b"x"].concat()).unwrap();
    assert!(corruption_error(&directory).contains("a torn version"));
}

/// Fails without the comparison of version numbers in `read_snapshot`.
#[test]
fn an_older_version_under_the_newest_name_is_detected() {
    let directory = TempDirectory::new("older");
    let (mut files, _) = SnapshotFiles::open(&directory.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    let paths = directory.files();
    fs::copy(&paths[0], &paths[1]).unwrap();
    assert!(corruption_error(&directory).contains("another version"));
}

#[test]
fn a_version_in_a_temporary_file_is_not_read() {
    let directory = TempDirectory::new("temporary");
    let (mut files, _) = SnapshotFiles::open(&directory.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    fs::rename(directory.files().pop().unwrap(), directory.0.join("aside-state-0000000000000009")).unwrap();
    assert_eq!(SnapshotFiles::open(&directory.0, "state").unwrap().1.as_deref(), Some(&b"one"[..]));
    assert_eq!(directory.files().len(), 1, "temporary files accumulate");
}

#[test]
fn a_cleared_state_is_empty_and_a_version_written_afterwards_is_the_newest() {
    let directory = TempDirectory::new("cleared");
    let (mut files, _) = SnapshotFiles::open(&directory.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    fs::write(directory.files().pop().unwrap(), b"torn").unwrap();
    let mut files = SnapshotFiles::clear(&directory.0, "state").unwrap();
    assert_eq!(SnapshotFiles::open(&directory.0, "state").unwrap().1, None);
    files.write(b"three").unwrap();
    assert_eq!(SnapshotFiles::open(&directory.0, "state").unwrap().1.as_deref(), Some(&b"three"[..]));
}

/// An unknown layout must not cause a directory to be treated as lost.
#[test]
fn a_version_of_another_release_is_not_corruption() {
    let directory = TempDirectory::new("release");
    let (mut segments, _) = SegmentLog::open(&directory.0).unwrap();
    segments.append(b"one").unwrap();
    fs::rename(directory.files().pop().unwrap(), directory.0.join("state-0000000000000001")).unwrap();
    let error = SnapshotFiles::open(&directory.0, "state").unwrap_err();
    assert!(!error.is_corruption() && error.to_string().contains("another release"), "{error}");
}

/// Opens the state of a directory and returns the error, which must be a corruption.
fn corruption_error(directory: &TempDirectory) -> String {
    let error = SnapshotFiles::open(&directory.0, "state").unwrap_err();
    assert!(error.is_corruption(), "{error}");
    error.to_string()
}

#[test]
fn batches_are_read_in_order_without_removed_segments() {
    let directory = TempDirectory::new("batches");
    let (mut files, found) = SegmentLog::open(&directory.0).unwrap();
    assert!(found.is_empty());
    let first = files.append(b"a").unwrap();
    assert_eq!(files.append(b"b").unwrap(), first);
    files.remove(first).unwrap();
    let second = files.append(b"c").unwrap();
    assert!(second > first);
    files.append(b"d").unwrap();
    let (mut files, found) = SegmentLog::open(&directory.0).unwrap();
    assert_eq!(contents(&found), [b"c", b"d"]);
    assert!(found.iter().all(|batch| batch.segment == second));
    assert!(files.append(b"e").unwrap() > second);
    assert_eq!(contents(&SegmentLog::open(&directory.0).unwrap().1), [b"c", b"d", b"e"]);
}

#[test]
fn a_torn_batch_is_skipped_and_nothing_is_appended_after_it() {
    let directory = TempDirectory::new("torn-batch");
    let (mut files, _) = SegmentLog::open(&directory.0).unwrap();
    for contents in [b"a", b"b", b"c"] {
        files.append(contents).unwrap();
    }
    let segment = directory.files().pop().unwrap();
    let bytes = fs::read(&segment).unwrap();
    let frame = bytes.len() / 3;
    for length in 0..bytes.len() {
        fs::write(&segment, &bytes[..length]).unwrap();
        let (mut files, found) = SegmentLog::open(&directory.0).unwrap();
        assert_eq!(found.len(), length / frame, "{length} bytes");
        files.append(b"z").unwrap();
        let (_, found) = SegmentLog::open(&directory.0).unwrap();
        assert_eq!(found.len(), length / frame + 1, "{length} bytes");
        assert_eq!(found.last().unwrap().contents, b"z");
        for file in directory.files() {
            fs::remove_file(file).unwrap();
        }
    }
}

#[test]
fn segments_are_sealed_when_they_are_large() {
    let directory = TempDirectory::new("sealed");
    let (mut files, _) = SegmentLog::open(&directory.0).unwrap();
    let contents = vec![7; 100 << 10];
    let segments: Vec<_> = (0..25).map(|_| files.append(&contents).unwrap()).collect();
    assert!(segments.is_sorted());
    assert_eq!(directory.files().len(), 3);
    assert_eq!(SegmentLog::open(&directory.0).unwrap().1.len(), 25);
}

fn contents(batches: &[Batch]) -> Vec<&[u8]> {
    batches.iter().map(|batch| batch.contents.as_slice()).collect()
}

#[test]
fn an_identity_is_stable_until_its_directory_is_lost() {
    let directory = TempDirectory::new("identity");
    assert_eq!(identity::open(&directory.0, 7).unwrap(), (7, true));
    assert_eq!(identity::open(&directory.0, 8).unwrap(), (7, false));
    identity::renew(&directory.0, 5).unwrap();
    assert_eq!(identity::open(&directory.0, 8).unwrap(), (5, false));
    fs::write(directory.files().pop().unwrap(), b"torn").unwrap();
    assert_eq!(identity::open(&directory.0, 6).unwrap(), (6, true));
    assert_eq!(identity::open(&directory.0, 8).unwrap(), (6, false));
    fs::remove_dir_all(&directory.0).unwrap();
    assert_eq!(identity::open(&directory.0, 9).unwrap(), (9, true));
}

#[test]
fn a_directory_retains_its_layout_and_rejects_others() {
    let directory = TempDirectory::new("layout");
    // A directory without a layout number has the first layout, which is recorded.
    layout::check(&directory.0, "state", 1).unwrap();
    layout::check(&directory.0, "state", 1).unwrap();
    let other = layout::check(&directory.0, "state", 2);
    assert!(matches!(other, Err(StorageError::UnsupportedLayout { .. })), "{other:?}");
    // Files with another name in the same directory have a layout of their own.
    layout::check(&directory.0, "other", 1).unwrap();
    let unnumbered = TempDirectory::new("layout-unnumbered");
    assert!(matches!(layout::check(&unnumbered.0, "state", 2), Err(StorageError::UnsupportedLayout { .. })));
}

#[test]
fn an_identity_of_another_release_is_rejected_and_retained() {
    let directory = TempDirectory::new("identity-release");
    let (mut files, _) = SnapshotFiles::open(&directory.0, "identity").unwrap();
    files.write(b"a longer identity").unwrap();
    let before = directory.files();
    let opened = identity::open(&directory.0, 7);
    assert!(matches!(opened, Err(StorageError::UnsupportedLayout { .. })), "{opened:?}");
    assert_eq!(directory.files(), before);
}
