//! Links carry calls, answers and updates over loopback, and end their calls when they break.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::link::{CallError, Link, LinkPool, ReplySender, Service, serve};
use juniperwing_protocol::registry::{Order, RegistryMessage};
use juniperwing_protocol::{CallId, Envelope, Message};
use tokio::net::TcpListener;
use tokio::time::timeout;

const WITHIN: Duration = Duration::from_secs(10);

/// Answers a question for distribution, closes the link on [`Message::Pong`], keeps all else.
#[derive(Default)]
struct Recorder {
    messages: Mutex<Vec<Message>>,
}

impl Service for Recorder {
    fn handle_message(&self, link: &Link, handle_message: Message, reply: ReplySender) {
        match handle_message {
            Message::Registry(RegistryMessage::DistributeConfiguration { .. }) => {
                reply.send(Message::Registry(RegistryMessage::ConfigurationDistributed));
            }
            Message::Pong => link.close(),
            other => self.messages.lock().unwrap().push(other),
        }
    }
}

fn question() -> Message {
    Message::Registry(RegistryMessage::DistributeConfiguration { version: Default::default(), wait_ms: 1 })
}

async fn server() -> (SocketAddr, Arc<Recorder>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let recorder = Arc::new(Recorder::default());
    tokio::spawn(serve(listener, recorder.clone()));
    (address, recorder)
}

#[tokio::test]
async fn a_call_is_answered_and_the_link_is_used_again() {
    let (address, _) = server().await;
    let pool = LinkPool::new(Arc::new(Recorder::default()));
    let answer = pool.call(address, question(), WITHIN).await.unwrap();
    assert_eq!(answer, Message::Registry(RegistryMessage::ConfigurationDistributed));
    let first = pool.link(address).await.unwrap();
    pool.call(address, question(), WITHIN).await.unwrap();
    assert_eq!(first.id(), pool.link(address).await.unwrap().id());
}

#[tokio::test]
async fn many_calls_at_once_each_get_their_own_answer() {
    let (address, _) = server().await;
    let pool = Arc::new(LinkPool::new(Arc::new(Recorder::default())));
    let calls: Vec<_> = (0..100)
        .map(|_| {
            let pool = Arc::clone(&pool);
            tokio::spawn(async move { pool.call(address, question(), WITHIN).await })
        })
        .collect();
    for call in calls {
        assert!(call.await.unwrap().is_ok());
    }
}

#[tokio::test]
async fn a_call_on_a_link_that_breaks_fails_and_the_next_opens_another() {
    let (address, _) = server().await;
    let pool = LinkPool::new(Arc::new(Recorder::default()));
    let link = pool.link(address).await.unwrap();
    assert_eq!(link.call(Message::Pong, WITHIN).await, Err(CallError::LinkClosed));
    link.wait_closed().await;
    assert!(link.is_closed());
    assert!(pool.call(address, question(), WITHIN).await.is_ok());
}

#[tokio::test]
async fn nobody_listening_is_told_apart_from_a_broken_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pool = LinkPool::new(Arc::new(Recorder::default()));
    assert_eq!(pool.call(address, question(), WITHIN).await, Err(CallError::NotConnected));
}

#[tokio::test]
async fn bytes_that_are_no_envelope_end_the_link() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (address, recorder) = server().await;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(&[0xff; 64]).await.unwrap();
    let mut rest = Vec::new();
    // The end, or a reset for what was not read.
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty());
    assert!(recorder.messages.lock().unwrap().is_empty());
}

/// An envelope that takes longer than a link's patience, in as many parts as it has bytes. Fails without the ping
/// for a part of an envelope in `read`: the sender hears nothing and gives the link up.
#[tokio::test]
async fn whoever_sends_a_large_envelope_slowly_hears_that_it_is_read() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const BYTES: usize = 8 << 20;
    let (address, recorder) = server().await;
    let body = vec![0; BYTES];
    let message = Message::Registry(RegistryMessage::Order(Order::PutConfiguration { base: 0, body }));
    let envelope = Envelope { call: CallId::default(), is_reply: false, message: message.clone() };
    let bytes = envelope.encode().unwrap();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let mut sign = [0; 4];
    let mut sent = 0;
    let hears = async {
        loop {
            tokio::select! {
                biased;
                heard = reader.read(&mut sign) => return assert!(heard.unwrap() > 0),
                written = writer.write_all(&bytes[sent..=sent]) => written.unwrap(),
            }
            sent += 1;
            tokio::task::yield_now().await;
        }
    };
    timeout(WITHIN, hears).await.expect("a sign of life");
    assert!(sent < bytes.len(), "heard before all was sent");
    writer.write_all(&bytes[sent..]).await.unwrap();
    let arrived = async {
        while recorder.messages.lock().unwrap().first() != Some(&message) {
            tokio::task::yield_now().await;
        }
    };
    timeout(WITHIN, arrived).await.expect("the whole envelope");
}
