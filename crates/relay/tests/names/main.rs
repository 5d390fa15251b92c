//! Names that are seen from outside: the command line, keys of settings and configurations, metrics. Golden files hold
//! them (see `golden`); the tests use the program alone, so that names within the code are free.

mod command_line;
mod configuration_keys;
#[path = "../golden/mod.rs"]
mod golden;
#[path = "../tier/http.rs"]
mod http;
mod metrics;
mod program;
mod settings_keys;
