//! An answer on a link reaches its own caller alone, however late, doubled, out of order or cut it comes, and a call
//! that may have been handled is told apart from one that was not sent.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::link::{CallError, Link, LinkPool, ReplySender, Service};
use juniperwing_protocol::registry::RegistryMessage;
use juniperwing_protocol::{CallId, Envelope, Message};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;

const WITHIN: Duration = Duration::from_secs(10);
/// For calls that are not to be answered in time.
const SHORT: Duration = Duration::from_millis(20);

struct Unasked;

impl Service for Unasked {
    fn handle_message(&self, _: &Link, _: Message, _: ReplySender) {}
}

/// A message that bears a number; answers bear that of their question.
fn numbered(number: u32) -> Message {
    Message::Registry(RegistryMessage::DistributeConfiguration {
        version: Default::default(),
        wait_ms: number,
    })
}

fn answer(call: CallId, number: u32) -> Vec<u8> {
    Envelope { call, is_reply: true, message: numbered(number) }.encode().unwrap()
}

/// The other end of a link, as bytes.
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

async fn linked() -> (Link, Peer) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = LinkPool::new(Arc::new(Unasked));
    let link = pool.link(listener.local_addr().unwrap()).await.unwrap();
    let peer = Peer::accept(&listener).await;
    (link, peer)
}

// Guard: `Link::take` looks the caller up by the call's number, which no two calls of a link share.
#[tokio::test]
async fn a_late_answer_does_not_reach_the_next_call() {
    let (link, mut peer) = linked().await;
    assert_eq!(link.call(numbered(1), SHORT).await, Err(CallError::TimedOut));
    let late = peer.next_call().await;
    let calling = tokio::spawn({
        let link = link.clone();
        async move { link.call(numbered(2), WITHIN).await }
    });
    let due = peer.next_call().await;
    peer.send(&answer(late, 1)).await;
    peer.send(&answer(due, 2)).await;
    assert_eq!(calling.await.unwrap(), Ok(numbered(2)));
}

#[tokio::test]
async fn a_link_that_ends_within_an_answer_has_broken_and_the_call_may_have_been_handled() {
    let whole = answer(CallId(1), 1).len();
    for cut in 0..whole {
        let (link, mut peer) = linked().await;
        let calling = tokio::spawn(async move { link.call(numbered(1), WITHIN).await });
        let call = peer.next_call().await;
        peer.send(&answer(call, 1)[..cut]).await;
        drop(peer);
        assert_eq!(calling.await.unwrap(), Err(CallError::LinkClosed), "cut at {cut}");
    }
}

/// In which order answers come, and which come again or for calls that nobody made.
#[derive(Clone, Debug)]
struct Script {
    calls: usize,
    /// Places of calls, answered in this order; each may be named more than once or never.
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
fn answers_in_any_order_doubled_or_unasked_reach_their_own_callers() {
    for seed in 0..3 {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
        TestRunner::new_with_rng(config, rng)
            .run(&scripts(), |script| {
                let runtime = Builder::new_current_thread().enable_all().build().unwrap();
                runtime.block_on(play(script)).map_err(TestCaseError::fail)
            })
            .unwrap();
    }
}

async fn play(script: Script) -> Result<(), String> {
    let (link, mut peer) = linked().await;
    let (mut callers, mut calls) = (Vec::new(), Vec::new());
    for place in 0..script.calls {
        let link = link.clone();
        callers.push(tokio::spawn(async move { link.call(numbered(place as u32), WITHIN).await }));
        calls.push(peer.next_call().await);
    }
    for unknown in &script.unknown {
        peer.send(&answer(CallId(*unknown), 77)).await;
    }
    for place in &script.order {
        peer.send(&answer(calls[*place], *place as u32)).await;
    }
    drop(peer);
    for (place, caller) in callers.into_iter().enumerate() {
        let answered = script.order.contains(&place);
        let expected = if answered { Ok(numbered(place as u32)) } else { Err(CallError::LinkClosed) };
        let got = caller.await.unwrap();
        if got != expected {
            return Err(format!("call {place}: {got:?}"));
        }
    }
    Ok(())
}
