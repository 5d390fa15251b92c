//! Carries basalt-6b6a, one JSON batch a line, to relays of the juniperwing core and their commands back.
//!
//! It hosts any number of relays, shares nothing between them and decides nothing.

mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::sync::Arc;

use juniperwing::Relay;
use juniperwing::interface::{
    CallStatus, Command, DestinationId, EndpointEntry, EndpointId, EndpointListUpdate, Event, Notification,
    NotificationHistory, NotificationId, PushOutcome, Readiness,
};
use juniperwing::time::{Span, Time};
use juniperwing_settings::Settings;
use serde::Deserialize;
use serde_json::{Value, value::RawValue};

/// A relay and what has happened to it in the batch at hand.
struct Hosted {
    relay: Relay,
    events: Vec<Event>,
    settings: Settings,
}

/// The entries of a bank with the names of their kinds. What the names mean each relay was told for itself.
type Bank = Vec<(String, EndpointEntry)>;

#[derive(Default)]
struct Host {
    relays: BTreeMap<String, Hosted>,
    banks: BTreeMap<usize, Bank>,
}

fn main() -> ExitCode {
    let mut host = Host::default();
    let mut output = io::stdout().lock();
    let mut input = io::stdin().lock();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        let reply = match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => std::str::from_utf8(&line).map_err(|e| e.to_string()).and_then(|text| host.batch(text)),
            Err(e) => Err(e.to_string()),
        };
        let reply = match reply {
            Ok(reply) => reply,
            Err(why) => {
                eprintln!("juniperwing-adapter: line {number}: {why}");
                return ExitCode::FAILURE;
            }
        };
        if let Err(e) = writeln!(output, "{reply}").and_then(|()| output.flush()) {
            eprintln!("juniperwing-adapter: cannot write the reply to line {number}: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

impl Host {
    /// Takes one batch and gives the reply to it.
    fn batch(&mut self, text: &str) -> Result<String, String> {
        let batch: wire::Batch = serde_json::from_str(text).map_err(|e| format!("not a batch: {e}"))?;
        let now = Time::from_nanos(batch.now);
        let (mut turn, mut seen) = (Vec::new(), BTreeSet::new());
        for raw in batch.happened {
            let head: wire::Head = read("an event", raw)?;
            self.event(now, &head, raw)?;
            if !head.relay.is_empty() && seen.insert(head.relay.clone()) {
                turn.push(head.relay);
            }
        }
        let mut commands = Vec::new();
        for name in &turn {
            if let Some(hosted) = self.relays.get_mut(&**name) {
                let events = std::mem::take(&mut hosted.events);
                let mut given = hosted.relay.handle(now, events);
                let mut carried = 0;
                // On this wire a final answer is heard as soon as it is given.
                while let heard = given[carried..].iter().filter_map(end).collect::<Vec<_>>()
                    && !heard.is_empty()
                {
                    carried = given.len();
                    given.extend(hosted.relay.handle(now, heard));
                }
                commands.extend(given.into_iter().map(|command| (&**name, command)));
            }
        }
        let cmds = commands.iter().filter_map(|(relay, command)| carried(relay, command)).collect();
        serde_json::to_string(&wire::Reply { cmds }).map_err(|e| format!("no reply can be written: {e}"))
    }

    fn event(&mut self, now: Time, head: &wire::Head, raw: &RawValue) -> Result<(), String> {
        match &*head.m {
            "Spawn" => {
                self.relays.insert(head.relay.clone().into_owned(), start(now, &read("Spawn", raw)?));
            }
            "Kill" => {
                self.relays.remove(&*head.relay);
            }
            "Inventory" => {
                let list: wire::Inventory = read("Inventory", raw)?;
                self.banks.insert(list.bank, list.records.into_iter().map(entry).collect());
            }
            _ => {
                if let Some(hosted) = self.relays.get_mut(&*head.relay)
                    && let Some(event) = hosted.event(&head.m, raw, &self.banks)?
                {
                    hosted.events.push(event);
                }
            }
        }
        Ok(())
    }
}

impl Hosted {
    fn event(&self, m: &str, raw: &RawValue, banks: &BTreeMap<usize, Bank>) -> Result<Option<Event>, String> {
        Ok(Some(match m {
            "Endpoints" => {
                let news: wire::Endpoints = read(m, raw)?;
                let entries = || {
                    let bank = banks.get(&news.bank).ok_or("Endpoints names a bank with no Inventory");
                    Ok::<_, &str>(
                        bank?
                            .iter()
                            .map(|(kind, entry)| EndpointEntry {
                                kind: self.settings.kind(kind),
                                ..entry.clone()
                            })
                            .collect(),
                    )
                };
                Event::EndpointListUpdated(match news.kind.as_str() {
                    "broken" => EndpointListUpdate::Failed,
                    "patch" => EndpointListUpdate::Changes(entries()?),
                    "whole" | "stale_copy" => EndpointListUpdate::Snapshot(entries()?),
                    _ => return Ok(None),
                })
            }
            "Accept" => {
                let ntf: wire::Accept = read(m, raw)?;
                let topic = self.settings.topic_type(&ntf.cls);
                Event::Accepted(Notification {
                    id: NotificationId(ntf.ticket),
                    destination: DestinationId(ntf.bound_for),
                    topic: topic.ok_or_else(|| format!("Accept names no known class: {:?}", ntf.cls))?,
                    account: ntf.org.as_str().and_then(|name| self.settings.account(name)),
                    key: ntf.object,
                    valid_until: Time::from_nanos(ntf.valid_until),
                    history: NotificationHistory::default(),
                })
            }
            "Answer" => {
                let answer: wire::Answer = read(m, raw)?;
                Event::PushEnded(PushOutcome {
                    notification: NotificationId(answer.ticket),
                    push_index: answer.go,
                    endpoint: endpoint(&answer.endpoint),
                    status: status(&answer.status),
                    retry_after: Some(Span::from_millis(answer.detail))
                        .filter(|wait| answer.status == "busy" && *wait > Span::ZERO),
                    elapsed: Span::from_nanos(answer.spent),
                    has_final_answer: answer.settled,
                    rate_limit: self.settings.rate_limit(&answer.server_stats),
                })
            }
            "HealthResult" => {
                let probed: wire::HealthResult = read(m, raw)?;
                Event::ProbeEnded {
                    endpoint: endpoint(&probed.endpoint),
                    status: status(&probed.status),
                    rate_limit: self.settings.rate_limit(&probed.server_stats),
                }
            }
            "Withdrawn" => Event::Withdrawn(NotificationId(read::<wire::Withdrawn>(m, raw)?.ticket)),
            "Ring" => Event::WakeUp,
            // Streams, peers and whatever a later wire adds concern no relay here.
            _ => return Ok(None),
        }))
    }
}

/// What follows from a command that ends a notification.
fn end(command: &Command) -> Option<Event> {
    match command {
        Command::Throttle { notification, .. } | Command::Expire(notification) => {
            Some(Event::FinalAnswerAcknowledged(*notification))
        }
        _ => None,
    }
}

/// What the list says of an endpoint, its kind left open.
fn entry(record: wire::Record) -> (String, EndpointEntry) {
    let entry = EndpointEntry {
        endpoint: endpoint(&record.endpoint),
        destination: DestinationId(record.cell),
        zone: Arc::from(record.region_part),
        readiness: match record.readiness.as_str() {
            "DRAINING" => Readiness::Draining,
            "DELETED" => Readiness::Deleted,
            _ => Readiness::Serving,
        },
        rate_per_second: record.nominal,
        ..EndpointEntry::default()
    };
    (record.model, entry)
}

fn read<'a, T: Deserialize<'a>>(what: &str, raw: &'a RawValue) -> Result<T, String> {
    serde_json::from_str(raw.get()).map_err(|e| format!("malformed {what}: {e}"))
}

fn start(now: Time, spawn: &wire::Spawn) -> Hosted {
    let settings = Settings::from(&spawn.boot_info);
    let relay = Relay::new(now, seed(&spawn.prng), settings.relay_config.clone());
    Hosted { relay, events: Vec::new(), settings }
}

/// The seed as 64 bits, whichever integer the wire wrote.
fn seed(prng: &Value) -> u64 {
    prng.as_u64().or_else(|| prng.as_i64().map(i64::cast_unsigned)).unwrap_or(0)
}

fn endpoint(name: &str) -> EndpointId {
    EndpointId(Arc::from(name))
}

fn status(word: &str) -> CallStatus {
    match word {
        "done" => CallStatus::Delivered,
        "busy" => CallStatus::Busy,
        "etimedout" => CallStatus::TimedOut,
        "econnrefused" => CallStatus::NoConnection,
        "econnreset" => CallStatus::Reset,
        "ecanceled" => CallStatus::Cancelled,
        "skipped" => CallStatus::Skipped,
        // "err", and any word not known here: it may have run.
        _ => CallStatus::Error,
    }
}

/// A command as the wire has it, if it has it.
fn carried<'a>(relay: &'a str, command: &'a Command) -> Option<wire::Cmd<'a>> {
    Some(match command {
        Command::Push { notification, endpoint, timeout, .. } => wire::Cmd::Transmit {
            relay,
            ticket: notification.0,
            endpoint: &endpoint.0,
            give_up_after: timeout.as_nanos(),
        },
        Command::Cancel { notification, push_index } => {
            wire::Cmd::AbortAttempt { relay, ticket: notification.0, go: *push_index }
        }
        Command::Throttle { notification, retry_after } => {
            wire::Cmd::Bounce { relay, ticket: notification.0, retry_in: retry_after.as_nanos() }
        }
        Command::Expire(ntf) => wire::Cmd::Fail { relay, ticket: ntf.0 },
        Command::WakeAfter(after) => wire::Cmd::NotifyMe { relay, wait: after.as_nanos(), label: "wake" },
        Command::SubscribeToEndpointList => wire::Cmd::Listen { relay, active: true },
        Command::CloseIdleConnections(endpoint) => wire::Cmd::DropConns { relay, endpoint: &endpoint.0 },
        Command::Log(line) => wire::Cmd::SayLog { relay, line },
        Command::Probe(endpoint) => wire::Cmd::SoundOut { relay, endpoint: &endpoint.0 },
        // On the wire a push is out at once.
        Command::CancelUnsent(_) => return None,
    })
}
