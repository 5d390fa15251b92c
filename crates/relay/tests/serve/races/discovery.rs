//! The endpoint list and its watches.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::support::{WATCH_HEAD, chunk, endpoint_list, set_endpoint_address, sleep_until, write_list};
use crate::harness::{RelayHarness, submission};
use crate::support::unaccepting_listener;

/// Adds an endpoint `f` whose address does not accept connections yet.
fn add_unaccepting_endpoint(config: &mut Value, address: std::net::SocketAddr) {
    let mut second_host = config["known"]["hosts"][0].clone();
    (second_host["host"], second_host["dial"]) = (json!("f"), json!(address.to_string()));
    config["known"]["hosts"].as_array_mut().expect("hosts").push(second_host);
    config["settings"]["ceilings"]["connect-timeout"] = json!(10_000_000_000u64);
}

/// Bytes that an endpoint sends before the call is sent do not answer it: the push was neither delivered nor run.
#[test]
fn a_response_received_before_its_call_was_sent_is_ignored() {
    for (early, status) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 200 OK\r\nX: never ends", "NoConnection"),
        ("noise\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "ConnectionLimitReached"),
    ] {
        let (listener, address, _queued) = unaccepting_listener();
        let harness = RelayHarness::start_with(|config| {
            // Another endpoint is draining, so that all pushes go to the one that does not accept connections.
            let mut second_host = config["known"]["hosts"][0].clone();
            (second_host["host"], second_host["health"]) = (json!("f"), json!("draining"));
            set_endpoint_address(config, address);
            config["known"]["hosts"].as_array_mut().expect("hosts").push(second_host);
            config["settings"]["ceilings"]["connect-timeout"] = json!(10_000_000_000u64);
        });
        let mut watch = harness.next_watch();
        watch.write(WATCH_HEAD);
        assert_eq!(harness.connect_client().submit("once", "1", "k", b"x"), 202);
        harness.wait_for_log("push started");
        harness.send_signal("-STOP");
        listener.accept().expect("the connection that filled the accept queue");
        let (call, _) = listener.accept().expect("the relay's connection, retried by the kernel");
        let mut call = TcpStream::from(call);
        call.write_all(early.as_bytes()).expect("buffer space");
        harness.send_signal("-CONT");
        assert_eq!(harness.wait_for_log("push ended")["status"], status, "{early}");
        drop(listener);
        // The push was not run, so even a non-idempotent one is sent to an endpoint that serves again.
        write_list(
            &mut watch,
            &endpoint_list(42, false, &[("e", "gone", None), ("f", "ready", Some(harness.endpoint.address))]),
        );
        assert_eq!(harness.endpoint.next_message().id(), "1", "{early}");
    }
}

/// A valid list is applied even if a malformed one follows, which changes nothing.
#[test]
fn a_list_before_a_malformed_one_is_applied_and_the_watch_reopened_after_it() {
    let harness = RelayHarness::start();
    let mut watch = harness.next_watch();
    let draining = endpoint_list(43, false, &[("e", "draining", Some(harness.endpoint.address))]);
    watch
        .write(&format!("{WATCH_HEAD}{}", chunk(&format!("{draining}\n{{\"seq\": 44, \"hosts\": [17]}}\n"))));
    harness.wait_for_log("endpoint list updated");
    assert!(harness.next_watch().head.contains("index=43 "));
    assert_eq!(harness.connect_client().submit("safe", "1", "", b""), 202);
    harness.wait_for_log("notification accepted");
    assert!(harness.endpoint.next_message_within_30_ms().is_none());
}

/// A list may span several lines and several chunks.
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

/// Incomplete lines are not messages, so they do not extend the deadline of a watch.
#[test]
fn a_watch_with_only_an_incomplete_line_times_out() {
    let harness = RelayHarness::start();
    let mut watch = harness.next_watch();
    let since = Instant::now();
    watch.write(WATCH_HEAD);
    let text = endpoint_list(43, true, &[("e", "draining", Some(harness.endpoint.address))]).to_string();
    let mut pieces = text.as_bytes().chunks(1).map(|piece| chunk(&String::from_utf8_lossy(piece)));
    let mut next = None;
    while next.is_none() {
        watch.try_write(&pieces.next().expect("the watch times out before the list is complete"));
        next = harness.platform.next_message_within_30_ms();
        sleep_until(Instant::now(), 120);
    }
    assert!(next.is_some_and(|next| next.head.contains("index=41 ")));
    // The timeout is 3 s after the head; the rest allows for a busy machine. An update must arrive within 6 s.
    assert!(since.elapsed() < Duration::from_millis(5_500), "{:?}", since.elapsed());
}

/// An empty line is a message: a watch that fails after one is reopened soon, even repeatedly.
#[test]
fn a_watch_that_fails_repeatedly_after_messages_is_reopened_soon_each_time() {
    let harness = RelayHarness::start();
    let since = Instant::now();
    for _ in 0..6 {
        let mut watch = harness.next_watch();
        watch.write(&format!("{WATCH_HEAD}{}0\r\n\r\n", chunk("\n")));
    }
    harness.next_watch();
    // At most 0.3 s per watch, plus time for a busy machine.
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
}

/// A drain or a retry-after is received in the iteration in which the connection of a call is established: no byte of
/// the call is sent.
#[test]
fn updates_in_the_iteration_in_which_a_connection_is_established_apply_to_its_call() {
    for is_drain in [true, false] {
        let (listener, address, _queued) = unaccepting_listener();
        let harness = RelayHarness::start_with(|config| add_unaccepting_endpoint(config, address));
        let mut watch = harness.next_watch();
        watch.write(WATCH_HEAD);
        let mut client = harness.connect_client();
        assert_eq!([client.submit("safe", "1", "", b""), client.submit("safe", "2", "", b"")], [202; 2]);
        let mut other = harness.endpoint.next_message();
        harness.wait_for_log("push started");
        harness.wait_for_log("push started");
        harness.send_signal("-STOP");
        listener.accept().expect("the connection that filled the accept queue");
        let (call, _) = listener.accept().expect("the relay's connection, retried by the kernel");
        if is_drain {
            write_list(&mut watch, &endpoint_list(42, false, &[("f", "draining", Some(address))]));
        } else {
            other.respond("429 Too Many Requests", "Retry-After: 9.5\r\n", "");
        }
        harness.send_signal("-CONT");
        let lines = harness.log_until("push ended");
        let last = if is_drain { lines.last().cloned() } else { Some(harness.wait_for_log("push ended")) };
        assert_eq!(last.map(|line| line["status"].clone()), Some(json!("Skipped")), "{lines:?}");
        let (mut call, mut bytes) = (TcpStream::from(call), Vec::new());
        // The connection may be reset; only the received bytes matter.
        let _ = call.read_to_end(&mut bytes);
        assert_eq!(bytes, b"");
    }
}

/// A complete list without the field `hosts` is malformed, so the current list stays.
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

/// A pushed list counts as current from the start of the process. Still, no push may use the list of an earlier process
/// before the first message or the failure of a watch.
#[test]
fn with_a_pushed_list_no_push_uses_an_old_list_before_discovery_responds() {
    for responds in [true, false] {
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
        if responds {
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

/// An endpoint changes its destination while one call is in flight and another waits for its connection. The first call
/// ends normally, the second is not sent, and no further push for the former destination is sent to the endpoint.
#[test]
fn an_endpoint_that_changes_its_destination_gets_no_pushes_for_the_former_one() {
    let (listener, address, _queued) = unaccepting_listener();
    let harness = RelayHarness::start_with(|config| add_unaccepting_endpoint(config, address));
    let mut watch = harness.next_watch();
    let mut client = harness.connect_client();
    assert_eq!([client.submit("once", "1", "k", b""), client.submit("safe", "2", "", b"")], [202; 2]);
    let mut in_flight = harness.endpoint.next_message();
    assert_eq!(in_flight.id(), "1");
    let mut changed = endpoint_list(
        42,
        false,
        &[("e", "ready", Some(harness.endpoint.address)), ("f", "ready", Some(address))],
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
    drop(listener);
}

/// An endpoint with an invalid address is logged and uses up no pushes: notifications wait until the address is valid.
#[test]
fn an_endpoint_without_a_valid_address_gets_no_pushes_until_it_has_one() {
    let harness =
        RelayHarness::start_with(|config| config["settings"]["ceilings"]["max-attempts"] = json!(1));
    let mut watch = harness.next_watch();
    watch.write(WATCH_HEAD);
    let mut invalid = endpoint_list(42, false, &[("e", "ready", None)]);
    invalid["hosts"][0]["dial"] = json!("127.0.0.1:port");
    write_list(&mut watch, &invalid);
    assert_eq!(harness.wait_for_log("endpoint address invalid")["endpoint"], "e");
    assert_eq!(harness.connect_client().submit("safe", "1", "", b""), 202);
    harness.wait_for_log("notification accepted");
    write_list(&mut watch, &endpoint_list(43, false, &[("e", "ready", Some(harness.endpoint.address))]));
    assert_eq!(harness.endpoint.next_message().id(), "1");
}
