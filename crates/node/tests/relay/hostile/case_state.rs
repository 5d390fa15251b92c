//! What all endpoints of a case share: the plans of its requests, and what has happened to them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

use super::script::{Closing, Framing, Kind, Reply, RequestPlan, Surplus};

/// What all endpoints of a case share.
#[derive(Default)]
pub struct CaseState {
    plans: BTreeMap<String, RequestPlan>,
    arrivals: Mutex<BTreeMap<String, usize>>,
    response_received: Mutex<BTreeMap<String, Arc<Notify>>>,
    /// Requests that an endpoint has declared not executed.
    pub declined: Mutex<Vec<String>>,
    /// The bytes received, by connection.
    pub streams: Mutex<Vec<Arc<Mutex<Vec<u8>>>>>,
}

impl CaseState {
    pub fn new(plans: BTreeMap<String, RequestPlan>) -> Arc<CaseState> {
        Arc::new(CaseState { plans, ..CaseState::default() })
    }

    /// Notified when the client of a request has its response.
    pub fn response_received(&self, id: &str) -> Arc<Notify> {
        Arc::clone(self.response_received.lock().unwrap().entry(id.to_owned()).or_default())
    }

    pub fn next_reply(&self, id: &str) -> Reply {
        let mut arrivals = self.arrivals.lock().unwrap();
        let arrival = arrivals.entry(id.to_owned()).or_default();
        *arrival += 1;
        let plan = self.plans.get(id).and_then(|plan| plan.replies.get(*arrival - 1)).cloned();
        let correct_reply = Reply::Complete {
            framing: Framing::Length,
            informational: false,
            surplus: Surplus::None,
            closing: Closing::KeepsOpen,
        };
        plan.unwrap_or(correct_reply)
    }

    pub fn kind(&self, id: &str) -> Kind {
        self.plans.get(id).map_or(Kind::NonIdempotent, |plan| plan.kind)
    }

    pub fn new_stream(&self) -> Arc<Mutex<Vec<u8>>> {
        let stream = Arc::default();
        self.streams.lock().unwrap().push(Arc::clone(&stream));
        stream
    }
}
