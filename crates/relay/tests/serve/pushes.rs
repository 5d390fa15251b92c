//! Single and batched pushes, and the responses of endpoints.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::harness::{RelayHarness, submission};

#[test]
fn a_notification_is_pushed_unchanged_and_closed_when_delivered() {
    let mut harness = RelayHarness::start();
    let mut client = harness.connect_client();
    client.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
    assert_eq!(client.read_response().0, 200);
    let body: Vec<u8> = (0..=255).collect();
    assert_eq!(client.submit("safe", "a b/é", "", &body), 202);
    let mut push = harness.endpoint.next_message();
    assert!(push.head.starts_with("POST /hook HTTP/1.1\r\n"), "{}", push.head);
    assert_eq!((push.id(), push.header("Idempotency-Key")), ("a b/é", Some("i-a b/é")));
    assert_eq!(push.body, body);
    let timeout_ms: u64 =
        push.header("Request-Timeout-Ms").and_then(|text| text.parse().ok()).expect("a number");
    assert!(timeout_ms <= 16_000);
    push.respond("200 OK", "", "ok");
    // The next push reuses the connection, so the response was read.
    assert_eq!(client.submit("safe", "2", "", b""), 202);
    harness.endpoint.next_message().respond("200 OK", "", "");
    assert_eq!(client.submit("safe", "3", "", b""), 202);
    let mut third = harness.endpoint.next_message();
    harness.request_stop();
    third.respond("200 OK", "", "");
    assert_eq!(harness.wait_for_log("shutdown complete")["outstanding"], 0);
    assert_eq!(harness.wait_for_exit(), Some(0));
}

#[test]
fn a_batch_to_one_endpoint_gives_each_push_its_own_result() {
    let harness =
        RelayHarness::start_with(|config| config["settings"]["family-info"]["per-call"] = json!([10]));
    let mut client = harness.connect_client();
    let all = ["1", "2", "3"].map(|id| submission("once", id, id, 16_000, id.as_bytes()));
    client.write(&all.concat());
    assert_eq!([client.read_response().0, client.read_response().0, client.read_response().0], [202; 3]);
    let mut push = harness.endpoint.next_message();
    assert!(push.head.starts_with("POST /hook/batch HTTP/1.1\r\n"), "{}", push.head);
    let sent: Value = serde_json::from_slice(&push.body).expect("JSON");
    let item = |id: &str, body: &str| json!({"id": id, "key": format!("i-{id}"), "body": body});
    assert_eq!(sent, json!([item("1", "MQ=="), item("2", "Mg=="), item("3", "Mw==")]));
    let state = |id: &str, state: &str| json!({"id": id, "state": state});
    let states = json!([state("3", "failed"), state("1", "delivered"), state("2", "refused")]);
    push.respond("200 OK", "", &states.to_string());
    // The failed push may have run, so its notification is given up. The refused one is retried, and the delivered one
    // is not sent again.
    let (mut message, notice) = harness.next_notice();
    assert_eq!(notice, json!({"message": "3", "outcome": "given_up"}));
    message.respond("204 No Content", "", "");
    assert_eq!(harness.endpoint.next_message().id(), "2");
}

#[test]
fn a_batch_rejected_as_malformed_is_retried_as_single_calls() {
    let harness =
        RelayHarness::start_with(|config| config["settings"]["family-info"]["per-call"] = json!([10]));
    let mut client = harness.connect_client();
    client.write(&["1", "2", "3"].map(|id| submission("once", id, id, 16_000, b"")).concat());
    assert_eq!([client.read_response().0, client.read_response().0, client.read_response().0], [202; 3]);
    harness.endpoint.next_message().respond("400 Bad Request", "", "");
    let mut each =
        [harness.endpoint.next_message(), harness.endpoint.next_message(), harness.endpoint.next_message()];
    each.iter_mut().for_each(|push| push.respond("200 OK", "", ""));
    let mut ids = each.each_ref().map(|push| push.id().to_owned());
    ids.sort();
    assert_eq!(ids, ["1", "2", "3"]);
}

#[test]
fn a_rejection_in_the_iteration_of_the_submission_is_its_response() {
    let harness = RelayHarness::start();
    let mut client = harness.connect_client();
    client.write(&submission("safe", "1", "", 5, b""));
    let (status, head) = client.read_response();
    assert_eq!(status, 429);
    assert!(head.contains("Retry-After: "), "{head}");
    assert_eq!(client.submit("safe", "2", "", b""), 202);
    assert_eq!(harness.endpoint.next_message().id(), "2");
}

#[test]
fn a_notification_for_an_unknown_destination_is_rejected() {
    let harness = RelayHarness::start();
    let mut client = harness.connect_client();
    let unlisted = |id: &str| {
        let request = submission("safe", id, "", 9_000, b"");
        String::from_utf8(request).expect("text").replace("dest=7", "dest=70000").into_bytes()
    };
    // The list may be outdated until discovery has sent a message.
    client.write(&unlisted("1"));
    assert_eq!(client.read_response().0, 503);
    let mut watch = harness.next_watch();
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let mut status = 503;
    for id in 2.. {
        client.write(&unlisted(&id.to_string()));
        status = client.read_response().0;
        if status != 503 || id > 2_000 {
            break;
        }
    }
    assert_eq!(status, 404);
    // A destination whose last endpoint was just removed may soon have another one.
    let gone = json!({"seq": 42, "whole": false, "hosts": [{"host": "e", "block": 7, "health": "gone"}]});
    watch.write(&format!("{:x}\r\n{gone}\n\r\n", gone.to_string().len() + 1));
    harness.wait_for_log("endpoint list updated");
    assert_eq!(client.submit("safe", "held", "", b""), 202);
}

#[test]
fn a_reused_id_is_not_pushed_again_and_not_accepted_after_a_rejection() {
    let harness = RelayHarness::start_with(|config| config["settings"]["ceilings"]["most-held"] = json!(1));
    let mut client = harness.connect_client();
    assert_eq!(client.submit("once", "1", "", b"first"), 202);
    assert_eq!(client.submit("once", "2", "", b"no room"), 503);
    harness.endpoint.next_message().respond("200 OK", "", "");
    harness.wait_for_log("push ended");
    assert_eq!(client.submit("once", "1", "", b"another"), 202);
    assert_eq!(client.submit("once", "2", "", b"another"), 503);
    assert_eq!(client.submit("once", "3", "", b"third"), 202);
    assert_eq!(harness.endpoint.next_message().id(), "3");
}

#[test]
fn an_invalid_response_may_have_run_unless_its_status_line_says_delivered() {
    let harness = RelayHarness::start();
    let mut client = harness.connect_client();
    let mut push = |id: &str, response: &str| {
        assert_eq!(client.submit("once", id, "", b""), 202);
        let mut push = harness.endpoint.next_message();
        push.write(response);
        (harness.wait_for_log("push ended")["status"].clone(), push.is_closed())
    };
    let responses = [
        ("HTTP/1.1 500 No\r\nX: never ends", "Error"),
        ("HTTP/1.1 200 OK\r\nX: never ends", "Delivered"),
        ("HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nshort", "Error"),
        ("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\n\u{1}\r\n\r\n", "Delivered"),
        ("\u{1} noise \r\n\r\n", "Error"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "Delivered"),
    ];
    for (id, (response, status)) in responses.into_iter().enumerate() {
        assert_eq!(push(&id.to_string(), response), (json!(status), true), "{response}");
    }
}

/// Enables batches, adds an unordered non-idempotent topic type, and makes calls overdue early enough for a test.
fn enable_batches(config: &mut Value) {
    config["settings"]["family-info"]["per-call"] = json!([10]);
    config["settings"]["rules"]["tip-after"] = json!(300_000_000);
    let classes = config["settings"]["classes"].as_array_mut().expect("topic types");
    let mut unordered = classes.last().expect("the non-idempotent topic type").clone();
    (unordered["name"], unordered["fifo-by-key"]) = (json!("unordered"), json!(false));
    classes.push(unordered);
}

/// The first expiry of a push in a batch ends the call; a response that arrives later applies to none of its pushes.
#[test]
fn a_batch_ends_with_its_first_expiry_and_ignores_a_later_response() {
    for topic in ["unordered", "once"] {
        let harness = RelayHarness::start_with(enable_batches);
        let mut client = harness.connect_client();
        client.write(
            &[submission(topic, "1", "1", 1_000, b""), submission(topic, "2", "2", 16_000, b"")].concat(),
        );
        assert_eq!([client.read_response().0, client.read_response().0], [202; 2]);
        let mut call = harness.endpoint.next_message();
        assert!(call.head.starts_with("POST /hook/batch "), "{}", call.head);
        let timeout_ms = call.header("Request-Timeout-Ms").and_then(|text| text.parse::<u64>().ok());
        assert!(timeout_ms.is_some_and(|ms| ms <= 1_000), "{timeout_ms:?}");
        let (mut message, first) = harness.next_notices();
        message.respond("204 No Content", "", "");
        let states = json!([{"id": "1", "state": "delivered"}, {"id": "2", "state": "delivered"}]);
        call.respond("200 OK", "", &states.to_string());
        let ids: Vec<&Value> = first.iter().map(|notice| &notice["message"]).collect();
        assert_eq!(ids, ["1", "2"], "{topic}");
        assert!(call.is_closed());
    }
}

#[test]
fn a_push_with_little_time_left_is_sent_in_its_own_call() {
    let harness = RelayHarness::start_with(enable_batches);
    let mut client = harness.connect_client();
    client.write(
        &[submission("unordered", "1", "", 200, b""), submission("unordered", "2", "", 16_000, b"")].concat(),
    );
    assert_eq!([client.read_response().0, client.read_response().0], [202; 2]);
    let mut calls = [harness.endpoint.next_message(), harness.endpoint.next_message()];
    calls.sort_by_key(|call| call.id().to_owned());
    assert_eq!([calls[0].id(), calls[1].id()], ["1", "2"]);
    // The first expires; the second is not affected.
    assert_eq!(harness.next_notice().1, json!({"message": "1", "outcome": "given_up"}));
    calls[1].respond("200 OK", "", "");
    harness.log_until("push ended");
    assert_eq!(harness.wait_for_log("push ended")["status"], "Delivered");
}

/// The response and the timeout are handled in the same iteration, so it is unknown which came first.
#[test]
fn a_response_read_in_the_iteration_of_the_timeout_is_ignored() {
    let harness = RelayHarness::start_with(enable_batches);
    assert_eq!(harness.connect_client().submit("unordered", "1", "", b""), 202);
    harness.endpoint.next_message().respond("200 OK", "", "");
    harness.wait_for_log("push ended");
    let mut client = harness.connect_client();
    client.write(&submission("unordered", "2", "", 400, b""));
    assert_eq!(client.read_response().0, 202);
    let since = Instant::now();
    let mut push = harness.endpoint.next_message();
    harness.send_signal("-STOP");
    std::thread::sleep(Duration::from_millis(600).saturating_sub(since.elapsed()));
    push.respond("200 OK", "", "");
    harness.send_signal("-CONT");
    assert_eq!(harness.wait_for_log("push ended")["status"], "TimedOut");
    assert_eq!(harness.next_notice().1, json!({"message": "2", "outcome": "given_up"}));
}
