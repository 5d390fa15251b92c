//! Subscriptions of a relay or store where keepers answer late or not at all.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::link::{Link, ReplySender, Service, serve};
use juniperwing_node::subscriber::{Subscriber, UpdateSink};
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{self, AppliedVersions, InstancesUpdate, Subscribe, Update};
use juniperwing_protocol::{Message, NodeName};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(40);

/// A keeper that takes subscriptions and answers them, or does not.
#[derive(Default)]
struct Keeper {
    answers: bool,
    subscriptions: Mutex<usize>,
    /// The link of the newest subscription.
    link: Mutex<Option<Link>>,
    news: Notify,
}

impl Service for Keeper {
    fn handle_message(&self, link: &Link, handle_message: Message, _: ReplySender) {
        if !matches!(handle_message, Message::Subscribe(_)) {
            return;
        }
        *self.subscriptions.lock().unwrap() += 1;
        *self.link.lock().unwrap() = Some(link.clone());
        self.news.notify_waiters();
        if self.answers {
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
    async fn start(answers: bool) -> (SocketAddr, Arc<Keeper>) {
        let keeper = Arc::new(Keeper { answers, ..Keeper::default() });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, keeper.clone()));
        (address, keeper)
    }

    async fn until_subscriptions(&self, count: usize) {
        let met = async {
            loop {
                let news = self.news.notified();
                tokio::pin!(news);
                news.as_mut().enable();
                if *self.subscriptions.lock().unwrap() >= count {
                    return;
                }
                news.await;
            }
        };
        timeout(PATIENCE, met).await.expect("subscriptions");
    }
}

/// Counts the updates that it is told.
#[derive(Default)]
struct Counter {
    updates: Mutex<usize>,
    told: Notify,
    connected: Mutex<Vec<bool>>,
    connection: Notify,
}

impl UpdateSink for Counter {
    fn apply(&self, _: Update) {
        *self.updates.lock().unwrap() += 1;
        self.told.notify_one();
    }

    fn applied_versions(&self) -> AppliedVersions {
        AppliedVersions::default()
    }

    fn configuration_version(&self) -> Version {
        Version::default()
    }

    fn handle_connection_change(&self, is_connected: bool) {
        self.connected.lock().unwrap().push(is_connected);
        self.connection.notify_one();
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

/// Guard: `ANSWER_WITHIN`. Without it the only place is held by the keeper that never answers.
#[tokio::test]
async fn a_keeper_that_does_not_answer_is_left_for_another() {
    let (silent, silent_keeper) = Keeper::start(false).await;
    let (answering, answering_keeper) = Keeper::start(true).await;
    let sink = Arc::new(Counter::default());
    let subscriber = Subscriber::start(subscribe(), vec![silent], 1, sink.clone());
    silent_keeper.until_subscriptions(1).await;
    assert!(!subscriber.is_connected());
    subscriber.set_seeds(vec![silent, answering]);
    answering_keeper.until_subscriptions(1).await;
    timeout(PATIENCE, sink.told.notified()).await.expect("an update");
    assert_eq!(*sink.updates.lock().unwrap(), 1);
}

/// At the latest when the silent keeper is left; at once in fact, which is not asserted: it is a matter of time.
#[tokio::test]
async fn while_no_keeper_answers_those_are_asked_that_the_membership_found() {
    let (silent, silent_keeper) = Keeper::start(false).await;
    let (found, found_keeper) = Keeper::start(true).await;
    let sink = Arc::new(Counter::default());
    let subscriber = Subscriber::start(subscribe(), vec![silent], 2, sink.clone());
    silent_keeper.until_subscriptions(1).await;
    subscriber.set_discovered(vec![found]);
    found_keeper.until_subscriptions(1).await;
    timeout(PATIENCE, sink.told.notified()).await.expect("an update");
}

/// Guard: the sink is told when the last answered subscription ends. Links that nobody answers do not count.
#[tokio::test]
async fn the_sink_is_told_whether_any_keeper_answers() {
    let (answering, keeper) = Keeper::start(true).await;
    let (silent, silent_keeper) = Keeper::start(false).await;
    let sink = Arc::new(Counter::default());
    let subscriber = Subscriber::start(subscribe(), vec![answering, silent], 2, sink.clone());
    keeper.until_subscriptions(1).await;
    silent_keeper.until_subscriptions(1).await;
    let answered = async {
        while !subscriber.is_connected() {
            sink.connection.notified().await
        }
    };
    timeout(PATIENCE, answered).await.expect("an answer");
    subscriber.set_suspended(true);
    let lost = async {
        while sink.connected.lock().unwrap().last() != Some(&false) {
            sink.connection.notified().await
        }
    };
    timeout(PATIENCE, lost).await.expect("the end");
    assert!(sink.connected.lock().unwrap().contains(&true));
}

/// Guard: `Keepers::take_keepers`. A keeper that was replaced while it was cut off does not end its subscriptions.
#[tokio::test]
async fn a_keeper_that_is_no_voter_any_more_is_left() {
    let (replaced, replaced_keeper) = Keeper::start(true).await;
    let (voter, voter_keeper) = Keeper::start(true).await;
    let subscriber = Subscriber::start(subscribe(), vec![replaced, voter], 2, Arc::new(Counter::default()));
    replaced_keeper.until_subscriptions(1).await;
    voter_keeper.until_subscriptions(1).await;
    let link_to_voter = voter_keeper.link.lock().unwrap().clone().unwrap();
    let link_to_replaced = replaced_keeper.link.lock().unwrap().clone().unwrap();
    link_to_voter.send(Message::Update(Update::Keepers(vec![voter])));
    timeout(PATIENCE, link_to_replaced.wait_closed()).await.expect("the end of the subscription");
    assert!(!link_to_voter.is_closed());
    assert!(subscriber.keepers().contains(&voter));
}
