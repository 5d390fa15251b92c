//! What happens when a request, an answer or a signal comes between two lines: each crossing is forced.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::full;
use crate::stand_in::{Client, Message, Rig, request};

/// The destination's endpoint is where nothing comes up until it is accepted.
fn out_of_reach(config: &mut Value, dial: std::net::SocketAddr) {
    config["known"]["hosts"][0]["dial"] = json!(dial.to_string());
}

/// Beside the destination's endpoint stands another, `f`, where nothing comes up until it is accepted.
fn late_beside(config: &mut Value, dial: std::net::SocketAddr) {
    let mut late = config["known"]["hosts"][0].clone();
    (late["host"], late["dial"]) = (json!("f"), json!(dial.to_string()));
    config["known"]["hosts"].as_array_mut().expect("hosts").push(late);
    config["settings"]["ceilings"]["connect-timeout"] = json!(10_000_000_000u64);
}

/// Killed while its connection is not up: no byte of the push went out, so even a once-only one is tried.
#[test]
fn what_was_decided_on_and_never_written_is_tried_by_the_next_process() {
    for per_call in [1, 10] {
        let (_full, dial, _first) = full();
        let mut rig = Rig::with(|config| {
            config["settings"]["family-info"]["per-call"] = json!([per_call]);
            out_of_reach(config, dial);
        });
        let mut client = rig.client();
        client.write(
            &[request("once", "1", "a", 16_000, b""), request("once", "2", "b", 16_000, b"")].concat(),
        );
        assert_eq!([client.answer().0, client.answer().0], [202; 2]);
        rig.logged("push");
        rig.kill();
        rig.config["known"]["hosts"][0]["dial"] = json!(rig.endpoint.address.to_string());
        let serving = rig.restart();
        assert_eq!(
            (&serving["owed"], &serving["untried"], &serving["tried"]),
            (&json!(2), &json!(2), &json!(0))
        );
        let mut push = rig.endpoint.next();
        if per_call == 1 {
            let mut ids = [push.id().to_owned(), rig.endpoint.next().id().to_owned()];
            ids.sort();
            assert_eq!(ids, ["1", "2"]);
        } else {
            assert!(push.head.starts_with("POST /hook/batch "), "{}", push.head);
            push.answer("200 OK", "", r#"[{"id":"1","state":"delivered"},{"id":"2","state":"delivered"}]"#);
        }
        let line = rig.logged("all that was taken up untried was tried or has ended");
        assert_eq!(
            (&line["tried"], &line["out of time"], &line["given up"]),
            (&json!(2), &json!(0), &json!(0))
        );
    }
}

/// A topic type that is gone from the settings at a restart: what was promised of it holds, and it is tried.
#[test]
fn what_was_taken_on_under_a_topic_type_that_is_gone_is_tried_and_once_only_stays_so() {
    let (_full, dial, _first) = full();
    let mut rig = Rig::with(|config| out_of_reach(config, dial));
    assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
    rig.kill();
    rig.config["known"]["hosts"][0]["dial"] = json!(rig.endpoint.address.to_string());
    rig.config["settings"]["classes"]
        .as_array_mut()
        .expect("topic types")
        .retain(|class| class["name"] != "once");
    rig.restart();
    let push = rig.endpoint.next();
    assert_eq!((push.id(), &*push.body), ("1", &b"x"[..]));
    rig.kill();
    rig.restart();
    assert_eq!(rig.notice().1, json!({"message": "1", "outcome": "given_up"}));
    assert!(rig.endpoint.next_soon().is_none());
}

/// Sleeps until so long after a moment: some times of the relay's are to be up, whatever else happens.
fn until(since: Instant, ms: u64) {
    std::thread::sleep(Duration::from_millis(ms).saturating_sub(since.elapsed()));
}

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

/// What an endpoint says before a call has gone out to it speaks of no call: it was not delivered, and never ran.
#[test]
fn an_answer_that_comes_before_its_call_has_gone_out_is_none() {
    for (early, status) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 200 OK\r\nX: never ends", "NoConnection"),
        ("noise\r\n\r\n", "NoConnection"),
        ("HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "Crowded"),
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
        rig.logged("push");
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

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A list of endpoints of destination 7.
fn list(seq: u32, whole: bool, hosts: &[(&str, &str, Option<std::net::SocketAddr>)]) -> Value {
    let host = |(name, health, dial): &(&str, &str, Option<std::net::SocketAddr>)| {
        json!({"host": name, "dial": dial.map(|dial| dial.to_string()).unwrap_or_default(), "site": "z",
            "class": "plain", "block": 7, "health": health})
    };
    json!({"seq": seq, "whole": whole, "hosts": hosts.iter().map(host).collect::<Vec<_>>()})
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn line(watch: &mut Message, list: &Value) {
    watch.write(&chunk(&format!("{list}\n")));
}

/// A list that can be read counts, though one that cannot comes behind it; that one changes nothing.
#[test]
fn a_list_before_one_that_cannot_be_read_is_heeded_and_the_watch_begun_anew_behind_it() {
    let rig = Rig::start();
    let mut watch = rig.watch();
    let drains = list(43, false, &[("e", "draining", Some(rig.endpoint.address))]);
    watch.write(&format!("{HEAD}{}", chunk(&format!("{drains}\n{{\"seq\": 44, \"hosts\": [17]}}\n"))));
    rig.logged("the list has news");
    assert!(rig.watch().head.contains("index=43 "));
    assert_eq!(rig.client().hand_in("safe", "1", "", b""), 202);
    rig.logged("taken on");
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
    assert_eq!(rig.logged("the list has news")["entries"], 1);
    assert_eq!(rig.client().hand_in("safe", "1", "", b""), 202);
    assert_eq!(rig.logged("push")["endpoint"], "f");
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

/// Made shorter, the time for which endpoints keep idle connections holds for those that are idle already.
#[test]
fn on_sighup_with_a_shorter_idle_time_idle_connections_are_closed() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    for id in ["1", "2"] {
        assert_eq!(client.hand_in("safe", id, "", b""), 202);
        let mut push = rig.endpoint.next();
        push.answer("200 OK", "", "");
        rig.logged("push ended");
        if id == "2" {
            rig.config["settings"]["ceilings"]["conn-idle"] = json!(3_000_000_000u64);
            rig.reload(&rig.config.to_string());
            rig.logged("configuration read anew");
            let since = Instant::now();
            assert!(push.is_closed());
            assert!(since.elapsed() < Duration::from_millis(1_500), "{:?}", since.elapsed());
        }
    }
}

/// A relay that has been told to stop and has no slots any more.
fn stopping(rig: &Rig) -> Instant {
    rig.terminate();
    rig.logged("stopping");
    Instant::now()
}

/// Requests that are in the system's buffers, on connections old and new, when the last of its time to serve comes;
/// there are as many clients as there is room for, but one.
#[test]
fn at_the_end_of_a_stop_what_has_come_and_was_not_read_yet_has_its_answer() {
    let mut rig = Rig::with(|config| config["limits"]["sockets"] = json!(64));
    let mut old: Vec<Client> = (0..15).map(|_| rig.client()).collect();
    for (place, client) in old.iter_mut().enumerate() {
        assert_eq!(client.hand_in("safe", &format!("1-{place}"), "", b""), 202);
    }
    let since = stopping(&rig);
    rig.logged("no further calls");
    rig.signal("-STOP");
    old[0].write(&request("safe", "2", "", 16_000, b""));
    let mut new: Vec<Client> = (0..2).map(|_| rig.client()).collect();
    for (place, client) in new.iter_mut().enumerate() {
        client.write(&request("safe", &format!("3-{place}"), "", 16_000, b""));
    }
    // No more is taken in from 2.8 s on, and it is out at 3.1 s.
    until(since, 2_850);
    rig.signal("-CONT");
    for client in old[..1].iter_mut().chain(&mut new) {
        let (status, head) = client.answer();
        assert_eq!((status, head.contains("Connection: close")), (202, true), "{head}");
    }
    assert_eq!(rig.logged("stopped")["owed"], 18);
    assert_eq!(rig.ended(), Some(0));
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
}

/// With no client left it still waits for the calls that are out, as long as it may.
#[test]
fn calls_that_are_out_at_a_stop_may_end_though_no_client_is_left() {
    let mut rig = Rig::start();
    let mut client = rig.client();
    assert_eq!([client.hand_in("once", "1", "k", b""), client.hand_in("once", "2", "l", b"")], [202; 2]);
    let mut pushes = [rig.endpoint.next(), rig.endpoint.next()];
    drop(client);
    let since = stopping(&rig);
    for (push, ms) in pushes.iter_mut().zip([2_840, 2_900]) {
        until(since, ms);
        push.answer("200 OK", "", "");
    }
    assert_eq!(rig.logged("stopped")["owed"], 0);
    assert_eq!(rig.ended(), Some(0));
}

/// Handed in when there are no slots any more: taken on only if the next process can still push it.
#[test]
fn what_comes_too_late_in_a_stop_for_its_time_to_live_is_refused_and_the_rest_taken_on() {
    let rig = Rig::start();
    stopping(&rig);
    rig.logged("no further calls");
    let mut client = rig.client();
    client.write(&request("safe", "1", "", 1_500, b""));
    let (status, head) = client.answer();
    assert_eq!((status, head.contains("Retry-After: 2.3")), (429, true), "{head}");
    assert_eq!(client.hand_in("safe", "2", "", b""), 202);
    assert_eq!(rig.logged("stopped")["owed"], 1);
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
        rig.logged("push");
        rig.logged("push");
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

/// Signals before it serves, twice, and in a stop: one stop, in time, and nothing else.
#[test]
fn signals_at_any_time_make_one_stop() {
    let mut rig = Rig::start();
    assert_eq!(rig.client().hand_in("once", "1", "k", b"x"), 202);
    let first = rig.endpoint.next();
    rig.reload(&rig.config.to_string());
    let since = stopping(&rig);
    rig.terminate();
    rig.reload("{");
    rig.logged("the new configuration cannot be used");
    rig.config["settings"]["family-info"]["slots"] = json!(4);
    rig.reload(&rig.config.to_string());
    rig.logged("configuration read anew");
    rig.logged("no further calls");
    rig.reload(&rig.config.to_string());
    rig.logged("configuration read anew");
    // Slots in a file read anew are none in a stop.
    assert_eq!(rig.client().hand_in("safe", "2", "", b"late"), 202);
    let rest = rig.logged_until("stopped");
    assert!(rest.iter().all(|line| line["msg"] != "push" && line["msg"] != "stopping"), "{rest:?}");
    assert_eq!(rig.ended(), Some(0));
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
    drop(first);
    // Told to stop as soon as it can hear it: it serves its time all the same, with what it owes.
    rig.restart();
    rig.terminate();
    assert_eq!(&*rig.endpoint.next().body, b"late");
    rig.logged("stopping");
    rig.terminate();
    rig.signal("-INT");
    let rest = rig.logged_until("stopped");
    assert!(rest.iter().all(|line| line["msg"] != "stopping"), "{rest:?}");
    assert_eq!(rig.ended(), Some(0));
}

/// Any one key missing, the relay says which it is and does not start, or it serves.
#[test]
fn with_any_key_of_the_settings_missing_it_serves_or_says_which() {
    let whole = Rig::start().config.clone();
    let mut paths = vec![String::new()];
    let mut keys = Vec::new();
    while let Some(path) = paths.pop() {
        let Some(Value::Object(object)) = whole["settings"].pointer(&path) else { continue };
        for key in object.keys() {
            keys.push((path.clone(), key.clone()));
            paths.push(format!("{path}/{key}"));
        }
    }
    for at in 0..3 {
        let class = whole["settings"]["classes"][at].as_object().expect("a topic type");
        keys.extend(class.keys().map(|key| (format!("/classes/{at}"), key.clone())));
    }
    assert!(keys.len() > 50, "{}", keys.len());
    for (path, key) in keys {
        let mut config = whole.clone();
        let object = config["settings"].pointer_mut(&path).and_then(Value::as_object_mut);
        object.expect("an object").remove(&key);
        let checked = crate::check(&config);
        if let Err(said) = checked {
            assert!(said.contains(&key) || key == "family-info" || key == "ceilings", "{path}/{key}: {said}");
            continue;
        }
        let rig = Rig::with(|told| {
            let (known, discovery) = (told["known"].clone(), told["discovery"].clone());
            *told = config;
            (told["known"], told["discovery"]) = (known, discovery);
        });
        // Without its name a topic type is another; what is said of it then is an answer too.
        let status = rig.client().hand_in("safe", "1", "", b"x");
        assert_eq!(status, 202, "{path}/{key}");
        assert_eq!(rig.endpoint.next().id(), "1", "{path}/{key}");
    }
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
        assert_eq!(rig.logged("a wait was told")["ms"], 1_200);
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
    assert_eq!((&ended["n"], &ended["status"]), (&json!(1), &json!("Delivered")));
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

/// A list that says it is whole and names no endpoints, not even none, is spoilt: the one held goes on.
#[test]
fn a_whole_list_without_endpoints_empties_nothing() {
    let rig = Rig::start();
    let mut watch = rig.watch();
    watch.write(&format!("{HEAD}{}", chunk("{\"seq\": 42, \"whole\": true}\n")));
    assert_eq!(rig.logged("the watch on the list broke")["why"], "unreadable");
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
        rig.logged("taken on");
        // Read anew, the settings make the old list no newer.
        rig.reload(&rig.config.to_string());
        rig.logged("configuration read anew");
        assert!(rig.endpoint.next_soon().is_none());
        if speaks {
            let hosts = [("e", "draining", None), ("f", "ready", Some(rig.endpoint.address))];
            watch.write(&format!("{HEAD}{}", chunk(&format!("{}\n", list(43, true, &hosts)))));
            assert_eq!(rig.logged("push")["endpoint"], "f");
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
            rig.logged("end heard");
        } else {
            let (mut again, end) = rig.notice();
            assert_eq!(end["message"], id);
            assert!(since.elapsed() < Duration::from_millis(300), "{:?}", since.elapsed());
            assert!(first.is_closed());
            again.answer("204 No Content", "", "");
            rig.logged("end heard");
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

/// An endpoint whose address cannot be read is said, and uses up no push: what is for it is held until it can be.
#[test]
fn an_endpoint_with_no_address_that_can_be_read_gets_nothing_until_it_has_one() {
    let rig = Rig::with(|config| config["settings"]["ceilings"]["max-attempts"] = json!(1));
    let mut watch = rig.watch();
    watch.write(HEAD);
    let mut odd = list(42, false, &[("e", "ready", None)]);
    odd["hosts"][0]["dial"] = json!("127.0.0.1:port");
    line(&mut watch, &odd);
    assert_eq!(rig.logged("the list has no address that can be read")["endpoint"], "e");
    assert_eq!(rig.client().hand_in("safe", "1", "", b""), 202);
    rig.logged("taken on");
    line(&mut watch, &list(43, false, &[("e", "ready", Some(rig.endpoint.address))]));
    assert_eq!(rig.endpoint.next().id(), "1");
}
