//! The settings of a process: a TOML file that the platform writes. Unknown fields are skipped.

mod control_timings;
mod describe;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

pub use control_timings::{CALLER_TIMEOUT, ControlTimings};

/// The variable that names the file.
pub const SETTINGS_VARIABLE: &str = "JUNIPERWING_CONFIG";

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// No file was named.
    #[snafu(display("no settings: name the file by --settings or {SETTINGS_VARIABLE}"))]
    NoFileNamed,
    /// The file cannot be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not TOML or lacks something.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What the parser says, with its place.
        source: toml::de::Error,
    },
    /// The values don't fit together. All findings are listed.
    #[snafu(display("{}: {}", path.display(), findings.join("; ")))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, each with its key.
        findings: Vec<String>,
    },
}

/// The settings of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The machine's name.
    pub node_name: String,
    /// The machine's address.
    pub ip_address: IpAddr,
    /// Its zone.
    pub zone: String,
    /// First and last of the ports that are free for the tier's own messages, the same on all machines.
    pub ephemeral_ports: (u16, u16),
    /// Addresses of control listeners of three machines, or fewer.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether this is the very first start of the whole system.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder that lasts, where there is one.
    pub data_directory: Option<PathBuf>,
    /// Where the process tells its figures, as `PORT/PATH`; nowhere if it is missing or empty.
    pub metrics: Option<String>,
    /// How often endpoints send heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Where the process listens for those outside.
    #[serde(default)]
    pub listeners_map: Listeners,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// What may be lost at once.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The figures of the rules.
    #[serde(default)]
    pub bounds: Bounds,
    /// Zones, each with its region.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Listeners for those outside.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Listeners {
    /// For clients.
    pub frontend: Option<SocketAddr>,
    /// For the platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// For endpoints and operators.
    pub control_plane: Option<SocketAddr>,
}

/// What a process may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Cores.
    pub cpu_quota: f64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Open descriptors.
    pub max_fds: u64,
    /// Disk in megabytes.
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cpu_quota: 1.0, memory_mb: 256, max_fds: 1_024, disk_mb: 128 }
    }
}

/// What may be lost at once while every rule holds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultTolerance {
    /// Machines whose loss counts.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance { machines: 1, zones: 0, regions: 0 }
    }
}

/// The figures of the rules that the tier goes by.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// How soon a configuration is in force, in milliseconds.
    #[serde(rename = "configApplyMs")]
    pub config_apply_ms: u64,
    /// How soon nothing more reaches an endpoint that has announced its end, in milliseconds.
    #[serde(rename = "drainMs")]
    pub drain_ms: u64,
    /// For how long a process may go on after SIGTERM, in seconds.
    #[serde(rename = "graceS")]
    pub grace_s: f64,
    /// How soon an operator expects an answer, in milliseconds.
    #[serde(rename = "ackMs")]
    pub ack_ms: u64,
    /// After a disturbance of the core, how soon machines must be in contact again, in milliseconds.
    #[serde(rename = "contactMs")]
    pub contact_ms: u64,
    /// How soon an event of a stream is passed on, in milliseconds.
    pub pass_ms: u64,
    /// How soon an ended turn must count at what it generated, in milliseconds.
    #[serde(rename = "settleMs")]
    pub settle_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            config_apply_ms: 2_000,
            drain_ms: 2_000,
            grace_s: 8.0,
            ack_ms: 4_000,
            contact_ms: 3_000,
            pass_ms: 120,
            settle_ms: 1_000,
        }
    }
}

fn default_heartbeat_ms() -> u64 {
    1_000
}

/// Listeners for the tier's own messages, one for each role: an offset from the first of the free ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Of a relay.
    Relay = 0,
    /// Of a keeper.
    Keeper = 1,
    /// Of a store.
    Store = 2,
}

impl Settings {
    /// Reads the file given, or else the one that the environment names.
    ///
    /// # Errors
    ///
    /// If it cannot be read or used; the message names the key.
    pub fn read(path: Option<&Path>) -> Result<Settings, SettingsError> {
        let named = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        let Some(path) = path.map(Path::to_owned).or(named) else { return NoFileNamedSnafu.fail() };
        let text = std::fs::read_to_string(&path).context(UnreadableSnafu { path: &path })?;
        Settings::parse(&path, &text)
    }

    /// Takes settings from the text of a file.
    ///
    /// # Errors
    ///
    /// As for [`Settings::read`].
    pub fn parse(path: &Path, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).context(MalformedSnafu { path })?;
        let findings = settings.findings();
        ensure!(findings.is_empty(), InvalidSnafu { path, findings });
        Ok(settings)
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        let (first, last) = self.ephemeral_ports;
        if last < first.saturating_add(Port::Store as u16) {
            findings.push(format!("ephemeralPorts: three ports are needed, {first} to {last} are given"));
        }
        if self.heartbeat_ms == 0 {
            findings.push("heartbeatMs: must be above 0".to_owned());
        }
        if self.node_name.is_empty() {
            findings.push("nodeName: must not be empty".to_owned());
        }
        if !(self.bounds.grace_s.is_finite() && self.bounds.grace_s >= 0.0) {
            findings.push("bounds.graceS: must be a number from 0 upward".to_owned());
        }
        findings
    }

    /// The address of a listener for the tier's own messages on any machine.
    pub fn internal_address(&self, machine: IpAddr, port: Port) -> SocketAddr {
        SocketAddr::new(machine, self.ephemeral_ports.0 + port as u16)
    }

    /// Where this process listens for the tier's own messages.
    pub fn own_address(&self, port: Port) -> SocketAddr {
        self.internal_address(self.ip_address, port)
    }

    /// The keepers that the settings name.
    pub fn seed_keepers(&self) -> Vec<SocketAddr> {
        self.seed_nodes.iter().map(|seed| self.internal_address(seed.ip(), Port::Keeper)).collect()
    }

    /// How many disks must hold what is acknowledged.
    pub fn required_replicas(&self) -> usize {
        self.fault_tolerance.machines + 1
    }

    /// The times that keepers go by.
    pub fn control_timings(&self) -> ControlTimings {
        ControlTimings::of(&self.bounds)
    }
}
