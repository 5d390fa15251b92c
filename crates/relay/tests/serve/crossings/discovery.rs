//! The list and its watches, between two lines.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::support::{HEAD, chunk, line, list, out_of_reach, until};
use crate::stand_in::{Rig, request};
use crate::support::full;

/// Beside the destination's endpoint stands another, `f`, where nothing comes up until it is accepted.
fn late_beside(config: &mut Value, dial: std::net::SocketAddr) {
    let mut late = config["known"]["hosts"][0].clone();
    (late["host"], late["dial"]) = (json!("f"), json!(dial.to_string()));
    config["known"]["hosts"].as_array_mut().expect("hosts").push(late);
    config["settings"]["ceilings"]["connect-timeout"] = json!(10_000_000_000u64);
}

/// What an endpoint says before a call has gone out to it speaks of no call: it was not delivered, and never ran.
#[test]
fn an_answer_that_comes_before_its_call_has_gone_out_is_none() {
    for (early, status) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 200 OK\r\nX: never ends", "NoConnection"),
        ("noise\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "ConnectionLimitReached"),
    ] {
        let (full, dial, _first) = full();
        let rig = Rig::with(|config| {
            // Another endpoint, which drains, so that all goes to the one where nothing comes up.
            let mut late = config["known"]["hosts"][0].clone();
            (late["host"], late["health"]) = (json!("f"), json!("draining"));
            out_of_reach(config, dial);
            config["known"]["hosts"].as_array_mut().expect("hosts").push(late);
            config["settings"]["ceilings"]["connect-timeout"] = json!(10_000_000_000u64);
        });
        let mut watch = rig.watch();
        watch.write(HEAD);
        assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
        rig.logged("push started");
        rig.signal("-STOP");
        full.accept().expect("the connection that took the room");
        let (call, _) = full.accept().expect("the relay's, tried again by its system");
        let mut call = TcpStream::from(call);
        call.write_all(early.as_bytes()).expect("room");
        rig.signal("-CONT");
        assert_eq!(rig.logged("push ended")["status"], status, "{early}");
        drop(full);
        // It never ran, so even a once-only one goes to an endpoint that takes calls again.
        line(
            &mut watch,
            &list(42, false, &[("e", "gone", None), ("f", "ready", Some(rig.endpoint.address))]),
        );
        assert_eq!(rig.endpoint.next().id(), "1", "{early}");
    }
}

/// A list that can be read counts, though one that cannot comes behind it; that one changes nothing.
#[test]
fn a_list_before_one_that_cannot_be_read_is_heeded_and_the_watch_begun_anew_behind_it() {
    let rig = Rig::start();
    let mut watch = rig.watch();
    let drains = list(43, false, &[("e", "draining", Some(rig.endpoint.address))]);
    watch.write(&format!("{HEAD}{}", chunk(&format!("{drains}\n{{\"seq\": 44, \"hosts\": [17]}}\n"))));
    rig.logged("endpoint list updated");
    assert!(rig.watch().head.contains("index=43 "));
    assert_eq!(rig.client().hand_in("safe", "1", "", b""), 202);
    rig.logged("notification accepted");
    assert!(rig.endpoint.next_soon().is_none());
}

/// A list may stand on several lines, and come in pieces.
#[test]
fn a_list_that_comes_indented_is_read() {
    let rig = Rig::start();
    let mut watch = rig.watch();
    watch.write(HEAD);
    let lists = [
        list(43, true, &[("e", "draining", Some(rig.endpoint.address))]),
        list(44, false, &[("f", "ready", Some(rig.endpoint.address))]),
    ];
    let text: Vec<String> =
        lists.iter().map(|list| serde_json::to_string_pretty(list).expect("plain data") + "\n").collect();
    let text = text.concat();
    let (first, rest) = text.split_at(text.len() / 3);
    watch.write(&chunk(first));
    watch.write(&chunk(rest));
    assert_eq!(rig.logged("endpoint list updated")["entries"], 1);
    assert_eq!(rig.client().hand_in("safe", "1", "", b""), 202);
    assert_eq!(rig.logged("push started")["endpoint"], "f");
    watch.write("0\r\n\r\n");
    assert!(rig.watch().head.contains("index=44 "));
}

/// Pieces of a line keep no watch alive: nothing is told by them.
#[test]
fn a_watch_that_brings_only_pieces_of_a_line_is_silent() {
    let rig = Rig::start();
    let mut watch = rig.watch();
    let since = Instant::now();
    watch.write(HEAD);
    let text = list(43, true, &[("e", "draining", Some(rig.endpoint.address))]).to_string();
    let mut pieces = text.as_bytes().chunks(1).map(|piece| chunk(&String::from_utf8_lossy(piece)));
    let mut next = None;
    while next.is_none() {
        watch.try_write(&pieces.next().expect("silent before the list is whole"));
        next = rig.platform.next_soon();
        until(Instant::now(), 120);
    }
    assert!(next.is_some_and(|next| next.head.contains("index=41 ")));
    // Silent for 3 s from its head on; the rest is for a machine that is busy. News is to be had within 6 s.
    assert!(since.elapsed() < Duration::from_millis(5_500), "{:?}", since.elapsed());
}

/// Word that nothing has changed is word: a watch that breaks after it is begun anew soon, however often.
#[test]
fn a_watch_that_breaks_again_and_again_after_word_came_is_begun_anew_soon_each_time() {
    let rig = Rig::start();
    let since = Instant::now();
    for _ in 0..6 {
        let mut watch = rig.watch();
        watch.write(&format!("{HEAD}{}0\r\n\r\n", chunk("\n")));
    }
    rig.watch();
    // 0.3 s each at the most.
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
}

/// A drain, or a wait, is told in the very turn in which the connection of a call comes up: no byte of it goes out.
#[test]
fn what_is_told_in_the_turn_in_which_a_connection_comes_up_holds_for_its_call() {
    for drains in [true, false] {
        let (full, dial, _first) = full();
        let rig = Rig::with(|config| late_beside(config, dial));
        let mut watch = rig.watch();
        watch.write(HEAD);
        let mut client = rig.client();
        assert_eq!([client.hand_in("safe", "1", "", b""), client.hand_in("safe", "2", "", b"")], [202; 2]);
        let mut other = rig.endpoint.next();
        rig.logged("push started");
        rig.logged("push started");
        rig.signal("-STOP");
        full.accept().expect("the connection that took the room");
        let (call, _) = full.accept().expect("the relay's, tried again by its system");
        if drains {
            line(&mut watch, &list(42, false, &[("f", "draining", Some(dial))]));
        } else {
            other.answer("429 Too Many Requests", "Retry-After: 9.5\r\n", "");
        }
        rig.signal("-CONT");
        let lines = rig.logged_until("push ended");
        let last = if drains { lines.last().cloned() } else { Some(rig.logged("push ended")) };
        assert_eq!(last.map(|line| line["status"].clone()), Some(json!("Skipped")), "{lines:?}");
        let (mut call, mut bytes) = (TcpStream::from(call), Vec::new());
        // It may be reset: what counts is that nothing came.
        let _ = call.read_to_end(&mut bytes);
        assert_eq!(bytes, b"");
    }
}

/// A list that says it is whole and names no endpoints, not even none, is spoilt: the one held goes on.
#[test]
fn a_whole_list_without_endpoints_empties_nothing() {
    let rig = Rig::start();
    let mut watch = rig.watch();
    watch.write(&format!("{HEAD}{}", chunk("{\"seq\": 42, \"whole\": true}\n")));
    assert_eq!(rig.logged("endpoint list watch failed")["error"], "malformed");
    assert!(rig.watch().head.contains("index=41 "));
    assert_eq!(rig.client().hand_in("safe", "1", "", b""), 202);
    assert_eq!(rig.endpoint.next().id(), "1");
}

/// Pushed, what discovery has counts from a process's first moment: nothing goes by the list of an earlier one before
/// the first word of a watch, be it that there is none.
#[test]
fn where_the_list_is_pushed_nothing_goes_by_an_old_one_before_discovery_has_spoken() {
    for speaks in [true, false] {
        let mut rig = Rig::with(|config| config["settings"]["discovery"] = json!("automatic"));
        rig.watch().write(&format!("{HEAD}{}", chunk("\n")));
        assert_eq!(rig.client().hand_in("safe", "1", "", b""), 202);
        assert_eq!(rig.endpoint.next().id(), "1");
        rig.kill();
        rig.restart();
        let mut watch = rig.watch();
        assert_eq!(rig.client().hand_in("safe", "2", "", b""), 202);
        rig.logged("notification accepted");
        // Read anew, the settings make the old list no newer.
        rig.reload(&rig.config.to_string());
        rig.logged("configuration reloaded");
        assert!(rig.endpoint.next_soon().is_none());
        if speaks {
            let hosts = [("e", "draining", None), ("f", "ready", Some(rig.endpoint.address))];
            watch.write(&format!("{HEAD}{}", chunk(&format!("{}\n", list(43, true, &hosts)))));
            assert_eq!(rig.logged("push started")["endpoint"], "f");
        } else {
            watch.close();
        }
        let mut ids = [rig.endpoint.next(), rig.endpoint.next()].map(|push| push.id().to_owned());
        ids.sort();
        assert_eq!(ids, ["1", "2"]);
    }
}

/// An endpoint goes over to another destination, with a call out and one whose connection is not up: the first has its
/// end, the second does not arrive there, and nothing more goes there for the destination that it had.
#[test]
fn an_endpoint_that_goes_over_to_another_destination_gets_nothing_more_for_the_one_it_had() {
    let (full, dial, _first) = full();
    let rig = Rig::with(|config| late_beside(config, dial));
    let mut watch = rig.watch();
    let mut client = rig.client();
    assert_eq!([client.hand_in("once", "1", "k", b""), client.hand_in("safe", "2", "", b"")], [202; 2]);
    let mut out = rig.endpoint.next();
    assert_eq!(out.id(), "1");
    let mut moved =
        list(42, false, &[("e", "ready", Some(rig.endpoint.address)), ("f", "ready", Some(dial))]);
    for host in moved["hosts"].as_array_mut().expect("hosts") {
        host["block"] = json!(8);
    }
    watch.write(HEAD);
    line(&mut watch, &moved);
    assert_eq!(rig.logged("push ended")["status"], "Skipped");
    out.answer("500 No", "", "");
    assert_eq!(rig.notice().1, json!({"message": "1", "outcome": "given_up"}));
    let moved = request("safe", "3", "", 16_000, b"").to_vec();
    let moved = String::from_utf8(moved).expect("plain text").replace("dest=7", "dest=8");
    client.write(moved.as_bytes());
    assert_eq!(client.answer().0, 202);
    assert_eq!(rig.endpoint.next().id(), "3");
    assert!(rig.endpoint.next_soon().is_none());
    drop(full);
}

/// An endpoint whose address cannot be read is said, and uses up no push: what is for it is held until it can be.
#[test]
fn an_endpoint_with_no_address_that_can_be_read_gets_nothing_until_it_has_one() {
    let rig = Rig::with(|config| config["settings"]["ceilings"]["max-attempts"] = json!(1));
    let mut watch = rig.watch();
    watch.write(HEAD);
    let mut odd = list(42, false, &[("e", "ready", None)]);
    odd["hosts"][0]["dial"] = json!("127.0.0.1:port");
    line(&mut watch, &odd);
    assert_eq!(rig.logged("endpoint address invalid")["endpoint"], "e");
    assert_eq!(rig.client().hand_in("safe", "1", "", b""), 202);
    rig.logged("notification accepted");
    line(&mut watch, &list(43, false, &[("e", "ready", Some(rig.endpoint.address))]));
    assert_eq!(rig.endpoint.next().id(), "1");
}
