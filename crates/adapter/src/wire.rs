//! The messages of the wire protocol. Types keep the protocol's names, because error messages contain them; fields and
//! variants are renamed by attributes.

use std::borrow::Cow;

use juniperwing_settings::RawSettings;
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};

/// An input line: the events up to `now_ns`.
#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    #[serde(rename = "now")]
    pub(crate) now_ns: u64,
    #[serde(borrow, rename = "happened")]
    pub(crate) events: Vec<&'a RawValue>,
}

/// The fields common to all events: the kind and the relay.
#[derive(Deserialize)]
pub(crate) struct Head<'a> {
    #[serde(borrow, rename = "m")]
    pub(crate) kind: Cow<'a, str>,
    #[serde(borrow, default)]
    pub(crate) relay: Cow<'a, str>,
}

/// Starts a relay.
#[derive(Deserialize)]
pub(crate) struct Spawn {
    #[serde(default, rename = "prng")]
    seed: Value,
    #[serde(default, rename = "boot-info")]
    pub(crate) settings: RawSettings,
}

impl Spawn {
    /// The seed as 64 bits, from a signed or unsigned integer; zero if it is neither.
    pub(crate) fn seed(&self) -> u64 {
        self.seed.as_u64().or_else(|| self.seed.as_i64().map(i64::cast_unsigned)).unwrap_or(0)
    }
}

/// Defines the entries of a bank.
#[derive(Deserialize)]
pub(crate) struct Inventory {
    pub(crate) bank: usize,
    #[serde(default)]
    pub(crate) records: Vec<Record>,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
pub(crate) struct Record {
    pub(crate) endpoint: String,
    #[serde(default, rename = "region-part")]
    pub(crate) zone: String,
    #[serde(default, rename = "model")]
    pub(crate) kind_name: String,
    #[serde(rename = "cell")]
    pub(crate) destination: u64,
    #[serde(default)]
    pub(crate) readiness: String,
    #[serde(default, rename = "nominal")]
    pub(crate) rate_per_second: f64,
}

/// An update of the endpoint list with the entries of a bank.
#[derive(Deserialize)]
pub(crate) struct Endpoints {
    #[serde(default)]
    pub(crate) bank: usize,
    #[serde(rename = "kind")]
    pub(crate) update_kind: String,
}

/// A notification was accepted.
#[derive(Deserialize)]
pub(crate) struct Accept {
    #[serde(rename = "ticket")]
    pub(crate) notification: u64,
    #[serde(rename = "bound-for")]
    pub(crate) destination: u64,
    #[serde(default, rename = "org")]
    pub(crate) account: Value,
    #[serde(rename = "object")]
    pub(crate) key: Option<String>,
    #[serde(rename = "valid-until")]
    pub(crate) valid_until_ns: u64,
    #[serde(default, rename = "cls")]
    pub(crate) topic_type: String,
}

/// A push ended.
#[derive(Deserialize)]
pub(crate) struct Answer {
    #[serde(rename = "ticket")]
    pub(crate) notification: u64,
    #[serde(default, rename = "go")]
    pub(crate) push_index: u32,
    pub(crate) endpoint: String,
    pub(crate) status: String,
    #[serde(default, rename = "spent")]
    pub(crate) elapsed_ns: u64,
    #[serde(default, rename = "settled")]
    pub(crate) has_final_answer: bool,
    #[serde(default, rename = "detail")]
    pub(crate) retry_after_ms: u64,
    #[serde(default, rename = "server-stats")]
    pub(crate) load_report: Vec<f64>,
}

/// A probe ended.
#[derive(Deserialize)]
pub(crate) struct HealthResult {
    pub(crate) endpoint: String,
    pub(crate) status: String,
    #[serde(default, rename = "server-stats")]
    pub(crate) load_report: Vec<f64>,
}

/// A notification was withdrawn.
#[derive(Deserialize)]
pub(crate) struct Withdrawn {
    #[serde(rename = "ticket")]
    pub(crate) notification: u64,
}

/// An output line: the commands that result from a batch.
#[derive(Serialize)]
pub(crate) struct Reply<'a> {
    pub(crate) cmds: Vec<Cmd<'a>>,
}

/// A command.
#[derive(Serialize)]
#[serde(tag = "m")]
pub(crate) enum Cmd<'a> {
    #[serde(rename = "Transmit")]
    Push {
        relay: &'a str,
        #[serde(rename = "ticket")]
        notification: u64,
        endpoint: &'a str,
        #[serde(rename = "give-up-after")]
        timeout_ns: u64,
    },
    #[serde(rename = "AbortAttempt")]
    Cancel {
        relay: &'a str,
        #[serde(rename = "ticket")]
        notification: u64,
        #[serde(rename = "go")]
        push_index: u32,
    },
    #[serde(rename = "Bounce")]
    Throttle {
        relay: &'a str,
        #[serde(rename = "ticket")]
        notification: u64,
        #[serde(rename = "retry-in")]
        retry_after_ns: u64,
    },
    #[serde(rename = "Fail")]
    Expire {
        relay: &'a str,
        #[serde(rename = "ticket")]
        notification: u64,
    },
    #[serde(rename = "NotifyMe")]
    WakeAfter {
        relay: &'a str,
        #[serde(rename = "wait")]
        delay_ns: u64,
        label: &'a str,
    },
    #[serde(rename = "Listen")]
    SubscribeToEndpointList {
        relay: &'a str,
        #[serde(rename = "active")]
        is_active: bool,
    },
    #[serde(rename = "DropConns")]
    CloseIdleConnections { relay: &'a str, endpoint: &'a str },
    #[serde(rename = "SayLog")]
    Log { relay: &'a str, line: &'a str },
    #[serde(rename = "SoundOut")]
    Probe { relay: &'a str, endpoint: &'a str },
}
