//! Executes the commands of the core.

use juniperwing::interface::{Command, EndpointId, NotificationId};
use juniperwing::time::{Span, Time};
use juniperwing_settings::Settings;
use slog::{debug, info};

use super::Server;
use crate::client_connections::SubmissionResponse;
use crate::journal::{AcceptedNotification, Journal, UndeliveredEnd};
use crate::upstream::PushRequest;

/// A push that the core decided on.
struct DecidedPush {
    notification: NotificationId,
    /// The index of the push among those of its notification, from 0; `None` if the notification is not live.
    push_index: Option<u32>,
    timeout: Span,
    send_within: Span,
}

impl Server {
    /// Runs the core and executes its commands in order. Notifications that were submitted in this iteration and not
    /// rejected by a command are accepted.
    pub(super) fn run_core(&mut self, now: Time) {
        let commands = self.core.decide(now);
        let mut rest = commands.as_slice();
        while let Some((command, later)) = rest.split_first() {
            rest = match command {
                Command::Push { endpoint, .. } => {
                    let same_endpoint = |command: &&Command| matches!(command, Command::Push { endpoint: other, .. } if other == endpoint);
                    let count = 1 + later.iter().take_while(same_endpoint).count();
                    let (pushes, later) = rest.split_at(count);
                    self.push(endpoint, pushes, now);
                    later
                }
                command => {
                    self.execute(command, now);
                    later
                }
            };
        }
        for (notification, tokens) in std::mem::take(&mut self.unanswered) {
            self.respond(tokens, notification, SubmissionResponse::Accepted);
        }
        self.notices.send_queued(&mut self.net, &self.journal, now);
    }

    /// Executes a command other than a push.
    fn execute(&mut self, command: &Command, now: Time) {
        match command {
            Command::Push { .. } | Command::WakeAfter(_) => {}
            Command::Cancel { notification, push_index } => {
                self.upstream.cancel(&mut self.net, *notification, *push_index, now)
            }
            Command::Throttle { notification, retry_after } => {
                let end = UndeliveredEnd::ReturnedToClient(retry_after.as_millis());
                self.finish(*notification, SubmissionResponse::Throttled(*retry_after), end, now);
            }
            Command::Expire(notification) => {
                self.finish(*notification, SubmissionResponse::Expired, UndeliveredEnd::GivenUp, now);
            }
            Command::SubscribeToEndpointList => {
                if let Err(e) = self.discovery.subscribe(&mut self.net, now) {
                    self.handle_watch_failure(e);
                }
            }
            Command::Probe(endpoint) => {
                self.upstream.probe(&mut self.net, endpoint, self.discovery.endpoint(endpoint), now);
            }
            Command::CloseIdleConnections(endpoint) => self.upstream.close_idle(&mut self.net, endpoint),
            Command::CancelUnsent(endpoint) => self.upstream.cancel_unsent(&mut self.net, endpoint, now),
            Command::Log(line) => info!(self.log, "{}", line),
        }
    }

    /// Ends a notification undelivered. The client is told by the response to its submission if that is still
    /// unanswered, or else by a notice.
    fn finish(
        &mut self, notification: NotificationId, response: SubmissionResponse, end: UndeliveredEnd, now: Time,
    ) {
        match self.unanswered.remove(&notification) {
            Some(tokens) => {
                self.respond(tokens, notification, response);
                self.handle_end_acknowledged(notification);
            }
            None => self.end_undelivered(notification, end, now),
        }
    }

    /// Starts the pushes of these commands, which all go to the same endpoint.
    fn push(&mut self, endpoint: &EndpointId, commands: &[Command], now: Time) {
        let pushes: Vec<DecidedPush> =
            commands.iter().filter_map(|command| self.count_decided_push(command)).collect();
        let numbers = || pushes.iter().map(|push| push.notification.0).collect::<Vec<_>>();
        debug!(self.log, "push started"; "endpoint" => &*endpoint.0,
            "notifications" => format!("{:?}", numbers()));
        let requests =
            pushes.iter().filter_map(|push| push_request(push, &self.journal, &self.settings, now));
        let requests: Vec<PushRequest<'_>> = requests.collect();
        let known = self.discovery.endpoint(endpoint);
        self.upstream.push(&mut self.net, endpoint, known, &requests, now);
    }

    /// Returns the push of a command and counts it.
    fn count_decided_push(&mut self, command: &Command) -> Option<DecidedPush> {
        let Command::Push { notification, timeout, send_within, .. } = command else { return None };
        let push_index = self.journal.count_push(notification.0);
        Some(DecidedPush {
            notification: *notification,
            push_index,
            timeout: *timeout,
            send_within: *send_within,
        })
    }
}

/// Returns the request for a push; `None` if its notification is not live.
fn push_request<'a>(
    push: &DecidedPush, journal: &'a Journal, settings: &Settings, now: Time,
) -> Option<PushRequest<'a>> {
    let entry = journal.get(push.notification.0)?;
    let notification = &entry.notification;
    let time_left = Time::from_nanos(notification.valid_until_ns).since(now);
    Some(PushRequest {
        notification: push.notification,
        id: &notification.attributes.id,
        idempotency_key: notification.attributes.idempotency_key.as_deref(),
        body: &entry.body,
        push_index: push.push_index?,
        is_ordered: is_ordered(notification, settings),
        timeout: push.timeout.min(time_left),
        send_within: push.send_within,
    })
}

/// Whether later notifications with the same key wait for this one.
fn is_ordered(notification: &AcceptedNotification, settings: &Settings) -> bool {
    let attributes = &notification.attributes;
    let is_topic_ordered = || settings.topic_type(&attributes.topic).is_some_and(|topic| topic.is_ordered);
    attributes.key.is_some()
        && notification.guarantee.map_or_else(is_topic_ordered, |guarantee| guarantee.is_ordered)
}
