//! The state shared by all endpoints of a test case: the plans of its requests and what has happened to them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

use super::script::{Closing, Framing, Reply, RequestKind, RequestPlan, Surplus};

/// The state shared by all endpoints of a test case.
#[derive(Default)]
pub struct CaseState {
    plans: BTreeMap<String, RequestPlan>,
    arrivals: Mutex<BTreeMap<String, usize>>,
    response_received: Mutex<BTreeMap<String, Arc<Notify>>>,
    /// Ids of requests that an endpoint has declared not executed, once for each time.
    pub declined: Mutex<Vec<String>>,
    /// The bytes received on each connection.
    pub streams: Mutex<Vec<Arc<Mutex<Vec<u8>>>>>,
}

impl CaseState {
    pub fn new(plans: BTreeMap<String, RequestPlan>) -> Arc<CaseState> {
        Arc::new(CaseState { plans, ..CaseState::default() })
    }

    /// Returns the notification that the client has received the response to a request.
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
            closing: Closing::KeepAlive,
        };
        plan.unwrap_or(correct_reply)
    }

    pub fn kind(&self, id: &str) -> RequestKind {
        self.plans.get(id).map_or(RequestKind::NonIdempotent, |plan| plan.kind)
    }

    pub fn new_stream(&self) -> Arc<Mutex<Vec<u8>>> {
        let stream = Arc::default();
        self.streams.lock().unwrap().push(Arc::clone(&stream));
        stream
    }
}
