//! A host for a role whose links, datagrams, clock and disk can be made to fail.

mod disk;
mod host;
mod link;
mod node;
mod rules;

pub use self::node::run;
pub use self::rules::{DiskFault, FaultRules};
