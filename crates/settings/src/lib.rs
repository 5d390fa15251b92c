//! Reads the settings that a relay is started with into the core's types. Both fronts share it: the adapter
//! finds them in `Spawn`, the relay on sockets in its configuration. It holds no value of its own and decides
//! nothing.

use std::fmt;
use std::sync::Arc;

use juniperwing::interface::{
    Account, Allowance, Effect, Fleet, Group, Kind, LimitReport, RuleFigures, Terms, TopicType,
};
use juniperwing::time::Span;
use serde::Deserialize;

/// Settings as they are written. Unknown keys are passed over; absent ones are zero, empty or false.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Written {
    accounts: Vec<WrittenAccount>,
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
struct WrittenAccount {
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

impl Written {
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
    pub idle: Span,
    /// One that is not up by then never comes up; zero if it is not told.
    pub connect: Span,
    /// Whether two pushes of one notification may be out together.
    pub second_copies: bool,
}

/// Settings in the core's types.
#[derive(Debug, Default)]
pub struct Settings {
    /// What the core goes by.
    pub terms: Terms,
    /// Connections to endpoints.
    pub connections: Connections,
    topics: Vec<Arc<TopicType>>,
    kinds: Vec<Arc<Kind>>,
    accounts: Vec<Arc<Account>>,
    report_fields: Vec<String>,
    /// Where a load report has the share of the limit left, and the limit.
    report: [Option<usize>; 2],
}

impl Settings {
    /// The topic type of that name.
    pub fn topic(&self, name: &str) -> Option<Arc<TopicType>> {
        self.topics.iter().find(|topic| topic.name == name).cloned()
    }

    /// The longest time to live of all topic types.
    pub fn longest_ttl(&self) -> Span {
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
        if let Some(name) = topics.find(|name| self.topic(name).is_some() && other.topic(name).is_none()) {
            return Some(format!("settings.classes lacks {name:?}, of which notifications are held"));
        }
        let knows = |settings: &Settings, name: &str| settings.kinds.iter().any(|kind| kind.name == name);
        let gone = kinds.find(|name| knows(self, name) && !knows(other, name))?;
        Some(format!("settings.kinds lacks {gone:?}, of which endpoints are listed"))
    }

    /// The kind of that name, or one of which nothing more is told.
    pub fn kind(&self, name: &str) -> Arc<Kind> {
        let known = self.kinds.iter().find(|known| known.name == name).cloned();
        known.unwrap_or_else(|| Arc::new(plain(name)))
    }

    /// What a destination tells of its limit, from a load report in the order of the settings.
    pub fn limit(&self, stats: &[f64]) -> Option<LimitReport> {
        let [left, rate] = self.report;
        Some(LimitReport { left: *stats.get(left?)?, rate: *stats.get(rate?)? })
    }

    /// The same, from a load report whose values come with their names.
    pub fn named_limit(&self, value: impl Fn(&str) -> Option<f64>) -> Option<LimitReport> {
        let [left, rate] = self.report;
        let named = |place: Option<usize>| value(self.report_fields.get(place?)?);
        Some(LimitReport { left: named(left)?, rate: named(rate)? })
    }
}

/// What was read, for whoever wrote it.
impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Terms { fleet, allowance, figures } = &self.terms;
        let names = |names: Vec<&str>| names.join(", ");
        write!(f, "{} relays, the list ", fleet.relays)?;
        f.write_str(if fleet.list_pushed { "pushed" } else { "asked for" })?;
        f.write_str(if fleet.rates_listed { ", with rates" } else { ", with no rates to go by" })?;
        if let Some(home) = &fleet.home {
            write!(f, "; zone {home} first")?;
        }
        write!(f, "; {} slots, {} pushes, {} held", allowance.slots, allowance.pushes, allowance.held)?;
        write!(f, ", {} s to come back at the most", allowance.longest_retry.as_secs_f64())?;
        write!(f, ", connections idle for {} s", allowance.idle.as_secs_f64())?;
        write!(f, "; cold from {} for {} s", figures.cold_from, figures.cold.as_secs_f64())?;
        write!(f, ", falls above {} times for {} s", figures.fall_multiple, figures.tip_after.as_secs_f64())?;
        write!(f, "; topic types {}", names(self.topics.iter().map(|topic| topic.name.as_str()).collect()))?;
        write!(f, "; kinds {}", names(self.kinds.iter().map(|kind| kind.name.as_str()).collect()))
    }
}

impl From<&Written> for Settings {
    fn from(written: &Written) -> Settings {
        let (family, ceilings, rules) = (&written.family_info, &written.ceilings, &written.rules);
        let kinds = written.kinds.iter().enumerate().map(|(i, name)| Kind {
            separate_routes: family.separate_routes.get(i).copied().unwrap_or(false),
            per_call: family.per_call.get(i).copied().unwrap_or(1),
            ..plain(name)
        });
        let account = |a: &WrittenAccount| Account { name: a.name.clone(), quota: a.quota_per_s };
        let fields = &written.load_report.fields;
        let crossing = written.costs.cross_zone > 0.0 && !written.zone.is_empty();
        let terms = Terms {
            fleet: Fleet {
                relays: written.balancers,
                rates_listed: written.weight_source == "nominal",
                list_on_request: written.discovery == "subscribe",
                list_pushed: written.discovery != "subscribe",
                tick: Span::from_nanos(written.tick),
                home: crossing.then(|| Arc::from(written.zone.as_str())),
            },
            allowance: Allowance {
                slots: family.slots,
                pushes: ceilings.max_attempts,
                held: ceilings.most_held,
                longest_retry: Span::from_nanos(if ceilings.retry_after {
                    ceilings.max_retry_after
                } else {
                    0
                }),
                probes: ceilings.probes,
                cancel: ceilings.cancel,
                idle: Span::from_nanos(if ceilings.conn_idle > 0 { ceilings.conn_idle } else { u64::MAX }),
            },
            figures: RuleFigures {
                ask_every: Span::from_nanos(rules.ask_every),
                cold_from: rules.cold_from.unwrap_or_default(),
                cold: Span::from_nanos(rules.cold),
                fall_multiple: rules.fall_multiple.unwrap_or_default(),
                tip_after: Span::from_nanos(rules.tip_after),
                settle: Span::from_nanos(rules.settle_after_doubt),
            },
        };
        Settings {
            terms,
            connections: Connections {
                idle: Span::from_nanos(ceilings.conn_idle),
                connect: Span::from_nanos(ceilings.connect_timeout),
                second_copies: ceilings.second_copies,
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
        effect: match class.semantics.as_str() {
            "pure" => Effect::Repeatable,
            "token" => Effect::Collapsible {
                group: if class.dedup_scope == "zone" { Group::Zone } else { Group::All },
                window: Span::from_nanos(class.repeat_window),
            },
            _ => Effect::OnceOnly,
        },
        objective: Span::from_nanos(class.aim),
        ttl: Span::from_nanos(class.hard_limit),
        benefit: class.worth,
        late_share: class.late_value,
        ordered: class.fifo_by_key,
    }
}

/// A kind of which nothing more is told.
fn plain(name: &str) -> Kind {
    Kind { name: name.to_owned(), separate_routes: false, per_call: 1 }
}
