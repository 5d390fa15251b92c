//! The JSON lines of an adapter. Keys and values are those of its protocol (`crates/adapter`).

use std::sync::Arc;

use juniperwing::interface::{
    Account, CallStatus, Command, DeduplicationScope, EndpointEntry, EndpointId, EndpointListUpdate, Event,
    Notification, NotificationId, PushOutcome, Readiness, RelayConfig, RuleParameters, Semantics,
};
use juniperwing::time::{Span, Time};
use juniperwing_model::fleet::{Fleet, TopicPlan};
use serde::Deserialize;
use serde_json::{Value, json};

/// The line with the events up to `now`.
pub(super) fn request_line(now: Time, events: &[Value]) -> String {
    let mut line = json!({"now": nanos(now), "happened": events}).to_string();
    line.push('\n');
    line
}

fn nanos(time: Time) -> u64 {
    time.since(Time::default()).as_nanos()
}

#[derive(Deserialize)]
struct Reply {
    #[serde(rename = "cmds")]
    commands: Vec<WireCommand>,
}

/// A command of the adapter. Spans are in nanoseconds.
#[derive(Deserialize)]
#[serde(tag = "m")]
enum WireCommand {
    #[serde(rename = "Transmit")]
    Push {
        #[serde(rename = "ticket")]
        notification: u64,
        endpoint: String,
        #[serde(rename = "give-up-after")]
        timeout: u64,
    },
    #[serde(rename = "AbortAttempt")]
    Cancel {
        #[serde(rename = "ticket")]
        notification: u64,
        #[serde(rename = "go")]
        push_index: u32,
    },
    #[serde(rename = "Bounce")]
    Throttle {
        #[serde(rename = "ticket")]
        notification: u64,
        #[serde(rename = "retry-in", default)]
        retry_after: u64,
    },
    #[serde(rename = "Fail")]
    Expire {
        #[serde(rename = "ticket")]
        notification: u64,
    },
    #[serde(rename = "NotifyMe")]
    WakeAfter {
        #[serde(rename = "wait")]
        after: u64,
    },
    #[serde(rename = "Listen")]
    Subscribe {},
    #[serde(rename = "DropConns")]
    CloseIdleConnections { endpoint: String },
    /// A command that has no effect in the model.
    #[serde(other)]
    Ignored,
}

/// The commands of a reply.
pub(super) fn parse_reply(line: &[u8]) -> Result<Vec<Command>, serde_json::Error> {
    let reply: Reply = serde_json::from_slice(line)?;
    Ok(reply.commands.into_iter().filter_map(command).collect())
}

fn command(command: WireCommand) -> Option<Command> {
    let endpoint = |name: String| EndpointId(Arc::from(name));
    Some(match command {
        WireCommand::Push { notification, endpoint: to, timeout } => Command::Push {
            notification: NotificationId(notification),
            endpoint: endpoint(to),
            timeout: Span::from_nanos(timeout),
            send_within: Span::from_nanos(timeout),
        },
        WireCommand::Cancel { notification, push_index } => {
            Command::Cancel { notification: NotificationId(notification), push_index }
        }
        WireCommand::Throttle { notification, retry_after } => Command::Throttle {
            notification: NotificationId(notification),
            retry_after: Span::from_nanos(retry_after),
        },
        WireCommand::Expire { notification } => Command::Expire(NotificationId(notification)),
        WireCommand::WakeAfter { after } => Command::WakeAfter(Span::from_nanos(after)),
        WireCommand::Subscribe {} => Command::SubscribeToEndpointList,
        WireCommand::CloseIdleConnections { endpoint: to } => Command::CloseIdleConnections(endpoint(to)),
        WireCommand::Ignored => return None,
    })
}

/// Appends an event. The adapter considers a final answer acknowledged at once, so the acknowledgement is not sent.
pub(super) fn push_event(lines: &mut Vec<Value>, relay: &str, event: Event) {
    match event {
        Event::EndpointListUpdated(update) => push_list_update(lines, relay, update),
        Event::Accepted(notification) => lines.push(accept(relay, notification)),
        Event::PushEnded(outcome) => lines.push(answer(relay, &outcome)),
        Event::Withdrawn(notification) => {
            lines.push(json!({"m": "Withdrawn", "relay": relay, "ticket": notification.0}));
        }
        Event::WakeUp => lines.push(json!({"m": "Ring", "relay": relay, "label": "wake"})),
        Event::FinalAnswerAcknowledged(_)
        | Event::ConfigChanged(_)
        | Event::SlotLimitChanged(_)
        | Event::ProbeEnded { .. }
        | Event::RetryAfterReported { .. } => {}
    }
}

fn push_list_update(lines: &mut Vec<Value>, relay: &str, update: EndpointListUpdate) {
    let (kind, entries) = match update {
        EndpointListUpdate::Failed => ("broken", Vec::new()),
        EndpointListUpdate::Changes(entries) => ("patch", entries),
        EndpointListUpdate::Snapshot(entries) => ("whole", entries),
        EndpointListUpdate::CachedSnapshot(entries) => ("stale_copy", entries),
    };
    let records: Vec<Value> = entries.iter().map(record).collect();
    lines.push(json!({"m": "Inventory", "bank": 1, "records": records}));
    lines.push(json!({"m": "Endpoints", "relay": relay, "kind": kind, "bank": 1}));
}

fn record(entry: &EndpointEntry) -> Value {
    let readiness = match entry.readiness {
        Readiness::Serving => "READY",
        Readiness::Draining => "DRAINING",
        Readiness::Deleted => "DELETED",
    };
    json!({
        "endpoint": &*entry.endpoint.0,
        "region-part": &*entry.zone,
        "model": entry.kind.name,
        "cell": entry.destination.0,
        "readiness": readiness,
        "nominal": entry.rate_per_second,
    })
}

fn accept(relay: &str, notification: Notification) -> Value {
    json!({
        "m": "Accept",
        "relay": relay,
        "ticket": notification.id.0,
        "bound-for": notification.destination.0,
        "org": notification.account.map(|account| account.name.clone()),
        "object": notification.key,
        "valid-until": nanos(notification.valid_until),
        "cls": notification.topic.name,
    })
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
    let limit = outcome.rate_limit.map(|limit| vec![limit.remaining_fraction, limit.rate_per_second]);
    let retry_after_ms = outcome.retry_after.unwrap_or_default().as_nanos().div_ceil(1_000_000);
    json!({
        "m": "Answer",
        "relay": relay,
        "ticket": outcome.notification.0,
        "go": outcome.push_index,
        "endpoint": &*outcome.endpoint.0,
        "status": status,
        "spent": outcome.elapsed.as_nanos(),
        "settled": outcome.has_final_answer,
        "detail": retry_after_ms,
        "server-stats": limit.unwrap_or_default(),
    })
}

/// The message that starts a relay.
pub(super) fn start(name: &str, seed: u64, fleet: &Fleet, relay: usize) -> Value {
    json!({"m": "Spawn", "relay": name, "prng": seed, "boot-info": configuration(fleet, relay)})
}

fn configuration(fleet: &Fleet, relay: usize) -> Value {
    let RelayConfig { fleet: fleet_config, limits, rules } = fleet.relay_config(relay);
    let kinds = || fleet.kinds.iter();
    json!({
        "balancers": fleet_config.relay_count,
        "discovery": "subscribe",
        "tick": fleet_config.tick.as_nanos(),
        "weight-source": if fleet_config.has_listed_rates { "rough" } else { "none" },
        "classes": fleet.topics.iter().map(class).collect::<Vec<_>>(),
        "accounts": fleet.accounts.iter().map(|account| quota(account)).collect::<Vec<_>>(),
        "kinds": kinds().map(|kind| kind.name.clone()).collect::<Vec<_>>(),
        "family-info": {
            "slots": limits.slots,
            "per-call": kinds().map(|kind| kind.max_notifications_per_call).collect::<Vec<_>>(),
            "separate-routes": kinds().map(|kind| kind.has_separate_routes).collect::<Vec<_>>(),
        },
        "load-report": {"how": "answers", "fields": ["x0", "x1"]},
        "ceilings": {
            "max-attempts": limits.max_pushes,
            "max-retry-after": limits.max_retry_after.as_nanos(),
            "retry-after": limits.max_retry_after > Span::ZERO,
            "cancel": limits.can_cancel,
            "probes": limits.can_probe,
            "second-copies": true,
            "most-held": limits.max_pending,
        },
        "rules": rule_parameters(&rules),
    })
}

fn class(plan: &TopicPlan) -> Value {
    let topic = &plan.topic;
    let (semantics, scope) = match topic.semantics {
        Semantics::Idempotent => ("pure", "all"),
        Semantics::Deduplicated { scope: DeduplicationScope::All, .. } => ("token", "all"),
        Semantics::Deduplicated { scope: DeduplicationScope::Zone, .. } => ("token", "zone"),
        Semantics::NonIdempotent => ("side_effect", "all"),
    };
    json!({
        "name": topic.name,
        "semantics": semantics,
        "dedup-scope": scope,
        "fifo-by-key": topic.is_ordered,
        "aim": topic.latency_target.as_nanos(),
        "hard-limit": topic.ttl.as_nanos(),
        "worth": topic.benefit,
        "late-value": topic.late_benefit_fraction,
        "repeat-window": topic.semantics.deduplication_window().unwrap_or_default().as_nanos(),
    })
}

fn quota(account: &Account) -> Value {
    json!({"name": account.name, "quota-per-s": account.quota_per_second})
}

fn rule_parameters(rules: &RuleParameters) -> Value {
    json!({
        "ask-every": rules.list_refresh_interval.as_nanos(),
        "cold": rules.warm_up_duration.as_nanos(),
        "cold-from": rules.warm_up_initial_fraction,
        "fall-multiple": rules.overload_factor,
        "tip-after": rules.overload_duration.as_nanos(),
        "settle-after-doubt": rules.key_cooldown.as_nanos(),
    })
}
