//! Frames of the answers that tunnels carry.

use bytes::{Bytes, BytesMut};
use scaleford::tunnel_frames::{MAX_PIECE_BYTES, TunnelCodec, TunnelFrame};
use tokio_util::codec::{Decoder, Encoder};

fn encoded(frames: &[TunnelFrame]) -> BytesMut {
    let (mut codec, mut buf) = (TunnelCodec::default(), BytesMut::new());
    for frame in frames {
        codec.encode(frame.clone(), &mut buf).unwrap();
    }
    buf
}

/// Returns the frames in some bytes, and whether the connection that ends after them ended in order.
fn decoded(bytes: &[u8]) -> (Vec<TunnelFrame>, bool) {
    let (mut codec, mut buf) = (TunnelCodec::default(), BytesMut::from(bytes));
    let mut frames = Vec::new();
    loop {
        match codec.decode_eof(&mut buf) {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => return (frames, true),
            Err(_) => return (frames, false),
        }
    }
}

fn piece(text: &str) -> TunnelFrame {
    TunnelFrame::Piece(Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn a_tunnel_that_ends_at_any_byte_before_the_end_of_the_answer_does_not_end_in_order() {
    let frames = [piece("first"), piece("second"), TunnelFrame::End];
    let whole = encoded(&frames);
    for n in 0..whole.len() {
        assert!(!decoded(&whole[..n]).1, "cut at {n}");
    }
    assert_eq!(decoded(&whole), (frames.to_vec(), true));
}

#[test]
fn lengths_above_the_maximum_and_bytes_after_the_end_break_a_tunnel() {
    assert_eq!(decoded(&[0xff, 0xff, 1, 2]), (Vec::new(), false));
    let mut bytes = encoded(&[TunnelFrame::End]);
    bytes.extend_from_slice(b"x");
    assert_eq!(decoded(&bytes), (vec![TunnelFrame::End], false));
}

#[test]
fn no_piece_is_sent_that_its_reader_would_take_for_an_end_or_refuse() {
    let mut codec = TunnelCodec::default();
    let mut buf = BytesMut::new();
    let above = TunnelFrame::Piece(vec![0; MAX_PIECE_BYTES + 1].into());
    assert!(codec.encode(above, &mut buf).is_err());
    let empty = TunnelFrame::Piece(Bytes::new());
    assert!(codec.encode(empty, &mut buf).is_err());
    assert!(buf.is_empty());
}
