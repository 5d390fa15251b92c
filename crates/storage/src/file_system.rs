//! The file system on which state is stored: the real one, or a simulated one in tests.
//!
//! The functions of this module are the ones of [`std::fs`] that this crate needs. On a thread that has called
//! [`simulate`] they operate on a simulated [`FileSystem`] instead, so that tests can simulate a power loss at any call.

use std::cell::RefCell;
use std::ffi::OsString;
use std::fmt::Debug;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

/// A simulated file system.
pub trait FileSystem: Debug + Send + Sync {
    /// Creates a directory and its missing parents.
    ///
    /// # Errors
    ///
    /// As the corresponding function of [`std::fs`]; this applies to all methods.
    fn create_dir_all(&self, directory: &Path) -> io::Result<()>;

    /// Reads the contents of a file.
    ///
    /// # Errors
    ///
    /// See [`FileSystem::create_dir_all`].
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Lists the names of a directory's entries.
    ///
    /// # Errors
    ///
    /// See [`FileSystem::create_dir_all`].
    fn read_dir(&self, directory: &Path) -> io::Result<Vec<OsString>>;

    /// Creates an empty file; an existing file of this name is truncated.
    ///
    /// # Errors
    ///
    /// See [`FileSystem::create_dir_all`].
    fn create(&self, path: &Path) -> io::Result<()>;

    /// Appends to a file.
    ///
    /// # Errors
    ///
    /// See [`FileSystem::create_dir_all`].
    fn append(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;

    /// Makes the contents of a file or the entries of a directory durable.
    ///
    /// # Errors
    ///
    /// See [`FileSystem::create_dir_all`].
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Renames a file within its directory.
    ///
    /// # Errors
    ///
    /// See [`FileSystem::create_dir_all`].
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// See [`FileSystem::create_dir_all`].
    fn remove(&self, path: &Path) -> io::Result<()>;
}

thread_local! {
    static SIMULATED: RefCell<Option<Arc<dyn FileSystem>>> = const { RefCell::new(None) };
}

/// Guard of [`simulate`]: the current thread uses the simulated file system until it is dropped.
#[derive(Debug)]
pub struct SimulationGuard {
    previous: Option<Arc<dyn FileSystem>>,
}

/// Directs the current thread to a simulated file system until the returned guard is dropped.
#[must_use]
pub fn simulate(file_system: Arc<dyn FileSystem>) -> SimulationGuard {
    SimulationGuard { previous: SIMULATED.replace(Some(file_system)) }
}

impl Drop for SimulationGuard {
    fn drop(&mut self) {
        SIMULATED.set(self.previous.take());
    }
}

fn simulated() -> Option<Arc<dyn FileSystem>> {
    SIMULATED.with_borrow(Clone::clone)
}

/// See [`std::fs::create_dir_all`].
pub(crate) fn create_dir_all(directory: impl AsRef<Path>) -> io::Result<()> {
    match simulated() {
        None => std::fs::create_dir_all(directory),
        Some(file_system) => file_system.create_dir_all(directory.as_ref()),
    }
}

/// See [`std::fs::read`].
pub(crate) fn read(path: impl AsRef<Path>) -> io::Result<Vec<u8>> {
    match simulated() {
        None => std::fs::read(path),
        Some(file_system) => file_system.read(path.as_ref()),
    }
}

/// Lists the names of a directory's entries. See [`std::fs::read_dir`].
pub(crate) fn read_dir(directory: &Path) -> io::Result<Vec<OsString>> {
    match simulated() {
        None => std::fs::read_dir(directory)?.map(|entry| Ok(entry?.file_name())).collect(),
        Some(file_system) => file_system.read_dir(directory),
    }
}

/// See [`std::fs::rename`].
pub(crate) fn rename(from: impl AsRef<Path>, to: impl AsRef<Path>) -> io::Result<()> {
    match simulated() {
        None => std::fs::rename(from, to),
        Some(file_system) => file_system.rename(from.as_ref(), to.as_ref()),
    }
}

/// See [`std::fs::remove_file`].
pub(crate) fn remove_file(path: impl AsRef<Path>) -> io::Result<()> {
    match simulated() {
        None => std::fs::remove_file(path),
        Some(file_system) => file_system.remove(path.as_ref()),
    }
}

/// A file opened for writing from its start, or a directory opened to be synced.
#[derive(Debug)]
pub(crate) enum File {
    Real(std::fs::File),
    Simulated { file_system: Arc<dyn FileSystem>, path: Box<Path> },
}

impl File {
    /// See [`std::fs::File::create`].
    pub(crate) fn create(path: &Path) -> io::Result<File> {
        let Some(file_system) = simulated() else { return std::fs::File::create(path).map(File::Real) };
        file_system.create(path)?;
        Ok(File::Simulated { file_system, path: path.into() })
    }

    /// See [`std::fs::File::open`].
    pub(crate) fn open(path: &Path) -> io::Result<File> {
        match simulated() {
            None => std::fs::File::open(path).map(File::Real),
            Some(file_system) => Ok(File::Simulated { file_system, path: path.into() }),
        }
    }

    /// See [`std::fs::File::sync_all`].
    pub(crate) fn sync_all(&self) -> io::Result<()> {
        match self {
            File::Real(file) => file.sync_all(),
            File::Simulated { file_system, path } => file_system.sync(path),
        }
    }

    /// See [`std::fs::File::sync_data`].
    pub(crate) fn sync_data(&self) -> io::Result<()> {
        match self {
            File::Real(file) => file.sync_data(),
            File::Simulated { file_system, path } => file_system.sync(path),
        }
    }
}

impl Write for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            File::Real(file) => file.write(bytes),
            File::Simulated { file_system, path } => file_system.append(path, bytes).map(|()| bytes.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match self {
            File::Real(file) => file.flush(),
            File::Simulated { .. } => Ok(()),
        }
    }
}
