//! Bytes of a connection that the operating system holds.

use std::{
    io,
    os::fd::{AsFd, AsRawFd},
};

use nix::libc::{TIOCOUTQ, c_int};

nix::ioctl_read_bad!(read_send_queue, TIOCOUTQ, c_int);

/// Returns the number of bytes written to a TCP socket that the other side's system has not acknowledged.
///
/// Fails if the operating system does not report them.
#[allow(unsafe_code)]
pub(super) fn unacked_bytes(socket: impl AsFd) -> io::Result<u64> {
    let mut n: c_int = 0;
    // SAFETY: the descriptor is open while it is borrowed, and the request writes one `int` to `n`.
    unsafe { read_send_queue(socket.as_fd().as_raw_fd(), &raw mut n) }?;
    u64::try_from(n).map_err(|_| io::ErrorKind::InvalidData.into())
}
