//! A disk that loses what was not synced.
//!
//! Every operation has a time. A process sees its operations at once; a kill undoes those that had not begun by
//! then, and a loss of power leaves of the unsynced ones some whole, some torn and some not at all, each on its
//! own. As the operators' pages say, a new file lasts with its own sync, and renamed and removed names last with
//! the sync of their folder.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_node::sync::lock;
use juniperwing_storage::file_system::FileSystem;

use crate::clock::MachineClock;
use juniperwing_random::Rng;

/// How long a call takes that does not wait for the disk.
const CALL: Span = Span::from_nanos(50_000);
/// How long a sync takes on a disk that is not slowed.
const SYNC: Span = Span::from_millis(5);

/// Tells files apart, whatever their names.
type FileNumber = u64;

#[derive(Clone, Debug)]
enum Operation {
    Create { path: PathBuf, file: FileNumber },
    Append { file: FileNumber, offset: usize, bytes: Vec<u8> },
    SyncFile(FileNumber),
    SyncFolder(PathBuf),
    Rename { from: PathBuf, to: PathBuf },
    Remove { path: PathBuf },
}

#[derive(Clone, Debug)]
struct Entry {
    begun: Time,
    done: Time,
    operation: Operation,
}

/// What a disk holds.
#[derive(Clone, Debug, Default)]
struct Contents {
    names: BTreeMap<PathBuf, FileNumber>,
    files: BTreeMap<FileNumber, Vec<u8>>,
    folders: BTreeSet<PathBuf>,
}

#[derive(Debug)]
struct State {
    /// As processes see it.
    seen: Contents,
    /// What lasts for certain.
    lasting: Contents,
    /// What was done to `lasting` since.
    journal: Vec<Entry>,
    next_file: FileNumber,
    slowness: u32,
    /// How far the calls made since the last question have come.
    spent: Span,
    rng: Rng,
}

/// The disk of a simulated machine.
#[derive(Debug)]
pub struct SimulatedDisk {
    clock: Arc<MachineClock>,
    state: Mutex<State>,
}

impl SimulatedDisk {
    /// An empty disk. `rng` decides what a loss of power leaves.
    pub fn new(clock: Arc<MachineClock>, rng: Rng) -> SimulatedDisk {
        let state = State {
            seen: Contents::default(),
            lasting: Contents::default(),
            journal: Vec::new(),
            next_file: 1,
            slowness: 1,
            spent: Span::ZERO,
            rng,
        };
        SimulatedDisk { clock, state: Mutex::new(state) }
    }

    /// Makes syncs take so many times as long as usual.
    pub fn set_slowness(&self, factor: u32) {
        self.lock().slowness = factor;
    }

    /// How long the calls took since this was last asked.
    pub fn take_time(&self) -> Duration {
        Duration::from_nanos(std::mem::replace(&mut self.lock().spent, Span::ZERO).as_nanos())
    }

    /// The process is killed: what it had not begun by `now` is not done.
    pub fn kill_process(&self, now: Time) {
        let mut state = self.lock();
        state.forget_unbegun(now);
        let mut seen = state.lasting.clone();
        for entry in &state.journal {
            seen.apply(&entry.operation);
        }
        state.seen = seen;
    }

    /// The machine loses power.
    pub fn lose_power(&self, now: Time) {
        let mut state = self.lock();
        state.forget_unbegun(now);
        let journal = std::mem::take(&mut state.journal);
        let all_gone = state.rng.one_in(4);
        let mut left = std::mem::take(&mut state.lasting);
        for (index, entry) in journal.iter().enumerate() {
            if lasts(&journal[index..], now) {
                left.apply(&entry.operation);
            } else if !all_gone {
                apply_in_part(&mut left, &entry.operation, &mut state.rng);
            }
        }
        state.lasting = left.clone();
        state.seen = left;
    }

    /// The disk is replaced by an empty one.
    pub fn wipe(&self) {
        let mut state = self.lock();
        state.seen = Contents::default();
        state.lasting = Contents::default();
        state.journal.clear();
        state.spent = Span::ZERO;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn operate(&self, operation: impl FnOnce(&mut State) -> io::Result<Operation>) -> io::Result<()> {
        let now = self.clock.now();
        let mut state = self.lock();
        let operation = operation(&mut state)?;
        let begun = now + state.spent;
        state.spent = state.spent + state.cost_of(&operation);
        let done = now + state.spent;
        state.seen.apply(&operation);
        state.journal.push(Entry { begun, done, operation });
        state.settle(now);
        Ok(())
    }
}

impl State {
    fn cost_of(&self, operation: &Operation) -> Span {
        match operation {
            Operation::SyncFile(_) | Operation::SyncFolder(_) => SYNC.mul_f64(f64::from(self.slowness)),
            _ => CALL,
        }
    }

    fn forget_unbegun(&mut self, now: Time) {
        self.journal.retain(|entry| entry.begun < now);
        self.spent = Span::ZERO;
    }

    /// Moves what lasts for certain out of the journal.
    fn settle(&mut self, now: Time) {
        let journal = &self.journal;
        let settled = (0..journal.len()).take_while(|index| lasts(&journal[*index..], now)).count();
        for entry in self.journal.drain(..settled) {
            self.lasting.apply(&entry.operation);
        }
        let named: BTreeSet<FileNumber> =
            self.lasting.names.values().chain(self.seen.names.values()).copied().collect();
        let pending = !self.journal.is_empty();
        self.lasting.files.retain(|file, _| pending || named.contains(file));
        self.seen.files.retain(|file, _| pending || named.contains(file));
    }

    fn file(&self, path: &Path) -> io::Result<FileNumber> {
        self.seen.names.get(path).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// Whether the first of the entries lasts by what follows it up to `now`.
fn lasts(entries: &[Entry], now: Time) -> bool {
    let Some((first, later)) = entries.split_first() else { return false };
    let followed_by = |wanted: &dyn Fn(&Operation) -> bool| {
        later.iter().any(|entry| entry.done <= now && wanted(&entry.operation))
    };
    let folder_synced = |path: &Path| {
        let folder = path.parent().unwrap_or(path).to_owned();
        followed_by(&|operation| matches!(operation, Operation::SyncFolder(synced) if *synced == folder))
    };
    match &first.operation {
        Operation::SyncFile(_) | Operation::SyncFolder(_) => first.done <= now,
        Operation::Create { file, .. } | Operation::Append { file, .. } => {
            followed_by(&|operation| matches!(operation, Operation::SyncFile(synced) if synced == file))
        }
        Operation::Rename { from, .. } => folder_synced(from),
        Operation::Remove { path } => folder_synced(path),
    }
}

/// Leaves of an operation that does not last for certain all, a part or nothing.
fn apply_in_part(contents: &mut Contents, operation: &Operation, rng: &mut Rng) {
    match (rng.below(3), operation) {
        (0, _) => contents.apply(operation),
        (1, Operation::Append { file, offset, bytes }) => {
            let torn = bytes[..rng.below(bytes.len() as u64) as usize].to_vec();
            contents.apply(&Operation::Append { file: *file, offset: *offset, bytes: torn });
        }
        _ => {}
    }
}

impl Contents {
    fn apply(&mut self, operation: &Operation) {
        match operation {
            Operation::Create { path, file } => {
                self.names.insert(path.clone(), *file);
                self.files.entry(*file).or_default();
            }
            Operation::Append { file, offset, bytes } => {
                let held = self.files.entry(*file).or_default();
                let end = offset + bytes.len();
                held.resize(held.len().max(end), 0);
                held[*offset..end].copy_from_slice(bytes);
            }
            Operation::SyncFile(_) | Operation::SyncFolder(_) => {}
            Operation::Rename { from, to } => {
                if let Some(file) = self.names.remove(from) {
                    self.names.insert(to.clone(), file);
                }
            }
            Operation::Remove { path } => drop(self.names.remove(path)),
        }
    }
}

impl FileSystem for SimulatedDisk {
    fn create_dir_all(&self, folder: &Path) -> io::Result<()> {
        // Folders are made at the first start; that their own names may be lost is not simulated.
        let mut state = self.lock();
        state.seen.folders.insert(folder.to_owned());
        state.lasting.folders.insert(folder.to_owned());
        Ok(())
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let state = self.lock();
        let file = state.file(path)?;
        Ok(state.seen.files.get(&file).cloned().unwrap_or_default())
    }

    fn read_dir(&self, folder: &Path) -> io::Result<Vec<OsString>> {
        let state = self.lock();
        let inside = state.seen.names.keys().filter(|path| path.parent() == Some(folder));
        Ok(inside.filter_map(|path| path.file_name().map(ToOwned::to_owned)).collect())
    }

    fn create(&self, path: &Path) -> io::Result<()> {
        self.operate(|state| {
            let file = state.next_file;
            state.next_file += 1;
            Ok(Operation::Create { path: path.to_owned(), file })
        })
    }

    fn append(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.operate(|state| {
            let file = state.file(path)?;
            let offset = state.seen.files.get(&file).map_or(0, Vec::len);
            Ok(Operation::Append { file, offset, bytes: bytes.to_vec() })
        })
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        self.operate(|state| match state.file(path) {
            Ok(file) => Ok(Operation::SyncFile(file)),
            Err(_) => Ok(Operation::SyncFolder(path.to_owned())),
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.operate(|state| {
            state.file(from)?;
            Ok(Operation::Rename { from: from.to_owned(), to: to.to_owned() })
        })
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.operate(|state| {
            state.file(path)?;
            Ok(Operation::Remove { path: path.to_owned() })
        })
    }
}
