//! The validation of the tables of a run: relays, traffic, destinations, network, list, clients and rules.

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
            "count" => count: 1.0..=MAX_RELAYS,
            "zipf" => zipf_exponent: 0.0..=5.0,
            "slots_room" => slot_headroom: 0.01..=1e6,
            "least_slots" => min_slots: 1.0..=1e6,
            "hold_s" => pending_capacity_s: 0.0..=1e6,
            "least_held" => min_pending_capacity: 1.0..=1e9,
            "tick_ms" => tick_ms: 0.0..=10_000.0,
            "pushes" => max_pushes: 1.0..=1_000.0,
            "notice_ms" => notice_delay_ms: 0.0..=60_000.0,
        });
    }

    fn check_traffic(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "traffic");
        check_bounds!(checker, self.traffic, {
            "rate" => rate: 0.0..=MAX_RATE,
            "load" => load: 0.0..=100.0,
            "swing" => swing_amplitude: 0.0..=1.0,
            "swing_s" => swing_period_s: 0.1..=MAX_SPAN_S,
            "clumps" => batched_fraction: 0.0..=1.0,
            "clump_s" => batch_size_s: 0.0..=1_000.0,
            "keys" => keys_per_destination: 1.0..=1e6,
            "key_life_s" => key_lifetime_s: 0.1..=MAX_SPAN_S,
        });
    }

    fn check_destinations(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "destinations");
        let destinations = &self.destinations;
        checker.bounds("count", &destinations.count, 1.0..=MAX_DESTINATIONS);
        if (self.kinds.len() as f64) > destinations.count.min {
            checker.error("count", "must not be less than the number of kinds");
        }
        check_bounds!(checker, destinations, {
            "endpoints" => endpoints: 1.0..=100.0,
            "zipf" => zipf_exponent: 0.0..=5.0,
        });
    }

    fn check_network(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "network");
        check_bounds!(checker, self.network, {
            "near_ms" => same_zone_delay_ms: 0.0..=10_000.0,
            "far_ms" => cross_zone_delay_ms: 0.0..=10_000.0,
            "jitter" => jitter: 0.0..=10.0,
            "handshake_rtts" => handshake_rtts: 0.0..=20.0,
            "connect_timeout_ms" => connect_timeout_ms: 1.0..=600_000.0,
            "idle_s" => idle_timeout_s: 0.001..=86_400.0,
        });
    }

    fn check_list(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "list");
        check_bounds!(checker, self.list, {
            "notice_s" => change_delay_s: 0.0..=3_600.0,
            "answer_ms" => response_ms: 0.0..=60_000.0,
        });
    }

    fn check_clients(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "clients");
        check_bounds!(checker, self.clients, {
            "backoff_ms" => backoff_ms: 0.0..=600_000.0,
            "honour" => compliant_fraction: 0.0..=1.0,
            "longest_retry_ms" => max_retry_after_ms: 0.0..=600_000.0,
            "impatient" => withdrawn_fraction: 0.0..=1.0,
            "patience" => withdrawal_ttl_fraction: 0.0..=1.0,
            "orphan_ms" => failover_delay_ms: 0.0..=600_000.0,
        });
    }

    fn check_rules(&self, errors: &mut Vec<ScenarioError>) {
        let mut checker = Checker::new(errors, "rules");
        check_bounds!(checker, self.rules, {
            "answer_slack_ms" => answer_slack_ms: 0.0..=10_000.0,
            "drain_grace_ms" => drain_grace_ms: 0.0..=600_000.0,
            "cold_from" => warm_up_initial_fraction: 0.01..=1.0,
            "cold_s" => warm_up_duration_s: 0.0..=3_600.0,
            "least_outage_s" => min_outage_s: 0.0..=3_600.0,
            "fall_multiple" => overload_factor: 1.0..=1_000.0,
            "tip_after_ms" => overload_duration_ms: 1.0..=600_000.0,
            "fall_slack" => overload_slack: 0.0..=1_000.0,
            "settle_ms" => key_cooldown_ms: 0.0..=600_000.0,
            "ask_every_s" => list_refresh_interval_s: 0.1..=3_600.0,
        });
    }
}
