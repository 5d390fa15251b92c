//! The role of a store: kept turns and budgets of agent programs.
//!
//! What a store does is decided by [`juniperwing_sessions::Store`]; this is its process. It subscribes to all
//! keepers, which place it by their map, and ends when the platform says so.

mod core;
mod disk;
mod figures;

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_membership::Role;
use juniperwing_protocol::NodeName;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{self, Subscribe};
use juniperwing_sessions::{Limits, Store};
use slog::{Logger, info, warn};
use tokio::time::timeout;

use self::core::{Core, Handle};
use self::disk::{Disk, Opened};
use crate::gossip::{Gossip, LocalProcess};
use crate::host::{Listener, run_disk_work};
use crate::link::serve;
use crate::metrics::{self, MetricSource};
use crate::panics::spawn_essential;
use crate::process::Process;
use crate::settings::{Port, Settings};
use crate::signals::ShutdownOrReload;
use crate::subscriber::Subscriber;

/// Keepers that a store subscribes to at most; usually there are fewer.
const MAX_SUBSCRIPTIONS: usize = 9;
/// How long before the platform kills the process the end no longer waits for a second copy.
const BEFORE_GRACE_ENDS: Duration = Duration::from_millis(1_500);
/// How long the end waits for what is under way.
const END_WITHIN: Duration = Duration::from_millis(500);
/// The share of memory that records may take; the rest is for messages, batches and the process itself.
const MEMORY_SHARE: f64 = 0.4;
/// The share of the disk that batches may take before no further turn is admitted.
const DISK_SHARE: f64 = 0.6;
const MEGABYTE: f64 = 1_000_000.0;

/// Runs until the platform ends the process.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run(mut process: Process) -> io::Result<()> {
    let starting = StoreProcess::start(&process.settings, process.log.clone());
    let node = tokio::select! {
        started = starting => started?,
        // Nothing was promised yet.
        () = process.signals.wait_for_shutdown() => return Ok(()),
    };
    loop {
        match process.signals.next().await {
            ShutdownOrReload::Shutdown => break,
            ShutdownOrReload::Reload => match Settings::read(process.settings_file.as_deref()) {
                Ok(settings) => node.reload(&settings),
                Err(e) => warn!(process.log, "settings are not read again"; "why" => e.to_string()),
            },
        }
    }
    node.stop().await;
    Ok(())
}

/// Runs with these settings until `shutdown` is over.
///
/// # Errors
///
/// If a listener or the disk cannot be used.
pub async fn run_until(
    settings: &Settings, log: Logger, shutdown: impl Future<Output = ()>,
) -> io::Result<()> {
    let node = StoreProcess::start(settings, log).await?;
    shutdown.await;
    node.stop().await;
    Ok(())
}

/// A store that runs.
struct StoreProcess {
    core: Arc<Core>,
    subscriber: Arc<Subscriber>,
    gossip: Gossip,
    listening: tokio::task::JoinHandle<()>,
    /// How long the end may wait for a second copy.
    hand_over_within: Duration,
    log: Logger,
}

impl StoreProcess {
    async fn start(settings: &Settings, log: Logger) -> io::Result<Self> {
        let folder = settings
            .data_directory
            .as_ref()
            .ok_or_else(|| io::Error::other("dataDirectory: a store needs one"))?;
        let (folder, limits, disk_log) = (folder.clone(), limits(settings), log.clone());
        let opened = run_disk_work(move || Disk::open(&folder, limits, &disk_log)).await;
        let Opened { disk, is_new, files, store } =
            opened.map_err(io::Error::other)?.map_err(io::Error::other)?;
        let listener = Listener::bind(settings.own_address(Port::Store)).await?;
        let core = Core::start(store, files, log.clone());
        metrics::start(settings, Arc::clone(&core) as Arc<dyn MetricSource>, &log).await;
        let listening = spawn_essential("links", serve(listener, Arc::new(Handle(core.clone()))));
        let subscribe = Subscribe {
            node: NodeName::from(settings.node_name.as_str()),
            zone: settings.zone.as_str().into(),
            address: settings.own_address(Port::Store),
            subscriber: subscription::SubscriberKind::Store { disk },
            configuration: Version::default(),
        };
        let seeds = settings.seed_keepers();
        let sink = Arc::new(Handle(core.clone()));
        let subscriber = Subscriber::start(subscribe, seeds, MAX_SUBSCRIPTIONS, sink);
        core.subscribed(&subscriber);
        let found = Arc::clone(&subscriber);
        let observer = Box::new(move |keepers| found.set_discovered(keepers));
        let myself = LocalProcess { role: Role::Store, disk: Some(disk) };
        let gossip = Gossip::start(settings, myself, log.clone(), observer).await?;
        info!(log, "serving"; "disk" => disk.0, "new" => is_new);
        let hand_over_within = hand_over_within(settings);
        Ok(StoreProcess { core, subscriber, gossip, listening, hand_over_within, log })
    }

    fn reload(&self, settings: &Settings) {
        self.subscriber.set_seeds(settings.seed_keepers());
        self.gossip.reload(settings);
        info!(self.log, "settings read again");
    }

    /// Fills another store first, where this one has the only copy. Then leaves the keepers, so that they move the
    /// partitions, and ends what is under way if that is soon done.
    async fn stop(self) {
        let filled = self.core.until(|store| !store.is_filling_second_replica());
        if timeout(self.hand_over_within, filled).await.is_err() {
            warn!(self.log, "ends with the only copy");
        }
        self.gossip.leave();
        self.subscriber.set_suspended(true);
        self.listening.abort();
        if timeout(END_WITHIN, self.core.until(Store::is_idle)).await.is_err() {
            info!(self.log, "ends with questions open");
        }
    }
}

fn hand_over_within(settings: &Settings) -> Duration {
    let grace = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or_default();
    grace.saturating_sub(BEFORE_GRACE_ENDS)
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        required_replicas: settings.required_replicas(),
        memory_bytes: (settings.limits.memory_mb as f64 * MEGABYTE * MEMORY_SHARE) as u64,
        disk_bytes: (settings.limits.disk_mb as f64 * MEGABYTE * DISK_SHARE) as u64,
    }
}
