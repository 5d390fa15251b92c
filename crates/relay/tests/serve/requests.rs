//! Requests of clients: how they are read, and clients that keep others out.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::stand_in::{Client, Rig, request};

#[test]
fn what_cannot_be_read_is_answered_and_the_connection_closed() {
    let rig = Rig::start();
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
        let mut client = rig.client();
        client.write(bytes.as_bytes());
        assert_eq!(client.answer().0, status, "{bytes:.120}");
        assert!(client.is_closed(), "{bytes:.120}");
    }
    let mut client = rig.client();
    client.write(b"DELETE /ready HTTP/1.1\r\n\r\n");
    assert_eq!(client.answer().0, 405);
    client.write(b"GET /elsewhere HTTP/1.1\r\n\r\n");
    assert_eq!(client.answer().0, 404);
    assert_eq!(client.hand_in("safe", "sound", "", b""), 202);
    assert_eq!(rig.endpoint.next().id(), "sound");
}

#[test]
fn requests_in_chunks_in_pieces_and_two_at_a_time_are_read() {
    let rig = Rig::start();
    let mut client = rig.client();
    let head = "POST /safe HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 9000\r\nEnvelope: dest=7\r\n";
    client.write(format!("{head}Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes());
    assert_eq!(client.answer().0, 100);
    client.write(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: z\r\n\r\n");
    assert_eq!(client.answer().0, 202);
    assert_eq!(&*rig.endpoint.next().body, b"abcde");
    let two = [request("safe", "2", "", 9_000, b"two"), request("safe", "3", "", 9_000, b"three")].concat();
    let (first, rest) = two.split_at(two.len() / 3);
    client.write(first);
    client.write(rest);
    assert_eq!((client.answer().0, client.answer().0), (202, 202));
    // Handed in again under an id that is held, as after a broken connection: taken on once.
    assert_eq!(rig.client().hand_in("safe", "3", "", b"three"), 202);
    let mut bodies = [rig.endpoint.next().body, rig.endpoint.next().body];
    bodies.sort();
    assert_eq!(bodies, [b"three".to_vec(), b"two".to_vec()]);
    assert_eq!(rig.client().hand_in("safe", "4", "", b""), 202);
    assert_eq!(rig.endpoint.next().id(), "4");
}

#[test]
fn clients_that_send_nothing_or_half_a_request_keep_nobody_out_and_are_closed_soon() {
    let rig = Rig::with(|config| config["limits"]["sockets"] = json!(64));
    let half = request("safe", "half", "", 9_000, b"x");
    let mut slow: Vec<Client> = (0..40).map(|_| rig.client()).collect();
    slow.iter_mut().for_each(|client| client.write(&half[..half.len() - 1]));
    assert_eq!(rig.client().hand_in("safe", "1", "", b""), 202);
    let since = Instant::now();
    let mut silent = rig.client();
    let mut last = rig.client();
    last.write(&half[..half.len() - 1]);
    assert!(silent.is_closed());
    assert_eq!(last.answer().0, 408);
    // It takes 2 s; the rest is for a machine that is busy.
    assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
}

#[test]
fn more_clients_than_descriptors_are_served_in_turn() {
    let rig = Rig::with(|config| config["limits"]["sockets"] = json!(64));
    let mut clients: Vec<Client> = Vec::new();
    for count in 0..40 {
        let mut client = rig.client();
        assert_eq!(client.hand_in("safe", &count.to_string(), "", b""), 202);
        clients.push(client);
    }
    // The first made room for the later ones.
    assert!(clients[0].is_closed());
}
