//! The wire's messages, as serde reads them.

use std::borrow::Cow;

use juniperwing_settings::RawSettings;
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};

#[derive(Deserialize)]
pub struct Batch<'a> {
    pub now: u64,
    #[serde(borrow)]
    pub happened: Vec<&'a RawValue>,
}

/// The part of an event that tells what it is and whose.
#[derive(Deserialize)]
pub struct Head<'a> {
    #[serde(borrow)]
    pub m: Cow<'a, str>,
    #[serde(borrow, default)]
    pub relay: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Spawn {
    #[serde(default)]
    pub prng: Value,
    #[serde(default)]
    pub boot_info: RawSettings,
}

#[derive(Deserialize)]
pub struct Inventory {
    pub bank: usize,
    #[serde(default)]
    pub records: Vec<Record>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    pub endpoint: String,
    #[serde(default)]
    pub region_part: String,
    #[serde(default)]
    pub model: String,
    pub cell: u64,
    #[serde(default)]
    pub readiness: String,
    #[serde(default)]
    pub nominal: f64,
}

#[derive(Deserialize)]
pub struct Endpoints {
    #[serde(default)]
    pub bank: usize,
    pub kind: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Accept {
    pub ticket: u64,
    pub bound_for: u64,
    #[serde(default)]
    pub org: Value,
    pub object: Option<String>,
    pub valid_until: u64,
    #[serde(default)]
    pub cls: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Answer {
    pub ticket: u64,
    #[serde(default)]
    pub go: u32,
    pub endpoint: String,
    pub status: String,
    #[serde(default)]
    pub spent: u64,
    #[serde(default)]
    pub settled: bool,
    #[serde(default)]
    pub detail: u64,
    #[serde(default)]
    pub server_stats: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HealthResult {
    pub endpoint: String,
    pub status: String,
    #[serde(default)]
    pub server_stats: Vec<f64>,
}

#[derive(Deserialize)]
pub struct Withdrawn {
    pub ticket: u64,
}

#[derive(Serialize)]
pub struct Reply<'a> {
    pub cmds: Vec<Cmd<'a>>,
}

#[derive(Serialize)]
#[serde(tag = "m", rename_all_fields = "kebab-case")]
pub enum Cmd<'a> {
    Transmit { relay: &'a str, ticket: u64, endpoint: &'a str, give_up_after: u64 },
    AbortAttempt { relay: &'a str, ticket: u64, go: u32 },
    Bounce { relay: &'a str, ticket: u64, retry_in: u64 },
    Fail { relay: &'a str, ticket: u64 },
    NotifyMe { relay: &'a str, wait: u64, label: &'a str },
    Listen { relay: &'a str, active: bool },
    DropConns { relay: &'a str, endpoint: &'a str },
    SayLog { relay: &'a str, line: &'a str },
    SoundOut { relay: &'a str, endpoint: &'a str },
}
