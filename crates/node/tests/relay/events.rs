//! Server-sent events are taken apart alike however their bytes are cut.

use juniperwing_node::relay::{Event, EventSplitter, MAX_EVENT_BYTES};
use proptest::prelude::*;

fn split(text: &[u8], cuts: &[usize]) -> (Vec<Event>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let (mut events, mut from) = (Vec::new(), 0);
    for cut in cuts.iter().copied().chain([text.len()]) {
        let cut = cut.clamp(from, text.len());
        events.extend(splitter.push(&text[from..cut]).unwrap());
        from = cut;
    }
    (events, splitter.take_remainder().to_vec())
}

#[test]
fn ids_and_data_are_read_from_whole_events() {
    let (events, rest) = split(b"version: 3\nid: 7\ndata: a\ndata:b\r\n\r\n:note\n\ndata: c", &[]);
    assert_eq!(events.len(), 2);
    assert_eq!(events[0].id.as_deref(), Some(&b"7"[..]));
    assert_eq!(events[0].data.as_deref(), Some(&b"a\nb"[..]));
    assert_eq!((events[1].id.clone(), events[1].data.clone()), (None, None));
    assert_eq!(rest, b"data: c");
}

#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = EventSplitter::default();
    let line = vec![b'x'; MAX_EVENT_BYTES / 2];
    assert!(splitter.push(&line).is_ok());
    assert!(splitter.push(&line).is_ok());
    assert!(splitter.push(b"x").is_err());
}

proptest! {
    #[test]
    fn cuts_make_no_difference(
        text in "(id: [0-9]{1,3}|data: ?[a-z]{0,5}|:|x)?(\n|\r\n)([a-z:\n\r ]|\n\n|\r\n\r\n){0,60}",
        mut cuts in prop::collection::vec(0_usize..80, 0..6),
    ) {
        cuts.sort_unstable();
        let whole = split(text.as_bytes(), &[]);
        prop_assert_eq!(&split(text.as_bytes(), &cuts), &whole);
        let mut joined: Vec<u8> = whole.0.iter().flat_map(|event| event.raw.to_vec()).collect();
        joined.extend_from_slice(&whole.1);
        prop_assert_eq!(joined, text.as_bytes());
    }
}
