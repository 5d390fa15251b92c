//! A directory of the real file system that loses unsynced writes when the process ends, and that can be made to fail.
//!
//! What is written to a file lies in memory until the file is synced, so a kill costs what a loss of power may cost.
//! Names last at once: a new file, a renamed or a removed one may be kept by a loss of power, too.

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

/// How long a sync takes.
const SYNC_DURATION: Duration = Duration::from_millis(2);
/// Pause between the two halves of a synced write, so that a kill may tear it.
const TORN_WRITE_GAP: Duration = Duration::from_micros(300);
/// How often a stalled disk checks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The disk of a process.
#[derive(Debug)]
pub struct FaultyDisk {
    rules: LiveFaultRules,
    unsynced: Mutex<BTreeMap<PathBuf, Vec<u8>>>,
}

impl FaultyDisk {
    /// A disk under rules.
    pub fn new(rules: LiveFaultRules) -> FaultyDisk {
        FaultyDisk { rules, unsynced: Mutex::default() }
    }

    /// Waits while the disk is stalled. Returns the fault that applies then.
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

fn full() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "the soak lets the disk be full")
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
        if self.fault() == DiskFault::Refuses {
            return Err(full());
        }
        self.lock().remove(path);
        File::create(path).map(drop)
    }

    fn append(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let fault = self.fault();
        assert!(fault != DiskFault::Panics, "the soak has the writing thread panic");
        let accepted = if fault == DiskFault::Refuses { &bytes[..bytes.len() / 2] } else { bytes };
        self.lock().entry(path.to_owned()).or_default().extend_from_slice(accepted);
        if accepted.len() < bytes.len() { Err(full()) } else { Ok(()) }
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
