//! Reads the configuration at startup and on a reload: the environment and a JSON file.
//!
//! Values that affect how notifications are handled are in the `settings` object, which is passed to the core.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use juniperwing_settings::{RawSettings, Settings};
use serde::Deserialize;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::discovery::EndpointList;

/// File descriptors reserved for uses other than client and endpoint connections: the poller, the log, discovery and
/// others.
const RESERVED_DESCRIPTORS: usize = 32;
/// More sockets than one process uses, and fewer than the event loop can assign tokens to.
const MAX_SOCKETS: usize = 1 << 18;
/// The minimum of `limits.disk_mb`, in megabytes.
const MIN_DISK_MB: f64 = 0.1;

/// An error in the configuration.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    #[snafu(display("no configuration: give --config FILE or set ROUTER_CONFIG"))]
    NoFile,
    #[snafu(display("cannot read the configuration {}: {source}", path.display()))]
    Unreadable { path: PathBuf, source: io::Error },
    #[snafu(display("{} is no valid configuration: {source}", path.display()))]
    Malformed { path: PathBuf, source: serde_path_to_error::Error<serde_json::Error> },
    #[snafu(display("{} is no valid configuration: {source}", path.display()))]
    TrailingText { path: PathBuf, source: serde_json::Error },
    #[snafu(display("ROUTER_STATE is no folder: {}", path.display()))]
    NoStateDirectory { path: PathBuf },
    #[snafu(display("limits.sockets must be at least {min_sockets}"))]
    TooFewSockets { min_sockets: usize },
    #[snafu(display("limits.disk_mb must be at least {MIN_DISK_MB}"))]
    TooLittleDisk,
    #[snafu(display("{key} is no address with a port: {text:?}"))]
    InvalidAddress { key: &'static str, text: String },
    #[snafu(display("{reason}"))]
    InvalidSettings { reason: String },
}

/// The contents of the configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: RawSettings,
}

/// The resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// The maximum number of file descriptors.
    pub sockets: usize,
    /// The maximum size of the state directory, in megabytes.
    pub disk_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, disk_mb: 3.0 }
    }
}

/// The maximum numbers of open connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections from clients.
    pub max_clients: usize,
    /// Connections to endpoints.
    pub max_upstream: usize,
}

impl Limits {
    /// Divides the sockets that are not reserved: half for clients, half for endpoints.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let available = self.sockets.min(MAX_SOCKETS) - RESERVED_DESCRIPTORS;
        let max_clients = available / 2;
        ConnectionLimits { max_clients, max_upstream: available - max_clients }
    }

    /// Returns the maximum size of the state directory, in bytes.
    pub fn disk_bytes(&self) -> u64 {
        (self.disk_mb * 1e6) as u64
    }

    fn check(&self) -> Result<(), ConfigError> {
        let min_sockets = 2 * RESERVED_DESCRIPTORS;
        ensure!(self.sockets >= min_sockets, TooFewSocketsSnafu { min_sockets });
        ensure!(self.disk_mb >= MIN_DISK_MB, TooLittleDiskSnafu);
        Ok(())
    }
}

/// The part of the configuration that a running process cannot change.
#[derive(Clone, Debug, PartialEq)]
pub struct StaticConfig {
    /// The name of the relay, included in each log line.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The seed of the core's random number generator.
    pub seed: u64,
    /// The resource limits of the process.
    pub limits: Limits,
}

impl StaticConfig {
    /// Returns the keys whose values differ in `other`.
    pub fn changed_keys(&self, other: &StaticConfig) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("seed", self.seed != other.seed),
            ("limits", self.limits != other.limits),
        ];
        keys.into_iter().filter(|(_, is_changed)| *is_changed).map(|(key, _)| key).collect()
    }
}

/// The configuration of a relay.
pub struct Config {
    /// The path of the configuration file.
    pub path: PathBuf,
    /// The part that takes effect only at a restart.
    pub static_config: StaticConfig,
    /// The address of discovery and of the platform.
    pub discovery_address: SocketAddr,
    /// The directory of the journal; not required to check a configuration.
    pub state_directory: Option<PathBuf>,
    /// The endpoint list of an earlier process.
    pub initial_endpoints: EndpointList,
    /// The settings of the core and of connections.
    pub settings: Settings,
}

impl Config {
    /// Reads the file at `path`, or at `ROUTER_CONFIG` if `path` is `None`. Values in the file take precedence over the
    /// environment, since the file can be replaced while the process runs.
    pub fn read(path: Option<PathBuf>) -> Result<Config, ConfigError> {
        let path = path.or_else(|| env_variable("ROUTER_CONFIG").map(PathBuf::from)).context(NoFileSnafu)?;
        let file = read_file(&path)?;
        let state_directory = env_variable("ROUTER_STATE").map(PathBuf::from);
        if let Some(path) = state_directory.as_ref().filter(|path| !path.is_dir()) {
            return NoStateDirectorySnafu { path }.fail();
        }
        file.limits.check()?;
        file.settings
            .validate()
            .map_err(|error| ConfigError::InvalidSettings { reason: error.to_string() })?;
        let mut settings = Settings::from(&file.settings);
        // The list is received only over a watch that the core has to open, even if the settings say that it is pushed.
        settings.relay_config.fleet.is_list_on_request = true;
        Ok(Config {
            path,
            static_config: StaticConfig {
                name: value_or_env(file.name, "ROUTER_NAME"),
                listen: parse_address("listen", value_or_env(file.listen, "ROUTER_LISTEN"))?,
                seed: parse_seed(&file.seed),
                limits: file.limits,
            },
            discovery_address: parse_address("discovery", value_or_env(file.discovery, "ROUTER_DISCOVERY"))?,
            state_directory,
            initial_endpoints: file.known,
            settings,
        })
    }
}

fn read_file(path: &Path) -> Result<ConfigFile, ConfigError> {
    let text = std::fs::read(path).context(UnreadableSnafu { path })?;
    let mut parser = serde_json::Deserializer::from_slice(&text);
    let file = serde_path_to_error::deserialize(&mut parser).context(MalformedSnafu { path })?;
    parser.end().context(TrailingTextSnafu { path })?;
    Ok(file)
}

/// Returns an environment variable; an empty one counts as unset.
fn env_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn value_or_env(value: String, name: &str) -> String {
    if value.is_empty() { env_variable(name).unwrap_or_default() } else { value }
}

fn parse_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().ok().context(InvalidAddressSnafu { key, text })
}

/// Parses the seed, which is hexadecimal text or a number; 0 if it is neither.
fn parse_seed(value: &Value) -> u64 {
    let text = value.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
    text.or_else(|| value.as_u64()).unwrap_or(0)
}
