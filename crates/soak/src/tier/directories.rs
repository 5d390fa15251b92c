//! Paths of the files of a play: settings, fault rules, logs and data of each machine.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use crate::faults::Machine;

/// The directory of a play with a subdirectory for each kind of file.
#[derive(Clone, Debug)]
pub struct PlayDirectories {
    root: PathBuf,
}

impl PlayDirectories {
    /// The directories below `root`, which need not exist yet.
    pub fn new(root: PathBuf) -> PlayDirectories {
        PlayDirectories { root }
    }

    /// Creates all subdirectories.
    ///
    /// # Errors
    ///
    /// If a directory cannot be created.
    pub fn create_all(&self) -> io::Result<()> {
        for name in ["settings", "rules", "logs", "data"] {
            fs::create_dir_all(self.root.join(name))?;
        }
        Ok(())
    }

    /// The directory of the play itself.
    pub fn root(&self) -> &Path {
        &self.root
    }

    /// The data directory of a machine.
    pub fn data(&self, machine: Machine) -> PathBuf {
        self.root.join("data").join(machine.to_string())
    }

    /// The settings file of a machine.
    pub fn settings(&self, machine: Machine) -> PathBuf {
        self.root.join("settings").join(format!("{machine}.toml"))
    }

    /// The file with the fault rules of a machine.
    pub fn rules(&self, machine: Machine) -> PathBuf {
        self.root.join("rules").join(format!("{machine}.json"))
    }

    /// The log of one incarnation of a machine's process.
    pub fn log(&self, machine: Machine, incarnation: u64) -> PathBuf {
        self.root.join("logs").join(format!("{machine}.{incarnation:02}.log"))
    }

    /// Removes the data of a machine, as the replacement of its disk does.
    pub fn wipe_data(&self, machine: Machine) {
        // Fails if the directory was never created, which is as good.
        let _ = fs::remove_dir_all(self.data(machine));
    }

    /// Returns the names and contents of all logs, sorted by name.
    ///
    /// # Errors
    ///
    /// If a log cannot be read.
    pub fn read_logs(&self) -> io::Result<Vec<(String, String)>> {
        let mut logs = Vec::new();
        for entry in fs::read_dir(self.root.join("logs"))? {
            let path = entry?.path();
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            logs.push((name, String::from_utf8_lossy(&fs::read(&path)?).into_owned()));
        }
        logs.sort();
        Ok(logs)
    }
}
