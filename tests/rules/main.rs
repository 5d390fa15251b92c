//! Compares short traces of a relay's commands with expected ones.

mod calls;
mod connections;
mod effects;
mod harness;
mod limits;
mod list;
mod outages;
mod restarts;
mod time;
