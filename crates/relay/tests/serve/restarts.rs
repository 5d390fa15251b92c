//! Restarts, kills, stops and the store.

use std::fs::OpenOptions;
use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::stand_in::{Message, Rig, Server};

#[test]
fn a_notice_is_repeated_until_it_is_answered_even_by_the_next_process() {
    let mut rig = Rig::start();
    assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
    rig.endpoint.next().answer("500 Internal Server Error", "", "");
    let (mut message, notice) = rig.notice();
    assert_eq!(notice, json!({"message": "1", "outcome": "given_up"}));
    message.answer("503 Service Unavailable", "", "");
    let (message, again) = rig.notice();
    assert_eq!(again, notice);
    message.close();
    assert_eq!(rig.notice().1, notice);
    rig.kill();
    rig.restart();
    let (mut message, again) = rig.notice();
    assert_eq!(again, notice);
    // The next of its key may go only now.
    assert_eq!(rig.client().hand_in("once", "2", "k", b"x"), 202);
    rig.logged("notification accepted");
    message.answer("204 No Content", "", "");
    assert_eq!(rig.endpoint.next().id(), "2");
    assert!(rig.logs_in_order("final answer acknowledged", "push started"));
}

#[test]
fn killed_outright_it_takes_up_what_it_owes_and_repeats_nothing_that_may_have_run_once_only() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    assert_eq!(client.hand_in("once", "1", "k", b"first"), 202);
    assert_eq!(client.hand_in("once", "2", "k", b"second"), 202);
    assert_eq!(client.hand_in("mark", "3", "", b"third"), 202);
    let out = [rig.endpoint.next(), rig.endpoint.next()];
    let mut ids = out.each_ref().map(|push| push.id().to_owned());
    ids.sort();
    assert_eq!(ids, ["1", "3"]);
    rig.kill();
    rig.restart();
    // The collapsible one goes again under its id; the once-only one does not, and holds up the next of its key
    // until its end was heard.
    let mut again = rig.endpoint.next();
    assert_eq!(
        (again.id(), again.header("Idempotency-Key"), &*again.body),
        ("3", Some("i-3"), &b"third"[..])
    );
    again.answer("200 OK", "", "");
    let (mut message, notice) = rig.notice();
    assert_eq!(notice, json!({"message": "1", "outcome": "given_up"}));
    rig.logged("push ended");
    message.answer("204 No Content", "", "");
    let second = rig.endpoint.next();
    assert_eq!((second.id(), &*second.body), ("2", &b"second"[..]));
    assert!(rig.logs_in_order("final answer acknowledged", "push started"));
}

#[test]
fn on_sigterm_it_goes_on_serving_and_ends_in_time_with_all_recorded() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    assert_eq!(client.hand_in("once", "1", "k", b"x"), 202);
    let first = rig.endpoint.next();
    let since = Instant::now();
    rig.terminate();
    rig.logged("shutdown started");
    assert_eq!(client.hand_in("safe", "2", "", b"x"), 202);
    rig.endpoint.next().answer("200 OK", "", "");
    let mut late = rig.client();
    late.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n");
    assert_eq!(late.answer().0, 503);
    rig.logged("new calls stopped");
    assert_eq!(client.hand_in("safe", "3", "", b"late"), 202);
    assert!(rig.logged_until("shutdown complete").iter().all(|line| line["msg"] != "push started"));
    assert_eq!(rig.ended(), Some(0));
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
    drop(first);
    rig.restart();
    assert_eq!(&*rig.endpoint.next().body, b"late");
    assert_eq!(rig.notice().1, json!({"message": "1", "outcome": "given_up"}));
}

#[test]
fn a_full_store_refuses_and_goes_on_with_what_it_holds() {
    let mut rig = Rig::with(|config| config["limits"]["disk_mb"] = json!(0.2));
    let mut client = rig.client();
    let body = vec![7; 16 * 1024];
    let mut taken = 0;
    while client.hand_in("safe", &taken.to_string(), "", &body) == 202 {
        taken += 1;
    }
    assert!((2..12).contains(&taken), "{taken}");
    assert_eq!(client.hand_in("safe", "more", "", &body), 503);
    // Room comes back with each that is delivered, many times over what the folder holds.
    for round in 0..40 {
        rig.endpoint.next().answer("200 OK", "", "");
        let mut ids = (0..).map(|count| format!("{round}-again-{count}"));
        while client.hand_in("safe", &ids.next().unwrap_or_default(), "", &body) != 202 {}
        let files = std::fs::read_dir(rig.state()).expect("the folder").flatten();
        let size: u64 = files.map(|file| file.metadata().map_or(0, |data| data.len())).sum();
        assert!(size < 200_000, "{size}");
    }
    rig.kill();
    rig.restart();
    assert_eq!(rig.endpoint.next().body, body);
}

#[test]
fn a_torn_tail_of_the_log_is_cut_off_and_the_rest_is_kept() {
    let mut rig = Rig::start();
    assert_eq!(rig.client().hand_in("safe", "1", "", b"kept"), 202);
    rig.endpoint.next();
    rig.kill();
    let log = rig.state().join("log");
    let whole = std::fs::read(&log).expect("a log");
    let mut file = OpenOptions::new().append(true).open(&log).expect("a log");
    file.write_all(&whole[..whole.len() / 2 + 7]).and_then(|()| file.write_all(&[0xff; 9])).expect("room");
    rig.restart();
    assert_eq!(&*rig.endpoint.next().body, b"kept");
    rig.kill();
    std::fs::write(&log, [0xff; 100]).expect("room");
    rig.restart();
    assert_eq!(rig.client().hand_in("safe", "2", "", b"new"), 202);
    assert_eq!(&*rig.endpoint.next().body, b"new");
}

/// What the outside sees, in order: a push and whether its answer let it run, and what is settled.
#[derive(Debug, PartialEq)]
enum Seen {
    Pushed(String),
    NeverRan(String),
    Settled(String),
}

/// Answers endpoints' calls late and not always well, and notices at once, and writes down what it sees.
fn outside(endpoint: Server, platform: Server) -> Receiver<Seen> {
    let (sender, seen) = channel();
    let notices = sender.clone();
    std::thread::spawn(move || {
        while let Some(mut message) = platform.next_until_the_test_ends() {
            if message.head.starts_with("POST /v1/notices ") {
                for line in message.body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
                    let notice: Value = serde_json::from_slice(line).expect("a notice");
                    let id = notice["message"].as_str().expect("an id").to_owned();
                    if notices.send(Seen::Settled(id)).is_err() {
                        return;
                    }
                }
                message.answer("204 No Content", "", "");
            }
        }
    });
    std::thread::spawn(move || {
        let (mut held, mut count) = (std::collections::VecDeque::new(), 0);
        loop {
            let next = endpoint.next_soon();
            let quiet = next.is_none();
            if let Some(message) = next {
                if sender.send(Seen::Pushed(message.id().to_owned())).is_err() {
                    return;
                }
                held.push_back(message);
            }
            if !quiet && held.len() < 3 {
                continue;
            }
            let Some(mut message): Option<Message> = held.pop_front() else { continue };
            let id = message.id().to_owned();
            count += 1;
            let (status, seen) = match count % 12 {
                5 => ("503 Service Unavailable", Some(Seen::NeverRan(id))),
                11 => ("500 Internal Server Error", None),
                _ => ("200 OK", Some(Seen::Settled(id))),
            };
            if seen.is_some_and(|seen| sender.send(seen).is_err()) {
                return;
            }
            message.answer(status, "", "");
        }
    });
    seen
}

#[test]
fn killed_again_and_again_it_loses_nothing_repeats_nothing_once_only_and_keeps_the_order() {
    let mut rig = Rig::start();
    let (endpoint, platform) = rig.take_servers();
    let seen = outside(endpoint, platform);
    let (mut taken, mut log) = (Vec::new(), Vec::new());
    for life in 0..6 {
        let mut client = rig.client();
        for count in 0..20 {
            let (topic, key) = if count % 2 == 0 { ("once", count % 3) } else { ("safe", 9) };
            let id = format!("{topic}-{key}-{life}-{count:02}");
            assert_eq!(client.hand_in(topic, &id, &key.to_string(), b"x"), 202);
            taken.push(id);
        }
        rig.kill();
        rig.restart();
    }
    let settled =
        |log: &[Seen], id: &String| log.iter().any(|seen| matches!(seen, Seen::Settled(s) if s == id));
    while !taken.iter().all(|id| settled(&log, id)) {
        log.push(
            seen.recv_timeout(crate::stand_in::LIMIT).expect("all that was taken on is settled in time"),
        );
    }
    let place = |what: &Seen| log.iter().position(|seen| seen == what);
    for (at, id) in taken.iter().enumerate().filter(|(_, id)| id.starts_with("once")) {
        let count = |what: Seen| log.iter().filter(|seen| **seen == what).count();
        let ran = count(Seen::Pushed(id.clone())) - count(Seen::NeverRan(id.clone()));
        assert!(ran <= 1, "{id} may have run {ran} times: {log:?}");
        let key = |id: &String| id[..6].to_owned();
        let before = taken[..at].iter().rev().find(|other| key(other) == key(id));
        if let (Some(before), Some(pushed)) = (before, place(&Seen::Pushed(id.clone()))) {
            let over = place(&Seen::Settled(before.clone())).expect("all are settled");
            assert!(over < pushed, "{id} overtook {before}: {log:?}");
        }
    }
}
