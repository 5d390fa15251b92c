//! Two stores are killed, and while they are down the third one loses power and its disk. All three come back, two of
//! them with their disks. Turns that were answered whole before any of this have to be continued by `recoveryS`.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::endpoint::{self, Runs};
use crate::record::Record;
use crate::tier::Tier;
use crate::turn::{Turn, configuration};
use crate::{Verdict, put_configuration, wait_until_ready};

const PROGRAMS: usize = 24;
/// `recoveryS` of the settings.
const RECOVERY_S: f64 = 12.0;
/// How much longer the clients go on, to show whether the turns come back at all.
const AFTERWARDS_S: f64 = 8.0;
/// "in the last 4 s four fifths of other turns are served"
const WINDOW_S: f64 = 4.0;

/// A try to continue a turn, or another turn.
struct Try {
    sent_at: f64,
    is_served: bool,
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut tier = Tier::new(record);
    let runs = Runs::default();
    tier.start_all();
    for number in 1..=2 {
        let (id, ip) = (format!("i-{number}"), tier.stand_in_ip(40 + number));
        endpoint::start(&id, "model", ip, tier.control(), Duration::from_millis(20), &runs, record);
    }
    if !put_configuration(&tier, record, &configuration(60, false)) || !wait_until_ready(&tier, record) {
        return Verdict::CouldNotRun("the deployment did not come up".into());
    }
    let frontends = [tier.frontend(0), tier.frontend(1)];
    let Some(first_turns) =
        (0..PROGRAMS).map(|p| first_turn(frontends, p, record)).collect::<Option<Vec<_>>>()
    else {
        return Verdict::CouldNotRun("a first turn was not served".into());
    };
    record.say(&format!("{PROGRAMS} first turns are answered whole"));
    thread::sleep(Duration::from_secs(5));
    play_trouble(&mut tier, has_trouble);
    let back_at = record.now();
    record.say("all machines are back");
    let end = back_at + RECOVERY_S + AFTERWARDS_S;
    let (continued, others) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for (program, previous) in first_turns.iter().enumerate() {
            let (continued, runs) = (&continued, &runs);
            scope.spawn(move || {
                let reached_at = continue_turn(frontends, program, previous, end, runs, record);
                continued.lock().expect("no panics").push(reached_at);
            });
        }
        let others = &others;
        scope.spawn(move || send_other_turns(frontends, end, others, record));
    });
    tier.record_logs(
        &["keeper-1", "keeper-2", "keeper-3"],
        &["partitions lost all replicas", "store link closed", "store subscribed"],
    );
    let continued = continued.into_inner().expect("no panics");
    let others = others.into_inner().expect("no panics");
    let deadline = back_at + RECOVERY_S;
    let unreached = continued.iter().filter(|at| at.is_none_or(|at| at > deadline)).count();
    let never = continued.iter().filter(|at| at.is_none()).count();
    let window: Vec<&Try> =
        others.iter().filter(|t| t.sent_at >= deadline - WINDOW_S && t.sent_at < deadline).collect();
    let served = window.iter().filter(|t| t.is_served).count();
    record.say(&format!(
        "of {PROGRAMS} turns that continue one answered whole, {unreached} reached no endpoint within {RECOVERY_S} s of \
         the return, {never} none within {} s; of {} other turns in the last {WINDOW_S} s before that, {served} were served",
        RECOVERY_S + AFTERWARDS_S,
        window.len()
    ));
    let ended = tier.ended();
    record.say(&format!("processes that ended by themselves: {ended:?}"));
    if window.is_empty() || served * 5 < window.len() * 4 {
        return Verdict::CouldNotRun("other turns were not served either".into());
    }
    if unreached > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Two stores are down, their disks stay; then the third loses its disk; all come back.
fn play_trouble(tier: &mut Tier, has_trouble: bool) {
    let stores = ["store-1", "store-2"];
    if has_trouble {
        stores.iter().for_each(|store| tier.kill(store));
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        tier.kill("store-3");
        tier.lose_disk("store-3");
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        tier.start("store-3", false);
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        stores.iter().for_each(|store| tier.start(store, false));
    }
}

fn first_turn(frontends: [SocketAddr; 2], program: usize, record: &Record) -> Option<String> {
    (0..4).find_map(|attempt| {
        let turn = Turn {
            path: "/kept/a",
            program: &format!("p{program}"),
            previous: None,
            budget: Some(10_000),
            most: 9,
            input: b"first input\n",
            last_event_id: None,
        };
        let (id, answer) = turn.send(frontends[(program + attempt) % 2], record, None);
        answer.is_served().then_some(id)
    })
}

/// Asks to continue a turn until a try reaches an endpoint. Returns when that try was sent.
fn continue_turn(
    frontends: [SocketAddr; 2], program: usize, previous: &str, end: f64, runs: &Runs, record: &Record,
) -> Option<f64> {
    for attempt in 0.. {
        let sent_at = record.now();
        if sent_at >= end {
            return None;
        }
        let turn = Turn {
            path: "/kept/a",
            program: &format!("p{program}"),
            previous: Some(previous),
            budget: Some(10_000),
            most: 9,
            input: b"second input\n",
            last_event_id: None,
        };
        let (id, _) = turn.send(frontends[(program + attempt) % 2], record, None);
        if runs.has(&id) {
            return Some(sent_at);
        }
        thread::sleep(Duration::from_millis(300));
    }
    None
}

/// Sends turns of programs without budget on a route that keeps nothing, five a second.
fn send_other_turns(frontends: [SocketAddr; 2], end: f64, others: &Mutex<Vec<Try>>, record: &Record) {
    for number in 0.. {
        let sent_at = record.now();
        if sent_at >= end {
            return;
        }
        let turn = Turn {
            path: "/plain/a",
            program: &format!("other{number}"),
            previous: None,
            budget: None,
            most: 9,
            input: b"another input\n",
            last_event_id: None,
        };
        let (_, answer) = turn.send(frontends[number % 2], record, None);
        others.lock().expect("no panics").push(Try { sent_at, is_served: answer.is_served() });
        thread::sleep(Duration::from_millis(120));
    }
}
