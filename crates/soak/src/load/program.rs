//! Agent programs: lines of kept turns that build on each other, within a budget.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Shared;
use super::operator::HOST;
use crate::history::{Budget, Ended, Millis, RequestKind, Try};
use crate::http::{Connection, Head, request};
use juniperwing_random::Rng;

/// The time that a turn is given, in milliseconds.
const DEADLINE_MS: Millis = 4_000;
/// How much longer a client waits.
const PATIENCE_MS: Millis = 3_000;
/// The most that one turn generates, in tokens.
pub const MOST_TOKENS: u64 = 30;
/// Tokens of an event.
pub const STRIDE: u64 = 3;
/// Tries of one turn.
const TRIES: usize = 3;

/// A turn that was answered whole, with those before it.
#[derive(Clone, Debug)]
pub struct KeptTurn {
    /// Its id.
    pub id: String,
    /// Inputs and outputs of the whole chain, oldest first.
    pub history: Vec<u8>,
    /// Its program.
    pub program: String,
}

/// How a try of a turn ended, for its program.
enum TurnEnd {
    Whole(KeptTurn),
    /// It has not run; it may be tried again.
    Promised,
    /// It may have run; the program sends it again under another id.
    Unclear,
    BudgetSpent,
    /// The turn before is said not to be known.
    Unknown,
}

/// One line of programs, one program after the other, until the load ends.
pub async fn run(shared: Arc<Shared>, line: u64) {
    let mut rng = shared.rng(&format!("program {line}"));
    while shared.is_running() {
        run_program(&shared, &mut rng).await;
    }
}

async fn run_program(shared: &Arc<Shared>, rng: &mut Rng) {
    let program = shared.name("p");
    let turns = 2 + rng.below(5);
    let is_tight = rng.percent(25);
    let tokens = if is_tight { MOST_TOKENS * 2 } else { MOST_TOKENS * (turns + 12) };
    let budget = Budget { tokens, most: MOST_TOKENS };
    shared.history.record().budgets.insert(program.clone(), budget);
    let mut last: Option<KeptTurn> = None;
    for _ in 0..turns {
        if !shared.is_running() {
            return;
        }
        let next = match turn(shared, &program, budget, last.as_ref(), rng).await {
            TurnEnd::Whole(kept) => kept,
            _ => return,
        };
        if rng.percent(15) {
            // Two lines go on from the same turn, side by side.
            let mut other = rng.clone();
            other.below(2);
            let side = turn(shared, &program, budget, Some(&next), &mut other);
            let main = turn(shared, &program, budget, Some(&next), rng);
            tokio::join!(side, main);
        }
        last = Some(next);
        sleep(Duration::from_millis(rng.below(120))).await;
    }
}

/// One turn, tried a few times.
async fn turn(
    shared: &Arc<Shared>, program: &str, budget: Budget, previous: Option<&KeptTurn>, rng: &mut Rng,
) -> TurnEnd {
    let mut end = TurnEnd::Promised;
    for _ in 0..TRIES {
        end = try_turn(shared, program, budget, previous, rng).await;
        match end {
            TurnEnd::Promised | TurnEnd::Unclear => {
                sleep(Duration::from_millis(100 + rng.below(300))).await;
            }
            TurnEnd::Whole(_) | TurnEnd::BudgetSpent | TurnEnd::Unknown => return end,
        }
    }
    end
}

/// Goes on from a turn that was answered whole some time ago, trying again and again. Tells whether that was done.
pub async fn continue_turn(shared: &Arc<Shared>, kept: &KeptTurn, tries: usize) -> bool {
    let mut rng = shared.rng(&kept.id);
    let program = shared.name("c");
    let budget = Budget { tokens: MOST_TOKENS * 40, most: MOST_TOKENS };
    shared.history.record().budgets.insert(program.clone(), budget);
    for _ in 0..tries {
        if let TurnEnd::Whole(_) = turn(shared, &program, budget, Some(kept), &mut rng).await {
            return true;
        }
    }
    false
}

async fn try_turn(
    shared: &Arc<Shared>, program: &str, budget: Budget, previous: Option<&KeptTurn>, rng: &mut Rng,
) -> TurnEnd {
    let relay = shared.platform.choose(rng);
    let Ok(mut connection) = Connection::open(shared.platform.frontend(relay)).await else {
        return TurnEnd::Promised;
    };
    let id = shared.name("t");
    let input = format!("[{id}:{}]", "x".repeat(rng.below(400) as usize)).into_bytes();
    let expected = [previous.map_or(&[][..], |kept| &kept.history), &input].concat();
    let bytes = turn_request(&id, program, budget, previous, &input);
    let sent_at = shared.history.now();
    let mut tried = Try::begin(RequestKind::Turn, relay, sent_at, DEADLINE_MS, expected.clone());
    tried.program = Some(program.to_owned());
    shared.history.record().tries.insert(id.clone(), tried);
    if connection.write(&bytes).await.is_err() {
        shared.history.ended(&id, Ended::NotSent, 0);
        return TurnEnd::Unclear;
    }
    let leaves_after = if shared.is_leaving() && rng.percent(30) { rng.below(6) } else { u64::MAX };
    let mut events = Events::default();
    let (ended, end) = read_stream(&mut connection, &mut events, leaves_after).await;
    let tokens = events.whole.len() as u64 * STRIDE;
    shared.history.ended(&id, ended, tokens);
    match end {
        Read::Whole(head) if head.status == 200 => {
            check_events(shared, &id, &head, &events);
            let history = [expected, events.output()].concat();
            let kept = KeptTurn { id, history, program: program.to_owned() };
            shared.keep(&kept);
            TurnEnd::Whole(kept)
        }
        Read::Whole(head) => match head.status {
            402 => TurnEnd::BudgetSpent,
            404 => {
                let before = previous.map_or("none", |kept| &kept.id);
                shared.history.found("a kept turn is denied", format!("{id} goes on from {before}: 404"));
                TurnEnd::Unknown
            }
            429 | 503 => TurnEnd::Promised,
            _ => TurnEnd::Unclear,
        },
        Read::Cut => TurnEnd::Unclear,
    }
}

fn turn_request(
    id: &str, program: &str, budget: Budget, previous: Option<&KeptTurn>, input: &[u8],
) -> Vec<u8> {
    let (deadline, tokens) = (DEADLINE_MS.to_string(), budget.tokens.to_string());
    let count = format!("{},{}", input.len(), budget.most);
    let mut headers = vec![
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", deadline.as_str()),
        ("Program", program),
        ("Session", program),
        ("Budget", tokens.as_str()),
        ("X-Token-Count", count.as_str()),
        ("X-Model", "m"),
    ];
    if let Some(previous) = previous {
        headers.push(("Previous", &previous.id));
    }
    request("POST", &format!("/k/{id}"), &headers, input)
}

/// What came of a stream.
enum Read {
    Whole(Head),
    Cut,
}

async fn read_stream(connection: &mut Connection, events: &mut Events, leaves_after: u64) -> (Ended, Read) {
    let mut after_head = false;
    let whole = async {
        let head = connection.answer_head().await?;
        after_head = true;
        let read = connection.body(&head, |piece| {
            events.push(piece);
            events.whole.len() as u64 <= leaves_after
        });
        read.await?;
        Ok::<_, std::io::Error>(head)
    };
    match timeout(Duration::from_millis(DEADLINE_MS + PATIENCE_MS), whole).await {
        Err(_) => (Ended::Silence, Read::Cut),
        Ok(Err(error)) if error.kind() == ErrorKind::Interrupted => (Ended::Left, Read::Cut),
        Ok(Err(_)) => (Ended::Cut { after_head }, Read::Cut),
        Ok(Ok(head)) => {
            let stamped = head.has("x-server-signature");
            (Ended::Status { status: head.status, stamped }, Read::Whole(head))
        }
    }
}

/// Events as they come.
#[derive(Default)]
struct Events {
    partial: Vec<u8>,
    whole: Vec<Vec<u8>>,
}

impl Events {
    fn push(&mut self, piece: &[u8]) {
        self.partial.extend_from_slice(piece);
        while let Some(end) = self.partial.windows(2).position(|pair| pair == b"\n\n") {
            let rest = self.partial.split_off(end + 2);
            self.whole.push(std::mem::replace(&mut self.partial, rest));
        }
    }

    /// The data of all events, each with a line feed behind.
    fn output(&self) -> Vec<u8> {
        let mut output = Vec::new();
        for event in &self.whole {
            for line in event.split(|byte| *byte == b'\n') {
                if let Some(data) = line.strip_prefix(b"data: ") {
                    output.extend_from_slice(data);
                    output.push(b'\n');
                }
            }
        }
        output
    }
}

/// Events come from the run of this very turn, all of them, in order.
fn check_events(shared: &Arc<Shared>, id: &str, head: &Head, events: &Events) {
    let right = shared.history.is_answer_to(id, &events.whole.concat());
    let own = head.has("x-server-signature") && head.header("x-request-id") == id;
    if !own || !right || !events.partial.is_empty() {
        let details = format!("{id}: own head {own}, {} events", events.whole.len());
        shared.history.found("a stream of another run or not whole", details);
    }
}
