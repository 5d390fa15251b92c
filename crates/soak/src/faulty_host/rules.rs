//! What a process is told to suffer: a file that the soak replaces and the process reads again and again.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use juniperwing_node::sync::lock;

use serde::{Deserialize, Serialize};

/// How often a process looks whether its file has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What a disk does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskFault {
    /// It works.
    #[default]
    None,
    /// It answers nothing.
    Stalls,
    /// It takes no more bytes: half of what is written, then an error.
    Refuses,
    /// Each sync takes so long.
    Slow {
        /// In milliseconds.
        ms: u64,
    },
    /// The thread that writes panics.
    Panics,
}

/// What a process is told to suffer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultRules {
    /// Machines that this one's bytes do not reach.
    pub cut_to: BTreeSet<IpAddr>,
    /// Machines whose bytes do not reach this one. They hold them back; here it stops acknowledgements only.
    pub cut_from: BTreeSet<IpAddr>,
    /// How much longer bytes take on links.
    pub link_delay_ms: u64,
    /// Raised to have all links reset.
    pub resets: u64,
    /// The disk.
    pub disk: DiskFault,
    /// How much the time of day is off.
    pub clock_offset_ms: i64,
}

impl FaultRules {
    /// Writes them for a process, whole at once.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let aside = path.with_extension("aside");
        fs::write(&aside, serde_json::to_vec(self).map_err(io::Error::other)?)?;
        fs::rename(&aside, path)
    }
}

/// The rules of this process, as they stand.
#[derive(Clone, Debug)]
pub struct LiveFaultRules(Arc<Mutex<FaultRules>>);

impl LiveFaultRules {
    /// Follows the rules in a file, for as long as the process lives.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub fn follow(path: PathBuf) -> io::Result<LiveFaultRules> {
        let rules = LiveFaultRules(Arc::new(Mutex::new(read(&path).unwrap_or_default())));
        let live = rules.clone();
        thread::Builder::new().name("rules".to_owned()).spawn(move || {
            loop {
                thread::sleep(POLL_INTERVAL);
                if let Some(rules) = read(&path) {
                    *lock(&live.0) = rules;
                }
            }
        })?;
        Ok(rules)
    }

    /// Something about them as they stand.
    pub fn get<T>(&self, read: impl FnOnce(&FaultRules) -> T) -> T {
        read(&lock(&self.0))
    }
}

fn read(path: &Path) -> Option<FaultRules> {
    serde_json::from_slice(&fs::read(path).ok()?).ok()
}
