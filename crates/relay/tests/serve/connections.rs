//! The list, waits and drains, and connections to endpoints.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};

use serde_json::json;

use crate::stand_in::{LIMIT, Rig, request};
use crate::support::full;

#[test]
fn a_broken_watch_is_opened_again_from_the_version_held_and_a_drain_is_heeded() {
    let rig = Rig::start();
    let mut watch = rig.watch();
    assert!(watch.head.starts_with("GET /v1/endpoints?stream=1&index=41 "), "{}", watch.head);
    let list = |seq: u32, health: &str| {
        let dial = rig.endpoint.address.to_string();
        let host =
            json!({"host": "e", "dial": dial, "site": "z", "class": "plain", "block": 7, "health": health});
        format!("{}\n", json!({"seq": seq, "whole": false, "hosts": [host]}))
    };
    let line = list(43, "draining");
    let (first, rest) = line.split_at(30);
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.write(&format!("{:x}\r\n{first}\r\n{:x}\r\n{rest}\r\n", first.len(), rest.len()));
    watch.close();
    let mut watch = rig.watch();
    assert!(watch.head.contains("index=43 "), "{}", watch.head);
    let mut client = rig.client();
    assert_eq!(client.hand_in("safe", "1", "", b""), 202);
    rig.logged("notification accepted");
    let back = list(44, "ready");
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.write(&format!("{:x}\r\n{back}\r\n", back.len()));
    assert_eq!(rig.endpoint.next().id(), "1");
    assert!(rig.logs_in_order("endpoint list updated", "push started"));
    // Silent from here on.
    assert!(rig.watch().head.contains("index=44 "));
}

/// A connection that comes up late would carry a copy to its endpoint after its window, and with it the others.
#[test]
fn a_call_goes_without_what_may_not_go_any_more_when_its_connection_comes_up_late() {
    let (full, dial, _first) = full();
    let rig = Rig::with(|config| {
        config["settings"]["family-info"]["per-call"] = json!([10]);
        config["settings"]["classes"][1]["repeat-window"] = json!(700_000_000);
        let mut late = config["known"]["hosts"][0].clone();
        (late["host"], late["dial"]) = (json!("f"), json!(dial.to_string()));
        config["known"]["hosts"].as_array_mut().expect("hosts").push(late);
    });
    let mut client = rig.client();
    assert_eq!(client.hand_in("mark", "1", "", b""), 202);
    let mut first = rig.endpoint.next();
    assert_eq!(client.hand_in("safe", "2", "", b""), 202);
    first.answer("500 Internal Server Error", "", "");
    let ended = || rig.logged("push ended")["status"].clone();
    assert_eq!(ended(), "Error");
    // The copy's window ends while the connection is not up: it never went.
    assert_eq!(ended(), "NoConnection");
    assert_eq!(rig.notice().1, json!({"message": "1", "outcome": "given_up"}));
    full.accept().expect("the connection that took the room");
    let (call, _) = full.accept().expect("the relay's, tried again by its system");
    let mut body = Vec::new();
    let mut call = TcpStream::from(call);
    call.set_read_timeout(Some(LIMIT)).expect("a limit");
    while !body.ends_with(b"]") {
        let mut piece = [0; 1_024];
        let count = call.read(&mut piece).expect("a call");
        assert!(count > 0, "{}", String::from_utf8_lossy(&body));
        body.extend_from_slice(&piece[..count]);
    }
    let body = String::from_utf8(body).expect("plain text");
    assert!(body.contains(r#""id":"2""#) && !body.contains(r#""id":"1""#), "{body}");
}

/// Told to wait by one endpoint, the relay must not go on to another of the destination once it is reached.
#[test]
fn what_is_still_on_its_way_to_a_connection_is_not_sent_in_a_wait_told_meanwhile() {
    let (_full, dial, _first) = full();
    let rig = Rig::with(|config| {
        let mut late = config["known"]["hosts"][0].clone();
        (late["host"], late["dial"]) = (json!("f"), json!(dial.to_string()));
        config["known"]["hosts"].as_array_mut().expect("hosts").push(late);
    });
    let mut client = rig.client();
    assert_eq!([client.hand_in("safe", "1", "", b""), client.hand_in("safe", "2", "", b"")], [202; 2]);
    rig.endpoint.next().answer("429 Too Many Requests", "Retry-After: 9.5\r\n", "");
    assert_eq!(rig.logged("push ended")["status"], "Busy");
    assert_eq!(rig.logged("push ended")["status"], "Skipped");
}

/// An answer that crosses the end of its call tells a wait all the same.
#[test]
fn a_wait_told_to_a_call_that_is_over_is_heeded() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.write(&request("safe", "1", "", 300, b""));
    assert_eq!(client.answer().0, 202);
    let mut call = rig.endpoint.next();
    assert_eq!(rig.logged("push ended")["status"], "TimedOut");
    assert!(call.is_closed());
    call.answer("429 Too Many Requests", "Retry-After: 9.5\r\n", "");
    rig.logged("retry-after received");
    // Its time ends in the wait, so it is answered at once, and told when to come again.
    client.write(&request("safe", "2", "", 300, b""));
    let (status, head) = client.answer();
    assert_eq!((status, head.contains("Retry-After: 3.000")), (429, true), "{head}");
    let (mut notice, ends) = rig.notices();
    notice.answer("204 No Content", "", "");
    assert_eq!(ends[0], json!({"message": "1", "outcome": "given_up"}));
    assert!(rig.endpoint.next_soon().is_none());
}

/// A connection that is not up yet would carry its push to an endpoint long after that began to drain.
#[test]
fn what_is_still_on_its_way_to_a_connection_is_not_sent_to_an_endpoint_that_drains() {
    let (_full, dial, _first) = full();
    let rig = Rig::with(|config| config["known"]["hosts"][0]["dial"] = json!(dial.to_string()));
    let mut watch = rig.watch();
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert_eq!(rig.client().hand_in("once", "1", "k", b""), 202);
    rig.logged("push started");
    let host = |name: &str, dial: SocketAddr, health: &str| json!({"host": name, "dial": dial.to_string(), "site": "z", "class": "plain", "block": 7, "health": health});
    let hosts = [host("e", dial, "draining"), host("f", rig.endpoint.address, "ready")];
    let line = format!("{}\n", json!({"seq": 42, "whole": false, "hosts": hosts}));
    watch.write(&format!("{:x}\r\n{line}\r\n", line.len()));
    assert_eq!(rig.logged("push ended")["status"], "Skipped");
    // It never ran, so even a once-only one goes to the next.
    assert_eq!(rig.endpoint.next().id(), "1");
}

#[test]
fn a_push_that_times_out_is_abandoned_by_closing_its_connection_and_goes_again() {
    let rig = Rig::start();
    let mut client = rig.client();
    for id in ["1", "2", "3", "4", "5", "6"] {
        assert_eq!(client.hand_in("safe", id, "", b""), 202);
        rig.endpoint.next().answer("200 OK", "", "");
        rig.logged("push ended");
    }
    client.write(&request("safe", "7", "", 4_000, b"x"));
    assert_eq!(client.answer().0, 202);
    let mut first = rig.endpoint.next();
    assert!(first.is_closed());
    let mut second = rig.endpoint.next();
    assert_eq!((first.id(), second.id()), ("7", "7"));
    second.answer("200 OK", "", "");
    assert_eq!(rig.logged("push ended")["status"], "TimedOut");
    assert_eq!(rig.logged("push ended")["status"], "Delivered");
}

#[test]
fn an_idle_connection_is_closed_before_its_endpoint_would_and_a_refused_one_is_no_push() {
    let mut rig = Rig::with(|config| config["settings"]["ceilings"]["conn-idle"] = json!(400_000_000));
    let mut client = rig.client();
    // The first is closed at once, for a relay that comes so seldom; the second, soon after it, once it was idle.
    for id in ["0", "1"] {
        assert_eq!(client.hand_in("once", id, "", b""), 202);
        let mut push = rig.endpoint.next();
        push.answer("200 OK", "", "");
        assert!(push.is_closed());
    }
    // Answered in a later turn: what came before it is on record.
    client.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
    assert_eq!(client.answer().0, 200);
    // Nobody listens there: it never ran, so a once-only one may go again, and is handed back in the end.
    rig.config["known"]["hosts"][0]["dial"] = json!("127.0.0.1:1");
    rig.kill();
    rig.restart();
    let mut client = rig.client();
    client.write(&request("once", "2", "", 600, b""));
    assert_eq!(client.answer().0, 202);
    assert_eq!(rig.logged("push ended")["status"], "NoConnection");
    let (_, notice) = rig.notice();
    assert_eq!((&notice["message"], &notice["outcome"]), (&json!("2"), &json!("handed_back")));
}

/// A list that is pushed comes by a watch all the same, and somebody has to open it.
#[test]
fn where_the_list_is_pushed_a_watch_is_opened_too() {
    let rig = Rig::with(|config| config["settings"]["discovery"] = json!("automatic"));
    assert!(rig.watch().head.starts_with("GET /v1/endpoints?stream=1&index=41 "));
}
