//! The actual state of endpoints, for oracles.

#![expect(clippy::disallowed_types, reason = "only looked up by key")]

use std::collections::HashMap;
use std::sync::Arc;

use juniperwing::interface::EndpointId;
use juniperwing::time::Time;

use crate::endpoint::Endpoint;
use crate::faults::FaultWindow;
use crate::policy::{EndpointState, GroundTruth};
use crate::route::{OverloadThreshold, Route};
use crate::scenario::FaultKind;

/// The state of a simulation that oracles have access to.
pub(super) struct OracleView<'a> {
    pub(super) now: Time,
    pub(super) endpoints: &'a [Endpoint],
    pub(super) routes: &'a [Route],
    pub(super) fault_windows: &'a [FaultWindow],
    pub(super) endpoint_indices: &'a HashMap<Arc<str>, usize>,
    pub(super) overload_threshold: OverloadThreshold,
}

impl GroundTruth for OracleView<'_> {
    fn endpoint(&self, endpoint: &EndpointId) -> Option<EndpointState> {
        let endpoint = &self.endpoints[*self.endpoint_indices.get(&endpoint.0)?];
        let (route, faults, now) = (&self.routes[endpoint.plan.route], &endpoint.faults, self.now);
        let is_partitioned = [FaultKind::RequestLoss, FaultKind::ResponseLoss]
            .into_iter()
            .any(|kind| faults.is_active(self.fault_windows, kind, now));
        let is_out = is_partitioned
            || faults.is_outage(self.fault_windows, now)
            || faults.resumes_at(self.fault_windows, now).is_some();
        let factor = faults.factor(self.fault_windows, FaultKind::Limit, now) * route.capacity_fraction(now);
        let has_limit = route.limit.calls_per_s(1.0).is_some();
        Some(EndpointState {
            is_answering: !endpoint.is_terminated && !route.is_overloaded() && !is_out,
            free_servers: endpoint.plan.servers.saturating_sub(endpoint.running),
            queued: endpoint.queue.len(),
            limit_remaining: if has_limit {
                route.limit.clone().remaining_fraction(now, factor)
            } else {
                1.0
            },
            remaining_load: route.remaining_load(now, &self.overload_threshold),
        })
    }
}
