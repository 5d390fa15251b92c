//! Handling of submissions from clients, and the responses to them.

use std::sync::Arc;

use juniperwing::interface::{
    DestinationId, Event, Notification, NotificationHistory, NotificationId, TopicType,
};
use juniperwing::time::{Span, Time};
use slog::debug;

use super::Server;
use crate::client_connections::{Submission, SubmissionResponse};
use crate::event_loop::Token;
use crate::journal::{AcceptedNotification, Guarantee};

impl Server {
    pub(super) fn handle_submission(&mut self, token: Token, submission: Submission, now: Time) {
        // An id submitted twice in an iteration gets one response: it is in the journal already, but may still be
        // rejected.
        if let Some(tokens) = self.unanswered_with_id(&submission.attributes.id) {
            return tokens.push(token);
        }
        match self.admission.admit(&submission, &self.settings, &self.journal, &self.discovery) {
            Ok(topic) => self.accept(token, submission, topic, now),
            Err(response) => self.reject(token, &submission, response),
        }
    }

    /// Returns the connections that wait for the response to this id.
    fn unanswered_with_id(&mut self, id: &str) -> Option<&mut Vec<Token>> {
        if !self.journal.contains_id(id) {
            return None;
        }
        let journal = &self.journal;
        let has_id = |notification: &NotificationId| {
            journal.get(notification.0).is_some_and(|entry| entry.notification.attributes.id == id)
        };
        self.unanswered.iter_mut().find(|(notification, _)| has_id(notification)).map(|(_, tokens)| tokens)
    }

    fn reject(&mut self, token: Token, submission: &Submission, response: SubmissionResponse) {
        let id = &submission.attributes.id;
        debug!(self.log, "notification rejected"; "id" => id, "response" => format!("{response:?}"));
        if response == SubmissionResponse::Unavailable {
            self.admission.record_response(id, response);
        }
        self.client_connections.respond_to_submission(&mut self.net, token, response);
    }

    fn accept(&mut self, token: Token, submission: Submission, topic: Arc<TopicType>, now: Time) {
        // The topic type limits the time to live.
        let max_time = if topic.ttl > Span::ZERO { topic.ttl } else { submission.time_left };
        let valid_until = now + submission.time_left.min(max_time);
        let guarantee = Guarantee::from(&*topic);
        let number = self.journal.accept(submission.attributes, valid_until, guarantee, submission.body);
        let Some(entry) = self.journal.get(number) else { return };
        let attributes = &entry.notification.attributes;
        debug!(self.log, "notification accepted"; "id" => &attributes.id, "notification" => number,
            "destination" => attributes.destination, "topic" => &attributes.topic);
        let notification =
            self.notification(number, &entry.notification, topic, NotificationHistory::default());
        self.unanswered.insert(NotificationId(number), vec![token]);
        self.core.enqueue(Event::Accepted(notification));
    }

    /// Converts a notification for the core.
    pub(super) fn notification(
        &self, number: u64, accepted: &AcceptedNotification, topic: Arc<TopicType>,
        history: NotificationHistory,
    ) -> Notification {
        let attributes = &accepted.attributes;
        Notification {
            id: NotificationId(number),
            destination: DestinationId(attributes.destination),
            topic,
            account: attributes.account.as_ref().and_then(|name| self.settings.account(name)),
            key: attributes.key.clone(),
            valid_until: Time::from_nanos(accepted.valid_until_ns),
            history,
        }
    }

    /// Responds to the connections that submitted a notification.
    pub(super) fn respond(
        &mut self, tokens: Vec<Token>, notification: NotificationId, response: SubmissionResponse,
    ) {
        if let Some(entry) = self.journal.get(notification.0) {
            self.admission.record_response(&entry.notification.attributes.id, response);
        }
        for token in tokens {
            self.client_connections.respond_to_submission(&mut self.net, token, response);
        }
    }
}
