//! A relay is killed in the middle of a turn whose stream may be resumed. The client takes the stream up at the other
//! relay with `Last-Event-Id`, as the pages say, and gets the rest of its events. The next turn has to reach the
//! endpoint with all that was said: the first input, the data of all events of the stream, and the new input.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::{self, Runs, STRIDE};
use crate::http::Answer;
use crate::record::Record;
use crate::tier::Tier;
use crate::turn::{Turn, configuration};
use crate::{Verdict, put_configuration, wait_until_ready};

const EVENTS: usize = 20;
/// The relay is killed when the client has this many events.
const EVENTS_BEFORE_KILL: usize = 8;
const FIRST_INPUT: &[u8] = b"the first input\n";
const SECOND_INPUT: &[u8] = b"the second input\n";

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let mut tier = Tier::new(record);
    let runs = Runs::default();
    tier.start_all();
    for number in 1..=2 {
        let (id, ip) = (format!("i-{number}"), tier.stand_in_ip(40 + number));
        endpoint::start(&id, "model", ip, tier.control(), Duration::from_millis(100), &runs, record);
    }
    if !put_configuration(&tier, record, &configuration(60, true)) || !wait_until_ready(&tier, record) {
        return Verdict::CouldNotRun("the deployment did not come up".into());
    }
    let (first_id, first) = run_first_try(&mut tier, has_trouble, record);
    let mut data = event_data(&first);
    record.say(&format!("the first try gets {}", first.summary()));
    let mut previous = first_id;
    if has_trouble {
        let last = data.len();
        if first.is_whole || last < EVENTS_BEFORE_KILL {
            return Verdict::CouldNotRun("the relay was not killed in the middle of the stream".into());
        }
        let turn = Turn { last_event_id: Some(last), ..turn(None, FIRST_INPUT) };
        let (id, second) = turn.send(tier.frontend(1), record, None);
        record.say(&format!("the second try, with Last-Event-Id {last}, gets {}", second.summary()));
        data.extend(event_data(&second));
        if !second.is_served() {
            return Verdict::CouldNotRun("the stream was not taken up".into());
        }
        previous = id;
    }
    let seed = endpoint::seed(FIRST_INPUT);
    let generated: Vec<String> = (1..=EVENTS).map(|event| endpoint::event_data(seed, event)).collect();
    if data != generated {
        return Verdict::CouldNotRun("the client does not have every event once".into());
    }
    record.say(&format!("the client has all {EVENTS} events of the stream, once each"));
    let Some((id, _)) = (0..4).find_map(|attempt| {
        let sent = turn(Some(&previous), SECOND_INPUT).send(tier.frontend((1 + attempt) % 2), record, None);
        sent.1.is_served().then_some(sent)
    }) else {
        return Verdict::CouldNotRun("the next turn was not served".into());
    };
    let body = runs.body(&id).unwrap_or_default();
    let mut expected = FIRST_INPUT.to_vec();
    data.iter().for_each(|data| expected.extend_from_slice(format!("{data}\n").as_bytes()));
    expected.extend_from_slice(SECOND_INPUT);
    record.line(&format!("expected body: {:?}", String::from_utf8_lossy(&expected)));
    record.line(&format!("body that ran:  {:?}", String::from_utf8_lossy(&body)));
    let missing = data.iter().filter(|data| !contains(&body, format!("{data}\n").as_bytes())).count();
    record.say(&format!(
        "the next turn ran with a body of {} bytes; {missing} of {EVENTS} events are missing",
        body.len()
    ));
    let ended = tier.ended();
    record.say(&format!("processes that ended by themselves: {ended:?}"));
    if body == expected { Verdict::Held } else { Verdict::Broken }
}

fn turn<'a>(previous: Option<&'a str>, input: &'a [u8]) -> Turn<'a> {
    let most = EVENTS * STRIDE;
    Turn {
        path: "/kept/a",
        program: "designer",
        previous,
        budget: Some(10_000),
        most,
        input,
        last_event_id: None,
    }
}

/// Sends the first turn through the first relay, which is killed meanwhile.
fn run_first_try(tier: &mut Tier, has_trouble: bool, record: &Record) -> (String, Answer) {
    let frontend = tier.frontend(0);
    let progress = AtomicUsize::new(0);
    let sent = thread::scope(|scope| {
        let sending = scope.spawn(|| turn(None, FIRST_INPUT).send(frontend, record, Some(&progress)));
        if has_trouble {
            let until = Instant::now() + Duration::from_secs(5);
            while progress.load(Ordering::Relaxed) < EVENTS_BEFORE_KILL && Instant::now() < until {
                thread::sleep(Duration::from_millis(5));
            }
            tier.kill("relay-1");
        }
        sending.join().expect("no panics")
    });
    if has_trouble {
        tier.start("relay-1", false);
    }
    sent
}

/// The data of the whole events of an answer.
fn event_data(answer: &Answer) -> Vec<String> {
    let text = String::from_utf8_lossy(&answer.body);
    let end = text.rfind("\n\n").map_or(0, |end| end + 2);
    text[..end].lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|window| window == part)
}
