//! Settings are read as the platform writes them; what does not fit is told with its key.

use std::path::Path;

use juniperwing_node::settings::{Port, Settings};

const CORE: &str = r#"
nodeName = "core-a-1"
role = "keeper"
machineClass = "core"
serves = ["control"]
ipAddress = "10.1.0.41"
zone = "a"
region = "north"
ephemeralPorts = [7380,7395]
seedNodes = ["10.1.0.41:8144","10.2.0.43:8144"]
bootstrap = true
countsForQuorum = true
dataDirectory = "/data/keeper"
heartbeatMs = 1200
somethingNew = { a = 1 }
[zones]
a = "north"
[listenersMap]
controlPlane = "10.1.0.41:8144"
[limits]
cpuQuota = 0.6
memoryMb = 256
maxFds = 4096
diskMb = 128
[faultTolerance]
machines = 1
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 8
configApplyMs = 1500
pass_ms = 120
"#;

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(Path::new("local.toml"), text).map_err(|e| e.to_string())
}

#[test]
fn the_platform_s_settings_are_read() {
    let settings = parse(CORE).unwrap();
    assert_eq!(settings.node_name, "core-a-1");
    assert_eq!(settings.own_address(Port::Keeper).to_string(), "10.1.0.41:7381");
    let seeds: Vec<String> = settings.seed_keepers().iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.1.0.41:7381", "10.2.0.43:7381"]);
    assert_eq!(settings.required_copies(), 2);
    assert_eq!(settings.spread_limit().as_millis(), 1_500);
    assert_eq!(settings.listeners_map.control_plane.unwrap().port(), 8_144);
    assert_eq!(settings.bounds.settle_ms, 1_000);
}

#[test]
fn a_missing_key_is_named() {
    let text = CORE.replace("ipAddress", "other");
    assert!(parse(&text).unwrap_err().contains("ipAddress"));
}

#[test]
fn all_findings_are_told_together() {
    let text =
        CORE.replace("[7380,7395]", "[7380,7381]").replace("1200", "0").replace("graceS = 8", "graceS = nan");
    let told = parse(&text).unwrap_err();
    for key in ["ephemeralPorts", "heartbeatMs", "bounds.graceS"] {
        assert!(told.contains(key), "{told}");
    }
}

#[test]
fn a_torn_file_is_refused() {
    assert!(parse(&CORE[..40]).is_err());
}

/// The keys that the structures of the settings have, by what reads them.
fn keys_read() -> Vec<String> {
    let source = include_str!("../src/settings.rs");
    let mut keys = Vec::new();
    let mut prefix = None;
    let mut renamed = None;
    let mut is_camel = false;
    for line in source.lines().map(str::trim) {
        if line.starts_with("#[serde(") && !line.contains("rename = ") {
            is_camel |= line.contains("rename_all = \"camelCase\"");
        } else if let Some(name) = line.strip_prefix("pub struct ") {
            prefix = prefix_of(name.trim_end_matches(" {"));
        } else if let Some(rename) = line.strip_prefix("#[serde(rename = \"") {
            renamed = rename.strip_suffix("\")]").map(str::to_owned);
        } else if line == "}" {
            (prefix, is_camel) = (None, false);
        } else if let (Some(prefix), Some((name, _))) =
            (prefix, line.strip_prefix("pub ").and_then(|field| field.split_once(": ")))
        {
            let plain = if is_camel { camel(name) } else { name.to_owned() };
            keys.push(format!("{prefix}{}", renamed.take().unwrap_or(plain)));
        }
    }
    // The tables stand in the list by their own keys.
    keys.retain(|key| !["listenersMap", "limits", "faultTolerance", "bounds"].contains(&key.as_str()));
    keys
}

fn prefix_of(structure: &str) -> Option<&'static str> {
    match structure {
        "Settings" => Some(""),
        "Listeners" => Some("listenersMap."),
        "Limits" => Some("limits."),
        "FaultTolerance" => Some("faultTolerance."),
        "Bounds" => Some("bounds."),
        _ => None,
    }
}

fn camel(name: &str) -> String {
    let mut words = name.split('_');
    let first = words.next().unwrap_or_default().to_owned();
    words.fold(first, |name, word| {
        let (head, tail) = word.split_at(1);
        name + &head.to_uppercase() + tail
    })
}

#[test]
fn the_page_lists_exactly_the_keys_that_are_read() {
    let page = include_str!("../../../docs/settings-system.md");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let mut listed: Vec<&str> = rows.filter_map(|row| row.split('`').next()).collect();
    let mut read = keys_read();
    listed.sort_unstable();
    read.sort_unstable();
    assert_eq!(listed, read);
}
