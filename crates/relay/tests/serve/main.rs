//! The relay as a process, tested over sockets.

mod connections;
mod golden_state;
mod harness;
mod pushes;
mod races;
mod requests;
mod restarts;
mod settings;
mod support;
