//! Three stores on loopback, each on a thread of its own, with a keeper that tells the map it is given.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use juniperwing_node::link::{Link, LinkPool, ReplySender, Service, serve};
use juniperwing_node::sessions_client::SessionsClient;
use juniperwing_node::settings::Settings;
use juniperwing_protocol::subscription::{
    Assignment, CaughtUp, StoreMap, StoreNode, Subscribe, SubscriberKind, Update,
};
use juniperwing_protocol::{DiskId, EpochNumber, Message};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot, watch};

/// Far longer than anything takes; a test that waits for so long has failed.
pub const WITHIN: Duration = Duration::from_secs(30);
pub const COUNT: usize = 3;
const PARTITIONS: usize = 8;
const KEEPER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 9);

/// A keeper as far as stores see it.
#[derive(Default)]
pub struct Keeper {
    state: Mutex<KeeperState>,
    changed: Notify,
}

#[derive(Default)]
struct KeeperState {
    stores: BTreeMap<DiskId, (StoreNode, Link)>,
    map: Arc<StoreMap>,
    caught_up: Vec<CaughtUp>,
    /// The version of the map that was confirmed last.
    applied: u64,
}

impl Service for Keeper {
    fn handle_message(&self, link: &Link, message: Message, _: ReplySender) {
        let mut state = self.state.lock().unwrap();
        match message {
            Message::Subscribe(subscribe) => {
                let SubscriberKind::Store { disk } = subscribe.subscriber else { return };
                state.stores.insert(disk, (node(&subscribe, disk), link.clone()));
                link.send(Message::Update(Update::Stores(state.map.clone())));
            }
            Message::Applied(applied) => {
                state.applied = applied.stores;
                state.caught_up = applied.caught_up;
            }
            _ => {}
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn handle_closed(&self, link: &Link) {
        self.state.lock().unwrap().stores.retain(|_, (_, held)| held.id() != link.id());
        self.changed.notify_waiters();
    }
}

fn node(subscribe: &Subscribe, disk: DiskId) -> StoreNode {
    StoreNode { disk, node: subscribe.node.clone(), zone: subscribe.zone.clone(), address: subscribe.address }
}

impl Keeper {
    /// Waits until what the keeper knows is so.
    async fn until<T>(&self, wanted: impl Fn(&KeeperState) -> Option<T>) -> T {
        let wait = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                let found = wanted(&self.state.lock().unwrap());
                if let Some(found) = found {
                    return found;
                }
                changed.await;
            }
        };
        tokio::time::timeout(WITHIN, wait).await.expect("the keeper hears of it")
    }

    /// The disks subscribed, as soon as there are so many.
    pub async fn subscribed(&self, count: usize) -> Vec<DiskId> {
        self.until(|state| (state.stores.len() == count).then(|| state.stores.keys().copied().collect()))
            .await
    }

    /// Waits until a store has confirmed the map of an epoch.
    pub async fn applied(&self, epoch: EpochNumber) {
        self.until(|state| (state.applied == epoch.0).then_some(())).await;
    }

    /// Waits until every partition's joining replica has caught up in the present epoch.
    pub async fn caught_up(&self, replica: DiskId, epoch: EpochNumber, partitions: &[u16]) {
        self.until(|state| {
            let told = |partition: &u16| {
                let report =
                    |c: &CaughtUp| c.partition.0 == *partition && c.replica == replica && c.epoch == epoch;
                state.caught_up.iter().any(report)
            };
            partitions.iter().all(told).then_some(())
        })
        .await;
    }

    /// Makes a map: every partition is led by one of `in_sync` in turn, in the next epoch.
    pub fn assign(&self, in_sync: &[DiskId], joining: &[DiskId]) -> Arc<StoreMap> {
        let mut state = self.state.lock().unwrap();
        let version = state.map.version + 1;
        let partitions = (0..PARTITIONS).map(|partition| Assignment {
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

/// A store that runs.
pub struct Running {
    kill: Option<oneshot::Sender<()>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
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
        Running { kill: Some(kill), stop: Some(stop), thread: Some(thread) }
    }

    /// Ends it from one moment to the next.
    pub fn kill(mut self) {
        if let Some(kill) = self.kill.take() {
            // It may have ended already.
            let _ = kill.send(());
        }
        self.thread.take().unwrap().join().unwrap();
    }

    /// Asks it to end, and waits for that.
    pub fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        self.thread.take().unwrap().join().unwrap();
        drop(self.kill.take());
    }
}

/// Three stores, a keeper and a relay's client.
pub struct Stores {
    pub keeper: Arc<Keeper>,
    pub running: Vec<Option<Running>>,
    pub client: SessionsClient,
    pub map: watch::Sender<Arc<StoreMap>>,
    first_port: u16,
    folder: PathBuf,
}

impl Stores {
    /// Starts all; every partition has all three in sync.
    pub async fn start(name: &str) -> Self {
        let (listener, first_port) = free_ports().await;
        let keeper = Arc::new(Keeper::default());
        tokio::spawn(serve(listener, keeper.clone()));
        let folder = std::env::temp_dir().join(format!("juniperwing-store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let (map, watched) = watch::channel(Arc::default());
        let client = SessionsClient::new(Arc::new(LinkPool::new(Arc::new(Keeper::default()))), watched);
        let mut stores = Stores { keeper, running: Vec::new(), client, map, first_port, folder };
        stores.running = (0..COUNT).map(|number| Some(Running::start(stores.settings(number)))).collect();
        let disks = stores.keeper.subscribed(COUNT).await;
        stores.assign(&disks, &[]);
        stores
    }

    /// The client of another relay.
    pub fn another_client(&self) -> SessionsClient {
        SessionsClient::new(Arc::new(LinkPool::new(Arc::new(Keeper::default()))), self.map.subscribe())
    }

    /// Has the keeper and the client go by another map.
    pub fn assign(&self, in_sync: &[DiskId], joining: &[DiskId]) -> EpochNumber {
        let map = self.keeper.assign(in_sync, joining);
        let epoch = EpochNumber(map.version);
        self.map.send_replace(map);
        epoch
    }

    /// Starts a store that has ended.
    pub fn restart(&mut self, number: usize) {
        self.running[number] = Some(Running::start(self.settings(number)));
    }

    /// The file that the next segment of a store will be.
    pub fn next_segment(&self, store: usize) -> PathBuf {
        const PREFIX: &str = "segment-";
        let folder = self.data(store).join("sessions");
        let names = std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().file_name());
        let numbers =
            names.filter_map(|name| u64::from_str_radix(name.to_str()?.strip_prefix(PREFIX)?, 16).ok());
        let newest = numbers.max().unwrap_or_default();
        folder.join(format!("{PREFIX}{:016x}", newest + 1))
    }

    pub fn data(&self, number: usize) -> PathBuf {
        self.folder.join(format!("store-{number}"))
    }

    pub fn settings(&self, number: usize) -> Settings {
        let text = format!(
            r#"
            nodeName = "store-{number}"
            ipAddress = "127.0.0.{}"
            zone = "a"
            ephemeralPorts = [{}, {}]
            seedNodes = ["{KEEPER}:1"]
            dataDirectory = "{}"
            [faultTolerance]
            machines = 1
            "#,
            number + 1,
            self.first_port,
            self.first_port + 2,
            self.data(number).display(),
        );
        Settings::parse(Path::new("local.toml"), &text).unwrap()
    }
}

impl Drop for Stores {
    fn drop(&mut self) {
        self.running.drain(..).flatten().for_each(Running::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The keeper's listener, and the first of three ports that are free.
async fn free_ports() -> (TcpListener, u16) {
    loop {
        let listener = TcpListener::bind((KEEPER, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        let store = SocketAddr::from((Ipv4Addr::LOCALHOST, port.saturating_add(1)));
        if port < u16::MAX && TcpListener::bind(store).await.is_ok() {
            return (listener, port - 1);
        }
    }
}
