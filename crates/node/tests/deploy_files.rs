//! Keys of the files that specify how the programs are built and run. Deployment tools read the files by these keys.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use toml::Table;
use toml::Value;

/// Adds the paths of all keys of a table, including those of nested tables.
fn add_keys(table: &Table, prefix: &str, keys: &mut Vec<String>) {
    for (key, value) in table {
        let path = format!("{prefix}{key}");
        match value {
            Value::Table(table) => add_keys(table, &format!("{path}."), keys),
            _ => keys.push(path),
        }
    }
}

/// Returns the sorted paths of all keys of a file.
fn keys(text: &str) -> Vec<String> {
    let mut keys = Vec::new();
    add_keys(&toml::from_str(text).expect("TOML"), "", &mut keys);
    keys.sort_unstable();
    keys
}

#[test]
fn keys_of_the_deploy_file_of_the_tier() {
    let expected = [
        "build",
        "packages",
        "roles.keeper.metrics",
        "roles.keeper.on",
        "roles.keeper.run",
        "roles.keeper.serves",
        "roles.keeper.share",
        "roles.relay.metrics",
        "roles.relay.on",
        "roles.relay.run",
        "roles.relay.serves",
        "roles.relay.share",
        "roles.store.metrics",
        "roles.store.on",
        "roles.store.run",
        "roles.store.serves",
        "roles.store.share",
    ];
    assert_eq!(keys(include_str!("../../../deploy/system.toml")), expected);
}

#[test]
fn keys_of_the_deploy_file_of_the_relay() {
    let expected = ["build", "node", "packages", "policy", "run", "sim"];
    assert_eq!(keys(include_str!("../../../deploy/balancer.toml")), expected);
}

#[test]
fn the_deploy_file_of_the_relay_lists_every_policy_source_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy: Table = toml::from_str(include_str!("../../../deploy/balancer.toml")).expect("TOML");
    let listed: BTreeSet<PathBuf> =
        deploy["policy"].as_array().expect("a list").iter().map(path_of).collect();
    let mut policy_sources: BTreeSet<PathBuf> = ["src/rules", "crates/restart/src"]
        .into_iter()
        .flat_map(|directory| {
            let entries = fs::read_dir(root.join(directory)).expect("a directory");
            entries.map(move |entry| Path::new(directory).join(entry.expect("an entry").file_name()))
        })
        .collect();
    policy_sources.insert("src/rules.rs".into());
    assert_eq!(listed, policy_sources);
}

fn path_of(value: &Value) -> PathBuf {
    value.as_str().expect("a path").into()
}
