//! Conversion of settings from their serialised form to the core's types.

use std::sync::Arc;

use juniperwing::interface::{
    Account, DeduplicationScope, DestinationKind, Fleet, RelayConfig, RelayLimits, RuleParameters, Semantics,
    TopicType,
};
use juniperwing::time::Span;

use crate::raw::{
    RawAccount, RawLimits, RawRules, RawSettings, RawTopicType, deduplication_scope, semantics,
};
use crate::settings::{ConnectionSettings, LoadReportLayout, Settings, default_kind};

/// The value of `discovery` if the list is sent to subscribers only.
const DISCOVERY_BY_SUBSCRIPTION: &str = "subscribe";
/// The value of `weight-source` if listed rates are enforced limits.
const ENFORCED_RATES: &str = "nominal";
/// The fields of a load report for the rate limit: its remaining fraction, and the limit itself.
const REMAINING_FRACTION_FIELD: &str = "x0";
const RATE_FIELD: &str = "x1";

impl From<&RawSettings> for Settings {
    fn from(raw: &RawSettings) -> Settings {
        Settings {
            relay_config: RelayConfig {
                fleet: fleet(raw),
                limits: limits(&raw.limits, raw.kind_info.slots),
                rules: rules(&raw.rules),
            },
            connections: ConnectionSettings {
                idle_timeout: Span::from_nanos(raw.limits.idle_timeout_ns),
                connect_timeout: Span::from_nanos(raw.limits.connect_timeout_ns),
                is_hedging_allowed: raw.limits.is_hedging_allowed,
            },
            topic_types: raw.topic_types.iter().map(|raw| Arc::new(topic_type(raw))).collect(),
            kinds: raw
                .kinds
                .iter()
                .enumerate()
                .map(|(index, name)| Arc::new(kind(raw, index, name)))
                .collect(),
            accounts: raw.accounts.iter().map(|raw| Arc::new(account(raw))).collect(),
            load_report: load_report(&raw.load_report.fields),
        }
    }
}

fn fleet(raw: &RawSettings) -> Fleet {
    let has_cross_zone_cost = raw.costs.cross_zone > 0.0 && !raw.zone.is_empty();
    Fleet {
        relay_count: raw.relay_count,
        has_listed_rates: raw.rate_source == ENFORCED_RATES,
        is_list_on_request: raw.discovery == DISCOVERY_BY_SUBSCRIPTION,
        is_list_pushed: raw.discovery != DISCOVERY_BY_SUBSCRIPTION,
        tick: Span::from_nanos(raw.tick_ns),
        home_zone: has_cross_zone_cost.then(|| Arc::from(raw.zone.as_str())),
    }
}

fn limits(raw: &RawLimits, slots: usize) -> RelayLimits {
    RelayLimits {
        slots,
        max_pushes: raw.max_pushes,
        max_pending: raw.max_pending,
        max_retry_after: Span::from_nanos(if raw.can_set_retry_after { raw.max_retry_after_ns } else { 0 }),
        can_probe: raw.can_probe,
        can_cancel: raw.can_cancel,
        idle_timeout: Span::from_nanos(if raw.idle_timeout_ns > 0 { raw.idle_timeout_ns } else { u64::MAX }),
    }
}

fn rules(raw: &RawRules) -> RuleParameters {
    RuleParameters {
        list_refresh_interval: Span::from_nanos(raw.list_refresh_interval_ns),
        warm_up_initial_fraction: raw.warm_up_initial_fraction.unwrap_or_default(),
        warm_up_duration: Span::from_nanos(raw.warm_up_duration_ns),
        overload_factor: raw.overload_factor.unwrap_or_default(),
        overload_duration: Span::from_nanos(raw.overload_duration_ns),
        key_cooldown: Span::from_nanos(raw.key_cooldown_ns),
    }
}

fn topic_type(raw: &RawTopicType) -> TopicType {
    TopicType {
        name: raw.name.clone(),
        semantics: semantics_of(raw),
        latency_target: Span::from_nanos(raw.latency_target_ns),
        ttl: Span::from_nanos(raw.ttl_ns),
        benefit: raw.benefit,
        late_benefit_fraction: raw.late_benefit_fraction,
        is_ordered: raw.is_ordered,
    }
}

/// The semantics of a topic type. Unknown values are treated as non-idempotent, the strictest semantics.
fn semantics_of(raw: &RawTopicType) -> Semantics {
    match raw.semantics.as_str() {
        semantics::IDEMPOTENT => Semantics::Idempotent,
        semantics::DEDUPLICATED => Semantics::Deduplicated {
            scope: if raw.deduplication_scope == deduplication_scope::ZONE {
                DeduplicationScope::Zone
            } else {
                DeduplicationScope::All
            },
            window: Span::from_nanos(raw.deduplication_window_ns),
        },
        _ => Semantics::NonIdempotent,
    }
}

fn kind(raw: &RawSettings, index: usize, name: &str) -> DestinationKind {
    DestinationKind {
        has_separate_routes: raw.kind_info.has_separate_routes.get(index).copied().unwrap_or(false),
        max_notifications_per_call: raw.kind_info.max_notifications_per_call.get(index).copied().unwrap_or(1),
        ..default_kind(name)
    }
}

fn account(raw: &RawAccount) -> Account {
    Account { name: raw.name.clone(), quota_per_second: raw.quota_per_second }
}

fn load_report(fields: &[String]) -> LoadReportLayout {
    let index_of = |name: &str| fields.iter().position(|field| field == name);
    LoadReportLayout {
        fields: fields.to_vec(),
        remaining_fraction: index_of(REMAINING_FRACTION_FIELD),
        rate_per_second: index_of(RATE_FIELD),
    }
}
