//! A simulated disk with power losses: each name created, renamed or removed since the last sync of its directory is
//! retained or lost independently, and each write since the last sync of its file is complete, missing or torn. Unlike
//! the disks of deployments, the sync of a new file does not make its name durable.

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
    /// The changes since, oldest first.
    unsynced: Vec<Change>,
}

#[derive(Clone, Debug)]
enum Change {
    Emptied,
    Appended(Vec<u8>),
}

impl File {
    fn now(&self) -> Vec<u8> {
        let mut contents = self.synced.clone();
        for change in &self.unsynced {
            match change {
                Change::Emptied => contents.clear(),
                Change::Appended(bytes) => contents.extend_from_slice(bytes),
            }
        }
        contents
    }

    fn sync(&mut self) {
        self.synced = self.now();
        self.unsynced.clear();
    }

    /// Reduces the file to what a power loss leaves.
    fn lose_power(&mut self, random: &mut Random) {
        let mut contents = self.synced.clone();
        let mut offset = contents.len();
        for change in std::mem::take(&mut self.unsynced) {
            match change {
                Change::Emptied if random.is_lucky() => offset = 0,
                Change::Emptied => {
                    contents.clear();
                    offset = 0;
                }
                Change::Appended(bytes) => {
                    let kept = match random.below(3) {
                        0 => 0,
                        1 => random.below(bytes.len() + 1),
                        _ => bytes.len(),
                    };
                    let end = offset + kept;
                    if kept > 0 {
                        contents.resize(contents.len().max(end), 0);
                        contents[offset..end].copy_from_slice(&bytes[..kept]);
                    }
                    offset += bytes.len();
                }
            }
        }
        self.synced = contents;
    }
}

/// splitmix64.
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
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

    fn is_lucky(&mut self) -> bool {
        self.below(2) == 0
    }
}

#[derive(Debug)]
struct Contents {
    files: Vec<File>,
    names: BTreeMap<PathBuf, FileId>,
    synced_names: BTreeMap<PathBuf, FileId>,
    random: Random,
    /// The calls before the process is killed.
    calls_left: Option<usize>,
}

/// The disk of one process.
#[derive(Debug)]
pub struct ForgetfulDisk {
    contents: Mutex<Contents>,
}

impl ForgetfulDisk {
    /// An empty disk.
    pub fn new(seed: u64) -> Self {
        let contents = Contents {
            files: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            random: Random(seed),
            calls_left: None,
        };
        ForgetfulDisk { contents: Mutex::new(contents) }
    }

    /// The process dies after so many more calls; those after it do nothing.
    pub fn die_after(&self, calls: usize) {
        self.lock().calls_left = Some(calls);
    }

    /// The process starts again; the files are as it left them.
    pub fn restart(&self) {
        self.lock().calls_left = None;
    }

    /// The machine loses power and starts again.
    pub fn lose_power(&self) {
        let contents = &mut *self.lock();
        contents.calls_left = None;
        let paths: Vec<PathBuf> =
            contents.names.keys().chain(contents.synced_names.keys()).cloned().collect();
        let mut names = BTreeMap::new();
        for path in paths {
            let versions = [contents.synced_names.get(&path), contents.names.get(&path)];
            let kept = versions[usize::from(contents.random.is_lucky())];
            kept.map(|file| names.insert(path, *file));
        }
        contents.names.clone_from(&names);
        contents.synced_names = names;
        for file in &mut contents.files {
            file.lose_power(&mut contents.random);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().expect("no test panics with the lock")
    }

    fn call(&self) -> io::Result<MutexGuard<'_, Contents>> {
        let mut contents = self.lock();
        match &mut contents.calls_left {
            Some(0) => return Err(io::Error::other("the process is dead")),
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

impl FileSystem for ForgetfulDisk {
    fn create_dir_all(&self, _folder: &Path) -> io::Result<()> {
        self.call().map(drop)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        Ok(self.call()?.file(path)?.now())
    }

    fn read_dir(&self, directory: &Path) -> io::Result<Vec<OsString>> {
        let contents = self.call()?;
        let inside = contents.names.keys().filter(|path| path.parent() == Some(directory));
        Ok(inside.filter_map(|path| path.file_name()).map(OsString::from).collect())
    }

    fn create(&self, path: &Path) -> io::Result<()> {
        let contents = &mut *self.call()?;
        if let Ok(file) = contents.file(path) {
            file.unsynced.push(Change::Emptied);
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
