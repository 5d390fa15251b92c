//! Restarts, crashes, shutdowns and the journal.

use std::collections::VecDeque;
use std::fs::OpenOptions;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::harness::{ReceivedMessage, RelayHarness, TestServer};

#[test]
fn a_notice_is_repeated_until_acknowledged_even_by_the_next_process() {
    let mut harness = RelayHarness::start();
    assert_eq!(harness.connect_client().submit("once", "1", "k", b"x"), 202);
    harness.endpoint.next_message().respond("500 Internal Server Error", "", "");
    let (mut message, notice) = harness.next_notice();
    assert_eq!(notice, json!({"message": "1", "outcome": "given_up"}));
    message.respond("503 Service Unavailable", "", "");
    let (message, again) = harness.next_notice();
    assert_eq!(again, notice);
    message.close();
    assert_eq!(harness.next_notice().1, notice);
    harness.kill();
    harness.restart();
    let (mut message, again) = harness.next_notice();
    assert_eq!(again, notice);
    // The next notification with this key may only be pushed after the acknowledgement.
    assert_eq!(harness.connect_client().submit("once", "2", "k", b"x"), 202);
    harness.wait_for_log("notification accepted");
    message.respond("204 No Content", "", "");
    assert_eq!(harness.endpoint.next_message().id(), "2");
    assert!(harness.is_logged_before("final answer acknowledged", "push started"));
}

#[test]
fn a_killed_relay_recovers_its_notifications_and_repeats_no_non_idempotent_push() {
    let mut harness = RelayHarness::start();
    let mut client = harness.connect_client();
    assert_eq!(client.submit("once", "1", "k", b"first"), 202);
    assert_eq!(client.submit("once", "2", "k", b"second"), 202);
    assert_eq!(client.submit("mark", "3", "", b"third"), 202);
    let in_flight = [harness.endpoint.next_message(), harness.endpoint.next_message()];
    let mut ids = in_flight.each_ref().map(|push| push.id().to_owned());
    ids.sort();
    assert_eq!(ids, ["1", "3"]);
    harness.kill();
    harness.restart();
    // The deduplicated notification is pushed again under its id. The non-idempotent one is not, and blocks the next
    // one with its key until its end is acknowledged.
    let mut again = harness.endpoint.next_message();
    assert_eq!(
        (again.id(), again.header("Idempotency-Key"), &*again.body),
        ("3", Some("i-3"), &b"third"[..])
    );
    again.respond("200 OK", "", "");
    let (mut message, notice) = harness.next_notice();
    assert_eq!(notice, json!({"message": "1", "outcome": "given_up"}));
    harness.wait_for_log("push ended");
    message.respond("204 No Content", "", "");
    let second = harness.endpoint.next_message();
    assert_eq!((second.id(), &*second.body), ("2", &b"second"[..]));
    assert!(harness.is_logged_before("final answer acknowledged", "push started"));
}

#[test]
fn on_sigterm_the_relay_keeps_serving_and_exits_in_time_with_all_in_the_journal() {
    let mut harness = RelayHarness::start();
    let mut client = harness.connect_client();
    assert_eq!(client.submit("once", "1", "k", b"x"), 202);
    let first = harness.endpoint.next_message();
    let since = Instant::now();
    harness.request_stop();
    harness.wait_for_log("shutdown started");
    assert_eq!(client.submit("safe", "2", "", b"x"), 202);
    harness.endpoint.next_message().respond("200 OK", "", "");
    let mut late = harness.connect_client();
    late.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
    assert_eq!(late.read_response().0, 503);
    harness.wait_for_log("new calls stopped");
    assert_eq!(client.submit("safe", "3", "", b"late"), 202);
    assert!(harness.log_until("shutdown complete").iter().all(|line| line["msg"] != "push started"));
    assert_eq!(harness.wait_for_exit(), Some(0));
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
    drop(first);
    harness.restart();
    assert_eq!(&*harness.endpoint.next_message().body, b"late");
    assert_eq!(harness.next_notice().1, json!({"message": "1", "outcome": "given_up"}));
}

#[test]
fn a_full_journal_rejects_submissions_and_continues_the_live_ones() {
    let mut harness = RelayHarness::start_with(|config| config["limits"]["disk_mb"] = json!(0.2));
    let mut client = harness.connect_client();
    let body = vec![7; 16 * 1024];
    let mut submitted = 0;
    while client.submit("safe", &submitted.to_string(), "", &body) == 202 {
        submitted += 1;
    }
    assert!((2..12).contains(&submitted), "{submitted}");
    assert_eq!(client.submit("safe", "more", "", &body), 503);
    // Each delivery frees capacity. In total, many times the size limit is written.
    for round in 0..40 {
        harness.endpoint.next_message().respond("200 OK", "", "");
        let mut ids = (0..).map(|count| format!("{round}-again-{count}"));
        while client.submit("safe", &ids.next().unwrap_or_default(), "", &body) != 202 {}
        let files = std::fs::read_dir(harness.state_directory()).expect("the directory").flatten();
        let size: u64 = files.map(|file| file.metadata().map_or(0, |data| data.len())).sum();
        assert!(size < 200_000, "{size}");
    }
    harness.kill();
    harness.restart();
    assert_eq!(harness.endpoint.next_message().body, body);
}

#[test]
fn a_torn_journal_tail_is_truncated_and_the_rest_kept() {
    let mut harness = RelayHarness::start();
    assert_eq!(harness.connect_client().submit("safe", "1", "", b"kept"), 202);
    harness.endpoint.next_message();
    harness.kill();
    let log = harness.state_directory().join("log");
    let bytes = std::fs::read(&log).expect("a journal");
    let mut file = OpenOptions::new().append(true).open(&log).expect("a journal");
    file.write_all(&bytes[..bytes.len() / 2 + 7])
        .and_then(|()| file.write_all(&[0xff; 9]))
        .expect("disk space");
    harness.restart();
    assert_eq!(&*harness.endpoint.next_message().body, b"kept");
    harness.kill();
    std::fs::write(&log, [0xff; 100]).expect("disk space");
    harness.restart();
    assert_eq!(harness.connect_client().submit("safe", "2", "", b"new"), 202);
    assert_eq!(&*harness.endpoint.next_message().body, b"new");
}

/// An event seen by a peer of the relay.
#[derive(Debug, PartialEq)]
enum Observation {
    /// A push of the notification with this id was received.
    Pushed(String),
    /// The push was rejected without being run.
    NotRun(String),
    /// The notification was delivered, or its end was reported by a notice.
    Finished(String),
}

/// Responds to calls and notices in other threads, and reports what it observes.
fn observe(endpoint: TestServer, platform: TestServer) -> Receiver<Observation> {
    let (sender, observations) = channel();
    let notices = sender.clone();
    std::thread::spawn(move || acknowledge_notices(&platform, &notices));
    std::thread::spawn(move || answer_calls(&endpoint, &sender));
    observations
}

/// Acknowledges notices immediately.
fn acknowledge_notices(platform: &TestServer, observations: &Sender<Observation>) {
    while let Some(mut message) = platform.next_message_without_timeout() {
        if message.head.starts_with("POST /v1/notices ") {
            for line in message.body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
                let notice: Value = serde_json::from_slice(line).expect("a notice");
                let id = notice["message"].as_str().expect("an id").to_owned();
                if observations.send(Observation::Finished(id)).is_err() {
                    return;
                }
            }
            message.respond("204 No Content", "", "");
        }
    }
}

/// Responds to calls with a delay, and to some with an error.
fn answer_calls(endpoint: &TestServer, observations: &Sender<Observation>) {
    let (mut unanswered, mut count) = (VecDeque::new(), 0);
    loop {
        let next = endpoint.next_message_within_30_ms();
        let is_quiet = next.is_none();
        if let Some(message) = next {
            if observations.send(Observation::Pushed(message.id().to_owned())).is_err() {
                return;
            }
            unanswered.push_back(message);
        }
        if !is_quiet && unanswered.len() < 3 {
            continue;
        }
        let Some(mut message): Option<ReceivedMessage> = unanswered.pop_front() else { continue };
        let id = message.id().to_owned();
        count += 1;
        let (status, observation) = match count % 12 {
            5 => ("503 Service Unavailable", Some(Observation::NotRun(id))),
            11 => ("500 Internal Server Error", None),
            _ => ("200 OK", Some(Observation::Finished(id))),
        };
        if observation.is_some_and(|observation| observations.send(observation).is_err()) {
            return;
        }
        message.respond(status, "", "");
    }
}

#[test]
fn repeated_kills_lose_nothing_repeat_no_non_idempotent_push_and_keep_the_order() {
    let mut harness = RelayHarness::start();
    let (endpoint, platform) = harness.take_servers();
    let observations = observe(endpoint, platform);
    let (mut submitted, mut log) = (Vec::new(), Vec::new());
    for round in 0..6 {
        let mut client = harness.connect_client();
        for count in 0..20 {
            let (topic, key) = if count % 2 == 0 { ("once", count % 3) } else { ("safe", 9) };
            let id = format!("{topic}-{key}-{round}-{count:02}");
            assert_eq!(client.submit(topic, &id, &key.to_string(), b"x"), 202);
            submitted.push(id);
        }
        harness.kill();
        harness.restart();
    }
    let is_finished = |log: &[Observation], id: &String| {
        log.iter().any(|observation| matches!(observation, Observation::Finished(s) if s == id))
    };
    while !submitted.iter().all(|id| is_finished(&log, id)) {
        log.push(
            observations
                .recv_timeout(crate::harness::TEST_TIMEOUT)
                .expect("every accepted notification ends before the timeout"),
        );
    }
    let position_of = |what: &Observation| log.iter().position(|observation| observation == what);
    for (index, id) in submitted.iter().enumerate().filter(|(_, id)| id.starts_with("once")) {
        let count = |what: Observation| log.iter().filter(|observation| **observation == what).count();
        let ran = count(Observation::Pushed(id.clone())) - count(Observation::NotRun(id.clone()));
        assert!(ran <= 1, "{id} may have run {ran} times: {log:?}");
        let key = |id: &String| id[..6].to_owned();
        let before = submitted[..index].iter().rev().find(|other| key(other) == key(id));
        if let (Some(before), Some(pushed)) = (before, position_of(&Observation::Pushed(id.clone()))) {
            let finished =
                position_of(&Observation::Finished(before.clone())).expect("every notification has ended");
            assert!(finished < pushed, "{id} overtook {before}: {log:?}");
        }
    }
}
