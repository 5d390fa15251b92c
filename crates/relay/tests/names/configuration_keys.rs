//! Keys of the relay's configuration for notifications and of an operator's configuration: a full one is checked, and
//! the same with a value of a wrong type for one key after the other. A key that no longer is one is passed over, which
//! shows.

use serde_json::{Value, json};

use crate::golden::assert_golden;
use crate::program::Folder;

/// Every key of a relay's configuration, with values that are no defaults.
const RELAY: &str = include_str!("full-relay.json");
/// Every key of an operator's configuration.
const OPERATOR: &str = include_str!("full-configuration.json");

fn parse(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

/// Pointers to all places in a value, each after those that it is in.
fn places(value: &Value, place: &str, found: &mut Vec<String>) {
    let mut visit = |key: &str, value: &Value| {
        let place = format!("{place}/{key}");
        found.push(place.clone());
        places(value, &place, found);
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| visit(key, value)),
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(number, value)| visit(&number.to_string(), value));
        }
        _ => {}
    }
}

/// A value that is of another type.
fn of_another_type(value: &Value) -> Value {
    if value.is_boolean() { json!("wrong") } else { json!(false) }
}

/// What a check says of the full one with a wrong type at each place in turn, a paragraph for each place.
fn wrong_types(full: &str, check: impl Fn(&str) -> String) -> String {
    let full = parse(full);
    let mut found = Vec::new();
    places(&full, "", &mut found);
    let mut text = String::new();
    for place in found {
        let mut changed = full.clone();
        let value = changed.pointer_mut(&place).expect("a place that was found");
        *value = of_another_type(value);
        let told = check(&changed.to_string());
        let (_, told) = told.split_once('\n').expect("a command line");
        let told = if told.contains("exit code 0") { "passed over\n\n" } else { told };
        text.push_str(&format!("{place}\n{}", without_type_names(told)));
    }
    text
}

/// Without the names of types in the code, which the parser tells where it expected an object.
fn without_type_names(told: &str) -> String {
    let mut parts = told.split("expected struct ");
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        text.push_str("expected struct");
        text.push_str(part.trim_start_matches(char::is_alphanumeric));
    }
    text
}

/// What `check-config` says of a relay's configuration.
fn check_config(folder: &Folder, text: &str) -> String {
    folder.write("config.json", text);
    folder.transcript(&["check-config", "--config", "config.json"])
}

/// What `check-configuration` says of an operator's configuration.
fn check_configuration(folder: &Folder, text: &str) -> String {
    folder.write("configuration.json", text);
    folder.transcript(&["check-configuration", "configuration.json"])
}

#[test]
fn a_full_relay_configuration_is_described() {
    assert_golden("relay-config-check.txt", &check_config(&Folder::new(), RELAY));
}

#[test]
fn a_wrong_type_in_a_relay_configuration_is_reported_with_its_key() {
    let folder = Folder::new();
    assert_golden("relay-config-keys.txt", &wrong_types(RELAY, |text| check_config(&folder, text)));
}

#[test]
fn invalid_values_in_a_relay_configuration() {
    let folder = Folder::new();
    let mut text = String::new();
    for (place, value) in [
        ("/name", json!("")),
        ("/listen", json!("nowhere")),
        ("/discovery", json!("")),
        ("/limits/sockets", json!(8)),
        ("/limits/disk_mb", json!(0)),
        ("/settings", json!({})),
        ("/settings/family-info/slots", json!(0)),
        ("/settings/ceilings/max-attempts", json!(0)),
        ("/settings/classes", json!([])),
        ("/settings/classes/0/name", json!("")),
        ("/settings/classes/0/semantics", json!("twice")),
        ("/settings/classes/1/dedup-scope", json!("street")),
        ("/settings/classes/0/late-value", json!(2)),
        ("/settings/rules/fall-multiple", json!(0.9)),
        ("/settings/rules/cold-from", json!(1.5)),
        ("/settings/costs/cross-zone", json!(-1)),
        ("/settings/kinds", json!(["a", "a"])),
    ] {
        let mut changed = parse(RELAY);
        *changed.pointer_mut(place).expect("a known place") = value.clone();
        let told = check_config(&folder, &changed.to_string());
        text.push_str(&format!("{place} = {value}\n{told}"));
    }
    text.push_str(&check_config(&folder, "{}"));
    text.push_str(&check_config(&folder, "{"));
    assert_golden("relay-config-invalid.txt", &text);
}

/// The variables give what the file does not, and the file goes before them.
#[test]
fn environment_variables_of_a_relay() {
    let folder = Folder::new();
    let mut short = parse(RELAY);
    ["name", "listen", "discovery"].iter().for_each(|key| drop(short.as_object_mut().unwrap().remove(*key)));
    folder.write("short.json", &short.to_string());
    folder.write("full.json", RELAY);
    let told = |file: &str| {
        let mut command = folder.program(&["check-config"]);
        command.env("ROUTER_CONFIG", file).env("ROUTER_NAME", "named").env("ROUTER_STATE", ".");
        command.env("ROUTER_LISTEN", "127.0.0.1:1001").env("ROUTER_DISCOVERY", "127.0.0.1:1002");
        String::from_utf8(command.output().expect("the program runs").stdout).expect("UTF-8")
    };
    let begin = "named listens on 127.0.0.1:1001, asks 127.0.0.1:1002, keeps up to 5000000 bytes in .\n";
    assert!(told("short.json").starts_with(begin), "{}", told("short.json"));
    let begin = "relay-1 listens on 127.0.0.1:9001, asks 127.0.0.1:9002, keeps up to 5000000 bytes in .\n";
    assert!(told("full.json").starts_with(begin), "{}", told("full.json"));
}

#[test]
fn a_full_operator_configuration_is_described() {
    assert_golden("configuration-check.txt", &check_configuration(&Folder::new(), OPERATOR));
}

#[test]
fn a_wrong_type_in_an_operator_configuration_is_reported_with_its_path() {
    let folder = Folder::new();
    let text = wrong_types(OPERATOR, |text| check_configuration(&folder, text));
    assert_golden("configuration-keys.txt", &text);
}

#[test]
fn all_findings_of_an_invalid_operator_configuration() {
    let folder = Folder::new();
    let of_wrong_types = json!({
        "generation": -1,
        "routes": [{"hostname": 1, "pathPrefix": null, "routeType": "unknown", "timeoutMs": "long"}],
        "backends": [{"name": "plain"}, {}],
        "limits": {"maxBodyBytes": "many"}
    });
    let that_do_not_fit = json!({
        "generation": 1,
        "routes": [
            {"hostname": "", "pathPrefix": "first", "routeType": "idempotent", "timeoutMs": 0, "backend": "absent"},
            {"hostname": "h", "pathPrefix": "/a/", "routeType": "idempotent", "timeoutMs": 1, "maxRetries": -1,
                "weightedBackends": [{"backend": "plain", "weight": 0}]},
            {"hostname": "h", "pathPrefix": "/a/", "routeType": "streaming", "timeoutMs": 1}
        ],
        "backends": [{"name": "plain"}, {"name": "plain"}]
    });
    let text = check_configuration(&folder, &of_wrong_types.to_string())
        + &check_configuration(&folder, &that_do_not_fit.to_string())
        + &check_configuration(&folder, "{}")
        + &check_configuration(&folder, "{\n\"generation\":");
    assert_golden("configuration-invalid.txt", &text);
}
