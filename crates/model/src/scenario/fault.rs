//! Faults: their kind, time and scope.

use serde::{Deserialize, Serialize};

use super::defaults;
use super::range::PerRun;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Service takes `size` times as long.
    Slow,
    /// Calls are accepted and never answered.
    Silent,
    /// Calls are answered with an error at once.
    Errors,
    /// Calls are rejected as busy at once.
    #[serde(rename = "refuses")]
    Rejections,
    /// Connections are refused.
    Down,
    /// Service pauses for `size` seconds periodically, with a period of four times that.
    Pauses,
    /// One topic type fails.
    TopicFails,
    /// Rate limits are `size` times the configured ones.
    Limit,
    /// Opening a connection takes `size` times as long.
    Handshakes,
    /// All traffic is `size` times the normal.
    Burst,
    /// The traffic of the affected destinations is `size` times the normal.
    #[serde(rename = "hot")]
    HotDestinations,
    /// The traffic of one account is `size` times the normal.
    AccountBurst,
    /// The traffic of the affected destinations is held back and released at once at the end.
    #[serde(rename = "release")]
    TrafficRelease,
    /// A few relays get the fraction `size` of all traffic.
    HotRelays,
    /// The endpoint list is unreachable.
    ListDown,
    /// Changes of the endpoint list are reported `size` seconds later.
    ListStale,
    /// Endpoints are replaced one after the other; each terminates `size` seconds after it starts to drain.
    Deploy,
    /// A one-way partition: requests of relays to the affected endpoints are lost.
    #[serde(rename = "cut-there")]
    RequestLoss,
    /// A one-way partition: responses of the affected endpoints are lost.
    #[serde(rename = "cut-back")]
    ResponseLoss,
    /// The fraction `size` of connections to the affected endpoints break during calls.
    Resets,
    /// TTLs are `size` times the normal, and clients withdraw notifications when they expire.
    #[serde(rename = "hurry")]
    ShortenedTtl,
    /// Relays are killed and restart with their storage after `size` seconds.
    #[serde(rename = "kill")]
    RelayKill,
    /// Relays are lost with their storage; new ones replace them after `size` seconds.
    #[serde(rename = "lose")]
    RelayLoss,
}

/// A fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When it begins.
    pub start_s: PerRun,
    /// Its duration.
    #[serde(rename = "span_s", default)]
    pub duration_s: PerRun,
    /// How long its effect takes to reach its size.
    #[serde(default)]
    pub ramp_s: PerRun,
    /// The magnitude; see [`FaultKind`].
    #[serde(default = "defaults::size")]
    pub size: PerRun,
    /// The affected fraction of the traffic in its scope, by whole destinations; for faults of relays, the affected
    /// fraction of relays.
    #[serde(default = "defaults::extent")]
    pub extent: PerRun,
    /// Whether it affects all endpoints of a destination, or one of each.
    #[serde(rename = "whole", default = "defaults::whole")]
    pub affects_all_endpoints: bool,
    /// Restricts it to destinations of that kind.
    #[serde(rename = "kind", default, skip_serializing_if = "Option::is_none")]
    pub destination_kind: Option<String>,
    /// Restricts it to endpoints in that zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The topic type concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub topic: Option<String>,
    /// The account concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// Restricts it to the destination with that rank by traffic, 0 being the busiest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub destination: Option<usize>,
}
