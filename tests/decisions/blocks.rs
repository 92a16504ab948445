//! Bytes that are kept in blocks, and bodies of a bounded size.

use std::convert::Infallible;

use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use proptest::prelude::*;
use rstest::rstest;
use scaleford::{
    blocks::{BLOCK_BYTES, Blocks},
    bounded_body::{BodyError, read_whole},
};

proptest! {
    /// Guards against bytes that are lost, repeated or out of order between blocks.
    #[test]
    fn blocks_hold_what_was_appended(pieces in prop::collection::vec(0_usize..3 * BLOCK_BYTES, 0..12), popped in 0_usize..4) {
        let bytes: Vec<u8> = (0..pieces.iter().sum()).map(|i: usize| (i % 251) as u8).collect();
        let (mut blocks, mut rest) = (Blocks::default(), &bytes[..]);
        for n in pieces {
            blocks.push(&rest[..n]);
            rest = &rest[n..];
        }
        prop_assert_eq!((blocks.len(), blocks.is_empty()), (bytes.len(), bytes.is_empty()));
        let mut read = Vec::new();
        for _ in 0..popped {
            read.extend_from_slice(&blocks.pop().unwrap_or_default());
        }
        read.extend_from_slice(&blocks.into_bytes());
        prop_assert_eq!(read, bytes);
    }
}

#[rstest]
#[case::empty("", Some(""))]
#[case::at_the_maximum("1234", Some("1234"))]
#[case::above_it("12345", None)]
fn a_body_is_read_up_to_its_maximum_size(#[case] body: &'static str, #[case] read: Option<&str>) {
    let whole = read_whole(Full::new(Bytes::from(body)), 4);
    let whole = whole.now_or_never().unwrap();
    assert_eq!(whole.ok().as_deref(), read.map(str::as_bytes));
}

/// Guards against a body without end that is read for ever.
#[test]
fn a_body_without_end_is_given_up() {
    let frames = stream::repeat(Bytes::from("abcd")).map(|b| Ok::<_, Infallible>(Frame::data(b)));
    let read = read_whole(StreamBody::new(frames).boxed_unsync(), 1 << 20);
    let read = read.now_or_never().unwrap();
    assert!(matches!(read, Err(BodyError::TooLarge(max)) if max == 1 << 20));
}
