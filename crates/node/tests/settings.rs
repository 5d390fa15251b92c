//! Settings are read as the platform writes them; what does not fit is told with its key.

use std::path::Path;

use juniperwing_clock::Span;
use juniperwing_node::link::LINK_TIMEOUT;
use juniperwing_node::settings::{CALLER_TIMEOUT, Port, Settings};

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
    assert_eq!(settings.required_replicas(), 2);
    assert_eq!((settings.bounds.drain_ms, settings.bounds.config_apply_ms), (2_000, 1_500));
    assert_eq!(settings.bounds.contact_ms, 3_000);
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
fn a_keeper_s_times_follow_from_the_bounds() {
    let times = parse(CORE).unwrap().control_timings();
    assert_eq!(times.contact_window, Span::from_millis(1_200));
    assert_eq!(times.configuration_apply_timeout.as_millis(), 375);
    let longer = CORE.replace("contactMs = 3000", "contactMs = 4000").replace("Ms = 1500", "Ms = 9000");
    let times = parse(&longer).unwrap().control_timings();
    assert_eq!(times.contact_window, Span::from_millis(1_600));
    // The rest of the caller's second is for committing, whatever the bounds allow.
    assert_eq!(times.configuration_apply_timeout.as_millis(), 500);
}

/// Guard: each wait ends before the one that contains it, and the outermost before the caller's second.
#[test]
fn nested_waits_end_in_time_for_the_caller_whatever_the_bounds() {
    for bound in [1_200, 2_000, 4_000, 60_000] {
        let text = ["contactMs = 3000", "drainMs = 2000", "configApplyMs = 1500", "ackMs = 4000"]
            .iter()
            .fold(CORE.to_owned(), |text, line| {
                text.replace(line, &format!("{}= {bound}", line.split('=').next().unwrap()))
            });
        let times = parse(&text).unwrap().control_timings();
        assert!(times.subscriber_apply_timeout < times.peer_reply_timeout);
        assert!(times.peer_reply_timeout < times.propagation_timeout);
        assert!(times.propagation_timeout < CALLER_TIMEOUT);
        assert!(times.configuration_apply_timeout < CALLER_TIMEOUT / 2 + CALLER_TIMEOUT / 10);
        assert!(times.contact_window < Span::from_millis(bound));
        // At a dead link's time-out the subscriber is known dead, so that it cannot refuse ends for long.
        assert!(times.propagation_timeout >= LINK_TIMEOUT);
    }
}

#[test]
fn bounds_that_no_keeper_can_meet_are_told_and_served_as_well_as_can_be() {
    let text = CORE
        .replace("contactMs = 3000", "contactMs = 1199")
        .replace("ackMs = 4000", "ackMs = 999")
        .replace("drainMs = 2000", "drainMs = 699")
        .replace("configApplyMs = 1500", "configApplyMs = 0");
    let settings = parse(&text).unwrap();
    let told = settings.bounds.too_short().join("; ");
    for key in ["bounds.contactMs", "bounds.ackMs", "bounds.drainMs", "bounds.configApplyMs"] {
        assert!(told.contains(key), "{told}");
    }
    // Two reports between keepers fit in the window, so contact is not lost by its own rhythm.
    assert!(settings.control_timings().contact_window >= Span::from_millis(900));
    assert!(parse(CORE).unwrap().bounds.too_short().is_empty());
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
