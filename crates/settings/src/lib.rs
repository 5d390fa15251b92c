//! Reads the settings that a relay is started with into the core's types. Both fronts share it: the adapter
//! finds them in `Spawn`, the relay on sockets in its configuration. It holds no value of its own and decides
//! nothing.

use std::fmt;
use std::sync::Arc;

use juniperwing::interface::{
    Account, DeduplicationScope, DestinationKind, Fleet, RateLimitReport, RelayConfig, RelayLimits,
    RuleParameters, Semantics, TopicType,
};
use juniperwing::time::Span;
use serde::Deserialize;

/// Settings as they are written. Unknown keys are passed over; absent ones are zero, empty or false.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct RawSettings {
    accounts: Vec<RawAccount>,
    balancers: usize,
    ceilings: Ceilings,
    classes: Vec<Class>,
    costs: Costs,
    discovery: String,
    family_info: FamilyInfo,
    kinds: Vec<String>,
    load_report: LoadReport,
    rules: Rules,
    tick: u64,
    weight_source: String,
    zone: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Costs {
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawAccount {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Ceilings {
    max_attempts: u32,
    max_retry_after: u64,
    retry_after: bool,
    probes: bool,
    cancel: bool,
    second_copies: bool,
    most_held: usize,
    conn_idle: u64,
    connect_timeout: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Class {
    name: String,
    aim: u64,
    hard_limit: u64,
    worth: f64,
    late_value: f64,
    semantics: String,
    dedup_scope: String,
    repeat_window: u64,
    fifo_by_key: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct FamilyInfo {
    per_call: Vec<usize>,
    separate_routes: Vec<bool>,
    slots: usize,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Rules {
    ask_every: u64,
    cold_from: Option<f64>,
    cold: u64,
    fall_multiple: Option<f64>,
    tip_after: u64,
    settle_after_doubt: u64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LoadReport {
    fields: Vec<String>,
}

impl RawSettings {
    /// Whether a relay can go by these settings; if not, the key at fault and what is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        let (rules, share) = (&self.rules, 0.0..=1.0);
        let fault = |key: String, why: &str| Err(format!("settings.{key} {why}"));
        if self.family_info.slots == 0 {
            return fault("family-info.slots".into(), "must be above 0");
        }
        if self.ceilings.max_attempts == 0 {
            return fault("ceilings.max-attempts".into(), "must be above 0");
        }
        if self.classes.is_empty() {
            return fault("classes".into(), "is empty, so no notification could be taken on");
        }
        if rules.fall_multiple.is_some_and(|multiple| !(multiple >= 1.0 && multiple.is_finite())) {
            return fault("rules.fall-multiple".into(), "must be 1 or more");
        }
        if rules.cold_from.is_some_and(|from| from <= 0.0 || !share.contains(&from)) {
            return fault("rules.cold-from".into(), "must be a share above 0, 1 at the most");
        }
        if self.costs.cross_zone < 0.0 || !self.costs.cross_zone.is_finite() {
            return fault("costs.cross-zone".into(), "must not be negative");
        }
        for (i, class) in self.classes.iter().enumerate() {
            if !matches!(class.semantics.as_str(), "pure" | "token" | "side_effect") {
                return fault(format!("classes[{i}].semantics"), "is no effect that is known");
            }
            if class.semantics == "token" && !matches!(class.dedup_scope.as_str(), "" | "all" | "zone") {
                return fault(format!("classes[{i}].dedup-scope"), "is no group that is known");
            }
            if !share.contains(&class.late_value) {
                return fault(format!("classes[{i}].late-value"), "must be a share from 0 to 1");
            }
            if class.name.is_empty() || self.classes[..i].iter().any(|other| other.name == class.name) {
                return fault(format!("classes[{i}].name"), "is empty or names another topic type");
            }
        }
        let doubled = |(i, name): (usize, &String)| self.kinds[..i].contains(name).then_some(i);
        match self.kinds.iter().enumerate().find_map(doubled) {
            Some(i) => fault(format!("kinds[{i}]"), "names another kind"),
            None => Ok(()),
        }
    }
}

/// What connections to endpoints may do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    /// An idle one is closed by its endpoint after this long; zero if it is not told.
    pub idle_timeout: Span,
    /// One that is not up by then never comes up; zero if it is not told.
    pub connect_timeout: Span,
    /// Whether two pushes of one notification may be out together.
    pub is_hedging_allowed: bool,
}

/// Settings in the core's types.
#[derive(Debug, Default)]
pub struct Settings {
    /// What the core goes by.
    pub relay_config: RelayConfig,
    /// Connections to endpoints.
    pub connections: Connections,
    topics: Vec<Arc<TopicType>>,
    kinds: Vec<Arc<DestinationKind>>,
    accounts: Vec<Arc<Account>>,
    report_fields: Vec<String>,
    /// Where a load report has the share of the limit left, and the limit.
    report: [Option<usize>; 2],
}

impl Settings {
    /// The topic type of that name.
    pub fn topic_type(&self, name: &str) -> Option<Arc<TopicType>> {
        self.topics.iter().find(|topic| topic.name == name).cloned()
    }

    /// The longest time to live of all topic types.
    pub fn max_ttl(&self) -> Span {
        self.topics.iter().map(|topic| topic.ttl).max().unwrap_or_default()
    }

    /// The account of that name.
    pub fn account(&self, name: &str) -> Option<Arc<Account>> {
        self.accounts.iter().find(|account| account.name == name).cloned()
    }

    /// What stands against going over to other settings, while notifications of these topic types are held and
    /// endpoints of these kinds listed: the key, and why.
    pub fn bars<'a>(
        &self, other: &Settings, mut topics: impl Iterator<Item = &'a str>,
        mut kinds: impl Iterator<Item = &'a str>,
    ) -> Option<String> {
        if let Some(name) =
            topics.find(|name| self.topic_type(name).is_some() && other.topic_type(name).is_none())
        {
            return Some(format!("settings.classes lacks {name:?}, of which notifications are held"));
        }
        let knows = |settings: &Settings, name: &str| settings.kinds.iter().any(|kind| kind.name == name);
        let gone = kinds.find(|name| knows(self, name) && !knows(other, name))?;
        Some(format!("settings.kinds lacks {gone:?}, of which endpoints are listed"))
    }

    /// The kind of that name, or one of which nothing more is told.
    pub fn kind(&self, name: &str) -> Arc<DestinationKind> {
        let known = self.kinds.iter().find(|known| known.name == name).cloned();
        known.unwrap_or_else(|| Arc::new(plain(name)))
    }

    /// What a destination tells of its limit, from a load report in the order of the settings.
    pub fn rate_limit(&self, stats: &[f64]) -> Option<RateLimitReport> {
        let [left, rate] = self.report;
        Some(RateLimitReport { remaining_fraction: *stats.get(left?)?, rate_per_second: *stats.get(rate?)? })
    }

    /// The same, from a load report whose values come with their names.
    pub fn rate_limit_by_name(&self, value: impl Fn(&str) -> Option<f64>) -> Option<RateLimitReport> {
        let [left, rate] = self.report;
        let named = |place: Option<usize>| value(self.report_fields.get(place?)?);
        Some(RateLimitReport { remaining_fraction: named(left)?, rate_per_second: named(rate)? })
    }
}

/// What was read, for whoever wrote it.
impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RelayConfig { fleet, limits, rules } = &self.relay_config;
        let names = |names: Vec<&str>| names.join(", ");
        write!(f, "{} relays, the list ", fleet.relay_count)?;
        f.write_str(if fleet.is_list_pushed { "pushed" } else { "asked for" })?;
        f.write_str(if fleet.has_listed_rates { ", with rates" } else { ", with no rates to go by" })?;
        if let Some(home) = &fleet.home_zone {
            write!(f, "; zone {home} first")?;
        }
        write!(f, "; {} slots, {} pushes, {} held", limits.slots, limits.max_pushes, limits.max_pending)?;
        write!(f, ", {} s to come back at the most", limits.max_retry_after.as_secs_f64())?;
        write!(f, ", connections idle for {} s", limits.idle_timeout.as_secs_f64())?;
        write!(
            f,
            "; cold from {} for {} s",
            rules.warm_up_initial_fraction,
            rules.warm_up_duration.as_secs_f64()
        )?;
        write!(
            f,
            ", falls above {} times for {} s",
            rules.overload_factor,
            rules.overload_duration.as_secs_f64()
        )?;
        write!(f, "; topic types {}", names(self.topics.iter().map(|topic| topic.name.as_str()).collect()))?;
        write!(f, "; kinds {}", names(self.kinds.iter().map(|kind| kind.name.as_str()).collect()))
    }
}

impl From<&RawSettings> for Settings {
    fn from(written: &RawSettings) -> Settings {
        let (family, ceilings, rules) = (&written.family_info, &written.ceilings, &written.rules);
        let kinds = written.kinds.iter().enumerate().map(|(i, name)| DestinationKind {
            has_separate_routes: family.separate_routes.get(i).copied().unwrap_or(false),
            max_notifications_per_call: family.per_call.get(i).copied().unwrap_or(1),
            ..plain(name)
        });
        let account = |a: &RawAccount| Account { name: a.name.clone(), quota_per_second: a.quota_per_s };
        let fields = &written.load_report.fields;
        let crossing = written.costs.cross_zone > 0.0 && !written.zone.is_empty();
        let terms = RelayConfig {
            fleet: Fleet {
                relay_count: written.balancers,
                has_listed_rates: written.weight_source == "nominal",
                is_list_on_request: written.discovery == "subscribe",
                is_list_pushed: written.discovery != "subscribe",
                tick: Span::from_nanos(written.tick),
                home_zone: crossing.then(|| Arc::from(written.zone.as_str())),
            },
            limits: RelayLimits {
                slots: family.slots,
                max_pushes: ceilings.max_attempts,
                max_pending: ceilings.most_held,
                max_retry_after: Span::from_nanos(if ceilings.retry_after {
                    ceilings.max_retry_after
                } else {
                    0
                }),
                can_probe: ceilings.probes,
                can_cancel: ceilings.cancel,
                idle_timeout: Span::from_nanos(if ceilings.conn_idle > 0 {
                    ceilings.conn_idle
                } else {
                    u64::MAX
                }),
            },
            rules: RuleParameters {
                list_refresh_interval: Span::from_nanos(rules.ask_every),
                warm_up_initial_fraction: rules.cold_from.unwrap_or_default(),
                warm_up_duration: Span::from_nanos(rules.cold),
                overload_factor: rules.fall_multiple.unwrap_or_default(),
                overload_duration: Span::from_nanos(rules.tip_after),
                key_cooldown: Span::from_nanos(rules.settle_after_doubt),
            },
        };
        Settings {
            relay_config: terms,
            connections: Connections {
                idle_timeout: Span::from_nanos(ceilings.conn_idle),
                connect_timeout: Span::from_nanos(ceilings.connect_timeout),
                is_hedging_allowed: ceilings.second_copies,
            },
            topics: written.classes.iter().map(|class| Arc::new(topic(class))).collect(),
            kinds: kinds.map(Arc::new).collect(),
            accounts: written.accounts.iter().map(account).map(Arc::new).collect(),
            report: ["x0", "x1"].map(|name| fields.iter().position(|field| field == name)),
            report_fields: fields.clone(),
        }
    }
}

fn topic(class: &Class) -> TopicType {
    TopicType {
        name: class.name.clone(),
        semantics: match class.semantics.as_str() {
            "pure" => Semantics::Idempotent,
            "token" => Semantics::Deduplicated {
                scope: if class.dedup_scope == "zone" {
                    DeduplicationScope::Zone
                } else {
                    DeduplicationScope::All
                },
                window: Span::from_nanos(class.repeat_window),
            },
            _ => Semantics::NonIdempotent,
        },
        latency_target: Span::from_nanos(class.aim),
        ttl: Span::from_nanos(class.hard_limit),
        benefit: class.worth,
        late_benefit_fraction: class.late_value,
        is_ordered: class.fifo_by_key,
    }
}

/// A kind of which nothing more is told.
fn plain(name: &str) -> DestinationKind {
    DestinationKind { name: name.to_owned(), has_separate_routes: false, max_notifications_per_call: 1 }
}
