//! A keeper simulated by the test, with a gate that blocks messages between it and the real keepers.
//!
//! It takes part in the replication with its own replica, and replies to requests of other keepers.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use juniperwing_clock::{Span, Time};
use juniperwing_control::{ConfigurationDecision, ControlState, decide_configuration};
use juniperwing_node::link::{Link, LinkPool, MessageHandler, ReplySender, serve};
use juniperwing_node::settings::{InternalPort, Settings};
use juniperwing_protocol::registry::{Instance, InstanceState, RegistryMessage};
use juniperwing_protocol::replication::{ReplicationBody, ReplicationMessage, Voter};
use juniperwing_protocol::{DiskId, InstanceId, Message, NodeName};
use juniperwing_replication::{Command, Event, ProposeToken, ReadToken, Replica, Timings};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::TEST_TIMEOUT;

/// Which messages pass between a simulated peer and the real keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gate {
    /// Whether the peer receives messages of the real keepers.
    pub receives: bool,
    /// Whether the real keepers receive messages of the peer.
    pub sends: bool,
    /// Whether it merges instances; if not, it does not reply to them.
    pub accepts_instances: bool,
    /// Whether it confirms that its relays have applied them.
    pub confirms_instances: bool,
    /// Whether it receives requests to join.
    pub accepts_joins: bool,
}

impl Gate {
    /// All messages pass.
    pub const OPEN: Gate = Gate {
        receives: true,
        sends: true,
        accepts_instances: true,
        confirms_instances: true,
        accepts_joins: true,
    };
    /// The real keepers receive the messages of the peer; messages to the peer are lost.
    pub const NO_INBOUND: Gate = Gate { receives: false, ..Gate::OPEN };
    /// The peer receives the messages of the real keepers; messages of the peer are lost.
    pub const NO_OUTBOUND: Gate = Gate { sends: false, ..Gate::OPEN };
    /// No message passes.
    pub const CLOSED: Gate = Gate { receives: false, sends: false, ..Gate::OPEN };
}

/// A simulated keeper.
pub struct Peer {
    shared: Arc<Shared>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

struct Shared {
    me: Voter,
    started: Instant,
    /// The addresses of the peers; all others belong to real keepers.
    peers: Vec<SocketAddr>,
    state: Mutex<State>,
    pool: Arc<LinkPool>,
    changed: Notify,
    timer_changed: Notify,
}

struct State {
    replica: Replica<ControlState>,
    gate: Gate,
    wake_at: Time,
    reads: BTreeMap<ReadToken, ReplySender>,
    next_token: u64,
    instances: BTreeMap<InstanceId, InstanceState>,
}

struct PeerMessageHandler(Arc<Shared>);

/// Handles links that a peer opened: only replies come over them, which the link delivers to their callers.
struct NoRequests;

impl MessageHandler for NoRequests {
    fn handle_message(&self, _: &Link, _: Message, _: ReplySender) {}
}

impl MessageHandler for PeerMessageHandler {
    fn handle_message(&self, _: &Link, message: Message, reply: ReplySender) {
        match message {
            Message::Replication(message) => self.0.handle_replication_message(message),
            Message::Registry(message) if self.0.lock().gate.receives => {
                self.0.handle_registry_message(message, reply);
            }
            _ => {}
        }
    }
}

impl Peer {
    /// Starts the keeper of these settings with an empty disk. `peers` are the addresses of all simulated keepers.
    pub async fn start(settings: &Settings, peers: &[SocketAddr]) -> Peer {
        let address = settings.own_address(InternalPort::Keeper);
        let node = NodeName::from(settings.node_name.as_str());
        let me = Voter { disk: DiskId(1_000 + machine_number(address)), node, address };
        let replica_settings = juniperwing_replication::Settings {
            local_voter: me.clone(),
            seeds: settings.seed_keepers(),
            bootstrap: settings.bootstrap,
            min_in_sync_replicas: settings.required_replicas(),
            timings: Timings::default(),
        };
        let initial = ControlState::default();
        let replica =
            Replica::new(Time::default(), replica_settings, None, initial, machine_number(address)).unwrap();
        let state = State {
            replica,
            gate: Gate::OPEN,
            wake_at: Time::default(),
            reads: BTreeMap::new(),
            next_token: 0,
            instances: BTreeMap::new(),
        };
        let shared = Arc::new(Shared {
            me,
            started: Instant::now(),
            peers: peers.to_vec(),
            state: Mutex::new(state),
            pool: Arc::new(LinkPool::new(Arc::new(NoRequests))),
            changed: Notify::new(),
            timer_changed: Notify::new(),
        });
        let listener = TcpListener::bind(address).await.unwrap();
        let serving = tokio::spawn(serve(listener, Arc::new(PeerMessageHandler(Arc::clone(&shared)))));
        let ticking = tokio::spawn(Arc::clone(&shared).tick());
        Peer { shared, tasks: vec![serving, ticking] }
    }

    /// Replaces the gate.
    pub fn set_gate(&self, gate: Gate) {
        self.shared.lock().gate = gate;
    }

    /// The last received state of an instance.
    pub fn instance_state(&self, id: &str) -> Option<InstanceState> {
        self.shared.lock().instances.get(&InstanceId::from(id)).copied()
    }

    /// Waits until it is primary.
    pub async fn wait_until_primary(&self) {
        self.wait_for(|state| state.replica.is_primary().then_some(())).await;
    }

    /// Waits until the newest epoch that it knows has a real keeper as its primary.
    pub async fn wait_until_real_keeper_leads(&self) {
        self.wait_for(|state| {
            let primary = state.replica.primary_address()?;
            (!self.shared.peers.contains(&primary)).then_some(())
        })
        .await;
    }

    /// Waits until this configuration is committed, as far as it knows.
    pub async fn wait_for_configuration(&self, generation: u64) {
        self.wait_for(|state| {
            let committed = state.replica.committed()?;
            (committed.state.generation() == generation).then_some(())
        })
        .await;
    }

    /// Proposes a configuration as primary; [`Peer::wait_for_configuration`] waits until it is committed.
    pub fn propose(&self, base: u64, body: &str) {
        let event = {
            let mut state = self.shared.lock();
            let latest = state.replica.latest().clone();
            let ConfigurationDecision::Accept(change) =
                decide_configuration(&latest.state, base, body.as_bytes())
            else {
                panic!("the configuration is not accepted");
            };
            Event::Propose { token: ProposeToken(state.next_token()), base: latest.version, change }
        };
        self.shared.handle(event);
    }

    /// Sends an instance to a real keeper, as if the endpoint had sent its heartbeat to this peer.
    pub async fn send_instance(&self, keeper: SocketAddr, instance: Instance) {
        let message = RegistryMessage::Instances {
            from: self.shared.me.disk,
            changed: vec![instance],
            refreshed: Vec::new(),
            confirm: true,
        };
        self.shared.pool.call(keeper, Message::Registry(message), TEST_TIMEOUT).await.expect("a reply");
    }

    async fn wait_for<T>(&self, condition: impl Fn(&State) -> Option<T>) -> T {
        let met = async {
            loop {
                let changed = self.shared.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if let Some(met) = condition(&self.shared.lock()) {
                    return met;
                }
                changed.await;
            }
        };
        timeout(TEST_TIMEOUT, met).await.expect("the expected state of the peer")
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

impl State {
    fn next_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn now(&self) -> Time {
        Time::default() + Span::from_nanos(self.started.elapsed().as_nanos() as u64)
    }

    fn handle_replication_message(self: &Arc<Self>, message: ReplicationMessage) {
        let gate = self.lock().gate;
        let is_peer = self.peers.contains(&message.address);
        let is_join_request = matches!(message.body, ReplicationBody::Join { .. });
        if is_peer || (gate.receives && (gate.accepts_joins || !is_join_request)) {
            self.handle(Event::Message(message));
        }
    }

    fn handle_registry_message(self: &Arc<Self>, message: RegistryMessage, reply: ReplySender) {
        let (gate, epoch) = {
            let state = self.lock();
            (state.gate, state.replica.epoch().number)
        };
        let reply_message = match message {
            RegistryMessage::Instances { changed, confirm, .. } => {
                if !gate.accepts_instances {
                    return;
                }
                let states = changed.into_iter().map(|instance| (instance.id, instance.state));
                self.lock().instances.extend(states);
                self.changed.notify_waiters();
                RegistryMessage::InstancesMerged { epoch, applied: confirm && gate.confirms_instances }
            }
            RegistryMessage::ReachableStores { .. } => RegistryMessage::ReachableStoresReply { epoch },
            RegistryMessage::ReadCommittedVersion => {
                let token = {
                    let mut state = self.lock();
                    let token = ReadToken(state.next_token());
                    state.reads.insert(token, reply);
                    token
                };
                return self.handle(Event::Read { token });
            }
            _ => return,
        };
        if gate.sends {
            reply.send(Message::Registry(reply_message));
        }
    }

    fn handle(self: &Arc<Self>, event: Event<ControlState>) {
        // An event that results from a command is handled after all earlier commands are executed. Otherwise an older
        // tick time would replace a newer one.
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let commands = self.lock().replica.handle(self.now(), event);
            events.extend(commands.into_iter().filter_map(|command| self.execute_command(command)));
        }
        self.changed.notify_waiters();
    }

    /// Executes a command. Returns the event that follows immediately.
    fn execute_command(self: &Arc<Self>, command: Command) -> Option<Event<ControlState>> {
        match command {
            Command::Send { to, message } => self.send(to, message),
            Command::Persist { token, .. } => return Some(Event::Persisted(token)),
            Command::WakeAt(at) => {
                self.lock().wake_at = at;
                self.timer_changed.notify_one();
            }
            Command::ReadCompleted { token, outcome } => self.reply_to_read(token, outcome.is_ok()),
            Command::Committed(_) | Command::ProposeCompleted { .. } | Command::RoleChanged(_) => {}
        }
        None
    }

    fn reply_to_read(&self, token: ReadToken, is_confirmed: bool) {
        let mut state = self.lock();
        let version = state.replica.committed().map(|committed| committed.version).filter(|_| is_confirmed);
        let Some(reply) = state.reads.remove(&token).filter(|_| state.gate.sends) else { return };
        reply.send(Message::Registry(RegistryMessage::CommittedVersion { version }));
    }

    fn send(self: &Arc<Self>, to: SocketAddr, message: ReplicationMessage) {
        if self.peers.contains(&to) || self.lock().gate.sends {
            let pool = Arc::clone(&self.pool);
            tokio::spawn(async move {
                // A message to a keeper that does not listen yet is lost; it receives later ones.
                let _ = pool.send(to, Message::Replication(message)).await;
            });
        }
    }

    async fn tick(self: Arc<Self>) {
        loop {
            let pause = self.lock().wake_at.since(self.now());
            let pause = Duration::from_nanos(pause.as_nanos());
            if timeout(pause, self.timer_changed.notified()).await.is_err() {
                self.lock().wake_at = Time::NEVER;
                self.handle(Event::Tick);
            }
        }
    }
}

/// The last octet of an address, unique among the machines of a test.
fn machine_number(address: SocketAddr) -> u64 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => u64::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 0,
    }
}
