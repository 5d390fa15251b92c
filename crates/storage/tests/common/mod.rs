//! A simulated disk with power losses.
//!
//! At a power loss each name created, renamed or removed since the last sync of its directory is retained or lost
//! independently, and each write since the last sync of its file is complete, missing or torn. Unlike on the disks of
//! deployments, the sync of a new file does not make its name durable.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};

use juniperwing_storage::file_system::FileSystem;

type FileId = usize;

#[derive(Clone, Debug, Default)]
struct File {
    synced: Vec<u8>,
    /// The changes since the last sync, oldest first.
    unsynced: Vec<Change>,
}

#[derive(Clone, Debug)]
enum Change {
    Truncated,
    Appended(Vec<u8>),
}

impl File {
    fn contents(&self) -> Vec<u8> {
        let mut contents = self.synced.clone();
        for change in &self.unsynced {
            match change {
                Change::Truncated => contents.clear(),
                Change::Appended(bytes) => contents.extend_from_slice(bytes),
            }
        }
        contents
    }

    fn sync(&mut self) {
        self.synced = self.contents();
        self.unsynced.clear();
    }

    /// Reduces the file to what a power loss leaves.
    fn lose_power(&mut self, random: &mut SplitMix64) {
        let mut contents = self.synced.clone();
        let mut offset = contents.len();
        for change in std::mem::take(&mut self.unsynced) {
            match change {
                Change::Truncated if random.coin_flip() => offset = 0,
                Change::Truncated => {
                    contents.clear();
                    offset = 0;
                }
                Change::Appended(bytes) => {
                    let retained_bytes = match random.below(3) {
                        0 => 0,
                        1 => random.below(bytes.len() + 1),
                        _ => bytes.len(),
                    };
                    let end = offset + retained_bytes;
                    if retained_bytes > 0 {
                        contents.resize(contents.len().max(end), 0);
                        contents[offset..end].copy_from_slice(&bytes[..retained_bytes]);
                    }
                    offset += bytes.len();
                }
            }
        }
        self.synced = contents;
    }
}

/// The random number generator splitmix64.
#[derive(Clone, Debug)]
pub struct SplitMix64(pub u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit.max(1) as u64) as usize
    }

    fn coin_flip(&mut self) -> bool {
        self.below(2) == 0
    }
}

#[derive(Debug)]
struct Contents {
    files: Vec<File>,
    names: BTreeMap<PathBuf, FileId>,
    synced_names: BTreeMap<PathBuf, FileId>,
    random: SplitMix64,
    /// The number of calls until the process is killed.
    remaining_calls: Option<usize>,
}

/// The simulated disk of one process.
#[derive(Debug)]
pub struct PowerLossDisk {
    contents: Mutex<Contents>,
}

impl PowerLossDisk {
    /// An empty disk.
    pub fn new(seed: u64) -> Self {
        let contents = Contents {
            files: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            random: SplitMix64(seed),
            remaining_calls: None,
        };
        PowerLossDisk { contents: Mutex::new(contents) }
    }

    /// Kills the process after `calls` more calls; later calls have no effect.
    pub fn kill_after(&self, calls: usize) {
        self.lock().remaining_calls = Some(calls);
    }

    /// Restarts the process; its writes and names are retained without a sync.
    pub fn restart(&self) {
        self.lock().remaining_calls = None;
    }

    /// Restarts the machine after a power loss.
    pub fn lose_power(&self) {
        let contents = &mut *self.lock();
        contents.remaining_calls = None;
        let paths: Vec<PathBuf> =
            contents.names.keys().chain(contents.synced_names.keys()).cloned().collect();
        let mut names = BTreeMap::new();
        for path in paths {
            let versions = [contents.synced_names.get(&path), contents.names.get(&path)];
            let retained = versions[usize::from(contents.random.coin_flip())];
            retained.map(|file| names.insert(path, *file));
        }
        contents.names.clone_from(&names);
        contents.synced_names = names;
        for file in &mut contents.files {
            file.lose_power(&mut contents.random);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().expect("no panic while the lock is held")
    }

    fn call(&self) -> io::Result<MutexGuard<'_, Contents>> {
        let mut contents = self.lock();
        match &mut contents.remaining_calls {
            Some(0) => return Err(io::Error::other("the process was killed")),
            Some(calls) => *calls -= 1,
            None => {}
        }
        Ok(contents)
    }
}

impl Contents {
    fn file(&mut self, path: &Path) -> io::Result<&mut File> {
        let file = *self.names.get(path).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.files[file])
    }
}

impl FileSystem for PowerLossDisk {
    fn create_dir_all(&self, _directory: &Path) -> io::Result<()> {
        self.call().map(drop)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        Ok(self.call()?.file(path)?.contents())
    }

    fn read_dir(&self, directory: &Path) -> io::Result<Vec<OsString>> {
        let contents = self.call()?;
        let inside = contents.names.keys().filter(|path| path.parent() == Some(directory));
        Ok(inside.filter_map(|path| path.file_name()).map(OsString::from).collect())
    }

    fn create(&self, path: &Path) -> io::Result<()> {
        let contents = &mut *self.call()?;
        if let Ok(file) = contents.file(path) {
            file.unsynced.push(Change::Truncated);
            return Ok(());
        }
        contents.names.insert(path.into(), contents.files.len());
        contents.files.push(File::default());
        Ok(())
    }

    fn append(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.call()?.file(path)?.unsynced.push(Change::Appended(bytes.into()));
        Ok(())
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        let contents = &mut *self.call()?;
        if let Ok(file) = contents.file(path) {
            file.sync();
            return Ok(());
        }
        let is_inside = |name: &PathBuf| name.parent() == Some(path);
        contents.synced_names.retain(|name, _| !is_inside(name));
        let names = contents.names.iter().filter(|(name, _)| is_inside(name));
        contents.synced_names.extend(names.map(|(name, file)| (name.clone(), *file)));
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let contents = &mut *self.call()?;
        let file = contents.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        contents.names.insert(to.into(), file);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.call()?.names.remove(path).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}
