//! The daemon's settings: flags and environment variables, resolved once and checked at start.

mod values;

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    str::FromStr,
    time::Duration,
};

pub use values::{List, LogLevel, Millis, OperatorToken, OtlpEndpoint, RevokeBound, Secret};

use crate::{
    Error, Result, ResultCode,
    admission::{shares::ShareScope, warm_up::ColdRule},
    config::{routes::CallerRules, serving::CallerLimits},
    edge::{GatewayConfig, Rules},
    flow::FlowBounds,
    ids::{DataHall, Region, VmId},
    membership::{datagram::Strength, readers::FleetStart},
    retry::BudgetRule,
    units::{ByteCount, LoadBound},
};

/// An invalid or missing setting, with the details needed to correct it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Flag and environment variable of the setting.
    pub setting: String,
    /// Quoted value that was given, with secrets masked; `None` if none was given.
    pub given: Option<String>,
    /// Description of a valid value.
    pub expected: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            setting, expected, ..
        } = self;
        let given = match &self.given {
            Some(v) => v.as_str(),
            None => "nothing",
        };
        let code = ResultCode::BadSettings;
        write!(
            f,
            "error {code}: {setting}: got {given}, expected {expected}"
        )
    }
}

/// Supplies the text values of settings.
pub trait Source {
    /// Returns the value of the setting `name`. A flag takes precedence over an environment variable.
    fn value(&self, name: &str) -> Option<String>;
}

macro_rules! settings {
    ($($(#[$doc:meta])* $field:ident: $type:ty = $default:expr, $secret:literal, $expected:literal;)*) => {
        /// All settings of a router, resolved once at start and passed by reference.
        #[derive(Debug, Clone)]
        pub struct Settings {
            $($(#[$doc])* pub $field: $type,)*
        }

        impl Settings {
            /// Names of all settings, with underscores; `flag_name` returns the flags.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($field)),*];

            /// Reads and checks all settings, and reports all invalid ones at once.
            pub fn resolve(source: &dyn Source) -> Result<Self> {
                let mut faults = Vec::new();
                $(let $field: Option<$type> = parse_setting(
                    source, stringify!($field), $default, $secret, $expected, &mut faults,
                );)*
                match ($($field,)*) {
                    ($(Some($field),)*) => Ok(Self { $($field,)* }),
                    _ => Err(Error::Settings(faults)),
                }
            }

            /// Returns the resolved settings as lines of `FLAG=VALUE`, with secrets masked.
            pub fn lines(&self) -> Vec<String> {
                vec![$(format!("{}={}", flag_name(stringify!($field)), self.$field)),*]
            }
        }
    };
}

settings! {
    /// Name of this VM.
    vm: VmId = None, false, "the name of this VM";
    /// Region of this VM.
    region: Region = Some("region-1"), false, "a region's name";
    /// Data hall of this VM.
    data_hall: DataHall = Some("hall-1"), false, "a data hall's name";
    /// Address on which the router accepts callers.
    listen: SocketAddr = None, false, "IP:PORT";
    /// Address on which the router accepts peers, over TCP and UDP.
    peer_listen: SocketAddr = None, false, "IP:PORT";
    /// Address on which the router accepts operators.
    operator_listen: SocketAddr = None, false, "IP:PORT";
    /// Whether listening without TLS on other addresses than loopback is allowed.
    allow_plain: bool = Some("false"), false, "true or false";
    /// Address of the platform's metadata store.
    platform: SocketAddr = None, false, "IP:PORT";
    /// Peer addresses of some other routers; if empty, routers are discovered through the store.
    peers: List<SocketAddr> = Some(""), false, "IP:PORT, separated by commas";
    /// Tokens by which operators authenticate, each with the operator's name.
    operator_tokens: List<OperatorToken> = None, true, "NAME:TOKEN, separated by commas, TOKEN of 8 characters or more";
    /// Maximum time until every router refuses a revoked key, also while the store is unavailable.
    revoke_bound: RevokeBound = Some("none"), false, "none, or milliseconds from 1000";
    /// Maximum load of a target, as a multiple of its pool's mean.
    load_bound: LoadBound = Some("2"), false, "a factor from 1.01 to 10";
    /// Pools that are divided among callers by demand while they are contended.
    demand_shares: ShareScope = Some("small-pools"), false, "off, small-pools or all-pools";
    /// Maximum size of a request body.
    body_limit: ByteCount = Some("4m"), false, "bytes, optionally with the suffix k or m";
    /// Maximum size of a request head.
    header_limit: ByteCount = Some("64k"), false, "bytes from 8192, optionally with the suffix k or m";
    /// Maximum time to receive a request head.
    header_timeout_ms: Millis = Some("10000"), false, "milliseconds";
    /// Maximum time to receive a request body.
    body_timeout_ms: Millis = Some("30000"), false, "milliseconds";
    /// Maximum pause of a target within a response, and maximum idle time of a caller's connection.
    idle_timeout_ms: Millis = Some("60000"), false, "milliseconds";
    /// Maximum duration of a chat request.
    request_timeout_ms: Millis = Some("300000"), false, "milliseconds";
    /// Maximum number of concurrent requests of this router.
    concurrency_limit: usize = Some("20000"), false, "a whole number";
    /// Address from which connections to targets are opened; the system chooses it if it is empty.
    source_address: List<IpAddr> = Some(""), false, "IP or nothing";
    /// Maximum number of connections of other routers to targets that pass through this one.
    tunnel_limit: usize = Some("1000"), false, "a whole number";
    /// Memory that this router may use; the bounds on held answers and request bodies follow from it.
    memory_limit: ByteCount = Some("1g"), false, "bytes from 16m, optionally with the suffix k, m or g";
    /// Time that a planned stop waits for the load balancer to stop sending requests.
    drain_wait_ms: Millis = Some("5000"), false, "milliseconds";
    /// Maximum time that a planned stop waits for requests in progress.
    drain_limit_ms: Millis = Some("600000"), false, "milliseconds";
    /// Time for which a target that leaves still gets streams that no other target can continue.
    leaving_use_ms: Millis = Some("800"), false, "milliseconds";
    /// Address on which metrics are served; none are served if it is empty.
    metrics_listen: List<SocketAddr> = Some(""), false, "IP:PORT or nothing";
    /// OTLP endpoint to which spans are exported; none are exported if it is empty.
    otlp: OtlpEndpoint = Some(""), false, "http://IP:PORT/v1/traces or nothing";
    /// Minimum level of logged messages.
    log_level: LogLevel = Some("info"), false, "trace, debug, info, warning, error or critical";
}

/// Number of decisions that a router keeps for `explain`: those of several thousand requests, a few
/// megabytes.
const MAX_EXPLAINED_DECISIONS: usize = 16_384;

/// The fleet's retry budget, as on the users' sites: a fifth of the requests of the last ten seconds, plus
/// a constant.
const RETRY_BUDGET: BudgetRule = BudgetRule {
    ratio: 0.2,
    window: Duration::from_secs(10),
    extra: 50.0,
};

/// Assumed link in Mbit/s and share of a CPU core of each VM. All routers of a fleet use the same values, so
/// that all count as equally strong.
const VM_LINK_MBPS_AND_CPU_SHARE: (f64, f64) = (1_000.0, 1.0);

impl Settings {
    /// Returns the configuration of a gateway that serves the product's own operator interface.
    pub fn gateway(&self) -> GatewayConfig {
        let drain = self.drain_wait_ms.duration() + self.drain_limit_ms.duration();
        GatewayConfig {
            vm: self.vm.clone(),
            region: Some(self.region.clone()),
            data_hall: self.data_hall.clone(),
            strength: Strength::new(VM_LINK_MBPS_AND_CPU_SHARE.0, VM_LINK_MBPS_AND_CPU_SHARE.1),
            callers: self.listen,
            ready: None,
            metrics: self.metrics_listen.0.first().copied(),
            operators: Some((self.operator_listen, self.operator_tokens.0.clone())),
            peers: self.peer_listen,
            seeds: self.peers.0.clone(),
            max_connections: self.concurrency_limit,
            max_calls: self.concurrency_limit,
            max_tunnels: self.tunnel_limit,
            memory: self.memory_limit,
            start: FleetStart::default(),
            own_config: true,
            callers_rules: CallerRules {
                limits: self.caller_limits(),
                chat_timeout: self.request_timeout_ms.duration(),
                longest_silence: self.idle_timeout_ms.duration(),
            },
            explain_kept: MAX_EXPLAINED_DECISIONS,
            rules: Rules {
                revoke_bound: self.revoke_bound.0.map(Millis::duration),
                cap_factor: self.load_bound.factor(),
                leaving_use_time: self.leaving_use_ms.duration(),
                budget: RETRY_BUDGET,
                cold: ColdRule::default(),
                shares: self.demand_shares,
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

/// Returns the command-line flag of a setting.
pub fn flag_name(name: &str) -> String {
    format!("--{}", name.replace('_', "-"))
}

/// Returns the environment variable of a setting.
pub fn variable_name(name: &str) -> String {
    format!("SCALEFORD_{}", name.to_uppercase())
}

impl Settings {
    /// Checks constraints that are not part of a single value's syntax.
    pub fn check(self) -> Result<Self> {
        let listens = [
            ("listen", self.listen),
            ("peer_listen", self.peer_listen),
            ("operator_listen", self.operator_listen),
        ];
        let is_exposed = |a: &SocketAddr| !a.ip().is_loopback() && !self.allow_plain;
        let mut faults: Vec<InvalidSetting> = listens
            .iter()
            .filter(|(_, a)| is_exposed(a))
            .map(|(name, a)| {
                invalid_setting(name, Some(a.to_string()), "loopback, or --allow-plain true")
            })
            .collect();
        if self.header_limit.0 < 8192 {
            let given = Some(self.header_limit.to_string());
            faults.push(invalid_setting("header_limit", given, "8192 bytes or more"));
        }
        if self.memory_limit < FlowBounds::MIN_MEMORY {
            let given = Some(self.memory_limit.to_string());
            faults.push(invalid_setting("memory_limit", given, "16m or more"));
        }
        match faults.is_empty() {
            true => Ok(self),
            false => Err(Error::Settings(faults)),
        }
    }
}

fn invalid_setting(name: &str, given: Option<String>, expected: &str) -> InvalidSetting {
    InvalidSetting {
        setting: format!("{} ({})", flag_name(name), variable_name(name)),
        given: given.map(|s| format!("{s:?}")),
        expected: expected.to_owned(),
    }
}

fn parse_setting<T: FromStr>(
    source: &dyn Source,
    name: &str,
    default: Option<&str>,
    secret: bool,
    expected: &str,
    faults: &mut Vec<InvalidSetting>,
) -> Option<T> {
    let given = source.value(name);
    let text = given.as_deref().or(default);
    let parsed = text.and_then(|t| t.parse().ok());
    if parsed.is_none() {
        let seen = given.map(|v| if secret { "***".to_owned() } else { v });
        faults.push(invalid_setting(name, seen, expected));
    }
    parsed
}
