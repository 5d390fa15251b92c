//! Fault rules of a process: a file that the soak replaces and the process polls.

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

/// How often a process reads its file.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How a disk fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskFault {
    /// It works.
    #[default]
    None,
    /// Its operations block.
    Stalls,
    /// It is full: half of a write is accepted, then it fails.
    Refuses,
    /// Each sync takes this long.
    Slow {
        /// In milliseconds.
        ms: u64,
    },
    /// The thread that writes panics.
    Panics,
}

/// The faults of the host under a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultRules {
    /// Machines that this one's bytes do not reach.
    #[serde(rename = "cut_to")]
    pub blocked_destinations: BTreeSet<IpAddr>,
    /// Machines whose bytes do not reach this one. The senders hold the bytes back; here only acknowledgements stop.
    #[serde(rename = "cut_from")]
    pub blocked_sources: BTreeSet<IpAddr>,
    /// Additional latency of links, in milliseconds.
    pub link_delay_ms: u64,
    /// Incremented to reset all links.
    pub resets: u64,
    /// The fault of the disk.
    pub disk: DiskFault,
    /// Offset of the wall clock, in milliseconds.
    pub clock_offset_ms: i64,
}

impl FaultRules {
    /// Writes the rules for a process, atomically.
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

/// The present rules of this process.
#[derive(Clone, Debug)]
pub struct LiveFaultRules(Arc<Mutex<FaultRules>>);

impl LiveFaultRules {
    /// Polls the rules in a file for as long as the process runs.
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

    /// Reads a value from the present rules.
    pub fn get<T>(&self, read: impl FnOnce(&FaultRules) -> T) -> T {
        read(&lock(&self.0))
    }
}

fn read(path: &Path) -> Option<FaultRules> {
    serde_json::from_slice(&fs::read(path).ok()?).ok()
}
