//! A simulated disk that loses unsynced writes when its machine loses power.
//!
//! Every operation has a start and a completion time. A process sees its operations at once. When it is killed, the
//! operations that had not started by then are undone. When the machine loses power, each unsynced operation is
//! independently kept, torn or lost. As the operators' documentation defines it, a new file is durable after its own
//! sync, and a rename or removal after a sync of the directory.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_node::sync::lock;
use juniperwing_random::Rng;
use juniperwing_storage::file_system::FileSystem;

use crate::clock::MachineClock;

/// The latency of an operation other than a sync.
const OPERATION_LATENCY: Span = Span::from_nanos(50_000);
/// The latency of a sync with a slowdown factor of 1.
const SYNC_LATENCY: Span = Span::from_millis(5);

/// Identifies a file independent of its name, as an inode number does.
type FileId = u64;

/// An operation on the disk.
#[derive(Clone, Debug)]
enum Operation {
    Create { path: PathBuf, file: FileId },
    Append { file: FileId, offset: usize, bytes: Vec<u8> },
    SyncFile(FileId),
    SyncDirectory(PathBuf),
    Rename { from: PathBuf, to: PathBuf },
    Remove { path: PathBuf },
}

/// A journal entry.
#[derive(Clone, Debug)]
struct Entry {
    started_at: Time,
    completed_at: Time,
    operation: Operation,
}

/// The contents of a disk.
#[derive(Clone, Debug, Default)]
struct Contents {
    names: BTreeMap<PathBuf, FileId>,
    files: BTreeMap<FileId, Vec<u8>>,
    directories: BTreeSet<PathBuf>,
}

/// The state of a disk, guarded by its lock.
#[derive(Debug)]
struct State {
    /// The contents as processes see them.
    visible: Contents,
    /// The contents that are guaranteed to survive a power loss.
    durable: Contents,
    /// The operations that lead from `durable` to `visible`.
    journal: Vec<Entry>,
    next_file: FileId,
    slowdown_factor: u32,
    /// The earliest time at which a sync completes.
    stalled_until: Time,
    /// Whether appends fail because no space is left.
    is_full: bool,
    /// The latency of the operations since the last [`SimulatedDisk::take_elapsed`].
    elapsed: Span,
    rng: Rng,
}

/// The disk of a simulated machine.
#[derive(Debug)]
pub struct SimulatedDisk {
    clock: Arc<MachineClock>,
    state: Mutex<State>,
}

impl SimulatedDisk {
    /// Creates an empty disk. `rng` decides which unsynced operations survive a power loss.
    pub fn new(clock: Arc<MachineClock>, rng: Rng) -> SimulatedDisk {
        let state = State {
            visible: Contents::default(),
            durable: Contents::default(),
            journal: Vec::new(),
            next_file: 1,
            slowdown_factor: 1,
            stalled_until: Time::default(),
            is_full: false,
            elapsed: Span::ZERO,
            rng,
        };
        SimulatedDisk { clock, state: Mutex::new(state) }
    }

    /// Sets the factor by which the latency of syncs is multiplied.
    pub fn set_slowdown_factor(&self, factor: u32) {
        self.lock().slowdown_factor = factor;
    }

    /// Syncs that start before `time` complete no earlier.
    pub fn stall_until(&self, time: Time) {
        self.lock().stalled_until = time;
    }

    /// Sets whether appends fail because no space is left.
    pub fn set_full(&self, is_full: bool) {
        self.lock().is_full = is_full;
    }

    /// Returns and resets the latency of the operations since the last call.
    pub fn take_elapsed(&self) -> Duration {
        Duration::from_nanos(std::mem::replace(&mut self.lock().elapsed, Span::ZERO).as_nanos())
    }

    /// Undoes the operations that had not started by `now`. Called when the process is killed.
    pub fn kill_process(&self, now: Time) {
        let mut state = self.lock();
        state.discard_unstarted(now);
        let mut visible = state.durable.clone();
        for entry in &state.journal {
            visible.apply(&entry.operation);
        }
        state.visible = visible;
    }

    /// Drops or tears unsynced operations. Called when the machine loses power.
    pub fn lose_power(&self, now: Time) {
        let mut state = self.lock();
        state.discard_unstarted(now);
        let journal = std::mem::take(&mut state.journal);
        let loses_all = state.rng.one_in(4);
        let mut surviving = std::mem::take(&mut state.durable);
        for (index, entry) in journal.iter().enumerate() {
            if is_durable(&journal[index..], now) {
                surviving.apply(&entry.operation);
            } else if !loses_all {
                apply_partially(&mut surviving, &entry.operation, &mut state.rng);
            }
        }
        state.durable = surviving.clone();
        state.visible = surviving;
    }

    /// Replaces the disk with an empty one.
    pub fn wipe(&self) {
        let mut state = self.lock();
        state.visible = Contents::default();
        state.durable = Contents::default();
        state.journal.clear();
        state.elapsed = Span::ZERO;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn execute(&self, operation: impl FnOnce(&mut State) -> io::Result<Operation>) -> io::Result<()> {
        let now = self.clock.now();
        let mut state = self.lock();
        let operation = operation(&mut state)?;
        let started_at = now + state.elapsed;
        state.elapsed = state.elapsed + state.latency_of(&operation, started_at);
        let completed_at = now + state.elapsed;
        state.visible.apply(&operation);
        state.journal.push(Entry { started_at, completed_at, operation });
        state.apply_durable(now);
        Ok(())
    }
}

impl State {
    fn latency_of(&self, operation: &Operation, started_at: Time) -> Span {
        match operation {
            Operation::SyncFile(_) | Operation::SyncDirectory(_) => {
                let latency = SYNC_LATENCY.mul_f64(f64::from(self.slowdown_factor));
                latency.max(self.stalled_until.since(started_at))
            }
            _ => OPERATION_LATENCY,
        }
    }

    fn discard_unstarted(&mut self, now: Time) {
        self.journal.retain(|entry| entry.started_at < now);
        self.elapsed = Span::ZERO;
    }

    /// Moves durable operations from the journal into `durable`, and drops files without a name.
    fn apply_durable(&mut self, now: Time) {
        let journal = &self.journal;
        let durable_count =
            (0..journal.len()).take_while(|index| is_durable(&journal[*index..], now)).count();
        for entry in self.journal.drain(..durable_count) {
            self.durable.apply(&entry.operation);
        }
        let named: BTreeSet<FileId> =
            self.durable.names.values().chain(self.visible.names.values()).copied().collect();
        let pending = !self.journal.is_empty();
        self.durable.files.retain(|file, _| pending || named.contains(file));
        self.visible.files.retain(|file, _| pending || named.contains(file));
    }

    fn file(&self, path: &Path) -> io::Result<FileId> {
        self.visible.names.get(path).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// Whether the first of the entries is durable, given the syncs that completed after it by `now`.
fn is_durable(entries: &[Entry], now: Time) -> bool {
    let Some((first, later)) = entries.split_first() else { return false };
    let followed_by = |predicate: &dyn Fn(&Operation) -> bool| {
        later.iter().any(|entry| entry.completed_at <= now && predicate(&entry.operation))
    };
    let is_directory_synced = |path: &Path| {
        let directory = path.parent().unwrap_or(path).to_owned();
        followed_by(
            &|operation| matches!(operation, Operation::SyncDirectory(synced) if *synced == directory),
        )
    };
    match &first.operation {
        Operation::SyncFile(_) | Operation::SyncDirectory(_) => first.completed_at <= now,
        Operation::Create { file, .. } | Operation::Append { file, .. } => {
            followed_by(&|operation| matches!(operation, Operation::SyncFile(synced) if synced == file))
        }
        Operation::Rename { from, .. } => is_directory_synced(from),
        Operation::Remove { path } => is_directory_synced(path),
    }
}

/// Applies an operation that is not durable in full, in part or not at all.
fn apply_partially(contents: &mut Contents, operation: &Operation, rng: &mut Rng) {
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
                let content = self.files.entry(*file).or_default();
                let end = offset + bytes.len();
                content.resize(content.len().max(end), 0);
                content[*offset..end].copy_from_slice(bytes);
            }
            Operation::SyncFile(_) | Operation::SyncDirectory(_) => {}
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
    fn create_dir_all(&self, directory: &Path) -> io::Result<()> {
        // Directories are created at the first start; losing a directory itself is not simulated.
        let mut state = self.lock();
        state.visible.directories.insert(directory.to_owned());
        state.durable.directories.insert(directory.to_owned());
        Ok(())
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let state = self.lock();
        let file = state.file(path)?;
        Ok(state.visible.files.get(&file).cloned().unwrap_or_default())
    }

    fn read_dir(&self, directory: &Path) -> io::Result<Vec<OsString>> {
        let state = self.lock();
        let inside = state.visible.names.keys().filter(|path| path.parent() == Some(directory));
        Ok(inside.filter_map(|path| path.file_name().map(ToOwned::to_owned)).collect())
    }

    fn create(&self, path: &Path) -> io::Result<()> {
        self.execute(|state| {
            let file = state.next_file;
            state.next_file += 1;
            Ok(Operation::Create { path: path.to_owned(), file })
        })
    }

    fn append(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.execute(|state| {
            let file = state.file(path)?;
            if state.is_full {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let offset = state.visible.files.get(&file).map_or(0, Vec::len);
            Ok(Operation::Append { file, offset, bytes: bytes.to_vec() })
        })
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        self.execute(|state| match state.file(path) {
            Ok(file) => Ok(Operation::SyncFile(file)),
            Err(_) => Ok(Operation::SyncDirectory(path.to_owned())),
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.execute(|state| {
            state.file(from)?;
            Ok(Operation::Rename { from: from.to_owned(), to: to.to_owned() })
        })
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.execute(|state| {
            state.file(path)?;
            Ok(Operation::Remove { path: path.to_owned() })
        })
    }
}
