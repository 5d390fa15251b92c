//! The scripted cases of the second review: starts the project's own programs, plays a case and judges it by what its
//! clients and endpoints saw. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod budget;
mod chain;
mod endpoint;
mod http;
mod late_beat;
mod long_turn;
mod record;
mod tier;
mod two_left;
mod uploads;

use std::path::Path;
use std::sync::Arc;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: rig-2 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0").then_some(false).unwrap_or(true);
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    record.line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "budget" => budget::play(trouble, &record),
        "chain" => chain::play(trouble, &record),
        "long-turn" => long_turn::play(trouble, &record),
        "uploads" => uploads::play(trouble, &record),
        "two-left" => two_left::play(trouble, &record),
        "late-beat" => late_beat::play(trouble, &record),
        _ => Verdict::CouldNotRun("no such case".to_owned()),
    };
    let (status, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    record.line(&text);
    std::process::exit(status);
}
