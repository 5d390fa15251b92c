//! Conversion of topic types, kinds, accounts and rule parameters of a scenario to the types of the core.

use std::sync::Arc;

use juniperwing::interface::{self, DeduplicationScope, RuleParameters, TopicType};
use juniperwing::time::Span;

use super::{TopicPlan, span_ms};
use crate::scenario::{Account, Kind, Scenario, Semantics, Topic};

pub(super) fn topics(scenario: &Scenario) -> Vec<TopicPlan> {
    scenario.topics.iter().map(topic).collect()
}

fn topic(plan: &Topic) -> TopicPlan {
    let topic = TopicType {
        name: plan.name.clone(),
        semantics: semantics(plan),
        latency_target: span_ms(plan.latency_target_ms),
        ttl: span_ms(plan.ttl_ms),
        benefit: plan.benefit,
        late_benefit_fraction: plan.late_benefit_fraction,
        is_ordered: plan.is_ordered,
    };
    TopicPlan {
        topic: Arc::new(topic),
        mean_work_s: plan.mean_work_ms.min / 1_000.0,
        work_cv: plan.work_cv.min,
        work_distribution: plan.work_distribution,
        attempt_cv: plan.attempt_cv,
    }
}

fn semantics(plan: &Topic) -> interface::Semantics {
    let window = span_ms(plan.deduplication_window_ms);
    match plan.semantics {
        Semantics::Idempotent => interface::Semantics::Idempotent,
        Semantics::Deduplicated => {
            interface::Semantics::Deduplicated { scope: DeduplicationScope::All, window }
        }
        Semantics::DeduplicatedInZone => {
            interface::Semantics::Deduplicated { scope: DeduplicationScope::Zone, window }
        }
        Semantics::NonIdempotent => interface::Semantics::NonIdempotent,
    }
}

pub(super) fn kinds(scenario: &Scenario) -> Vec<Arc<interface::DestinationKind>> {
    let kind = |plan: &Kind| {
        let (name, max_notifications_per_call) = (plan.name.clone(), plan.max_notifications_per_call);
        Arc::new(interface::DestinationKind {
            name,
            has_separate_routes: plan.has_separate_routes,
            max_notifications_per_call,
        })
    };
    scenario.kinds.iter().map(kind).collect()
}

pub(super) fn accounts(scenario: &Scenario) -> Vec<Arc<interface::Account>> {
    let total: f64 = scenario.accounts.iter().map(|account| account.weight).sum();
    let account = |plan: &Account| {
        let quota_per_second = scenario.traffic.rate.min * plan.weight / total * plan.quota_fraction;
        Arc::new(interface::Account { name: plan.name.clone(), quota_per_second })
    };
    scenario.accounts.iter().map(account).collect()
}

/// The parameters of the rules in the configuration of relays. Where the scenario has a range, relays are given its
/// stricter end.
pub(super) fn rule_parameters(scenario: &Scenario) -> RuleParameters {
    let rules = &scenario.rules;
    RuleParameters {
        list_refresh_interval: Span::from_secs_f64(rules.list_refresh_interval_s),
        warm_up_initial_fraction: rules.warm_up_initial_fraction.min,
        warm_up_duration: Span::from_secs_f64(rules.warm_up_duration_s.max),
        overload_factor: rules.overload_factor,
        overload_duration: span_ms(rules.overload_duration_ms),
        key_cooldown: span_ms(rules.key_cooldown_ms),
    }
}
