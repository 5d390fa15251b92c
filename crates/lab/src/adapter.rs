//! Another build's decisions, through its adapter: one process for each run, that hosts all its relays and speaks JSON
//! lines. It owns that process and its end. It must never see anything of a run but what its relays are told.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command as Process, Stdio};
use std::rc::Rc;
use std::sync::Arc;

use juniperwing::interface::{
    CallStatus, Command, DeduplicationScope, EndpointId, EndpointListUpdate, Event, NotificationId,
    PushOutcome, Readiness, RelayConfig, Semantics,
};
use juniperwing::time::{Span, Time};
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::{Policies, Policy, Truth};
use serde::Deserialize;
use serde_json::{Value, json};

/// The longest reply that is read.
const LONGEST: u64 = 64 << 20;

/// The process, or why there is none any more.
struct Wire {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Drop for Wire {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

type Shared = Rc<RefCell<Result<Wire, String>>>;

/// The policies of an adapter's process.
pub struct Adapter {
    name: String,
    wire: Shared,
}

impl Adapter {
    /// Starts the program.
    pub fn start(path: &str) -> Result<Adapter, String> {
        let mut child = Process::new(path)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{path} cannot be started: {e}"))?;
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(format!("{path}: no pipes"));
        };
        let wire = Wire { child, input, output: BufReader::new(output) };
        let stem = std::path::Path::new(path).file_name().and_then(|name| name.to_str()).unwrap_or("adapter");
        Ok(Adapter { name: stem.to_owned(), wire: Rc::new(RefCell::new(Ok(wire))) })
    }

    /// Why it failed, if it did: then the run's figures are worth nothing.
    pub fn failed(&self) -> Option<String> {
        self.wire.borrow().as_ref().err().cloned()
    }
}

impl Policies for Adapter {
    fn name(&self) -> &str {
        &self.name
    }

    fn start(&self, _: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
        let name = format!("r{relay}");
        let spawn = json!({"m": "Spawn", "relay": name, "prng": seed, "boot-info": settings(fleet, relay)});
        Box::new(Far { wire: self.wire.clone(), name, first: Some(spawn) })
    }
}

struct Far {
    wire: Shared,
    name: String,
    /// It has not been told that it starts.
    first: Option<Value>,
}

#[derive(Deserialize)]
struct Reply {
    cmds: Vec<Cmd>,
}

#[derive(Deserialize)]
#[serde(tag = "m", rename_all_fields = "kebab-case")]
enum Cmd {
    Transmit {
        ticket: u64,
        endpoint: String,
        give_up_after: u64,
    },
    AbortAttempt {
        ticket: u64,
        go: u32,
    },
    Bounce {
        ticket: u64,
        #[serde(default)]
        retry_in: u64,
    },
    Fail {
        ticket: u64,
    },
    NotifyMe {
        wait: u64,
    },
    Listen {},
    DropConns {
        endpoint: String,
    },
    #[serde(other)]
    Else,
}

impl Far {
    fn ask(&mut self, now: Time, happened: &[Value]) -> Result<Vec<Command>, String> {
        let mut shared = self.wire.borrow_mut();
        let wire = shared.as_mut().map_err(|e| e.clone())?;
        let now = now.since(Time::default()).as_nanos();
        let mut line = json!({"now": now, "happened": happened}).to_string();
        line.push('\n');
        wire.input.write_all(line.as_bytes()).and_then(|()| wire.input.flush()).map_err(|e| e.to_string())?;
        let mut reply = Vec::new();
        let mut bounded = std::io::Read::take(&mut wire.output, LONGEST);
        let read = bounded.read_until(b'\n', &mut reply).map_err(|e| e.to_string())?;
        if read == 0 {
            return Err("it ended in the middle of a run".to_owned());
        }
        let reply: Reply = serde_json::from_slice(&reply).map_err(|e| format!("its reply is none: {e}"))?;
        let endpoint = |name: String| EndpointId(Arc::from(name));
        let command = |cmd| {
            Some(match cmd {
                Cmd::Transmit { ticket, endpoint: to, give_up_after } => Command::Push {
                    notification: NotificationId(ticket),
                    endpoint: endpoint(to),
                    timeout: Span::from_nanos(give_up_after),
                    send_within: Span::from_nanos(give_up_after),
                },
                Cmd::AbortAttempt { ticket, go } => {
                    Command::Cancel { notification: NotificationId(ticket), push_index: go }
                }
                Cmd::Bounce { ticket, retry_in } => Command::Throttle {
                    notification: NotificationId(ticket),
                    retry_after: Span::from_nanos(retry_in),
                },
                Cmd::Fail { ticket } => Command::Expire(NotificationId(ticket)),
                Cmd::NotifyMe { wait } => Command::WakeAfter(Span::from_nanos(wait)),
                Cmd::Listen {} => Command::SubscribeToEndpointList,
                Cmd::DropConns { endpoint: to } => Command::CloseIdleConnections(endpoint(to)),
                Cmd::Else => return None,
            })
        };
        Ok(reply.cmds.into_iter().filter_map(command).collect())
    }
}

impl Policy for Far {
    fn handle(&mut self, now: Time, events: Vec<Event>, _: &dyn Truth) -> Vec<Command> {
        let mut happened: Vec<Value> = self.first.take().into_iter().collect();
        events.into_iter().for_each(|event| told(&self.name, event, &mut happened));
        match self.ask(now, &happened) {
            Ok(commands) => commands,
            Err(why) => {
                let mut wire = self.wire.borrow_mut();
                if wire.is_ok() {
                    *wire = Err(why);
                }
                Vec::new()
            }
        }
    }
}

/// An event as the wire has it. The end of a notification is heard at once there, so `Heard` is not on it.
fn told(relay: &str, event: Event, happened: &mut Vec<Value>) {
    match event {
        Event::EndpointListUpdated(news) => {
            let (kind, entries) = match news {
                EndpointListUpdate::Failed => ("broken", Vec::new()),
                EndpointListUpdate::Changes(entries) => ("patch", entries),
                EndpointListUpdate::Snapshot(entries) => ("whole", entries),
                EndpointListUpdate::CachedSnapshot(entries) => ("stale_copy", entries),
            };
            let record = |entry: juniperwing::interface::EndpointEntry| {
                let readiness = match entry.readiness {
                    Readiness::Serving => "READY",
                    Readiness::Draining => "DRAINING",
                    Readiness::Deleted => "DELETED",
                };
                json!({"endpoint": &*entry.endpoint.0, "region-part": &*entry.zone, "model": entry.kind.name,
                    "cell": entry.destination.0, "readiness": readiness, "nominal": entry.rate_per_second})
            };
            let records: Vec<Value> = entries.into_iter().map(record).collect();
            happened.push(json!({"m": "Inventory", "bank": 1, "records": records}));
            happened.push(json!({"m": "Endpoints", "relay": relay, "kind": kind, "bank": 1}));
        }
        Event::Accepted(ntf) => happened.push(json!({"m": "Accept", "relay": relay, "ticket": ntf.id.0,
            "bound-for": ntf.destination.0, "org": ntf.account.map(|account| account.name.clone()),
            "object": ntf.key, "valid-until": ntf.valid_until.since(Time::default()).as_nanos(), "cls": ntf.topic.name})),
        Event::PushEnded(outcome) => happened.push(answer(relay, &outcome)),
        Event::Withdrawn(ntf) => happened.push(json!({"m": "Withdrawn", "relay": relay, "ticket": ntf.0})),
        Event::WakeUp => happened.push(json!({"m": "Ring", "relay": relay, "label": "wake"})),
        Event::FinalAnswerAcknowledged(_)
        | Event::ConfigChanged(_)
        | Event::SlotLimitChanged(_)
        | Event::ProbeEnded { .. }
        | Event::RetryAfterReported { .. } => {}
    }
}

fn answer(relay: &str, outcome: &PushOutcome) -> Value {
    let status = match outcome.status {
        CallStatus::Delivered => "done",
        CallStatus::Error => "err",
        CallStatus::Busy => "busy",
        CallStatus::TimedOut => "etimedout",
        CallStatus::NoConnection | CallStatus::ConnectionLimitReached => "econnrefused",
        CallStatus::Reset => "econnreset",
        CallStatus::Cancelled => "ecanceled",
        CallStatus::Skipped => "skipped",
    };
    let stats = outcome
        .rate_limit
        .map(|limit| vec![limit.remaining_fraction, limit.rate_per_second])
        .unwrap_or_default();
    let wait = outcome.retry_after.unwrap_or_default().as_nanos().div_ceil(1_000_000);
    json!({"m": "Answer", "relay": relay, "ticket": outcome.notification.0, "go": outcome.push_index,
        "endpoint": &*outcome.endpoint.0, "status": status, "spent": outcome.elapsed.as_nanos(),
        "settled": outcome.has_final_answer, "detail": wait, "server-stats": stats})
}

/// What a relay is started with, as the wire has it.
fn settings(fleet: &Fleet, relay: usize) -> Value {
    let RelayConfig { fleet: facts, limits: allowed, rules } = fleet.relay_config(relay);
    let class = |plan: &juniperwing_model::fleet::TopicPlan| {
        let topic = &plan.topic;
        let (semantics, scope) = match topic.semantics {
            Semantics::Idempotent => ("pure", "all"),
            Semantics::Deduplicated { scope: DeduplicationScope::All, .. } => ("token", "all"),
            Semantics::Deduplicated { scope: DeduplicationScope::Zone, .. } => ("token", "zone"),
            Semantics::NonIdempotent => ("side_effect", "all"),
        };
        json!({"name": topic.name, "semantics": semantics, "dedup-scope": scope, "fifo-by-key": topic.is_ordered,
            "aim": topic.latency_target.as_nanos(), "hard-limit": topic.ttl.as_nanos(), "worth": topic.benefit,
            "late-value": topic.late_benefit_fraction, "repeat-window": topic.semantics.deduplication_window().unwrap_or_default().as_nanos()})
    };
    let account = |account: &Arc<juniperwing::interface::Account>| json!({"name": account.name, "quota-per-s": account.quota_per_second});
    json!({
        "balancers": facts.relay_count, "discovery": "subscribe", "tick": facts.tick.as_nanos(),
        "weight-source": if facts.has_listed_rates { "rough" } else { "none" },
        "classes": fleet.topics.iter().map(class).collect::<Vec<_>>(),
        "accounts": fleet.accounts.iter().map(account).collect::<Vec<_>>(),
        "kinds": fleet.kinds.iter().map(|kind| kind.name.clone()).collect::<Vec<_>>(),
        "family-info": {"slots": allowed.slots,
            "per-call": fleet.kinds.iter().map(|kind| kind.max_notifications_per_call).collect::<Vec<_>>(),
            "separate-routes": fleet.kinds.iter().map(|kind| kind.has_separate_routes).collect::<Vec<_>>()},
        "load-report": {"how": "answers", "fields": ["x0", "x1"]},
        "ceilings": {"max-attempts": allowed.max_pushes, "max-retry-after": allowed.max_retry_after.as_nanos(),
            "retry-after": allowed.max_retry_after > Span::ZERO, "cancel": allowed.can_cancel, "probes": allowed.can_probe,
            "second-copies": true, "most-held": allowed.max_pending},
        "rules": {"ask-every": rules.list_refresh_interval.as_nanos(), "cold": rules.warm_up_duration.as_nanos(),
            "cold-from": rules.warm_up_initial_fraction, "fall-multiple": rules.overload_factor,
            "tip-after": rules.overload_duration.as_nanos(), "settle-after-doubt": rules.key_cooldown.as_nanos()}
    })
}
