//! Notifications go on, alone or several in a call, and what endpoints answer is heeded.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::stand_in::{Rig, request};

#[test]
fn a_notification_goes_on_unchanged_and_is_over_when_delivered() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    client.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
    assert_eq!(client.answer().0, 200);
    let body: Vec<u8> = (0..=255).collect();
    assert_eq!(client.hand_in("safe", "a b/é", "", &body), 202);
    let mut push = rig.endpoint.next();
    assert!(push.head.starts_with("POST /hook HTTP/1.1\r\n"), "{}", push.head);
    assert_eq!((push.id(), push.header("Idempotency-Key")), ("a b/é", Some("i-a b/é")));
    assert_eq!(push.body, body);
    let time_out: u64 =
        push.header("Request-Timeout-Ms").and_then(|text| text.parse().ok()).expect("a number");
    assert!(time_out <= 16_000);
    push.answer("200 OK", "", "ok");
    // The next goes by the same connection, so the answer was read.
    assert_eq!(client.hand_in("safe", "2", "", b""), 202);
    rig.endpoint.next().answer("200 OK", "", "");
    assert_eq!(client.hand_in("safe", "3", "", b""), 202);
    let mut third = rig.endpoint.next();
    rig.terminate();
    third.answer("200 OK", "", "");
    assert_eq!(rig.logged("shutdown complete")["outstanding"], 0);
    assert_eq!(rig.ended(), Some(0));
}

#[test]
fn several_for_one_endpoint_go_in_one_call_each_with_its_own_fate() {
    let rig = Rig::with(|config| config["settings"]["family-info"]["per-call"] = json!([10]));
    let mut client = rig.client();
    let all = ["1", "2", "3"].map(|id| request("once", id, id, 16_000, id.as_bytes()));
    client.write(&all.concat());
    assert_eq!([client.answer().0, client.answer().0, client.answer().0], [202; 3]);
    let mut push = rig.endpoint.next();
    assert!(push.head.starts_with("POST /hook/batch HTTP/1.1\r\n"), "{}", push.head);
    let sent: Value = serde_json::from_slice(&push.body).expect("JSON");
    let item = |id: &str, body: &str| json!({"id": id, "key": format!("i-{id}"), "body": body});
    assert_eq!(sent, json!([item("1", "MQ=="), item("2", "Mg=="), item("3", "Mw==")]));
    let state = |id: &str, state: &str| json!({"id": id, "state": state});
    let states = json!([state("3", "failed"), state("1", "delivered"), state("2", "refused")]);
    push.answer("200 OK", "", &states.to_string());
    // What failed may have run: given up. What was refused goes again. What was delivered is heard of no more.
    let (mut message, notice) = rig.notice();
    assert_eq!(notice, json!({"message": "3", "outcome": "given_up"}));
    message.answer("204 No Content", "", "");
    assert_eq!(rig.endpoint.next().id(), "2");
}

#[test]
fn a_call_of_several_that_cannot_be_read_goes_again_as_calls_of_one() {
    let rig = Rig::with(|config| config["settings"]["family-info"]["per-call"] = json!([10]));
    let mut client = rig.client();
    client.write(&["1", "2", "3"].map(|id| request("once", id, id, 16_000, b"")).concat());
    assert_eq!([client.answer().0, client.answer().0, client.answer().0], [202; 3]);
    rig.endpoint.next().answer("400 Bad Request", "", "");
    let mut each = [rig.endpoint.next(), rig.endpoint.next(), rig.endpoint.next()];
    each.iter_mut().for_each(|push| push.answer("200 OK", "", ""));
    let mut ids = each.each_ref().map(|push| push.id().to_owned());
    ids.sort();
    assert_eq!(ids, ["1", "2", "3"]);
}

#[test]
fn a_refusal_in_the_accepting_turn_is_the_answer_itself() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write(&request("safe", "1", "", 5, b""));
    let (status, head) = client.answer();
    assert_eq!(status, 429);
    assert!(head.contains("Retry-After: "), "{head}");
    assert_eq!(client.hand_in("safe", "2", "", b""), 202);
    assert_eq!(rig.endpoint.next().id(), "2");
}

#[test]
fn a_destination_that_the_list_does_not_have_is_not_taken_on() {
    let rig = Rig::start();
    let mut client = rig.client();
    let unlisted = |id: &str| {
        let request = request("safe", id, "", 9_000, b"");
        String::from_utf8(request).expect("text").replace("dest=7", "dest=70000").into_bytes()
    };
    // As long as discovery has told nothing, the list may be old.
    client.write(&unlisted("1"));
    assert_eq!(client.answer().0, 503);
    let mut watch = rig.watch();
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let mut status = 503;
    for id in 2.. {
        client.write(&unlisted(&id.to_string()));
        status = client.answer().0;
        if status != 503 || id > 2_000 {
            break;
        }
    }
    assert_eq!(status, 404);
    // One whose last endpoint has just left is about to have another.
    let gone = json!({"seq": 42, "whole": false, "hosts": [{"host": "e", "block": 7, "health": "gone"}]});
    watch.write(&format!("{:x}\r\n{gone}\n\r\n", gone.to_string().len() + 1));
    rig.logged("endpoint list updated");
    assert_eq!(client.hand_in("safe", "held", "", b""), 202);
}

#[test]
fn an_id_that_was_used_is_never_pushed_again_nor_taken_on_after_a_refusal() {
    let rig = Rig::with(|config| config["settings"]["ceilings"]["most-held"] = json!(1));
    let mut client = rig.client();
    assert_eq!(client.hand_in("once", "1", "", b"first"), 202);
    assert_eq!(client.hand_in("once", "2", "", b"no room"), 503);
    rig.endpoint.next().answer("200 OK", "", "");
    rig.logged("push ended");
    assert_eq!(client.hand_in("once", "1", "", b"another"), 202);
    assert_eq!(client.hand_in("once", "2", "", b"another"), 503);
    assert_eq!(client.hand_in("once", "3", "", b"third"), 202);
    assert_eq!(rig.endpoint.next().id(), "3");
}

#[test]
fn a_spoilt_answer_is_a_push_that_may_have_run_unless_it_began_as_delivered() {
    let rig = Rig::start();
    let mut client = rig.client();
    let mut push = |id: &str, answer: &str| {
        assert_eq!(client.hand_in("once", id, "", b""), 202);
        let mut push = rig.endpoint.next();
        push.write(answer);
        (rig.logged("push ended")["status"].clone(), push.is_closed())
    };
    let answers = [
        ("HTTP/1.1 500 No\r\nX: never ends", "Error"),
        ("HTTP/1.1 200 OK\r\nX: never ends", "Delivered"),
        ("HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nshort", "Error"),
        ("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\n\u{1}\r\n\r\n", "Delivered"),
        ("\u{1} noise \r\n\r\n", "Error"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "Delivered"),
    ];
    for (id, (answer, status)) in answers.into_iter().enumerate() {
        assert_eq!(push(&id.to_string(), answer), (json!(status), true), "{answer}");
    }
}

/// Calls of several, a once-only topic type without order, and calls overdue soon enough for a test.
fn several(config: &mut Value) {
    config["settings"]["family-info"]["per-call"] = json!([10]);
    config["settings"]["rules"]["tip-after"] = json!(300_000_000);
    let classes = config["settings"]["classes"].as_array_mut().expect("topic types");
    let mut loose = classes.last().expect("the once-only one").clone();
    (loose["name"], loose["fifo-by-key"]) = (json!("loose"), json!(false));
    classes.push(loose);
}

/// An answer that comes after the first TTL in a call speaks of what is over: it counts for none of it.
#[test]
fn a_call_of_several_ends_with_the_first_ttl_in_it_and_a_later_answer_counts_for_none() {
    for topic in ["loose", "once"] {
        let rig = Rig::with(several);
        let mut client = rig.client();
        client.write(&[request(topic, "1", "1", 1_000, b""), request(topic, "2", "2", 16_000, b"")].concat());
        assert_eq!([client.answer().0, client.answer().0], [202; 2]);
        let mut call = rig.endpoint.next();
        assert!(call.head.starts_with("POST /hook/batch "), "{}", call.head);
        let time_out = call.header("Request-Timeout-Ms").and_then(|text| text.parse::<u64>().ok());
        assert!(time_out.is_some_and(|ms| ms <= 1_000), "{time_out:?}");
        let (mut message, first) = rig.notices();
        message.answer("204 No Content", "", "");
        let states = json!([{"id": "1", "state": "delivered"}, {"id": "2", "state": "delivered"}]);
        call.answer("200 OK", "", &states.to_string());
        let ids: Vec<&Value> = first.iter().map(|notice| &notice["message"]).collect();
        assert_eq!(ids, ["1", "2"], "{topic}");
        assert!(call.is_closed());
    }
}

#[test]
fn what_has_little_time_left_goes_in_a_call_of_its_own() {
    let rig = Rig::with(several);
    let mut client = rig.client();
    client.write(&[request("loose", "1", "", 200, b""), request("loose", "2", "", 16_000, b"")].concat());
    assert_eq!([client.answer().0, client.answer().0], [202; 2]);
    let mut calls = [rig.endpoint.next(), rig.endpoint.next()];
    calls.sort_by_key(|call| call.id().to_owned());
    assert_eq!([calls[0].id(), calls[1].id()], ["1", "2"]);
    // The first runs out of time; the second is none the worse for it.
    assert_eq!(rig.notice().1, json!({"message": "1", "outcome": "given_up"}));
    calls[1].answer("200 OK", "", "");
    rig.logged_until("push ended");
    assert_eq!(rig.logged("push ended")["status"], "Delivered");
}

/// The answer and the end of its time are seen in one turn: nobody can tell which came first.
#[test]
fn an_answer_read_in_the_turn_in_which_time_is_up_does_not_count() {
    let rig = Rig::with(several);
    assert_eq!(rig.client().hand_in("loose", "1", "", b""), 202);
    rig.endpoint.next().answer("200 OK", "", "");
    rig.logged("push ended");
    let mut client = rig.client();
    client.write(&request("loose", "2", "", 400, b""));
    assert_eq!(client.answer().0, 202);
    let since = Instant::now();
    let mut push = rig.endpoint.next();
    rig.signal("-STOP");
    std::thread::sleep(Duration::from_millis(600).saturating_sub(since.elapsed()));
    push.answer("200 OK", "", "");
    rig.signal("-CONT");
    assert_eq!(rig.logged("push ended")["status"], "TimedOut");
    assert_eq!(rig.notice().1, json!({"message": "2", "outcome": "given_up"}));
}
