//! The second stage: whether a notification that was handed in can be taken on at all. It owns the bounds on
//! what is held and the ids handed in of late, and must never weigh one notification against another: that is
//! the core's.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

use juniperwing::interface::{DestinationId, TopicType};
use juniperwing_settings::Settings;

use crate::client_connections::{Submission, SubmissionResponse};
use crate::discovery::Discovery;
use crate::journal::Journal;

/// So many of the latest ids are known again: more than come in while one may be held.
const MAX_REMEMBERED_IDS: usize = 8_192;

#[derive(Default)]
pub struct Admission {
    /// What the latest ids were answered, by a digest of each, and the digests in the order they came.
    answers: HashMap<u64, SubmissionResponse>,
    order: VecDeque<u64>,
    digest: RandomState,
}

impl Admission {
    /// The topic type of a notification that there is room for, or the answer to one that is not taken on.
    pub fn admit(
        &mut self, handed_in: &Submission, settings: &Settings, store: &Journal, discovery: &Discovery,
    ) -> Result<Arc<TopicType>, SubmissionResponse> {
        let words = &handed_in.attributes;
        // Guards against an id used again, be it another client's: under it, something else would be pushed. What
        // was taken on once is so still, and a connection that broke before the answer costs nothing.
        if store.contains_id(&words.id) {
            return Err(SubmissionResponse::Accepted);
        }
        if let Some(answer) = self.answers.get(&self.digest.hash_one(&words.id)) {
            return Err(*answer);
        }
        let topic = settings.topic_type(&words.topic).ok_or(SubmissionResponse::Malformed)?;
        // Guards against notifications that could never be delivered, and would fill the hold.
        if !discovery.is_known_destination(DestinationId(words.destination)) {
            return Err(if discovery.is_current() {
                SubmissionResponse::UnknownDestination
            } else {
                SubmissionResponse::Unavailable
            });
        }
        let most = settings.relay_config.limits.max_pending;
        // Guards against a folder that fills up, and a hold larger than the settings allow.
        if !store.has_capacity_for(handed_in.body.len()) || most > 0 && store.live_count() >= most {
            return Err(SubmissionResponse::Unavailable);
        }
        Ok(topic)
    }

    /// Notes what an id was answered.
    pub fn record_response(&mut self, id: &str, answer: SubmissionResponse) {
        let digest = self.digest.hash_one(id);
        if self.answers.insert(digest, answer).is_none() {
            self.order.push_back(digest);
        }
        if self.order.len() > MAX_REMEMBERED_IDS {
            self.order.pop_front().map(|oldest| self.answers.remove(&oldest));
        }
    }
}
