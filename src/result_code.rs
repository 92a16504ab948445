//! Table of the numbered result codes that callers and operators receive.

use std::fmt;

/// Whether the target ran a request that ended with a result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// It did certainly not run.
    No,
    /// It ran, completely or in part.
    Yes,
    /// It may have run.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        })
    }
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $ran:ident, $text:literal;)*) => {
        /// Outcome of a caller's request, of reading the settings or of an operator's request.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum ResultCode {
            $($(#[$doc])* $name = $number,)*
        }

        impl ResultCode {
            /// All codes, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the code's number, which is sent in the header `x-scaleford-code`.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Returns the code's name.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the HTTP status of responses with the code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether a request that ended with the code ran.
            pub fn ran(self) -> Ran {
                match self { $(Self::$name => Ran::$ran,)* }
            }

            /// Returns the code with this number.
            pub fn from_number(n: i64) -> Option<Self> {
                Self::ALL.iter().copied().find(|c| i64::from(c.number()) == n)
            }
        }
    };
}

result_codes! {
    /// Settings are missing or out of range.
    BadSettings = 1001, 500, No, "bad_settings";
    /// Listening on an address failed.
    CannotListen = 1002, 500, No, "cannot_listen";
    /// The body is not JSON, or not of the expected shape.
    BadJson = 2001, 400, No, "bad_json";
    /// The request names no model.
    MissingModel = 2002, 400, No, "missing_model";
    /// No accepted configuration serves the model.
    UnknownModel = 2003, 404, No, "unknown_model";
    /// No accepted configuration has the service or the path.
    UnknownService = 2004, 404, No, "unknown_service";
    /// The router does not serve the path or the method.
    UnknownPath = 2005, 404, No, "unknown_path";
    /// The request has no bearer key, or one that belongs to no account.
    WrongKey = 2006, 401, No, "wrong_key";
    /// The body exceeds the size limit.
    BodyTooLarge = 2007, 413, No, "body_too_large";
    /// The body did not arrive in time.
    SlowSender = 2008, 408, No, "slow_sender";
    /// An unrepeatable request has no `Idempotency-Key`.
    MissingIdempotencyKey = 2010, 400, No, "missing_idempotency_key";
    /// The number of the last event that the caller has can't be read.
    BadEventId = 2011, 400, No, "bad_event_id";
    /// The account's rate or concurrency limit is reached.
    AccountLimit = 3001, 429, No, "account_limit";
    /// The router's limit of concurrent requests is reached.
    RouterFull = 3002, 503, No, "router_full";
    /// Every target of the pool is at its load limit.
    Overloaded = 3003, 503, No, "overloaded";
    /// The router has no configuration yet.
    NoConfig = 3008, 503, No, "no_config";
    /// The router's configuration was confirmed too long ago to accept keys.
    ConfigTooOld = 3009, 503, No, "config_too_old";
    /// Targets crashed while they ran the request, which is quarantined to protect the other targets.
    HeldBack = 3010, 503, No, "held_back";
    /// The stream can't go on: no target of the software version that began it is left, or that version is
    /// not known.
    StreamNotContinued = 3011, 503, No, "stream_not_continued";
    /// The router is stopping and accepts no new requests.
    Draining = 3005, 503, No, "draining";
    /// No target that serves this can be reached.
    NoTarget = 4001, 503, No, "no_target";
    /// The target rejected the request and reported that it did not run.
    TargetRefused = 4002, 503, No, "target_refused";
    /// The connection to the target closed before a response; the request may have run.
    OutcomeUnknown = 4003, 502, Unknown, "outcome_unknown";
    /// The response started and was interrupted.
    Incomplete = 4004, 502, Yes, "incomplete";
    /// The deadline passed after the request was sent.
    TargetTimeout = 4005, 504, Unknown, "target_timeout";
    /// The caller disconnected, and the target was asked to cancel the request.
    CallerGone = 4006, 499, Unknown, "caller_gone";
    /// The caller did not read its response in time and was given up; the target was asked to cancel the
    /// request.
    AnswerNotRead = 4007, 499, Unknown, "answer_not_read";
    /// The claim of an unrepeatable request could not be stored, so the request was not sent.
    ClaimStoreDown = 5001, 503, No, "claim_store_down";
    /// The same request is still running.
    StillRunning = 5002, 409, Unknown, "still_running";
    /// The same request ran before; its outcome is returned, and it is not run again.
    AlreadyRan = 5003, 409, Yes, "already_ran";
    /// The same request was sent before, and its outcome is unknown.
    EarlierUnknown = 5004, 409, Unknown, "earlier_unknown";
    /// An operator's token is missing or wrong.
    WrongToken = 6001, 401, No, "wrong_token";
    /// An intent is not valid; the detail names the field.
    BadIntent = 6002, 400, No, "bad_intent";
    /// The configuration changed after the plan was made in a way that conflicts with it.
    PlanOutdated = 6003, 409, No, "plan_outdated";
    /// It is not yet known whether the change was accepted.
    ChangeUnknown = 6004, 202, Unknown, "change_unknown";
    /// The platform's key-value service does not answer; nothing was changed.
    StoreDown = 6005, 503, No, "store_down";
    /// The plan, change or request does not exist.
    NotFound = 6006, 404, No, "not_found";
    /// The store holds an older or a different history than the one in force at this router.
    StoreReverted = 6007, 500, No, "store_reverted";
    /// An internal error occurred.
    Internal = 9001, 500, Unknown, "internal";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
