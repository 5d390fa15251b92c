//! Fault rules of a process: a file that the soak test replaces and the process polls.

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

/// How often a process reads its rules file.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How a disk fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskFault {
    /// No fault.
    #[default]
    None,
    /// All operations block.
    Stalls,
    /// The disk is full: half of the bytes of a write are accepted, then it fails.
    #[serde(rename = "Refuses")]
    Full,
    /// Syncs are slow.
    Slow {
        /// Duration of a sync, in milliseconds.
        ms: u64,
    },
    /// The thread that writes panics.
    Panics,
}

/// Active faults of the host on which a process runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultRules {
    /// Machines to which outbound traffic is blocked.
    #[serde(rename = "cut_to")]
    pub blocked_destinations: BTreeSet<IpAddr>,
    /// Machines from which inbound traffic is blocked. The senders withhold the data; this machine only treats its own
    /// data as unacknowledged.
    #[serde(rename = "cut_from")]
    pub blocked_sources: BTreeSet<IpAddr>,
    /// Additional latency of links, in milliseconds.
    pub link_delay_ms: u64,
    /// Counter that is incremented to reset all connections.
    pub resets: u64,
    /// Active fault of the disk.
    pub disk: DiskFault,
    /// Offset of the wall clock, in milliseconds.
    pub clock_offset_ms: i64,
}

impl FaultRules {
    /// Atomically replaces the rules file of a process.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let temporary_path = path.with_extension("aside");
        fs::write(&temporary_path, serde_json::to_vec(self).map_err(io::Error::other)?)?;
        fs::rename(&temporary_path, path)
    }
}

/// The current fault rules of this process, updated from its rules file.
#[derive(Clone, Debug)]
pub struct LiveFaultRules(Arc<Mutex<FaultRules>>);

impl LiveFaultRules {
    /// Polls a rules file for as long as the process runs.
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

    /// Reads a value from the current rules.
    pub fn get<T>(&self, read: impl FnOnce(&FaultRules) -> T) -> T {
        read(&lock(&self.0))
    }
}

fn read(path: &Path) -> Option<FaultRules> {
    serde_json::from_slice(&fs::read(path).ok()?).ok()
}
