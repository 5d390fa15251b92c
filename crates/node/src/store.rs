//! The role of a store: keeps stored turns and budgets of agent programs.
//!
//! What a store does is decided by [`juniperwing_sessions::Store`]; this is its process. It subscribes to all keepers,
//! which assign partitions to it by their map, and ends when the platform asks it to.

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
use crate::gossip::{Gossip, LocalProcess};
use crate::host::{Listener, run_disk_work};
use crate::link::serve;
use crate::metrics::{self as metrics_endpoint, MetricSource};
use crate::panics::spawn_essential;
use crate::process::Process;
use crate::settings::{Port, Settings};
use crate::signals::ShutdownOrReload;
use crate::subscriber::Subscriber;

/// The number of keepers that a store subscribes to; usually there are fewer.
const MAX_SUBSCRIPTIONS: usize = 9;
/// How long before the end of the grace period, when the platform kills the process, the shutdown no longer waits for a
/// second replica.
const GRACE_RESERVE: Duration = Duration::from_millis(1_500);
/// How long the shutdown waits for pending requests.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// The fraction of memory that records may take; the rest is for messages, batches and the process itself.
const RECORD_MEMORY_FRACTION: f64 = 0.4;
/// The fraction of the disk that batches may take before no further turn is admitted.
const BATCH_DISK_FRACTION: f64 = 0.6;
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// Runs until the platform ends the process.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run(mut process: Process) -> io::Result<()> {
    let starting = StoreProcess::start(&process.settings, process.log.clone());
    let store = tokio::select! {
        biased;
        started = starting => started?,
        // Nothing was acknowledged yet.
        () = process.signals.wait_for_shutdown() => return Ok(()),
    };
    loop {
        match process.signals.next().await {
            ShutdownOrReload::Shutdown => break,
            ShutdownOrReload::Reload => match Settings::read(process.settings_file.as_deref()) {
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
    /// How long the shutdown may wait for a second replica.
    handover_timeout: Duration,
    log: Logger,
}

impl StoreProcess {
    async fn start(settings: &Settings, log: Logger) -> io::Result<Self> {
        let RecoveredStore { disk, is_new, files, store } = recover(settings, &log).await?;
        let listener = Listener::bind(settings.own_address(Port::Store)).await?;
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
        let local = LocalProcess { role: Role::Store, disk: Some(disk) };
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

    /// Fills another store first, where this one has the only replica. Then leaves the keepers, so that they move the
    /// partitions, and waits a short while for pending requests.
    async fn stop(self) {
        let filled = self.driver.wait_until(|store| !store.is_filling_second_replica());
        if timeout(self.handover_timeout, filled).await.is_err() {
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
    let directory = directory.ok_or_else(|| io::Error::other("dataDirectory: a store needs one"))?;
    let (limits, log) = (limits(settings), log.clone());
    let recovered = run_disk_work(move || StoreDisk::open(&directory, limits, &log)).await;
    recovered.map_err(io::Error::other)?.map_err(io::Error::other)
}

/// The subscription of the store with this disk.
fn subscription(settings: &Settings, disk: DiskId) -> Subscribe {
    Subscribe {
        node: NodeName::from(settings.node_name.as_str()),
        zone: settings.zone.as_str().into(),
        address: settings.own_address(Port::Store),
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
