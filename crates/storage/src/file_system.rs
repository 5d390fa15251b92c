//! The file system that state is kept on.
//!
//! The functions here are those of [`std::fs`] that this package needs. On a thread that has entered a simulated
//! [`Disk`] they go to that instead, so that tests can lose power at any moment.

use std::cell::RefCell;
use std::ffi::OsString;
use std::fmt::Debug;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

/// A simulated file system.
pub trait FileSystem: Debug + Send + Sync {
    /// Makes a folder and those above it.
    ///
    /// # Errors
    ///
    /// As the call of [`std::fs`] that this one stands for; so do those of the other functions.
    fn create_dir_all(&self, folder: &Path) -> io::Result<()>;

    /// The contents of a file.
    ///
    /// # Errors
    ///
    /// See [`Disk::make_folder`].
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// The names in a folder.
    ///
    /// # Errors
    ///
    /// See [`Disk::make_folder`].
    fn read_dir(&self, folder: &Path) -> io::Result<Vec<OsString>>;

    /// Makes an empty file in place of any that has this name.
    ///
    /// # Errors
    ///
    /// See [`Disk::make_folder`].
    fn create(&self, path: &Path) -> io::Result<()>;

    /// Appends to a file.
    ///
    /// # Errors
    ///
    /// See [`Disk::make_folder`].
    fn append(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Makes the contents of a file, or the names in a folder, outlast a loss of power.
    ///
    /// # Errors
    ///
    /// See [`Disk::make_folder`].
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Gives a file another name in the same folder.
    ///
    /// # Errors
    ///
    /// See [`Disk::make_folder`].
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// See [`Disk::make_folder`].
    fn remove(&self, path: &Path) -> io::Result<()>;
}

thread_local! {
    static SIMULATED: RefCell<Option<Arc<dyn FileSystem>>> = const { RefCell::new(None) };
}

/// As long as it lives, this thread uses a simulated disk; it is used by simulations only.
#[derive(Debug)]
pub struct SimulationGuard {
    before: Option<Arc<dyn FileSystem>>,
}

/// Makes this thread use a simulated disk until the guard is dropped.
#[must_use]
pub fn simulate(disk: Arc<dyn FileSystem>) -> SimulationGuard {
    SimulationGuard { before: SIMULATED.replace(Some(disk)) }
}

impl Drop for SimulationGuard {
    fn drop(&mut self) {
        SIMULATED.set(self.before.take());
    }
}

fn simulated() -> Option<Arc<dyn FileSystem>> {
    SIMULATED.with_borrow(Clone::clone)
}

/// See [`std::fs::create_dir_all`].
pub(crate) fn create_dir_all(folder: impl AsRef<Path>) -> io::Result<()> {
    match simulated() {
        None => std::fs::create_dir_all(folder),
        Some(disk) => disk.create_dir_all(folder.as_ref()),
    }
}

/// See [`std::fs::read`].
pub(crate) fn read(path: impl AsRef<Path>) -> io::Result<Vec<u8>> {
    match simulated() {
        None => std::fs::read(path),
        Some(disk) => disk.read(path.as_ref()),
    }
}

/// The names in a folder.
pub(crate) fn list(folder: &Path) -> io::Result<Vec<OsString>> {
    match simulated() {
        None => std::fs::read_dir(folder)?.map(|entry| Ok(entry?.file_name())).collect(),
        Some(disk) => disk.read_dir(folder),
    }
}

/// See [`std::fs::rename`].
pub(crate) fn rename(from: impl AsRef<Path>, to: impl AsRef<Path>) -> io::Result<()> {
    match simulated() {
        None => std::fs::rename(from, to),
        Some(disk) => disk.rename(from.as_ref(), to.as_ref()),
    }
}

/// See [`std::fs::remove_file`].
pub(crate) fn remove_file(path: impl AsRef<Path>) -> io::Result<()> {
    match simulated() {
        None => std::fs::remove_file(path),
        Some(disk) => disk.remove(path.as_ref()),
    }
}

/// A file that is written from its start, or a folder to be synced.
#[derive(Debug)]
pub(crate) enum File {
    Real(std::fs::File),
    Simulated { disk: Arc<dyn FileSystem>, path: Box<Path> },
}

impl File {
    /// See [`std::fs::File::create`].
    pub(crate) fn create(path: &Path) -> io::Result<File> {
        let Some(disk) = simulated() else { return std::fs::File::create(path).map(File::Real) };
        disk.create(path)?;
        Ok(File::Simulated { disk, path: path.into() })
    }

    /// See [`std::fs::File::open`].
    pub(crate) fn open(path: &Path) -> io::Result<File> {
        match simulated() {
            None => std::fs::File::open(path).map(File::Real),
            Some(disk) => Ok(File::Simulated { disk, path: path.into() }),
        }
    }

    /// See [`std::fs::File::sync_all`].
    pub(crate) fn sync_all(&self) -> io::Result<()> {
        match self {
            File::Real(file) => file.sync_all(),
            File::Simulated { disk, path } => disk.sync(path),
        }
    }

    /// See [`std::fs::File::sync_data`].
    pub(crate) fn sync_data(&self) -> io::Result<()> {
        match self {
            File::Real(file) => file.sync_data(),
            File::Simulated { disk, path } => disk.sync(path),
        }
    }
}

impl Write for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            File::Real(file) => file.write(bytes),
            File::Simulated { disk, path } => disk.append(path, bytes).map(|()| bytes.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match self {
            File::Real(file) => file.flush(),
            File::Simulated { .. } => Ok(()),
        }
    }
}
