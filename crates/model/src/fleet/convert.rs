//! Topic types, kinds, accounts and rule parameters of a scenario in the types of the core.

use std::sync::Arc;

use juniperwing::interface::{self, DeduplicationScope, RuleParameters, TopicType};
use juniperwing::time::Span;

use super::{TopicPlan, span_ms};
use crate::scenario::{Account, Effect, Kind, Scenario, Topic};

pub(super) fn topics(scenario: &Scenario) -> Vec<TopicPlan> {
    scenario.topic.iter().map(topic).collect()
}

fn topic(plan: &Topic) -> TopicPlan {
    let topic = TopicType {
        name: plan.name.clone(),
        semantics: semantics(plan),
        latency_target: span_ms(plan.objective_ms),
        ttl: span_ms(plan.ttl_ms),
        benefit: plan.benefit,
        late_benefit_fraction: plan.late_share,
        is_ordered: plan.ordered,
    };
    TopicPlan {
        topic: Arc::new(topic),
        mean_work_s: plan.work_ms.least / 1_000.0,
        work_cv: plan.work_cv.least,
        work_distribution: plan.work_law,
        attempt_cv: plan.try_cv,
    }
}

fn semantics(plan: &Topic) -> interface::Semantics {
    let window = span_ms(plan.window_ms);
    match plan.effect {
        Effect::Repeatable => interface::Semantics::Idempotent,
        Effect::Collapsible => interface::Semantics::Deduplicated { scope: DeduplicationScope::All, window },
        Effect::CollapsibleInZone => {
            interface::Semantics::Deduplicated { scope: DeduplicationScope::Zone, window }
        }
        Effect::OnceOnly => interface::Semantics::NonIdempotent,
    }
}

pub(super) fn kinds(scenario: &Scenario) -> Vec<Arc<interface::DestinationKind>> {
    let kind = |plan: &Kind| {
        let (name, max_notifications_per_call) = (plan.name.clone(), plan.per_call);
        Arc::new(interface::DestinationKind {
            name,
            has_separate_routes: plan.apart,
            max_notifications_per_call,
        })
    };
    scenario.kind.iter().map(kind).collect()
}

pub(super) fn accounts(scenario: &Scenario) -> Vec<Arc<interface::Account>> {
    let total: f64 = scenario.account.iter().map(|account| account.share).sum();
    let account = |plan: &Account| {
        let quota_per_second = scenario.traffic.rate.least * plan.share / total * plan.quota;
        Arc::new(interface::Account { name: plan.name.clone(), quota_per_second })
    };
    scenario.account.iter().map(account).collect()
}

/// The parameters of the rules as relays are told them: of a range, the end that asks more of a relay.
pub(super) fn rule_parameters(scenario: &Scenario) -> RuleParameters {
    let rules = &scenario.rules;
    RuleParameters {
        list_refresh_interval: Span::from_secs_f64(rules.ask_every_s),
        warm_up_initial_fraction: rules.cold_from.least,
        warm_up_duration: Span::from_secs_f64(rules.cold_s.most),
        overload_factor: rules.fall_multiple,
        overload_duration: span_ms(rules.tip_after_ms),
        key_cooldown: span_ms(rules.settle_ms),
    }
}
