//! Decides whether a submitted notification can be accepted at all.
//!
//! It enforces limits and recognises ids that were submitted before. Weighing notifications against each other is the
//! core's part.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

use juniperwing::interface::{DestinationId, TopicType};
use juniperwing_settings::Settings;

use crate::client_connections::{Submission, SubmissionResponse};
use crate::discovery::Discovery;
use crate::journal::Journal;

/// The number of the latest ids that are remembered: more than can be submitted while one of them is live.
const MAX_REMEMBERED_IDS: usize = 8_192;

/// The responses to the latest ids.
#[derive(Default)]
pub struct Admission {
    /// By a digest of the id.
    responses: BTreeMap<u64, SubmissionResponse>,
    /// The digests in the order in which they came.
    insertion_order: VecDeque<u64>,
    hasher: RandomState,
}

impl Admission {
    /// The topic type of a notification that can be accepted, or the response to one that cannot.
    pub fn admit(
        &mut self, submission: &Submission, settings: &Settings, journal: &Journal, discovery: &Discovery,
    ) -> Result<Arc<TopicType>, SubmissionResponse> {
        let attributes = &submission.attributes;
        // An id that is used again, even by another client, would push something else under it. What was accepted once
        // stays accepted, so that a client whose connection broke before the response loses nothing.
        if journal.contains_id(&attributes.id) {
            return Err(SubmissionResponse::Accepted);
        }
        if let Some(response) = self.responses.get(&self.hasher.hash_one(&attributes.id)) {
            return Err(*response);
        }
        let topic = settings.topic_type(&attributes.topic).ok_or(SubmissionResponse::Malformed)?;
        // Notifications that can never be delivered would use up the capacity.
        if !discovery.is_known_destination(DestinationId(attributes.destination)) {
            return Err(if discovery.is_current() {
                SubmissionResponse::UnknownDestination
            } else {
                SubmissionResponse::Unavailable
            });
        }
        let max_live = settings.relay_config.limits.max_pending;
        let is_full = max_live > 0 && journal.live_count() >= max_live;
        if is_full || !journal.has_capacity_for(submission.body.len()) {
            return Err(SubmissionResponse::Unavailable);
        }
        Ok(topic)
    }

    /// Remembers the response to an id.
    pub fn record_response(&mut self, id: &str, response: SubmissionResponse) {
        let digest = self.hasher.hash_one(id);
        if self.responses.insert(digest, response).is_none() {
            self.insertion_order.push_back(digest);
        }
        if self.insertion_order.len() > MAX_REMEMBERED_IDS {
            self.insertion_order.pop_front().map(|oldest| self.responses.remove(&oldest));
        }
    }
}
