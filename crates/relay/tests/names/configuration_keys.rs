//! Keys of the notification relay's configuration and of an operator's configuration. A full configuration is checked,
//! then each key in turn is given a value of the wrong type. A key that is no longer recognised is ignored, and the
//! golden file shows that.

use serde_json::{Value, json};

use crate::golden::assert_golden;
use crate::program::TestDirectory;

/// Every key of a relay's configuration, with values other than the defaults.
const RELAY: &str = include_str!("full-relay.json");
/// Every key of an operator's configuration.
const OPERATOR: &str = include_str!("full-configuration.json");

fn parse(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

/// Collects JSON pointers to all nested values, parents before children.
fn collect_paths(value: &Value, path: &str, found: &mut Vec<String>) {
    let mut visit = |key: &str, value: &Value| {
        let path = format!("{path}/{key}");
        found.push(path.clone());
        collect_paths(value, &path, found);
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| visit(key, value)),
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(number, value)| visit(&number.to_string(), value));
        }
        _ => {}
    }
}

/// Returns a value of another type.
fn value_of_another_type(value: &Value) -> Value {
    if value.is_boolean() { json!("wrong") } else { json!(false) }
}

/// Returns the output of a check for the full file with a wrong type at each path in turn, one paragraph per path.
fn wrong_types(full: &str, check: impl Fn(&str) -> String) -> String {
    let full = parse(full);
    let mut found = Vec::new();
    collect_paths(&full, "", &mut found);
    let mut text = String::new();
    for path in found {
        let mut changed = full.clone();
        let value = changed.pointer_mut(&path).expect("a collected path");
        *value = value_of_another_type(value);
        let transcript = check(&changed.to_string());
        let (_, transcript) = transcript.split_once('\n').expect("a command line");
        let transcript = if transcript.contains("exit code 0") { "passed over\n\n" } else { transcript };
        text.push_str(&format!("{path}\n{}", without_type_names(transcript)));
    }
    text
}

/// Removes the names of Rust types, which the parser prints where it expected an object.
fn without_type_names(transcript: &str) -> String {
    let mut parts = transcript.split("expected struct ");
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        text.push_str("expected struct");
        text.push_str(part.trim_start_matches(char::is_alphanumeric));
    }
    text
}

/// Returns the output of `check-config` for a relay's configuration.
fn check_config(directory: &TestDirectory, text: &str) -> String {
    directory.write("config.json", text);
    directory.transcript(&["check-config", "--config", "config.json"])
}

/// Returns the output of `check-configuration` for an operator's configuration.
fn check_configuration(directory: &TestDirectory, text: &str) -> String {
    directory.write("configuration.json", text);
    directory.transcript(&["check-configuration", "configuration.json"])
}

#[test]
fn a_full_relay_configuration_is_described() {
    assert_golden("relay-config-check.txt", &check_config(&TestDirectory::new(), RELAY));
}

#[test]
fn a_wrong_type_in_a_relay_configuration_is_reported_with_its_key() {
    let directory = TestDirectory::new();
    assert_golden("relay-config-keys.txt", &wrong_types(RELAY, |text| check_config(&directory, text)));
}

#[test]
fn invalid_values_in_a_relay_configuration() {
    let directory = TestDirectory::new();
    let mut text = String::new();
    for (path, value) in [
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
        *changed.pointer_mut(path).expect("a known path") = value.clone();
        let transcript = check_config(&directory, &changed.to_string());
        text.push_str(&format!("{path} = {value}\n{transcript}"));
    }
    text.push_str(&check_config(&directory, "{}"));
    text.push_str(&check_config(&directory, "{"));
    assert_golden("relay-config-invalid.txt", &text);
}

/// Environment variables supply values missing from the file, which takes precedence over them.
#[test]
fn environment_variables_of_a_relay() {
    let directory = TestDirectory::new();
    let mut short = parse(RELAY);
    ["name", "listen", "discovery"].iter().for_each(|key| drop(short.as_object_mut().unwrap().remove(*key)));
    directory.write("short.json", &short.to_string());
    directory.write("full.json", RELAY);
    let transcript = |file: &str| {
        let mut command = directory.program(&["check-config"]);
        command.env("ROUTER_CONFIG", file).env("ROUTER_NAME", "named").env("ROUTER_STATE", ".");
        command.env("ROUTER_LISTEN", "127.0.0.1:1001").env("ROUTER_DISCOVERY", "127.0.0.1:1002");
        String::from_utf8(command.output().expect("the program runs").stdout).expect("UTF-8")
    };
    let begin = "named listens on 127.0.0.1:1001, asks 127.0.0.1:1002, keeps up to 5000000 bytes in .\n";
    assert!(transcript("short.json").starts_with(begin), "{}", transcript("short.json"));
    let begin = "relay-1 listens on 127.0.0.1:9001, asks 127.0.0.1:9002, keeps up to 5000000 bytes in .\n";
    assert!(transcript("full.json").starts_with(begin), "{}", transcript("full.json"));
}

#[test]
fn a_full_operator_configuration_is_described() {
    assert_golden("configuration-check.txt", &check_configuration(&TestDirectory::new(), OPERATOR));
}

#[test]
fn a_wrong_type_in_an_operator_configuration_is_reported_with_its_path() {
    let directory = TestDirectory::new();
    let text = wrong_types(OPERATOR, |text| check_configuration(&directory, text));
    assert_golden("configuration-keys.txt", &text);
}

#[test]
fn all_findings_of_an_invalid_operator_configuration() {
    let directory = TestDirectory::new();
    let wrong_types = json!({
        "generation": -1,
        "routes": [{"hostname": 1, "pathPrefix": null, "routeType": "unknown", "timeoutMs": "long"}],
        "backends": [{"name": "plain"}, {}],
        "limits": {"maxBodyBytes": "many"}
    });
    let inconsistent = json!({
        "generation": 1,
        "routes": [
            {"hostname": "", "pathPrefix": "first", "routeType": "idempotent", "timeoutMs": 0, "backend": "absent"},
            {"hostname": "h", "pathPrefix": "/a/", "routeType": "idempotent", "timeoutMs": 1, "maxRetries": -1,
                "weightedBackends": [{"backend": "plain", "weight": 0}]},
            {"hostname": "h", "pathPrefix": "/a/", "routeType": "streaming", "timeoutMs": 1}
        ],
        "backends": [{"name": "plain"}, {"name": "plain"}]
    });
    let text = check_configuration(&directory, &wrong_types.to_string())
        + &check_configuration(&directory, &inconsistent.to_string())
        + &check_configuration(&directory, "{}")
        + &check_configuration(&directory, "{\n\"generation\":");
    assert_golden("configuration-invalid.txt", &text);
}
