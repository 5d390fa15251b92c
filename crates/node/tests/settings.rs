//! Parsing of settings as written by the platform; invalid values are reported with their keys.

use std::path::Path;

use juniperwing_clock::Span;
use juniperwing_node::link::LINK_TIMEOUT;
use juniperwing_node::settings::{CALLER_TIMEOUT, InternalPort, Settings, SettingsError};

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

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(Path::new("local.toml"), text)
}

#[test]
fn the_settings_of_the_platform_are_parsed() {
    let settings = parse(CORE).unwrap();
    assert_eq!(settings.node_name, "core-a-1");
    assert_eq!(settings.own_address(InternalPort::Keeper).to_string(), "10.1.0.41:7381");
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
    assert!(parse(&text).unwrap_err().to_string().contains("ipAddress"));
}

#[test]
fn all_invalid_values_are_reported_together() {
    let text =
        CORE.replace("[7380,7395]", "[7380,7381]").replace("1200", "0").replace("graceS = 8", "graceS = nan");
    let error = parse(&text).unwrap_err().to_string();
    for key in ["ephemeralPorts", "heartbeatMs", "bounds.graceS"] {
        assert!(error.contains(key), "{error}");
    }
}

#[test]
fn timeouts_of_a_keeper_are_derived_from_the_bounds() {
    let timings = parse(CORE).unwrap().control_timings();
    assert_eq!(timings.contact_window, Span::from_millis(1_200));
    assert_eq!(timings.configuration_apply_timeout.as_millis(), 375);
    let longer = CORE.replace("contactMs = 3000", "contactMs = 4000").replace("Ms = 1500", "Ms = 9000");
    let timings = parse(&longer).unwrap().control_timings();
    assert_eq!(timings.contact_window, Span::from_millis(1_600));
    // The rest of the caller's timeout is reserved for committing, whatever the bounds.
    assert_eq!(timings.configuration_apply_timeout.as_millis(), 500);
}

/// Each timeout must be shorter than the enclosing one, and the outermost one shorter than the caller's.
#[test]
fn nested_timeouts_are_shorter_than_the_callers_whatever_the_bounds() {
    for bound in [1_200, 2_000, 4_000, 60_000] {
        let text = ["contactMs = 3000", "drainMs = 2000", "configApplyMs = 1500", "ackMs = 4000"]
            .iter()
            .fold(CORE.to_owned(), |text, line| {
                text.replace(line, &format!("{}= {bound}", line.split('=').next().unwrap()))
            });
        let timings = parse(&text).unwrap().control_timings();
        assert!(timings.subscriber_apply_timeout < timings.peer_reply_timeout);
        assert!(timings.peer_reply_timeout < timings.propagation_timeout);
        assert!(timings.propagation_timeout < CALLER_TIMEOUT);
        assert!(timings.configuration_apply_timeout < CALLER_TIMEOUT / 2 + CALLER_TIMEOUT / 10);
        assert!(timings.contact_window < Span::from_millis(bound));
        // A dead subscriber is detected by the timeout of its link, so that it cannot block deregistrations for long.
        assert!(timings.propagation_timeout >= LINK_TIMEOUT);
    }
}

#[test]
fn bounds_that_no_keeper_can_meet_are_reported_and_approximated() {
    let text = CORE
        .replace("contactMs = 3000", "contactMs = 1199")
        .replace("ackMs = 4000", "ackMs = 999")
        .replace("drainMs = 2000", "drainMs = 699")
        .replace("configApplyMs = 1500", "configApplyMs = 0");
    let settings = parse(&text).unwrap();
    let unachievable = settings.bounds.unachievable_bounds().join("; ");
    for key in ["bounds.contactMs", "bounds.ackMs", "bounds.drainMs", "bounds.configApplyMs"] {
        assert!(unachievable.contains(key), "{unachievable}");
    }
    // Two reports between keepers fit in the window, so contact is not lost between them.
    assert!(settings.control_timings().contact_window >= Span::from_millis(900));
    assert!(parse(CORE).unwrap().bounds.unachievable_bounds().is_empty());
}

#[test]
fn a_truncated_file_is_rejected() {
    assert!(parse(&CORE[..40]).is_err());
}

/// Lists the keys of the settings by scanning the source of their structs.
fn keys_in_source() -> Vec<String> {
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
            let plain = if is_camel { camel_case(name) } else { name.to_owned() };
            keys.push(format!("{prefix}{}", renamed.take().unwrap_or(plain)));
        }
    }
    // Tables are listed by the keys in them.
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

fn camel_case(name: &str) -> String {
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
    let mut in_source = keys_in_source();
    listed.sort_unstable();
    in_source.sort_unstable();
    assert_eq!(listed, in_source);
}
