//! Soak test: runs a whole tier as real processes on loopback under random faults, and checks what its clients observe.
//!
//! The processes run the unmodified roles; only the host below them ([`juniperwing_node::host`]) is replaced by one
//! whose links and disks can be made to fail ([`faulty_host`]). The shipped program does not contain that host. A play
//! is one run of a tier: a schedule of overlapping faults is drawn from a seed ([`schedule`]) and injected into the
//! tier ([`tier`]) while programs, plain clients and operators generate load ([`load`]). Their observations are
//! recorded in a [`history`], which an [`oracle`] checks. `docs/soak.md` describes the checks and how to use the soak
//! test.

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
