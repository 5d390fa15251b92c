//! All decisions of a relay, a module for each concern; no I/O, no wire format. `docs/design.md` gives the reasons.
//!
//! Components have inboxes and communicate only by messages (`message.rs`), which one loop (`relay.rs`) delivers. A
//! call passes them in turn: `Slots` offers a slot to a `Destination`, which selects notifications (cutoff,
//! semantics, order) and proposes the call to an `Endpoint` (drains, health), which passes it to its
//! `DestinationLimiter` (waits, limits, recovery), which sends it. The restart timer and the release of slots are
//! `juniperwing-restart`'s. The tuned values are in `tuning.rs`.

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
