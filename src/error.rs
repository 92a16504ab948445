//! The library's error, and the one place that prints it.

use std::io::{self, Write};

use crate::{ResultCode, settings::Fault};

/// What can go wrong outside a single request.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// Settings are missing or out of range; all faults at once.
    #[error("{} settings at fault", .0.len())]
    Settings(Vec<Fault>),
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: std::net::SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A peer, a target or the platform sent what is not understood.
    #[error("protocol: {0}")]
    Protocol(String),
    /// A socket failed.
    #[error("i/o: {0}")]
    Io(#[from] io::Error),
    /// The platform's service did not answer.
    #[error("platform: {0}")]
    Platform(String),
    /// Something else that has a code.
    #[error("{code}: {detail}")]
    Coded {
        /// The code to tell.
        code: ResultCode,
        /// What happened, in a sentence.
        detail: String,
    },
}

/// A result with this library's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// The code that stands for the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Settings(_) => ResultCode::BadSettings,
            Self::Listen { .. } => ResultCode::CannotListen,
            Self::Coded { code, .. } => *code,
            Self::Platform(_) => ResultCode::StoreDown,
            _ => ResultCode::Internal,
        }
    }

    /// Whether a connection was refused.
    pub(crate) fn is_refused(&self) -> bool {
        matches!(self, Self::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// The exit status of a program that ends with the error.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            _ => 1,
        }
    }

    /// Writes the error for a person, a line for each fault.
    pub fn print(&self, out: &mut impl Write) -> io::Result<()> {
        match self {
            Self::Settings(faults) => faults.iter().try_for_each(|f| writeln!(out, "{f}")),
            other => writeln!(out, "error {}: {other}", other.code()),
        }
    }
}
