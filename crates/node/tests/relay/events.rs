//! Server-sent events are parsed the same regardless of how their bytes are split into chunks.

use juniperwing_node::relay::{Event, EventSplitter, MAX_EVENT_BYTES};
use proptest::prelude::*;

fn split(text: &[u8], boundaries: &[usize]) -> (Vec<Event>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let (mut events, mut from) = (Vec::new(), 0);
    for boundary in boundaries.iter().copied().chain([text.len()]) {
        let boundary = boundary.clamp(from, text.len());
        events.extend(splitter.push(&text[from..boundary]).unwrap());
        from = boundary;
    }
    (events, splitter.take_remainder().to_vec())
}

#[test]
fn ids_and_data_are_parsed_from_complete_events() {
    let (events, rest) = split(b"version: 3\nid: 7\ndata: a\ndata:b\r\n\r\n:note\n\ndata: c", &[]);
    assert_eq!(events.len(), 2);
    assert_eq!(events[0].id.as_deref(), Some(&b"7"[..]));
    assert_eq!(events[0].data.as_deref(), Some(&b"a\nb"[..]));
    assert_eq!((events[1].id.clone(), events[1].data.clone()), (None, None));
    assert_eq!(rest, b"data: c");
}

#[test]
fn an_oversized_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    let line = vec![b'x'; MAX_EVENT_BYTES / 2];
    assert!(splitter.push(&line).is_ok());
    assert!(splitter.push(&line).is_ok());
    assert!(splitter.push(b"x").is_err());
}

proptest! {
    #[test]
    fn chunk_boundaries_make_no_difference(
        text in "(id: [0-9]{1,3}|data: ?[a-z]{0,5}|:|x)?(\n|\r\n)([a-z:\n\r ]|\n\n|\r\n\r\n){0,60}",
        mut boundaries in prop::collection::vec(0_usize..80, 0..6),
    ) {
        boundaries.sort_unstable();
        let expected = split(text.as_bytes(), &[]);
        prop_assert_eq!(&split(text.as_bytes(), &boundaries), &expected);
        let mut joined: Vec<u8> = expected.0.iter().flat_map(|event| event.raw.to_vec()).collect();
        joined.extend_from_slice(&expected.1);
        prop_assert_eq!(joined, text.as_bytes());
    }
}
