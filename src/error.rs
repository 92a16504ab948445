//! The library's error type and its formatting for people.

use std::io::{self, Write};

use crate::{ResultCode, settings::InvalidSetting};

/// An error that does not belong to a single request.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// Settings are missing or invalid; lists all of them.
    #[error("{} missing or invalid settings", .0.len())]
    Settings(Vec<InvalidSetting>),
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A peer, a target or the platform sent a message that could not be decoded.
    #[error("protocol: {0}")]
    Protocol(String),
    /// An operation on a socket or a file failed.
    #[error("i/o: {0}")]
    Io(#[from] io::Error),
    /// The platform's metadata store did not answer.
    #[error("platform: {0}")]
    Platform(String),
    /// Any other error that has a result code.
    #[error("{code}: {detail}")]
    Coded {
        /// Result code of the error.
        code: ResultCode,
        /// Description of the error in a sentence.
        detail: String,
    },
}

/// A result with this library's error type.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Returns the result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Settings(_) => ResultCode::BadSettings,
            Self::Listen { .. } => ResultCode::CannotListen,
            Self::Coded { code, .. } => *code,
            Self::Platform(_) => ResultCode::StoreDown,
            _ => ResultCode::Internal,
        }
    }

    /// Returns the exit status of a program that terminates with this error.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            _ => 1,
        }
    }

    /// Writes the error in readable form, with one line for each invalid setting.
    pub fn write_to(&self, out: &mut impl Write) -> io::Result<()> {
        match self {
            Self::Settings(faults) => faults.iter().try_for_each(|f| writeln!(out, "{f}")),
            other => writeln!(out, "error {}: {other}", other.code()),
        }
    }
}
