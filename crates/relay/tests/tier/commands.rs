//! Commands that only read and print.

use std::path::PathBuf;

use crate::process::run;

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn deployed(file: &str) -> String {
    format!("{}/../../deploy/local/{file}", env!("CARGO_MANIFEST_DIR"))
}

/// A file for one test.
fn file(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("juniperwing-commands-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path
}

#[test]
fn help_lists_every_command() {
    let output = run(&["help"]);
    let help = text(&output.stdout);
    let commands =
        ["serve", "check-config", "relay", "keeper", "store", "check-configuration", "local", "endpoint"];
    for command in commands.into_iter().chain(["version", "help"]) {
        assert!(help.contains(&format!("\n  {command} ")), "{command}\n{help}");
    }
    for command in ["relay", "keeper", "store", "check-configuration", "local", "endpoint"] {
        let output = run(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0), "{command}");
        assert!(text(&output.stdout).contains(&format!("juniperwing {command}")), "{command}");
    }
    assert!(text(&run(&["endpoint", "--help"]).stdout).contains("stand-in"));
}

#[test]
fn check_prints_the_settings_of_a_role() {
    let output = run(&["keeper", "--check", "--settings", &deployed("three/keeper-2.toml")]);
    assert_eq!(output.status.code(), Some(0));
    let said = text(&output.stdout);
    for line in [
        "keeper keeper-2 in zone local",
        "listens on 127.0.0.2:8144 for endpoints and operators",
        "listens on 127.0.0.2:7381 for the tier",
        "seed keepers: 127.0.0.1:7381, 127.0.0.2:7381, 127.0.0.3:7381",
        "keeps its data in target/local/three/keeper-2",
        "bears the loss of 1 machines: 2 copies of what is acknowledged",
    ] {
        assert!(said.lines().any(|said| said == line), "{line}\n{said}");
    }
}

#[test]
fn check_names_the_missing_keys_of_a_role() {
    let output = run(&["keeper", "--check", "--settings", &deployed("three/relay-1.toml")]);
    assert_eq!(output.status.code(), Some(2));
    let said = text(&output.stderr);
    assert!(said.contains("listenersMap.controlPlane: missing"), "{said}");
    assert!(said.contains("dataDirectory: missing"), "{said}");
}

#[test]
fn a_valid_configuration_is_described() {
    let output = run(&["check-configuration", &deployed("configuration.json")]);
    assert_eq!(output.status.code(), Some(0));
    let said = text(&output.stdout);
    assert!(said.contains("route demo.example/echo/: idempotent, up to 5 s, up to 2 endpoints\n"), "{said}");
    assert!(said.contains("service demo\n"), "{said}");
}

#[test]
fn all_findings_of_a_configuration_are_listed_with_their_places() {
    let routes =
        r#"{"hostname":"h","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":0,"backend":"x"}"#;
    let path = file("wrong.json", &format!(r#"{{"generation":1,"routes":[{routes}],"backends":[]}}"#));
    let output = run(&["check-configuration", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(1));
    let said = text(&output.stdout);
    assert!(said.contains("routes[0].timeoutMs: must be above 0\n"), "{said}");
    assert!(said.contains(r#"routes[0].backend: no service has the name "x""#), "{said}");
}

#[test]
fn unreadable_files_and_arguments_are_reported() {
    let absent = run(&["check-configuration", "/nowhere/at/all.json"]);
    assert_eq!(absent.status.code(), Some(2));
    assert!(text(&absent.stderr).contains("/nowhere/at/all.json"));
    let path = file("torn.json", "{\"generation\":1,\n\"routes\":");
    let torn = run(&["check-configuration", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(torn.status.code(), Some(1));
    assert!(text(&torn.stdout).contains("line 2"), "{}", text(&torn.stdout));
    assert_eq!(run(&["local", "/nowhere/at/all"]).status.code(), Some(2));
    assert_eq!(run(&["endpoint", "--capacity", "many"]).status.code(), Some(2));
}
