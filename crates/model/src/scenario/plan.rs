//! How the tier and its traffic are laid out: relays, traffic, destinations, network, list, clients and rules.

use serde::{Deserialize, Serialize};

use super::defaults::{eight, five, half_a_minute, ten, two};
use super::range::{Each, Once, Range};

/// The relays.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Relays {
    /// How many.
    pub count: Once,
    /// How unequal their traffic is: 0 equal, else the exponent of a Zipf law over them.
    #[serde(default)]
    pub zipf: Range,
    /// Slots over what a relay's part of full load keeps busy.
    pub slots_room: Each,
    /// The least slots that a relay has.
    pub least_slots: f64,
    /// What a relay may hold, in seconds of its part of full load.
    pub hold_s: Each,
    /// The least that it may hold, in notifications.
    pub least_held: f64,
    /// The shortest gap between two of its rounds.
    #[serde(default = "five")]
    pub tick_ms: f64,
    /// Pushes for one notification at most.
    #[serde(default = "eight")]
    pub pushes: u32,
    /// How long a notice of an end takes to be heard.
    #[serde(default = "ten")]
    pub notice_ms: Each,
}

/// What is handed in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Notifications a second at full load.
    pub rate: Once,
    /// The share of full load that comes.
    pub load: Once,
    /// How much load swings about its mean, and how long a swing takes.
    #[serde(default)]
    pub swing: Once,
    /// How long a swing takes.
    #[serde(default = "half_a_minute")]
    pub swing_s: Once,
    /// The share that comes in clumps for one destination.
    #[serde(default)]
    pub clumps: Once,
    /// A clump's size, in seconds of what its destination takes.
    #[serde(default = "two")]
    pub clump_s: Each,
    /// How many keys of one destination are in use at a time, for ordered topic types.
    #[serde(default = "two")]
    pub keys: Each,
    /// For how long a key is in use.
    #[serde(default = "ten")]
    pub key_life_s: Each,
}

/// How many destinations and endpoints there are, and who gets how much.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    /// How many destinations.
    pub count: Once,
    /// Endpoints of each; a fraction is the share of destinations with one more.
    pub endpoints: Once,
    /// The exponent of the Zipf law of their traffic.
    #[serde(default)]
    pub zipf: Once,
}

/// Connections between relays and endpoints.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way within a zone.
    pub near_ms: Each,
    /// One way between zones.
    pub far_ms: Each,
    /// How much one passage differs from another, as a share.
    pub jitter: f64,
    /// Round trips to open a connection.
    pub handshake_rtts: f64,
    /// A connection that is not up by then is given up.
    pub connect_timeout_ms: f64,
    /// Idle connections are closed after this long.
    pub idle_s: f64,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            near_ms: Range { least: 8.0, most: 20.0 },
            far_ms: Range { least: 20.0, most: 60.0 },
            jitter: 0.2,
            handshake_rtts: 2.0,
            connect_timeout_ms: 1_500.0,
            idle_s: 5.0,
        }
    }
}

/// The list of endpoints.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// How late a relay hears of a change.
    pub notice_s: Each,
    /// How long a request for the list takes.
    pub answer_ms: Each,
    /// Whether entries carry a rate, rough by up to half.
    pub rates: bool,
}

impl Default for List {
    fn default() -> List {
        List { notice_s: Range { least: 0.5, most: 4.0 }, answer_ms: Range::from(50.0), rates: true }
    }
}

/// What clients do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often one hands a notification in again after a throttling.
    pub again: u32,
    /// How long it waits before it does where it is told no time; doubled each time.
    pub backoff_ms: Each,
    /// The share that heeds the time it is told.
    pub honour: f64,
    /// The longest time to come back that it heeds; 0: none may be named.
    pub longest_retry_ms: f64,
    /// The share of notifications that are taken back.
    pub impatient: f64,
    /// After which share of their TTL.
    pub patience: Each,
    /// How long what a dead relay held takes to come again.
    pub orphan_ms: Each,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            again: 2,
            backoff_ms: Range { least: 600.0, most: 1_300.0 },
            honour: 0.8,
            longest_retry_ms: 3_000.0,
            impatient: 0.0,
            patience: Range { least: 0.2, most: 0.8 },
            orphan_ms: Range { least: 400.0, most: 1_800.0 },
        }
    }
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after a notification's TTL its final answer still counts.
    pub answer_slack_ms: f64,
    /// Nothing new to an endpoint so long after the relay was told that it drains.
    pub drain_grace_ms: f64,
    /// The share of its capacity that a destination has right after an outage.
    pub cold_from: Each,
    /// How long after its return it has all of it.
    pub cold_s: Each,
    /// An outage shorter than that leaves nothing cold.
    pub least_outage_s: f64,
    /// A cold destination falls over above so many times its present capacity...
    pub fall_multiple: f64,
    /// ...kept up for this long.
    pub tip_after_ms: f64,
    /// Further work allowed beyond that, for chance, in calls.
    pub fall_slack: f64,
    /// How long a key rests after a push that might still be running.
    pub settle_ms: f64,
    /// A relay that has no subscription and has not asked for so long counts as told.
    pub ask_every_s: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            answer_slack_ms: 20.0,
            drain_grace_ms: 250.0,
            cold_from: Range { least: 0.21, most: 0.29 },
            cold_s: Range { least: 11.0, most: 14.0 },
            least_outage_s: 1.0,
            fall_multiple: 2.0,
            tip_after_ms: 1_500.0,
            fall_slack: 3.0,
            settle_ms: 100.0,
            ask_every_s: 10.0,
        }
    }
}
