//! Conversion of the wire protocol's events to the core's events.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniperwing::interface::{
    CallStatus, DestinationId, EndpointEntry, EndpointId, EndpointListUpdate, Event, Notification,
    NotificationHistory, NotificationId, PushOutcome, Readiness,
};
use juniperwing::time::{Span, Time};
use juniperwing_settings::Settings;
use serde::Deserialize;
use serde_json::value::RawValue;
use snafu::{OptionExt, ResultExt};

use crate::error::{AdapterError, MalformedSnafu, UnknownBankSnafu, UnknownTopicTypeSnafu};
use crate::wire;

/// The push status that may come with a retry delay.
const BUSY: &str = "busy";

/// The entries of a bank, shared by all relays.
pub(crate) type Bank = Vec<BankEntry>;

/// A list entry without its kind, which is resolved by name because each relay has its own settings for it.
pub(crate) struct BankEntry {
    kind_name: String,
    /// The entry, with a default kind.
    entry: EndpointEntry,
}

/// Deserialises an event; `kind` names it in errors.
pub(crate) fn parse<'a, T: Deserialize<'a>>(kind: &str, event: &'a RawValue) -> Result<T, AdapterError> {
    serde_json::from_str(event.get()).context(MalformedSnafu { kind })
}

/// Converts an event to the core's form. Returns `None` for kinds that the core does not handle, such as streams, peers
/// and kinds added by later versions of the protocol.
pub(crate) fn to_event(
    kind: &str, event: &RawValue, settings: &Settings, banks: &BTreeMap<usize, Bank>,
) -> Result<Option<Event>, AdapterError> {
    Ok(match kind {
        "Endpoints" => list_update(parse(kind, event)?, settings, banks)?.map(Event::EndpointListUpdated),
        "Accept" => Some(Event::Accepted(notification(parse(kind, event)?, settings)?)),
        "Answer" => Some(Event::PushEnded(push_outcome(parse(kind, event)?, settings))),
        "HealthResult" => {
            let result: wire::HealthResult = parse(kind, event)?;
            Some(Event::ProbeEnded {
                endpoint: endpoint_id(&result.endpoint),
                status: call_status(&result.status),
                rate_limit: settings.rate_limit(&result.load_report),
            })
        }
        "Withdrawn" => {
            let withdrawn: wire::Withdrawn = parse(kind, event)?;
            Some(Event::Withdrawn(NotificationId(withdrawn.notification)))
        }
        "Ring" => Some(Event::WakeUp),
        _ => None,
    })
}

/// Converts an update of the endpoint list; `None` if its kind is unknown.
fn list_update(
    endpoints: wire::Endpoints, settings: &Settings, banks: &BTreeMap<usize, Bank>,
) -> Result<Option<EndpointListUpdate>, AdapterError> {
    let entries = || {
        let bank = banks.get(&endpoints.bank).context(UnknownBankSnafu)?;
        Ok(bank.iter().map(|entry| entry.with_kind(settings)).collect())
    };
    Ok(match endpoints.update_kind.as_str() {
        "broken" => Some(EndpointListUpdate::Failed),
        "patch" => Some(EndpointListUpdate::Changes(entries()?)),
        "whole" | "stale_copy" => Some(EndpointListUpdate::Snapshot(entries()?)),
        _ => None,
    })
}

fn notification(accept: wire::Accept, settings: &Settings) -> Result<Notification, AdapterError> {
    let topic = settings.topic_type(&accept.topic_type);
    Ok(Notification {
        id: NotificationId(accept.notification),
        destination: DestinationId(accept.destination),
        topic: topic.context(UnknownTopicTypeSnafu { name: accept.topic_type })?,
        account: accept.account.as_str().and_then(|name| settings.account(name)),
        key: accept.key,
        valid_until: Time::from_nanos(accept.valid_until_ns),
        history: NotificationHistory::default(),
    })
}

fn push_outcome(answer: wire::Answer, settings: &Settings) -> PushOutcome {
    let has_retry_after = answer.status == BUSY && answer.retry_after_ms > 0;
    PushOutcome {
        notification: NotificationId(answer.notification),
        push_index: answer.push_index,
        endpoint: endpoint_id(&answer.endpoint),
        status: call_status(&answer.status),
        retry_after: has_retry_after.then(|| Span::from_millis(answer.retry_after_ms)),
        elapsed: Span::from_nanos(answer.elapsed_ns),
        has_final_answer: answer.has_final_answer,
        rate_limit: settings.rate_limit(&answer.load_report),
    }
}

/// Converts a record to a list entry.
pub(crate) fn list_entry(record: wire::Record) -> BankEntry {
    let entry = EndpointEntry {
        endpoint: endpoint_id(&record.endpoint),
        destination: DestinationId(record.destination),
        zone: Arc::from(record.zone),
        readiness: match record.readiness.as_str() {
            "DRAINING" => Readiness::Draining,
            "DELETED" => Readiness::Deleted,
            _ => Readiness::Serving,
        },
        rate_per_second: record.rate_per_second,
        ..EndpointEntry::default()
    };
    BankEntry { kind_name: record.kind_name, entry }
}

impl BankEntry {
    /// The entry with its kind resolved from a relay's settings.
    fn with_kind(&self, settings: &Settings) -> EndpointEntry {
        EndpointEntry { kind: settings.kind(&self.kind_name), ..self.entry.clone() }
    }
}

fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(Arc::from(name))
}

fn call_status(status: &str) -> CallStatus {
    match status {
        "done" => CallStatus::Delivered,
        BUSY => CallStatus::Busy,
        "etimedout" => CallStatus::TimedOut,
        "econnrefused" => CallStatus::NoConnection,
        "econnreset" => CallStatus::Reset,
        "ecanceled" => CallStatus::Cancelled,
        "skipped" => CallStatus::Skipped,
        // "err" and unknown values: the push may have been executed.
        _ => CallStatus::Error,
    }
}
