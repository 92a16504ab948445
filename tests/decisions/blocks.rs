//! Bytes that are kept in blocks.

use proptest::prelude::*;
use scaleford::blocks::{BLOCK_BYTES, Blocks};

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
