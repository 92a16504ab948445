//! Splitting of a stream into complete events, each returned once.

use proptest::prelude::*;
use scaleford::event_stream::EventSplitter;

proptest! {
    /// However the bytes are cut, the same complete events are returned, and never a part of one.
    #[test]
    fn events_come_out_whole_however_they_are_cut(cuts in prop::collection::vec(1_usize..40, 1..60)) {
        let events: Vec<String> = (1..30).map(|i| format!("id: {i}\ndata: piece {i}\n\n")).collect();
        let whole = events.concat();
        let mut splitter = EventSplitter::default();
        let mut seen = Vec::new();
        let mut rest = whole.as_bytes();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let n = (*cuts.next().unwrap()).min(rest.len());
            splitter.push(&rest[..n]);
            rest = &rest[n..];
            while let Some(event) = splitter.next_event().unwrap() {
                seen.push((event.id, String::from_utf8(event.bytes.to_vec()).unwrap()));
            }
        }
        let expected: Vec<_> = (1..30_u64).map(Some).zip(events).collect();
        prop_assert_eq!(seen, expected);
        prop_assert!(!splitter.has_incomplete_event());
    }
}

#[test]
fn a_piece_of_an_event_is_kept_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b");
    assert_eq!(splitter.next_event().unwrap().unwrap().id, Some(1));
    assert_eq!(splitter.next_event().unwrap(), None);
    assert!(splitter.has_incomplete_event());
}
