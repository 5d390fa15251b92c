//! The machine under a role that can be told to misbehave: its links, datagrams, clock and disk.

mod disk;
mod host;
mod link;
mod node;
mod rules;

pub use self::node::run;
pub use self::rules::{DiskFault, FaultRules};
