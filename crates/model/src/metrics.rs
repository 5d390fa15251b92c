//! The metrics of a run: benefit by topic type, account and window, latencies, outcomes of pushes, connections, and the
//! load and capacity of a few destinations.
//!
//! Metrics are written to `figures.json`; where a key in that file differs from the name of the field, the field has
//! a `serde` attribute with the key.

mod recorder;

use juniperwing::time::Span;
use serde::Serialize;

pub use recorder::{MetricsRecorder, Submission, UndeliveredReason};

use crate::rule_checker::Violation;
use crate::scenario::{Decay, Topic};

/// The metrics of a topic type or an account.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GroupMetrics {
    /// Its name.
    pub name: String,
    /// Notifications submitted for the first time.
    pub offered: u64,
    /// Notifications delivered before their TTL was over.
    pub delivered: u64,
    /// Notifications delivered within the latency objective.
    #[serde(rename = "in_objective")]
    pub within_objective: u64,
    /// Notifications never delivered whose last answer was that they are throttled.
    pub throttled: u64,
    /// Notifications never delivered that expired.
    pub expired: u64,
    /// Notifications never delivered that were withdrawn, or lost with a relay.
    #[serde(rename = "gone")]
    pub abandoned: u64,
    /// The benefit of delivering all of them in time.
    #[serde(rename = "asked")]
    pub requested_benefit: f64,
    /// The benefit of the deliveries.
    #[serde(rename = "benefit")]
    pub delivered_benefit: f64,
    /// Latencies of delivered notifications at the [`QUANTILES`], in milliseconds.
    pub latency_ms: Vec<f64>,
}

/// The quantiles at which latencies are reported.
pub const QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

/// Pushes by outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PushMetrics {
    /// All pushes.
    pub sent: u64,
    /// Calls that carried them.
    pub calls: u64,
    /// Delivered.
    pub delivered: u64,
    /// Answered with an error.
    pub error: u64,
    /// Rejected as busy.
    pub busy: u64,
    /// Without an answer in time.
    pub timed_out: u64,
    /// Without a connection.
    pub no_connection: u64,
    /// Ended by a broken connection.
    pub reset: u64,
    /// Cancelled by the relay.
    pub cancelled: u64,
    /// Never sent.
    pub skipped: u64,
    /// Executions of a notification that was already delivered or had expired.
    pub wasted: u64,
}

/// The metrics of one second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SecondMetrics {
    /// Notifications submitted for the first time.
    pub offered: u64,
    /// The benefit of delivering these in time.
    #[serde(rename = "asked")]
    pub requested_benefit: f64,
    /// The benefit of their delivery, at whatever time they were delivered.
    #[serde(rename = "benefit")]
    pub delivered_benefit: f64,
    /// Pushes sent.
    pub pushes: u64,
    /// Pushes rejected as busy.
    #[serde(rename = "refused")]
    pub rejected_pushes: u64,
    /// Calls in flight at its end.
    #[serde(rename = "out")]
    pub in_flight_calls: usize,
    /// Notifications pending at relays at its end.
    #[serde(rename = "held")]
    pub pending_notifications: usize,
}

/// The load and the capacity of a destination in each second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DestinationSeries {
    /// Index of the destination.
    pub destination: usize,
    /// Notifications that reached it.
    pub reached: Vec<f64>,
    /// Notifications that it delivered.
    pub delivered: Vec<f64>,
    /// Notifications that it could deliver; 0 in an outage.
    pub capacity: Vec<f64>,
}

/// The size of a fleet at the start; a list of three in JSON.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(into = "(usize, usize, usize)")]
pub struct FleetSize {
    /// The number of relays.
    pub relays: usize,
    /// The number of destinations.
    pub destinations: usize,
    /// The number of endpoints.
    pub endpoints: usize,
}

impl From<FleetSize> for (usize, usize, usize) {
    fn from(size: FleetSize) -> Self {
        (size.relays, size.destinations, size.endpoints)
    }
}

/// The worst window of a run; a list of two in JSON.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "(f64, usize)")]
pub struct WorstWindow {
    /// Delivered over requested benefit.
    pub served: f64,
    /// The second in which it begins.
    pub start_s: usize,
}

impl From<WorstWindow> for (f64, usize) {
    fn from(window: WorstWindow) -> Self {
        (window.served, window.start_s)
    }
}

/// The outcomes of recoveries of routes; a list of two in JSON.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct RouteRecoveries {
    /// Routes that recovered from an outage.
    pub recovered: usize,
    /// Routes that were overloaded during the warm-up.
    pub overloaded: usize,
}

impl From<RouteRecoveries> for (usize, usize) {
    fn from(recoveries: RouteRecoveries) -> Self {
        (recoveries.recovered, recoveries.overloaded)
    }
}

/// All metrics of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Metrics {
    /// The name of the scenario.
    pub scenario: String,
    /// The name of the policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The numbers of relays, destinations and endpoints at the start.
    pub size: FleetSize,
    /// Delivered over requested benefit.
    pub served: f64,
    /// The served fraction of the worst window of 10 s.
    pub worst_window: WorstWindow,
    /// The served fraction of the worst topic type.
    pub worst_topic: f64,
    /// The served fraction of the worst account.
    pub worst_account: f64,
    /// By topic type.
    pub topics: Vec<GroupMetrics>,
    /// By account.
    pub accounts: Vec<GroupMetrics>,
    /// Pushes by outcome.
    pub pushes: PushMetrics,
    /// Submissions rejected because the relay was at its maximum of pending notifications.
    #[serde(rename = "hold_full")]
    pub rejected_at_capacity: u64,
    /// Resubmissions of throttled notifications.
    #[serde(rename = "again")]
    pub resubmissions: u64,
    /// Connections that relays opened.
    pub connections: u64,
    /// Probes that relays requested.
    pub probes: u64,
    /// Requests for the endpoint list.
    pub list_requests: u64,
    /// The outcomes of recoveries of routes.
    #[serde(rename = "returns")]
    pub recoveries: RouteRecoveries,
    /// Invalid commands, such as a push to an endpoint of another destination.
    #[serde(rename = "faults")]
    pub invalid_commands: u64,
    /// Violations of rules.
    #[serde(rename = "broken")]
    pub violation_count: usize,
    /// Descriptions of the first violations.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// The metrics of each second.
    pub seconds: Vec<SecondMetrics>,
    /// A few destinations: those with faults, then the busiest.
    #[serde(rename = "watched")]
    pub destination_series: Vec<DestinationSeries>,
    /// Events that the simulation processed.
    pub events: u64,
    /// Turns of relays.
    pub turns: u64,
    /// Whether the run was stopped early because it exceeded the maximum of events for its size.
    #[serde(rename = "cut")]
    pub is_truncated: bool,
}

/// The benefit of a delivery `latency` after the submission, as a fraction of the full benefit.
pub fn benefit_fraction(topic: &Topic, latency: Span) -> f64 {
    let (latency_ms, objective_ms, ttl_ms) =
        (latency.as_secs_f64() * 1_000.0, topic.latency_target_ms, topic.ttl_ms);
    if latency_ms <= objective_ms {
        return 1.0;
    }
    if latency_ms > ttl_ms {
        return 0.0;
    }
    match topic.decay {
        Decay::Linear => {
            1.0 - (1.0 - topic.late_benefit_fraction) * (latency_ms - objective_ms)
                / (ttl_ms - objective_ms).max(1e-9)
        }
        Decay::Exponential => {
            0.5f64.powf((latency_ms - objective_ms) / objective_ms).max(topic.late_benefit_fraction)
        }
    }
}
