//! Plays one case of the review: `review-rig CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` nothing is done to any process.

mod case_locked_route;
mod case_overlap;
mod case_resume;
mod endpoint;
mod http;
mod record;
mod tier;
mod turn;

use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use http::Request;
use record::Record;
use tier::Tier;

/// A case that takes longer ends by itself, with all processes that it started.
const MAX_LENGTH: Duration = Duration::from_secs(117);

/// What a case has found.
enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-rig CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(Path::new(path));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_LENGTH);
        watched.say("the case could not run: it took too long");
        tier::end_all();
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    record.say(&format!("case {case}, trouble: {has_trouble}"));
    // A panic means that something of the case itself failed; the processes end with their tier.
    let played = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "overlap" => case_overlap::play(&record, has_trouble),
        "resume" => case_resume::play(&record, has_trouble),
        "locked-route" => case_locked_route::play(&record, has_trouble),
        _ => Verdict::CouldNotRun(format!("unknown case {case}")),
    }));
    let verdict = played.unwrap_or_else(|_| Verdict::CouldNotRun("the case itself failed".into()));
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}

/// Sends the operator's configuration until it is acknowledged.
fn put_configuration(tier: &Tier, record: &Record, configuration: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    for keeper in tier.control().into_iter().cycle() {
        let request = Request {
            method: "PUT",
            path: "/config",
            headers: vec![("Host", "keepers".into()), ("If-Match", "0".into())],
            body: configuration.as_bytes(),
            patience: Duration::from_secs(1),
            progress: None,
        };
        let answer = http::send(keeper, &request);
        if answer.status == Some(200) {
            record.say("the configuration is acknowledged");
            return true;
        }
        if Instant::now() > until {
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Waits until all relays call themselves ready.
fn wait_until_ready(tier: &Tier, record: &Record) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if tier.readiness().into_iter().all(is_ready) {
            record.say("all relays are ready");
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

fn is_ready(address: SocketAddr) -> bool {
    let request = Request {
        method: "GET",
        path: "/readyz",
        headers: vec![("Host", "relay".into())],
        body: b"",
        patience: Duration::from_secs(1),
        progress: None,
    };
    http::send(address, &request).status == Some(200)
}
