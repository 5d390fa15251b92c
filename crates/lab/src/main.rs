//! The program juniperwing-lab, with its exit codes.

use std::process::ExitCode;

use clap::Parser;
use juniperwing_lab::cli::Cli;

/// The exit code for an invalid command line, scenario or file.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    match juniperwing_lab::execute(Cli::parse().command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("juniperwing-lab: {error}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}
