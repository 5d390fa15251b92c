//! Start-up: opens the listeners and the disk, and starts the tasks of a keeper.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_control::ControlState;
use juniperwing_protocol::NodeName;
use juniperwing_protocol::replication::Voter;
use juniperwing_replication::{Replica, Timings};
use slog::{Logger, info, warn};
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::consensus::{Consensus, MAX_QUEUED_WRITES, RecordWrite, run_record_writer, run_replica_timer};
use super::control_listener::{self, ControlServer};
use super::controller::Controller;
use super::message_handler::KeeperMessageHandler;
use super::peer_discovery::PeerDiscovery;
use super::record_file::{self, OpenedRecordFile, RecordFile};
use super::shutdown::RunningKeeper;
use crate::clock;
use crate::host::{Listener, run_disk_work};
use crate::metrics::{self, MetricSource};
use crate::panics::spawn_essential;
use crate::settings::{InternalPort, Settings};
use crate::sync::watch;

/// A setting that a keeper requires is missing.
#[derive(Debug, Snafu)]
#[snafu(display("{key} is missing"))]
struct MissingSettingError {
    key: &'static str,
}

impl From<MissingSettingError> for io::Error {
    fn from(error: MissingSettingError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidInput, error)
    }
}

/// The replica as restored from the disk.
struct RestoredReplica {
    replica: Replica<ControlState>,
    record_file: RecordFile,
    local_voter: Voter,
}

/// The bound listeners and the opened disk of a keeper that is not running yet.
pub(super) struct StartupResources {
    internal_listener: Listener,
    control_listener: Listener,
    restored: RestoredReplica,
}

impl StartupResources {
    /// Binds the listeners and opens the disk.
    ///
    /// # Errors
    ///
    /// If a required setting is missing, or a listener or the disk cannot be used.
    pub(super) async fn acquire(settings: &Settings, log: &Logger) -> io::Result<StartupResources> {
        let Some(control_address) = settings.listeners_map.control_plane else {
            return Err(MissingSettingError { key: "listenersMap.controlPlane" }.into());
        };
        let Some(data_directory) = settings.data_directory.clone() else {
            return Err(MissingSettingError { key: "dataDirectory" }.into());
        };
        let internal_listener = Listener::bind(settings.own_address(InternalPort::Keeper)).await?;
        let control_listener = control_listener::bind(control_address).await?;
        let (disk_settings, disk_log) = (settings.clone(), log.clone());
        let restored = run_disk_work(move || open_disk(&disk_settings, &data_directory, &disk_log));
        let restored = restored.await.map_err(io::Error::other)??;
        Ok(StartupResources { internal_listener, control_listener, restored })
    }

    /// Starts all tasks and serves on both listeners.
    ///
    /// # Errors
    ///
    /// If the socket of the membership cannot be used.
    pub(super) async fn start(
        self, settings: &Settings, settings_changes: watch::Receiver<Settings>, log: Logger,
    ) -> io::Result<RunningKeeper> {
        let RestoredReplica { replica, record_file, local_voter } = self.restored;
        for finding in settings.bounds.unachievable_bounds() {
            warn!(log, "configured bound cannot be met"; "bound" => finding);
        }
        info!(log, "starting"; "disk" => local_voter.disk.0, "seeds" => settings.seed_nodes.len());

        let (record_writes, queued_writes) = mpsc::channel(MAX_QUEUED_WRITES);
        let (replica_timer, timer_changes) = watch::channel(Time::default());
        let consensus = Consensus::new(replica, record_writes, replica_timer);
        let controller = Controller::new(settings, log, local_voter, consensus);
        metrics::start(settings, Arc::clone(&controller) as Arc<dyn MetricSource>, &controller.log).await;
        let mut tasks = start_replica_tasks(&controller, record_file, queued_writes, timer_changes);
        tasks.extend(start_tasks(&controller, self.internal_listener));
        let peer_discovery = PeerDiscovery::start(settings, &controller).await?;
        let following = Arc::clone(&peer_discovery).follow_settings(settings_changes);
        tasks.push(spawn_essential("peer discovery", following));
        let control_server = ControlServer::start(self.control_listener, Arc::clone(&controller));
        let grace_period = Duration::try_from_secs_f64(settings.bounds.grace_s).unwrap_or_default();
        Ok(RunningKeeper { controller, peer_discovery, control_server, tasks, grace_period })
    }
}

fn start_tasks(controller: &Arc<Controller>, internal_listener: Listener) -> [JoinHandle<()>; 5] {
    let handler = Arc::new(KeeperMessageHandler::new(Arc::downgrade(controller)));
    let shared = || Arc::clone(controller);
    [
        spawn_essential("links", crate::link::serve(internal_listener, handler)),
        spawn_essential("publishing", shared().run_push_loop()),
        spawn_essential("subscription confirmation", shared().run_subscription_confirmation()),
        spawn_essential("store placement", shared().run_planning_loop()),
        spawn_essential("housekeeping", shared().run_housekeeping()),
    ]
}

fn start_replica_tasks(
    controller: &Arc<Controller>, record_file: RecordFile, queued_writes: mpsc::Receiver<RecordWrite>,
    timer_changes: watch::Receiver<Time>,
) -> Vec<JoinHandle<()>> {
    let writer = run_record_writer(Arc::clone(controller), record_file, queued_writes);
    let timer = run_replica_timer(Arc::clone(controller), timer_changes);
    vec![spawn_essential("record writer", writer), spawn_essential("replica timer", timer)]
}

/// Opens the data directory and restores the replica from it. Blocks on the disk.
fn open_disk(settings: &Settings, data_directory: &Path, log: &Logger) -> io::Result<RestoredReplica> {
    let OpenedRecordFile { disk, record_file, record, loss } =
        record_file::open(data_directory, clock::random).map_err(io::Error::other)?;
    if let Some(loss) = &loss {
        warn!(log, "disk contents lost, starting with a new identity"; "reason" => loss.to_string());
    }
    let local_voter = Voter {
        disk,
        node: NodeName::from(settings.node_name.as_str()),
        address: settings.own_address(InternalPort::Keeper),
    };
    let replica_settings = juniperwing_replication::Settings {
        local_voter: local_voter.clone(),
        seeds: settings.seed_keepers(),
        // A keeper that lost its disk must not bootstrap the tier a second time.
        bootstrap: settings.bootstrap && loss.is_none(),
        min_in_sync_replicas: settings.required_replicas(),
        timings: Timings::default(),
    };
    let initial = ControlState::default();
    let replica = Replica::new(clock::now(), replica_settings, record, initial, clock::random());
    Ok(RestoredReplica { replica: replica.map_err(io::Error::other)?, record_file, local_voter })
}
