//! Versions and batches outlast restarts; what is torn is not read.

use std::fs;
use std::path::PathBuf;

use juniperwing_storage::{Batch, SegmentLog, SnapshotFiles, StorageError, identity, layout};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("juniperwing-storage-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Folder(path)
    }

    fn files(&self) -> Vec<PathBuf> {
        let mut files: Vec<PathBuf> = fs::read_dir(&self.0).unwrap().map(|e| e.unwrap().path()).collect();
        files.sort();
        files
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_newest_version_is_read_and_old_ones_go() {
    let folder = Folder::new("newest");
    let (mut files, newest) = SnapshotFiles::open(&folder.0, "state").unwrap();
    assert_eq!(newest, None);
    for contents in ["one", "two", "three", "four"] {
        files.write(contents.as_bytes()).unwrap();
    }
    assert_eq!(folder.files().len(), 2);
    assert_eq!(SnapshotFiles::open(&folder.0, "state").unwrap().1.as_deref(), Some(&b"four"[..]));
    assert_eq!(SnapshotFiles::open(&folder.0, "other").unwrap().1, None);
}

/// Fails if `open` looks for an older version behind one that is torn.
#[test]
fn a_torn_version_is_never_replaced_by_an_older_one() {
    let folder = Folder::new("torn");
    let (mut files, _) = SnapshotFiles::open(&folder.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    let newest = folder.files().pop().unwrap();
    let bytes = fs::read(&newest).unwrap();
    for length in 0..bytes.len() {
        fs::write(&newest, &bytes[..length]).unwrap();
        assert!(open_damaged(&folder).contains("a torn version"), "{length}");
    }
    for place in 0..bytes.len() {
        let mut garbled = bytes.clone();
        garbled[place] ^= 1;
        fs::write(&newest, &garbled).unwrap();
        assert!(open_damaged(&folder).contains("a torn version"), "{place}");
    }
    fs::write(&newest, [&bytes[..], b"x"].concat()).unwrap();
    assert!(open_damaged(&folder).contains("a torn version"));
}

/// Fails without the comparison of numbers in `read_version`.
#[test]
fn an_older_version_under_the_newest_name_is_found() {
    let folder = Folder::new("older");
    let (mut files, _) = SnapshotFiles::open(&folder.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    let paths = folder.files();
    fs::copy(&paths[0], &paths[1]).unwrap();
    assert!(open_damaged(&folder).contains("another version"));
}

#[test]
fn a_version_still_aside_was_never_confirmed() {
    let folder = Folder::new("aside");
    let (mut files, _) = SnapshotFiles::open(&folder.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    fs::rename(folder.files().pop().unwrap(), folder.0.join("aside-state-0000000000000009")).unwrap();
    assert_eq!(SnapshotFiles::open(&folder.0, "state").unwrap().1.as_deref(), Some(&b"one"[..]));
    assert_eq!(folder.files().len(), 1, "what is aside does not pile up");
}

#[test]
fn a_state_that_was_cleared_is_empty_and_a_version_written_then_is_the_newest() {
    let folder = Folder::new("cleared");
    let (mut files, _) = SnapshotFiles::open(&folder.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    fs::write(folder.files().pop().unwrap(), b"torn").unwrap();
    let mut files = SnapshotFiles::clear(&folder.0, "state").unwrap();
    assert_eq!(SnapshotFiles::open(&folder.0, "state").unwrap().1, None);
    files.write(b"three").unwrap();
    assert_eq!(SnapshotFiles::open(&folder.0, "state").unwrap().1.as_deref(), Some(&b"three"[..]));
}

/// A layout that is not known must not make a folder count as lost.
#[test]
fn a_version_of_another_release_is_no_damage() {
    let folder = Folder::new("release");
    let (mut segments, _) = SegmentLog::open(&folder.0).unwrap();
    segments.append(b"one").unwrap();
    fs::rename(folder.files().pop().unwrap(), folder.0.join("state-0000000000000001")).unwrap();
    let error = SnapshotFiles::open(&folder.0, "state").unwrap_err();
    assert!(!error.is_corruption() && error.to_string().contains("another release"), "{error}");
}

/// Opens the state of a folder, which must be found damaged, and tells what is said of it.
fn open_damaged(folder: &Folder) -> String {
    let error = SnapshotFiles::open(&folder.0, "state").unwrap_err();
    assert!(error.is_corruption(), "{error}");
    error.to_string()
}

#[test]
fn batches_come_back_in_order_without_removed_segments() {
    let folder = Folder::new("batches");
    let (mut files, found) = SegmentLog::open(&folder.0).unwrap();
    assert!(found.is_empty());
    let first = files.append(b"a").unwrap();
    assert_eq!(files.append(b"b").unwrap(), first);
    files.remove(first).unwrap();
    let second = files.append(b"c").unwrap();
    assert!(second > first);
    files.append(b"d").unwrap();
    let (mut files, found) = SegmentLog::open(&folder.0).unwrap();
    assert_eq!(contents(&found), [b"c", b"d"]);
    assert!(found.iter().all(|batch| batch.segment == second));
    assert!(files.append(b"e").unwrap() > second);
    assert_eq!(contents(&SegmentLog::open(&folder.0).unwrap().1), [b"c", b"d", b"e"]);
}

#[test]
fn a_torn_batch_is_passed_over_and_nothing_is_appended_behind_it() {
    let folder = Folder::new("torn-batch");
    let (mut files, _) = SegmentLog::open(&folder.0).unwrap();
    for contents in [b"a", b"b", b"c"] {
        files.append(contents).unwrap();
    }
    let segment = folder.files().pop().unwrap();
    let bytes = fs::read(&segment).unwrap();
    let frame = bytes.len() / 3;
    for length in 0..bytes.len() {
        fs::write(&segment, &bytes[..length]).unwrap();
        let (mut files, found) = SegmentLog::open(&folder.0).unwrap();
        assert_eq!(found.len(), length / frame, "{length} bytes");
        files.append(b"z").unwrap();
        let (_, found) = SegmentLog::open(&folder.0).unwrap();
        assert_eq!(found.len(), length / frame + 1, "{length} bytes");
        assert_eq!(found.last().unwrap().contents, b"z");
        for file in folder.files() {
            fs::remove_file(file).unwrap();
        }
    }
}

#[test]
fn segments_are_sealed_when_they_are_large() {
    let folder = Folder::new("sealed");
    let (mut files, _) = SegmentLog::open(&folder.0).unwrap();
    let contents = vec![7; 100 << 10];
    let segments: Vec<_> = (0..25).map(|_| files.append(&contents).unwrap()).collect();
    assert!(segments.is_sorted());
    assert_eq!(folder.files().len(), 3);
    assert_eq!(SegmentLog::open(&folder.0).unwrap().1.len(), 25);
}

fn contents(batches: &[Batch]) -> Vec<&[u8]> {
    batches.iter().map(|batch| batch.contents.as_slice()).collect()
}

#[test]
fn an_identity_lasts_until_its_folder_is_lost() {
    let folder = Folder::new("identity");
    assert_eq!(identity::open(&folder.0, 7).unwrap(), (7, true));
    assert_eq!(identity::open(&folder.0, 8).unwrap(), (7, false));
    identity::renew(&folder.0, 5).unwrap();
    assert_eq!(identity::open(&folder.0, 8).unwrap(), (5, false));
    fs::write(folder.files().pop().unwrap(), b"torn").unwrap();
    assert_eq!(identity::open(&folder.0, 6).unwrap(), (6, true));
    assert_eq!(identity::open(&folder.0, 8).unwrap(), (6, false));
    fs::remove_dir_all(&folder.0).unwrap();
    assert_eq!(identity::open(&folder.0, 9).unwrap(), (9, true));
}

#[test]
fn a_folder_keeps_its_layout_and_refuses_others() {
    let folder = Folder::new("layout");
    // Without the number it is of the first layout, and says so from then on.
    layout::check(&folder.0, "state", 1).unwrap();
    layout::check(&folder.0, "state", 1).unwrap();
    let other = layout::check(&folder.0, "state", 2);
    assert!(matches!(other, Err(StorageError::UnsupportedLayout { .. })), "{other:?}");
    // Another role's files in the same folder have a layout of their own.
    layout::check(&folder.0, "other", 1).unwrap();
    let unsaid = Folder::new("layout-unsaid");
    assert!(matches!(layout::check(&unsaid.0, "state", 2), Err(StorageError::UnsupportedLayout { .. })));
}

#[test]
fn an_identity_of_another_release_is_refused_and_kept() {
    let folder = Folder::new("identity-release");
    let (mut files, _) = SnapshotFiles::open(&folder.0, "identity").unwrap();
    files.write(b"a longer identity").unwrap();
    let before = folder.files();
    let opened = identity::open(&folder.0, 7);
    assert!(matches!(opened, Err(StorageError::UnsupportedLayout { .. })), "{opened:?}");
    assert_eq!(folder.files(), before);
}
