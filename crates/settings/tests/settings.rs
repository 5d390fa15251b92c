//! Validation errors, replacement of settings, and reading of rate limits.

use juniperwing_settings::{RawSettings, Settings};
use serde_json::{Value, json};

/// Settings that a relay can use.
fn valid() -> Value {
    json!({
        "family-info": { "slots": 4 },
        "ceilings": { "max-attempts": 2 },
        "classes": [
            { "name": "alerts", "semantics": "pure" },
            { "name": "invites", "semantics": "token", "dedup-scope": "zone" },
        ],
        "kinds": ["push", "mail"],
    })
}

fn read(raw: Value) -> RawSettings {
    serde_json::from_value(raw).expect("settings")
}

/// The error for valid settings with one value replaced, at a JSON pointer; `None` if they are still valid.
fn error_with(pointer: &str, value: Value) -> Option<String> {
    let mut raw = valid();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    match raw.pointer_mut(parent) {
        Some(Value::Array(items)) => items[key.parse::<usize>().expect("an index")] = value,
        Some(parent) => parent[key] = value,
        None => raw[&parent[1..]] = json!({ key: value }),
    }
    read(raw).validate().err().map(|error| error.to_string())
}

#[test]
fn valid_settings_have_no_error() {
    assert_eq!(read(valid()).validate(), Ok(()));
}

#[test]
fn an_error_names_the_key_as_it_is_written() {
    for (pointer, value, expected) in [
        ("/family-info/slots", json!(0), "settings.family-info.slots must be above 0"),
        ("/ceilings/max-attempts", json!(0), "settings.ceilings.max-attempts must be above 0"),
        ("/classes", json!([]), "settings.classes is empty, so no notification could be taken on"),
        ("/rules/fall-multiple", json!(0.5), "settings.rules.fall-multiple must be 1 or more"),
        ("/rules/cold-from", json!(0.0), "settings.rules.cold-from must be a share above 0, 1 at the most"),
        ("/rules/cold-from", json!(1.5), "settings.rules.cold-from must be a share above 0, 1 at the most"),
        ("/costs/cross-zone", json!(-1.0), "settings.costs.cross-zone must not be negative"),
        ("/classes/0/semantics", json!("x"), "settings.classes[0].semantics is no effect that is known"),
        ("/classes/1/dedup-scope", json!("x"), "settings.classes[1].dedup-scope is no group that is known"),
        ("/classes/0/late-value", json!(2.0), "settings.classes[0].late-value must be a share from 0 to 1"),
        ("/classes/0/name", json!(""), "settings.classes[0].name is empty or names another topic type"),
        ("/classes/1/name", json!("alerts"), "settings.classes[1].name is empty or names another topic type"),
        ("/kinds/1", json!("push"), "settings.kinds[1] names another kind"),
    ] {
        assert_eq!(error_with(pointer, value).as_deref(), Some(expected), "{pointer}");
    }
}

#[test]
fn values_at_the_limits_are_valid() {
    for (pointer, value) in [
        ("/rules/fall-multiple", json!(1.0)),
        ("/rules/cold-from", json!(1.0)),
        ("/classes/0/late-value", json!(1.0)),
        ("/classes/0/dedup-scope", json!("ignored unless the semantics are token")),
    ] {
        assert_eq!(error_with(pointer, value), None, "{pointer}");
    }
}

#[test]
fn a_replacement_needs_the_topic_types_and_kinds_in_use() {
    let current = Settings::from(&read(valid()));
    let mut raw = valid();
    raw["classes"] = json!([{ "name": "alerts", "semantics": "pure" }]);
    raw["kinds"] = json!(["push"]);
    let replacement = Settings::from(&read(raw));
    let error = |topic_types: &[&str], kinds: &[&str]| {
        let result =
            current.check_replacement(&replacement, topic_types.iter().copied(), kinds.iter().copied());
        result.err().map(|error| error.to_string())
    };
    assert_eq!(error(&["alerts", "unknown"], &["push", "unknown"]), None);
    assert_eq!(
        error(&["alerts", "invites"], &["mail"]).as_deref(),
        Some("settings.classes lacks \"invites\", which has pending notifications")
    );
    assert_eq!(
        error(&["alerts"], &["push", "mail"]).as_deref(),
        Some("settings.kinds lacks \"mail\", which has listed endpoints")
    );
}

#[test]
fn a_rate_limit_is_read_by_position_and_by_name() {
    let mut raw = valid();
    raw["load-report"] = json!({ "fields": ["load", "x1", "x0"] });
    let settings = Settings::from(&read(raw));
    let report = settings.rate_limit(&[9.0, 20.0, 0.5]).expect("a report");
    assert_eq!((report.remaining_fraction, report.rate_per_second), (0.5, 20.0));
    assert!(settings.rate_limit(&[9.0, 20.0]).is_none());
    let value = |name: &str| [("x0", 0.25), ("x1", 40.0)].iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
    let report = settings.rate_limit_by_name(value).expect("a report");
    assert_eq!((report.remaining_fraction, report.rate_per_second), (0.25, 40.0));
    assert!(Settings::default().rate_limit(&[0.5, 20.0]).is_none());
}
