//! Commands, their options and exit codes.

use juniperwing_node::build_info;

use crate::golden::assert_golden;
use crate::program::TestDirectory;

/// Returns the transcripts of these command lines.
fn transcripts(command_lines: &[&str]) -> String {
    let directory = TestDirectory::new();
    let arguments = command_lines.iter().map(|line| line.split_whitespace().collect::<Vec<_>>());
    arguments.map(|arguments| directory.transcript(&arguments)).collect()
}

#[test]
fn help_of_every_command() {
    let commands = ["relay", "keeper", "store", "check-configuration", "local", "endpoint"];
    let lines: Vec<String> = commands.iter().map(|command| format!("{command} --help")).collect();
    let lines: Vec<&str> =
        ["help", "--help", "-h"].into_iter().chain(lines.iter().map(String::as_str)).collect();
    assert_golden("command-line-help.txt", &transcripts(&lines));
}

#[test]
fn version_is_printed_by_every_spelling() {
    let (version, digest) = (env!("CARGO_PKG_VERSION"), build_info::CURRENT.source_digest);
    let version = format!("\njuniperwing {version} (source digest {digest})\nexit code 0\n\n");
    for spelling in ["version", "--version", "-V"] {
        assert_eq!(transcripts(&[spelling]), format!("$ juniperwing {spelling}{version}"));
    }
}

#[test]
fn usage_errors_are_reported_with_their_exit_code() {
    let lines = [
        "unknown-command",
        "--unknown-option",
        "serve --unknown-option",
        "serve",
        "serve --config absent.json",
        "serve --log-level unknown-level",
        "check-config",
        "check-config --config absent.json",
        "check-config more words",
        "relay --unknown-option",
        "relay more",
        "relay --log-level unknown-level",
        "relay --check",
        "relay --check --settings absent.toml",
        "keeper --unknown-option",
        "store --unknown-option",
        "check-configuration",
        "check-configuration absent.json",
        "local",
        "local absent",
        "endpoint --unknown-option",
        "endpoint more",
        "endpoint --capacity many",
    ];
    assert_golden("command-line-misuse.txt", &transcripts(&lines));
}
