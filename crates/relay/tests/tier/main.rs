//! The serving tier as a new user meets it: the commands of README, and what they say of wrong input.

mod commands;
mod http;
mod local;
mod process;
