//! A relay is killed while the first turns of a program are under way. The program comes again within `retentionS`, and
//! all its turns together may still not be handed more tokens than its budget and the most of one turn.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{self, Runs, STRIDE};
use crate::record::Record;
use crate::tier::Tier;
use crate::turn::{Turn, configuration};
use crate::{Verdict, put_configuration, wait_until_ready};

/// How long the route keeps what was said.
const RETENTION_S: u32 = 100;
/// When the program comes again after it was stopped; within the retention.
const PAUSE: Duration = Duration::from_secs(84);
const EVENTS: usize = 20;
/// The most tokens of one turn.
const MOST: usize = EVENTS * STRIDE;
/// Turns that the program runs side by side.
const SIDE_BY_SIDE: usize = 3;
const BUDGET: usize = SIDE_BY_SIDE * MOST;
/// The relay is killed when every turn has been handed this many events.
const EVENTS_BEFORE_KILL: usize = 16;
/// Turns that the program sends at most when it comes again.
const MAX_LATER_TURNS: usize = 5;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut tier = Tier::new(record);
    let runs = Runs::default();
    tier.start_all();
    for number in 1..=2 {
        let (id, ip) = (format!("i-{number}"), tier.stand_in_ip(40 + number));
        endpoint::start(&id, "model", ip, tier.control(), Duration::from_millis(100), &runs, record);
    }
    if !put_configuration(&tier, record, &configuration(RETENTION_S, false))
        || !wait_until_ready(&tier, record)
    {
        return Verdict::CouldNotRun("the deployment did not come up".into());
    }
    let first = run_first_turns(&mut tier, has_trouble, record);
    record.say(&format!("the first {SIDE_BY_SIDE} turns were handed {first:?} events"));
    if has_trouble && (first.contains(&EVENTS) || first.iter().any(|events| *events < EVENTS_BEFORE_KILL)) {
        return Verdict::CouldNotRun("the relay was not killed in the middle of all turns".into());
    }
    thread::sleep(PAUSE);
    record.say("the program comes again");
    let mut later = 0;
    for _ in 0..MAX_LATER_TURNS {
        let (_, answer) = turn().send(tier.frontend(1), record, None);
        later += answer.events();
        record.say(&format!("a later turn gets {}", answer.summary()));
        if answer.status == Some(402) {
            break;
        }
    }
    let tokens = (first.iter().sum::<usize>() + later) * STRIDE;
    record.say(&format!(
        "the program was handed {tokens} tokens; {BUDGET} are its budget, {MOST} the most of one turn"
    ));
    let ended = tier.ended();
    record.say(&format!("processes that ended by themselves: {ended:?}"));
    if tokens > BUDGET + MOST { Verdict::Broken } else { Verdict::Held }
}

fn turn() -> Turn<'static> {
    Turn {
        path: "/kept/a",
        program: "runaway",
        previous: None,
        budget: Some(BUDGET),
        most: MOST,
        input: b"an input\n",
        last_event_id: None,
    }
}

/// Runs the first turns side by side through one relay. Returns the events that each was handed.
fn run_first_turns(tier: &mut Tier, has_trouble: bool, record: &Record) -> Vec<usize> {
    let frontend = tier.frontend(0);
    let progress: Vec<AtomicUsize> = (0..SIDE_BY_SIDE).map(|_| AtomicUsize::new(0)).collect();
    let handed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for progress in &progress {
            let handed = &handed;
            scope.spawn(move || {
                let (_, answer) = turn().send(frontend, record, Some(progress));
                handed.lock().expect("no panics").push(answer.events());
            });
        }
        if has_trouble {
            let until = Instant::now() + Duration::from_secs(5);
            let is_due =
                || progress.iter().all(|events| events.load(Ordering::Relaxed) >= EVENTS_BEFORE_KILL);
            while !is_due() && Instant::now() < until {
                thread::sleep(Duration::from_millis(5));
            }
            tier.kill("relay-1");
        }
    });
    if has_trouble {
        thread::sleep(Duration::from_secs(1));
        tier.start("relay-1", false);
    }
    handed.into_inner().expect("no panics")
}
