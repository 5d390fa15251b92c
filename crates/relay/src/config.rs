//! Reads what a relay is told when it starts: the environment and the JSON file it names. It must never start
//! anything, or hold a value that decides over notifications; those are in the settings, for the core.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use juniperwing_settings::{Settings, Written};
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::EndpointList;

/// Descriptors that are neither clients' nor endpoints': the poller's, the log's, discovery's and the like.
const RESERVED_DESCRIPTORS: usize = 32;

/// More than any one process uses, and fewer than the loop can number.
const MAX_SOCKETS: usize = 1 << 18;

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
    settings: Written,
}

/// What the machine gives.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    pub sockets: usize,
    pub disk_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, disk_mb: 3.0 }
    }
}

impl Limits {
    /// Client connections and endpoint connections at most.
    pub fn connection_limits(&self) -> (usize, usize) {
        let shared = self.sockets.min(MAX_SOCKETS) - RESERVED_DESCRIPTORS;
        (shared / 2, shared - shared / 2)
    }

    pub fn disk_bytes(&self) -> u64 {
        (self.disk_mb * 1e6) as u64
    }
}

/// What a running process cannot change.
#[derive(Clone, Debug, PartialEq)]
pub struct StaticConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
}

impl StaticConfig {
    /// The keys that differ in another.
    pub fn changed_keys(&self, other: &StaticConfig) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("seed", self.seed != other.seed),
            ("limits", self.limits != other.limits),
        ];
        keys.into_iter().filter(|key| key.1).map(|key| key.0).collect()
    }
}

pub struct Config {
    /// The file that this was read from.
    pub path: PathBuf,
    pub static_config: StaticConfig,
    pub discovery_address: SocketAddr,
    /// The folder that lasts; a check needs none.
    pub state_directory: Option<PathBuf>,
    pub initial_endpoints: EndpointList,
    pub settings: Settings,
}

/// Why a configuration cannot be used, for whoever wrote it.
#[derive(Debug)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

fn invalid<T>(why: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError(why.into()))
}

fn parse_address(what: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().or_else(|_| invalid(format!("{what} is no address with a port: {text:?}")))
}

impl Config {
    /// Reads the file that `given` or `ROUTER_CONFIG` names. What the file says goes before the environment: the
    /// file can be replaced while the process runs, and its environment cannot.
    pub fn read(given: Option<PathBuf>) -> Result<Config, ConfigError> {
        let env = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        let Some(path) = given.or_else(|| env("ROUTER_CONFIG").map(PathBuf::from)) else {
            return invalid("no configuration: give --config FILE or set ROUTER_CONFIG");
        };
        let text = std::fs::read(&path)
            .or_else(|e| invalid(format!("cannot read the configuration {}: {e}", path.display())))?;
        let mut parser = serde_json::Deserializer::from_slice(&text);
        let file: ConfigFile = serde_path_to_error::deserialize(&mut parser)
            .map_err(|e| e.to_string())
            .and_then(|file| parser.end().map_err(|e| e.to_string()).map(|()| file))
            .or_else(|e| invalid(format!("{} is no valid configuration: {e}", path.display())))?;
        let state = env("ROUTER_STATE").map(PathBuf::from);
        if let Some(state) = state.as_ref().filter(|state| !state.is_dir()) {
            return invalid(format!("ROUTER_STATE is no folder: {}", state.display()));
        }
        if file.limits.sockets < 2 * RESERVED_DESCRIPTORS {
            return invalid(format!("limits.sockets must be at least {}", 2 * RESERVED_DESCRIPTORS));
        }
        if file.limits.disk_mb < 0.1 {
            return invalid("limits.disk_mb must be at least 0.1");
        }
        let or_env =
            |written: String, name: &str| Some(written).filter(|w| !w.is_empty()).or_else(|| env(name));
        file.settings.check().or_else(invalid)?;
        let mut settings = Settings::from(&file.settings);
        // On sockets news comes by a watch alone, and somebody has to open it, pushed or not.
        settings.terms.fleet.list_on_request = true;
        Ok(Config {
            path,
            static_config: StaticConfig {
                name: or_env(file.name, "ROUTER_NAME").unwrap_or_default(),
                listen: parse_address("listen", &or_env(file.listen, "ROUTER_LISTEN").unwrap_or_default())?,
                seed: parse_seed(&file.seed),
                limits: file.limits,
            },
            discovery_address: parse_address(
                "discovery",
                &or_env(file.discovery, "ROUTER_DISCOVERY").unwrap_or_default(),
            )?,
            state_directory: state,
            initial_endpoints: file.known,
            settings,
        })
    }
}

/// The seed as 64 bits: hexadecimal text, or a number.
fn parse_seed(written: &Value) -> u64 {
    let text = written.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
    text.or_else(|| written.as_u64()).unwrap_or(0)
}
