//! Decides on a configuration that an operator sent.

use juniperwing_configuration::{Configuration, Findings, digest};

use crate::state::{ConfigurationInForce, ControlChange, ControlState};

/// What becomes of a configuration that was sent.
#[derive(Clone, Debug, PartialEq)]
pub enum PutDecision {
    /// This very order was taken before, whatever came after.
    AlreadyTaken,
    /// It is valid and builds on the configuration in force: this change is to be made.
    Take(ControlChange),
    /// It builds on another configuration than the one in force.
    Stale {
        /// The generation in force.
        current: u64,
    },
    /// It is not valid.
    Invalid(Findings),
}

/// Decides on the configuration `body`, which builds on the generation `base` (0 for the first).
pub fn decide_put(state: &ControlState, base: u64, body: &[u8]) -> PutDecision {
    let digest = digest(base, body);
    if state.has_taken(digest) {
        return PutDecision::AlreadyTaken;
    }
    let current = state.generation();
    if base != current {
        return PutDecision::Stale { current };
    }
    let checked = Configuration::read(body).and_then(|configuration| {
        configuration.check_succeeds(current)?;
        Ok(configuration.generation)
    });
    match checked {
        Err(findings) => PutDecision::Invalid(findings),
        Ok(generation) => {
            let configuration = ConfigurationInForce { generation, body: body.into() };
            PutDecision::Take(ControlChange::TakeConfiguration { digest, configuration })
        }
    }
}
