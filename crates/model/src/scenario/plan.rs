//! The tables that lay out a run: relays, traffic, destinations, network, list, clients and rules.

use serde::{Deserialize, Serialize};

use super::defaults;
use super::range::{Each, Once, Range};

/// The relays.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Relays {
    /// The number of relays.
    pub count: Once,
    /// The exponent of the Zipf distribution of traffic over relays; 0: all have the same.
    #[serde(default)]
    pub zipf: Range,
    /// Slots of a relay, over those that its share of full load keeps busy.
    pub slots_room: Each,
    /// The minimum of slots.
    pub least_slots: f64,
    /// Notifications that a relay may hold, in seconds of its share of full load.
    pub hold_s: Each,
    /// The minimum of notifications that a relay may hold.
    pub least_held: f64,
    /// The shortest time between two turns of a relay.
    #[serde(default = "defaults::tick_ms")]
    pub tick_ms: f64,
    /// The maximum of pushes of one notification.
    #[serde(default = "defaults::pushes")]
    pub pushes: u32,
    /// How long it takes until a relay knows that a client has its notice.
    #[serde(default = "defaults::notice_ms")]
    pub notice_ms: Each,
}

/// The notifications that are submitted.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Notifications a second at full load.
    pub rate: Once,
    /// The mean load, as a fraction of full load.
    pub load: Once,
    /// The amplitude of the sine wave of load about its mean, as a fraction of the mean.
    #[serde(default)]
    pub swing: Once,
    /// The period of that wave.
    #[serde(default = "defaults::swing_s")]
    pub swing_s: Once,
    /// The fraction of notifications that come in clumps for one destination.
    #[serde(default)]
    pub clumps: Once,
    /// The size of a clump, in seconds of its destination's traffic.
    #[serde(default = "defaults::clump_s")]
    pub clump_s: Each,
    /// Keys of a destination that are in use at a time, for ordered topic types.
    #[serde(default = "defaults::keys")]
    pub keys: Each,
    /// For how long a key is in use.
    #[serde(default = "defaults::key_life_s")]
    pub key_life_s: Each,
}

/// The number of destinations and endpoints, and the distribution of traffic over them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    /// The number of destinations.
    pub count: Once,
    /// Endpoints of each destination; a fractional part is the fraction of destinations with one more.
    pub endpoints: Once,
    /// The exponent of the Zipf distribution of traffic over destinations.
    #[serde(default)]
    pub zipf: Once,
}

/// Connections between relays and endpoints.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// The one-way delay within a zone.
    pub near_ms: Each,
    /// The one-way delay between zones.
    pub far_ms: Each,
    /// The largest addition to a one-way delay, as a fraction of it.
    pub jitter: f64,
    /// Round trips that opening a connection takes.
    pub handshake_rtts: f64,
    /// A connection that is not open by then is given up.
    pub connect_timeout_ms: f64,
    /// Endpoints close connections that have been idle for this long.
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

/// The endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// The delay with which a relay is told of a change.
    pub notice_s: Each,
    /// How long a request for the list takes.
    pub answer_ms: Each,
    /// Whether entries carry a rate, which is wrong by up to a half.
    pub rates: bool,
}

impl Default for List {
    fn default() -> List {
        List { notice_s: Range { least: 0.5, most: 4.0 }, answer_ms: Range::from(50.0), rates: true }
    }
}

/// The behaviour of clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Resubmissions of a throttled notification, at most.
    pub again: u32,
    /// The first backoff before a resubmission, doubled each time; used where no time was announced.
    pub backoff_ms: Each,
    /// The fraction of clients that heed an announced time.
    pub honour: f64,
    /// The longest time that may be announced; 0: none.
    pub longest_retry_ms: f64,
    /// The fraction of notifications that are withdrawn.
    pub impatient: f64,
    /// After which fraction of their TTL.
    pub patience: Each,
    /// How long until a client of a failed relay submits its notification to another one.
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

/// The tolerances of the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after its TTL a notification's final answer is still in time.
    pub answer_slack_ms: f64,
    /// How long after a relay was told that an endpoint drains it may still push to it.
    pub drain_grace_ms: f64,
    /// The fraction of its capacity that a destination has right after an outage.
    pub cold_from: Each,
    /// How long after an outage it has its whole capacity.
    pub cold_s: Each,
    /// A shorter outage leaves a destination warm.
    pub least_outage_s: f64,
    /// A cold destination is overloaded by more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...over this time.
    pub tip_after_ms: f64,
    /// Calls allowed beyond that.
    pub fall_slack: f64,
    /// How long a key waits after a push that may still be executing.
    pub settle_ms: f64,
    /// A relay without subscription that has not asked for the list for this long counts as told of its changes.
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
