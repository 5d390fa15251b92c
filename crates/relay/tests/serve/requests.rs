//! Requests from clients: parsing, and clients that exhaust the connection limit.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::harness::{RelayHarness, TestClient, submission};

#[test]
fn a_malformed_request_is_answered_and_its_connection_closed() {
    let harness = RelayHarness::start();
    let head = "POST /safe HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 9000\r\n";
    let long = "x".repeat(70_000);
    for (bytes, status) in [
        ("\0\u{1}\u{2} nonsense\r\n\r\n".to_owned(), 400),
        ("POST /safe HTTP/9.9\r\n\r\n".to_owned(), 400),
        (format!("{head}Envelope: dest=7\r\nContent-Length: -1\r\n\r\n"), 400),
        (format!("{head}Envelope: dest=7\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"), 400),
        (format!("{head}Envelope: dest=7\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), 400),
        (format!("{head}Envelope: dest=7\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), 400),
        (format!("{head}Envelope: dest=7\r\nTransfer-Encoding: gzip\r\n\r\n"), 501),
        (format!("{head}Envelope: dest=7\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"), 501),
        (format!("{head}Envelope: dest=7\r\nContent-Length: 70000\r\n\r\n"), 413),
        (format!("{head}X: {long}"), 431),
        (format!("{head}Envelope: dest=seven\r\n\r\n"), 400),
        (format!("{head}\r\n"), 400),
        ("POST /safe HTTP/1.1\r\nEnvelope: dest=7\r\nRequest-Id: 1\r\n\r\n".to_owned(), 400),
        (
            "POST /unheard-of HTTP/1.1\r\nEnvelope: dest=7\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 9\r\n\r\n"
                .to_owned(),
            400,
        ),
    ] {
        let mut client = harness.connect_client();
        client.write(bytes.as_bytes());
        assert_eq!(client.read_response().0, status, "{bytes:.120}");
        assert!(client.is_closed(), "{bytes:.120}");
    }
    let mut client = harness.connect_client();
    client.write(b"DELETE /ready HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_response().0, 405);
    client.write(b"GET /elsewhere HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_response().0, 404);
    assert_eq!(client.submit("safe", "sound", "", b""), 202);
    assert_eq!(harness.endpoint.next_message().id(), "sound");
}

#[test]
fn chunked_split_and_pipelined_requests_are_read() {
    let harness = RelayHarness::start();
    let mut client = harness.connect_client();
    let head = "POST /safe HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 9000\r\nEnvelope: dest=7\r\n";
    client.write(format!("{head}Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes());
    assert_eq!(client.read_response().0, 100);
    client.write(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: z\r\n\r\n");
    assert_eq!(client.read_response().0, 202);
    assert_eq!(&*harness.endpoint.next_message().body, b"abcde");
    let two =
        [submission("safe", "2", "", 9_000, b"two"), submission("safe", "3", "", 9_000, b"three")].concat();
    let (first, rest) = two.split_at(two.len() / 3);
    client.write(first);
    client.write(rest);
    assert_eq!((client.read_response().0, client.read_response().0), (202, 202));
    // The id is submitted again while live, as after a broken connection: the notification is accepted once.
    assert_eq!(harness.connect_client().submit("safe", "3", "", b"three"), 202);
    let mut bodies = [harness.endpoint.next_message().body, harness.endpoint.next_message().body];
    bodies.sort();
    assert_eq!(bodies, [b"three".to_vec(), b"two".to_vec()]);
    assert_eq!(harness.connect_client().submit("safe", "4", "", b""), 202);
    assert_eq!(harness.endpoint.next_message().id(), "4");
}

#[test]
fn silent_and_slow_clients_do_not_block_others_and_are_closed_soon() {
    let harness = RelayHarness::start_with(|config| config["limits"]["sockets"] = json!(64));
    let half = submission("safe", "half", "", 9_000, b"x");
    let mut slow: Vec<TestClient> = (0..40).map(|_| harness.connect_client()).collect();
    slow.iter_mut().for_each(|client| client.write(&half[..half.len() - 1]));
    assert_eq!(harness.connect_client().submit("safe", "1", "", b""), 202);
    let since = Instant::now();
    let mut silent = harness.connect_client();
    let mut last = harness.connect_client();
    last.write(&half[..half.len() - 1]);
    assert!(silent.is_closed());
    assert_eq!(last.read_response().0, 408);
    // The timeout is 2 s; the rest allows for a busy machine.
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
}

#[test]
fn more_clients_than_descriptors_are_served_one_after_another() {
    let harness = RelayHarness::start_with(|config| config["limits"]["sockets"] = json!(64));
    let mut clients: Vec<TestClient> = Vec::new();
    for count in 0..40 {
        let mut client = harness.connect_client();
        assert_eq!(client.submit("safe", &count.to_string(), "", b""), 202);
        clients.push(client);
    }
    // The first connection was evicted to accept later ones.
    assert!(clients[0].is_closed());
}
