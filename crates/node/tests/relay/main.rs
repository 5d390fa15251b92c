//! A relay in this process, between clients and stand-ins for endpoints and stores on loopback.

mod client_left;
mod deadlines;
mod early;
mod endpoint;
mod events;
mod framing;
mod handed_back;
mod hostile;
mod hostile_answers;
mod lifecycle;
mod planned_work;
mod refusals;
mod resumption;
mod smuggling;
mod streams;
mod support;
mod trace;
mod turns;
mod unary;
