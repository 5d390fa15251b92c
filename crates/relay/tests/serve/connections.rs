//! The endpoint list, retry-after pauses, drains, and connections to endpoints.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};

use serde_json::json;

use crate::harness::{RelayHarness, TEST_TIMEOUT, submission};
use crate::support::unaccepting_listener;

#[test]
fn a_failed_watch_is_reopened_from_the_last_version_and_a_drain_is_respected() {
    let harness = RelayHarness::start();
    let mut watch = harness.next_watch();
    assert!(watch.head.starts_with("GET /v1/endpoints?stream=1&index=41 "), "{}", watch.head);
    let list = |seq: u32, health: &str| {
        let address = harness.endpoint.address.to_string();
        let host = json!({"host": "e", "dial": address, "site": "z", "class": "plain", "block": 7,
            "health": health});
        format!("{}\n", json!({"seq": seq, "whole": false, "hosts": [host]}))
    };
    let line = list(43, "draining");
    let (first, rest) = line.split_at(30);
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.write(&format!("{:x}\r\n{first}\r\n{:x}\r\n{rest}\r\n", first.len(), rest.len()));
    watch.close();
    let mut watch = harness.next_watch();
    assert!(watch.head.contains("index=43 "), "{}", watch.head);
    let mut client = harness.connect_client();
    assert_eq!(client.submit("safe", "1", "", b""), 202);
    harness.wait_for_log("notification accepted");
    let ready = list(44, "ready");
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.write(&format!("{:x}\r\n{ready}\r\n", ready.len()));
    assert_eq!(harness.endpoint.next_message().id(), "1");
    assert!(harness.is_logged_before("endpoint list updated", "push started"));
    // No further message is sent, so the watch times out.
    assert!(harness.next_watch().head.contains("index=44 "));
}

/// When a connection is established late, a repeat whose deduplication window has ended must not be sent; the other
/// pushes of the call still are.
#[test]
fn a_late_connection_sends_only_the_pushes_that_are_still_allowed() {
    let (listener, address, _queued) = unaccepting_listener();
    let harness = RelayHarness::start_with(|config| {
        config["settings"]["family-info"]["per-call"] = json!([10]);
        config["settings"]["classes"][1]["repeat-window"] = json!(700_000_000);
        let mut second_host = config["known"]["hosts"][0].clone();
        (second_host["host"], second_host["dial"]) = (json!("f"), json!(address.to_string()));
        config["known"]["hosts"].as_array_mut().expect("hosts").push(second_host);
    });
    let mut client = harness.connect_client();
    assert_eq!(client.submit("mark", "1", "", b""), 202);
    let mut first = harness.endpoint.next_message();
    assert_eq!(client.submit("safe", "2", "", b""), 202);
    first.respond("500 Internal Server Error", "", "");
    let ended = || harness.wait_for_log("push ended")["status"].clone();
    assert_eq!(ended(), "Error");
    // The window of the repeat ends before the connection is established, so it is not sent.
    assert_eq!(ended(), "NoConnection");
    assert_eq!(harness.next_notice().1, json!({"message": "1", "outcome": "given_up"}));
    listener.accept().expect("the connection that filled the accept queue");
    let (call, _) = listener.accept().expect("the relay's connection, retried by the kernel");
    let mut body = Vec::new();
    let mut call = TcpStream::from(call);
    call.set_read_timeout(Some(TEST_TIMEOUT)).expect("a read timeout");
    while !body.ends_with(b"]") {
        let mut buffer = [0; 1_024];
        let count = call.read(&mut buffer).expect("a call");
        assert!(count > 0, "{}", String::from_utf8_lossy(&body));
        body.extend_from_slice(&buffer[..count]);
    }
    let body = String::from_utf8(body).expect("plain text");
    assert!(body.contains(r#""id":"2""#) && !body.contains(r#""id":"1""#), "{body}");
}

/// After a retry-after from one endpoint, the relay must not send an unsent push to another endpoint of the destination
/// whose connection is established later.
#[test]
fn an_unsent_push_is_not_sent_during_a_retry_after_received_meanwhile() {
    let (_listener, address, _queued) = unaccepting_listener();
    let harness = RelayHarness::start_with(|config| {
        let mut second_host = config["known"]["hosts"][0].clone();
        (second_host["host"], second_host["dial"]) = (json!("f"), json!(address.to_string()));
        config["known"]["hosts"].as_array_mut().expect("hosts").push(second_host);
    });
    let mut client = harness.connect_client();
    assert_eq!([client.submit("safe", "1", "", b""), client.submit("safe", "2", "", b"")], [202; 2]);
    harness.endpoint.next_message().respond("429 Too Many Requests", "Retry-After: 9.5\r\n", "");
    assert_eq!(harness.wait_for_log("push ended")["status"], "Busy");
    assert_eq!(harness.wait_for_log("push ended")["status"], "Skipped");
}

/// A response that arrives after the end of its call can still contain a retry-after.
#[test]
fn retry_after_in_a_late_response_is_respected() {
    let harness = RelayHarness::start();
    let mut client = harness.connect_client();
    client.write(&submission("safe", "1", "", 300, b""));
    assert_eq!(client.read_response().0, 202);
    let mut call = harness.endpoint.next_message();
    assert_eq!(harness.wait_for_log("push ended")["status"], "TimedOut");
    assert!(call.is_closed());
    call.respond("429 Too Many Requests", "Retry-After: 9.5\r\n", "");
    harness.wait_for_log("retry-after received");
    // The notification would expire during the pause, so it is rejected immediately with a retry delay.
    client.write(&submission("safe", "2", "", 300, b""));
    let (status, head) = client.read_response();
    assert_eq!((status, head.contains("Retry-After: 3.000")), (429, true), "{head}");
    let (mut notice, ends) = harness.next_notices();
    notice.respond("204 No Content", "", "");
    assert_eq!(ends[0], json!({"message": "1", "outcome": "given_up"}));
    assert!(harness.endpoint.next_message_within_30_ms().is_none());
}

/// A push waiting for its connection must not be sent to an endpoint that has started to drain meanwhile.
#[test]
fn an_unsent_push_is_not_sent_to_an_endpoint_that_drains_meanwhile() {
    let (_listener, address, _queued) = unaccepting_listener();
    let harness =
        RelayHarness::start_with(|config| config["known"]["hosts"][0]["dial"] = json!(address.to_string()));
    let mut watch = harness.next_watch();
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert_eq!(harness.connect_client().submit("once", "1", "k", b""), 202);
    harness.wait_for_log("push started");
    let host = |name: &str, address: SocketAddr, health: &str| {
        json!({"host": name, "dial": address.to_string(), "site": "z", "class": "plain", "block": 7,
            "health": health})
    };
    let hosts = [host("e", address, "draining"), host("f", harness.endpoint.address, "ready")];
    let line = format!("{}\n", json!({"seq": 42, "whole": false, "hosts": hosts}));
    watch.write(&format!("{:x}\r\n{line}\r\n", line.len()));
    assert_eq!(harness.wait_for_log("push ended")["status"], "Skipped");
    // The push was not run, so even a non-idempotent one is sent to the next endpoint.
    assert_eq!(harness.endpoint.next_message().id(), "1");
}

#[test]
fn a_push_that_times_out_closes_its_connection_and_is_retried() {
    let harness = RelayHarness::start();
    let mut client = harness.connect_client();
    for id in ["1", "2", "3", "4", "5", "6"] {
        assert_eq!(client.submit("safe", id, "", b""), 202);
        harness.endpoint.next_message().respond("200 OK", "", "");
        harness.wait_for_log("push ended");
    }
    client.write(&submission("safe", "7", "", 4_000, b"x"));
    assert_eq!(client.read_response().0, 202);
    let mut first = harness.endpoint.next_message();
    assert!(first.is_closed());
    let mut second = harness.endpoint.next_message();
    assert_eq!((first.id(), second.id()), ("7", "7"));
    second.respond("200 OK", "", "");
    assert_eq!(harness.wait_for_log("push ended")["status"], "TimedOut");
    assert_eq!(harness.wait_for_log("push ended")["status"], "Delivered");
}

#[test]
fn an_idle_connection_is_closed_before_its_endpoint_closes_it_and_a_refused_one_runs_nothing() {
    let mut harness =
        RelayHarness::start_with(|config| config["settings"]["ceilings"]["conn-idle"] = json!(400_000_000));
    let mut client = harness.connect_client();
    // The first is closed immediately because calls are rare; the second, soon after it, by the idle timeout.
    for id in ["0", "1"] {
        assert_eq!(client.submit("once", id, "", b""), 202);
        let mut push = harness.endpoint.next_message();
        push.respond("200 OK", "", "");
        assert!(push.is_closed());
    }
    // Answered in a later iteration, so everything before it is in the journal.
    client.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
    assert_eq!(client.read_response().0, 200);
    // The connection is refused: the push was not run, so a non-idempotent notification may be retried, and is finally
    // returned to its client.
    harness.config["known"]["hosts"][0]["dial"] = json!("127.0.0.1:1");
    harness.kill();
    harness.restart();
    let mut client = harness.connect_client();
    client.write(&submission("once", "2", "", 600, b""));
    assert_eq!(client.read_response().0, 202);
    assert_eq!(harness.wait_for_log("push ended")["status"], "NoConnection");
    let (_, notice) = harness.next_notice();
    assert_eq!((&notice["message"], &notice["outcome"]), (&json!("2"), &json!("handed_back")));
}

/// A pushed list is also received over a watch, which the relay has to open.
#[test]
fn with_a_pushed_list_a_watch_is_opened_too() {
    let harness = RelayHarness::start_with(|config| config["settings"]["discovery"] = json!("automatic"));
    assert!(harness.next_watch().head.starts_with("GET /v1/endpoints?stream=1&index=41 "));
}
