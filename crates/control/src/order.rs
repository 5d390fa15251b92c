//! Accepts or rejects a configuration that an operator submitted.
//!
//! The decision is based on a state that a majority confirmed after the order arrived. Other copies of the
//! order may still be in flight to other keepers and be decided on a later state. Every decision therefore
//! depends only on facts that no later state changes: generations only increase, so a base below the active
//! generation never becomes current again; validity depends on the order's own base and body; accepted and
//! rejected orders are remembered.

use juniperwing_configuration::{Configuration, Findings, digest};

use crate::state::{ActiveConfiguration, ControlChange, ControlState};

/// The decision on a submitted configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationDecision {
    /// The same order was accepted before, even if others have been accepted since.
    AlreadyAccepted,
    /// Valid, and based on the active configuration: propose this change.
    Accept(ControlChange),
    /// Based on a configuration that is no longer active; it can never be accepted.
    Stale {
        /// The active generation.
        current: u64,
    },
    /// Based on a generation above the active one, which may still be accepted. Reply that the order is stale
    /// only after this change is committed: a copy of the order that arrives later must not be accepted.
    Reject {
        /// The active generation.
        current: u64,
        /// Records the rejection.
        change: ControlChange,
    },
    /// Invalid regardless of the state.
    Invalid(Findings),
}

/// Decides on the configuration `body` (JSON), which is based on the generation `base` (0 for the first).
pub fn decide_configuration(state: &ControlState, base: u64, body: &[u8]) -> ConfigurationDecision {
    let digest = digest(base, body);
    if state.has_accepted(digest) {
        return ConfigurationDecision::AlreadyAccepted;
    }
    let current = state.generation();
    if base < current || state.has_rejected(digest) {
        return ConfigurationDecision::Stale { current };
    }
    let validated_generation = Configuration::read(body).and_then(|configuration| {
        configuration.check_generation_follows(base)?;
        Ok(configuration.generation)
    });
    match validated_generation {
        Err(findings) => ConfigurationDecision::Invalid(findings),
        Ok(_) if base > current => {
            ConfigurationDecision::Reject { current, change: ControlChange::RejectConfiguration(digest) }
        }
        Ok(generation) => {
            let configuration = ActiveConfiguration { generation, body: body.into() };
            ConfigurationDecision::Accept(ControlChange::ApplyConfiguration { digest, configuration })
        }
    }
}
