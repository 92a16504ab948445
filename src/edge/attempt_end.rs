//! How attempts end. Code matches on the type; its text is for logs, metrics and error messages only.

use std::{
    error::Error,
    fmt,
    io::{self, ErrorKind},
};

use crate::{health::Outcome, placement::choice::PlacementError};

/// How one attempt ended, or why none could be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The target sent its complete answer.
    Answered,
    /// The target answered with an error of its own.
    TargetError,
    /// The attempt was dropped before it ended, for example because the caller left.
    Abandoned,
    /// Another attempt of the call began its answer first.
    Superseded,
    /// The call's deadline passed before the attempt was sent.
    NoTimeLeft,
    /// This router stops, and the call can't be expected to end before.
    Stopping,
    /// No target is left that the call has not tried.
    NoTarget,
    /// All targets had their maximum number of calls in progress.
    AllFull,
    /// All targets that might have had free capacity were cold.
    AllCold,
    /// All targets are in data halls that are being evacuated.
    AllEvacuated,
    /// The stream has begun, and no target of the version that began it is left.
    VersionGone,
    /// All targets have announced that they are leaving.
    AllLeaving,
    /// All targets have asked for no calls for a while, or are leaving.
    AllBackedOff,
    /// The target announced that it accepts no calls while a connection to it was being opened.
    Withdrawn,
    /// The request is quarantined, because targets crashed while they ran it.
    Quarantined,
    /// This router has its maximum number of connections to the target.
    ConnectionsAtLimit,
    /// The target refused a connection.
    ConnectionRefused,
    /// The target did not accept a connection in time, or the network path to it is broken.
    Unreachable,
    /// No slot of the brittle target is free.
    NoSlot,
    /// Neither this router nor the peers that it asked have a network path to the target.
    NoPath,
    /// The connection closed before the call was written to it.
    ClosedBeforeSend,
    /// The connection closed before the head of an answer arrived.
    ConnectionBroke,
    /// The call's deadline passed before the answer was complete.
    DeadlineExceeded,
    /// The target sent nothing for longer than the timeout, and another attempt took its place or no time was
    /// left.
    Silent,
    /// The answer carries the id of another call.
    AnswerToAnotherCall,
    /// Another target has the address now, and refused the call.
    AnotherTarget,
    /// The target refused the call and stated that it did not run it.
    Refused,
    /// A success response without the target's signature, or one with an encoded body.
    UnverifiedAnswer,
    /// The body of the answer ended before it was complete.
    AnswerTruncated,
    /// The answer is larger than the maximum size.
    AnswerTooLarge,
    /// The target sent bytes that are no answer.
    AnswerMalformed,
    /// The target sent too many informational heads before the head of an answer.
    NoFinalHead,
    /// The answers that the router holds have reached their bound, and this one had not begun for its caller.
    NoRoomForAnswer,
    /// The stream ended in the middle of an event.
    EventTruncated,
    /// An event, with the comments before it, was larger than the maximum size.
    EventTooLarge,
    /// The stream of another target does not continue after the last event that the caller has.
    NotContinued,
}

impl AttemptEnd {
    /// Returns the end of an attempt whose answer broke off with an error of the HTTP library: bytes that are no
    /// answer, or `broken`.
    pub(crate) fn of_error(e: &hyper::Error, broken: Self) -> Self {
        let source = e.source().and_then(|e| e.downcast_ref::<io::Error>());
        let is_invalid = source
            .is_some_and(|e| matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::InvalidInput));
        match e.is_parse() || is_invalid {
            true => Self::AnswerMalformed,
            false => broken,
        }
    }

    /// Returns the name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::TargetError => "target's error",
            Self::Abandoned => "abandoned",
            Self::Superseded => "superseded",
            Self::NoTimeLeft => "no time left",
            Self::Stopping => "stopping",
            Self::NoTarget => "no target left",
            Self::AllFull => "all targets full",
            Self::AllCold => "all targets cold",
            Self::AllEvacuated => "all targets evacuated",
            Self::VersionGone => "no target of its version left",
            Self::AllLeaving => "all targets leave",
            Self::AllBackedOff => "all targets back off",
            Self::Withdrawn => "target withdrew",
            Self::Quarantined => "held back",
            Self::ConnectionsAtLimit => "connections at limit",
            Self::ConnectionRefused => "connection refused",
            Self::Unreachable => "unreachable",
            Self::NoSlot => "no slot",
            Self::NoPath => "no path",
            Self::ClosedBeforeSend => "connection closed before",
            Self::ConnectionBroke => "connection broke",
            Self::DeadlineExceeded => "time is up",
            Self::Silent => "silent",
            Self::AnswerToAnotherCall => "answer to another call",
            Self::AnotherTarget => "another target there",
            Self::Refused => "refused",
            Self::UnverifiedAnswer => "not the target's answer",
            Self::AnswerTruncated => "answer broke off",
            Self::AnswerTooLarge => "answer too large",
            Self::AnswerMalformed => "malformed answer",
            Self::NoFinalHead => "too many informational heads",
            Self::NoRoomForAnswer => "no room for the answer",
            Self::EventTruncated => "event cut off",
            Self::EventTooLarge => "event too large",
            Self::NotContinued => "does not go on where it broke off",
        }
    }

    /// Returns whether the attempt broke off in a way that a crash of the target causes.
    pub(crate) fn is_break(self) -> bool {
        matches!(
            self,
            Self::ConnectionBroke | Self::AnswerTruncated | Self::EventTruncated
        )
    }

    /// Returns whether the target sent an answer, be it a success or an error, and thus survived the call.
    pub(crate) fn is_answer(self) -> bool {
        matches!(self, Self::Answered | Self::TargetError)
    }

    /// Returns the outcome for the target's health; `None` if it does not indicate the health.
    pub(crate) fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Answered => Some(Outcome::Good),
            Self::TargetError => Some(Outcome::Error),
            Self::ConnectionsAtLimit | Self::Refused => Some(Outcome::Full),
            Self::Abandoned
            | Self::Superseded
            | Self::NoTimeLeft
            | Self::Stopping
            | Self::NoTarget
            | Self::AllFull
            | Self::AllCold
            | Self::AllEvacuated
            | Self::VersionGone
            | Self::AllLeaving
            | Self::AllBackedOff
            | Self::Withdrawn
            | Self::NoSlot
            | Self::NoPath
            | Self::Quarantined => None,
            Self::ConnectionRefused
            | Self::Unreachable
            | Self::ClosedBeforeSend
            | Self::ConnectionBroke
            | Self::DeadlineExceeded
            | Self::Silent
            | Self::AnswerToAnotherCall
            | Self::AnotherTarget
            | Self::UnverifiedAnswer
            | Self::AnswerTruncated
            | Self::AnswerTooLarge
            | Self::AnswerMalformed
            | Self::NoFinalHead
            | Self::NoRoomForAnswer
            | Self::EventTruncated
            | Self::EventTooLarge
            | Self::NotContinued => Some(Outcome::Broken),
        }
    }
}

impl From<PlacementError> for AttemptEnd {
    fn from(e: PlacementError) -> Self {
        match e {
            PlacementError::NoTarget => Self::NoTarget,
            PlacementError::AllFull => Self::AllFull,
            PlacementError::AllCold => Self::AllCold,
            PlacementError::AllEvacuated => Self::AllEvacuated,
            PlacementError::VersionGone => Self::VersionGone,
            PlacementError::AllLeaving => Self::AllLeaving,
            PlacementError::AllBackedOff { .. } => Self::AllBackedOff,
        }
    }
}

impl fmt::Display for AttemptEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
