//! Processing of session requests at the primary of a partition, and the conditions that it requires.

use juniperwing_protocol::session::{SessionCall, SessionReply, SessionRequest};
use juniperwing_protocol::{EpochNumber, PartitionId};

use crate::epoch_confirmation::EpochStatus;
use crate::event::{CallerId, Command};
use crate::limits::MAX_PENDING_WRITES;
use crate::statistics::UnavailableReason;
use crate::store::Store;

impl Store {
    /// Handles a relay's request. The output of streams needs neither a primary nor a synchronized partition.
    pub(crate) fn handle_session_request(&mut self, caller: CallerId, request: SessionRequest) {
        let reply = match request.body {
            SessionCall::RecordOutput(record) => self.output_log.record(self.clock.now, record),
            SessionCall::FindOutput(find) => self.output_log.find_output(self.clock.now, &find),
            _ => return self.process_session_request(caller, request, EpochStatus::Unconfirmed),
        };
        self.send_session_reply(caller, reply);
    }

    /// Processes a request, or defers it until its partition is synchronized.
    pub(crate) fn process_session_request(
        &mut self, caller: CallerId, request: SessionRequest, epoch_status: EpochStatus,
    ) {
        if let SessionCall::Find { turn, partitions } = &request.body {
            let (turn, partitions) = (turn.clone(), partitions.clone());
            return self.handle_find(caller, request, &turn, partitions, epoch_status);
        }
        let partition = request.partition;
        if !self.is_primary_since(partition, request.epoch) {
            return self.send_not_primary(caller, partition);
        }
        if let Some(reason) = self.reason_to_reject(partition) {
            return self.send_unavailable(caller, reason);
        }
        self.process_call(caller, request, epoch_status);
    }

    /// Why this store can process no request for a partition at present; `None` if it can.
    fn reason_to_reject(&self, partition: PartitionId) -> Option<UnavailableReason> {
        if !self.has_required_replicas(partition) {
            return Some(UnavailableReason::TooFewReplicas);
        }
        if self.has_unreachable_replica(partition) {
            return Some(UnavailableReason::ReplicaUnreachable);
        }
        let has_max_pending_writes = self.pending_writes.len() >= MAX_PENDING_WRITES;
        has_max_pending_writes.then_some(UnavailableReason::TooManyPendingWrites)
    }

    /// Processes a call for a partition that this store leads, or defers it.
    fn process_call(&mut self, caller: CallerId, request: SessionRequest, epoch_status: EpochStatus) {
        let partition = request.partition;
        match &request.body {
            SessionCall::Finish(finish) if self.may_learn_of_previous_turn(partition, finish) => {
                self.wait_for_sync(caller, request);
            }
            SessionCall::Finish(finish) => {
                let finish = finish.clone();
                self.handle_finish(caller, partition, finish);
            }
            SessionCall::Renew(renew) => {
                let renew = renew.clone();
                self.handle_renew(caller, partition, renew);
            }
            SessionCall::Begin(begin) if begin.budget.is_none() && begin.previous.is_none() => {
                self.send_session_reply(caller, SessionReply::TurnBegun { chain: Vec::new() });
            }
            SessionCall::Begin(_) if !self.is_synchronized(partition) => self.wait_for_sync(caller, request),
            SessionCall::Begin(begin) => {
                let begin = begin.clone();
                self.handle_begin(caller, request, &begin, epoch_status);
            }
            SessionCall::Find { .. } | SessionCall::RecordOutput(_) | SessionCall::FindOutput(_) => {}
        }
    }

    /// Whether this store leads a partition in this epoch or a later one.
    pub(crate) fn is_primary_since(&self, partition: PartitionId, epoch: EpochNumber) -> bool {
        self.led_partitions.get(&partition).is_some_and(|led| led.epoch >= epoch)
    }

    /// Whether the map names enough in-sync replicas to acknowledge writes: the required number, less the replicas that
    /// the keepers know to be lost.
    pub(crate) fn has_required_replicas(&self, partition: PartitionId) -> bool {
        let in_sync = self.map.assignment(partition).map_or(0, |assignment| assignment.in_sync.len());
        in_sync > 0 && in_sync + self.lost_replicas(partition) >= self.limits.required_replicas
    }

    /// The number of required replicas on lost machines, which writes do not wait for.
    pub(crate) fn lost_replicas(&self, partition: PartitionId) -> usize {
        self.map.assignment(partition).map_or(0, |assignment| usize::from(assignment.lost_replicas))
    }

    pub(crate) fn send_session_reply(&mut self, caller: CallerId, reply: SessionReply) {
        self.commands.push(Command::SendSessionReply { caller, reply });
    }

    /// Replies that this store is not the primary, or has not received the map that makes it the primary.
    pub(crate) fn send_not_primary(&mut self, caller: CallerId, partition: PartitionId) {
        let assignment = self.map.assignment(partition);
        let epoch = assignment.map_or(EpochNumber::default(), |assignment| assignment.epoch);
        self.send_session_reply(caller, SessionReply::NotPrimary { epoch });
    }
}
