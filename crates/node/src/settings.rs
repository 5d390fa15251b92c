//! Settings of a process, read from a TOML file that the platform writes. Unknown keys are ignored.

mod control_timings;
mod describe;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

pub use control_timings::{CALLER_TIMEOUT, ControlTimings};

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "JUNIPERWING_CONFIG";

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// Neither the command line nor the environment names a file.
    #[snafu(display("no settings: name the file by --settings or {SETTINGS_VARIABLE}"))]
    NoFileNamed,
    /// The file cannot be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML or lacks a key.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The error of the parser, with its position.
        source: toml::de::Error,
    },
    /// Some values are invalid; all of them are listed.
    #[snafu(display("{}: {}", path.display(), findings.join("; ")))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The problems, each with its key.
        findings: Vec<String>,
    },
}

/// The settings of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The name of the machine.
    pub node_name: String,
    /// The address of the machine.
    pub ip_address: IpAddr,
    /// The zone of the machine.
    pub zone: String,
    /// The first and last port for messages between processes of the tier, the same on all machines.
    pub ephemeral_ports: (u16, u16),
    /// Addresses of the control listeners on up to three machines.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether this is the initial start of the tier.
    #[serde(default)]
    pub bootstrap: bool,
    /// The persistent data directory, if there is one.
    pub data_directory: Option<PathBuf>,
    /// The endpoint at which metrics are served, as `PORT/PATH`; none if missing or empty.
    pub metrics: Option<String>,
    /// Interval between heartbeats of endpoints, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Listeners for clients, endpoints, operators and the platform.
    #[serde(default)]
    pub listeners_map: Listeners,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Simultaneous failures that the tier must tolerate.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Time bounds that the tier must meet.
    #[serde(default)]
    pub bounds: Bounds,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
}

/// Listeners for clients, endpoints, operators and the platform.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Listeners {
    /// Listener for clients.
    pub frontend: Option<SocketAddr>,
    /// Listener for the platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Listener for endpoints and operators.
    pub control_plane: Option<SocketAddr>,
}

/// Resource limits of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Number of processor cores.
    pub cpu_quota: f64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of open file descriptors.
    pub max_fds: u64,
    /// Disk space, in megabytes.
    pub disk_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cpu_quota: 1.0, memory_mb: 256, max_fds: 1_024, disk_mb: 128 }
    }
}

/// Simultaneous failures under which all guarantees must hold.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultTolerance {
    /// Number of machines.
    pub machines: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance { machines: 1, zones: 0, regions: 0 }
    }
}

/// Time bounds that the tier must meet.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time within which a configuration must be applied everywhere, in milliseconds.
    #[serde(rename = "configApplyMs")]
    pub config_apply_ms: u64,
    /// Time within which requests to an endpoint must cease after its deregistration, in milliseconds.
    #[serde(rename = "drainMs")]
    pub drain_ms: u64,
    /// Grace period for shutdown after SIGTERM, in seconds.
    #[serde(rename = "graceS")]
    pub grace_s: f64,
    /// Time within which an operator expects a response, in milliseconds.
    #[serde(rename = "ackMs")]
    pub ack_ms: u64,
    /// Time within which machines must be in contact again after a fault in the core, in milliseconds.
    #[serde(rename = "contactMs")]
    pub contact_ms: u64,
    /// Time within which an event of a stream must be forwarded, in milliseconds.
    pub pass_ms: u64,
    /// Time within which a finished turn must be accounted with the tokens that it generated, in milliseconds.
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

/// Ports for messages between processes of the tier, one per role, as offsets from the first ephemeral port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InternalPort {
    /// The port of a relay.
    Relay = 0,
    /// The port of a keeper.
    Keeper = 1,
    /// The port of a store.
    Store = 2,
}

impl Settings {
    /// Reads the given file, or else the file that the environment variable names.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is invalid; the message names the keys.
    pub fn read(path: Option<&Path>) -> Result<Settings, SettingsError> {
        let default_path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        let Some(path) = path.map(Path::to_owned).or(default_path) else { return NoFileNamedSnafu.fail() };
        let text = std::fs::read_to_string(&path).context(UnreadableSnafu { path: &path })?;
        Settings::parse(&path, &text)
    }

    /// Parses the text of a settings file.
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
        if last < first.saturating_add(InternalPort::Store as u16) {
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

    /// The address of a role's internal listener on `machine`.
    pub fn internal_address(&self, machine: IpAddr, port: InternalPort) -> SocketAddr {
        SocketAddr::new(machine, self.ephemeral_ports.0 + port as u16)
    }

    /// The address of a role's internal listener on this machine.
    pub fn own_address(&self, port: InternalPort) -> SocketAddr {
        self.internal_address(self.ip_address, port)
    }

    /// The internal addresses of the seed keepers.
    pub fn seed_keepers(&self) -> Vec<SocketAddr> {
        self.seed_nodes.iter().map(|seed| self.internal_address(seed.ip(), InternalPort::Keeper)).collect()
    }

    /// Number of replicas that must store a write before it is acknowledged.
    pub fn required_replicas(&self) -> usize {
        self.fault_tolerance.machines + 1
    }

    /// The timeouts of keepers, derived from the bounds.
    pub fn control_timings(&self) -> ControlTimings {
        ControlTimings::from_bounds(&self.bounds)
    }
}
