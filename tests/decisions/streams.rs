//! Splitting of a stream into complete events, each returned once.

use proptest::prelude::*;
use rstest::rstest;
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

#[rstest]
#[case::comment(": ping\n\n", true)]
#[case::blank_line("\n\n", true)]
#[case::unknown_field("idx: 1\n\n", true)]
#[case::data("data: x\n\n", false)]
#[case::data_without_value("data\r\n\r\n", false)]
#[case::id("id:7\n\n", false)]
#[case::comment_before_data(": ping\ndata: x\n\n", false)]
fn what_callers_ignore_is_a_comment(#[case] sent: &str, #[case] is_comment: bool) {
    let mut splitter = EventSplitter::default();
    splitter.push(sent.as_bytes());
    let event = splitter.next_event().unwrap().unwrap();
    assert_eq!(
        (event.is_comment, &event.bytes[..]),
        (is_comment, sent.as_bytes())
    );
}

/// Guards against comments without end, each of which is small.
#[test]
fn comments_count_toward_the_size_of_the_next_event() {
    let comments = ": ping\n\n".repeat(1 << 10);
    let mut splitter = EventSplitter::default();
    let mut read_all = |sent: &str| {
        splitter.push(sent.as_bytes());
        let mut next = || splitter.next_event();
        std::iter::from_fn(|| next().transpose()).collect::<Result<Vec<_>, _>>()
    };
    for _ in 0..2 {
        (0..100).for_each(|_| drop(read_all(&comments).unwrap()));
        assert_eq!(read_all("data: x\n\n").unwrap().len(), 1);
    }
    assert!((0..129).any(|_| read_all(&comments).is_err()));
}
