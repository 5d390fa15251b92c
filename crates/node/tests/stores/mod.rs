//! Test cluster: three stores on loopback addresses, each on its own thread, and a keeper that publishes the maps given
//! by the test.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use juniperwing_node::link::{Link, LinkPool, MessageHandler, ReplySender, serve};
use juniperwing_node::sessions_client::SessionsClient;
use juniperwing_node::settings::Settings;
use juniperwing_node::sync::watch;
use juniperwing_protocol::session::{BeginTurn, Turn, TurnLease};
use juniperwing_protocol::subscription::{
    Assignment, CaughtUp, StoreMap, StoreNode, Subscribe, SubscriberKind, Update,
};
use juniperwing_protocol::{DiskId, EpochNumber, Message, ProgramId, RequestId};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};

use crate::loopback::LoopbackNetwork;

/// Much longer than any awaited operation takes; a wait of this length fails the test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of stores.
pub const STORE_COUNT: usize = 3;
const PARTITION_COUNT: usize = 8;
/// The first of three consecutive ports; the second is the keeper's, the third the stores'.
const FIRST_PORT: u16 = 7_100;
/// The keeper's number in the network of its cluster; stores count from 1.
const KEEPER_NUMBER: u8 = 9;

/// A minimal keeper that accepts subscriptions and publishes maps.
#[derive(Default)]
pub struct TestKeeper {
    state: Mutex<KeeperState>,
    changed: Notify,
}

#[derive(Default)]
struct KeeperState {
    /// The subscribed stores with their links.
    stores: BTreeMap<DiskId, (StoreNode, Link)>,
    map: Arc<StoreMap>,
    caught_up: Vec<CaughtUp>,
    /// The map version that was last confirmed by a store.
    applied_version: u64,
}

impl MessageHandler for TestKeeper {
    fn handle_message(&self, link: &Link, message: Message, _: ReplySender) {
        let mut state = self.state.lock().unwrap();
        match message {
            Message::Subscribe(subscribe) => {
                let SubscriberKind::Store { disk } = subscribe.subscriber else { return };
                state.stores.insert(disk, (store_node(&subscribe, disk), link.clone()));
                link.send(Message::Update(Update::Stores(state.map.clone())));
            }
            Message::Applied(applied) => {
                state.applied_version = applied.stores;
                state.caught_up = applied.caught_up;
            }
            _ => {}
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn handle_closed(&self, link: &Link) {
        self.state.lock().unwrap().stores.retain(|_, (_, subscribed)| subscribed.id() != link.id());
        self.changed.notify_waiters();
    }
}

fn store_node(subscribe: &Subscribe, disk: DiskId) -> StoreNode {
    StoreNode { disk, node: subscribe.node.clone(), zone: subscribe.zone.clone(), address: subscribe.address }
}

impl TestKeeper {
    /// Waits until `read` returns a value for the keeper's state.
    async fn wait_until<T>(&self, read: impl Fn(&KeeperState) -> Option<T>) -> T {
        let wait = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                let value = read(&self.state.lock().unwrap());
                if let Some(value) = value {
                    return value;
                }
                changed.await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, wait).await.expect("the expected keeper state is reached in time")
    }

    /// Waits until exactly `count` stores are subscribed; returns their disks.
    pub async fn wait_for_stores(&self, count: usize) -> Vec<DiskId> {
        self.wait_until(|state| (state.stores.len() == count).then(|| state.stores.keys().copied().collect()))
            .await
    }

    /// Waits until a store has confirmed the map of an epoch.
    pub async fn wait_until_applied(&self, epoch: EpochNumber) {
        self.wait_until(|state| (state.applied_version == epoch.0).then_some(())).await;
    }

    /// Waits until a joining replica has caught up in these partitions in this epoch.
    pub async fn wait_until_caught_up(&self, replica: DiskId, epoch: EpochNumber, partitions: &[u16]) {
        self.wait_until(|state| {
            let is_reported = |partition: &u16| {
                let report =
                    |c: &CaughtUp| c.partition.0 == *partition && c.replica == replica && c.epoch == epoch;
                state.caught_up.iter().any(report)
            };
            partitions.iter().all(is_reported).then_some(())
        })
        .await;
    }

    /// Publishes a map of the next epoch, in which the stores in `in_sync` lead the partitions in turn.
    pub fn assign(&self, in_sync: &[DiskId], joining: &[DiskId]) -> Arc<StoreMap> {
        let mut state = self.state.lock().unwrap();
        let version = state.map.version + 1;
        let partitions = (0..PARTITION_COUNT).map(|partition| Assignment {
            epoch: EpochNumber(version),
            primary: in_sync[partition % in_sync.len()],
            in_sync: in_sync.to_vec(),
            joining: joining.to_vec(),
            lost_replicas: 0,
        });
        let stores = state.stores.values().map(|(store, _)| store.clone()).collect();
        state.map = Arc::new(StoreMap { version, stores, partitions: partitions.collect() });
        for (_, link) in state.stores.values() {
            link.send(Message::Update(Update::Stores(state.map.clone())));
        }
        state.map.clone()
    }
}

/// A running store.
pub struct RunningStore {
    kill: Option<oneshot::Sender<()>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningStore {
    fn start(settings: Settings) -> Self {
        let (kill, killed) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let log = Logger::root(Discard, o!());
            runtime.block_on(async {
                let shutdown = async { drop(stopped.await) };
                tokio::select! {
                    ended = juniperwing_node::store::run_until(&settings, log, shutdown) => ended.unwrap(),
                    _ = killed => {}
                }
            });
        });
        RunningStore { kill: Some(kill), stop: Some(stop), thread: Some(thread) }
    }

    /// Stops the store without a graceful shutdown.
    pub fn kill(mut self) {
        if let Some(kill) = self.kill.take() {
            // The store may have exited already.
            let _ = kill.send(());
        }
        self.thread.take().unwrap().join().unwrap();
    }

    /// Shuts the store down gracefully and waits until it has exited.
    pub fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        self.thread.take().unwrap().join().unwrap();
        drop(self.kill.take());
    }
}

/// Three stores, a keeper and the client of a relay.
pub struct TestCluster {
    pub keeper: Arc<TestKeeper>,
    pub running: Vec<Option<RunningStore>>,
    pub client: SessionsClient,
    pub map: watch::Sender<Arc<StoreMap>>,
    network: LoopbackNetwork,
    directory: PathBuf,
}

impl TestCluster {
    /// Starts the cluster with all three stores in sync in every partition.
    pub async fn start(name: &str) -> Self {
        let network = LoopbackNetwork::reserve();
        let listener = TcpListener::bind((network.address(KEEPER_NUMBER), FIRST_PORT + 1)).await.unwrap();
        let keeper = Arc::new(TestKeeper::default());
        tokio::spawn(serve(listener, keeper.clone()));
        let directory_name = format!("juniperwing-store-{}-{}-{name}", std::process::id(), network.number());
        let directory = std::env::temp_dir().join(directory_name);
        let _ = std::fs::remove_dir_all(&directory);
        let (map, watched) = watch::channel(Arc::default());
        let client = SessionsClient::new(Arc::new(LinkPool::new(Arc::new(TestKeeper::default()))), watched);
        let mut cluster = TestCluster { keeper, running: Vec::new(), client, map, network, directory };
        cluster.running =
            (0..STORE_COUNT).map(|number| Some(RunningStore::start(cluster.settings(number)))).collect();
        let disks = cluster.keeper.wait_for_stores(STORE_COUNT).await;
        cluster.assign(&disks, &[]);
        cluster
    }

    /// Creates the client of another relay.
    pub fn another_client(&self) -> SessionsClient {
        SessionsClient::new(Arc::new(LinkPool::new(Arc::new(TestKeeper::default()))), self.map.subscribe())
    }

    /// Publishes another map to the stores and the client.
    pub fn assign(&self, in_sync: &[DiskId], joining: &[DiskId]) -> EpochNumber {
        let map = self.keeper.assign(in_sync, joining);
        let epoch = EpochNumber(map.version);
        self.map.send_replace(map);
        epoch
    }

    /// Starts a store that was stopped or killed.
    pub fn restart(&mut self, number: usize) {
        self.running[number] = Some(RunningStore::start(self.settings(number)));
    }

    /// The path of the next segment file of a store.
    pub fn next_segment_path(&self, store: usize) -> PathBuf {
        const PREFIX: &str = "segment-";
        let directory = self.data_directory(store).join("sessions");
        let names = std::fs::read_dir(&directory).unwrap().map(|entry| entry.unwrap().file_name());
        let numbers =
            names.filter_map(|name| u64::from_str_radix(name.to_str()?.strip_prefix(PREFIX)?, 16).ok());
        let newest = numbers.max().unwrap_or_default();
        directory.join(format!("{PREFIX}{:016x}", newest + 1))
    }

    pub fn data_directory(&self, number: usize) -> PathBuf {
        self.directory.join(format!("store-{number}"))
    }

    pub fn settings(&self, number: usize) -> Settings {
        let text = format!(
            r#"
            nodeName = "store-{number}"
            ipAddress = "{}"
            zone = "a"
            ephemeralPorts = [{FIRST_PORT}, {}]
            seedNodes = ["{}:1"]
            dataDirectory = "{}"
            [faultTolerance]
            machines = 1
            "#,
            self.network.address(number as u8 + 1),
            FIRST_PORT + 2,
            self.network.address(KEEPER_NUMBER),
            self.data_directory(number).display(),
        );
        Settings::parse(Path::new("local.toml"), &text).unwrap()
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.running.drain(..).flatten().for_each(RunningStore::kill);
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Builds the begin request of a turn.
pub fn begin(program: &str, request: &str, previous: Option<&str>, budget: Option<u64>) -> BeginTurn {
    BeginTurn {
        program: ProgramId::from(program),
        request: RequestId::from(request),
        previous: previous.map(RequestId::from),
        budget,
        max_tokens: 40,
        imported: Vec::new(),
        lease: TurnLease::default(),
    }
}

/// Builds a stored turn.
pub fn turn(request: &str, previous: Option<&str>) -> Turn {
    Turn {
        request: RequestId::from(request),
        previous: previous.map(RequestId::from),
        input: Arc::from(format!("in {request}").into_bytes()),
        output: Arc::from(format!("out {request}\n").into_bytes()),
        retention_ms: 60_000,
        endpoint: Some("i-1".into()),
    }
}
