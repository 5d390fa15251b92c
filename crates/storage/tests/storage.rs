//! Versions and batches outlast restarts; what is torn is not read.

use std::fs;
use std::path::PathBuf;

use juniperwing_storage::{Batch, SegmentFiles, VersionFiles, identity};

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
    let (mut files, newest) = VersionFiles::open(&folder.0, "state").unwrap();
    assert_eq!(newest, None);
    for contents in ["one", "two", "three", "four"] {
        files.write(contents.as_bytes()).unwrap();
    }
    assert_eq!(folder.files().len(), 2);
    assert_eq!(VersionFiles::open(&folder.0, "state").unwrap().1.as_deref(), Some(&b"four"[..]));
    assert_eq!(VersionFiles::open(&folder.0, "other").unwrap().1, None);
}

#[test]
fn a_torn_version_and_one_still_aside_are_passed_over() {
    let folder = Folder::new("torn");
    let (mut files, _) = VersionFiles::open(&folder.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    let newest = folder.files().pop().unwrap();
    let bytes = fs::read(&newest).unwrap();
    for length in 0..bytes.len() {
        fs::write(&newest, &bytes[..length]).unwrap();
        assert_eq!(
            VersionFiles::open(&folder.0, "state").unwrap().1.as_deref(),
            Some(&b"one"[..]),
            "{length}"
        );
    }
    fs::rename(&newest, folder.0.join("aside-state-0000000000000009")).unwrap();
    assert_eq!(VersionFiles::open(&folder.0, "state").unwrap().1.as_deref(), Some(&b"one"[..]));
}

#[test]
fn a_version_written_after_a_torn_one_is_the_newest() {
    let folder = Folder::new("after-torn");
    let (mut files, _) = VersionFiles::open(&folder.0, "state").unwrap();
    files.write(b"one").unwrap();
    files.write(b"two").unwrap();
    fs::write(folder.files().pop().unwrap(), b"torn").unwrap();
    let (mut files, _) = VersionFiles::open(&folder.0, "state").unwrap();
    files.write(b"three").unwrap();
    assert_eq!(VersionFiles::open(&folder.0, "state").unwrap().1.as_deref(), Some(&b"three"[..]));
}

#[test]
fn batches_come_back_in_order_without_removed_segments() {
    let folder = Folder::new("batches");
    let (mut files, found) = SegmentFiles::open(&folder.0).unwrap();
    assert!(found.is_empty());
    let first = files.append(b"a").unwrap();
    assert_eq!(files.append(b"b").unwrap(), first);
    files.remove(first).unwrap();
    let second = files.append(b"c").unwrap();
    assert!(second > first);
    files.append(b"d").unwrap();
    let (mut files, found) = SegmentFiles::open(&folder.0).unwrap();
    assert_eq!(contents(&found), [b"c", b"d"]);
    assert!(found.iter().all(|batch| batch.segment == second));
    assert!(files.append(b"e").unwrap() > second);
    assert_eq!(contents(&SegmentFiles::open(&folder.0).unwrap().1), [b"c", b"d", b"e"]);
}

#[test]
fn a_torn_batch_is_passed_over_and_nothing_is_appended_behind_it() {
    let folder = Folder::new("torn-batch");
    let (mut files, _) = SegmentFiles::open(&folder.0).unwrap();
    for contents in [b"a", b"b", b"c"] {
        files.append(contents).unwrap();
    }
    let segment = folder.files().pop().unwrap();
    let bytes = fs::read(&segment).unwrap();
    let frame = bytes.len() / 3;
    for length in 0..bytes.len() {
        fs::write(&segment, &bytes[..length]).unwrap();
        let (mut files, found) = SegmentFiles::open(&folder.0).unwrap();
        assert_eq!(found.len(), length / frame, "{length} bytes");
        files.append(b"z").unwrap();
        let (_, found) = SegmentFiles::open(&folder.0).unwrap();
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
    let (mut files, _) = SegmentFiles::open(&folder.0).unwrap();
    let contents = vec![7; 100 << 10];
    let segments: Vec<_> = (0..25).map(|_| files.append(&contents).unwrap()).collect();
    assert!(segments.is_sorted());
    assert_eq!(folder.files().len(), 3);
    assert_eq!(SegmentFiles::open(&folder.0).unwrap().1.len(), 25);
}

fn contents(batches: &[Batch]) -> Vec<&[u8]> {
    batches.iter().map(|batch| batch.contents.as_slice()).collect()
}

#[test]
fn an_identity_lasts_until_its_folder_is_lost() {
    let folder = Folder::new("identity");
    assert_eq!(identity::open(&folder.0, 7).unwrap(), (7, true));
    assert_eq!(identity::open(&folder.0, 8).unwrap(), (7, false));
    fs::remove_dir_all(&folder.0).unwrap();
    assert_eq!(identity::open(&folder.0, 9).unwrap(), (9, true));
}
