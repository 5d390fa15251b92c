//! What happens when a request, an answer or a signal comes between two lines: each crossing is forced.

mod discovery;
mod exchanges;
mod restarts;
mod support;
