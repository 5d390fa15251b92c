//! Admission control for submitted notifications.
//!
//! It enforces limits and detects ids that were submitted before. Prioritising notifications is up to the core.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

use juniperwing::interface::{DestinationId, TopicType};
use juniperwing_settings::Settings;

use crate::client_connections::{Submission, SubmissionResponse};
use crate::discovery::Discovery;
use crate::journal::Journal;

/// The number of recent ids whose responses are kept: more than can be submitted while one of them is live.
const MAX_RECENT_IDS: usize = 8_192;

/// The responses to recently submitted ids.
#[derive(Default)]
pub struct Admission {
    /// Keyed by a hash of the id.
    responses: BTreeMap<u64, SubmissionResponse>,
    /// The hashes in the order of insertion.
    insertion_order: VecDeque<u64>,
    hasher: RandomState,
}

impl Admission {
    /// Returns the topic type of a notification that can be accepted, or the response that rejects it.
    pub fn admit(
        &mut self, submission: &Submission, settings: &Settings, journal: &Journal, discovery: &Discovery,
    ) -> Result<Arc<TopicType>, SubmissionResponse> {
        let attributes = &submission.attributes;
        // Reusing an id, even by another client, would push a different notification under it. An id that was accepted
        // stays accepted, so that a client whose connection broke before the response can submit it again.
        if journal.contains_id(&attributes.id) {
            return Err(SubmissionResponse::Accepted);
        }
        if let Some(response) = self.responses.get(&self.hasher.hash_one(&attributes.id)) {
            return Err(*response);
        }
        let topic = settings.topic_type(&attributes.topic).ok_or(SubmissionResponse::Malformed)?;
        // Notifications without a known destination could never be delivered and would use up the capacity.
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

    /// Stores the response to an id, and evicts the oldest one above the limit.
    pub fn record_response(&mut self, id: &str, response: SubmissionResponse) {
        let id_hash = self.hasher.hash_one(id);
        if self.responses.insert(id_hash, response).is_none() {
            self.insertion_order.push_back(id_hash);
        }
        if self.insertion_order.len() > MAX_RECENT_IDS {
            self.insertion_order.pop_front().map(|oldest| self.responses.remove(&oldest));
        }
    }
}
