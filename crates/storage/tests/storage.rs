//! Versions and batches outlast restarts; what is torn is not read.

use std::fs;
use std::path::PathBuf;

use juniperwing_storage::{BatchFiles, VersionFiles, identity};

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
fn batches_come_back_in_order_without_torn_and_removed_ones() {
    let folder = Folder::new("batches");
    let (mut files, found) = BatchFiles::open(&folder.0).unwrap();
    assert!(found.is_empty());
    let numbers: Vec<_> = ["a", "b", "c", "d"].map(|c| files.append(c.as_bytes()).unwrap()).to_vec();
    files.remove(numbers[1]).unwrap();
    let last = folder.files().pop().unwrap();
    let bytes = fs::read(&last).unwrap();
    fs::write(&last, &bytes[..bytes.len() - 1]).unwrap();
    let (mut files, found) = BatchFiles::open(&folder.0).unwrap();
    let contents: Vec<&[u8]> = found.iter().map(|batch| batch.contents.as_slice()).collect();
    assert_eq!(contents, [b"a", b"c"]);
    assert!(files.append(b"e").unwrap() > numbers[3]);
}

#[test]
fn an_identity_lasts_until_its_folder_is_lost() {
    let folder = Folder::new("identity");
    assert_eq!(identity::open(&folder.0, 7).unwrap(), (7, true));
    assert_eq!(identity::open(&folder.0, 8).unwrap(), (7, false));
    fs::remove_dir_all(&folder.0).unwrap();
    assert_eq!(identity::open(&folder.0, 9).unwrap(), (9, true));
}
