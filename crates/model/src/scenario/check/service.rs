//! The check of topic types, kinds of destination and accounts.

use super::{Checker, ScenarioError, check_bounds};
use crate::scenario::{Effect, Scenario};

/// A day.
const MAX_TTL_MS: f64 = 86_400_000.0;

impl Scenario {
    pub(super) fn check_topics(&self, errors: &mut Vec<ScenarioError>) {
        for (n, topic) in self.topic.iter().enumerate() {
            let mut checker = Checker::new(errors, format!("topic.{n}"));
            checker.unique_name("name", &topic.name, self.topic_names());
            check_bounds!(checker, topic, {
                share: 0.0..=1e9,
                work_ms: 0.001..=600_000.0,
                work_cv: 0.0..=20.0,
                try_cv: 0.0..=20.0,
                objective_ms: 1.0..=MAX_TTL_MS,
                ttl_ms: 1.0..=MAX_TTL_MS,
                benefit: 0.0..=1e9,
                late_share: 0.0..=1.0,
                window_ms: 0.0..=MAX_TTL_MS,
            });
            if topic.ttl_ms < topic.objective_ms {
                checker.error("ttl_ms", "the TTL is shorter than the latency objective");
            }
            let is_collapsible = matches!(topic.effect, Effect::Collapsible | Effect::CollapsibleInZone);
            if is_collapsible && topic.window_ms <= 0.0 {
                checker.error("window_ms", "a collapsible topic type needs a window above 0");
            }
            for (index, kind) in topic.kinds.iter().enumerate() {
                checker.defined_name(&format!("kinds.{index}"), kind, self.kind_names(), "kind");
            }
        }
    }

    pub(super) fn check_kinds(&self, errors: &mut Vec<ScenarioError>) {
        for (n, kind) in self.kind.iter().enumerate() {
            let mut checker = Checker::new(errors, format!("kind.{n}"));
            checker.unique_name("name", &kind.name, self.kind_names());
            check_bounds!(checker, kind, {
                share: 1e-9..=1e9,
                speed: 0.001..=1_000.0,
                spare: 0.01..=1e6,
                headroom: 0.01..=1e6,
                least_rate: 0.001..=1e6,
                depth_s: 0.001..=600.0,
                window_ms: 1.0..=600_000.0,
                tells_wait: 0.0..=1.0,
                report_ms: 1.0..=600_000.0,
                report_late_ms: 0.0..=600_000.0,
                report_noise: 0.0..=1.0,
                per_call: 1.0..=1_000.0,
                item_cost: 0.0..=100.0,
                queue: 0.0..=1e6,
                connections: 0.0..=1e6,
                least_connections: 0.0..=1e6,
                handshake_work_ms: 0.0..=60_000.0,
                error_rate: 0.0..=1.0,
            });
        }
    }

    pub(super) fn check_accounts(&self, errors: &mut Vec<ScenarioError>) {
        for (n, account) in self.account.iter().enumerate() {
            let mut checker = Checker::new(errors, format!("account.{n}"));
            checker.unique_name("name", &account.name, self.account_names());
            check_bounds!(checker, account, {
                share: 1e-9..=1e9,
                quota: 0.0..=1e9,
                over_share: 0.0..=1.0,
            });
        }
    }
}
