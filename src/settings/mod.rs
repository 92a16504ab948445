//! The daemon's settings: flags and environment variables, resolved once and checked at start.

mod values;

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

pub use values::{List, LogLevel, Millis, OperatorToken, OtlpEndpoint, RevokeBound, Secret};

use crate::{
    Error, Result, ResultCode,
    admission::warm_up::ColdRule,
    config::{routes::CallerRules, serving::CallerLimits},
    edge::{GatewayConfig, Rules},
    ids::{DataHall, Region, VmId},
    membership::{datagram::Strength, readers::FleetStart},
    retry::BudgetRule,
    units::{ByteCount, LoadBound},
};

/// A fault of one setting, with all that is needed to mend it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The setting, by the names under which it may be given.
    pub setting: String,
    /// The value as it was given, quoted, if any; a secret one is masked.
    pub seen: Option<String>,
    /// What is expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            setting, expected, ..
        } = self;
        let seen = match &self.seen {
            Some(v) => v.as_str(),
            None => "nothing",
        };
        let code = ResultCode::BadSettings;
        write!(
            f,
            "error {code}: {setting}: got {seen}, expected {expected}"
        )
    }
}

/// One setting as it was read: where from, what it says.
pub trait Source {
    /// The value of the setting with this flag name, a flag going before a variable.
    fn value(&self, name: &str) -> Option<String>;
}

macro_rules! settings {
    ($($(#[$doc:meta])* $field:ident: $type:ty = $default:expr, $secret:literal, $expected:literal;)*) => {
        /// Everything that a router is told from outside; resolved once, passed by reference.
        #[derive(Debug, Clone)]
        pub struct Settings {
            $($(#[$doc])* pub $field: $type,)*
        }

        impl Settings {
            /// The names of all settings, as flags without their dashes.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($field)),*];

            /// Reads and checks all settings, and reports every fault at once.
            pub fn resolve(source: &dyn Source) -> Result<Self> {
                let mut faults = Vec::new();
                $(let $field: Option<$type> = take(
                    source, stringify!($field), $default, $secret, $expected, &mut faults,
                );)*
                match ($($field,)*) {
                    ($(Some($field),)*) => Ok(Self { $($field,)* }),
                    _ => Err(Error::Settings(faults)),
                }
            }

            /// The settings in force, one a line, secrets masked.
            pub fn lines(&self) -> Vec<String> {
                vec![$(format!("{}={}", flag_name(stringify!($field)), self.$field)),*]
            }
        }
    };
}

settings! {
    /// The name of this VM.
    vm: VmId = None, false, "the name of this VM";
    /// The region that this VM stands in.
    region: Region = Some("region-1"), false, "a region's name";
    /// The data hall that this VM stands in.
    data_hall: DataHall = Some("hall-1"), false, "a data hall's name";
    /// Where callers connect.
    listen: SocketAddr = None, false, "IP:PORT";
    /// Where peers connect, over TCP and UDP.
    peer_listen: SocketAddr = None, false, "IP:PORT";
    /// Where operators connect.
    operator_listen: SocketAddr = None, false, "IP:PORT";
    /// Whether to listen beyond loopback without TLS.
    allow_plain: bool = Some("false"), false, "true or false";
    /// The platform's metadata store.
    platform: SocketAddr = None, false, "IP:PORT";
    /// Where some other routers listen for peers; where empty, they are found through the store.
    peers: List<SocketAddr> = Some(""), false, "IP:PORT, separated by commas";
    /// The tokens that operators show, each with the operator's name.
    operator_tokens: List<OperatorToken> = None, true, "NAME:TOKEN, separated by commas, TOKEN of 8 characters or more";
    /// How soon a key that was taken away must be refused by every router, also while the store is away.
    revoke_bound: RevokeBound = Some("none"), false, "none, or milliseconds from 1000";
    /// How far above its pool's mean a target may be loaded.
    load_bound: LoadBound = Some("2"), false, "a factor from 1.01 to 10";
    /// The largest body that a caller may send.
    body_limit: ByteCount = Some("4m"), false, "bytes, with k or m behind";
    /// The largest head of a request that a caller may send.
    header_limit: ByteCount = Some("64k"), false, "bytes from 8192, with k or m behind";
    /// How long a caller may take to send its head.
    header_timeout_ms: Millis = Some("10000"), false, "milliseconds";
    /// How long a caller may take to send its body.
    body_timeout_ms: Millis = Some("30000"), false, "milliseconds";
    /// How long a target may be silent while it answers.
    idle_timeout_ms: Millis = Some("60000"), false, "milliseconds";
    /// How long a chat may take.
    request_timeout_ms: Millis = Some("300000"), false, "milliseconds";
    /// How many requests this router takes at once.
    concurrency_limit: usize = Some("20000"), false, "a whole number";
    /// How long a planned stop waits for the balancer to turn away.
    drain_wait_ms: Millis = Some("5000"), false, "milliseconds";
    /// How long a planned stop waits for requests in progress.
    drain_limit_ms: Millis = Some("600000"), false, "milliseconds";
    /// Where counters and histograms are read; nowhere where empty.
    metrics_listen: List<SocketAddr> = Some(""), false, "IP:PORT or nothing";
    /// The OTLP endpoint for spans; none are sent where empty.
    otlp: OtlpEndpoint = Some(""), false, "http://IP:PORT/v1/traces or nothing";
    /// The lowest level that is logged.
    log_level: LogLevel = Some("info"), false, "trace, debug, info, warning, error or critical";
}

/// Decisions that a router keeps for `explain`: those of some thousand calls, a few megabytes.
const EXPLAIN_KEPT: usize = 16_384;

/// The fleet's budget of repeats: a fifth of the calls of ten seconds, and some beyond, as on the
/// users' sites.
const BUDGET: BudgetRule = BudgetRule {
    ratio: 0.2,
    window: Duration::from_secs(10),
    extra: 50.0,
};

/// What a VM is taken to bear, so that all routers of a fleet count as alike.
const STRENGTH: (f64, f64) = (1_000.0, 1.0);

impl Settings {
    /// What a gateway is told, for the product's own interface.
    pub fn gateway(&self) -> GatewayConfig {
        let drain = self.drain_wait_ms.duration() + self.drain_limit_ms.duration();
        GatewayConfig {
            vm: self.vm.clone(),
            region: Some(self.region.clone()),
            data_hall: self.data_hall.clone(),
            strength: Strength::new(STRENGTH.0, STRENGTH.1),
            callers: self.listen,
            ready: None,
            metrics: self.metrics_listen.0.first().copied(),
            operators: Some((self.operator_listen, self.operator_tokens.0.clone())),
            peers: self.peer_listen,
            seeds: self.peers.0.clone(),
            max_connections: self.concurrency_limit,
            max_calls: self.concurrency_limit,
            start: FleetStart::default(),
            own_config: true,
            callers_rules: CallerRules {
                limits: self.caller_limits(),
                chat_timeout: self.request_timeout_ms.duration(),
                longest_silence: self.idle_timeout_ms.duration(),
            },
            explain_kept: EXPLAIN_KEPT,
            rules: Rules {
                revoke_bound: self.revoke_bound.0.map(Millis::duration),
                cap_factor: self.load_bound.factor(),
                budget: BUDGET,
                cold: ColdRule::default(),
                serve_on: self.drain_wait_ms.duration(),
                stop_time: drain,
            },
        }
    }

    fn caller_limits(&self) -> CallerLimits {
        CallerLimits {
            header_bytes: self.header_limit.0,
            body_bytes: self.body_limit.0,
            header_time: self.header_timeout_ms.duration(),
            body_time: self.body_timeout_ms.duration(),
            idle_time: self.idle_timeout_ms.duration(),
        }
    }
}

/// The flag of a setting.
pub fn flag_name(name: &str) -> String {
    format!("--{}", name.replace('_', "-"))
}

/// The environment variable of a setting.
pub fn variable_name(name: &str) -> String {
    format!("SCALEFORD_{}", name.to_uppercase())
}

impl Settings {
    /// Checks what no single setting shows.
    pub fn check(self) -> Result<Self> {
        let listens = [
            ("listen", self.listen),
            ("peer_listen", self.peer_listen),
            ("operator_listen", self.operator_listen),
        ];
        let open = |a: &SocketAddr| !a.ip().is_loopback() && !self.allow_plain;
        let mut faults: Vec<Fault> = listens
            .iter()
            .filter(|(_, a)| open(a))
            .map(|(name, a)| fault(name, Some(a.to_string()), "loopback, or --allow-plain true"))
            .collect();
        if self.header_limit.0 < 8192 {
            let seen = Some(self.header_limit.to_string());
            faults.push(fault("header_limit", seen, "8192 bytes or more"));
        }
        match faults.is_empty() {
            true => Ok(self),
            false => Err(Error::Settings(faults)),
        }
    }
}

fn fault(name: &str, seen: Option<String>, expected: &str) -> Fault {
    Fault {
        setting: format!("{} ({})", flag_name(name), variable_name(name)),
        seen: seen.map(|s| format!("{s:?}")),
        expected: expected.to_owned(),
    }
}

fn take<T: FromStr>(
    source: &dyn Source,
    name: &str,
    default: Option<&str>,
    secret: bool,
    expected: &str,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let given = source.value(name);
    let text = given.as_deref().or(default);
    let parsed = text.and_then(|t| t.parse().ok());
    if parsed.is_none() {
        let seen = given.map(|v| if secret { "***".to_owned() } else { v });
        faults.push(fault(name, seen, expected));
    }
    parsed
}
