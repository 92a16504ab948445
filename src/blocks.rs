//! Bytes that arrive in pieces of any size, kept in blocks.
//!
//! A piece that is kept as it arrived takes an entry of its own, and keeps the whole buffer alive that it was read
//! into. With pieces of a few bytes, that is many times their size. So pieces are copied into blocks, which take at
//! most twice what they hold, and a block.

use std::{collections::VecDeque, mem};

use bytes::{Bytes, BytesMut};

/// Maximum size of a block, in bytes.
pub const BLOCK_BYTES: usize = 16 << 10;

/// Bytes in blocks, from the first to the last.
#[derive(Debug, Default)]
pub struct Blocks {
    /// Blocks of the maximum size.
    full: VecDeque<Bytes>,
    /// Block that further bytes are added to.
    last: BytesMut,
}

impl Blocks {
    /// Appends a piece.
    pub fn push(&mut self, mut piece: &[u8]) {
        while !piece.is_empty() {
            let room = BLOCK_BYTES - self.last.len();
            let (head, rest) = piece.split_at(piece.len().min(room));
            self.last.extend_from_slice(head);
            if self.last.len() == BLOCK_BYTES {
                self.full.push_back(mem::take(&mut self.last).freeze());
            }
            piece = rest;
        }
    }

    /// Removes the first block, which may not be full if it is the last one.
    pub fn pop(&mut self) -> Option<Bytes> {
        let last = (!self.last.is_empty()).then_some(&mut self.last);
        (self.full.pop_front()).or_else(|| last.map(|last| mem::take(last).freeze()))
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.full.len() * BLOCK_BYTES + self.last.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.full.is_empty() && self.last.is_empty()
    }

    /// Joins all blocks.
    pub fn into_bytes(mut self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len());
        // Each block is released before the next one is copied.
        while let Some(block) = self.pop() {
            whole.extend_from_slice(&block);
        }
        whole.freeze()
    }
}
