//! Race conditions between requests, responses and signals. Each test forces its race.

mod discovery;
mod exchanges;
mod restarts;
mod support;
