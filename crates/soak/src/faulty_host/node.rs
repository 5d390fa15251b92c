//! The command `node`: a process that runs one role on a faulty host.

use std::io::{Read, stdin};
use std::path::PathBuf;
use std::process::{ExitCode, exit};
use std::sync::Arc;
use std::thread;

use juniperwing_node::command::run as run_role;
use juniperwing_node::host::simulate;
use juniperwing_node::role::Role;
use juniperwing_node::settings::Settings;

use super::host::FaultyHost;
use super::rules::LiveFaultRules;

/// Exit code of a process whose parent, the soak test, has exited.
const ORPHANED_EXIT_CODE: i32 = 9;

/// Runs a role with the arguments `ROLE RULES SETTINGS` until the process is stopped. The process also exits when its
/// standard input is closed, which happens when the soak test exits.
pub fn run(arguments: &[String]) -> ExitCode {
    let [role, rules, settings] = arguments else {
        eprintln!("Usage: juniperwing-soak node ROLE RULES SETTINGS");
        return ExitCode::from(2);
    };
    let Some(role) = Role::from_name(role) else {
        eprintln!("juniperwing-soak node: unknown role {role:?}");
        return ExitCode::from(2);
    };
    exit_with_parent();
    let machine = Settings::read(Some(settings.as_ref())).map(|settings| settings.ip_address);
    let (Ok(address), Ok(rules)) = (machine, LiveFaultRules::follow(PathBuf::from(rules))) else {
        // The role itself reports what is wrong with its settings.
        return run_role(role, &["--settings".to_owned(), settings.clone()]);
    };
    let _machine = simulate(Arc::new(FaultyHost::new(address, rules)));
    run_role(role, &["--settings".to_owned(), settings.clone()])
}

fn exit_with_parent() {
    thread::spawn(|| {
        let mut buffer = [0; 1];
        // The soak test never writes to the pipe.
        while matches!(stdin().read(&mut buffer), Ok(length) if length > 0) {}
        exit(ORPHANED_EXIT_CODE);
    });
}
