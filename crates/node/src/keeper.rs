//! The keeper role: replicates the control state and serves operators, endpoints, relays and stores.
//!
//! - `consensus` drives the replica of the control state, `record_file` persists it.
//! - `orders` handles operators' orders, `endpoints` the heartbeats of endpoints; both arrive at `control_listener`.
//! - `store_placement` assigns partitions to stores, based on `store_reports`.
//! - `publishing` sends the committed state and the registry to `subscribers`: relays and stores.
//! - `controller` holds the shared state; `startup`, `housekeeping` and `shutdown` are the phases of its lifecycle.

mod configuration_distribution;
mod consensus;
mod control_api;
mod control_listener;
mod controller;
mod endpoints;
mod housekeeping;
mod message_handler;
mod metrics;
mod order_execution;
mod order_replies;
mod orders;
mod peer_discovery;
mod peers;
mod pending_outcomes;
mod publishing;
pub mod record_file;
mod shutdown;
mod startup;
mod store_placement;
mod store_reports;
mod subscribers;
mod subscription_confirmation;

use std::future::Future;
use std::io;

use slog::{Logger, warn};

use self::startup::StartupResources;
use crate::process::Process;
use crate::settings::Settings;
use crate::signals::SignalRequest;
use crate::sync::watch;

/// Runs until the process receives a shutdown signal. A reload signal reloads the settings file.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run(process: Process) -> io::Result<()> {
    let Process { settings, settings_file, log, mut signals } = process;
    let resources = tokio::select! {
        biased;
        resources = StartupResources::acquire(&settings, &log) => resources?,
        // The replica has not started, so there is no leadership to hand over.
        () = signals.wait_for_shutdown() => return Ok(()),
    };
    let (changed, changes) = watch::channel(settings.clone());
    let reload_log = log.clone();
    let shutdown = async move {
        while signals.next().await == SignalRequest::Reload {
            match Settings::read(settings_file.as_deref()) {
                Ok(settings) => drop(changed.send_replace(settings)),
                Err(error) => warn!(reload_log, "settings reload failed"; "error" => error.to_string()),
            }
        }
    };
    serve(resources, settings, changes, log, shutdown).await
}

/// Runs until `shutdown` completes.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run_until(
    settings: Settings, log: Logger, shutdown: impl Future<Output = ()>,
) -> io::Result<()> {
    let (_changed, changes) = watch::channel(settings.clone());
    run_with(settings, changes, log, shutdown).await
}

/// Runs until `shutdown` completes, and applies changes of the seeds in the settings. `shutdown` is first polled when
/// all listeners serve.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run_with(
    settings: Settings, changes: watch::Receiver<Settings>, log: Logger, shutdown: impl Future<Output = ()>,
) -> io::Result<()> {
    let resources = StartupResources::acquire(&settings, &log).await?;
    serve(resources, settings, changes, log, shutdown).await
}

async fn serve(
    resources: StartupResources, settings: Settings, changes: watch::Receiver<Settings>, log: Logger,
    shutdown: impl Future<Output = ()>,
) -> io::Result<()> {
    let running = resources.start(&settings, changes, log).await?;
    shutdown.await;
    running.shut_down().await;
    Ok(())
}
