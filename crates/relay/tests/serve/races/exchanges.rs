//! Races of requests, responses and notices.

use std::time::{Duration, Instant};

use serde_json::json;

use super::support::sleep_until;
use crate::harness::{RelayHarness, submission};

/// The end of a request and its deadline are handled in the same iteration. The request is complete, so it is answered.
#[test]
fn a_request_complete_in_the_iteration_of_its_timeout_is_answered() {
    let harness = RelayHarness::start();
    let request = submission("safe", "1", "", 16_000, b"x");
    let mut client = harness.connect_client();
    client.write(&request[..request.len() - 1]);
    let since = Instant::now();
    harness.send_signal("-STOP");
    client.write(&request[request.len() - 1..]);
    sleep_until(since, 2_300);
    harness.send_signal("-CONT");
    assert_eq!(client.read_response().0, 202);
    assert_eq!(harness.endpoint.next_message().id(), "1");
}

/// The retry-after in the head of a response applies from then on, even if the rest is late, invalid or missing.
#[test]
fn retry_after_in_the_head_of_an_incomplete_response_applies_immediately() {
    for (status, rest, closes) in [
        ("429 Too Many Requests", "", false),
        ("429 Too Many Requests", "half", true),
        ("503 Service Unavailable", "half", false),
        ("200 OK", "", false),
    ] {
        let harness = RelayHarness::start();
        let mut client = harness.connect_client();
        assert_eq!(client.submit("safe", "1", "", b""), 202);
        let mut push = harness.endpoint.next_message();
        push.write(&format!("HTTP/1.1 {status}\r\nRetry-After: 1.2\r\nContent-Length: 9\r\n\r\n{rest}"));
        let since = Instant::now();
        let open_push = if closes {
            push.close();
            None
        } else {
            Some(push)
        };
        assert_eq!(harness.wait_for_log("retry-after received")["retry_after_ms"], 1_200);
        assert_eq!(client.submit("safe", "2", "", b""), 202);
        harness.endpoint.next_message();
        assert!(since.elapsed() >= Duration::from_millis(1_150), "{status} {rest}: {:?}", since.elapsed());
        drop(open_push);
    }
}

/// An endless series of interim responses ends the push with an error long before its time to live.
#[test]
fn endless_interim_responses_end_the_push() {
    let harness = RelayHarness::start();
    assert_eq!(harness.connect_client().submit("once", "1", "k", b""), 202);
    let mut push = harness.endpoint.next_message();
    let since = Instant::now();
    for _ in 0..1_000 {
        push.try_write("HTTP/1.1 102 Processing\r\n\r\n");
    }
    assert_eq!(harness.wait_for_log("push ended")["status"], "Error");
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
}

/// A push that is cancelled after the status line of a 200 response was delivered, even if the rest is still missing.
#[test]
fn a_push_cancelled_after_the_status_line_of_a_200_was_delivered() {
    let harness =
        RelayHarness::start_with(|config| config["settings"]["rules"]["tip-after"] = json!(400_000_000u64));
    let mut client = harness.connect_client();
    for id in ["1", "2", "3"] {
        assert_eq!(client.submit("once", id, "k", b""), 202);
    }
    let mut push = harness.endpoint.next_message();
    let since = Instant::now();
    // With two notifications waiting for its key, the push is overdue 0.8 s after it was sent. The response would time
    // out as incomplete 0.5 s after its status line.
    sleep_until(since, 550);
    push.write("HTTP/1.1 200 OK\r\n");
    let ended = harness.wait_for_log("push ended");
    assert_eq!((&ended["notification"], &ended["status"]), (&json!(1), &json!("Delivered")));
    assert!(
        since.elapsed() < Duration::from_millis(1_000),
        "cancelled before the response timed out: {:?}",
        since.elapsed()
    );
    assert_eq!(harness.endpoint.next_message().id(), "2");
}

/// An id submitted on two connections in the same iteration gets the same response on both, even if it is a rejection.
#[test]
fn an_id_submitted_twice_in_one_iteration_has_one_response() {
    for (ms, status) in [(1, 429), (16_000, 202)] {
        let harness = RelayHarness::start();
        let mut clients = [harness.connect_client(), harness.connect_client()];
        for client in &mut clients {
            // The relay has accepted both connections before it is stopped.
            client.write(b"GET /ready HTTP/1.1\r\n\r\n");
            assert_eq!(client.read_response().0, 200);
        }
        harness.send_signal("-STOP");
        clients.iter_mut().for_each(|client| client.write(&submission("safe", "1", "", ms, b"")));
        harness.send_signal("-CONT");
        assert_eq!(clients.map(|mut client| client.read_response().0), [status; 2]);
        let pushes = usize::from(status == 202);
        assert_eq!(std::iter::from_fn(|| harness.endpoint.next_message_within_30_ms()).count(), pushes);
    }
}

/// The connection for notices dies while idle. The next notice is resent on a new connection in time: within 300 ms,
/// the limit for the notice of an expiry.
#[test]
fn a_notice_on_a_dead_connection_is_repeated_in_time() {
    let harness = RelayHarness::start();
    let mut client = harness.connect_client();
    for id in ["1", "2"] {
        assert_eq!(client.submit("once", id, "", b""), 202);
        harness.endpoint.next_message().respond("500 No", "", "");
        let (mut first, end) = harness.next_notice();
        assert_eq!(end["message"], id);
        let since = Instant::now();
        if id == "1" {
            first.respond("204 No Content", "", "");
            harness.wait_for_log("final answer acknowledged");
        } else {
            let (mut again, end) = harness.next_notice();
            assert_eq!(end["message"], id);
            assert!(since.elapsed() < Duration::from_millis(300), "{:?}", since.elapsed());
            assert!(first.is_closed());
            again.respond("204 No Content", "", "");
            harness.wait_for_log("final answer acknowledged");
        }
    }
}

/// A header that the relay uses or forwards is not UTF-8: the submission must not be accepted without it.
#[test]
fn a_submission_with_a_header_that_is_not_utf8_is_rejected() {
    let harness = RelayHarness::start();
    for (name, status) in [
        ("Idempotency-Key", 400),
        ("Tenant", 400),
        ("Request-Class", 400),
        ("Request-Id", 400),
        ("User-Agent", 202),
    ] {
        let rest = ["Request-Id: 1\r\n", "Envelope: dest=7\r\nRequest-Timeout-Ms: 9000\r\n\r\n"];
        let rest = &rest[usize::from(name == "Request-Id")..].concat();
        let mut client = harness.connect_client();
        client
            .write(&[b"POST /safe HTTP/1.1\r\n", name.as_bytes(), b": k\xff\r\n", rest.as_bytes()].concat());
        assert_eq!(client.read_response().0, status, "{name}");
    }
    assert_eq!(harness.endpoint.next_message().id(), "1");
    assert!(harness.endpoint.next_message_within_30_ms().is_none());
}
