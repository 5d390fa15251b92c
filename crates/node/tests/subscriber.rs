//! Subscriptions of a relay or store when keepers do not reply, are lost, or are replaced.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::link::{Link, MessageHandler, ReplySender, serve};
use juniperwing_node::subscriber::{Subscriber, UpdateSink};
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{self, AppliedVersions, InstancesUpdate, Subscribe, Update};
use juniperwing_protocol::{Message, NodeName};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// A keeper that accepts subscriptions and, if `replies` is set, sends the first update.
#[derive(Default)]
struct Keeper {
    replies: bool,
    subscriptions: Mutex<usize>,
    /// The link of the newest subscription.
    link: Mutex<Option<Link>>,
    subscribed: Notify,
}

impl MessageHandler for Keeper {
    fn handle_message(&self, link: &Link, message: Message, _: ReplySender) {
        if !matches!(message, Message::Subscribe(_)) {
            return;
        }
        *self.subscriptions.lock().unwrap() += 1;
        *self.link.lock().unwrap() = Some(link.clone());
        self.subscribed.notify_waiters();
        if self.replies {
            let update = InstancesUpdate {
                is_snapshot: true,
                is_registry_complete: true,
                ..InstancesUpdate::default()
            };
            link.send(Message::Update(Update::Instances(update)));
        }
    }
}

impl Keeper {
    async fn start(replies: bool) -> (SocketAddr, Arc<Keeper>) {
        let keeper = Arc::new(Keeper { replies, ..Keeper::default() });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, keeper.clone()));
        (address, keeper)
    }

    async fn wait_for_subscriptions(&self, count: usize) {
        let reached = async {
            loop {
                let subscribed = self.subscribed.notified();
                tokio::pin!(subscribed);
                subscribed.as_mut().enable();
                if *self.subscriptions.lock().unwrap() >= count {
                    return;
                }
                subscribed.await;
            }
        };
        timeout(TEST_TIMEOUT, reached).await.expect("subscriptions");
    }
}

/// A sink that counts updates and records connection changes.
#[derive(Default)]
struct Counter {
    updates: Mutex<usize>,
    updated: Notify,
    connection_changes: Mutex<Vec<bool>>,
    connection_changed: Notify,
}

impl UpdateSink for Counter {
    fn apply(&self, _: Update) {
        *self.updates.lock().unwrap() += 1;
        self.updated.notify_one();
    }

    fn applied_versions(&self) -> AppliedVersions {
        AppliedVersions::default()
    }

    fn configuration_version(&self) -> Version {
        Version::default()
    }

    fn handle_connection_change(&self, is_connected: bool) {
        self.connection_changes.lock().unwrap().push(is_connected);
        self.connection_changed.notify_one();
    }
}

fn subscribe() -> Subscribe {
    Subscribe {
        node: NodeName::from("edge-1"),
        zone: "a".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        subscriber: subscription::SubscriberKind::Relay,
        configuration: Version::default(),
    }
}

/// Guards `FIRST_UPDATE_TIMEOUT`: without it, the keeper that never replies occupies the only slot forever.
#[tokio::test]
async fn a_keeper_that_does_not_reply_is_replaced_by_another() {
    let (silent, silent_keeper) = Keeper::start(false).await;
    let (replying, replying_keeper) = Keeper::start(true).await;
    let sink = Arc::new(Counter::default());
    let subscriber = Subscriber::start(subscribe(), vec![silent], 1, sink.clone());
    silent_keeper.wait_for_subscriptions(1).await;
    assert!(!subscriber.is_connected());
    subscriber.set_seeds(vec![silent, replying]);
    replying_keeper.wait_for_subscriptions(1).await;
    timeout(TEST_TIMEOUT, sink.updated.notified()).await.expect("an update");
    assert_eq!(*sink.updates.lock().unwrap(), 1);
}

/// The discovered keeper is used at once, or at the latest when the silent one is replaced. That it is used at once is
/// not asserted, since it depends on timing.
#[tokio::test]
async fn discovered_keepers_are_subscribed_to_while_no_keeper_replies() {
    let (silent, silent_keeper) = Keeper::start(false).await;
    let (discovered, discovered_keeper) = Keeper::start(true).await;
    let sink = Arc::new(Counter::default());
    let subscriber = Subscriber::start(subscribe(), vec![silent], 2, sink.clone());
    silent_keeper.wait_for_subscriptions(1).await;
    subscriber.set_discovered(vec![discovered]);
    discovered_keeper.wait_for_subscriptions(1).await;
    timeout(TEST_TIMEOUT, sink.updated.notified()).await.expect("an update");
}

/// The sink must be notified when the last established subscription ends. Links without a reply do not count.
#[tokio::test]
async fn the_sink_is_notified_whether_any_subscription_is_established() {
    let (replying, keeper) = Keeper::start(true).await;
    let (silent, silent_keeper) = Keeper::start(false).await;
    let sink = Arc::new(Counter::default());
    let subscriber = Subscriber::start(subscribe(), vec![replying, silent], 2, sink.clone());
    keeper.wait_for_subscriptions(1).await;
    silent_keeper.wait_for_subscriptions(1).await;
    let established = async {
        while !subscriber.is_connected() {
            sink.connection_changed.notified().await;
        }
    };
    timeout(TEST_TIMEOUT, established).await.expect("an established subscription");
    subscriber.set_suspended(true);
    let lost = async {
        while sink.connection_changes.lock().unwrap().last() != Some(&false) {
            sink.connection_changed.notified().await;
        }
    };
    timeout(TEST_TIMEOUT, lost).await.expect("the loss of the subscription");
    assert!(sink.connection_changes.lock().unwrap().contains(&true));
}

/// Guards `Keepers::handle_announced`: a keeper that was replaced during a partition does not close its subscriptions
/// itself.
#[tokio::test]
async fn the_subscription_to_a_removed_voter_is_closed() {
    let (replaced, replaced_keeper) = Keeper::start(true).await;
    let (voter, voter_keeper) = Keeper::start(true).await;
    let subscriber = Subscriber::start(subscribe(), vec![replaced, voter], 2, Arc::new(Counter::default()));
    replaced_keeper.wait_for_subscriptions(1).await;
    voter_keeper.wait_for_subscriptions(1).await;
    let link_to_voter = voter_keeper.link.lock().unwrap().clone().unwrap();
    let link_to_replaced = replaced_keeper.link.lock().unwrap().clone().unwrap();
    link_to_voter.send(Message::Update(Update::Keepers(vec![voter])));
    timeout(TEST_TIMEOUT, link_to_replaced.wait_closed()).await.expect("the end of the subscription");
    assert!(!link_to_voter.is_closed());
    assert!(subscriber.keepers().contains(&voter));
}
