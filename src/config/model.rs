//! The operators' configuration: client accounts, models, services and targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ClientAccountId, DataHall, ModelName, Region, ServiceName, TargetId},
    units::{Priority, Tokens, Weight},
};

/// The complete configuration of the fleet at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Accounts that may send requests.
    #[serde(default)]
    pub accounts: BTreeMap<ClientAccountId, ClientAccount>,
    /// The models that are served.
    #[serde(default)]
    pub models: BTreeMap<ModelName, Model>,
    /// The plain services that are served.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Model engines and runners that serve the models and services.
    #[serde(default)]
    pub targets: BTreeMap<TargetId, Target>,
    /// Data halls whose targets receive no requests.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuated: BTreeSet<DataHall>,
}

/// A customer or tenant, with its keys, priority and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Hashes of the bearer keys that the account may use.
    pub key_hashes: Vec<KeyHash>,
    /// The priority of its requests, unless a request asks for a lower one.
    #[serde(default)]
    pub priority: Priority,
    /// Maximum rate over the whole fleet, in requests per second.
    pub requests_per_s: u32,
    /// Maximum number of requests in progress over the whole fleet.
    pub concurrency: u32,
}

/// A model that engines serve.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Expected length of a response in tokens if the caller sets no limit; 0 selects the default.
    #[serde(default)]
    pub usual_answer_tokens: u32,
}

/// A plain service, whose requests are forwarded to runners.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Rules for requests that must not be repeated. A request is not repeated if any rule matches it.
    #[serde(default)]
    pub unrepeatable: Vec<RouteRule>,
    /// Maximum duration of a request, in milliseconds.
    pub timeout_ms: u64,
}

/// Matches requests of a service by method and path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// The HTTP method, in capitals.
    pub method: String,
    /// Prefix of the path that follows the service's name.
    pub path_prefix: String,
}

/// A model engine or a runner of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Region in which it runs.
    pub region: Region,
    /// Data hall in which it runs.
    pub data_hall: DataHall,
    /// Model or service that it serves.
    pub serves: Serves,
    /// Capacity relative to the other targets of its pool.
    #[serde(default)]
    pub weight: Weight,
    /// Maximum number of tokens in progress; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity_tokens: Option<Tokens>,
    /// Whether it receives new requests.
    #[serde(default)]
    pub intent: TargetIntent,
}

/// The pool that a target belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// The engines of a model.
    Model(ModelName),
    /// The runners of a plain service.
    Service(ServiceName),
}

impl Serves {
    /// Returns the pool's name, which is unique among models and services.
    pub fn pool(&self) -> ServiceName {
        match self {
            Self::Model(name) => ServiceName::pool_name("model", name.as_str()),
            Self::Service(name) => ServiceName::pool_name("service", name.as_str()),
        }
    }
}

impl fmt::Display for Serves {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.pool())
    }
}

/// State that operators request for a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetIntent {
    /// It receives requests.
    #[default]
    Serve,
    /// It receives no new requests and finishes those in progress.
    Leave,
}

/// Hash of a bearer key. The key itself is never stored.
///
/// Hashes can be compared in variable time: a caller can't choose the hash of the key that it sends, so
/// the duration of a comparison reveals nothing about a stored key.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Computes the hash of a key.
    pub fn of(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

impl TryFrom<String> for KeyHash {
    type Error = String;

    fn try_from(s: String) -> Result<Self, String> {
        let bytes = hex::decode(&s).map_err(|e| format!("key hash: {e}"))?;
        let hash = bytes
            .try_into()
            .map_err(|_| "key hash: expected 32 bytes".to_owned())?;
        Ok(Self(hash))
    }
}

impl From<KeyHash> for String {
    fn from(k: KeyHash) -> String {
        hex::encode(k.0)
    }
}

/// One step of a change, which replaces or removes a complete object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Edit {
    /// Adds or replaces a client account.
    PutAccount {
        /// Id of the account.
        id: ClientAccountId,
        /// The complete account.
        account: ClientAccount,
    },
    /// Removes a client account.
    RemoveAccount {
        /// Id of the account.
        id: ClientAccountId,
    },
    /// Adds or replaces a model.
    PutModel {
        /// Name of the model.
        id: ModelName,
        /// The complete model.
        model: Model,
    },
    /// Removes a model.
    RemoveModel {
        /// Name of the model.
        id: ModelName,
    },
    /// Adds or replaces a service.
    PutService {
        /// Name of the service.
        id: ServiceName,
        /// The complete service.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        id: ServiceName,
    },
    /// Adds or replaces a target.
    PutTarget {
        /// Id of the target.
        id: TargetId,
        /// The complete target.
        target: Target,
    },
    /// Removes a target.
    RemoveTarget {
        /// Id of the target.
        id: TargetId,
    },
    /// Stops all new requests to the targets of a data hall.
    EvacuateDataHall {
        /// Name of the data hall.
        id: DataHall,
    },
    /// Ends the evacuation of a data hall.
    TakeDataHallBack {
        /// Name of the data hall.
        id: DataHall,
    },
}

impl Edit {
    /// Returns the object that the edit changes, as `kind/name`.
    pub fn subject(&self) -> String {
        match self {
            Self::PutAccount { id, .. } | Self::RemoveAccount { id } => format!("account/{id}"),
            Self::PutModel { id, .. } | Self::RemoveModel { id } => format!("model/{id}"),
            Self::PutService { id, .. } | Self::RemoveService { id } => format!("service/{id}"),
            Self::PutTarget { id, .. } | Self::RemoveTarget { id } => format!("target/{id}"),
            Self::EvacuateDataHall { id } | Self::TakeDataHallBack { id } => {
                format!("data_hall/{id}")
            }
        }
    }
}

impl FleetConfig {
    /// Applies one edit.
    pub fn apply(&mut self, edit: &Edit) {
        match edit.clone() {
            Edit::PutAccount { id, account } => {
                self.accounts.insert(id, account);
            }
            Edit::RemoveAccount { id } => {
                self.accounts.remove(&id);
            }
            Edit::PutModel { id, model } => {
                self.models.insert(id, model);
            }
            Edit::RemoveModel { id } => {
                self.models.remove(&id);
            }
            Edit::PutService { id, service } => {
                self.services.insert(id, service);
            }
            Edit::RemoveService { id } => {
                self.services.remove(&id);
            }
            Edit::PutTarget { id, target } => {
                self.targets.insert(id, target);
            }
            Edit::RemoveTarget { id } => {
                self.targets.remove(&id);
            }
            Edit::EvacuateDataHall { id } => {
                self.evacuated.insert(id);
            }
            Edit::TakeDataHallBack { id } => {
                self.evacuated.remove(&id);
            }
        }
    }

    /// Returns the targets of a pool that may receive new requests.
    pub fn serving_targets<'a>(
        &'a self,
        pool: &'a Serves,
    ) -> impl Iterator<Item = (&'a TargetId, &'a Target)> {
        self.targets
            .iter()
            .filter(move |(_, t)| t.serves == *pool && t.intent == TargetIntent::Serve)
    }

    /// Returns every dangling reference and every value out of range, each as path and reason.
    pub fn validation_errors(&self) -> Vec<String> {
        let dangling = self.targets.iter().filter_map(|(id, t)| match &t.serves {
            Serves::Model(m) if !self.models.contains_key(m) => {
                Some(format!("targets.{id}.serves.model: no model {m}"))
            }
            Serves::Service(s) if !self.services.contains_key(s) => {
                Some(format!("targets.{id}.serves.service: no service {s}"))
            }
            _ => None,
        });
        let limits = self
            .accounts
            .iter()
            .flat_map(|(id, a)| account_errors(id, a));
        let timeouts = self
            .services
            .iter()
            .filter_map(|(id, s)| match s.timeout_ms {
                1..=3_600_000 => None,
                ms => Some(format!("services.{id}.timeout_ms: {ms}")),
            });
        dangling.chain(limits).chain(timeouts).collect()
    }
}

fn account_errors(id: &ClientAccountId, account: &ClientAccount) -> Vec<String> {
    let checks = [
        (account.requests_per_s == 0, "requests_per_s: 0"),
        (account.concurrency == 0, "concurrency: 0"),
        (account.key_hashes.is_empty(), "key_hashes: none"),
    ];
    let failed = checks.into_iter().filter(|(is_wrong, _)| *is_wrong);
    failed
        .map(|(_, what)| format!("accounts.{id}.{what}"))
        .collect()
}
