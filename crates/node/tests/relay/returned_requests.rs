//! A request that the HTTP library returns as unsent may be sent to another endpoint even if it is not idempotent. That
//! relies on no byte of it having been written, which is tested here.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use juniperwing_node::relay::{Connection, ConnectionPool};
use tokio::sync::oneshot;

use crate::support::with_timeout;

/// The number of rounds in which the endpoint's interference races with the next request.
const RACE_ROUNDS: usize = 150;
const FIRST_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
const SURPLUS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno";
const BODY: &str = "the body";
const REQUEST_END: &[u8] = b"\r\n\r\nthe body";

/// What an endpoint does to an idle connection before it reads the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interference {
    Nothing,
    HalfClose,
    Surplus,
    SurplusAndHalfClose,
    PartialSurplus,
}

const ALL_INTERFERENCES: [Interference; 5] = [
    Interference::Nothing,
    Interference::HalfClose,
    Interference::Surplus,
    Interference::SurplusAndHalfClose,
    Interference::PartialSurplus,
];

/// An endpoint on its own thread, which runs even while the test's runtime is blocked.
struct InterferingEndpoint {
    address: SocketAddr,
    start: mpsc::Sender<Interference>,
    done: mpsc::Receiver<()>,
    /// Yields the bytes received after the first request, once the next request or the connection has ended.
    later_bytes: oneshot::Receiver<Vec<u8>>,
}

impl InterferingEndpoint {
    fn start() -> InterferingEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (start, started) = mpsc::channel();
        let (finish, done) = mpsc::channel();
        let (ended, later_bytes) = oneshot::channel();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&mut stream);
            stream.write_all(FIRST_RESPONSE).unwrap();
            interfere(&mut stream, started.recv().unwrap());
            finish.send(()).unwrap();
            ended.send(read_request(&mut stream)).unwrap();
        });
        InterferingEndpoint { address, start, done, later_bytes }
    }
}

/// Reads a request, or the part of it that arrives before the end of the connection.
fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let (mut request, mut byte) = (Vec::new(), [0]);
    // A reset because of unread bytes also ends the connection.
    while !request.ends_with(REQUEST_END) && stream.read_exact(&mut byte).is_ok() {
        request.extend_from_slice(&byte);
    }
    request
}

fn interfere(stream: &mut TcpStream, interference: Interference) {
    // The other end may have closed the connection already.
    let _ = match interference {
        Interference::Nothing => Ok(()),
        Interference::HalfClose => stream.shutdown(Shutdown::Write),
        Interference::Surplus => stream.write_all(SURPLUS),
        Interference::SurplusAndHalfClose => {
            stream.write_all(SURPLUS).and_then(|()| stream.shutdown(Shutdown::Write))
        }
        Interference::PartialSurplus => stream.write_all(&SURPLUS[..7]),
    };
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/second").header("Host", "h.example").body(Full::from(BODY)).unwrap()
}

async fn first_exchange(address: SocketAddr) -> Connection {
    let pool = ConnectionPool::new(8);
    let mut connection = pool.connect(address, Duration::from_secs(5)).await.unwrap();
    let response = with_timeout(connection.sender.send_request(request())).await.unwrap();
    with_timeout(response.into_body().collect()).await.unwrap();
    with_timeout(connection.sender.ready()).await.unwrap();
    connection
}

/// When the second request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendTime {
    /// After the interference has reached the socket, but before the library polls it.
    BeforePoll,
    /// After the library has detected the interference.
    AfterDetection,
    /// Concurrently with the interference.
    Concurrent,
}

/// Whether the second request was returned as unsent.
async fn is_returned_unsent(interference: Interference, send_time: SendTime) -> bool {
    let endpoint = InterferingEndpoint::start();
    let mut connection = first_exchange(endpoint.address).await;
    endpoint.start.send(interference).unwrap();
    if send_time != SendTime::Concurrent {
        // Blocks the only thread of the runtime, so that the connection is not polled meanwhile.
        endpoint.done.recv().unwrap();
    }
    while send_time == SendTime::AfterDetection && !connection.sender.is_closed() {
        tokio::task::yield_now().await;
    }
    let sent = with_timeout(connection.sender.try_send_request(request())).await;
    let is_returned = sent.is_err_and(|mut error| error.take_message().is_some());
    drop(connection);
    let later_bytes = with_timeout(endpoint.later_bytes).await.unwrap();
    assert!(
        !is_returned || later_bytes.is_empty(),
        "{interference:?} {send_time:?}: {:?}",
        String::from_utf8_lossy(&later_bytes)
    );
    is_returned
}

#[tokio::test]
async fn a_request_on_a_connection_seen_closed_is_returned_unsent() {
    for interference in &ALL_INTERFERENCES[1..] {
        assert!(
            with_timeout(is_returned_unsent(*interference, SendTime::AfterDetection)).await,
            "{interference:?}"
        );
    }
}

#[tokio::test]
async fn no_byte_of_a_returned_request_was_written() {
    for interference in ALL_INTERFERENCES {
        // Whether the request is returned depends on when the runtime polls. If it is, nothing may have been written,
        // which
        // `is_returned_unsent` asserts.
        if interference != Interference::Nothing {
            with_timeout(is_returned_unsent(interference, SendTime::BeforePoll)).await;
        }
    }
    for round in 0..RACE_ROUNDS {
        let interference = ALL_INTERFERENCES[1 + round % (ALL_INTERFERENCES.len() - 1)];
        with_timeout(is_returned_unsent(interference, SendTime::Concurrent)).await;
    }
}

#[tokio::test]
async fn a_request_on_a_dropped_connection_is_returned_unsent() {
    let endpoint = InterferingEndpoint::start();
    let mut connection = first_exchange(endpoint.address).await;
    endpoint.start.send(Interference::Nothing).unwrap();
    let sending = connection.sender.try_send_request(request());
    // The task of the connection ends without being polled again.
    drop(connection);
    let mut error = with_timeout(sending).await.unwrap_err();
    assert!(error.take_message().is_some());
    assert!(with_timeout(endpoint.later_bytes).await.unwrap().is_empty());
}
