//! What a run is told: the scenario, as data. It owns the vocabulary of sizes, destinations, clients and troubles,
//! the check of one and the draw of its ranges. It must never hold code for one trouble or one deployment, nor
//! know the text form a scenario was written in.
//!
//! A number may be written as a range. Ranges named [`Once`] are drawn once for a run, [`Each`] anew for each
//! thing they speak of (a destination, a call). Every figure has its unit in its name.

use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::chance::{Chance, Concern, between};

/// A number or a range of numbers, written `3` or `[2, 5]`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(from = "Written", into = "Written")]
pub struct Range {
    /// The least it can be.
    pub least: f64,
    /// The most it can be.
    pub most: f64,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(untagged, expecting = "expected a number, or a range of two numbers such as [2, 5]")]
enum Written {
    One(f64),
    Two([f64; 2]),
}

impl From<Written> for Range {
    fn from(written: Written) -> Range {
        match written {
            Written::One(value) => Range { least: value, most: value },
            Written::Two([least, most]) => Range { least, most },
        }
    }
}

impl From<Range> for Written {
    fn from(range: Range) -> Written {
        if range.least == range.most {
            Written::One(range.least)
        } else {
            Written::Two([range.least, range.most])
        }
    }
}

impl From<f64> for Range {
    fn from(value: f64) -> Range {
        Range { least: value, most: value }
    }
}

impl Range {
    /// A number from the range.
    pub fn draw(&self, chance: &mut ChaCha8Rng) -> f64 {
        between(chance, self.least, self.most)
    }
}

/// A range that is drawn once for a run; in a resolved scenario it is one number.
pub type Once = Range;

/// A range that is drawn for each thing it speaks of; a resolved scenario keeps it.
pub type Each = Range;

/// All that a run is told but its seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(default)]
    pub about: String,
    /// The seed that it is kept for, where it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// For how long notifications are handed in; the run goes on until all are answered.
    pub span_s: Once,
    /// The zones, by name; endpoints and relays are spread over them in turn.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// The relays.
    pub relays: Relays,
    /// What is handed in.
    pub traffic: Traffic,
    /// How many destinations and endpoints there are.
    pub destinations: Destinations,
    /// Connections between relays and endpoints.
    #[serde(default)]
    pub network: Network,
    /// The list of endpoints.
    #[serde(default)]
    pub list: List,
    /// What clients do.
    #[serde(default)]
    pub clients: Clients,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// Topic types.
    pub topic: Vec<Topic>,
    /// Kinds of destination.
    pub kind: Vec<Kind>,
    /// Accounts; destinations are dealt out to them. Without any, there is no share to be over.
    #[serde(default)]
    pub account: Vec<Account>,
    /// What goes wrong.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
}

fn one_zone() -> Vec<String> {
    vec!["a".to_owned()]
}

/// The relays.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Relays {
    /// How many.
    pub count: Once,
    /// How unequal their traffic is: 0 equal, else the exponent of a Zipf law over them.
    #[serde(default)]
    pub zipf: Range,
    /// Slots over what a relay's part of full load keeps busy.
    pub slots_room: Each,
    /// The least slots that a relay has.
    pub least_slots: f64,
    /// What a relay may hold, in seconds of its part of full load.
    pub hold_s: Each,
    /// The least that it may hold, in notifications.
    pub least_held: f64,
    /// The shortest gap between two of its rounds.
    #[serde(default = "five")]
    pub tick_ms: f64,
    /// Pushes for one notification at most.
    #[serde(default = "eight")]
    pub pushes: u32,
    /// How long a notice of an end takes to be heard.
    #[serde(default = "ten")]
    pub notice_ms: Each,
}

fn five() -> f64 {
    5.0
}

fn eight() -> u32 {
    8
}

fn ten() -> Range {
    Range::from(10.0)
}

impl Default for Range {
    fn default() -> Range {
        Range::from(0.0)
    }
}

/// What is handed in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Notifications a second at full load.
    pub rate: Once,
    /// The share of full load that comes.
    pub load: Once,
    /// How much load swings about its mean, and how long a swing takes.
    #[serde(default)]
    pub swing: Once,
    /// How long a swing takes.
    #[serde(default = "half_a_minute")]
    pub swing_s: Once,
    /// The share that comes in clumps for one destination.
    #[serde(default)]
    pub clumps: Once,
    /// A clump's size, in seconds of what its destination takes.
    #[serde(default = "two")]
    pub clump_s: Each,
    /// How many keys of one destination are in use at a time, for ordered topic types.
    #[serde(default = "two")]
    pub keys: Each,
    /// For how long a key is in use.
    #[serde(default = "ten")]
    pub key_life_s: Each,
}

fn half_a_minute() -> Range {
    Range::from(30.0)
}

fn two() -> Range {
    Range::from(2.0)
}

/// How many destinations and endpoints there are, and who gets how much.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    /// How many destinations.
    pub count: Once,
    /// Endpoints of each; a fraction is the share of destinations with one more.
    pub endpoints: Once,
    /// The exponent of the Zipf law of their traffic.
    #[serde(default)]
    pub zipf: Once,
}

/// Connections between relays and endpoints.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way within a zone.
    pub near_ms: Each,
    /// One way between zones.
    pub far_ms: Each,
    /// How much one passage differs from another, as a share.
    pub jitter: f64,
    /// Round trips to open a connection.
    pub handshake_rtts: f64,
    /// A connection that is not up by then is given up.
    pub connect_timeout_ms: f64,
    /// Idle connections are closed after this long.
    pub idle_s: f64,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            near_ms: Range { least: 8.0, most: 20.0 },
            far_ms: Range { least: 20.0, most: 60.0 },
            jitter: 0.2,
            handshake_rtts: 2.0,
            connect_timeout_ms: 1_500.0,
            idle_s: 5.0,
        }
    }
}

/// The list of endpoints.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// How late a relay hears of a change.
    pub notice_s: Each,
    /// How long a request for the list takes.
    pub answer_ms: Each,
    /// Whether entries carry a rate, rough by up to half.
    pub rates: bool,
}

impl Default for List {
    fn default() -> List {
        List { notice_s: Range { least: 0.5, most: 4.0 }, answer_ms: Range::from(50.0), rates: true }
    }
}

/// What clients do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often one hands a notification in again after a throttling.
    pub again: u32,
    /// How long it waits before it does where it is told no time; doubled each time.
    pub backoff_ms: Each,
    /// The share that heeds the time it is told.
    pub honour: f64,
    /// The longest time to come back that it heeds; 0: none may be named.
    pub longest_retry_ms: f64,
    /// The share of notifications that are taken back.
    pub impatient: f64,
    /// After which share of their TTL.
    pub patience: Each,
    /// How long what a dead relay held takes to come again.
    pub orphan_ms: Each,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            again: 2,
            backoff_ms: Range { least: 600.0, most: 1_300.0 },
            honour: 0.8,
            longest_retry_ms: 3_000.0,
            impatient: 0.0,
            patience: Range { least: 0.2, most: 0.8 },
            orphan_ms: Range { least: 400.0, most: 1_800.0 },
        }
    }
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after a notification's TTL its final answer still counts.
    pub answer_slack_ms: f64,
    /// Nothing new to an endpoint so long after the relay was told that it drains.
    pub drain_grace_ms: f64,
    /// The share of its capacity that a destination has right after an outage.
    pub cold_from: Each,
    /// How long after its return it has all of it.
    pub cold_s: Each,
    /// An outage shorter than that leaves nothing cold.
    pub least_outage_s: f64,
    /// A cold destination falls over above so many times its present capacity...
    pub fall_multiple: f64,
    /// ...kept up for this long.
    pub tip_after_ms: f64,
    /// Further work allowed beyond that, for chance, in calls.
    pub fall_slack: f64,
    /// How long a key rests after a push that might still be running.
    pub settle_ms: f64,
    /// A relay that has no subscription and has not asked for so long counts as told.
    pub ask_every_s: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            answer_slack_ms: 20.0,
            drain_grace_ms: 250.0,
            cold_from: Range { least: 0.21, most: 0.29 },
            cold_s: Range { least: 11.0, most: 14.0 },
            least_outage_s: 1.0,
            fall_multiple: 2.0,
            tip_after_ms: 1_500.0,
            fall_slack: 3.0,
            settle_ms: 100.0,
            ask_every_s: 10.0,
        }
    }
}

/// What happens if a notification runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Nothing.
    Repeatable,
    /// The repeat is dropped, for a window, by all endpoints of the destination.
    Collapsible,
    /// The repeat is dropped, for a window, by the endpoints of the first one's zone.
    CollapsibleInZone,
    /// It must not.
    OnceOnly,
}

/// How the benefit of a delivery falls after the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decay {
    /// Evenly, down to the late share at the TTL.
    #[default]
    Even,
    /// By half with each further objective, the late share at the least.
    Halves,
}

/// A topic type.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Topic {
    /// Its name.
    pub name: String,
    /// Its part of the traffic, as a weight.
    pub share: Once,
    /// What a second run would do.
    pub effect: Effect,
    /// For how long a repeat of a collapsible one is dropped.
    #[serde(default)]
    pub window_ms: f64,
    /// Whether notifications with one key go one at a time.
    #[serde(default)]
    pub ordered: bool,
    /// Mean time at an endpoint of usual pace.
    pub work_ms: Once,
    /// Its coefficient of variation, where it is lognormal.
    #[serde(default = "usual")]
    pub work_cv: Once,
    /// How it varies from one notification to another.
    #[serde(default)]
    pub work_law: Law,
    /// How much one try for a notification differs from the next, as a coefficient of variation.
    #[serde(default = "fifth")]
    pub try_cv: f64,
    /// The latency objective.
    pub objective_ms: f64,
    /// The TTL.
    pub ttl_ms: f64,
    /// The benefit within the objective.
    #[serde(default = "one")]
    pub benefit: f64,
    /// The share of it at the TTL.
    #[serde(default = "half")]
    pub late_share: f64,
    /// How it falls between.
    #[serde(default)]
    pub decay: Decay,
    /// The kinds of destination that it goes to; none: all.
    #[serde(default)]
    pub kinds: Vec<String>,
}

fn one() -> f64 {
    1.0
}

fn fifth() -> f64 {
    0.2
}

/// How work varies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Law {
    /// Lognormal, with a heavy tail.
    #[default]
    Lognormal,
    /// Exponential, for which queueing theory has plain answers.
    Exponential,
}

fn half() -> f64 {
    0.5
}

/// How a destination limits calls from all relays together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitForm {
    /// Only by its capacity.
    #[default]
    None,
    /// A plain rate with some depth.
    Rate,
    /// A count in each fixed span.
    Window,
}

/// A kind of destination.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the destinations, as a weight.
    pub share: f64,
    /// Its pace: times are divided by it.
    #[serde(default = "usual")]
    pub speed: Each,
    /// What its destinations can serve over what comes at full load.
    #[serde(default = "spare")]
    pub spare: Each,
    /// The form of its limit.
    #[serde(default)]
    pub limit: LimitForm,
    /// The limit over what comes at full load.
    #[serde(default = "spare")]
    pub headroom: Each,
    /// The least limit, in calls a second.
    #[serde(default = "two")]
    pub least_rate: Each,
    /// The depth of a rate: how many seconds of it may come at once.
    #[serde(default = "depth")]
    pub depth_s: Each,
    /// The span of a window.
    #[serde(default = "window")]
    pub window_ms: Each,
    /// The chance that a refusal above the limit tells how long to wait.
    #[serde(default)]
    pub tells_wait: f64,
    /// Whether refused calls use the limit up.
    #[serde(default)]
    pub refused_count: bool,
    /// Whether load reports come with answers.
    #[serde(default = "yes")]
    pub reports: bool,
    /// How often a report is made anew.
    #[serde(default = "report")]
    pub report_ms: Each,
    /// How old it is when it counts as made.
    #[serde(default = "report_late")]
    pub report_late_ms: Each,
    /// Its noise, as a share.
    #[serde(default)]
    pub report_noise: f64,
    /// Whether endpoints are routes apart, each with its own limit, waits and outages.
    #[serde(default)]
    pub apart: bool,
    /// Notifications in a call at most.
    #[serde(default = "one_each")]
    pub per_call: usize,
    /// What each further one adds to a call's work.
    #[serde(default = "item_cost")]
    pub item_cost: Each,
    /// Calls that may wait, for each one in service.
    #[serde(default = "queue")]
    pub queue: Each,
    /// Connections that an endpoint takes over the calls it serves at once; 0: no bound.
    #[serde(default)]
    pub connections: Each,
    /// The least connections that it takes, where there is a bound.
    #[serde(default = "eight_connections")]
    pub least_connections: f64,
    /// What opening a connection costs it, in work.
    #[serde(default)]
    pub handshake_work_ms: f64,
    /// The share of calls answered with an error.
    #[serde(default)]
    pub error_rate: Each,
    /// Whether calls that were called off leave the queue.
    #[serde(default)]
    pub drops_cancelled: bool,
}

fn usual() -> Range {
    Range::from(1.0)
}

fn spare() -> Range {
    Range { least: 1.2, most: 1.6 }
}

fn depth() -> Range {
    Range { least: 0.3, most: 1.0 }
}

fn window() -> Range {
    Range { least: 1_000.0, most: 2_000.0 }
}

fn yes() -> bool {
    true
}

fn report() -> Range {
    Range { least: 150.0, most: 600.0 }
}

fn report_late() -> Range {
    Range { least: 20.0, most: 250.0 }
}

fn one_each() -> usize {
    1
}

fn item_cost() -> Range {
    Range { least: 0.1, most: 0.2 }
}

fn queue() -> Range {
    Range { least: 2.0, most: 6.0 }
}

fn eight_connections() -> f64 {
    8.0
}

/// An account.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its part of the service.
    pub share: f64,
    /// Its share of full load that it may use, in notifications a second over full load.
    #[serde(default = "one")]
    pub quota: f64,
    /// What a notification beyond its share is worth, as a share of its benefit.
    #[serde(default = "tenth")]
    pub over_share: f64,
}

fn tenth() -> f64 {
    0.1
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Woe {
    /// Answers take `size` times as long.
    Slow,
    /// Calls are taken and never answered.
    Silent,
    /// Calls are answered with an error at once.
    Errors,
    /// Calls are turned away at once.
    Refuses,
    /// Connections are refused.
    Down,
    /// Stands still for `size` seconds, again and again, every four times that.
    Pauses,
    /// One topic type fails.
    TopicFails,
    /// Limits are `size` times the usual.
    Limit,
    /// Opening a connection takes `size` times as long.
    Handshakes,
    /// All traffic is `size` times the usual.
    Burst,
    /// The traffic of the destinations struck is `size` times the usual.
    Hot,
    /// The traffic of one account is `size` times the usual.
    AccountBurst,
    /// What comes for the destinations struck is held back and comes all at once at the end.
    Release,
    /// A few relays carry the share `size` of all traffic.
    HotRelays,
    /// The list cannot be reached.
    ListDown,
    /// News of the list comes `size` seconds later.
    ListStale,
    /// Endpoints drain and are replaced, one after the other, each gone `size` seconds after it drains.
    Deploy,
    /// What relays send to the endpoints struck is lost on the way.
    CutThere,
    /// What the endpoints struck answer is lost on the way.
    CutBack,
    /// Connections to the endpoints struck break in the middle of calls, the share `size` of them.
    Resets,
    /// TTLs are `size` times the usual, and at their end notifications are taken back.
    Hurry,
    /// Relays are killed and come back over their folders after `size` seconds.
    Kill,
    /// Relays are lost with their folders; new ones come in their place after `size` seconds.
    Lose,
}

/// A trouble: what, when and whom.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What goes wrong.
    pub what: Woe,
    /// When it begins.
    pub start_s: Once,
    /// How long it lasts.
    #[serde(default)]
    pub span_s: Once,
    /// Over how long it comes on.
    #[serde(default)]
    pub ramp_s: Once,
    /// How much; see [`Woe`].
    #[serde(default = "usual")]
    pub size: Once,
    /// The share of the traffic whose destinations it strikes, of those that the rest of it allows; for relays,
    /// the share of relays.
    #[serde(default = "whole")]
    pub extent: Once,
    /// Whether it strikes whole destinations, or one endpoint of each.
    #[serde(default = "yes")]
    pub whole: bool,
    /// Only destinations of that kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Only endpoints in that zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The topic type concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub topic: Option<String>,
    /// The account concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// Only the destination with that place by traffic, 0 the busiest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub destination: Option<usize>,
}

fn whole() -> Range {
    Range::from(1.0)
}

/// A fault in a scenario: where, as keys and places joined by dots, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
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
    faults: &'a mut Vec<Fault>,
    at: String,
}

impl Checker<'_> {
    fn fault(&mut self, key: &str, why: impl Into<String>) {
        let at = if self.at.is_empty() { key.to_owned() } else { format!("{}.{key}", self.at) };
        self.faults.push(Fault { at, why: why.into() });
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
    pub fn check(&self) -> Vec<Fault> {
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

    fn check_plans(&self, faults: &mut Vec<Fault>) {
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

    fn check_topics(&self, faults: &mut Vec<Fault>) {
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
            for (place, kind) in topic.kinds.iter().enumerate() {
                part.known(&format!("kinds.{place}"), kind, kinds(), "kind");
            }
        }
    }

    fn check_kinds(&self, faults: &mut Vec<Fault>) {
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

    fn check_troubles(&self, faults: &mut Vec<Fault>) {
        for (n, trouble) in self.trouble.iter().enumerate() {
            let mut part = Checker { faults, at: format!("trouble.{n}") };
            part.range("start_s", trouble.start_s, 0.0, MOST_SPAN_S);
            part.range("span_s", trouble.span_s, 0.0, MOST_SPAN_S);
            part.range("ramp_s", trouble.ramp_s, 0.0, MOST_SPAN_S);
            part.range("size", trouble.size, 0.0, 1e6);
            part.range("extent", trouble.extent, 0.0, 1.0);
            if let Some(kind) = &trouble.kind {
                part.known("kind", kind, self.kind.iter().map(|k| k.name.as_str()), "kind");
            }
            if let Some(zone) = &trouble.zone {
                part.known("zone", zone, self.zones.iter().map(String::as_str), "zone");
            }
            if let Some(topic) = &trouble.topic {
                part.known("topic", topic, self.topic.iter().map(|t| t.name.as_str()), "topic type");
            } else if trouble.what == Woe::TopicFails {
                part.fault("what", "topic-fails needs the topic type that fails: topic = \"..\"");
            }
            if let Some(account) = &trouble.account {
                part.known("account", account, self.account.iter().map(|a| a.name.as_str()), "account");
            } else if trouble.what == Woe::AccountBurst {
                part.fault("what", "account-burst needs the account: account = \"..\"");
            }
            if let Some(place) = trouble.destination
                && place as f64 >= self.destinations.count.least
            {
                part.fault("destination", format!("there may be no destination {place}"));
            }
            if trouble.what == Woe::Pauses && trouble.size.least <= 0.0 {
                part.fault("size", "pauses need a length above 0, in seconds");
            }
        }
    }

    /// The scenario with all that is drawn once drawn; with the same seed it resolves to itself.
    #[must_use]
    pub fn resolve(&self, seed: u64) -> Scenario {
        let mut chance = Chance::new(seed).stream(Concern::Scenario, 0);
        let mut drawn = self.clone();
        let mut fix = |range: &mut Range| {
            // Drawn even where it is one number, so that a fixed figure shifts no other.
            let value = range.draw(&mut chance);
            *range = Range::from(if range.least == range.most { range.least } else { value });
        };
        fix(&mut drawn.span_s);
        fix(&mut drawn.relays.count);
        fix(&mut drawn.relays.zipf);
        let traffic = &mut drawn.traffic;
        fix(&mut traffic.rate);
        fix(&mut traffic.load);
        fix(&mut traffic.swing);
        fix(&mut traffic.swing_s);
        fix(&mut traffic.clumps);
        fix(&mut drawn.destinations.count);
        fix(&mut drawn.destinations.endpoints);
        fix(&mut drawn.destinations.zipf);
        for topic in &mut drawn.topic {
            fix(&mut topic.share);
            fix(&mut topic.work_ms);
            fix(&mut topic.work_cv);
        }
        // Each has a stream of its own: a trouble more or less leaves the others as they were.
        for (n, trouble) in drawn.trouble.iter_mut().enumerate() {
            let mut chance = Chance::new(seed).stream(Concern::Trouble, n << 1);
            for range in [
                &mut trouble.start_s,
                &mut trouble.span_s,
                &mut trouble.ramp_s,
                &mut trouble.size,
                &mut trouble.extent,
            ] {
                let value = range.draw(&mut chance);
                *range = Range::from(if range.least == range.most { range.least } else { value });
            }
        }
        drawn.relays.count = Range::from(drawn.relays.count.least.round().max(1.0));
        drawn.destinations.count = Range::from(drawn.destinations.count.least.round().max(1.0));
        drawn
    }
}
