//! The `juniperwing` executable.

use std::process::ExitCode;

fn main() -> ExitCode {
    juniperwing_relay::run(std::env::args_os().skip(1).collect())
}
