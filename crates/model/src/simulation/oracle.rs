//! The true state of endpoints, for a policy that may see it.

use std::collections::HashMap;
use std::sync::Arc;

use juniperwing::interface::EndpointId;
use juniperwing::time::Time;

use crate::endpoint::{Endpoint, Route};
use crate::faults::FaultWindow;
use crate::judge;
use crate::policy::{TrueState, Truth};
use crate::scenario::FaultKind;

/// What an oracle may see.
pub(super) struct OracleView<'a> {
    pub(super) now: Time,
    pub(super) endpoints: &'a [Endpoint],
    pub(super) routes: &'a [Route],
    pub(super) fault_windows: &'a [FaultWindow],
    pub(super) endpoint_indices: &'a HashMap<Arc<str>, usize>,
    pub(super) parameters: judge::RuleParameters,
}

impl Truth for OracleView<'_> {
    fn endpoint(&self, endpoint: &EndpointId) -> Option<TrueState> {
        let endpoint = &self.endpoints[*self.endpoint_indices.get(&endpoint.0)?];
        let (route, faults, now) = (&self.routes[endpoint.plan.route], &endpoint.faults, self.now);
        let cut = [FaultKind::CutThere, FaultKind::CutBack]
            .into_iter()
            .any(|what| faults.is_active(self.fault_windows, what, now));
        let out = cut
            || faults.is_outage(self.fault_windows, now)
            || faults.resumes_at(self.fault_windows, now).is_some();
        let factor = faults.factor(self.fault_windows, FaultKind::Limit, now) * route.capacity_fraction(now);
        Some(TrueState {
            answers: !endpoint.is_terminated && !route.is_overloaded && !out,
            room: endpoint.plan.servers.saturating_sub(endpoint.running),
            waiting: endpoint.queue.len(),
            left: route
                .limit
                .calls_per_s(1.0)
                .map_or(1.0, |_| route.limit.clone().remaining_fraction(now, factor)),
            spare: route.remaining_allowance(now, self.parameters.tip_after, self.parameters.fall_multiple),
        })
    }
}
