//! A directory of the real file system that loses unsynced writes when the process ends, and that can be made to fail.
//!
//! Data written to a file is held in memory until the file is synced, so killing the process loses what a power failure
//! may lose. Directory changes (creating, renaming and removing files) take effect at once: a power failure may keep
//! them, too.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use juniperwing_node::sync::lock;
use juniperwing_storage::file_system::FileSystem;

use super::rules::{DiskFault, LiveFaultRules};

/// Duration of a sync on a disk without faults.
const SYNC_DURATION: Duration = Duration::from_millis(2);
/// Pause between the two halves of a synced write, so that killing the process can leave a torn write.
const TORN_WRITE_GAP: Duration = Duration::from_micros(300);
/// How often an operation on a stalled disk checks whether the fault is over.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The disk of a process.
#[derive(Debug)]
pub struct FaultyDisk {
    rules: LiveFaultRules,
    unsynced: Mutex<BTreeMap<PathBuf, Vec<u8>>>,
}

impl FaultyDisk {
    /// A disk that follows the fault rules.
    pub fn new(rules: LiveFaultRules) -> FaultyDisk {
        FaultyDisk { rules, unsynced: Mutex::default() }
    }

    /// Blocks while the disk is stalled, then returns the fault that is active.
    fn fault(&self) -> DiskFault {
        loop {
            match self.rules.get(|rules| rules.disk) {
                DiskFault::Stalls => thread::sleep(POLL_INTERVAL),
                fault => return fault,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<PathBuf, Vec<u8>>> {
        lock(&self.unsynced)
    }
}

fn storage_full_error() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "injected fault: disk full")
}

impl FileSystem for FaultyDisk {
    fn create_dir_all(&self, folder: &Path) -> io::Result<()> {
        self.fault();
        fs::create_dir_all(folder)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.fault();
        let mut contents = fs::read(path)?;
        if let Some(unsynced) = self.lock().get(path) {
            contents.extend_from_slice(unsynced);
        }
        Ok(contents)
    }

    fn read_dir(&self, folder: &Path) -> io::Result<Vec<OsString>> {
        self.fault();
        fs::read_dir(folder)?.map(|entry| Ok(entry?.file_name())).collect()
    }

    fn create(&self, path: &Path) -> io::Result<()> {
        if self.fault() == DiskFault::Full {
            return Err(storage_full_error());
        }
        self.lock().remove(path);
        File::create(path).map(drop)
    }

    fn append(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let fault = self.fault();
        assert!(fault != DiskFault::Panics, "injected fault: the writing thread panics");
        let accepted = if fault == DiskFault::Full { &bytes[..bytes.len() / 2] } else { bytes };
        self.lock().entry(path.to_owned()).or_default().extend_from_slice(accepted);
        if accepted.len() < bytes.len() { Err(storage_full_error()) } else { Ok(()) }
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        match self.fault() {
            DiskFault::Slow { ms } => thread::sleep(Duration::from_millis(ms)),
            _ => thread::sleep(SYNC_DURATION),
        }
        let Some(unsynced) = self.lock().remove(path) else { return Ok(()) };
        let mut file = OpenOptions::new().append(true).open(path)?;
        let (first, second) = unsynced.split_at(unsynced.len() / 2);
        file.write_all(first)?;
        thread::sleep(TORN_WRITE_GAP);
        file.write_all(second)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.fault();
        fs::rename(from, to)?;
        let mut unsynced = self.lock();
        if let Some(bytes) = unsynced.remove(from) {
            unsynced.insert(to.to_owned(), bytes);
        }
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.fault();
        self.lock().remove(path);
        fs::remove_file(path)
    }
}
