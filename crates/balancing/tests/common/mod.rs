//! What the tests of the balancer share.

use juniperwing_balancing::{
    Admission, Balancer, BalancerLimits, Destination, EndpointInfo, PlacementRequest,
};
use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::{InstanceId, ServiceName};

/// The usual time of a call.
pub const USUAL: Span = Span::from_millis(20);

/// A moment, in milliseconds of the test.
pub fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(100_000 + millis)
}

/// A balancer in zone `a` over endpoints of one service, each with its zone and its slots.
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

/// The destination of a route of that service.
pub fn destination(prefix: &str) -> Destination {
    Destination { service: ServiceName::from("s"), host: "h".into(), prefix: prefix.into() }
}

/// A request without a prompt.
pub fn ask(prefix: &str, priority: u32) -> PlacementRequest {
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

/// The endpoint that a request goes to at once.
pub fn goes_to(balancer: &mut Balancer, now: Time, ask: PlacementRequest) -> InstanceId {
    match balancer.admit(now, ask, USUAL) {
        Admission::Granted(id) => id,
        other => panic!("{other:?}"),
    }
}
