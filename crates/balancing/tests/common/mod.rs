//! Shared helpers for the balancer's tests.

use juniperwing_balancing::{
    Admission, Balancer, BalancerLimits, Destination, EndpointInfo, PlacementRequest,
};
use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::{InstanceId, ServiceName};

/// The expected duration of a call.
pub const EXPECTED_DURATION: Span = Span::from_millis(20);

/// Converts milliseconds since the start of the test to a time.
pub fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(100_000 + millis)
}

/// Creates a balancer in zone `a` with endpoints of one service, each given as id, zone and slots.
pub fn balancer_of(seed: u64, endpoints: &[(&str, &str, u32)]) -> Balancer {
    let mut balancer = Balancer::new("a".into(), seed, BalancerLimits { max_queued_per_service: 4 });
    for (id, zone, capacity) in endpoints {
        balancer.insert(&EndpointInfo {
            id: InstanceId::from(*id),
            service: ServiceName::from("s"),
            zone: (*zone).into(),
            capacity: *capacity,
        });
    }
    balancer
}

/// The destination of a route to that service.
pub fn destination(prefix: &str) -> Destination {
    Destination { service: ServiceName::from("s"), host: "h".into(), prefix: prefix.into() }
}

/// A request without a prompt.
pub fn plain_request(prefix: &str, priority: u32) -> PlacementRequest {
    PlacementRequest {
        destination: destination(prefix),
        priority,
        excluded: Vec::new(),
        prompt: Vec::new(),
        new_prompt_fraction: 1.0,
        previous_endpoint: None,
        program: None,
        attempt_timeout: Span::from_millis(1_000),
    }
}

/// Returns the endpoint that a request is granted without queueing.
pub fn granted_endpoint(balancer: &mut Balancer, now: Time, request: PlacementRequest) -> InstanceId {
    match balancer.admit(now, request, EXPECTED_DURATION) {
        Admission::Granted(id) => id,
        other => panic!("{other:?}"),
    }
}
