//! The serving tier as a new user runs it: the commands of the README, and their messages for invalid input.

mod commands;
mod http;
mod local;
mod process;
