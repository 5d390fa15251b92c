//! Requests, responses and signals that come at the same moment: each race is forced.

mod discovery;
mod exchanges;
mod restarts;
mod support;
