//! juniperwing-lab: the laboratory as a program, with its exit codes.

use std::process::ExitCode;

use clap::Parser;
use juniperwing_lab::cli::Cli;

/// The exit code for a command line, a scenario or a file that cannot be used.
const EXIT_UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    match juniperwing_lab::execute(Cli::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("juniperwing-lab: {error}");
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}
