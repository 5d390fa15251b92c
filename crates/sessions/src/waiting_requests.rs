//! Requests that wait until a partition is synchronized or a newer map arrives.

use std::collections::BTreeMap;

use juniperwing_clock::Span;
use juniperwing_protocol::PartitionId;
use juniperwing_protocol::session::SessionRequest;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};

use crate::event::CallerId;
use crate::limits::{MAX_WAITING_REQUESTS, REQUEST_TIMEOUT};
use crate::statistics::UnavailableReason;
use crate::store::Store;
use crate::timers::Timer;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) enum WaitingRequest {
    /// A relay's request that waits until all in-sync replicas of the partition are synchronized.
    ForSync { caller: CallerId, request: SessionRequest },
    /// A store's request that waits for a map with its epoch.
    ForMap { caller: CallerId, request: TransferRequest },
}

impl Store {
    /// Defers a relay's request until its partition is synchronized.
    pub(crate) fn wait_for_sync(&mut self, caller: CallerId, request: SessionRequest) {
        if self.has_max_waiting_requests() {
            return self.send_unavailable(caller, UnavailableReason::TooManyWaitingRequests);
        }
        self.add_waiting_request(WaitingRequest::ForSync { caller, request }, REQUEST_TIMEOUT);
    }

    pub(crate) fn has_max_waiting_requests(&self) -> bool {
        self.waiting_requests.len() >= MAX_WAITING_REQUESTS
    }

    pub(crate) fn add_waiting_request(&mut self, waiting: WaitingRequest, timeout: Span) {
        let id = self.next_id();
        self.waiting_requests.insert(id, waiting);
        self.timers.insert((self.clock.now + timeout, Timer::RequestTimeout(id)));
    }

    /// Resumes the requests that waited for a partition to be synchronized.
    pub(crate) fn resume_requests(&mut self, partition: PartitionId) {
        let is_for_partition = |waiting: &WaitingRequest| match waiting {
            WaitingRequest::ForSync { request, .. } => request.partition == partition,
            WaitingRequest::ForMap { .. } => false,
        };
        for waiting in self.remove_waiting_requests(is_for_partition) {
            if let WaitingRequest::ForSync { caller, request } = waiting {
                self.handle_session_request(caller, request);
            }
        }
    }

    /// Resumes the requests of stores that waited for a map.
    pub(crate) fn resume_transfers(&mut self) {
        let is_for_map = |waiting: &WaitingRequest| matches!(waiting, WaitingRequest::ForMap { .. });
        for waiting in self.remove_waiting_requests(is_for_map) {
            if let WaitingRequest::ForMap { caller, request } = waiting {
                self.handle_transfer_request(caller, request, false);
            }
        }
    }

    /// Removes the requests that `is_selected` accepts, and returns them in order of arrival.
    fn remove_waiting_requests(
        &mut self, is_selected: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let all = std::mem::take(&mut self.waiting_requests).into_iter();
        let (selected, others): (BTreeMap<u64, WaitingRequest>, _) =
            all.partition(|(_, waiting)| is_selected(waiting));
        self.waiting_requests = others;
        selected.into_values().collect()
    }

    pub(crate) fn request_timed_out(&mut self, id: u64) {
        match self.waiting_requests.remove(&id) {
            Some(WaitingRequest::ForSync { caller, .. }) => {
                self.send_unavailable(caller, UnavailableReason::NotSynchronized);
            }
            Some(WaitingRequest::ForMap { caller, .. }) => {
                self.send_transfer_reply(caller, TransferReply::Failed);
            }
            None => {}
        }
    }
}
