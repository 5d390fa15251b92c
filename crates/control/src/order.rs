//! Accepts or rejects a configuration that an operator submitted.
//!
//! The decision rests on a state that a majority confirmed after the order arrived, but other copies of the order
//! may still be in flight to other keepers and be decided later. Every decision therefore depends only on facts
//! that no later state changes: generations only increase, so a base below the one in force never becomes current
//! again; validity depends on the order's own base and body; accepted and rejected orders are remembered.

use juniperwing_configuration::{Configuration, Findings, digest};

use crate::state::{ConfigurationInForce, ControlChange, ControlState};

/// The decision on a submitted configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum PutDecision {
    /// The same order was accepted before, whatever was accepted since.
    AlreadyAccepted,
    /// It is valid and builds on the configuration in force: propose this change.
    Accept(ControlChange),
    /// It builds on a configuration that is no longer in force, and can never be accepted.
    Stale {
        /// The generation in force.
        current: u64,
    },
    /// It builds on a generation above the one in force, which may yet be accepted. Reply that it is stale only
    /// after this change is committed: a copy of the order that arrives later must not be accepted.
    Reject {
        /// The generation in force.
        current: u64,
        /// Records the rejection.
        change: ControlChange,
    },
    /// It is invalid on any state.
    Invalid(Findings),
}

/// Decides on the configuration `body` (JSON), which builds on the generation `base` (0 for the first).
pub fn decide_put(state: &ControlState, base: u64, body: &[u8]) -> PutDecision {
    let digest = digest(base, body);
    if state.has_accepted(digest) {
        return PutDecision::AlreadyAccepted;
    }
    let current = state.generation();
    if base < current || state.has_rejected(digest) {
        return PutDecision::Stale { current };
    }
    let checked = Configuration::read(body).and_then(|configuration| {
        configuration.check_generation_follows(base)?;
        Ok(configuration.generation)
    });
    match checked {
        Err(findings) => PutDecision::Invalid(findings),
        Ok(_) if base > current => {
            PutDecision::Reject { current, change: ControlChange::RejectConfiguration(digest) }
        }
        Ok(generation) => {
            let configuration = ConfigurationInForce { generation, body: body.into() };
            PutDecision::Accept(ControlChange::ApplyConfiguration { digest, configuration })
        }
    }
}
