//! Runs a whole tier as real processes on loopback under random faults, and judges it by what its callers saw.
//!
//! The processes run the roles as they are; only the machine under them ([`juniperwing_node::host`]) is replaced by
//! one whose links and disks can be told to misbehave ([`faulty_host`]). The shipped program does not contain that. A
//! schedule of overlapping faults is drawn from a seed ([`schedule`]) and played on the tier ([`tier`]) while
//! programs, plain clients and operators work ([`load`]). What they saw goes into a [`history`], which an [`oracle`]
//! judges. `docs/soak.md` tells what is judged and how to use it.

pub mod command;
pub mod coverage;
mod fault_injector;
pub mod faults;
pub mod faulty_host;
mod final_checks;
pub mod history;
pub mod http;
pub mod load;
pub mod network;
mod node_settings;
pub mod oracle;
pub mod play;
pub mod schedule;
pub mod tier;
