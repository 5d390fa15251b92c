//! Short traces of decisions, compared with kept ones.

mod calls;
mod connections;
mod effects;
mod harness;
mod limits;
mod list;
mod outages;
mod restarts;
mod time;
