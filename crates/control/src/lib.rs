//! The control state that keepers replicate, and the decisions that change it.
//!
//! [`ControlState`] holds the configuration in force, the digests of all orders ever taken, the store map and
//! the store machines that are being emptied. Everything here is pure: [`decide_put`] and [`decide_retire`]
//! turn an operator's order into a [`ControlChange`] or a refusal, [`StoreTracker`] tells stores that are lost
//! from those that are only being waited for, and [`plan`] computes the store map that should follow.

mod order;
mod order_history;
mod placement;
mod plan;
mod retire;
mod state;
mod tracker;

pub use order::{PutDecision, decide_put};
pub use order_history::OrderHistory;
pub use placement::{PARTITIONS, REPLICAS_BEYOND_REQUIRED};
pub use plan::{PlanInput, plan, unrecoverable};
pub use retire::{
    RetireDecision, completed_retirements, decide_retire, retirement_state, retirement_to_renew,
};
pub use state::{
    ConfigurationInForce, ControlChange, ControlState, MAX_ORDERS_REMEMBERED, MAX_REFUSALS_REMEMBERED,
    MAX_RETIREMENTS, Retirement, RetirementState,
};
pub use tracker::{StoreTracker, StoreView};
