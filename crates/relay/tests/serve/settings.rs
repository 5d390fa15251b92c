//! The command line, settings and their switch on SIGHUP.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::stand_in::{Rig, Server, program};
use crate::support::run;

#[test]
fn on_sighup_the_watch_and_the_notices_go_to_the_address_now_in_the_file() {
    let mut rig = Rig::start();
    let watch = rig.watch();
    assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
    rig.endpoint.next().answer("500 Internal Server Error", "", "");
    let (message, notice) = rig.notice();
    // What cannot be used changes nothing.
    rig.reload("{");
    rig.logged("configuration reload failed");
    let old = std::mem::replace(&mut rig.platform, Server::start());
    rig.config["discovery"] = json!(rig.platform.address.to_string());
    rig.reload(&rig.config.to_string());
    let (next, second) = (rig.platform.next(), rig.platform.next());
    let (mut told, asked) = if next.body.is_empty() { (second, next) } else { (next, second) };
    assert!(asked.head.starts_with("GET /v1/endpoints?stream=1&index=41 "), "{}", asked.head);
    assert_eq!(serde_json::from_slice::<Value>(&told.body).ok(), Some(notice));
    told.answer("204 No Content", "", "");
    assert_eq!([watch, message].map(|mut left| left.is_closed()), [true; 2]);
    assert_eq!(rig.client().hand_in("once", "2", "k", b"x"), 202);
    assert_eq!(rig.endpoint.next().id(), "2");
    drop(old);
}

#[test]
fn bad_configuration_and_arguments_end_with_a_plain_message() {
    let rig = Rig::start();
    let state = rig.state().display().to_string();
    let path = rig.state().join("config.json").display().to_string();
    let check = |text: &str| {
        std::fs::write(&path, text).expect("room");
        let output = run(&["check-config", "--config", &path], &state);
        (output.status.code(), String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned())
    };
    let (code, said) = check(&rig.config.to_string());
    assert_eq!((code, said.contains("r listens on 127.0.0.1:0")), (Some(0), true), "{said}");
    let with = |pointer: &str, value: Value| {
        let mut config = rig.config.clone();
        *config.pointer_mut(pointer).expect("a known place") = value;
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
        let (code, said) = check(&text);
        assert_eq!(code, Some(2), "{said}");
        assert!(said.starts_with("juniperwing: ") && said.contains(part), "{said}");
    }
    // A check needs no folder; serving does.
    std::fs::write(&path, rig.config.to_string()).expect("room");
    let checked = program().args(["check-config", "--config", &path]).output().expect("the program runs");
    assert_eq!(checked.status.code(), Some(0));
    let served = program().args(["serve", "--config", &path]).output().expect("the program runs");
    assert_eq!(served.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&served.stderr).contains("set ROUTER_STATE"));
    for args in [&["serve", "--config", "/nowhere"][..], &["dance"], &["--log-level", "loud"]] {
        let output = run(args, &state);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(output.stderr.starts_with(b"juniperwing: "), "{args:?}");
    }
    let version = run(&["version"], &state);
    assert_eq!(version.stdout, format!("juniperwing {}\n", env!("CARGO_PKG_VERSION")).as_bytes());
}

/// Settings of another shape: fewer slots, other rates and figures, once-only made repeatable, the list pushed.
fn moved(config: &Value) -> Value {
    let mut moved = config.clone();
    let settings = &mut moved["settings"];
    settings["family-info"]["slots"] = json!(2);
    settings["rules"]["fall-multiple"] = json!(1.5);
    settings["weight-source"] = json!("nominal");
    settings["discovery"] = json!("automatic");
    settings["costs"] = json!({"cross-zone": 0.084});
    settings["zone"] = json!("z");
    settings["classes"][2]["semantics"] = json!("pure");
    moved
}

/// Under traffic, with once-only notifications out: each has its one end, none runs twice, there and back.
#[test]
fn on_sighup_settings_are_switched_there_and_back_and_nothing_is_lost_or_sent_twice() {
    let mut rig = Rig::start();
    let (old, new) = (rig.config.to_string(), moved(&rig.config).to_string());
    let endpoint = std::mem::replace(&mut rig.endpoint, Server::start());
    let (mut client, mut runs, mut pushes) = (rig.client(), BTreeMap::new(), 0);
    let mut out = Vec::new();
    for round in 0..6u64 {
        for n in 0..4u64 {
            let (topic, id) = (["once", "safe", "mark", "once"][n as usize], format!("{round}-{n}"));
            assert_eq!(client.hand_in(topic, &id, &id, b"x"), 202);
        }
        // Switched while calls are out, some of which are answered only after the switch.
        while let Some(push) = endpoint.next_soon() {
            *runs.entry(push.id().to_owned()).or_insert(0) += 1;
            pushes += 1;
            out.push(push);
            if out.len() > 1 {
                out.remove(0).answer("200 OK", "", "");
            }
        }
        rig.reload(if round % 2 == 0 { &new } else { &old });
        let line = rig.logged("configuration reloaded");
        assert_eq!(line["settings"].as_str().map(|text| text.contains("2 slots")), Some(round % 2 == 0));
    }
    while pushes < 24 {
        out.drain(..).for_each(|mut push| push.answer("200 OK", "", ""));
        let push = endpoint.next();
        *runs.entry(push.id().to_owned()).or_insert(0) += 1;
        pushes += 1;
        out.push(push);
    }
    out.drain(..).for_each(|mut push| push.answer("200 OK", "", ""));
    assert!(endpoint.next_soon().is_none());
    assert_eq!((runs.len(), runs.values().all(|times| *times == 1)), (24, true), "{runs:?}");
    // Nothing is owed any more: a process that follows takes up nothing.
    rig.kill();
    let line = rig.restart();
    assert_eq!(line["outstanding"], 0);
}

/// What the new settings say of a topic type holds for what is taken on from then; the record keeps the old.
#[test]
fn killed_right_after_a_switch_once_only_stays_once_only() {
    let mut rig = Rig::start();
    assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
    let first = rig.endpoint.next();
    rig.config = moved(&rig.config);
    rig.reload(&rig.config.to_string());
    rig.logged("configuration reloaded");
    rig.kill();
    drop(first);
    rig.restart();
    assert_eq!(rig.notice().1, json!({"message": "1", "outcome": "given_up"}));
    assert_eq!(rig.client().hand_in("once", "2", "k2", b"x"), 202);
    assert_eq!(rig.endpoint.next().id(), "2");
    rig.kill();
    rig.restart();
    // Taken on as repeatable, it goes again.
    assert_eq!(rig.endpoint.next().id(), "2");
}

/// A file that cannot be used is refused whole with the key at fault, and the last good settings go on.
#[test]
fn a_new_configuration_with_a_fault_is_refused_whole() {
    let rig = Rig::start();
    assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
    let push = rig.endpoint.next();
    let change = |pointer: &str, value: Value| {
        let mut config = moved(&rig.config);
        *config.pointer_mut(pointer).expect("a known place") = value;
        config.to_string()
    };
    let class = rig.config["settings"]["classes"][0].clone();
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
        rig.reload(&text);
        let line = rig.logged("configuration reload failed");
        assert!(line["error"].as_str().is_some_and(|why| why.contains(part)), "{line} lacks {part}");
    }
    // The old ones hold: once-only is so still, and what came meanwhile is served.
    rig.reload(&change("/listen", json!("127.0.0.1:1")));
    assert_eq!(rig.logged("configuration changes need a restart")["keys"], "listen");
    drop(push);
    assert_eq!(rig.client().hand_in("safe", "2", "", b"x"), 202);
    rig.endpoint.next().answer("200 OK", "", "");
}
