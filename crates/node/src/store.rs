//! The store role: persists the turns and budgets of agent programs.
//!
//! The logic is in the state machine [`juniperwing_sessions::Store`]; this module is the process around it. It
//! subscribes to all keepers, which assign partitions to it through the store map, and exits when the platform requests
//! a shutdown.

mod clock;
mod disk;
mod disk_health;
mod driver;
mod links;
mod metrics;

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_membership::Role;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{Subscribe, SubscriberKind};
use juniperwing_protocol::{DiskId, NodeName};
use juniperwing_sessions::{Limits, Store};
use slog::{Logger, info, warn};
use tokio::time::timeout;

use self::disk::{RecoveredStore, StoreDisk};
use self::driver::StoreDriver;
use self::links::StoreHandle;
use crate::gossip::{Gossip, LocalMember};
use crate::host::{Listener, run_disk_work};
use crate::link::serve;
use crate::metrics::{self as metrics_endpoint, MetricSource};
use crate::panics::spawn_essential;
use crate::process::Process;
use crate::settings::{InternalPort, Settings};
use crate::signals::SignalRequest;
use crate::subscriber::Subscriber;

/// The maximum number of keepers that a store subscribes to; usually there are fewer.
const MAX_SUBSCRIPTIONS: usize = 9;
/// The part of the grace period that is reserved for the rest of the shutdown. The wait for a second replica ends this
/// long before the platform kills the process.
const GRACE_RESERVE: Duration = Duration::from_millis(1_500);
/// The time allowed for pending requests during shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// The fraction of memory available to records; the rest is for messages, batches and the process itself.
const RECORD_MEMORY_FRACTION: f64 = 0.4;
/// The fraction of the disk that batches may use; beyond it no further turn is admitted.
const BATCH_DISK_FRACTION: f64 = 0.6;
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// Runs until the platform requests a shutdown.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run(mut process: Process) -> io::Result<()> {
    let starting = StoreProcess::start(&process.settings, process.log.clone());
    let store = tokio::select! {
        biased;
        started = starting => started?,
        // No request has been acknowledged yet, so there is nothing to hand over.
        () = process.signals.wait_for_shutdown() => return Ok(()),
    };
    loop {
        match process.signals.next().await {
            SignalRequest::Shutdown => break,
            SignalRequest::Reload => match Settings::read(process.settings_file.as_deref()) {
                Ok(settings) => store.reload(&settings),
                Err(error) => warn!(process.log, "settings reload failed"; "error" => error.to_string()),
            },
        }
    }
    store.stop().await;
    Ok(())
}

/// Runs with these settings until `shutdown` completes.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run_until(
    settings: &Settings, log: Logger, shutdown: impl Future<Output = ()>,
) -> io::Result<()> {
    let store = StoreProcess::start(settings, log).await?;
    shutdown.await;
    store.stop().await;
    Ok(())
}

/// A running store.
struct StoreProcess {
    driver: Arc<StoreDriver>,
    subscriber: Arc<Subscriber>,
    gossip: Gossip,
    link_server: tokio::task::JoinHandle<()>,
    /// The time allowed for replication to a second store during shutdown.
    handover_timeout: Duration,
    log: Logger,
}

impl StoreProcess {
    async fn start(settings: &Settings, log: Logger) -> io::Result<Self> {
        let RecoveredStore { disk, is_new, files, store } = recover(settings, &log).await?;
        let listener = Listener::bind(settings.own_address(InternalPort::Store)).await?;
        let driver = StoreDriver::start(store, files, log.clone());
        let metric_source = Arc::clone(&driver) as Arc<dyn MetricSource>;
        metrics_endpoint::start(settings, metric_source, &log).await;
        let link_server = spawn_essential("links", serve(listener, Arc::new(StoreHandle(driver.clone()))));
        let sink = Arc::new(StoreHandle(driver.clone()));
        let seeds = settings.seed_keepers();
        let subscriber = Subscriber::start(subscription(settings, disk), seeds, MAX_SUBSCRIPTIONS, sink);
        driver.set_subscriber(&subscriber);
        let discovering = Arc::clone(&subscriber);
        let observer = Box::new(move |keepers| discovering.set_discovered(keepers));
        let local = LocalMember { role: Role::Store, disk: Some(disk) };
        let gossip = Gossip::start(settings, local, log.clone(), observer).await?;
        info!(log, "serving"; "disk" => disk.0, "new" => is_new);
        let handover_timeout = handover_timeout(settings);
        Ok(StoreProcess { driver, subscriber, gossip, link_server, handover_timeout, log })
    }

    fn reload(&self, settings: &Settings) {
        self.subscriber.set_seeds(settings.seed_keepers());
        self.gossip.reload(settings);
        info!(self.log, "settings reloaded");
    }

    /// Shuts the store down. Where this store has the only replica of a partition, first waits until another store is
    /// in sync. Then ends the subscriptions, so that the keepers reassign the partitions, and waits a short time for
    /// pending requests.
    async fn stop(self) {
        let replicated = self.driver.wait_until(|store| !store.is_syncing_second_replica());
        if timeout(self.handover_timeout, replicated).await.is_err() {
            warn!(self.log, "shutting down with the only replica");
        }
        self.gossip.leave();
        self.subscriber.set_suspended(true);
        self.link_server.abort();
        if timeout(DRAIN_TIMEOUT, self.driver.wait_until(Store::is_idle)).await.is_err() {
            info!(self.log, "shutting down with pending requests");
        }
    }
}

/// Recovers the store from the data directory.
async fn recover(settings: &Settings, log: &Logger) -> io::Result<RecoveredStore> {
    let directory = settings.data_directory.clone();
    let directory = directory.ok_or_else(|| io::Error::other("dataDirectory: required for a store"))?;
    let (limits, log) = (limits(settings), log.clone());
    let recovered = run_disk_work(move || StoreDisk::open(&directory, limits, &log)).await;
    recovered.map_err(io::Error::other)?.map_err(io::Error::other)
}

/// Builds the subscription request of the store with this disk.
fn subscription(settings: &Settings, disk: DiskId) -> Subscribe {
    Subscribe {
        node: NodeName::from(settings.node_name.as_str()),
        zone: settings.zone.as_str().into(),
        address: settings.own_address(InternalPort::Store),
        subscriber: SubscriberKind::Store { disk },
        configuration: Version::default(),
    }
}

fn handover_timeout(settings: &Settings) -> Duration {
    let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or_default();
    grace.saturating_sub(GRACE_RESERVE)
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        required_replicas: settings.required_replicas(),
        memory_bytes: (settings.limits.memory_mb as f64 * BYTES_PER_MEGABYTE * RECORD_MEMORY_FRACTION) as u64,
        disk_bytes: (settings.limits.disk_mb as f64 * BYTES_PER_MEGABYTE * BATCH_DISK_FRACTION) as u64,
    }
}
