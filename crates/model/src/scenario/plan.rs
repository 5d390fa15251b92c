//! The tables of a run: relays, traffic, destinations, network, list, clients and rules.

use serde::{Deserialize, Serialize};

use super::defaults;
use super::range::{PerItem, PerRun, Range};

/// The relays.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Relays {
    /// The number of relays.
    pub count: PerRun,
    /// The exponent of the Zipf distribution of traffic over relays; 0: all have the same.
    #[serde(rename = "zipf", default)]
    pub zipf_exponent: Range,
    /// Slots of a relay, as a multiple of those that its share of full load keeps busy.
    #[serde(rename = "slots_room")]
    pub slot_headroom: PerItem,
    /// The minimum of slots.
    #[serde(rename = "least_slots")]
    pub min_slots: f64,
    /// The maximum of pending notifications of a relay, in seconds of its share of full load.
    #[serde(rename = "hold_s")]
    pub pending_capacity_s: PerItem,
    /// The lower limit of that maximum.
    #[serde(rename = "least_held")]
    pub min_pending_capacity: f64,
    /// The shortest time between two turns of a relay.
    #[serde(default = "defaults::tick_ms")]
    pub tick_ms: f64,
    /// The maximum of pushes of one notification.
    #[serde(rename = "pushes", default = "defaults::pushes")]
    pub max_pushes: u32,
    /// The delay until a relay learns that a client has received its notice.
    #[serde(rename = "notice_ms", default = "defaults::notice_ms")]
    pub notice_delay_ms: PerItem,
}

/// The notifications that are submitted.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Notifications a second at full load.
    pub rate: PerRun,
    /// The mean load, as a fraction of full load.
    pub load: PerRun,
    /// The amplitude of the sine wave of load about its mean, as a fraction of the mean.
    #[serde(rename = "swing", default)]
    pub swing_amplitude: PerRun,
    /// The period of that wave.
    #[serde(rename = "swing_s", default = "defaults::swing_s")]
    pub swing_period_s: PerRun,
    /// The fraction of notifications that arrive in batches for one destination.
    #[serde(rename = "clumps", default)]
    pub batched_fraction: PerRun,
    /// The size of a batch, in seconds of its destination's traffic.
    #[serde(rename = "clump_s", default = "defaults::clump_s")]
    pub batch_size_s: PerItem,
    /// Keys of a destination in use at the same time, for ordered topic types.
    #[serde(rename = "keys", default = "defaults::keys")]
    pub keys_per_destination: PerItem,
    /// For how long a key is in use.
    #[serde(rename = "key_life_s", default = "defaults::key_life_s")]
    pub key_lifetime_s: PerItem,
}

/// The number of destinations and endpoints, and the distribution of traffic over them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    /// The number of destinations.
    pub count: PerRun,
    /// Endpoints of each destination; a fractional part is the fraction of destinations with one more.
    pub endpoints: PerRun,
    /// The exponent of the Zipf distribution of traffic over destinations.
    #[serde(rename = "zipf", default)]
    pub zipf_exponent: PerRun,
}

/// Connections between relays and endpoints.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// The one-way delay within a zone.
    #[serde(rename = "near_ms")]
    pub same_zone_delay_ms: PerItem,
    /// The one-way delay between zones.
    #[serde(rename = "far_ms")]
    pub cross_zone_delay_ms: PerItem,
    /// The largest addition to a one-way delay, as a fraction of it.
    pub jitter: f64,
    /// Round trips that opening a connection takes.
    pub handshake_rtts: f64,
    /// The timeout for opening a connection.
    pub connect_timeout_ms: f64,
    /// Endpoints close connections that have been idle for this long.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            same_zone_delay_ms: Range { min: 8.0, max: 20.0 },
            cross_zone_delay_ms: Range { min: 20.0, max: 60.0 },
            jitter: 0.2,
            handshake_rtts: 2.0,
            connect_timeout_ms: 1_500.0,
            idle_timeout_s: 5.0,
        }
    }
}

/// The endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// The delay until a relay is notified of a change.
    #[serde(rename = "notice_s")]
    pub change_delay_s: PerItem,
    /// How long a request for the list takes.
    #[serde(rename = "answer_ms")]
    pub response_ms: PerItem,
    /// Whether entries have a rate, which has an error of up to 50 %.
    #[serde(rename = "rates")]
    pub has_rates: bool,
}

impl Default for List {
    fn default() -> List {
        List { change_delay_s: Range { min: 0.5, max: 4.0 }, response_ms: Range::from(50.0), has_rates: true }
    }
}

/// The behaviour of clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// The maximum of resubmissions of a throttled notification.
    #[serde(rename = "again")]
    pub max_resubmissions: u32,
    /// The first backoff before a resubmission, doubled each time; used without an announced time.
    pub backoff_ms: PerItem,
    /// The fraction of clients that respect an announced time.
    #[serde(rename = "honour")]
    pub compliant_fraction: f64,
    /// The longest time that may be announced; 0: none.
    #[serde(rename = "longest_retry_ms")]
    pub max_retry_after_ms: f64,
    /// The fraction of notifications that are withdrawn.
    #[serde(rename = "impatient")]
    pub withdrawn_fraction: f64,
    /// The fraction of the TTL after which they are withdrawn.
    #[serde(rename = "patience")]
    pub withdrawal_ttl_fraction: PerItem,
    /// How long until a client of a failed relay submits its notification to another one.
    #[serde(rename = "orphan_ms")]
    pub failover_delay_ms: PerItem,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            max_resubmissions: 2,
            backoff_ms: Range { min: 600.0, max: 1_300.0 },
            compliant_fraction: 0.8,
            max_retry_after_ms: 3_000.0,
            withdrawn_fraction: 0.0,
            withdrawal_ttl_fraction: Range { min: 0.2, max: 0.8 },
            failover_delay_ms: Range { min: 400.0, max: 1_800.0 },
        }
    }
}

/// The tolerances of the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after its TTL a notification's final answer is still in time.
    pub answer_slack_ms: f64,
    /// How long after the notice of a drain a relay may still push to the endpoint.
    pub drain_grace_ms: f64,
    /// The fraction of its capacity that a destination has immediately after an outage.
    #[serde(rename = "cold_from")]
    pub warm_up_initial_fraction: PerItem,
    /// How long after an outage it has its full capacity.
    #[serde(rename = "cold_s")]
    pub warm_up_duration_s: PerItem,
    /// A shorter outage leaves a destination warm.
    #[serde(rename = "least_outage_s")]
    pub min_outage_s: f64,
    /// The multiple of its present capacity that a recovering destination may receive within `overload_duration_ms`.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// The length of the overload window.
    #[serde(rename = "tip_after_ms")]
    pub overload_duration_ms: f64,
    /// Calls allowed beyond that multiple.
    #[serde(rename = "fall_slack")]
    pub overload_slack: f64,
    /// How long a key waits after a push that may still be executing.
    #[serde(rename = "settle_ms")]
    pub key_cooldown_ms: f64,
    /// A relay without subscription that has not requested the list for this long counts as notified of its changes.
    #[serde(rename = "ask_every_s")]
    pub list_refresh_interval_s: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            answer_slack_ms: 20.0,
            drain_grace_ms: 250.0,
            warm_up_initial_fraction: Range { min: 0.21, max: 0.29 },
            warm_up_duration_s: Range { min: 11.0, max: 14.0 },
            min_outage_s: 1.0,
            overload_factor: 2.0,
            overload_duration_ms: 1_500.0,
            overload_slack: 3.0,
            key_cooldown_ms: 100.0,
            list_refresh_interval_s: 10.0,
        }
    }
}
