//! Races of restarts, reloads, signals and shutdowns.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::support::{set_endpoint_address, sleep_until};
use crate::harness::{RelayHarness, TestClient, submission};
use crate::support::unaccepting_listener;

/// The relay is killed before the connection of a push is established. No byte was sent, so the next process pushes
/// even a non-idempotent notification.
#[test]
fn a_push_never_written_is_made_by_the_next_process() {
    for per_call in [1, 10] {
        let (_listener, address, _queued) = unaccepting_listener();
        let mut harness = RelayHarness::start_with(|config| {
            config["settings"]["family-info"]["per-call"] = json!([per_call]);
            set_endpoint_address(config, address);
        });
        let mut client = harness.connect_client();
        client.write(
            &[submission("once", "1", "a", 16_000, b""), submission("once", "2", "b", 16_000, b"")].concat(),
        );
        assert_eq!([client.read_response().0, client.read_response().0], [202; 2]);
        harness.wait_for_log("push started");
        harness.kill();
        harness.config["known"]["hosts"][0]["dial"] = json!(harness.endpoint.address.to_string());
        let serving = harness.restart();
        assert_eq!(
            (&serving["outstanding"], &serving["unpushed"], &serving["pushed"]),
            (&json!(2), &json!(2), &json!(0))
        );
        let mut push = harness.endpoint.next_message();
        if per_call == 1 {
            let mut ids = [push.id().to_owned(), harness.endpoint.next_message().id().to_owned()];
            ids.sort();
            assert_eq!(ids, ["1", "2"]);
        } else {
            assert!(push.head.starts_with("POST /hook/batch "), "{}", push.head);
            push.respond("200 OK", "", r#"[{"id":"1","state":"delivered"},{"id":"2","state":"delivered"}]"#);
        }
        let line = harness.wait_for_log("recovered notifications pushed or ended");
        assert_eq!((&line["pushed"], &line["expired"], &line["given_up"]), (&json!(2), &json!(0), &json!(0)));
    }
}

/// The topic type of a notification is removed from the settings before a restart: the notification is pushed and keeps
/// its guarantee.
#[test]
fn a_notification_of_a_removed_topic_type_is_pushed_and_keeps_its_guarantee() {
    let (_listener, address, _queued) = unaccepting_listener();
    let mut harness = RelayHarness::start_with(|config| set_endpoint_address(config, address));
    assert_eq!(harness.connect_client().submit("once", "1", "k", b"x"), 202);
    harness.kill();
    harness.config["known"]["hosts"][0]["dial"] = json!(harness.endpoint.address.to_string());
    harness.config["settings"]["classes"]
        .as_array_mut()
        .expect("topic types")
        .retain(|class| class["name"] != "once");
    harness.restart();
    let push = harness.endpoint.next_message();
    assert_eq!((push.id(), &*push.body), ("1", &b"x"[..]));
    harness.kill();
    harness.restart();
    assert_eq!(harness.next_notice().1, json!({"message": "1", "outcome": "given_up"}));
    assert!(harness.endpoint.next_message_within_30_ms().is_none());
}

/// A shorter idle timeout also applies to connections that are already idle.
#[test]
fn a_reload_with_a_shorter_idle_timeout_closes_idle_connections() {
    let mut harness = RelayHarness::start();
    let mut client = harness.connect_client();
    for id in ["1", "2"] {
        assert_eq!(client.submit("safe", id, "", b""), 202);
        let mut push = harness.endpoint.next_message();
        push.respond("200 OK", "", "");
        harness.wait_for_log("push ended");
        if id == "2" {
            harness.config["settings"]["ceilings"]["conn-idle"] = json!(3_000_000_000u64);
            harness.reload(&harness.config.to_string());
            harness.wait_for_log("configuration reloaded");
            let since = Instant::now();
            assert!(push.is_closed());
            assert!(since.elapsed() < Duration::from_millis(1_500), "{:?}", since.elapsed());
        }
    }
}

/// Requests a shutdown and waits until it has started.
fn request_stop(harness: &RelayHarness) -> Instant {
    harness.request_stop();
    harness.wait_for_log("shutdown started");
    Instant::now()
}

/// Requests are in the socket buffers of established and new connections when admission ends. The number of clients is
/// one below the limit.
#[test]
fn requests_unread_at_the_end_of_a_shutdown_are_answered() {
    let mut harness = RelayHarness::start_with(|config| config["limits"]["sockets"] = json!(64));
    let mut established: Vec<TestClient> = (0..15).map(|_| harness.connect_client()).collect();
    for (index, client) in established.iter_mut().enumerate() {
        assert_eq!(client.submit("safe", &format!("1-{index}"), "", b""), 202);
    }
    let since = request_stop(&harness);
    harness.wait_for_log("new calls stopped");
    harness.send_signal("-STOP");
    established[0].write(&submission("safe", "2", "", 16_000, b""));
    let mut new: Vec<TestClient> = (0..2).map(|_| harness.connect_client()).collect();
    for (index, client) in new.iter_mut().enumerate() {
        client.write(&submission("safe", &format!("3-{index}"), "", 16_000, b""));
    }
    // Admission ends after 2.8 s, and the process exits after 3.1 s.
    sleep_until(since, 2_850);
    harness.send_signal("-CONT");
    for client in established[..1].iter_mut().chain(&mut new) {
        let (status, head) = client.read_response();
        assert_eq!((status, head.contains("Connection: close")), (202, true), "{head}");
    }
    assert_eq!(harness.wait_for_log("shutdown complete")["outstanding"], 18);
    assert_eq!(harness.wait_for_exit(), Some(0));
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
}

/// Without clients, a shutdown still waits for the calls in flight, up to its time limit.
#[test]
fn calls_in_flight_may_end_in_a_shutdown_without_clients() {
    let mut harness = RelayHarness::start();
    let mut client = harness.connect_client();
    assert_eq!([client.submit("once", "1", "k", b""), client.submit("once", "2", "l", b"")], [202; 2]);
    let mut pushes = [harness.endpoint.next_message(), harness.endpoint.next_message()];
    drop(client);
    let since = request_stop(&harness);
    for (push, ms) in pushes.iter_mut().zip([2_840, 2_900]) {
        sleep_until(since, ms);
        push.respond("200 OK", "", "");
    }
    assert_eq!(harness.wait_for_log("shutdown complete")["outstanding"], 0);
    assert_eq!(harness.wait_for_exit(), Some(0));
}

/// A notification submitted after new calls are stopped is accepted only if the next process can still push it.
#[test]
fn a_shutdown_rejects_only_notifications_that_expire_before_the_next_process() {
    let harness = RelayHarness::start();
    request_stop(&harness);
    harness.wait_for_log("new calls stopped");
    let mut client = harness.connect_client();
    client.write(&submission("safe", "1", "", 1_500, b""));
    let (status, head) = client.read_response();
    assert_eq!((status, head.contains("Retry-After: 2.3")), (429, true), "{head}");
    assert_eq!(client.submit("safe", "2", "", b""), 202);
    assert_eq!(harness.wait_for_log("shutdown complete")["outstanding"], 1);
}

/// Signals before the relay serves, repeated signals and signals during a shutdown cause a single shutdown, in time.
#[test]
fn repeated_signals_cause_one_shutdown() {
    let mut harness = RelayHarness::start();
    assert_eq!(harness.connect_client().submit("once", "1", "k", b"x"), 202);
    let first = harness.endpoint.next_message();
    harness.reload(&harness.config.to_string());
    let since = request_stop(&harness);
    harness.request_stop();
    harness.reload("{");
    harness.wait_for_log("configuration reload failed");
    harness.config["settings"]["family-info"]["slots"] = json!(4);
    harness.reload(&harness.config.to_string());
    harness.wait_for_log("configuration reloaded");
    harness.wait_for_log("new calls stopped");
    harness.reload(&harness.config.to_string());
    harness.wait_for_log("configuration reloaded");
    // The slots in a reloaded file have no effect during a shutdown.
    assert_eq!(harness.connect_client().submit("safe", "2", "", b"late"), 202);
    let rest = harness.log_until("shutdown complete");
    assert!(
        rest.iter().all(|line| line["msg"] != "push started" && line["msg"] != "shutdown started"),
        "{rest:?}"
    );
    assert_eq!(harness.wait_for_exit(), Some(0));
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
    drop(first);
    // After a shutdown request immediately after the start, the relay still serves for the regular time and pushes what
    // is outstanding.
    harness.restart();
    harness.request_stop();
    assert_eq!(&*harness.endpoint.next_message().body, b"late");
    harness.wait_for_log("shutdown started");
    harness.request_stop();
    harness.send_signal("-INT");
    let rest = harness.log_until("shutdown complete");
    assert!(rest.iter().all(|line| line["msg"] != "shutdown started"), "{rest:?}");
    assert_eq!(harness.wait_for_exit(), Some(0));
}

/// With any single key missing, the configuration check names the key, or the relay serves.
#[test]
fn with_any_settings_key_missing_it_serves_or_names_the_key() {
    let full_config = RelayHarness::start().config.clone();
    let mut paths = vec![String::new()];
    let mut keys = Vec::new();
    while let Some(path) = paths.pop() {
        let Some(Value::Object(object)) = full_config["settings"].pointer(&path) else { continue };
        for key in object.keys() {
            keys.push((path.clone(), key.clone()));
            paths.push(format!("{path}/{key}"));
        }
    }
    for index in 0..3 {
        let class = full_config["settings"]["classes"][index].as_object().expect("a topic type");
        keys.extend(class.keys().map(|key| (format!("/classes/{index}"), key.clone())));
    }
    assert!(keys.len() > 50, "{}", keys.len());
    for (path, key) in keys {
        let mut config = full_config.clone();
        let object = config["settings"].pointer_mut(&path).and_then(Value::as_object_mut);
        object.expect("an object").remove(&key);
        let checked = crate::support::check_config(&config);
        if let Err(message) = checked {
            assert!(
                message.contains(&key) || key == "family-info" || key == "ceilings",
                "{path}/{key}: {message}"
            );
            continue;
        }
        let harness = RelayHarness::start_with(|changed| {
            let (known, discovery) = (changed["known"].clone(), changed["discovery"].clone());
            *changed = config;
            (changed["known"], changed["discovery"]) = (known, discovery);
        });
        // A topic type without a name is a different one, which is accepted as well.
        let status = harness.connect_client().submit("safe", "1", "", b"x");
        assert_eq!(status, 202, "{path}/{key}");
        assert_eq!(harness.endpoint.next_message().id(), "1", "{path}/{key}");
    }
}
