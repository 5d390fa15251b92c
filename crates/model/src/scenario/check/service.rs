//! The validation of topic types, kinds of destination and accounts.

use super::{Checker, ScenarioError, check_bounds};
use crate::scenario::{Scenario, Semantics};

/// A day.
const MAX_TTL_MS: f64 = 86_400_000.0;

impl Scenario {
    pub(super) fn check_topics(&self, errors: &mut Vec<ScenarioError>) {
        for (n, topic) in self.topics.iter().enumerate() {
            let mut checker = Checker::new(errors, format!("topic.{n}"));
            checker.unique_name("name", &topic.name, self.topic_names());
            check_bounds!(checker, topic, {
                "share" => traffic_weight: 0.0..=1e9,
                "work_ms" => mean_work_ms: 0.001..=600_000.0,
                "work_cv" => work_cv: 0.0..=20.0,
                "try_cv" => attempt_cv: 0.0..=20.0,
                "objective_ms" => latency_target_ms: 1.0..=MAX_TTL_MS,
                "ttl_ms" => ttl_ms: 1.0..=MAX_TTL_MS,
                "benefit" => benefit: 0.0..=1e9,
                "late_share" => late_benefit_fraction: 0.0..=1.0,
                "window_ms" => deduplication_window_ms: 0.0..=MAX_TTL_MS,
            });
            if topic.ttl_ms < topic.latency_target_ms {
                checker.error("ttl_ms", "the TTL is shorter than the latency objective");
            }
            let is_collapsible =
                matches!(topic.semantics, Semantics::Deduplicated | Semantics::DeduplicatedInZone);
            if is_collapsible && topic.deduplication_window_ms <= 0.0 {
                checker.error("window_ms", "a collapsible topic type needs a window above 0");
            }
            for (index, kind) in topic.kinds.iter().enumerate() {
                checker.defined_name(&format!("kinds.{index}"), kind, self.kind_names(), "kind");
            }
        }
    }

    pub(super) fn check_kinds(&self, errors: &mut Vec<ScenarioError>) {
        for (n, kind) in self.kinds.iter().enumerate() {
            let mut checker = Checker::new(errors, format!("kind.{n}"));
            checker.unique_name("name", &kind.name, self.kind_names());
            check_bounds!(checker, kind, {
                "share" => weight: 1e-9..=1e9,
                "speed" => speed: 0.001..=1_000.0,
                "spare" => capacity_headroom: 0.01..=1e6,
                "headroom" => limit_headroom: 0.01..=1e6,
                "least_rate" => min_limit_rate: 0.001..=1e6,
                "depth_s" => bucket_depth_s: 0.001..=600.0,
                "window_ms" => limit_window_ms: 1.0..=600_000.0,
                "tells_wait" => announced_wait_fraction: 0.0..=1.0,
                "report_ms" => report_interval_ms: 1.0..=600_000.0,
                "report_late_ms" => report_delay_ms: 0.0..=600_000.0,
                "report_noise" => report_noise: 0.0..=1.0,
                "per_call" => max_notifications_per_call: 1.0..=1_000.0,
                "item_cost" => item_cost: 0.0..=100.0,
                "queue" => queue_per_server: 0.0..=1e6,
                "connections" => connections_per_server: 0.0..=1e6,
                "least_connections" => min_connections: 0.0..=1e6,
                "handshake_work_ms" => handshake_work_ms: 0.0..=60_000.0,
                "error_rate" => error_rate: 0.0..=1.0,
            });
        }
    }

    pub(super) fn check_accounts(&self, errors: &mut Vec<ScenarioError>) {
        for (n, account) in self.accounts.iter().enumerate() {
            let mut checker = Checker::new(errors, format!("account.{n}"));
            checker.unique_name("name", &account.name, self.account_names());
            check_bounds!(checker, account, {
                "share" => weight: 1e-9..=1e9,
                "quota" => quota_fraction: 0.0..=1e9,
                "over_share" => over_quota_benefit_fraction: 0.0..=1.0,
            });
        }
    }
}
