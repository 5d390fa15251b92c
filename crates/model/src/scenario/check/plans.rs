//! The check of the tables that lay out a run: relays, traffic, destinations, network, list, clients and rules.

use super::{Checker, MAX_SPAN_S, ScenarioError, check_bounds};
use crate::scenario::Scenario;

const MAX_RELAYS: f64 = 20_000.0;
const MAX_DESTINATIONS: f64 = 100_000.0;
/// Notifications a second.
const MAX_RATE: f64 = 1e6;

impl Scenario {
    pub(super) fn check_plans(&self, errors: &mut Vec<ScenarioError>) {
        self.check_relays(errors);
        self.check_traffic(errors);
        self.check_destinations(errors);
        self.check_network(errors);
        self.check_list(errors);
        self.check_clients(errors);
        self.check_rules(errors);
    }

    fn check_relays(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "relays");
        check_bounds!(checker, self.relays, {
            count: 1.0..=MAX_RELAYS,
            zipf: 0.0..=5.0,
            slots_room: 0.01..=1e6,
            least_slots: 1.0..=1e6,
            hold_s: 0.0..=1e6,
            least_held: 1.0..=1e9,
            tick_ms: 0.0..=10_000.0,
            pushes: 1.0..=1_000.0,
            notice_ms: 0.0..=60_000.0,
        });
    }

    fn check_traffic(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "traffic");
        check_bounds!(checker, self.traffic, {
            rate: 0.0..=MAX_RATE,
            load: 0.0..=100.0,
            swing: 0.0..=1.0,
            swing_s: 0.1..=MAX_SPAN_S,
            clumps: 0.0..=1.0,
            clump_s: 0.0..=1_000.0,
            keys: 1.0..=1e6,
            key_life_s: 0.1..=MAX_SPAN_S,
        });
    }

    fn check_destinations(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "destinations");
        let destinations = &self.destinations;
        checker.bounds("count", &destinations.count, 1.0..=MAX_DESTINATIONS);
        if (self.kind.len() as f64) > destinations.count.least {
            checker.error("count", "there must be a destination of each kind at least");
        }
        check_bounds!(checker, destinations, {
            endpoints: 1.0..=100.0,
            zipf: 0.0..=5.0,
        });
    }

    fn check_network(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "network");
        check_bounds!(checker, self.network, {
            near_ms: 0.0..=10_000.0,
            far_ms: 0.0..=10_000.0,
            jitter: 0.0..=10.0,
            handshake_rtts: 0.0..=20.0,
            connect_timeout_ms: 1.0..=600_000.0,
            idle_s: 0.001..=86_400.0,
        });
    }

    fn check_list(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "list");
        check_bounds!(checker, self.list, {
            notice_s: 0.0..=3_600.0,
            answer_ms: 0.0..=60_000.0,
        });
    }

    fn check_clients(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "clients");
        check_bounds!(checker, self.clients, {
            backoff_ms: 0.0..=600_000.0,
            honour: 0.0..=1.0,
            longest_retry_ms: 0.0..=600_000.0,
            impatient: 0.0..=1.0,
            patience: 0.0..=1.0,
            orphan_ms: 0.0..=600_000.0,
        });
    }

    fn check_rules(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "rules");
        check_bounds!(checker, self.rules, {
            answer_slack_ms: 0.0..=10_000.0,
            drain_grace_ms: 0.0..=600_000.0,
            cold_from: 0.01..=1.0,
            cold_s: 0.0..=3_600.0,
            least_outage_s: 0.0..=3_600.0,
            fall_multiple: 1.0..=1_000.0,
            tip_after_ms: 1.0..=600_000.0,
            fall_slack: 0.0..=1_000.0,
            settle_ms: 0.0..=600_000.0,
            ask_every_s: 0.1..=3_600.0,
        });
    }
}
