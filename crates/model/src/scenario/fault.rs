//! What goes wrong: the vocabulary of troubles.

use serde::{Deserialize, Serialize};

use super::defaults::{usual, whole, yes};
use super::range::Once;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Answers take `size` times as long.
    Slow,
    /// Calls are taken and never answered.
    Silent,
    /// Calls are answered with an error at once.
    Errors,
    /// Calls are turned away at once.
    Refuses,
    /// Connections are refused.
    Down,
    /// Stands still for `size` seconds, again and again, every four times that.
    Pauses,
    /// One topic type fails.
    TopicFails,
    /// Limits are `size` times the usual.
    Limit,
    /// Opening a connection takes `size` times as long.
    Handshakes,
    /// All traffic is `size` times the usual.
    Burst,
    /// The traffic of the destinations struck is `size` times the usual.
    Hot,
    /// The traffic of one account is `size` times the usual.
    AccountBurst,
    /// What comes for the destinations struck is held back and comes all at once at the end.
    Release,
    /// A few relays carry the share `size` of all traffic.
    HotRelays,
    /// The list cannot be reached.
    ListDown,
    /// News of the list comes `size` seconds later.
    ListStale,
    /// Endpoints drain and are replaced, one after the other, each gone `size` seconds after it drains.
    Deploy,
    /// What relays send to the endpoints struck is lost on the way.
    CutThere,
    /// What the endpoints struck answer is lost on the way.
    CutBack,
    /// Connections to the endpoints struck break in the middle of calls, the share `size` of them.
    Resets,
    /// TTLs are `size` times the usual, and at their end notifications are taken back.
    Hurry,
    /// Relays are killed and come back over their folders after `size` seconds.
    Kill,
    /// Relays are lost with their folders; new ones come in their place after `size` seconds.
    Lose,
}

/// A trouble: what, when and whom.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub what: FaultKind,
    /// When it begins.
    pub start_s: Once,
    /// How long it lasts.
    #[serde(default)]
    pub span_s: Once,
    /// Over how long it comes on.
    #[serde(default)]
    pub ramp_s: Once,
    /// How much; see [`FaultKind`].
    #[serde(default = "usual")]
    pub size: Once,
    /// The share of the traffic whose destinations it strikes, of those that the rest of it allows; for relays,
    /// the share of relays.
    #[serde(default = "whole")]
    pub extent: Once,
    /// Whether it strikes whole destinations, or one endpoint of each.
    #[serde(default = "yes")]
    pub whole: bool,
    /// Only destinations of that kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Only endpoints in that zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The topic type concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub topic: Option<String>,
    /// The account concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// Only the destination with that place by traffic, 0 the busiest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub destination: Option<usize>,
}
