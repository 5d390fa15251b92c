//! Valid configurations: parsed values, defaults, generations, weights and digests.

mod common;

use common::{read_valid, remove, valid};
use juniperwing_clock::Span;
use juniperwing_configuration::{
    Configuration, DEFAULT_LIMITS, DEFAULT_RETENTION, RouteTable, RouteType, digest,
};
use juniperwing_protocol::identity::ServiceName;
use serde_json::{Value, json};

#[test]
fn every_field_is_read() {
    let configuration = read_valid(|_| {});
    assert_eq!(configuration.generation, 7);
    assert_eq!(configuration.limits, DEFAULT_LIMITS);
    let route = &configuration.routes[0];
    assert_eq!(&*route.name.0, "r-first");
    assert_eq!(&*route.hostname, "host.example");
    assert_eq!(&*route.path_prefix, "/first/");
    assert_eq!(route.route_type, RouteType::Streaming { resumable: false });
    assert_eq!(route.timeout, Span::from_millis(5000));
    assert_eq!(route.target_latency, Some(Span::from_millis(250)));
    assert_eq!(route.priority, 0);
    assert_eq!(route.max_retries, 2);
    assert!(route.stores_turns);
    assert_eq!(route.retention, Span::from_millis(60_000));
    assert!(route.session_affinity);
    assert_eq!(route.target_event_gap, Some(Span::from_millis(400)));
    let service = &configuration.services[0];
    assert_eq!(service.name, ServiceName::from("models"));
    assert_eq!(service.health_check.as_deref(), Some("/healthz"));
    assert_eq!(service.max_connections, Some(200));
    assert_eq!(service.protocol.as_deref(), Some("h1"));
    assert!(!service.tls);
    let engine = service.engine.as_ref().expect("an engine");
    assert_eq!(engine.capacity, Some(16));
    assert_eq!(engine.kv_tokens, Some(200_000));
    assert_eq!(engine.kv_bytes, Some(100_000));
    assert_eq!(engine.link_mbps, Some(10_000.0));
    assert_eq!(engine.tokens_per_event, 2);
    assert_eq!(&*engine.models[0].0, "m");
    assert!(configuration.services[1].engine.is_none());
}

#[test]
fn route_types_that_are_retryable() {
    assert!(RouteType::Idempotent.is_retryable());
    assert!(RouteType::Streaming { resumable: true }.is_retryable());
    assert!(!RouteType::Streaming { resumable: false }.is_retryable());
    assert!(!RouteType::NonIdempotent.is_retryable());
}

#[test]
fn resumable_has_no_effect_on_routes_other_than_streams() {
    let configuration = read_valid(|value| {
        value["routes"][1]["routeType"] = json!("non_idempotent");
    });
    assert!(!configuration.routes[1].is_retryable());
}

#[test]
fn unknown_fields_are_ignored() {
    let configuration = read_valid(|value| {
        value["future"] = json!({ "a": [1, 2] });
        value["routes"][0]["future"] = json!(null);
        value["routes"][1]["weightedBackends"][0]["future"] = json!("b");
        value["backends"][0]["engine"]["future"] = json!(-1);
        value["limits"]["future"] = json!([]);
    });
    assert_eq!(configuration, read_valid(|_| {}));
}

#[test]
fn missing_limits_have_defaults() {
    assert_eq!(read_valid(|value| remove(value, "limits")).limits, DEFAULT_LIMITS);
    assert_eq!(read_valid(|value| value["limits"] = Value::Null).limits, DEFAULT_LIMITS);
    let one = read_valid(|value| value["limits"] = json!({ "maxBodyBytes": 10 })).limits;
    assert_eq!(one.max_body_bytes, 10);
    assert_eq!(one.idle_timeout, DEFAULT_LIMITS.idle_timeout);
}

#[test]
fn missing_fields_of_a_route_have_defaults() {
    let configuration = read_valid(|value| {
        value["routes"] = json!([
            { "hostname": "a", "pathPrefix": "/", "timeoutMs": 0.5, "backend": "plain", "maxRetries": 0 }
        ]);
    });
    let route = &configuration.routes[0];
    assert_eq!(route.timeout, Span::from_nanos(500_000));
    assert_eq!(route.route_type, RouteType::NonIdempotent);
    assert_eq!(route.target_latency, None);
    assert_eq!(route.max_retries, 1);
    assert_eq!(route.retention, DEFAULT_RETENTION);
    assert_eq!(route.target_event_gap, None);
    assert!(!route.stores_turns && !route.session_affinity);
}

#[test]
fn max_retries_is_one_by_default() {
    let configuration = read_valid(|value| remove(&mut value["routes"][0], "maxRetries"));
    assert_eq!(configuration.routes[0].max_retries, 1);
}

#[test]
fn lists_may_be_empty() {
    let configuration = read_valid(|value| {
        value["routes"] = json!([]);
        value["backends"] = json!([]);
    });
    assert!(configuration.routes.is_empty());
    assert!(RouteTable::new(&configuration).lookup("host.example", "/first/").is_none());
}

#[test]
fn two_hosts_may_have_the_same_prefix() {
    read_valid(|value| {
        value["routes"][1]["pathPrefix"] = json!("/first/");
        value["routes"][1]["hostname"] = json!("other.example");
    });
}

#[test]
fn two_routes_may_have_the_same_name() {
    read_valid(|value| value["routes"][1]["name"] = json!("r-first"));
}

#[test]
fn the_single_service_is_used_if_the_weights_are_null_or_empty() {
    for weights in [json!(null), json!([])] {
        let configuration = read_valid(|value| value["routes"][0]["weightedBackends"] = weights);
        assert_eq!(configuration.routes[0].service_for(0), &ServiceName::from("models"));
    }
}

#[test]
fn white_space_around_a_configuration_is_ignored() {
    let text = format!("\r\n\t {} \n", valid());
    Configuration::read(text.as_bytes()).expect("valid");
}

#[test]
fn only_a_higher_generation_may_follow() {
    let configuration = read_valid(|_| {});
    assert!(configuration.check_generation_follows(0).is_ok());
    assert!(configuration.check_generation_follows(6).is_ok());
    for current in [7, 8, u64::MAX] {
        let findings = configuration.check_generation_follows(current).expect_err("too low");
        assert_eq!(findings.to_string(), format!("generation: 7 is not above {current}, which is in force"));
    }
}

#[test]
fn large_generations_are_exact() {
    let configuration = read_valid(|value| value["generation"] = json!(u64::MAX));
    assert_eq!(configuration.generation, u64::MAX);
    assert!(configuration.check_generation_follows(u64::MAX - 1).is_ok());
}

#[test]
fn weights_determine_the_shares() {
    let configuration = read_valid(|_| {});
    let route = &configuration.routes[1];
    let step = u64::MAX / 1000;
    let chosen = (0..1000).map(|index| route.service_for(step * index));
    let models = chosen.filter(|service| &*service.0 == "models").count();
    assert!((899..=901).contains(&models), "{models}");
    assert_eq!(route.service_for(u64::MAX), &ServiceName::from("plain"));
}

#[test]
fn weight_zero_is_never_chosen() {
    let configuration = read_valid(|value| {
        value["routes"][1]["weightedBackends"] = json!([
            { "backend": "plain", "weight": 0 },
            { "backend": "models", "weight": 0.25 },
            { "backend": "plain", "weight": 0 }
        ]);
    });
    let route = &configuration.routes[1];
    for random in [0, 1, u64::MAX / 2, u64::MAX - 1, u64::MAX] {
        assert_eq!(route.service_for(random), &ServiceName::from("models"));
    }
    assert_eq!(route.services.iter().count(), 1);
}

#[test]
fn an_order_digest_identifies_base_and_body() {
    let order = digest(5, b"body");
    assert_eq!(order, digest(5, b"body"));
    assert_ne!(order, digest(6, b"body"));
    assert_ne!(order, digest(5, b"body "));
    let encoded = postcard::to_stdvec(&order).expect("encoded");
    assert_eq!(postcard::from_bytes(&encoded), Ok(order));
}

/// The expected value is the first 16 bytes of SHA-256 over the base (eight bytes, little-endian) and the body.
#[test]
fn digests_are_stable() {
    assert_eq!(digest(5, b"body").to_string(), "5dd5a9d8267a2af58475eeb9fb350117");
}
