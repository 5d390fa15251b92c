//! juniperwing decides for a notification relay: which notification goes to which endpoint, when, with
//! what time-out, and when it is given up. The crate is pure: typed events and a clock go in, commands
//! come out. It does no I/O and knows no wire; a front (such as `crates/adapter`) carries both ways.

pub mod interface;
mod mail;
mod relay;
pub mod rules;
mod state;
pub use juniperwing_clock as time;

pub use relay::Relay;
