//! Requests, answers and notices.

use std::time::{Duration, Instant};

use serde_json::json;

use super::support::until;
use crate::stand_in::{Rig, request};

/// The end of a request and the end of its time are seen in one turn. It is whole: it has an answer.
#[test]
fn a_request_that_is_whole_in_the_turn_in_which_its_time_is_up_is_answered() {
    let rig = Rig::start();
    let whole = request("safe", "1", "", 16_000, b"x");
    let mut client = rig.client();
    client.write(&whole[..whole.len() - 1]);
    let since = Instant::now();
    rig.signal("-STOP");
    client.write(&whole[whole.len() - 1..]);
    until(since, 2_300);
    rig.signal("-CONT");
    assert_eq!(client.answer().0, 202);
    assert_eq!(rig.endpoint.next().id(), "1");
}

/// An answer's head tells a wait, and the rest of it is late, spoilt or never comes: the wait binds from the head on.
#[test]
fn a_wait_told_in_the_head_of_an_answer_that_is_never_whole_binds_at_once() {
    for (status, rest, closes) in [
        ("429 Too Many Requests", "", false),
        ("429 Too Many Requests", "half", true),
        ("503 Service Unavailable", "half", false),
        ("200 OK", "", false),
    ] {
        let rig = Rig::start();
        let mut client = rig.client();
        assert_eq!(client.hand_in("safe", "1", "", b""), 202);
        let mut push = rig.endpoint.next();
        push.write(&format!("HTTP/1.1 {status}\r\nRetry-After: 1.2\r\nContent-Length: 9\r\n\r\n{rest}"));
        let since = Instant::now();
        let kept = if closes {
            push.close();
            None
        } else {
            Some(push)
        };
        assert_eq!(rig.logged("retry-after received")["retry_after_ms"], 1_200);
        assert_eq!(client.hand_in("safe", "2", "", b""), 202);
        rig.endpoint.next();
        assert!(since.elapsed() >= Duration::from_millis(1_150), "{status} {rest}: {:?}", since.elapsed());
        drop(kept);
    }
}

/// 1xx responses without end are no answer: the push ends long before its time to live.
#[test]
fn interim_answers_without_end_are_spoilt() {
    let rig = Rig::start();
    assert_eq!(rig.client().hand_in("once", "1", "k", b""), 202);
    let mut push = rig.endpoint.next();
    let since = Instant::now();
    for _ in 0..1_000 {
        push.try_write("HTTP/1.1 102 Processing\r\n\r\n");
    }
    assert_eq!(rig.logged("push ended")["status"], "Error");
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
}

/// A push is called off while the rest of its answer is late: with the first line of a 200 it was delivered.
#[test]
fn what_is_called_off_behind_the_first_line_of_a_200_was_delivered() {
    let rig = Rig::with(|config| config["settings"]["rules"]["tip-after"] = json!(400_000_000u64));
    let mut client = rig.client();
    for id in ["1", "2", "3"] {
        assert_eq!(client.hand_in("once", id, "k", b""), 202);
    }
    let mut push = rig.endpoint.next();
    let since = Instant::now();
    // Overdue, with two of its key behind it, 0.8 s after it went; spoilt 0.5 s after its first line.
    until(since, 550);
    push.write("HTTP/1.1 200 OK\r\n");
    let ended = rig.logged("push ended");
    assert_eq!((&ended["notification"], &ended["status"]), (&json!(1), &json!("Delivered")));
    assert!(since.elapsed() < Duration::from_millis(1_000), "called off, not spoilt: {:?}", since.elapsed());
    assert_eq!(rig.endpoint.next().id(), "2");
}

/// One id on two connections, read in one turn: both have the one answer, be it a refusal.
#[test]
fn an_id_handed_in_twice_in_one_turn_has_one_answer() {
    for (ms, status) in [(1, 429), (16_000, 202)] {
        let rig = Rig::start();
        let mut clients = [rig.client(), rig.client()];
        for client in &mut clients {
            // Both are known to the relay before it stands still.
            client.write(b"GET /ready HTTP/1.1\r\n\r\n");
            assert_eq!(client.answer().0, 200);
        }
        rig.signal("-STOP");
        clients.iter_mut().for_each(|client| client.write(&request("safe", "1", "", ms, b"")));
        rig.signal("-CONT");
        assert_eq!(clients.map(|mut client| client.answer().0), [status; 2]);
        let pushes = usize::from(status == 202);
        assert_eq!(std::iter::from_fn(|| rig.endpoint.next_soon()).count(), pushes);
    }
}

/// The connection that notices go by falls silent while it rests: the next is repeated on another in time, which is
/// 300 ms for an end that came with the time to live.
#[test]
fn a_notice_on_a_connection_that_fell_silent_is_repeated_in_time() {
    let rig = Rig::start();
    let mut client = rig.client();
    for id in ["1", "2"] {
        assert_eq!(client.hand_in("once", id, "", b""), 202);
        rig.endpoint.next().answer("500 No", "", "");
        let (mut first, end) = rig.notice();
        assert_eq!(end["message"], id);
        let since = Instant::now();
        if id == "1" {
            first.answer("204 No Content", "", "");
            rig.logged("final answer acknowledged");
        } else {
            let (mut again, end) = rig.notice();
            assert_eq!(end["message"], id);
            assert!(since.elapsed() < Duration::from_millis(300), "{:?}", since.elapsed());
            assert!(first.is_closed());
            again.answer("204 No Content", "", "");
            rig.logged("final answer acknowledged");
        }
    }
}

/// A header that the relay passes on, or goes by, is there and is no text: nothing is taken on without it.
#[test]
fn what_says_something_that_is_no_text_is_not_taken_on_without_it() {
    let rig = Rig::start();
    for (name, status) in [
        ("Idempotency-Key", 400),
        ("Tenant", 400),
        ("Request-Class", 400),
        ("Request-Id", 400),
        ("User-Agent", 202),
    ] {
        let rest = ["Request-Id: 1\r\n", "Envelope: dest=7\r\nRequest-Timeout-Ms: 9000\r\n\r\n"];
        let rest = &rest[usize::from(name == "Request-Id")..].concat();
        let mut client = rig.client();
        client
            .write(&[b"POST /safe HTTP/1.1\r\n", name.as_bytes(), b": k\xff\r\n", rest.as_bytes()].concat());
        assert_eq!(client.answer().0, status, "{name}");
    }
    assert_eq!(rig.endpoint.next().id(), "1");
    assert!(rig.endpoint.next_soon().is_none());
}
