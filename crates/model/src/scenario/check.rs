//! The check of a scenario: all that is wrong with it, each with its place.

use super::{Effect, FaultKind, Range, Scenario};

/// A fault in a scenario: where, as keys and places joined by dots, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// Such as `trouble.2.zone`.
    pub at: String,
    /// A plain reason.
    pub why: String,
}

/// Sizes that no run here could finish; a typing error rather than a wish.
const MOST_RELAYS: f64 = 20_000.0;
const MOST_DESTINATIONS: f64 = 100_000.0;
const MOST_RATE: f64 = 1e6;
const MOST_SPAN_S: f64 = 86_400.0;

/// Notes what is wrong in a part of a scenario.
struct Checker<'a> {
    faults: &'a mut Vec<ScenarioError>,
    at: String,
}

impl Checker<'_> {
    fn fault(&mut self, key: &str, why: impl Into<String>) {
        let at = if self.at.is_empty() { key.to_owned() } else { format!("{}.{key}", self.at) };
        self.faults.push(ScenarioError { at, why: why.into() });
    }

    /// Within bounds, and the right way round.
    fn range(&mut self, key: &str, range: Range, least: f64, most: f64) {
        if range.least > range.most {
            self.fault(key, format!("the range is upside down: {} is above {}", range.least, range.most));
        } else if !(least..=most).contains(&range.least) || !(least..=most).contains(&range.most) {
            self.fault(key, format!("must be from {least} to {most}"));
        }
    }

    fn number(&mut self, key: &str, value: f64, least: f64, most: f64) {
        self.range(key, Range::from(value), least, most);
    }

    fn known<'n>(&mut self, key: &str, name: &str, mut names: impl Iterator<Item = &'n str>, what: &str) {
        if !names.any(|known| known == name) {
            self.fault(key, format!("there is no {what} {name:?}"));
        }
    }

    fn apart<'n>(&mut self, key: &str, name: &str, names: impl Iterator<Item = &'n str>) {
        if name.is_empty() {
            self.fault(key, "must not be empty");
        } else if names.filter(|known| *known == name).count() > 1 {
            self.fault(key, format!("{name:?} is named twice"));
        }
    }
}

impl Scenario {
    /// All that is wrong with it; nothing if it can be run.
    pub fn check(&self) -> Vec<ScenarioError> {
        let mut faults = Vec::new();
        let mut top = Checker { faults: &mut faults, at: String::new() };
        top.range("span_s", self.span_s, 0.0, MOST_SPAN_S);
        if self.zones.is_empty() {
            top.fault("zones", "there must be one at least");
        }
        for (n, zone) in self.zones.iter().enumerate() {
            top.apart(&format!("zones.{n}"), zone, self.zones.iter().map(String::as_str));
        }
        for (key, empty) in [("topic", self.topic.is_empty()), ("kind", self.kind.is_empty())] {
            if empty {
                top.fault(key, "there must be one at least");
            }
        }
        self.check_plans(&mut faults);
        self.check_topics(&mut faults);
        self.check_kinds(&mut faults);
        for (n, account) in self.account.iter().enumerate() {
            let mut part = Checker { faults: &mut faults, at: format!("account.{n}") };
            part.apart("name", &account.name, self.account.iter().map(|a| a.name.as_str()));
            part.number("share", account.share, 1e-9, 1e9);
            part.number("quota", account.quota, 0.0, 1e9);
            part.number("over_share", account.over_share, 0.0, 1.0);
        }
        self.check_troubles(&mut faults);
        faults
    }

    fn check_plans(&self, faults: &mut Vec<ScenarioError>) {
        let mut part = Checker { faults, at: "relays".to_owned() };
        let relays = &self.relays;
        part.range("count", relays.count, 1.0, MOST_RELAYS);
        part.range("zipf", relays.zipf, 0.0, 5.0);
        part.range("slots_room", relays.slots_room, 0.01, 1e6);
        part.number("least_slots", relays.least_slots, 1.0, 1e6);
        part.range("hold_s", relays.hold_s, 0.0, 1e6);
        part.number("least_held", relays.least_held, 1.0, 1e9);
        part.number("tick_ms", relays.tick_ms, 0.0, 10_000.0);
        part.number("pushes", f64::from(relays.pushes), 1.0, 1_000.0);
        part.range("notice_ms", relays.notice_ms, 0.0, 60_000.0);
        let mut part = Checker { faults, at: "traffic".to_owned() };
        let traffic = &self.traffic;
        part.range("rate", traffic.rate, 0.0, MOST_RATE);
        part.range("load", traffic.load, 0.0, 100.0);
        part.range("swing", traffic.swing, 0.0, 1.0);
        part.range("swing_s", traffic.swing_s, 0.1, MOST_SPAN_S);
        part.range("clumps", traffic.clumps, 0.0, 1.0);
        part.range("clump_s", traffic.clump_s, 0.0, 1_000.0);
        part.range("keys", traffic.keys, 1.0, 1e6);
        part.range("key_life_s", traffic.key_life_s, 0.1, MOST_SPAN_S);
        let mut part = Checker { faults, at: "destinations".to_owned() };
        part.range("count", self.destinations.count, 1.0, MOST_DESTINATIONS);
        if (self.kind.len() as f64) > self.destinations.count.least {
            part.fault("count", "there must be a destination of each kind at least");
        }
        part.range("endpoints", self.destinations.endpoints, 1.0, 100.0);
        part.range("zipf", self.destinations.zipf, 0.0, 5.0);
        let mut part = Checker { faults, at: "network".to_owned() };
        let network = &self.network;
        part.range("near_ms", network.near_ms, 0.0, 10_000.0);
        part.range("far_ms", network.far_ms, 0.0, 10_000.0);
        part.number("jitter", network.jitter, 0.0, 10.0);
        part.number("handshake_rtts", network.handshake_rtts, 0.0, 20.0);
        part.number("connect_timeout_ms", network.connect_timeout_ms, 1.0, 600_000.0);
        part.number("idle_s", network.idle_s, 0.001, 86_400.0);
        let mut part = Checker { faults, at: "list".to_owned() };
        part.range("notice_s", self.list.notice_s, 0.0, 3_600.0);
        part.range("answer_ms", self.list.answer_ms, 0.0, 60_000.0);
        let mut part = Checker { faults, at: "clients".to_owned() };
        let clients = &self.clients;
        part.range("backoff_ms", clients.backoff_ms, 0.0, 600_000.0);
        part.number("honour", clients.honour, 0.0, 1.0);
        part.number("longest_retry_ms", clients.longest_retry_ms, 0.0, 600_000.0);
        part.number("impatient", clients.impatient, 0.0, 1.0);
        part.range("patience", clients.patience, 0.0, 1.0);
        part.range("orphan_ms", clients.orphan_ms, 0.0, 600_000.0);
        let mut part = Checker { faults, at: "rules".to_owned() };
        let rules = &self.rules;
        part.number("answer_slack_ms", rules.answer_slack_ms, 0.0, 10_000.0);
        part.number("drain_grace_ms", rules.drain_grace_ms, 0.0, 600_000.0);
        part.range("cold_from", rules.cold_from, 0.01, 1.0);
        part.range("cold_s", rules.cold_s, 0.0, 3_600.0);
        part.number("least_outage_s", rules.least_outage_s, 0.0, 3_600.0);
        part.number("fall_multiple", rules.fall_multiple, 1.0, 1_000.0);
        part.number("tip_after_ms", rules.tip_after_ms, 1.0, 600_000.0);
        part.number("fall_slack", rules.fall_slack, 0.0, 1_000.0);
        part.number("settle_ms", rules.settle_ms, 0.0, 600_000.0);
        part.number("ask_every_s", rules.ask_every_s, 0.1, 3_600.0);
    }

    fn check_topics(&self, faults: &mut Vec<ScenarioError>) {
        let kinds = || self.kind.iter().map(|kind| kind.name.as_str());
        for (n, topic) in self.topic.iter().enumerate() {
            let mut part = Checker { faults, at: format!("topic.{n}") };
            part.apart("name", &topic.name, self.topic.iter().map(|t| t.name.as_str()));
            part.range("share", topic.share, 0.0, 1e9);
            part.range("work_ms", topic.work_ms, 0.001, 600_000.0);
            part.range("work_cv", topic.work_cv, 0.0, 20.0);
            part.number("try_cv", topic.try_cv, 0.0, 20.0);
            part.number("objective_ms", topic.objective_ms, 1.0, 86_400_000.0);
            part.number("ttl_ms", topic.ttl_ms, 1.0, 86_400_000.0);
            part.number("benefit", topic.benefit, 0.0, 1e9);
            part.number("late_share", topic.late_share, 0.0, 1.0);
            part.number("window_ms", topic.window_ms, 0.0, 86_400_000.0);
            if topic.ttl_ms < topic.objective_ms {
                part.fault("ttl_ms", "the TTL is shorter than the latency objective");
            }
            let collapses = matches!(topic.effect, Effect::Collapsible | Effect::CollapsibleInZone);
            if collapses && topic.window_ms <= 0.0 {
                part.fault("window_ms", "a collapsible topic type needs a window above 0");
            }
            for (index, kind) in topic.kinds.iter().enumerate() {
                part.known(&format!("kinds.{index}"), kind, kinds(), "kind");
            }
        }
    }

    fn check_kinds(&self, faults: &mut Vec<ScenarioError>) {
        for (n, kind) in self.kind.iter().enumerate() {
            let mut part = Checker { faults, at: format!("kind.{n}") };
            part.apart("name", &kind.name, self.kind.iter().map(|k| k.name.as_str()));
            part.number("share", kind.share, 1e-9, 1e9);
            part.range("speed", kind.speed, 0.001, 1_000.0);
            part.range("spare", kind.spare, 0.01, 1e6);
            part.range("headroom", kind.headroom, 0.01, 1e6);
            part.range("least_rate", kind.least_rate, 0.001, 1e6);
            part.range("depth_s", kind.depth_s, 0.001, 600.0);
            part.range("window_ms", kind.window_ms, 1.0, 600_000.0);
            part.number("tells_wait", kind.tells_wait, 0.0, 1.0);
            part.range("report_ms", kind.report_ms, 1.0, 600_000.0);
            part.range("report_late_ms", kind.report_late_ms, 0.0, 600_000.0);
            part.number("report_noise", kind.report_noise, 0.0, 1.0);
            part.number("per_call", kind.per_call as f64, 1.0, 1_000.0);
            part.range("item_cost", kind.item_cost, 0.0, 100.0);
            part.range("queue", kind.queue, 0.0, 1e6);
            part.range("connections", kind.connections, 0.0, 1e6);
            part.number("least_connections", kind.least_connections, 0.0, 1e6);
            part.number("handshake_work_ms", kind.handshake_work_ms, 0.0, 60_000.0);
            part.range("error_rate", kind.error_rate, 0.0, 1.0);
        }
    }

    fn check_troubles(&self, faults: &mut Vec<ScenarioError>) {
        for (n, fault) in self.faults.iter().enumerate() {
            let mut part = Checker { faults, at: format!("trouble.{n}") };
            part.range("start_s", fault.start_s, 0.0, MOST_SPAN_S);
            part.range("span_s", fault.span_s, 0.0, MOST_SPAN_S);
            part.range("ramp_s", fault.ramp_s, 0.0, MOST_SPAN_S);
            part.range("size", fault.size, 0.0, 1e6);
            part.range("extent", fault.extent, 0.0, 1.0);
            if let Some(kind) = &fault.kind {
                part.known("kind", kind, self.kind.iter().map(|k| k.name.as_str()), "kind");
            }
            if let Some(zone) = &fault.zone {
                part.known("zone", zone, self.zones.iter().map(String::as_str), "zone");
            }
            if let Some(topic) = &fault.topic {
                part.known("topic", topic, self.topic.iter().map(|t| t.name.as_str()), "topic type");
            } else if fault.what == FaultKind::TopicFails {
                part.fault("what", "topic-fails needs the topic type that fails: topic = \"..\"");
            }
            if let Some(account) = &fault.account {
                part.known("account", account, self.account.iter().map(|a| a.name.as_str()), "account");
            } else if fault.what == FaultKind::AccountBurst {
                part.fault("what", "account-burst needs the account: account = \"..\"");
            }
            if let Some(index) = fault.destination
                && index as f64 >= self.destinations.count.least
            {
                part.fault("destination", format!("there may be no destination {index}"));
            }
            if fault.what == FaultKind::Pauses && fault.size.least <= 0.0 {
                part.fault("size", "pauses need a length above 0, in seconds");
            }
        }
    }
}
