//! The decision logic of a relay, one module for each concern. `docs/design.md` explains the reasons.
//!
//! Components communicate only through messages (`message.rs`), delivered by the loop in `relay.rs`. A call goes
//! through them in this order: `Slots` offers a slot to a `Destination`, which selects notifications (cutoff,
//! semantics, order) and proposes a call to an `Endpoint` (draining, health). The endpoint forwards it to the
//! `DestinationLimiter` (retry-after delays, rate limits, recovery), which sends it. `juniperwing-restart` implements
//! the restart timer and the scheduling of slots. The tuning constants are in `tuning.rs`.

mod backoff;
mod destination;
mod destination_limiter;
mod endpoint;
mod endpoint_list;
mod key_queues;
mod selection;
mod slots;
mod tuning;

pub use juniperwing_restart::Fit;
