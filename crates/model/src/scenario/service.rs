//! Topic types, kinds of destination and accounts.

use serde::{Deserialize, Serialize};

use super::defaults;
use super::range::{Each, Once};

/// What a second execution of a notification does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Semantics {
    /// It has no further effect.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// All endpoints of the destination drop it for a window.
    #[serde(rename = "collapsible")]
    Deduplicated,
    /// The endpoints in the zone of the first execution drop it for a window.
    #[serde(rename = "collapsible-in-zone")]
    DeduplicatedInZone,
    /// It takes effect again and must not happen.
    #[serde(rename = "once-only")]
    NonIdempotent,
}

/// How the benefit of a delivery decays after the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decay {
    /// Linearly, to the late share at the TTL.
    #[serde(rename = "even")]
    #[default]
    Linear,
    /// By half with each further objective, to the late share at the lowest.
    Halves,
}

/// A topic type.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Topic {
    /// Its name.
    pub name: String,
    /// The weight of its traffic.
    #[serde(rename = "share")]
    pub traffic_weight: Once,
    /// What a second execution does.
    #[serde(rename = "effect")]
    pub semantics: Semantics,
    /// For how long repeats of a collapsible topic type are dropped.
    #[serde(rename = "window_ms", default)]
    pub deduplication_window_ms: f64,
    /// Whether notifications with one key are delivered one after the other.
    #[serde(rename = "ordered", default)]
    pub is_ordered: bool,
    /// Mean service time at a speed of 1.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: Once,
    /// Coefficient of variation of the service time, where it is lognormal.
    #[serde(default = "defaults::work_cv")]
    pub work_cv: Once,
    /// The distribution of the service time over notifications.
    #[serde(rename = "work_law", default)]
    pub work_distribution: LatencyDistribution,
    /// Coefficient of variation of the service time over attempts for one notification.
    #[serde(rename = "try_cv", default = "defaults::try_cv")]
    pub attempt_cv: f64,
    /// The latency objective.
    #[serde(rename = "objective_ms")]
    pub latency_target_ms: f64,
    /// The TTL.
    pub ttl_ms: f64,
    /// The benefit of a delivery within the objective.
    #[serde(default = "defaults::benefit")]
    pub benefit: f64,
    /// The fraction of the benefit at the TTL.
    #[serde(rename = "late_share", default = "defaults::late_share")]
    pub late_benefit_fraction: f64,
    /// How the benefit decays between.
    #[serde(default)]
    pub decay: Decay,
    /// The kinds of destination that it is for; empty: all.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// The distribution of service times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LatencyDistribution {
    /// Lognormal, with a heavy tail.
    #[default]
    Lognormal,
    /// Exponential, for which queueing theory has closed formulas.
    Exponential,
}

/// How a destination limits the rate of calls of all relays together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitForm {
    /// By its capacity alone.
    #[default]
    None,
    /// By a token bucket.
    Rate,
    /// By a count in fixed windows.
    Window,
}

/// A kind of destination.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// The weight of its number of destinations.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Service times are divided by it.
    #[serde(default = "defaults::speed")]
    pub speed: Each,
    /// The capacity of its destinations, over their traffic at full load.
    #[serde(rename = "spare", default = "defaults::spare")]
    pub capacity_headroom: Each,
    /// The form of the rate limit.
    #[serde(default)]
    pub limit: LimitForm,
    /// The rate limit, over the traffic at full load.
    #[serde(rename = "headroom", default = "defaults::headroom")]
    pub limit_headroom: Each,
    /// The minimum of the rate limit, in calls a second.
    #[serde(rename = "least_rate", default = "defaults::least_rate")]
    pub min_limit_rate: Each,
    /// The depth of a token bucket, in seconds of its rate.
    #[serde(rename = "depth_s", default = "defaults::depth_s")]
    pub bucket_depth_s: Each,
    /// The length of a window.
    #[serde(rename = "window_ms", default = "defaults::window_ms")]
    pub limit_window_ms: Each,
    /// The probability that a rejection above the limit announces how long to wait.
    #[serde(rename = "tells_wait", default)]
    pub announced_wait_fraction: f64,
    /// Whether rejected calls count towards the limit.
    #[serde(rename = "refused_count", default)]
    pub counts_rejected: bool,
    /// Whether answers carry load reports.
    #[serde(rename = "reports", default = "defaults::reports")]
    pub has_load_reports: bool,
    /// The time between two load reports.
    #[serde(rename = "report_ms", default = "defaults::report_ms")]
    pub report_interval_ms: Each,
    /// The age at which a load report is sent.
    #[serde(rename = "report_late_ms", default = "defaults::report_late_ms")]
    pub report_delay_ms: Each,
    /// The largest error of a load report, as a fraction.
    #[serde(default)]
    pub report_noise: f64,
    /// Whether each endpoint is a route of its own, with its own limit, waits and outages.
    #[serde(rename = "apart", default)]
    pub has_separate_routes: bool,
    /// The maximum of notifications in a call.
    #[serde(rename = "per_call", default = "defaults::per_call")]
    pub max_notifications_per_call: usize,
    /// The service time that each further notification adds to a call, as a fraction of its own.
    #[serde(default = "defaults::item_cost")]
    pub item_cost: Each,
    /// The queue of an endpoint, in calls for each call that it serves at once.
    #[serde(rename = "queue", default = "defaults::queue")]
    pub queue_per_server: Each,
    /// The maximum of connections of an endpoint, for each call that it serves at once; 0: no maximum.
    #[serde(rename = "connections", default)]
    pub connections_per_server: Each,
    /// The lowest such maximum.
    #[serde(rename = "least_connections", default = "defaults::least_connections")]
    pub min_connections: f64,
    /// How long an endpoint works to open a connection.
    #[serde(default)]
    pub handshake_work_ms: f64,
    /// The fraction of calls answered with an error.
    #[serde(default)]
    pub error_rate: Each,
    /// Whether cancelled calls leave the queue.
    #[serde(default)]
    pub drops_cancelled: bool,
}

/// An account.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// The weight of its quota and of its number of destinations.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Its quota, over its share of full load.
    #[serde(rename = "quota", default = "defaults::quota")]
    pub quota_fraction: f64,
    /// The fraction of its benefit that a notification beyond the quota earns.
    #[serde(rename = "over_share", default = "defaults::over_share")]
    pub over_quota_benefit_fraction: f64,
}
