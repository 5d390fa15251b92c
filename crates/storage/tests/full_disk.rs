//! A full disk, on which half of a write succeeds before it fails: the remains of failed writes do not accumulate, and
//! acknowledged data is intact.

use std::ffi::OsString;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use juniperwing_storage::file_system::{FileSystem, simulate};
use juniperwing_storage::{SegmentLog, SnapshotFiles};

/// The real file system, whose writes can be made to fail for lack of space.
#[derive(Debug, Default)]
struct FullDisk(AtomicBool);

impl FullDisk {
    fn set_full(&self, full: bool) {
        self.0.store(full, Ordering::Relaxed);
    }
}

impl FileSystem for FullDisk {
    fn create_dir_all(&self, directory: &Path) -> io::Result<()> {
        fs::create_dir_all(directory)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn read_dir(&self, directory: &Path) -> io::Result<Vec<OsString>> {
        fs::read_dir(directory)?.map(|entry| Ok(entry?.file_name())).collect()
    }

    fn create(&self, path: &Path) -> io::Result<()> {
        fs::File::create(path).map(drop)
    }

    fn append(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let full = self.0.load(Ordering::Relaxed);
        let written = if full { &bytes[..bytes.len() / 2] } else { bytes };
        OpenOptions::new().append(true).open(path)?.write_all(written)?;
        if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&self, _: &Path) -> io::Result<()> {
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
}

fn directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("juniperwing-full-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

fn bytes_in(directory: &Path) -> u64 {
    fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().metadata().unwrap().len()).sum()
}

#[test]
fn failed_batches_occupy_no_space() {
    let directory = directory("segments");
    let disk = Arc::new(FullDisk::default());
    let _simulation = simulate(Arc::clone(&disk) as Arc<dyn FileSystem>);
    let (mut segments, _) = SegmentLog::open(&directory).unwrap();
    segments.append(b"confirmed").unwrap();
    disk.set_full(true);
    segments.append(&[b'x'; 1_000]).unwrap_err();
    let after_one = bytes_in(&directory);
    for _ in 0..20 {
        segments.append(&[b'x'; 1_000]).unwrap_err();
    }
    assert_eq!(bytes_in(&directory), after_one, "failed writes accumulate");
    disk.set_full(false);
    segments.append(b"later").unwrap();
    let (_, batches) = SegmentLog::open(&directory).unwrap();
    let contents: Vec<&[u8]> = batches.iter().map(|batch| &*batch.contents).collect();
    assert_eq!(contents, [&b"confirmed"[..], b"later"]);
    fs::remove_dir_all(directory).unwrap();
}

#[test]
fn failed_versions_occupy_no_space() {
    let directory = directory("versions");
    let disk = Arc::new(FullDisk::default());
    let _simulation = simulate(Arc::clone(&disk) as Arc<dyn FileSystem>);
    let (mut files, _) = SnapshotFiles::open(&directory, "state").unwrap();
    files.write(b"confirmed").unwrap();
    disk.set_full(true);
    files.write(&[b'x'; 1_000]).unwrap_err();
    let after_one = bytes_in(&directory);
    for _ in 0..20 {
        files.write(&[b'x'; 1_000]).unwrap_err();
    }
    assert_eq!(bytes_in(&directory), after_one, "failed writes accumulate");
    assert_eq!(SnapshotFiles::open(&directory, "state").unwrap().1.as_deref(), Some(&b"confirmed"[..]));
    fs::remove_dir_all(directory).unwrap();
}
