//! The replicated control state and the decisions that change it.
//!
//! [`ControlState`] holds the active configuration, the digests of accepted and rejected orders, the store map
//! and the retirements of store machines. The crate does no I/O: [`decide_configuration`] and [`decide_retire`] turn an
//! operator's order into a [`ControlChange`] or a rejection, [`StoreTracker`] distinguishes lost stores from
//! those that are expected to return, and [`plan_store_map`] computes the next store map.

mod loss_tolerance;
mod order;
mod order_history;
mod placement;
mod plan;
mod retire;
mod state;
mod tracker;

pub use order::{ConfigurationDecision, decide_configuration};
pub use order_history::OrderHistory;
pub use placement::{EXTRA_REPLICAS, PARTITION_COUNT};
pub use plan::{PlanInput, plan_store_map, unrecoverable_partitions};
pub use retire::{
    RetireDecision, completed_retirements, decide_retire, extend_retirement_to_new_disk, retirement_state,
};
pub use state::{
    ActiveConfiguration, ControlChange, ControlState, MAX_REMEMBERED_ORDERS, MAX_REMEMBERED_REJECTIONS,
    MAX_REMEMBERED_RETIREMENTS, Retirement, RetirementState,
};
pub use tracker::{StoreTracker, StoreView};
