//! The command line, settings and reloads.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::harness::{RelayHarness, TestServer, program};
use crate::support::run_program;

#[test]
fn a_reload_moves_the_watch_and_the_notices_to_the_new_address() {
    let mut harness = RelayHarness::start();
    let watch = harness.next_watch();
    assert_eq!(harness.connect_client().submit("once", "1", "k", b"x"), 202);
    harness.endpoint.next_message().respond("500 Internal Server Error", "", "");
    let (message, notice) = harness.next_notice();
    // An invalid file changes nothing.
    harness.reload("{");
    harness.wait_for_log("configuration reload failed");
    let old = std::mem::replace(&mut harness.platform, TestServer::start());
    harness.config["discovery"] = json!(harness.platform.address.to_string());
    harness.reload(&harness.config.to_string());
    let (first, second) = (harness.platform.next_message(), harness.platform.next_message());
    let (mut notice_request, watch_request) =
        if first.body.is_empty() { (second, first) } else { (first, second) };
    assert!(watch_request.head.starts_with("GET /v1/endpoints?stream=1&index=41 "), "{}", watch_request.head);
    assert_eq!(serde_json::from_slice::<Value>(&notice_request.body).ok(), Some(notice));
    notice_request.respond("204 No Content", "", "");
    assert_eq!([watch, message].map(|mut connection| connection.is_closed()), [true; 2]);
    assert_eq!(harness.connect_client().submit("once", "2", "k", b"x"), 202);
    assert_eq!(harness.endpoint.next_message().id(), "2");
    drop(old);
}

#[test]
fn invalid_configurations_and_arguments_exit_with_a_message() {
    let harness = RelayHarness::start();
    let state = harness.state_directory().display().to_string();
    let path = harness.state_directory().join("config.json").display().to_string();
    let check = |text: &str| {
        std::fs::write(&path, text).expect("disk space");
        let output = run_program(&["check-config", "--config", &path], &state);
        (output.status.code(), String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned())
    };
    let (code, output) = check(&harness.config.to_string());
    assert_eq!((code, output.contains("r listens on 127.0.0.1:0")), (Some(0), true), "{output}");
    let with = |pointer: &str, value: Value| {
        let mut config = harness.config.clone();
        *config.pointer_mut(pointer).expect("a known path") = value;
        config.to_string()
    };
    for (text, part) in [
        ("{".to_owned(), "no valid configuration"),
        ("{}".to_owned(), "missing field `settings`"),
        (with("/listen", json!("nowhere")), "listen is no address"),
        (with("/discovery", json!("")), "discovery is no address"),
        (with("/limits/sockets", json!(8)), "limits.sockets"),
        (with("/limits/disk_mb", json!(0)), "limits.disk_mb"),
        (with("/settings/family-info/slots", json!(0)), "family-info.slots"),
        (with("/settings/classes", json!([])), "classes is empty"),
    ] {
        let (code, output) = check(&text);
        assert_eq!(code, Some(2), "{output}");
        assert!(output.starts_with("juniperwing: ") && output.contains(part), "{output}");
    }
    // Serving requires a state directory; a check does not.
    std::fs::write(&path, harness.config.to_string()).expect("disk space");
    let checked = program().args(["check-config", "--config", &path]).output().expect("the program runs");
    assert_eq!(checked.status.code(), Some(0));
    let served = program().args(["serve", "--config", &path]).output().expect("the program runs");
    assert_eq!(served.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&served.stderr).contains("set ROUTER_STATE"));
    for args in
        [&["serve", "--config", "/nowhere"][..], &["unknown-command"], &["--log-level", "unknown-level"]]
    {
        let output = run_program(args, &state);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(output.stderr.starts_with(b"juniperwing: "), "{args:?}");
    }
    let version = run_program(&["version"], &state);
    let digest = juniperwing_node::build_info::CURRENT.source_digest;
    let expected = format!("juniperwing {} (source digest {digest})\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(version.stdout, expected.as_bytes());
}

/// Returns changed settings: fewer slots, other thresholds and costs, a pushed list, and the non-idempotent topic type
/// made idempotent.
fn changed_settings(config: &Value) -> Value {
    let mut changed = config.clone();
    let settings = &mut changed["settings"];
    settings["family-info"]["slots"] = json!(2);
    settings["rules"]["fall-multiple"] = json!(1.5);
    settings["weight-source"] = json!("nominal");
    settings["discovery"] = json!("automatic");
    settings["costs"] = json!({"cross-zone": 0.084});
    settings["zone"] = json!("z");
    settings["classes"][2]["semantics"] = json!("pure");
    changed
}

/// Reloads under traffic, with non-idempotent pushes in flight: each notification ends once and none is run twice.
#[test]
fn reloads_to_other_settings_and_back_lose_nothing_and_send_nothing_twice() {
    let mut harness = RelayHarness::start();
    let (old, new) = (harness.config.to_string(), changed_settings(&harness.config).to_string());
    let endpoint = std::mem::replace(&mut harness.endpoint, TestServer::start());
    let (mut client, mut runs, mut pushes) = (harness.connect_client(), BTreeMap::new(), 0);
    let mut in_flight = Vec::new();
    for round in 0..6u64 {
        for n in 0..4u64 {
            let (topic, id) = (["once", "safe", "mark", "once"][n as usize], format!("{round}-{n}"));
            assert_eq!(client.submit(topic, &id, &id, b"x"), 202);
        }
        // The reload happens while calls are in flight; some of them are answered only afterwards.
        while let Some(push) = endpoint.next_message_within_30_ms() {
            *runs.entry(push.id().to_owned()).or_insert(0) += 1;
            pushes += 1;
            in_flight.push(push);
            if in_flight.len() > 1 {
                in_flight.remove(0).respond("200 OK", "", "");
            }
        }
        harness.reload(if round % 2 == 0 { &new } else { &old });
        let line = harness.wait_for_log("configuration reloaded");
        assert_eq!(line["settings"].as_str().map(|text| text.contains("2 slots")), Some(round % 2 == 0));
    }
    while pushes < 24 {
        in_flight.drain(..).for_each(|mut push| push.respond("200 OK", "", ""));
        let push = endpoint.next_message();
        *runs.entry(push.id().to_owned()).or_insert(0) += 1;
        pushes += 1;
        in_flight.push(push);
    }
    in_flight.drain(..).for_each(|mut push| push.respond("200 OK", "", ""));
    assert!(endpoint.next_message_within_30_ms().is_none());
    assert_eq!((runs.len(), runs.values().all(|count| *count == 1)), (24, true), "{runs:?}");
    // Nothing is outstanding, so the next process recovers nothing.
    harness.kill();
    let line = harness.restart();
    assert_eq!(line["outstanding"], 0);
}

/// New settings of a topic type apply to notifications accepted afterwards; the journal keeps the earlier guarantee.
#[test]
fn a_kill_right_after_a_reload_keeps_the_guarantee() {
    let mut harness = RelayHarness::start();
    assert_eq!(harness.connect_client().submit("once", "1", "k", b"x"), 202);
    let first = harness.endpoint.next_message();
    harness.config = changed_settings(&harness.config);
    harness.reload(&harness.config.to_string());
    harness.wait_for_log("configuration reloaded");
    harness.kill();
    drop(first);
    harness.restart();
    assert_eq!(harness.next_notice().1, json!({"message": "1", "outcome": "given_up"}));
    assert_eq!(harness.connect_client().submit("once", "2", "k2", b"x"), 202);
    assert_eq!(harness.endpoint.next_message().id(), "2");
    harness.kill();
    harness.restart();
    // This one was accepted as idempotent, so it is pushed again.
    assert_eq!(harness.endpoint.next_message().id(), "2");
}

/// An invalid file is rejected as a whole with the invalid key in the error, and the last valid settings stay in
/// effect.
#[test]
fn an_invalid_configuration_changes_nothing_on_a_reload() {
    let harness = RelayHarness::start();
    assert_eq!(harness.connect_client().submit("once", "1", "k", b"x"), 202);
    let push = harness.endpoint.next_message();
    let change = |pointer: &str, value: Value| {
        let mut config = changed_settings(&harness.config);
        *config.pointer_mut(pointer).expect("a known path") = value;
        config.to_string()
    };
    let class = harness.config["settings"]["classes"][0].clone();
    for (text, part) in [
        (change("/settings/family-info/slots", json!(0)), "settings.family-info.slots"),
        (change("/settings/ceilings/max-attempts", json!(0)), "settings.ceilings.max-attempts"),
        (change("/settings/rules/fall-multiple", json!(0.9)), "settings.rules.fall-multiple"),
        (change("/settings/rules/tip-after", json!(-1)), "settings.rules.tip-after"),
        (change("/settings/rules/cold-from", json!(1.5)), "settings.rules.cold-from"),
        (change("/settings/classes/1/late-value", json!(2)), "settings.classes[1].late-value"),
        (change("/settings/classes/0/semantics", json!("twice")), "settings.classes[0].semantics"),
        (change("/settings/classes", json!([class])), "settings.classes lacks \"once\""),
        (change("/settings/kinds", json!(["other"])), "settings.kinds lacks \"plain\""),
    ] {
        harness.reload(&text);
        let line = harness.wait_for_log("configuration reload failed");
        assert!(line["error"].as_str().is_some_and(|error| error.contains(part)), "{line} lacks {part}");
    }
    // The previous settings stay in effect: the guarantee holds, and new notifications are pushed.
    harness.reload(&change("/listen", json!("127.0.0.1:1")));
    assert_eq!(harness.wait_for_log("configuration changes need a restart")["keys"], "listen");
    drop(push);
    assert_eq!(harness.connect_client().submit("safe", "2", "", b"x"), 202);
    harness.endpoint.next_message().respond("200 OK", "", "");
}
