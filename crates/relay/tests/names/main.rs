//! Names in the external interface: the command line, keys of settings and configurations, metrics. They are stored in
//! golden files (see `golden`). The tests only run the program, so that identifiers in the code can change freely.

mod command_line;
mod configuration_keys;
#[path = "../golden/mod.rs"]
mod golden;
#[path = "../tier/http.rs"]
mod http;
mod metrics;
mod program;
mod settings_keys;
