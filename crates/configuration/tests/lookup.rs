//! Route look-up in the routing table.

mod common;

use std::sync::Arc;

use common::{read, read_valid};
use juniperwing_configuration::{Configuration, Route, RouteTable};
use juniperwing_protocol::identity::ServiceName;
use proptest::prelude::*;
use serde_json::{Value, json};

/// Creates a configuration with one route per host and prefix.
fn configuration(routes: &[(String, String)]) -> Configuration {
    let routes: Vec<Value> = routes.iter().map(|(host, prefix)| route(host, prefix)).collect();
    let value = json!({ "generation": 1, "routes": routes, "backends": [{ "name": "s" }] });
    read(&value).expect("valid")
}

fn route(host: &str, prefix: &str) -> Value {
    json!({ "hostname": host, "pathPrefix": prefix, "timeoutMs": 1000, "backend": "s" })
}

/// The route for a path, found by a linear search.
fn lookup_by_linear_search<'a>(
    configuration: &'a Configuration, host: &str, path: &str,
) -> Option<&'a Arc<Route>> {
    let routes = configuration.routes.iter();
    let matching = routes.filter(|route| *route.hostname == *host && path.starts_with(&*route.path_prefix));
    matching.max_by_key(|route| route.path_prefix.len())
}

#[test]
fn the_longest_prefix_wins() {
    let routes = ["/", "/a/", "/a/b/", "/b/"].map(|prefix| ("h".to_owned(), prefix.to_owned()));
    let table = RouteTable::new(&configuration(&routes));
    let prefix_for = |path: &str| table.lookup("h", path).map(|route| route.path_prefix.to_string());
    assert_eq!(prefix_for("/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(prefix_for("/a/b/").as_deref(), Some("/a/b/"));
    assert_eq!(prefix_for("/a/b").as_deref(), Some("/a/"));
    assert_eq!(prefix_for("/a").as_deref(), Some("/"));
    assert_eq!(prefix_for("/A/").as_deref(), Some("/"));
    assert_eq!(prefix_for("*"), None);
    assert_eq!(prefix_for(""), None);
}

#[test]
fn a_query_is_not_part_of_the_path() {
    let routes = ["/a/", "/a/?b/"].map(|prefix| ("h".to_owned(), prefix.to_owned()));
    let table = RouteTable::new(&configuration(&routes));
    assert_eq!(&*table.lookup("h", "/a/?b/").expect("a route").path_prefix, "/a/");
    assert!(table.lookup("h", "/b?/a/").is_none());
}

#[test]
fn hosts_are_compared_without_case_and_port() {
    let table = RouteTable::new(&read_valid(|_| {}));
    for host in ["host.example", "HOST.Example", "host.example:8080", " Host.example:80"] {
        assert!(table.lookup(host, "/first/x").is_some(), "{host}");
    }
    for host in ["", ":80", "host", "host.example.", "other.example", "host.example:x"] {
        assert!(table.lookup(host, "/first/x").is_none(), "{host}");
    }
}

#[test]
fn ipv6_addresses_keep_their_colons() {
    let table = RouteTable::new(&configuration(&[("[fd00::1]".to_owned(), "/".to_owned())]));
    assert!(table.lookup("[FD00::1]:80", "/").is_some());
    assert!(table.lookup("[fd00::1]", "/").is_some());
    assert!(table.lookup("[fd00::2]", "/").is_none());
}

#[test]
fn services_are_found_by_name() {
    let table = RouteTable::new(&read_valid(|_| {}));
    assert_eq!(table.generation(), 7);
    assert_eq!(table.limits().max_header_bytes, 16_384);
    assert!(table.service(&ServiceName::from("models")).expect("a service").engine.is_some());
    assert!(table.service(&ServiceName::from("nobody")).is_none());
}

#[test]
fn many_routes() {
    let routes: Vec<_> =
        (0..5000).map(|index| (format!("h{}.example", index % 3), format!("/p{index}/"))).collect();
    let configuration = configuration(&routes);
    let table = RouteTable::new(&configuration);
    for (host, prefix) in &routes {
        let route = table.lookup(host, &format!("{prefix}tail")).expect("a route");
        assert_eq!((&*route.hostname, &*route.path_prefix), (host.as_str(), prefix.as_str()));
    }
    assert!(table.lookup("h0.example", "/p1/").is_none());
}

/// Validation must not take quadratic time, which for 40,000 routes would be 1.6 billion steps.
#[test]
fn many_duplicate_routes_are_reported() {
    let routes = vec![route("h", "/same/"); 40_000];
    let value = json!({ "generation": 1, "routes": routes, "backends": [{ "name": "s" }] });
    let findings = read(&value).expect_err("shared host and prefix");
    assert_eq!(findings.listed().len() + findings.omitted(), 39_999);
}

proptest! {
    #[test]
    fn lookup_equals_linear_search(
        routes in prop::collection::btree_set(("[ab]", "/([abä]{1,2}/){0,3}"), 0..40),
        paths in prop::collection::vec("(/|[abä]){0,10}", 1..20),
    ) {
        let routes: Vec<(String, String)> = routes.into_iter().collect();
        let configuration = configuration(&routes);
        let table = RouteTable::new(&configuration);
        for path in &paths {
            for host in ["a", "b", "c"] {
                prop_assert_eq!(table.lookup(host, path), lookup_by_linear_search(&configuration, host, path));
            }
        }
    }

    #[test]
    fn lookup_accepts_any_text(host in ".*", path in ".*") {
        let _ = RouteTable::new(&read_valid(|_| {})).lookup(&host, &path);
    }

    #[test]
    fn chosen_services_have_a_positive_weight(weights in prop::collection::vec(0_u8..3, 1..6), random: u64) {
        prop_assume!(weights.iter().any(|weight| *weight > 0));
        let names: Vec<String> = (0..weights.len()).map(|index| format!("s{index}")).collect();
        let backends: Vec<Value> = names.iter().map(|name| json!({ "name": name })).collect();
        let targets: Vec<Value> = names.iter().zip(&weights)
            .map(|(name, weight)| json!({ "backend": name, "weight": weight })).collect();
        let configuration = read_valid(|value| {
            value["backends"] = json!(backends);
            value["routes"] = json!([
                { "hostname": "h", "pathPrefix": "/", "timeoutMs": 1, "weightedBackends": targets }
            ]);
        });
        let chosen = configuration.routes[0].service_for(random);
        let index = names.iter().position(|name| **name == *chosen.0).expect("one of them");
        prop_assert!(weights[index] > 0);
    }
}
