//! Decides on a configuration that an operator sent.
//!
//! An order is answered from a state that was confirmed after it came, but other copies of it may still be under
//! way to other keepers, to be decided on later. So every answer is given only on what no later state can
//! change: generations only climb, so a base below the one in force never comes back; whether an order is valid
//! depends on its own base and body; what was taken or refused is remembered.

use juniperwing_configuration::{Configuration, Findings, digest};

use crate::state::{ConfigurationInForce, ControlChange, ControlState};

/// What becomes of a configuration that was sent.
#[derive(Clone, Debug, PartialEq)]
pub enum PutDecision {
    /// This very order was taken before, whatever came after.
    AlreadyAccepted,
    /// It is valid and builds on the configuration in force: this change is to be made.
    Accept(ControlChange),
    /// It builds on a configuration that is not in force, and never comes into force itself.
    Stale {
        /// The generation in force.
        current: u64,
    },
    /// It builds on a generation above the one in force, which may yet come. It may be answered as stale only
    /// once this change is made: a copy of the order that comes later must not be taken.
    Reject {
        /// The generation in force.
        current: u64,
        /// Makes the refusal last.
        change: ControlChange,
    },
    /// It is not valid, whatever comes into force.
    Invalid(Findings),
}

/// Decides on the configuration `body`, which builds on the generation `base` (0 for the first).
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
