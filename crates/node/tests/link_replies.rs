//! Replies on a link reach only their own caller, even if they are late, duplicated, reordered or truncated. A call that
//! may have been handled is distinguished from one that was not sent.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::link::{CallError, Link, LinkPool, MessageHandler, ReplySender};
use juniperwing_protocol::registry::RegistryMessage;
use juniperwing_protocol::{CallId, Envelope, Message};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of calls whose reply is late.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(20);

struct IgnoreMessages;

impl MessageHandler for IgnoreMessages {
    fn handle_message(&self, _: &Link, _: Message, _: ReplySender) {}
}

/// A numbered message; a reply has the same number as its call.
fn numbered(number: u32) -> Message {
    Message::Registry(RegistryMessage::DistributeConfiguration {
        version: Default::default(),
        wait_ms: number,
    })
}

fn encode_reply(call: CallId, number: u32) -> Vec<u8> {
    Envelope { call, is_reply: true, message: numbered(number) }.encode().unwrap()
}

/// The peer of a link, which sends raw bytes.
struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Peer {
    async fn accept(listener: &TcpListener) -> Peer {
        Peer { stream: listener.accept().await.unwrap().0, buffer: Vec::new() }
    }

    async fn next_call(&mut self) -> CallId {
        loop {
            if let Some((envelope, bytes)) = Envelope::decode(&self.buffer).unwrap() {
                self.buffer.drain(..bytes);
                return envelope.call;
            }
            assert_ne!(self.stream.read_buf(&mut self.buffer).await.unwrap(), 0);
        }
    }

    async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }
}

async fn link_with_peer() -> (Link, Peer) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = LinkPool::new(Arc::new(IgnoreMessages));
    let link = pool.link(listener.local_addr().unwrap()).await.unwrap();
    let peer = Peer::accept(&listener).await;
    (link, peer)
}

// Guards the look-up of callers in `Link::dispatch` by the id of the call, which is unique on a link.
#[tokio::test]
async fn a_late_reply_does_not_reach_the_next_call() {
    let (link, mut peer) = link_with_peer().await;
    assert_eq!(link.call(numbered(1), SHORT_CALL_TIMEOUT).await, Err(CallError::TimedOut));
    let late = peer.next_call().await;
    let calling = tokio::spawn({
        let link = link.clone();
        async move { link.call(numbered(2), CALL_TIMEOUT).await }
    });
    let current = peer.next_call().await;
    peer.send(&encode_reply(late, 1)).await;
    peer.send(&encode_reply(current, 2)).await;
    assert_eq!(calling.await.unwrap(), Ok(numbered(2)));
}

#[tokio::test]
async fn a_link_closed_within_a_reply_fails_the_call_as_possibly_handled() {
    let full_length = encode_reply(CallId(1), 1).len();
    for length in 0..full_length {
        let (link, mut peer) = link_with_peer().await;
        let calling = tokio::spawn(async move { link.call(numbered(1), CALL_TIMEOUT).await });
        let call = peer.next_call().await;
        peer.send(&encode_reply(call, 1)[..length]).await;
        drop(peer);
        assert_eq!(calling.await.unwrap(), Err(CallError::LinkClosed), "truncated at {length}");
    }
}

/// A sequence of replies, with duplicates and replies to unknown calls.
#[derive(Clone, Debug)]
struct Script {
    calls: usize,
    /// Indexes of the calls in the order of the replies; an index may be repeated or missing.
    order: Vec<usize>,
    unknown: Vec<u64>,
}

fn scripts() -> impl Strategy<Value = Script> {
    (1_usize..8).prop_flat_map(|calls| {
        let order = prop::collection::vec(0..calls, 0..16);
        let unknown = prop::collection::vec(1_000_u64..2_000, 0..3);
        (order, unknown).prop_map(move |(order, unknown)| Script { calls, order, unknown })
    })
}

#[test]
fn replies_reordered_duplicated_or_unrequested_reach_their_own_callers() {
    for seed in 0..3 {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
        TestRunner::new_with_rng(config, rng)
            .run(&scripts(), |script| {
                let runtime = Builder::new_current_thread().enable_all().build().unwrap();
                runtime.block_on(run_script(script))
            })
            .unwrap();
    }
}

async fn run_script(script: Script) -> Result<(), TestCaseError> {
    let (link, mut peer) = link_with_peer().await;
    let (mut callers, mut calls) = (Vec::new(), Vec::new());
    for index in 0..script.calls {
        let link = link.clone();
        callers.push(tokio::spawn(async move { link.call(numbered(index as u32), CALL_TIMEOUT).await }));
        calls.push(peer.next_call().await);
    }
    for unknown in &script.unknown {
        peer.send(&encode_reply(CallId(*unknown), 77)).await;
    }
    for index in &script.order {
        peer.send(&encode_reply(calls[*index], *index as u32)).await;
    }
    drop(peer);
    for (index, caller) in callers.into_iter().enumerate() {
        let has_reply = script.order.contains(&index);
        let expected = if has_reply { Ok(numbered(index as u32)) } else { Err(CallError::LinkClosed) };
        let result = caller.await.unwrap();
        if result != expected {
            return Err(TestCaseError::fail(format!("call {index}: {result:?}")));
        }
    }
    Ok(())
}
