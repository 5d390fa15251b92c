//! Tests of a relay in the test process, with clients, fake endpoints and fake stores on loopback.

mod client_disconnects;
mod deadlines;
mod early_responses;
mod endpoint;
mod events;
mod framing;
mod hostile;
mod hostile_responses;
mod leases;
mod lifecycle;
mod planned_work;
mod refusals;
mod request_log;
mod resumed_turns;
mod resumption;
mod retries;
mod returned_requests;
mod smuggling;
mod streams;
mod support;
mod turns;
mod unary;
