//! What operators state: client accounts, models, services and targets.

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

/// Everything the fleet is told to do, at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Who may call.
    #[serde(default)]
    pub accounts: BTreeMap<ClientAccountId, ClientAccount>,
    /// The models that are served.
    #[serde(default)]
    pub models: BTreeMap<ModelName, Model>,
    /// The plain services that are served.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// What serves them.
    #[serde(default)]
    pub targets: BTreeMap<TargetId, Target>,
    /// Data halls whose targets get nothing.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuated: BTreeSet<DataHall>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Hashes of the bearer keys that the account may use.
    pub key_hashes: Vec<KeyHash>,
    /// The priority of its requests, unless a request asks for a lower one.
    #[serde(default)]
    pub priority: Priority,
    /// Requests a second over the whole fleet.
    pub requests_per_s: u32,
    /// Requests in progress over the whole fleet.
    pub concurrency: u32,
}

/// A model.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Tokens that an answer is expected to have where the caller sets no limit.
    #[serde(default)]
    pub usual_answer_tokens: u32,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that must not be repeated; the first rule that fits says so.
    #[serde(default)]
    pub unrepeatable: Vec<RouteRule>,
    /// How long a call may take, in milliseconds.
    pub timeout_ms: u64,
}

/// Calls of a service, by method and path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// The HTTP method, in capitals.
    pub method: String,
    /// What the path below the service begins with.
    pub path_prefix: String,
}

/// A model engine or a runner of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// The region it stands in.
    pub region: Region,
    /// The data hall it stands in.
    pub data_hall: DataHall,
    /// What it serves.
    pub serves: Serves,
    /// Its capacity beside the others.
    #[serde(default)]
    pub weight: Weight,
    /// The most tokens that it may have in progress, where it has such a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity_tokens: Option<Tokens>,
    /// What operators want of it.
    #[serde(default)]
    pub intent: TargetIntent,
}

/// The pool that a target belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// A model engine.
    Model(ModelName),
    /// A plain service's runner.
    Service(ServiceName),
}

impl Serves {
    /// The pool's name among all pools.
    pub fn pool(&self) -> ServiceName {
        match self {
            Self::Model(name) => ServiceName::of_pool("model", name.as_str()),
            Self::Service(name) => ServiceName::of_pool("service", name.as_str()),
        }
    }
}

impl fmt::Display for Serves {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.pool())
    }
}

/// What operators want of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetIntent {
    /// It gets work.
    #[default]
    Serve,
    /// It gets no new work and finishes what it has.
    Leave,
}

/// The hash of a key; the key itself is never kept. What is compared is a hash that nobody can
/// choose, so the time of a comparison tells nothing of a key.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// The hash of a key.
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

/// One step of a change: puts a thing whole, or removes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Edit {
    /// Adds or replaces a client account.
    PutAccount {
        /// Its id.
        id: ClientAccountId,
        /// All of it.
        account: ClientAccount,
    },
    /// Takes a client account away.
    RemoveAccount {
        /// Its id.
        id: ClientAccountId,
    },
    /// Adds or replaces a model.
    PutModel {
        /// Its name.
        id: ModelName,
        /// All of it.
        model: Model,
    },
    /// Takes a model away.
    RemoveModel {
        /// Its name.
        id: ModelName,
    },
    /// Adds or replaces a service.
    PutService {
        /// Its name.
        id: ServiceName,
        /// All of it.
        service: Service,
    },
    /// Takes a service away.
    RemoveService {
        /// Its name.
        id: ServiceName,
    },
    /// Adds or replaces a target.
    PutTarget {
        /// Its id.
        id: TargetId,
        /// All of it.
        target: Target,
    },
    /// Takes a target away.
    RemoveTarget {
        /// Its id.
        id: TargetId,
    },
    /// Keeps all new work away from a data hall's targets.
    EvacuateDataHall {
        /// Its name.
        id: DataHall,
    },
    /// Ends that.
    TakeDataHallBack {
        /// Its name.
        id: DataHall,
    },
}

impl Edit {
    /// The thing that the edit touches, as `kind/name`.
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
    /// Carries one edit out.
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

    /// The targets of a pool that may get new work.
    pub fn serving<'a>(
        &'a self,
        pool: &'a Serves,
    ) -> impl Iterator<Item = (&'a TargetId, &'a Target)> {
        self.targets
            .iter()
            .filter(move |(_, t)| t.serves == *pool && t.intent == TargetIntent::Serve)
    }

    /// Every reference that leads nowhere, and every value out of range, as path and reason.
    pub fn faults(&self) -> Vec<String> {
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
            .flat_map(|(id, a)| account_faults(id, a));
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

fn account_faults(id: &ClientAccountId, account: &ClientAccount) -> Vec<String> {
    let checks = [
        (account.requests_per_s == 0, "requests_per_s: 0"),
        (account.concurrency == 0, "concurrency: 0"),
        (account.key_hashes.is_empty(), "key_hashes: none"),
    ];
    let wrong = checks.into_iter().filter(|(is_wrong, _)| *is_wrong);
    wrong
        .map(|(_, what)| format!("accounts.{id}.{what}"))
        .collect()
}
