//! The serialised form of settings. Keys are part of the documented format, so fields are renamed by attributes;
//! `expecting` keeps the type names in error messages stable.

use serde::Deserialize;

/// The settings of a relay. Unknown keys are ignored; absent ones are zero, empty or false. Times are in nanoseconds.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Written")]
pub struct RawSettings {
    pub(crate) accounts: Vec<RawAccount>,
    #[serde(rename = "balancers")]
    pub(crate) relay_count: usize,
    #[serde(rename = "ceilings")]
    pub(crate) limits: RawLimits,
    #[serde(rename = "classes")]
    pub(crate) topic_types: Vec<RawTopicType>,
    pub(crate) costs: RawCosts,
    pub(crate) discovery: String,
    #[serde(rename = "family-info")]
    pub(crate) kind_info: RawKindInfo,
    pub(crate) kinds: Vec<String>,
    pub(crate) load_report: RawLoadReport,
    pub(crate) rules: RawRules,
    #[serde(rename = "tick")]
    pub(crate) tick_ns: u64,
    #[serde(rename = "weight-source")]
    pub(crate) rate_source: String,
    pub(crate) zone: String,
}

/// Costs.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Costs")]
pub(crate) struct RawCosts {
    pub(crate) cross_zone: f64,
}

/// An account.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default, expecting = "struct WrittenAccount")]
pub(crate) struct RawAccount {
    pub(crate) name: String,
    #[serde(rename = "quota-per-s")]
    pub(crate) quota_per_second: f64,
}

/// Resource limits and permitted operations.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Ceilings")]
pub(crate) struct RawLimits {
    #[serde(rename = "max-attempts")]
    pub(crate) max_pushes: u32,
    #[serde(rename = "max-retry-after")]
    pub(crate) max_retry_after_ns: u64,
    #[serde(rename = "retry-after")]
    pub(crate) can_set_retry_after: bool,
    #[serde(rename = "probes")]
    pub(crate) can_probe: bool,
    #[serde(rename = "cancel")]
    pub(crate) can_cancel: bool,
    #[serde(rename = "second-copies")]
    pub(crate) is_hedging_allowed: bool,
    #[serde(rename = "most-held")]
    pub(crate) max_pending: usize,
    #[serde(rename = "conn-idle")]
    pub(crate) idle_timeout_ns: u64,
    #[serde(rename = "connect-timeout")]
    pub(crate) connect_timeout_ns: u64,
}

/// A topic type.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Class")]
pub(crate) struct RawTopicType {
    pub(crate) name: String,
    #[serde(rename = "aim")]
    pub(crate) latency_target_ns: u64,
    #[serde(rename = "hard-limit")]
    pub(crate) ttl_ns: u64,
    #[serde(rename = "worth")]
    pub(crate) benefit: f64,
    #[serde(rename = "late-value")]
    pub(crate) late_benefit_fraction: f64,
    pub(crate) semantics: String,
    #[serde(rename = "dedup-scope")]
    pub(crate) deduplication_scope: String,
    #[serde(rename = "repeat-window")]
    pub(crate) deduplication_window_ns: u64,
    #[serde(rename = "fifo-by-key")]
    pub(crate) is_ordered: bool,
}

/// Properties of the kinds of destinations, in the order of [`RawSettings::kinds`], and the number of slots.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default, expecting = "struct FamilyInfo")]
pub(crate) struct RawKindInfo {
    #[serde(rename = "per-call")]
    pub(crate) max_notifications_per_call: Vec<usize>,
    #[serde(rename = "separate-routes")]
    pub(crate) has_separate_routes: Vec<bool>,
    pub(crate) slots: usize,
}

/// Parameters of the push rules.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default, expecting = "struct Rules")]
pub(crate) struct RawRules {
    #[serde(rename = "ask-every")]
    pub(crate) list_refresh_interval_ns: u64,
    #[serde(rename = "cold-from")]
    pub(crate) warm_up_initial_fraction: Option<f64>,
    #[serde(rename = "cold")]
    pub(crate) warm_up_duration_ns: u64,
    #[serde(rename = "fall-multiple")]
    pub(crate) overload_factor: Option<f64>,
    #[serde(rename = "tip-after")]
    pub(crate) overload_duration_ns: u64,
    #[serde(rename = "settle-after-doubt")]
    pub(crate) key_cooldown_ns: u64,
}

/// The layout of a load report: its fields, in order.
#[derive(Deserialize, Default)]
#[serde(default, expecting = "struct LoadReport")]
pub(crate) struct RawLoadReport {
    pub(crate) fields: Vec<String>,
}

/// The values of a topic type's semantics.
pub(crate) mod semantics {
    pub(crate) const IDEMPOTENT: &str = "pure";
    pub(crate) const DEDUPLICATED: &str = "token";
    pub(crate) const NON_IDEMPOTENT: &str = "side_effect";
}

/// The values of a deduplication scope, which may also be empty.
pub(crate) mod deduplication_scope {
    pub(crate) const ALL: &str = "all";
    pub(crate) const ZONE: &str = "zone";
}
