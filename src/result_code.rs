//! Numbered result codes: what a caller or an operator is told, in one table.

use std::fmt;

/// Whether the target ran a request that ended with a code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// It did not run, for certain.
    No,
    /// It ran, wholly or in part.
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
        /// The outcome of a request, a setting or an operator's call.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum ResultCode {
            $($(#[$doc])* $name = $number,)*
        }

        impl ResultCode {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// The code's number, as sent in `x-scaleford-code`.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// The code's name.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// The HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Whether a request that ended with the code ran.
            pub fn ran(self) -> Ran {
                match self { $(Self::$name => Ran::$ran,)* }
            }

            /// The code with this number.
            pub fn from_number(n: i64) -> Option<Self> {
                Self::ALL.iter().copied().find(|c| i64::from(c.number()) == n)
            }
        }
    };
}

result_codes! {
    /// Settings are missing or out of range.
    BadSettings = 1001, 500, No, "bad_settings";
    /// An address could not be listened on.
    CannotListen = 1002, 500, No, "cannot_listen";
    /// The body is not JSON, or not of the expected shape.
    BadJson = 2001, 400, No, "bad_json";
    /// The request names no model.
    MissingModel = 2002, 400, No, "missing_model";
    /// No accepted configuration serves the model.
    UnknownModel = 2003, 404, No, "unknown_model";
    /// No accepted configuration has the service or the path.
    UnknownService = 2004, 404, No, "unknown_service";
    /// The path or the method is not one of ours.
    UnknownPath = 2005, 404, No, "unknown_path";
    /// No bearer key, or one that no account has.
    WrongKey = 2006, 401, No, "wrong_key";
    /// The body is above the limit.
    BodyTooLarge = 2007, 413, No, "body_too_large";
    /// The body did not arrive in time.
    SlowSender = 2008, 408, No, "slow_sender";
    /// An unrepeatable call came without an `Idempotency-Key`.
    MissingIdempotencyKey = 2010, 400, No, "missing_idempotency_key";
    /// The account's rate or concurrency limit is reached.
    AccountLimit = 3001, 429, No, "account_limit";
    /// The router has as many requests in progress as it may.
    RouterFull = 3002, 503, No, "router_full";
    /// Every target of the pool is at its bound.
    Overloaded = 3003, 503, No, "overloaded";
    /// The router has no configuration yet.
    NoConfig = 3008, 503, No, "no_config";
    /// What the router knows of the configuration is too old to trust a key by it.
    ConfigTooOld = 3009, 503, No, "config_too_old";
    /// Targets ended under the request; it is held back from others.
    HeldBack = 3010, 503, No, "held_back";
    /// The router is stopping and takes no new work.
    Draining = 3005, 503, No, "draining";
    /// No target that serves this can be reached.
    NoTarget = 4001, 503, No, "no_target";
    /// The target refused the request and said that it did not run.
    TargetRefused = 4002, 503, No, "target_refused";
    /// The target's connection ended before an answer; it may have run.
    OutcomeUnknown = 4003, 502, Unknown, "outcome_unknown";
    /// The answer began and was cut off.
    Incomplete = 4004, 502, Yes, "incomplete";
    /// The deadline passed after the request was sent.
    TargetTimeout = 4005, 504, Unknown, "target_timeout";
    /// The caller left; the target was told to stop.
    CallerGone = 4006, 499, Unknown, "caller_gone";
    /// The claim of an unrepeatable call could not be kept, so it was not sent.
    ClaimStoreDown = 5001, 503, No, "claim_store_down";
    /// The same call is still running.
    StillRunning = 5002, 409, Unknown, "still_running";
    /// The same call ran before; its outcome is told, it is not run again.
    AlreadyRan = 5003, 409, Yes, "already_ran";
    /// The same call was sent before and its outcome is not known.
    EarlierUnknown = 5004, 409, Unknown, "earlier_unknown";
    /// An operator's token is missing or wrong.
    WrongToken = 6001, 401, No, "wrong_token";
    /// An intent is not valid; the detail names the field.
    BadIntent = 6002, 400, No, "bad_intent";
    /// The configuration changed under a plan in a way that matters.
    PlanOutdated = 6003, 409, No, "plan_outdated";
    /// Whether the change was accepted is not known yet.
    ChangeUnknown = 6004, 202, Unknown, "change_unknown";
    /// The platform's key-value service does not answer; nothing was changed.
    StoreDown = 6005, 503, No, "store_down";
    /// There is no such plan, change or request.
    NotFound = 6006, 404, No, "not_found";
    /// The store holds an older or other history than this router has in force.
    StoreReverted = 6007, 500, No, "store_reverted";
    /// Something that should not happen did.
    Internal = 9001, 500, Unknown, "internal";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
