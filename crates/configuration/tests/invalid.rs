//! Invalid configurations, and the locations of their findings.

mod common;

use common::{findings_of, read, remove, valid};
use juniperwing_configuration::{Configuration, Location, MAX_CONFIGURATION_BYTES, MAX_FINDINGS, Position};
use serde_json::{Value, json};

/// Asserts that a modification causes exactly this one finding.
#[track_caller]
fn assert_one(change: impl FnOnce(&mut Value), expected: &str) {
    assert_eq!(findings_of(change), [expected]);
}

#[test]
fn unknown_services() {
    assert_one(
        |value| value["routes"][0]["backend"] = json!("nobody"),
        "routes[0].backend: no service has the name \"nobody\"",
    );
    assert_one(
        |value| value["routes"][1]["weightedBackends"][1]["backend"] = json!("nobody"),
        "routes[1].weightedBackends[1].backend: no service has the name \"nobody\"",
    );
}

#[test]
fn an_unknown_service_with_weight_zero() {
    let weights = json!([{ "backend": "models", "weight": 1 }, { "backend": "nobody", "weight": 0 }]);
    assert_one(
        |value| value["routes"][1]["weightedBackends"] = weights,
        "routes[1].weightedBackends[1].backend: no service has the name \"nobody\"",
    );
}

#[test]
fn duplicate_host_and_prefix() {
    for hostname in ["host.example", "HOST.example", "host.example:80"] {
        assert_one(
            |value| {
                value["routes"][1]["pathPrefix"] = json!("/first/");
                value["routes"][1]["hostname"] = json!(hostname);
            },
            "routes[1].pathPrefix: routes[0] has the same host and prefix",
        );
    }
}

#[test]
fn weights_that_add_up_to_zero() {
    let weights = [
        json!([{ "backend": "models", "weight": 0 }, { "backend": "plain", "weight": 0.0 }]),
        json!([{ "backend": "models" }]),
    ];
    for weights in weights {
        assert_one(
            |value| value["routes"][1]["weightedBackends"] = weights,
            "routes[1].weightedBackends: the weights add up to 0",
        );
    }
}

#[test]
fn weights_that_add_up_to_zero_despite_a_single_service() {
    assert_one(
        |value| value["routes"][0]["weightedBackends"] = json!([{ "backend": "models", "weight": 0 }]),
        "routes[0].weightedBackends: the weights add up to 0",
    );
}

#[test]
fn a_negative_weight_beside_a_positive_one() {
    let weights = json!([{ "backend": "models", "weight": 5 }, { "backend": "plain", "weight": -5 }]);
    assert_one(
        |value| value["routes"][1]["weightedBackends"] = weights,
        "routes[1].weightedBackends[1].weight: -5 is below 0",
    );
}

#[test]
fn a_route_needs_a_timeout() {
    for zero in [json!(0), json!(0.0), json!(-0.0)] {
        assert_one(|value| value["routes"][1]["timeoutMs"] = zero, "routes[1].timeoutMs: must be above 0");
    }
    assert_one(|value| remove(&mut value["routes"][0], "timeoutMs"), "routes[0].timeoutMs: missing");
    assert_one(|value| value["routes"][0]["timeoutMs"] = json!(null), "routes[0].timeoutMs: missing");
}

#[test]
fn numbers_out_of_range() {
    assert_one(|value| value["routes"][1]["timeoutMs"] = json!(-1), "routes[1].timeoutMs: -1 is below 0");
    assert_one(
        |value| value["routes"][0]["timeoutMs"] = json!(1e300),
        &format!("routes[0].timeoutMs: {} is too great; 31622400000 at most", 1e300),
    );
    assert_one(
        |value| value["routes"][0]["maxRetries"] = json!(1.5),
        "routes[0].maxRetries: 1.5 is not a whole number",
    );
    assert_one(|value| value["routes"][0]["retentionS"] = json!(-2), "routes[0].retentionS: -2 is below 0");
    assert_one(
        |value| value["backends"][1]["maxConnections"] = json!(-3),
        "backends[1].maxConnections: -3 is below 0",
    );
    assert_one(
        |value| value["backends"][0]["engine"]["kvTokens"] = json!(-4),
        "backends[0].engine.kvTokens: -4 is below 0",
    );
    assert_one(|value| value["limits"]["maxBodyBytes"] = json!(-5), "limits.maxBodyBytes: -5 is below 0");
}

#[test]
fn no_service() {
    assert_one(
        |value| remove(&mut value["routes"][0], "backend"),
        "routes[0].backend: neither backend nor weightedBackends is given",
    );
    assert_one(
        |value| value["routes"][1]["weightedBackends"] = json!([]),
        "routes[1].backend: neither backend nor weightedBackends is given",
    );
}

#[test]
fn duplicate_service_names() {
    assert_one(
        |value| {
            let duplicate = value["backends"][0].clone();
            value["backends"].as_array_mut().expect("a list").push(duplicate);
        },
        "backends[2].name: backends[0] has the same name",
    );
}

#[test]
fn prefixes_without_slash() {
    for prefix in ["first/", "/first", "first"] {
        assert_one(
            |value| value["routes"][0]["pathPrefix"] = json!(prefix),
            &format!("routes[0].pathPrefix: {prefix:?} does not begin and end with a slash"),
        );
    }
    assert_one(|value| value["routes"][0]["pathPrefix"] = json!(""), "routes[0].pathPrefix: empty");
    assert_one(|value| remove(&mut value["routes"][0], "pathPrefix"), "routes[0].pathPrefix: missing");
}

#[test]
fn missing_names() {
    assert_one(|value| remove(&mut value["routes"][0], "hostname"), "routes[0].hostname: missing");
    assert_one(|value| value["routes"][0]["hostname"] = json!(":80"), "routes[0].hostname: empty");
    assert_one(|value| remove(value, "generation"), "generation: missing");
    assert_one(
        |value| value["backends"].as_array_mut().expect("a list").push(json!({})),
        "backends[2].name: missing",
    );
}

#[test]
fn missing_lists() {
    for list in ["routes", "backends"] {
        let findings = findings_of(|value| remove(value, list));
        assert_eq!(findings.len(), 1);
        assert!(findings[0].ends_with(&format!("does not fit: missing field `{list}`")), "{findings:?}");
    }
}

#[test]
fn unknown_route_types() {
    assert_one(
        |value| value["routes"][0]["routeType"] = json!("sometimes"),
        "routes[0].routeType: \"sometimes\" is not one of streaming, idempotent, non_idempotent",
    );
}

#[test]
fn all_findings_are_reported_together() {
    let findings = findings_of(|value| {
        remove(value, "generation");
        value["limits"]["idleTimeoutMs"] = json!(-1);
        value["backends"][1]["name"] = json!("models");
        value["routes"][0]["timeoutMs"] = json!(0);
        value["routes"][0]["backend"] = json!("nobody");
        value["routes"][1]["hostname"] = json!("HOST.EXAMPLE");
        value["routes"][1]["pathPrefix"] = json!("/first/");
        value["routes"][1]["weightedBackends"][0]["weight"] = json!(0);
        value["routes"][1]["weightedBackends"][1]["weight"] = json!(0);
    });
    let expected = [
        "generation: missing",
        "limits.idleTimeoutMs: -1 is below 0",
        "backends[1].name: backends[0] has the same name",
        "routes[0].timeoutMs: must be above 0",
        "routes[0].backend: no service has the name \"nobody\"",
        "routes[1].pathPrefix: routes[0] has the same host and prefix",
        "routes[1].weightedBackends: the weights add up to 0",
        "routes[1].weightedBackends[1].backend: no service has the name \"plain\"",
    ];
    assert_eq!(findings, expected);
}

#[test]
fn wrong_types_are_reported_together() {
    let findings = findings_of(|value| {
        value["generation"] = json!(-7);
        value["routes"][0]["timeoutMs"] = json!("5000");
        value["routes"][1]["weightedBackends"][1]["weight"] = json!([]);
        value["backends"][0]["engine"] = json!(3);
        value["limits"] = json!([]);
    });
    let expected = [
        "generation: does not fit: invalid value: integer `-7`, expected u64",
        "routes[0].timeoutMs: does not fit: invalid type: string \"5000\", expected f64",
        "routes[1].weightedBackends[1].weight: does not fit: invalid type: sequence, expected f64",
        "backends[0].engine: does not fit: invalid type: integer `3`, expected an object",
        "limits: does not fit: invalid type: sequence, expected an object",
    ];
    assert_eq!(findings, expected);
}

#[test]
fn arrays_are_not_objects() {
    assert!(read(&json!([1, [], []])).is_err());
    assert!(read(&json!({ "generation": 1, "routes": [["r"]], "backends": [["b"]] })).is_err());
}

#[test]
fn text_that_is_not_json() {
    let text = "{\"generation\":7,\n \"routes\":[{\"name\":}]}";
    let findings = Configuration::read(text.as_bytes()).expect_err("not JSON");
    let position = Some(Position { line: 2, column: 20 });
    assert_eq!(findings.listed()[0].location, Location { path: "routes[0].name".into(), position });
    assert_eq!(findings.to_string(), "routes[0].name (line 2, column 20): cannot be read: expected value");
}

#[test]
fn truncated_text_after_a_wrong_type() {
    let findings = Configuration::read(b"{\"generation\":\"7\",\"routes\":[").expect_err("truncated");
    assert_eq!(findings.to_string(), "line 1, column 28: cannot be read: EOF while parsing a list");
}

#[test]
fn trailing_characters() {
    for trailing in ["{}", "x", "]", "\0"] {
        let text = format!("{}{trailing}", valid());
        let findings = Configuration::read(text.as_bytes()).expect_err("trailing characters");
        assert!(findings.to_string().ends_with("cannot be read: trailing characters"), "{findings}");
    }
}

#[test]
fn bytes_that_are_not_a_configuration() {
    for bytes in [&b""[..], b" ", b"null", b"7", b"\xff\xfe", b"{\"a\":\"\xc3\"}"] {
        assert!(Configuration::read(bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn duplicate_fields() {
    let text = valid().to_string().replacen("\"generation\":7", "\"generation\":7,\"generation\":8", 1);
    let findings = Configuration::read(text.as_bytes()).expect_err("duplicate field");
    assert!(findings.to_string().contains("duplicate field `generation`"), "{findings}");
}

#[test]
fn too_many_bytes() {
    let text = " ".repeat(MAX_CONFIGURATION_BYTES + 1);
    let findings = Configuration::read(text.as_bytes()).expect_err("too large");
    assert_eq!(findings.to_string(), "the configuration: 16777217 bytes are too many; 16777216 at most");
}

#[test]
fn deep_nesting() {
    let text = format!("{{\"future\":{}", "[".repeat(100_000));
    assert!(Configuration::read(text.as_bytes()).is_err());
}

#[test]
fn the_list_of_findings_is_bounded() {
    let mut value = valid();
    value["routes"] = json!(vec![json!({}); 1000]);
    let findings = read(&value).expect_err("invalid");
    assert_eq!(findings.listed().len(), MAX_FINDINGS);
    assert_eq!(findings.omitted(), 4 * 1000 - MAX_FINDINGS);
    assert!(findings.to_string().ends_with("; and 3900 more"));
}

#[test]
fn long_texts_are_truncated_in_findings() {
    let long = "ä".repeat(10_000);
    let findings = findings_of(|value| value["routes"][0]["backend"] = json!(long));
    assert!(findings[0].len() < 400);
    let findings = findings_of(|value| value["routes"][0]["timeoutMs"] = json!(long));
    assert!(findings[0].len() < 400);
}

#[test]
fn findings_as_json() {
    let mut value = valid();
    value["routes"][0]["timeoutMs"] = json!(0);
    let findings = read(&value).expect_err("invalid");
    let expected = json!({
        "findings": [{ "place": { "path": "routes[0].timeoutMs" }, "problem": "must be above 0" }],
        "omitted": 0
    });
    assert_eq!(serde_json::to_value(&findings).expect("JSON"), expected);
    let findings = Configuration::read(b"{").expect_err("truncated");
    let expected = json!({ "path": "", "line": 1, "column": 1 });
    assert_eq!(serde_json::to_value(&findings).expect("JSON")["findings"][0]["place"], expected);
}
