//! Measures the time to choose an endpoint, by the number of endpoints.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion};
use juniperwing_balancing::{
    Admission, Balancer, BalancerLimits, CallOutcome, Destination, EndpointInfo, PlacementRequest,
    PromptSection,
};
use juniperwing_clock::{Span, Time};
use juniperwing_protocol::identity::{InstanceId, ProgramId, ServiceName};

/// Numbers of endpoints, from that of a large deployment today to the target.
const SIZES: [usize; 3] = [57, 1_000, 11_000];
const NOW: Time = Time::from_nanos(100_000_000_000);

fn balancer(endpoints: usize) -> Balancer {
    let mut balancer = Balancer::new("a".into(), 7, BalancerLimits::default());
    for number in 0..endpoints {
        balancer.insert(&EndpointInfo {
            id: InstanceId::from(format!("i-{number}").as_str()),
            service: ServiceName::from("s"),
            zone: ["a", "b", "c"][number % 3].into(),
            capacity: 12,
        });
    }
    balancer
}

fn turn() -> PlacementRequest {
    PlacementRequest {
        destination: Destination { service: ServiceName::from("s"), host: "h".into(), prefix: "/".into() },
        priority: 0,
        excluded: Vec::new(),
        prompt: (1..=3).map(|id| PromptSection { id, tokens: 1_000 }).collect(),
        new_prompt_fraction: 0.2,
        previous_endpoint: None,
        program: Some(ProgramId::from("p")),
        attempt_timeout: Span::from_millis(5_000),
    }
}

fn choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice of an endpoint");
    for size in SIZES {
        let mut balancer = balancer(size);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                let request = turn();
                let destination = request.destination.clone();
                if let Admission::Granted(id) = balancer.admit(NOW, black_box(request), Span::ZERO) {
                    balancer.end_call(NOW, &destination, &id, CallOutcome::Succeeded);
                }
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    choice(&mut criterion);
    criterion.final_summary();
}
