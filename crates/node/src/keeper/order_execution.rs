//! Execution of operators' orders at the primary.

use std::sync::Arc;

use juniperwing_control::{
    ConfigurationDecision, ControlChange, ControlState, RetireDecision, RetirementState,
    decide_configuration, decide_retire, retirement_state,
};
use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::NodeName;
use juniperwing_protocol::registry::{Order, OrderReply};
use juniperwing_protocol::replication::Version;
use juniperwing_replication::Versioned;
use slog::info;
use tokio::time::{Instant, timeout_at};

use super::controller::Controller;
use super::order_replies::{
    accepted_reply, configuration_reply, error_reply, json_reply, retirement_state_reply, stale_reply,
    unknown_machine_reply,
};

/// The outcome of one attempt to execute an order.
pub(super) enum OrderAttempt {
    /// The order has a definite reply.
    Replied(OrderReply),
    /// The order has no reply yet; it can be attempted again.
    Retry(RetryReason),
}

/// Why an order has no reply yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryReason {
    /// No primary is known, or it sent no message recently.
    NoPrimary,
    /// The primary gave no definite reply to a forwarded order.
    NoReplyFromPrimary,
    /// No majority confirmed this primary's state in time.
    ReadNotConfirmed,
    /// The change was not committed in time.
    ChangeNotCommitted,
    /// This keeper has not observed the stores for long enough to decide.
    StoresUncertain,
}

impl RetryReason {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            RetryReason::NoPrimary => "no primary",
            RetryReason::NoReplyFromPrimary => "no definite reply from the primary",
            RetryReason::ReadNotConfirmed => "read not confirmed by a majority",
            RetryReason::ChangeNotCommitted => "change not committed",
            RetryReason::StoresUncertain => "stores uncertain",
        }
    }
}

impl Controller {
    /// Attempts to execute an order as primary, based on a state that was confirmed after the order arrived.
    pub(super) async fn handle_order_locally(
        self: &Arc<Self>, order: &Order, deadline: Instant,
    ) -> OrderAttempt {
        let Ok(Ok(confirmed)) = timeout_at(deadline, self.read_confirmed()).await else {
            return OrderAttempt::Retry(RetryReason::ReadNotConfirmed);
        };
        match order {
            Order::PutConfiguration { base, body } => {
                self.put_configuration(&confirmed, *base, body, deadline).await
            }
            Order::GetConfiguration => OrderAttempt::Replied(configuration_reply(&confirmed.state)),
            Order::Retire { node, .. } => self.retire_store(&confirmed, node, deadline).await,
            Order::RetireState { node } => {
                OrderAttempt::Replied(self.retirement_reply(&confirmed.state, node))
            }
        }
    }

    async fn put_configuration(
        self: &Arc<Self>, confirmed: &Versioned<ControlState>, base: u64, body: &[u8], deadline: Instant,
    ) -> OrderAttempt {
        match decide_configuration(&confirmed.state, base, body) {
            ConfigurationDecision::Accept(change) => {
                self.apply_configuration(confirmed, change, deadline).await
            }
            ConfigurationDecision::AlreadyAccepted => {
                self.distribute_configuration(confirmed.state.configuration_version(), deadline).await;
                OrderAttempt::Replied(accepted_reply())
            }
            ConfigurationDecision::Stale { current } => OrderAttempt::Replied(stale_reply(current)),
            ConfigurationDecision::Reject { current, change } => {
                let is_committed = self.commit_change(confirmed.version, change, deadline).await;
                OrderAttempt::replied_if_committed(is_committed, || stale_reply(current))
            }
            ConfigurationDecision::Invalid(findings) => OrderAttempt::Replied(json_reply(400, &findings)),
        }
    }

    async fn apply_configuration(
        self: &Arc<Self>, confirmed: &Versioned<ControlState>, change: ControlChange, deadline: Instant,
    ) -> OrderAttempt {
        if !self.commit_change(confirmed.version, change, deadline).await {
            return OrderAttempt::Retry(RetryReason::ChangeNotCommitted);
        }
        // The change was committed on top of the confirmed state, so it has the next sequence number.
        let previous = confirmed.state.configuration_version();
        let applied = Version { sequence: previous.sequence + 1, ..previous };
        self.distribute_configuration(applied, deadline).await;
        let committed =
            self.lock().consensus.committed().map(|committed| committed.state.configuration_version());
        check(Invariant::AcknowledgedOrderIsCommitted, committed >= Some(applied), || {
            format!("{applied:?} is acknowledged, {committed:?} is committed")
        });
        OrderAttempt::Replied(accepted_reply())
    }

    async fn retire_store(
        self: &Arc<Self>, confirmed: &Versioned<ControlState>, node: &NodeName, deadline: Instant,
    ) -> OrderAttempt {
        let decision = {
            let state = self.lock();
            decide_retire(&confirmed.state, &state.store_view, node, self.required_replicas)
        };
        let change = match decision {
            RetireDecision::Accept(change) => change,
            RetireDecision::AlreadyAccepted => {
                return OrderAttempt::Replied(self.retirement_reply(&confirmed.state, node));
            }
            RetireDecision::StoresUncertain => return OrderAttempt::Retry(RetryReason::StoresUncertain),
            RetireDecision::UnknownMachine => return OrderAttempt::Replied(unknown_machine_reply()),
            RetireDecision::TooFewRemaining { others } => {
                info!(self.log, "store retirement rejected"; "store" => %node.0, "remaining" => others);
                return OrderAttempt::Replied(error_reply(409, "too few machines would remain"));
            }
        };
        let is_committed = self.commit_change(confirmed.version, change, deadline).await;
        if is_committed {
            info!(self.log, "store retirement started"; "store" => %node.0);
        }
        OrderAttempt::replied_if_committed(is_committed, || retirement_state_reply(RetirementState::Active))
    }

    /// Proposes a change on version `base`. Returns whether it is known to be committed before `deadline`.
    async fn commit_change(
        self: &Arc<Self>, base: Version, change: ControlChange, deadline: Instant,
    ) -> bool {
        matches!(timeout_at(deadline, self.propose(base, change)).await, Ok(Ok(_)))
    }

    fn retirement_reply(&self, state: &ControlState, node: &NodeName) -> OrderReply {
        match retirement_state(state, &self.lock().store_view, node) {
            Some(progress) => retirement_state_reply(progress),
            None => unknown_machine_reply(),
        }
    }
}

impl OrderAttempt {
    fn replied_if_committed(is_committed: bool, reply: impl FnOnce() -> OrderReply) -> OrderAttempt {
        if is_committed {
            OrderAttempt::Replied(reply())
        } else {
            OrderAttempt::Retry(RetryReason::ChangeNotCommitted)
        }
    }
}
