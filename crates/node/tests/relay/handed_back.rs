//! A request that the HTTP library hands back as not sent may be sent elsewhere, also if it may run only once: no
//! byte of it has reached the endpoint.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use juniperwing_node::relay::{Connection, ConnectionPool};
use tokio::sync::oneshot;

use crate::support::soon;

/// Rounds in which the endpoint's doing and the next request race.
const RACES: usize = 150;
const FIRST_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
const SURPLUS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno";
const BODY: &str = "the body";
const REQUEST_END: &[u8] = b"\r\n\r\nthe body";

/// What an endpoint does to a kept connection before it reads on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interference {
    Nothing,
    HalfClose,
    Surplus,
    SurplusAndHalfClose,
    PartOfSurplus,
}

const ALL: [Interference; 5] = [
    Interference::Nothing,
    Interference::HalfClose,
    Interference::Surplus,
    Interference::SurplusAndHalfClose,
    Interference::PartOfSurplus,
];

/// An endpoint on a thread of its own, which goes on while the relay's runtime stands still.
struct Interferer {
    address: SocketAddr,
    start: mpsc::Sender<Interference>,
    done: mpsc::Receiver<()>,
    /// The bytes that came behind the first request, once the connection has ended.
    later: oneshot::Receiver<Vec<u8>>,
}

impl Interferer {
    fn start() -> Interferer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (start, started) = mpsc::channel();
        let (finish, done) = mpsc::channel();
        let (ended, later) = oneshot::channel();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            read_request(&mut stream);
            stream.write_all(FIRST_ANSWER).unwrap();
            interfere(&mut stream, started.recv().unwrap());
            finish.send(()).unwrap();
            ended.send(read_request(&mut stream)).unwrap();
        });
        Interferer { address, start, done, later }
    }
}

/// Reads a request, or as much of one as comes before the end of the connection.
fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let (mut request, mut byte) = (Vec::new(), [0]);
    // A reset for what the other end left unread is an end as well.
    while !request.ends_with(REQUEST_END) && stream.read_exact(&mut byte).is_ok() {
        request.extend_from_slice(&byte);
    }
    request
}

fn interfere(stream: &mut TcpStream, interference: Interference) {
    // The other end may be gone already.
    let _ = match interference {
        Interference::Nothing => Ok(()),
        Interference::HalfClose => stream.shutdown(Shutdown::Write),
        Interference::Surplus => stream.write_all(SURPLUS),
        Interference::SurplusAndHalfClose => {
            stream.write_all(SURPLUS).and_then(|()| stream.shutdown(Shutdown::Write))
        }
        Interference::PartOfSurplus => stream.write_all(&SURPLUS[..7]),
    };
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/second").header("Host", "h.example").body(Full::from(BODY)).unwrap()
}

async fn first_exchange(address: SocketAddr) -> Connection {
    let pool = ConnectionPool::new(8);
    let mut connection = pool.connect(address, Duration::from_secs(5)).await.unwrap();
    let answer = soon(connection.sender.send_request(request())).await.unwrap();
    soon(answer.into_body().collect()).await.unwrap();
    soon(connection.sender.ready()).await.unwrap();
    connection
}

/// When the second request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// What the endpoint did lies at the socket, and nobody has looked.
    BeforeItIsSeen,
    /// The library has seen it.
    OnceItIsSeen,
    /// At the same time.
    Racing,
}

/// Whether the second request was handed back.
async fn is_handed_back(interference: Interference, moment: Moment) -> bool {
    let endpoint = Interferer::start();
    let mut connection = first_exchange(endpoint.address).await;
    endpoint.start.send(interference).unwrap();
    if moment != Moment::Racing {
        // Blocks the only thread of the runtime: the connection is not polled meanwhile.
        endpoint.done.recv().unwrap();
    }
    while moment == Moment::OnceItIsSeen && !connection.sender.is_closed() {
        tokio::task::yield_now().await;
    }
    let sent = soon(connection.sender.try_send_request(request())).await;
    let handed_back = sent.is_err_and(|mut error| error.take_message().is_some());
    drop(connection);
    let later = soon(endpoint.later).await.unwrap();
    assert!(
        !handed_back || later.is_empty(),
        "{interference:?} {moment:?}: {:?}",
        String::from_utf8_lossy(&later)
    );
    handed_back
}

#[tokio::test]
async fn what_an_endpoint_did_before_is_seen_and_the_request_is_handed_back_unsent() {
    for interference in &ALL[1..] {
        assert!(soon(is_handed_back(*interference, Moment::OnceItIsSeen)).await, "{interference:?}");
    }
}

#[tokio::test]
async fn of_a_request_that_is_handed_back_no_byte_was_written_whenever_the_endpoint_interferes() {
    for interference in ALL {
        // Whether it is handed back here depends on when the runtime looks; that nothing was written, must not.
        if interference != Interference::Nothing {
            soon(is_handed_back(interference, Moment::BeforeItIsSeen)).await;
        }
    }
    for round in 0..RACES {
        let interference = ALL[1 + round % (ALL.len() - 1)];
        soon(is_handed_back(interference, Moment::Racing)).await;
    }
}

#[tokio::test]
async fn a_request_whose_connection_ends_before_it_is_taken_up_is_handed_back_unsent() {
    let endpoint = Interferer::start();
    let mut connection = first_exchange(endpoint.address).await;
    endpoint.start.send(Interference::Nothing).unwrap();
    let sending = connection.sender.try_send_request(request());
    // The task of the connection ends without having been polled again.
    drop(connection);
    let mut error = soon(sending).await.unwrap_err();
    assert!(error.take_message().is_some());
    assert!(soon(endpoint.later).await.unwrap().is_empty());
}
