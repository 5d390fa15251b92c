//! The command `juniperwing check-configuration`, which validates an operator's configuration file.

use std::fmt::Write;
use std::process::ExitCode;

use juniperwing_configuration::{Configuration, Findings, Route, RouteType};

const USAGE: &str = "\
Usage: juniperwing check-configuration FILE

Reads an operator's configuration, as it is sent by PUT /config, and prints what is in it, or all that is wrong with
it, a line for each finding with its place. Exits with 0 if it can be used, 1 if not, 2 if it cannot be read.
";

/// Runs the command with the arguments that follow `check-configuration`.
pub fn run(arguments: &[String]) -> ExitCode {
    let [file] = arguments else {
        eprint!("juniperwing check-configuration: name one file\n{USAGE}");
        return ExitCode::from(2);
    };
    if file == "--help" || file == "-h" {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let bytes = match std::fs::read(file) {
        Ok(bytes) => bytes,
        Err(e) => {
            eprintln!("juniperwing check-configuration: reading {file}: {e}");
            return ExitCode::from(2);
        }
    };
    match Configuration::read(&bytes) {
        Ok(configuration) => {
            print!("{}", describe(&configuration));
            ExitCode::SUCCESS
        }
        Err(findings) => {
            print!("{}", format_findings(file, &findings));
            ExitCode::FAILURE
        }
    }
}

/// Describes a configuration, with one line per route and service.
pub fn describe(configuration: &Configuration) -> String {
    let mut text = format!("generation {}\n", configuration.generation);
    for route in &configuration.routes {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "route {}", describe_route(route));
    }
    for service in &configuration.services {
        let _ = writeln!(text, "service {}", service.name.0);
    }
    text
}

fn describe_route(route: &Route) -> String {
    let kind = match route.route_type {
        RouteType::Streaming { resumable: true } => "streaming, resumable",
        RouteType::Streaming { resumable: false } => "streaming",
        RouteType::Idempotent => "idempotent",
        RouteType::NonIdempotent => "non_idempotent",
    };
    let stored = if route.stores_turns { ", kept" } else { "" };
    let (host, prefix, max_retries) = (&route.hostname, &route.path_prefix, route.max_retries);
    let seconds = route.timeout.as_secs_f64();
    format!("{host}{prefix}: {kind}{stored}, up to {seconds} s, up to {max_retries} endpoints")
}

fn format_findings(file: &str, findings: &Findings) -> String {
    let mut text = String::new();
    for finding in findings.listed() {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{file}: {}: {}", finding.location, finding.problem);
    }
    if findings.omitted() > 0 {
        let _ = writeln!(text, "{file}: and {} more", findings.omitted());
    }
    text
}
