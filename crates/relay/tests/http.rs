//! Parsing of HTTP/1.1 messages: complete, incomplete and mutated ones.

use std::collections::BTreeSet;

use juniperwing_relay::http::{
    expects_continue, final_status, has_final_response_begun, parse_request, parse_response,
};

const REQUESTS: [&[u8]; 3] = [
    b"POST /a/b?key=k HTTP/1.1\r\nHost: r\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: z\r\n\r\n",
    b"GET /ready HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
];
const RESPONSES: [&[u8]; 3] = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
];

/// A message is complete at its last byte and not before, and the bytes after it are not consumed.
#[test]
fn a_message_is_complete_with_its_last_byte() {
    for bytes in REQUESTS {
        let with_next = [bytes, b"GET"].concat();
        assert!((0..bytes.len()).all(|end| matches!(parse_request(&bytes[..end]), Ok(None))));
        assert_eq!(
            parse_request(&with_next).expect("a valid message").expect("a complete message").1,
            bytes.len()
        );
    }
    for bytes in RESPONSES {
        let with_next = [bytes, b"HTTP"].concat();
        assert!((0..bytes.len()).all(|end| matches!(parse_response(&bytes[..end], false), Ok(None))));
        assert_eq!(
            parse_response(&with_next, false).expect("a valid message").expect("a complete message").1,
            bytes.len()
        );
    }
    let (response, _) = parse_response(b"HTTP/1.1 200 OK\r\n\r\nto the end", true)
        .expect("a valid message")
        .expect("a complete message");
    assert_eq!((&*response.body, response.is_keep_alive), (&b"to the end"[..], false));
    assert_eq!(final_status(b"HTTP/1.1 200 OK\r\nContent-Le"), Some(200));
    assert_eq!(final_status(b"HTTP/1.1 200 OK"), None);
    // A long delay may follow an interim response, so the final response does not begin with it.
    let interim = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n";
    assert!(!has_final_response_begun(&interim[..27]) && has_final_response_begun(&interim[..28]));
    assert_eq!(final_status(interim), Some(200));
}

/// For any input, parsing returns a message, requests more bytes, or returns the status of the error.
#[test]
fn any_input_is_parsed_or_rejected_with_a_status() {
    let (mut rng_state, mut statuses) = (7u64, BTreeSet::new());
    let mut random_below = |below: usize| {
        rng_state = 4_294_957_665 * (rng_state & 0xffff_ffff) + (rng_state >> 32);
        rng_state as u32 as usize % below
    };
    for case in 0..60_000 {
        let messages = if case % 2 == 0 { REQUESTS } else { RESPONSES };
        let mut bytes = messages[random_below(3)].to_vec();
        for _ in 0..=random_below(4) {
            let index = random_below(bytes.len());
            match random_below(4) {
                0 => bytes[index] = random_below(256) as u8,
                1 => drop(bytes.remove(index)),
                2 => bytes.insert(index, b"\r\n:0f;, \xff"[random_below(9)]),
                _ => bytes.extend_from_within(index..),
            }
        }
        final_status(&bytes);
        expects_continue(&bytes);
        let errors = [
            parse_request(&bytes).err(),
            parse_response(&bytes, false).err(),
            parse_response(&bytes, true).err(),
        ];
        statuses.extend(errors.into_iter().flatten().map(|error| error.status));
    }
    assert_eq!(statuses.into_iter().collect::<Vec<_>>(), [400, 501]);
}
