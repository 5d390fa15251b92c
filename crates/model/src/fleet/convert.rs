//! Topic types, kinds, accounts and rule figures of a scenario in the types of the core.

use std::sync::Arc;

use juniperwing::interface::{self, Group, RuleFigures, TopicType};
use juniperwing::time::Span;

use super::{TopicPlan, span_ms};
use crate::scenario::{Account, Effect, Kind, Scenario, Topic};

pub(super) fn topics(scenario: &Scenario) -> Vec<TopicPlan> {
    scenario.topic.iter().map(topic).collect()
}

fn topic(plan: &Topic) -> TopicPlan {
    let topic = TopicType {
        name: plan.name.clone(),
        effect: effect(plan),
        objective: span_ms(plan.objective_ms),
        ttl: span_ms(plan.ttl_ms),
        benefit: plan.benefit,
        late_share: plan.late_share,
        ordered: plan.ordered,
    };
    TopicPlan {
        topic: Arc::new(topic),
        mean_work_s: plan.work_ms.least / 1_000.0,
        work_cv: plan.work_cv.least,
        work_distribution: plan.work_law,
        attempt_cv: plan.try_cv,
    }
}

fn effect(plan: &Topic) -> interface::Effect {
    let window = span_ms(plan.window_ms);
    match plan.effect {
        Effect::Repeatable => interface::Effect::Repeatable,
        Effect::Collapsible => interface::Effect::Collapsible { group: Group::All, window },
        Effect::CollapsibleInZone => interface::Effect::Collapsible { group: Group::Zone, window },
        Effect::OnceOnly => interface::Effect::OnceOnly,
    }
}

pub(super) fn kinds(scenario: &Scenario) -> Vec<Arc<interface::Kind>> {
    let kind = |plan: &Kind| {
        let (name, per_call) = (plan.name.clone(), plan.per_call);
        Arc::new(interface::Kind { name, separate_routes: plan.apart, per_call })
    };
    scenario.kind.iter().map(kind).collect()
}

pub(super) fn accounts(scenario: &Scenario) -> Vec<Arc<interface::Account>> {
    let total: f64 = scenario.account.iter().map(|account| account.share).sum();
    let account = |plan: &Account| {
        let quota = scenario.traffic.rate.least * plan.share / total * plan.quota;
        Arc::new(interface::Account { name: plan.name.clone(), quota })
    };
    scenario.account.iter().map(account).collect()
}

/// The figures of the rules as relays are told them: of a range, the end that asks more of a relay.
pub(super) fn rule_figures(scenario: &Scenario) -> RuleFigures {
    let rules = &scenario.rules;
    RuleFigures {
        ask_every: Span::from_secs_f64(rules.ask_every_s),
        cold_from: rules.cold_from.least,
        cold: Span::from_secs_f64(rules.cold_s.most),
        fall_multiple: rules.fall_multiple,
        tip_after: span_ms(rules.tip_after_ms),
        settle: span_ms(rules.settle_ms),
    }
}
