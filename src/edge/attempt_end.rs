//! How attempts end, as a type that decisions match on; its text is for logs and metrics only.

use std::fmt;

use crate::health::Outcome;

/// How one attempt ended, or why none could be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The target's whole answer came.
    Answered,
    /// The target answered with an error of its own.
    TargetError,
    /// Nobody waited for it any more.
    Abandoned,
    /// The call's time was over before an attempt.
    NoTimeLeft,
    /// No target was left that the call was not sent to.
    NoTarget,
    /// All targets had as many calls as they may.
    AllFull,
    /// All targets that might have had room were cold.
    AllCold,
    /// All targets stood in data halls that are evacuated.
    AllEvacuated,
    /// All targets have said that they leave.
    AllLeaving,
    /// All targets want no calls for a while, or leave.
    AllBackedOff,
    /// The target said, while a connection to it was opened, that it wants no calls.
    Withdrawn,
    /// Targets ended under the same request.
    HeldBack,
    /// This router's connections to the target were all in use.
    ConnectionsAtLimit,
    /// The target refused a connection.
    ConnectionRefused,
    /// The target did not accept a connection.
    Unreachable,
    /// The connection closed before the call was written to it.
    ClosedBefore,
    /// The connection closed before an answer.
    ConnectionBroke,
    /// The call's time was over before the answer was.
    TimeUp,
    /// The target sent nothing for too long.
    Silent,
    /// An answer to another call came.
    AnotherAnswer,
    /// Another target has the address now.
    AnotherTarget,
    /// The target refused the call as not run.
    Refused,
    /// A success without the target's signature, or encoded.
    NotTargetsAnswer,
    /// The body ended before it was complete.
    AnswerBrokeOff,
    /// The stream ended within an event.
    EventCutOff,
    /// An event was larger than any may be.
    EventTooLarge,
    /// Another target's answer does not follow the last event.
    DoesNotFollow,
}

impl AttemptEnd {
    /// Its name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::TargetError => "target's error",
            Self::Abandoned => "abandoned",
            Self::NoTimeLeft => "no time left",
            Self::NoTarget => "no target left",
            Self::AllFull => "all targets full",
            Self::AllCold => "all targets cold",
            Self::AllEvacuated => "all targets evacuated",
            Self::AllLeaving => "all targets leave",
            Self::AllBackedOff => "all targets back off",
            Self::Withdrawn => "target withdrew",
            Self::HeldBack => "held back",
            Self::ConnectionsAtLimit => "connections at limit",
            Self::ConnectionRefused => "connection refused",
            Self::Unreachable => "unreachable",
            Self::ClosedBefore => "connection closed before",
            Self::ConnectionBroke => "connection broke",
            Self::TimeUp => "time is up",
            Self::Silent => "silent",
            Self::AnotherAnswer => "answer to another call",
            Self::AnotherTarget => "another target there",
            Self::Refused => "refused",
            Self::NotTargetsAnswer => "not the target's answer",
            Self::AnswerBrokeOff => "answer broke off",
            Self::EventCutOff => "event cut off",
            Self::EventTooLarge => "event too large",
            Self::DoesNotFollow => "does not go on where it broke off",
        }
    }

    /// Whether it broke off as it does where the target ends under it.
    pub(crate) fn is_break(self) -> bool {
        matches!(
            self,
            Self::ConnectionBroke | Self::AnswerBrokeOff | Self::EventCutOff
        )
    }

    /// Whether the target answered, well or not, and so outlived the call.
    pub(crate) fn is_answer(self) -> bool {
        matches!(self, Self::Answered | Self::TargetError)
    }

    /// What it says of the target's health; `None` where it says nothing.
    pub(crate) fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Answered => Some(Outcome::Good),
            Self::TargetError => Some(Outcome::Error),
            Self::ConnectionsAtLimit | Self::Refused => Some(Outcome::Full),
            Self::Abandoned
            | Self::NoTimeLeft
            | Self::NoTarget
            | Self::AllFull
            | Self::AllCold
            | Self::AllEvacuated
            | Self::AllLeaving
            | Self::AllBackedOff
            | Self::Withdrawn
            | Self::HeldBack => None,
            Self::ConnectionRefused
            | Self::Unreachable
            | Self::ClosedBefore
            | Self::ConnectionBroke
            | Self::TimeUp
            | Self::Silent
            | Self::AnotherAnswer
            | Self::AnotherTarget
            | Self::NotTargetsAnswer
            | Self::AnswerBrokeOff
            | Self::EventCutOff
            | Self::EventTooLarge
            | Self::DoesNotFollow => Some(Outcome::Broken),
        }
    }
}

impl fmt::Display for AttemptEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
