//! Keys of the serving tier's settings. A role checks a full file with `--check`, then each key in turn is given a
//! value of the wrong type. A key that is no longer recognised is ignored, and the golden file shows that.

use crate::golden::assert_golden;
use crate::program::TestDirectory;

/// Every key that `docs/settings-system.md` lists, with values other than the defaults.
const FULL: &str = include_str!("full-settings.toml");

/// Returns the keys of a settings file in order, each with its line number.
fn keys(text: &str) -> Vec<(usize, String)> {
    let (mut table, mut keys) = (String::new(), Vec::new());
    for (number, line) in text.lines().enumerate() {
        if let Some(name) = line.strip_prefix('[') {
            table = format!("{}.", name.trim_end_matches(']'));
        } else if let Some((key, _)) = line.split_once(" = ") {
            keys.push((number, format!("{table}{key}")));
        }
    }
    keys
}

/// Returns the full file with one line replaced.
fn with_line(number: usize, line: &str) -> String {
    let mut lines: Vec<&str> = FULL.lines().collect();
    lines[number] = line;
    lines.join("\n")
}

fn check(directory: &TestDirectory, role: &str, text: &str) -> String {
    directory.write("settings.toml", text);
    directory.transcript(&[role, "--check", "--settings", "settings.toml"])
}

#[test]
fn check_of_a_full_settings_file_for_each_role() {
    let directory = TestDirectory::new();
    let text: String =
        ["relay", "keeper", "store"].iter().map(|role| check(&directory, role, FULL)).collect();
    assert_golden("settings-check.txt", &text);
}

#[test]
fn every_key_of_the_documentation_is_in_the_full_file() {
    let documentation = include_str!("../../../../docs/settings-system.md");
    let documented = documentation.lines().filter_map(|line| line.strip_prefix("| `")?.split_once('`'));
    let mut documented: Vec<&str> = documented.map(|(key, _)| key).collect();
    let mut keys: Vec<String> = keys(FULL).into_iter().map(|(_, key)| key).collect();
    // The operator chooses the keys in this table.
    keys.iter_mut().filter(|key| key.starts_with("zones.")).for_each(|key| key.truncate("zones".len()));
    // Only `juniperwing local` reads this key, to select the role to start.
    keys.retain(|key| key != "role");
    documented.sort_unstable();
    keys.sort_unstable();
    assert_eq!(keys, documented);
}

#[test]
fn a_wrong_type_is_rejected_at_every_key() {
    let directory = TestDirectory::new();
    let mut text = String::new();
    for (number, key) in keys(FULL) {
        let line = FULL.lines().nth(number).expect("a line");
        let (name, value) = line.split_once(" = ").expect("a key and a value");
        let wrong = if value == "true" { "0.5" } else { "false" };
        let transcript = check(&directory, "keeper", &with_line(number, &format!("{name} = {wrong}")));
        let reason = transcript.lines().rev().nth(2).expect("lines");
        let transcript = if transcript.contains("exit code 0") { "read by no role" } else { reason };
        text.push_str(&format!("{key} = {wrong}: {transcript}\n"));
    }
    assert_golden("settings-keys.txt", &text);
}

#[test]
fn missing_and_unknown_keys() {
    let directory = TestDirectory::new();
    let mut text = String::new();
    for (number, key) in keys(FULL).into_iter().filter(|(_, key)| !key.starts_with("zones.")) {
        for role in ["relay", "keeper", "store"] {
            let transcript = check(&directory, role, &with_line(number, "unknownKey = 1"));
            if !transcript.contains("exit code 0") {
                text.push_str(&format!("without {key}\n{transcript}"));
            }
        }
    }
    assert_golden("settings-missing.txt", &text);
}

#[test]
fn local_names_the_role_that_does_not_exist() {
    let directory = TestDirectory::new();
    directory.write("one.toml", "role = \"unknown\"\n");
    let transcript = directory.transcript(&["local", "."]);
    let expected = "$ juniperwing local .\n\
        juniperwing local: ./one.toml: role: \"unknown\" is not one of relay, keeper, store\n\
        Try 'juniperwing local --help'.\nexit code 2\n\n";
    assert_eq!(transcript, expected);
}

#[test]
fn settings_values_out_of_range() {
    let directory = TestDirectory::new();
    let mut text = String::new();
    for line in [
        "nodeName = \"\"",
        "ephemeralPorts = [7380, 7381]",
        "heartbeatMs = 0",
        "graceS = -1",
        "ipAddress = \"nowhere\"",
        "seedNodes = [\"127.0.0.1\"]",
    ] {
        let name = line.split_once(" = ").expect("a key and a value").0;
        let line_number =
            FULL.lines().position(|full| full.starts_with(name)).expect("a key of the full file");
        text.push_str(&check(&directory, "keeper", &with_line(line_number, line)));
    }
    assert_golden("settings-invalid.txt", &text);
}
