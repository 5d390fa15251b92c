//! The decisions of a notification relay: which notification is pushed to which endpoint, when, with what
//! timeout, and when it expires.
//!
//! The crate does no I/O and defines no wire format: [`Relay::handle`] takes typed events and the current time and
//! returns commands. I/O and serialisation belong to a front end such as `crates/adapter` or `crates/relay`.
//! `docs/design.md` explains the design.

pub mod interface;
mod message;
mod outbox;
mod relay;
pub mod rules;
mod state;
pub use juniperwing_clock as time;

pub use relay::Relay;
