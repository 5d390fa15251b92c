//! All decisions of a relay, for [`crate::Relay`]; no I/O, no wire. `docs/design.md` says why. Parts have
//! inboxes and talk only by notes (`mail.rs`), which one loop (`relay.rs`) hands out. A send passes them in
//! turn: `Slots` offers a slot to a `Destination`, which picks notifications (cutoff, effects, order)
//! and asks an `Endpoint` (drains, health), which asks its `Lane` (waits, limits, returns), which pushes.
//! The restart timer and the release of slots are `juniperwing-restart`'s.

mod book;
mod choice;
mod destination;
mod effects;
mod endpoint;
mod lane;
mod slots;
mod tuning;
mod turns;

pub use juniperwing_restart::Fit;
