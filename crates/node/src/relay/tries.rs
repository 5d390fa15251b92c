//! The tries of one request: which endpoints have had it, and what is known of them.

use std::sync::Arc;

use http::Response;
use juniperwing_protocol::identity::InstanceId;

use super::Core;
use super::body::RelayBody;
use super::exchange::Exchange;
use super::fate::{Cause, Failure, Fate};
use super::trace::{AttemptEnd, RequestTrace};

/// Tries of which nothing was sent, beyond those that the route allows.
const UNSENT_TRIES: u32 = 4;

/// The tries of one request.
pub struct Tries {
    /// Endpoints that are not asked again.
    pub excluded: Vec<InstanceId>,
    /// Endpoints that it was sent to.
    pub sent: u32,
    unsent: u32,
    fate: Option<Fate>,
    /// The answer of an endpoint that failed, where others might not.
    pub failed: Option<Response<RelayBody>>,
    /// What becomes of the request.
    pub trace: Arc<RequestTrace>,
}

impl Tries {
    /// No try yet.
    pub fn new(trace: Arc<RequestTrace>) -> Tries {
        Tries { excluded: Vec::new(), sent: 0, unsent: 0, fate: None, failed: None, trace }
    }

    /// Endpoints that it may still be sent to.
    pub fn left(&self, exchange: &Exchange) -> u32 {
        let may_send = exchange.route.max_retries.saturating_sub(self.sent);
        if self.unsent < UNSENT_TRIES { may_send } else { 0 }
    }

    /// Takes in a try that gave no answer.
    pub fn note(&mut self, core: &Core, endpoint: InstanceId, failure: Failure) {
        self.trace.attempt_ended(AttemptEnd::Failed(failure.cause));
        self.excluded.push(endpoint);
        self.fate = self.fate.max(Some(failure.fate));
        match failure.fate {
            Fate::NotSent => self.unsent += 1,
            Fate::DeclaredNotExecuted | Fate::MayHaveRun => self.sent += 1,
        }
        if failure.fate == Fate::MayHaveRun {
            self.trace.may_have_run();
        }
        match failure.cause {
            Cause::Declined | Cause::Misdirected => core.metrics.declined.add(),
            Cause::WrongRequest | Cause::Unsound => core.metrics.unsound.add(),
            Cause::Silent => core.metrics.abandoned.add(),
            Cause::Broken | Cause::EndpointError => core.metrics.broken.add(),
            Cause::NoConnection | Cause::EndpointLeft | Cause::NoRoom => {}
        }
    }

    /// The most that may have become of the request.
    pub fn fate(&self) -> Fate {
        self.fate.unwrap_or(Fate::NotSent)
    }
}
