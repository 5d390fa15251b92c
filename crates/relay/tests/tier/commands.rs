//! Commands that only read input and print.

use std::path::PathBuf;

use juniperwing_node::build_info::{self, BuildInfo};

use crate::process::run_program;

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn deploy_path(file: &str) -> String {
    format!("{}/../../deploy/local/{file}", env!("CARGO_MANIFEST_DIR"))
}

/// Writes a file for one test.
fn write_file(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("juniperwing-commands-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path
}

#[test]
fn help_lists_every_command() {
    let output = run_program(&["help"]);
    let help = text(&output.stdout);
    let commands =
        ["serve", "check-config", "relay", "keeper", "store", "check-configuration", "local", "endpoint"];
    for command in commands.into_iter().chain(["version", "help"]) {
        assert!(help.contains(&format!("\n  {command} ")), "{command}\n{help}");
    }
    for command in ["relay", "keeper", "store", "check-configuration", "local", "endpoint"] {
        let output = run_program(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0), "{command}");
        assert!(text(&output.stdout).contains(&format!("juniperwing {command}")), "{command}");
    }
    assert!(text(&run_program(&["endpoint", "--help"]).stdout).contains("stand-in"));
}

#[test]
fn check_prints_the_settings_of_a_role() {
    let output = run_program(&["keeper", "--check", "--settings", &deploy_path("three/keeper-2.toml")]);
    assert_eq!(output.status.code(), Some(0));
    let printed = text(&output.stdout);
    for line in [
        "keeper keeper-2 in zone local",
        "listens on 127.0.0.2:8144 for endpoints and operators",
        "listens on 127.0.0.2:7381 for the tier",
        "seed keepers: 127.0.0.1:7381, 127.0.0.2:7381, 127.0.0.3:7381",
        "keeps its data in target/local/three/keeper-2",
        "bears the loss of 1 machines: 2 copies of what is acknowledged",
    ] {
        assert!(printed.lines().any(|printed| printed == line), "{line}\n{printed}");
    }
}

#[test]
fn check_names_the_missing_keys_of_a_role() {
    let output = run_program(&["keeper", "--check", "--settings", &deploy_path("three/relay-1.toml")]);
    assert_eq!(output.status.code(), Some(2));
    let printed = text(&output.stderr);
    assert!(printed.contains("listenersMap.controlPlane: missing"), "{printed}");
    assert!(printed.contains("dataDirectory: missing"), "{printed}");
}

// Guards against a log that does not tell which code runs.
#[test]
fn a_role_logs_which_build_it_is() {
    // The role ends at once, since settings are missing.
    let output = run_program(&["keeper", "--settings", &deploy_path("three/relay-1.toml")]);
    assert_eq!(output.status.code(), Some(1));
    let log = text(&output.stderr);
    let started = log.lines().find(|line| line.contains("\"msg\":\"process started\"")).expect(&log);
    let BuildInfo { version, source_digest } = build_info::CURRENT;
    assert_eq!(version, env!("CARGO_PKG_VERSION"));
    for (key, value) in [("version", version), ("source_digest", source_digest)] {
        assert!(started.contains(&format!("\"{key}\":\"{value}\"")), "{started}");
    }
}

#[test]
fn a_valid_configuration_is_described() {
    let output = run_program(&["check-configuration", &deploy_path("configuration.json")]);
    assert_eq!(output.status.code(), Some(0));
    let printed = text(&output.stdout);
    assert!(
        printed.contains("route demo.example/echo/: idempotent, up to 5 s, up to 2 endpoints\n"),
        "{printed}"
    );
    assert!(printed.contains("service demo\n"), "{printed}");
}

#[test]
fn all_findings_of_a_configuration_are_listed_with_their_paths() {
    let routes =
        r#"{"hostname":"h","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":0,"backend":"x"}"#;
    let path = write_file("wrong.json", &format!(r#"{{"generation":1,"routes":[{routes}],"backends":[]}}"#));
    let output = run_program(&["check-configuration", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(1));
    let printed = text(&output.stdout);
    assert!(printed.contains("routes[0].timeoutMs: must be above 0\n"), "{printed}");
    assert!(printed.contains(r#"routes[0].backend: no service has the name "x""#), "{printed}");
}

#[test]
fn unreadable_files_and_arguments_are_reported() {
    let absent = run_program(&["check-configuration", "/nowhere/at/all.json"]);
    assert_eq!(absent.status.code(), Some(2));
    assert!(text(&absent.stderr).contains("/nowhere/at/all.json"));
    let path = write_file("torn.json", "{\"generation\":1,\n\"routes\":");
    let torn = run_program(&["check-configuration", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(torn.status.code(), Some(1));
    assert!(text(&torn.stdout).contains("line 2"), "{}", text(&torn.stdout));
    assert_eq!(run_program(&["local", "/nowhere/at/all"]).status.code(), Some(2));
    assert_eq!(run_program(&["endpoint", "--capacity", "many"]).status.code(), Some(2));
}
