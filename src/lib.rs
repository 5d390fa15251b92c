//! The decisions of a notification relay: which notification is pushed to which endpoint, when, with what
//! timeout, and when it expires.
//!
//! The crate is pure: typed events and a clock go in, commands come out ([`Relay::handle`]). It does no I/O and
//! has no wire format; a front end such as `crates/adapter` or `crates/relay` carries both. `docs/design.md`
//! explains the design.

pub mod interface;
mod message;
mod outbox;
mod relay;
pub mod rules;
mod state;
pub use juniperwing_clock as time;

pub use relay::Relay;
