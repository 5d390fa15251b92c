//! The relay as a process, spoken to over sockets.

mod connections;
mod crossings;
mod golden_state;
mod hand_over;
mod requests;
mod restarts;
mod settings;
mod stand_in;
mod support;
