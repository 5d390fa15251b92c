//! The endpoint list and its watches.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::support::{WATCH_HEAD, chunk, endpoint_list, set_endpoint_address, sleep_until, write_list};
use crate::harness::{RelayHarness, submission};
use crate::support::unaccepting_listener;

/// Adds another endpoint, `f`, on which no connection is established until it is accepted.
fn late_beside(config: &mut Value, dial: std::net::SocketAddr) {
    let mut late = config["known"]["hosts"][0].clone();
    (late["host"], late["dial"]) = (json!("f"), json!(dial.to_string()));
    config["known"]["hosts"].as_array_mut().expect("hosts").push(late);
    config["settings"]["ceilings"]["connect-timeout"] = json!(10_000_000_000u64);
}

/// What an endpoint sends before a call has gone out to it answers no call: it was not delivered, and was not run.
#[test]
fn a_response_received_before_its_call_was_sent_is_ignored() {
    for (early, status) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 200 OK\r\nX: never ends", "NoConnection"),
        ("noise\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "ConnectionLimitReached"),
    ] {
        let (full, dial, _first) = unaccepting_listener();
        let harness = RelayHarness::start_with(|config| {
            // Another endpoint, which drains, so that everything goes to the one that accepts no connection.
            let mut late = config["known"]["hosts"][0].clone();
            (late["host"], late["health"]) = (json!("f"), json!("draining"));
            set_endpoint_address(config, dial);
            config["known"]["hosts"].as_array_mut().expect("hosts").push(late);
            config["settings"]["ceilings"]["connect-timeout"] = json!(10_000_000_000u64);
        });
        let mut watch = harness.next_watch();
        watch.write(WATCH_HEAD);
        assert_eq!(harness.connect_client().submit("once", "1", "k", b"x"), 202);
        harness.wait_for_log("push started");
        harness.send_signal("-STOP");
        full.accept().expect("the connection that took the room");
        let (call, _) = full.accept().expect("the relay's, tried again by its system");
        let mut call = TcpStream::from(call);
        call.write_all(early.as_bytes()).expect("room");
        harness.send_signal("-CONT");
        assert_eq!(harness.wait_for_log("push ended")["status"], status, "{early}");
        drop(full);
        // It was not run, so even a non-idempotent one goes to an endpoint that takes calls again.
        write_list(
            &mut watch,
            &endpoint_list(42, false, &[("e", "gone", None), ("f", "ready", Some(harness.endpoint.address))]),
        );
        assert_eq!(harness.endpoint.next_message().id(), "1", "{early}");
    }
}

/// A valid list counts, though a malformed one follows it, which changes nothing.
#[test]
fn a_list_before_a_malformed_one_is_applied_and_the_watch_reopened_behind_it() {
    let harness = RelayHarness::start();
    let mut watch = harness.next_watch();
    let drains = endpoint_list(43, false, &[("e", "draining", Some(harness.endpoint.address))]);
    watch.write(&format!("{WATCH_HEAD}{}", chunk(&format!("{drains}\n{{\"seq\": 44, \"hosts\": [17]}}\n"))));
    harness.wait_for_log("endpoint list updated");
    assert!(harness.next_watch().head.contains("index=43 "));
    assert_eq!(harness.connect_client().submit("safe", "1", "", b""), 202);
    harness.wait_for_log("notification accepted");
    assert!(harness.endpoint.next_message_within_30_ms().is_none());
}

/// A list may stand on several lines and arrive in several chunks.
#[test]
fn an_indented_list_is_parsed() {
    let harness = RelayHarness::start();
    let mut watch = harness.next_watch();
    watch.write(WATCH_HEAD);
    let lists = [
        endpoint_list(43, true, &[("e", "draining", Some(harness.endpoint.address))]),
        endpoint_list(44, false, &[("f", "ready", Some(harness.endpoint.address))]),
    ];
    let text: Vec<String> =
        lists.iter().map(|list| serde_json::to_string_pretty(list).expect("plain data") + "\n").collect();
    let text = text.concat();
    let (first, rest) = text.split_at(text.len() / 3);
    watch.write(&chunk(first));
    watch.write(&chunk(rest));
    assert_eq!(harness.wait_for_log("endpoint list updated")["entries"], 1);
    assert_eq!(harness.connect_client().submit("safe", "1", "", b""), 202);
    assert_eq!(harness.wait_for_log("push started")["endpoint"], "f");
    watch.write("0\r\n\r\n");
    assert!(harness.next_watch().head.contains("index=44 "));
}

/// Parts of a line do not keep a watch alive: they are no message.
#[test]
fn a_watch_with_only_parts_of_a_line_times_out() {
    let harness = RelayHarness::start();
    let mut watch = harness.next_watch();
    let since = Instant::now();
    watch.write(WATCH_HEAD);
    let text = endpoint_list(43, true, &[("e", "draining", Some(harness.endpoint.address))]).to_string();
    let mut pieces = text.as_bytes().chunks(1).map(|piece| chunk(&String::from_utf8_lossy(piece)));
    let mut next = None;
    while next.is_none() {
        watch.try_write(&pieces.next().expect("silent before the list is whole"));
        next = harness.platform.next_message_within_30_ms();
        sleep_until(Instant::now(), 120);
    }
    assert!(next.is_some_and(|next| next.head.contains("index=41 ")));
    // No message for 3 s after its head; the rest is for a busy machine. An update has to arrive within 6 s.
    assert!(since.elapsed() < Duration::from_millis(5_500), "{:?}", since.elapsed());
}

/// An empty line is a message: a watch that fails after it is reopened soon, however often.
#[test]
fn a_watch_that_fails_repeatedly_after_messages_is_reopened_soon_each_time() {
    let harness = RelayHarness::start();
    let since = Instant::now();
    for _ in 0..6 {
        let mut watch = harness.next_watch();
        watch.write(&format!("{WATCH_HEAD}{}0\r\n\r\n", chunk("\n")));
    }
    harness.next_watch();
    // 0.3 s each at the most.
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
}

/// A drain, or a pause, is reported in the turn in which a call's connection is established: none of its bytes go out.
#[test]
fn updates_in_the_turn_in_which_a_connection_is_established_hold_for_its_call() {
    for drains in [true, false] {
        let (full, dial, _first) = unaccepting_listener();
        let harness = RelayHarness::start_with(|config| late_beside(config, dial));
        let mut watch = harness.next_watch();
        watch.write(WATCH_HEAD);
        let mut client = harness.connect_client();
        assert_eq!([client.submit("safe", "1", "", b""), client.submit("safe", "2", "", b"")], [202; 2]);
        let mut other = harness.endpoint.next_message();
        harness.wait_for_log("push started");
        harness.wait_for_log("push started");
        harness.send_signal("-STOP");
        full.accept().expect("the connection that took the room");
        let (call, _) = full.accept().expect("the relay's, tried again by its system");
        if drains {
            write_list(&mut watch, &endpoint_list(42, false, &[("f", "draining", Some(dial))]));
        } else {
            other.respond("429 Too Many Requests", "Retry-After: 9.5\r\n", "");
        }
        harness.send_signal("-CONT");
        let lines = harness.log_until("push ended");
        let last = if drains { lines.last().cloned() } else { Some(harness.wait_for_log("push ended")) };
        assert_eq!(last.map(|line| line["status"].clone()), Some(json!("Skipped")), "{lines:?}");
        let (mut call, mut bytes) = (TcpStream::from(call), Vec::new());
        // It may be reset: what counts is that nothing was received.
        let _ = call.read_to_end(&mut bytes);
        assert_eq!(bytes, b"");
    }
}

/// A list that says it is complete and has no hosts at all, not even an empty list, is malformed: the present one
/// stays.
#[test]
fn a_complete_list_without_hosts_removes_no_endpoint() {
    let harness = RelayHarness::start();
    let mut watch = harness.next_watch();
    watch.write(&format!("{WATCH_HEAD}{}", chunk("{\"seq\": 42, \"whole\": true}\n")));
    assert_eq!(harness.wait_for_log("endpoint list watch failed")["error"], "malformed");
    assert!(harness.next_watch().head.contains("index=41 "));
    assert_eq!(harness.connect_client().submit("safe", "1", "", b""), 202);
    assert_eq!(harness.endpoint.next_message().id(), "1");
}

/// Pushed, the list counts as current from the start of a process: nothing is sent by the list of an earlier one before
/// the first message of a watch, or its failure.
#[test]
fn where_the_list_is_pushed_no_push_uses_an_old_list_before_discovery_answers() {
    for speaks in [true, false] {
        let mut harness =
            RelayHarness::start_with(|config| config["settings"]["discovery"] = json!("automatic"));
        harness.next_watch().write(&format!("{WATCH_HEAD}{}", chunk("\n")));
        assert_eq!(harness.connect_client().submit("safe", "1", "", b""), 202);
        assert_eq!(harness.endpoint.next_message().id(), "1");
        harness.kill();
        harness.restart();
        let mut watch = harness.next_watch();
        assert_eq!(harness.connect_client().submit("safe", "2", "", b""), 202);
        harness.wait_for_log("notification accepted");
        // Reloaded settings do not make the old list current.
        harness.reload(&harness.config.to_string());
        harness.wait_for_log("configuration reloaded");
        assert!(harness.endpoint.next_message_within_30_ms().is_none());
        if speaks {
            let hosts = [("e", "draining", None), ("f", "ready", Some(harness.endpoint.address))];
            watch.write(&format!("{WATCH_HEAD}{}", chunk(&format!("{}\n", endpoint_list(43, true, &hosts)))));
            assert_eq!(harness.wait_for_log("push started")["endpoint"], "f");
        } else {
            watch.close();
        }
        let mut ids = [harness.endpoint.next_message(), harness.endpoint.next_message()]
            .map(|push| push.id().to_owned());
        ids.sort();
        assert_eq!(ids, ["1", "2"]);
    }
}

/// An endpoint changes its destination, with a call in flight and one whose connection is not established: the first
/// ends as usual, the second is not sent, and nothing more goes there for the former destination.
#[test]
fn an_endpoint_that_changes_its_destination_gets_no_pushes_for_the_former_one() {
    let (full, dial, _first) = unaccepting_listener();
    let harness = RelayHarness::start_with(|config| late_beside(config, dial));
    let mut watch = harness.next_watch();
    let mut client = harness.connect_client();
    assert_eq!([client.submit("once", "1", "k", b""), client.submit("safe", "2", "", b"")], [202; 2]);
    let mut in_flight = harness.endpoint.next_message();
    assert_eq!(in_flight.id(), "1");
    let mut changed = endpoint_list(
        42,
        false,
        &[("e", "ready", Some(harness.endpoint.address)), ("f", "ready", Some(dial))],
    );
    for host in changed["hosts"].as_array_mut().expect("hosts") {
        host["block"] = json!(8);
    }
    watch.write(WATCH_HEAD);
    write_list(&mut watch, &changed);
    assert_eq!(harness.wait_for_log("push ended")["status"], "Skipped");
    in_flight.respond("500 No", "", "");
    assert_eq!(harness.next_notice().1, json!({"message": "1", "outcome": "given_up"}));
    let changed = submission("safe", "3", "", 16_000, b"").to_vec();
    let changed = String::from_utf8(changed).expect("plain text").replace("dest=7", "dest=8");
    client.write(changed.as_bytes());
    assert_eq!(client.read_response().0, 202);
    assert_eq!(harness.endpoint.next_message().id(), "3");
    assert!(harness.endpoint.next_message_within_30_ms().is_none());
    drop(full);
}

/// An endpoint with an invalid address is logged, and uses up no push: its notifications wait until it has a valid one.
#[test]
fn an_endpoint_without_a_valid_address_gets_no_pushes_until_it_has_one() {
    let harness =
        RelayHarness::start_with(|config| config["settings"]["ceilings"]["max-attempts"] = json!(1));
    let mut watch = harness.next_watch();
    watch.write(WATCH_HEAD);
    let mut odd = endpoint_list(42, false, &[("e", "ready", None)]);
    odd["hosts"][0]["dial"] = json!("127.0.0.1:port");
    write_list(&mut watch, &odd);
    assert_eq!(harness.wait_for_log("endpoint address invalid")["endpoint"], "e");
    assert_eq!(harness.connect_client().submit("safe", "1", "", b""), 202);
    harness.wait_for_log("notification accepted");
    write_list(&mut watch, &endpoint_list(43, false, &[("e", "ready", Some(harness.endpoint.address))]));
    assert_eq!(harness.endpoint.next_message().id(), "1");
}
