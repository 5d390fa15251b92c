//! Membership protocol over loopback: processes discover keepers that their settings do not name.

mod keepers;
mod loopback;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use juniperwing_membership::Role;
use juniperwing_node::gossip::{Gossip, LocalMember};
use juniperwing_node::keeper::run_with;
use juniperwing_node::settings::{InternalPort, Settings};
use juniperwing_node::subscriber::{Subscriber, UpdateSink};
use juniperwing_node::sync::watch;
use juniperwing_protocol::NodeName;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, Subscribe, SubscriberKind as Kind, Update};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::time::timeout;

use keepers::{Keepers, Observer, TEST_TIMEOUT, configuration};
use loopback::LoopbackNetwork;

/// Number of a machine on which nothing listens.
const DEAD_MACHINE: u8 = 250;

/// The machines of one test, each with its own loopback address.
struct Machines(LoopbackNetwork);

impl Machines {
    fn new() -> Self {
        Machines(LoopbackNetwork::reserve())
    }

    fn address(&self, machine: u8) -> Ipv4Addr {
        self.0.address(machine)
    }

    fn settings(&self, machine: u8, seeds: &[u8]) -> Settings {
        let address = self.address(machine);
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{}:8144\"", self.address(*seed))).collect();
        let text = format!(
            "nodeName = \"machine-{machine}\"\nipAddress = \"{address}\"\nzone = \"a\"\n\
             ephemeralPorts = [7380,7395]\nseedNodes = [{}]\n",
            seeds.join(",")
        );
        Settings::parse(Path::new("local.toml"), &text).unwrap()
    }

    fn keeper(&self, machine: u8) -> SocketAddr {
        self.settings(machine, &[]).own_address(InternalPort::Keeper)
    }
}

/// A member and the keepers in its newest report.
struct Node {
    gossip: Gossip,
    keepers: watch::Receiver<Vec<SocketAddr>>,
}

impl Node {
    async fn start(settings: &Settings, role: Role) -> Node {
        let (sender, keepers) = watch::channel(Vec::new());
        let observer = Box::new(move |keepers| drop(sender.send_replace(keepers)));
        let log = Logger::root(Discard, o!());
        let gossip = Gossip::start(settings, LocalMember { role, disk: None }, log, observer).await.unwrap();
        Node { gossip, keepers }
    }

    async fn wait_for_keepers(&mut self, expected: &[SocketAddr]) {
        let reported = self.keepers.wait_for(|keepers| keepers == expected);
        timeout(TEST_TIMEOUT, reported).await.expect("keepers reported in time").expect("the member runs");
    }
}

#[tokio::test]
async fn a_process_with_a_dead_seed_discovers_all_keepers_through_the_other() {
    let machines = Machines::new();
    let mut first = Node::start(&machines.settings(1, &[1, 2]), Role::Keeper).await;
    let _second = Node::start(&machines.settings(2, &[1, 2]), Role::Keeper).await;
    first.wait_for_keepers(&[machines.keeper(2)]).await;
    let mut relay = Node::start(&machines.settings(3, &[DEAD_MACHINE, 1]), Role::Relay).await;
    relay.wait_for_keepers(&[machines.keeper(1), machines.keeper(2)]).await;
    assert_eq!(relay.gossip.keepers(), [machines.keeper(1), machines.keeper(2)]);
}

#[tokio::test]
async fn a_restarted_process_with_dead_seeds_is_rediscovered_by_known_members() {
    let machines = Machines::new();
    let _keeper = Node::start(&machines.settings(1, &[1]), Role::Keeper).await;
    let mut relay = Node::start(&machines.settings(2, &[1]), Role::Relay).await;
    relay.wait_for_keepers(&[machines.keeper(1)]).await;
    drop(relay);
    // The socket is closed only when the aborted task has been dropped.
    let settings = machines.settings(2, &[DEAD_MACHINE]);
    let address = settings.own_address(InternalPort::Relay);
    while tokio::net::UdpSocket::bind(address).await.is_err() {
        tokio::task::yield_now().await;
    }
    let mut relay = Node::start(&settings, Role::Relay).await;
    relay.wait_for_keepers(&[machines.keeper(1)]).await;
}

#[tokio::test]
async fn changed_seeds_are_contacted_and_a_zone_lists_its_live_relays() {
    let machines = Machines::new();
    let keeper = Node::start(&machines.settings(1, &[1]), Role::Keeper).await;
    let mut relay = Node::start(&machines.settings(2, &[DEAD_MACHINE]), Role::Relay).await;
    relay.gossip.reload(&machines.settings(2, &[1]));
    relay.wait_for_keepers(&[machines.keeper(1)]).await;
    let relays = keeper.gossip.live_relays("a");
    assert_eq!(relays.iter().map(|relay| &*relay.id.node.0).collect::<Vec<_>>(), ["machine-2"]);
    assert!(keeper.gossip.live_relays("b").is_empty());
}

#[tokio::test]
async fn a_keeper_that_leaves_is_removed() {
    let machines = Machines::new();
    let keeper = Node::start(&machines.settings(1, &[1]), Role::Keeper).await;
    let mut relay = Node::start(&machines.settings(2, &[1]), Role::Relay).await;
    relay.wait_for_keepers(&[machines.keeper(1)]).await;
    keeper.gossip.leave();
    relay.wait_for_keepers(&[]).await;
}

/// Ignores all updates.
struct NullSink;

impl UpdateSink for NullSink {
    fn apply(&self, _: Update) {}

    fn applied_versions(&self) -> AppliedVersions {
        AppliedVersions::default()
    }

    fn configuration_version(&self) -> Version {
        Version::default()
    }
}

#[tokio::test]
async fn a_subscriber_with_dead_seeds_subscribes_to_a_discovered_keeper() {
    let machines = Machines::new();
    let keeper = TcpListener::bind(machines.keeper(1)).await.unwrap();
    let settings = machines.settings(2, &[DEAD_MACHINE]);
    let subscribe = Subscribe {
        node: NodeName::from("machine-2"),
        zone: "a".into(),
        address: settings.own_address(InternalPort::Relay),
        subscriber: Kind::Relay,
        configuration: Version::default(),
    };
    let subscriber = Subscriber::start(subscribe, settings.seed_keepers(), 1, Arc::new(NullSink));
    subscriber.set_discovered(vec![machines.keeper(1)]);
    timeout(TEST_TIMEOUT, keeper.accept()).await.expect("a connection in time").unwrap();
}

#[tokio::test]
async fn a_keeper_with_dead_seeds_joins_when_its_settings_change() {
    let keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    let (fresh, stale) = settings_of_joining_keeper(&keepers);
    let address = fresh.own_address(InternalPort::Keeper);
    let (changed, changes) = watch::channel(stale.clone());
    let log = Logger::root(Discard, o!());
    let running = tokio::spawn(run_with(stale, changes, log, std::future::pending()));
    changed.send_replace(fresh);
    let mut relay = Observer::subscribe(address, Kind::Relay);
    relay.wait_for_configuration(&configuration(3)).await;
    running.abort();
}

/// The settings of a joining keeper: with live seeds, and with one dead seed.
fn settings_of_joining_keeper(keepers: &Keepers) -> (Settings, Settings) {
    let mut fresh = keepers.settings(0).clone();
    let SocketAddr::V4(first) = fresh.own_address(InternalPort::Keeper) else {
        unreachable!("loopback is IPv4")
    };
    let [one, two, three, _] = first.ip().octets();
    let at = |machine| Ipv4Addr::new(one, two, three, machine);
    fresh.node_name = "core-9".to_owned();
    fresh.ip_address = at(9).into();
    fresh.listeners_map.control_plane = Some(SocketAddr::new(at(9).into(), 8_144));
    fresh.data_directory = fresh.data_directory.map(|folder| folder.with_file_name("9"));
    fresh.bootstrap = false;
    let mut stale = fresh.clone();
    stale.seed_nodes = vec![SocketAddr::new(at(DEAD_MACHINE).into(), 8_144)];
    (fresh, stale)
}
