//! Links transport calls, replies and messages over loopback, and fail pending calls when they are closed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::link::{CallError, Link, LinkPool, MessageHandler, ReplySender, serve};
use juniperwing_protocol::registry::{Order, RegistryMessage};
use juniperwing_protocol::{CallId, Envelope, Message};
use tokio::net::TcpListener;
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A handler that replies to a request for distribution, closes the link on [`Message::Pong`], and records all other
/// messages.
#[derive(Default)]
struct Recorder {
    messages: Mutex<Vec<Message>>,
}

impl MessageHandler for Recorder {
    fn handle_message(&self, link: &Link, message: Message, reply: ReplySender) {
        match message {
            Message::Registry(RegistryMessage::DistributeConfiguration { .. }) => {
                reply.send(Message::Registry(RegistryMessage::ConfigurationDistributed));
            }
            Message::Pong => link.close(),
            other => self.messages.lock().unwrap().push(other),
        }
    }
}

fn request() -> Message {
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
async fn a_call_is_replied_to_and_the_link_is_reused() {
    let (address, _) = server().await;
    let pool = LinkPool::new(Arc::new(Recorder::default()));
    let reply = pool.call(address, request(), CALL_TIMEOUT).await.unwrap();
    assert_eq!(reply, Message::Registry(RegistryMessage::ConfigurationDistributed));
    let first = pool.link(address).await.unwrap();
    pool.call(address, request(), CALL_TIMEOUT).await.unwrap();
    assert_eq!(first.id(), pool.link(address).await.unwrap().id());
}

#[tokio::test]
async fn concurrent_calls_each_get_their_own_reply() {
    let (address, _) = server().await;
    let pool = Arc::new(LinkPool::new(Arc::new(Recorder::default())));
    let calls: Vec<_> = (0..100)
        .map(|_| {
            let pool = Arc::clone(&pool);
            tokio::spawn(async move { pool.call(address, request(), CALL_TIMEOUT).await })
        })
        .collect();
    for call in calls {
        assert!(call.await.unwrap().is_ok());
    }
}

#[tokio::test]
async fn a_call_on_a_closed_link_fails_and_the_next_opens_another_link() {
    let (address, _) = server().await;
    let pool = LinkPool::new(Arc::new(Recorder::default()));
    let link = pool.link(address).await.unwrap();
    assert_eq!(link.call(Message::Pong, CALL_TIMEOUT).await, Err(CallError::LinkClosed));
    link.wait_closed().await;
    assert!(link.is_closed());
    assert!(pool.call(address, request(), CALL_TIMEOUT).await.is_ok());
}

#[tokio::test]
async fn a_refused_connection_is_distinguished_from_a_closed_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let pool = LinkPool::new(Arc::new(Recorder::default()));
    assert_eq!(pool.call(address, request(), CALL_TIMEOUT).await, Err(CallError::NotConnected));
}

#[tokio::test]
async fn invalid_bytes_close_the_link() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (address, recorder) = server().await;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(&[0xff; 64]).await.unwrap();
    let mut rest = Vec::new();
    // End of file, or a reset because of unread bytes.
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty());
    assert!(recorder.messages.lock().unwrap().is_empty());
}

/// The envelope is sent byte by byte, which takes longer than [`LINK_TIMEOUT`](juniperwing_node::link::LINK_TIMEOUT).
/// Without the ping for a partial envelope in `run_reader`, the sender receives nothing and closes the link.
#[tokio::test]
async fn a_peer_that_sends_a_large_envelope_slowly_receives_pings() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const BYTES: usize = 8 << 20;
    let (address, recorder) = server().await;
    let body = vec![0; BYTES];
    let message = Message::Registry(RegistryMessage::Order(Order::PutConfiguration { base: 0, body }));
    let envelope = Envelope { call: CallId::default(), is_reply: false, message: message.clone() };
    let bytes = envelope.encode().unwrap();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let mut buffer = [0; 4];
    let mut sent = 0;
    let receives_ping = async {
        loop {
            tokio::select! {
                biased;
                received = reader.read(&mut buffer) => return assert!(received.unwrap() > 0),
                written = writer.write_all(&bytes[sent..=sent]) => written.unwrap(),
            }
            sent += 1;
            tokio::task::yield_now().await;
        }
    };
    timeout(CALL_TIMEOUT, receives_ping).await.expect("a ping");
    assert!(sent < bytes.len(), "a ping was received before everything was sent");
    writer.write_all(&bytes[sent..]).await.unwrap();
    let arrived = async {
        while recorder.messages.lock().unwrap().first() != Some(&message) {
            tokio::task::yield_now().await;
        }
    };
    timeout(CALL_TIMEOUT, arrived).await.expect("the complete envelope");
}
