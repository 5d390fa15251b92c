//! Starts, settings, signals and stops.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::support::{out_of_reach, until};
use crate::stand_in::{Client, Rig, request};
use crate::support::full;

/// Killed while its connection is not up: no byte of the push went out, so even a once-only one is tried.
#[test]
fn what_was_decided_on_and_never_written_is_tried_by_the_next_process() {
    for per_call in [1, 10] {
        let (_full, dial, _first) = full();
        let mut rig = Rig::with(|config| {
            config["settings"]["family-info"]["per-call"] = json!([per_call]);
            out_of_reach(config, dial);
        });
        let mut client = rig.client();
        client.write(
            &[request("once", "1", "a", 16_000, b""), request("once", "2", "b", 16_000, b"")].concat(),
        );
        assert_eq!([client.answer().0, client.answer().0], [202; 2]);
        rig.logged("push started");
        rig.kill();
        rig.config["known"]["hosts"][0]["dial"] = json!(rig.endpoint.address.to_string());
        let serving = rig.restart();
        assert_eq!(
            (&serving["outstanding"], &serving["unpushed"], &serving["pushed"]),
            (&json!(2), &json!(2), &json!(0))
        );
        let mut push = rig.endpoint.next();
        if per_call == 1 {
            let mut ids = [push.id().to_owned(), rig.endpoint.next().id().to_owned()];
            ids.sort();
            assert_eq!(ids, ["1", "2"]);
        } else {
            assert!(push.head.starts_with("POST /hook/batch "), "{}", push.head);
            push.answer("200 OK", "", r#"[{"id":"1","state":"delivered"},{"id":"2","state":"delivered"}]"#);
        }
        let line = rig.logged("recovered notifications pushed or ended");
        assert_eq!((&line["pushed"], &line["expired"], &line["given_up"]), (&json!(2), &json!(0), &json!(0)));
    }
}

/// A topic type that is gone from the settings at a restart: what was promised of it holds, and it is tried.
#[test]
fn what_was_taken_on_under_a_topic_type_that_is_gone_is_tried_and_once_only_stays_so() {
    let (_full, dial, _first) = full();
    let mut rig = Rig::with(|config| out_of_reach(config, dial));
    assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
    rig.kill();
    rig.config["known"]["hosts"][0]["dial"] = json!(rig.endpoint.address.to_string());
    rig.config["settings"]["classes"]
        .as_array_mut()
        .expect("topic types")
        .retain(|class| class["name"] != "once");
    rig.restart();
    let push = rig.endpoint.next();
    assert_eq!((push.id(), &*push.body), ("1", &b"x"[..]));
    rig.kill();
    rig.restart();
    assert_eq!(rig.notice().1, json!({"message": "1", "outcome": "given_up"}));
    assert!(rig.endpoint.next_soon().is_none());
}

/// Made shorter, the time for which endpoints keep idle connections holds for those that are idle already.
#[test]
fn on_sighup_with_a_shorter_idle_time_idle_connections_are_closed() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    for id in ["1", "2"] {
        assert_eq!(client.hand_in("safe", id, "", b""), 202);
        let mut push = rig.endpoint.next();
        push.answer("200 OK", "", "");
        rig.logged("push ended");
        if id == "2" {
            rig.config["settings"]["ceilings"]["conn-idle"] = json!(3_000_000_000u64);
            rig.reload(&rig.config.to_string());
            rig.logged("configuration reloaded");
            let since = Instant::now();
            assert!(push.is_closed());
            assert!(since.elapsed() < Duration::from_millis(1_500), "{:?}", since.elapsed());
        }
    }
}

/// A relay that has been told to stop and has no slots any more.
fn stopping(rig: &Rig) -> Instant {
    rig.terminate();
    rig.logged("shutdown started");
    Instant::now()
}

/// Requests that are in the system's buffers, on connections old and new, when the last of its time to serve comes;
/// there are as many clients as there is room for, but one.
#[test]
fn at_the_end_of_a_stop_what_has_come_and_was_not_read_yet_has_its_answer() {
    let mut rig = Rig::with(|config| config["limits"]["sockets"] = json!(64));
    let mut old: Vec<Client> = (0..15).map(|_| rig.client()).collect();
    for (place, client) in old.iter_mut().enumerate() {
        assert_eq!(client.hand_in("safe", &format!("1-{place}"), "", b""), 202);
    }
    let since = stopping(&rig);
    rig.logged("new calls stopped");
    rig.signal("-STOP");
    old[0].write(&request("safe", "2", "", 16_000, b""));
    let mut new: Vec<Client> = (0..2).map(|_| rig.client()).collect();
    for (place, client) in new.iter_mut().enumerate() {
        client.write(&request("safe", &format!("3-{place}"), "", 16_000, b""));
    }
    // No more is taken in from 2.8 s on, and it is out at 3.1 s.
    until(since, 2_850);
    rig.signal("-CONT");
    for client in old[..1].iter_mut().chain(&mut new) {
        let (status, head) = client.answer();
        assert_eq!((status, head.contains("Connection: close")), (202, true), "{head}");
    }
    assert_eq!(rig.logged("shutdown complete")["outstanding"], 18);
    assert_eq!(rig.ended(), Some(0));
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
}

/// With no client left it still waits for the calls that are out, as long as it may.
#[test]
fn calls_that_are_out_at_a_stop_may_end_though_no_client_is_left() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    assert_eq!([client.hand_in("once", "1", "k", b""), client.hand_in("once", "2", "l", b"")], [202; 2]);
    let mut pushes = [rig.endpoint.next(), rig.endpoint.next()];
    drop(client);
    let since = stopping(&rig);
    for (push, ms) in pushes.iter_mut().zip([2_840, 2_900]) {
        until(since, ms);
        push.answer("200 OK", "", "");
    }
    assert_eq!(rig.logged("shutdown complete")["outstanding"], 0);
    assert_eq!(rig.ended(), Some(0));
}

/// Handed in when there are no slots any more: taken on only if the next process can still push it.
#[test]
fn what_comes_too_late_in_a_stop_for_its_time_to_live_is_refused_and_the_rest_taken_on() {
    let rig = Rig::start();
    stopping(&rig);
    rig.logged("new calls stopped");
    let mut client = rig.client();
    client.write(&request("safe", "1", "", 1_500, b""));
    let (status, head) = client.answer();
    assert_eq!((status, head.contains("Retry-After: 2.3")), (429, true), "{head}");
    assert_eq!(client.hand_in("safe", "2", "", b""), 202);
    assert_eq!(rig.logged("shutdown complete")["outstanding"], 1);
}

/// Signals before it serves, twice, and in a stop: one stop, in time, and nothing else.
#[test]
fn signals_at_any_time_make_one_stop() {
    let mut rig = Rig::start();
    assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
    let first = rig.endpoint.next();
    rig.reload(&rig.config.to_string());
    let since = stopping(&rig);
    rig.terminate();
    rig.reload("{");
    rig.logged("configuration reload failed");
    rig.config["settings"]["family-info"]["slots"] = json!(4);
    rig.reload(&rig.config.to_string());
    rig.logged("configuration reloaded");
    rig.logged("new calls stopped");
    rig.reload(&rig.config.to_string());
    rig.logged("configuration reloaded");
    // Slots in a file read anew are none in a stop.
    assert_eq!(rig.client().hand_in("safe", "2", "", b"late"), 202);
    let rest = rig.logged_until("shutdown complete");
    assert!(
        rest.iter().all(|line| line["msg"] != "push started" && line["msg"] != "shutdown started"),
        "{rest:?}"
    );
    assert_eq!(rig.ended(), Some(0));
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
    drop(first);
    // Told to stop as soon as it can hear it: it serves its time all the same, with what it owes.
    rig.restart();
    rig.terminate();
    assert_eq!(&*rig.endpoint.next().body, b"late");
    rig.logged("shutdown started");
    rig.terminate();
    rig.signal("-INT");
    let rest = rig.logged_until("shutdown complete");
    assert!(rest.iter().all(|line| line["msg"] != "shutdown started"), "{rest:?}");
    assert_eq!(rig.ended(), Some(0));
}

/// Any one key missing, the relay says which it is and does not start, or it serves.
#[test]
fn with_any_key_of_the_settings_missing_it_serves_or_says_which() {
    let whole = Rig::start().config.clone();
    let mut paths = vec![String::new()];
    let mut keys = Vec::new();
    while let Some(path) = paths.pop() {
        let Some(Value::Object(object)) = whole["settings"].pointer(&path) else { continue };
        for key in object.keys() {
            keys.push((path.clone(), key.clone()));
            paths.push(format!("{path}/{key}"));
        }
    }
    for at in 0..3 {
        let class = whole["settings"]["classes"][at].as_object().expect("a topic type");
        keys.extend(class.keys().map(|key| (format!("/classes/{at}"), key.clone())));
    }
    assert!(keys.len() > 50, "{}", keys.len());
    for (path, key) in keys {
        let mut config = whole.clone();
        let object = config["settings"].pointer_mut(&path).and_then(Value::as_object_mut);
        object.expect("an object").remove(&key);
        let checked = crate::support::check(&config);
        if let Err(said) = checked {
            assert!(said.contains(&key) || key == "family-info" || key == "ceilings", "{path}/{key}: {said}");
            continue;
        }
        let rig = Rig::with(|told| {
            let (known, discovery) = (told["known"].clone(), told["discovery"].clone());
            *told = config;
            (told["known"], told["discovery"]) = (known, discovery);
        });
        // Without its name a topic type is another; what is said of it then is an answer too.
        let status = rig.client().hand_in("safe", "1", "", b"x");
        assert_eq!(status, 202, "{path}/{key}");
        assert_eq!(rig.endpoint.next().id(), "1", "{path}/{key}");
    }
}
