//! A relay in this process, between clients and stand-ins for endpoints and stores on loopback.

mod client_left;
mod deadlines;
mod endpoint;
mod events;
mod lifecycle;
mod planned_work;
mod refusals;
mod resumption;
mod streams;
mod support;
mod turns;
mod unary;
