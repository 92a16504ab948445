//! What the operators' own configuration comes to: routes, keys and targets as they are served.

use std::time::Duration;

use super::{
    ClientAccount, FleetConfig, Model, Serves, Service, Target, TargetIntent,
    serving::{
        CallKind, CallerLimits, EngineSpec, KeyHolder, Route, ServiceSpec, ServingConfig,
        StreamRepeats,
    },
};
use crate::{
    discovery::{TargetRecord, TargetState},
    ids::{ClientAccountId, ModelName, Revision, ServiceName},
    limits::AccountLimits,
    units::{ConfigVersion, Rank, StoreRevision, Tokens, Weight},
};

/// What the path of a plain service's calls begins with; the service's name follows.
pub const SERVICE_PREFIX: &str = "/services/";

/// What routes of models begin with; no caller sends such a path, as chats name their model within
/// their body.
const MODEL_PREFIX: &str = "model ";

/// Targets that one call may be sent to: the second choice also fails now and then.
const ATTEMPTS: u32 = 3;

/// Calls that a target of the usual weight is taken to work on at once: what engines of the users'
/// sheets batch.
const USUAL_SLOTS: u32 = 64;

/// Tokens of memory that an engine is taken to have: about that of the users' sheets.
const USUAL_MEMORY: u64 = 400_000;

/// Tokens that an answer is expected to have where neither the caller nor the model says.
const USUAL_ANSWER: Tokens = Tokens(256);

/// Bounds of the callers' side that settings give, not the configuration.
#[derive(Debug, Clone, Copy)]
pub struct CallerRules {
    /// What callers may send.
    pub limits: CallerLimits,
    /// How long a chat may take.
    pub chat_timeout: Duration,
    /// How long a target may be silent within an answer.
    pub longest_silence: Duration,
}

/// The path by which the route of a model's chats is found.
pub(crate) fn chat_path(model: &ModelName, streamed: bool) -> String {
    let answer = if streamed { "streamed" } else { "whole" };
    format!("{MODEL_PREFIX}{model} {answer}")
}

/// The configuration as calls see it.
pub fn serving(config: &FleetConfig, revision: Revision, rules: &CallerRules) -> ServingConfig {
    let mut serving = ServingConfig::new(
        StoreRevision::first_era(revision.0),
        ConfigVersion(revision.0),
        rules.limits,
    );
    serving.keyed = true;
    for (id, account) in &config.accounts {
        add_keys(&mut serving, id, account);
    }
    for (name, model) in &config.models {
        add_model(&mut serving, name, model, rules);
    }
    for (name, service) in &config.services {
        add_service(&mut serving, name, service, rules);
    }
    serving
}

/// The targets as calls see them.
pub fn targets(config: &FleetConfig) -> Vec<TargetRecord> {
    let record = |(id, target): (&_, &Target)| TargetRecord {
        id: Clone::clone(id),
        service: target.serves.pool(),
        address: target.address,
        data_hall: target.data_hall.clone(),
        slots: slots(target.weight),
        most_tokens: target.capacity_tokens,
        state: match target.intent {
            TargetIntent::Serve => TargetState::Ready,
            TargetIntent::Leave => TargetState::Leaving,
        },
        cold_for: Duration::ZERO,
    };
    config.targets.iter().map(record).collect()
}

fn slots(weight: Weight) -> u32 {
    (USUAL_SLOTS * weight.get() / Weight::USUAL.get()).max(1)
}

fn add_keys(serving: &mut ServingConfig, id: &ClientAccountId, account: &ClientAccount) {
    let holder = KeyHolder {
        account: id.clone(),
        rank: Some(account.priority.rank()),
        limits: Some(AccountLimits {
            requests_per_s: account.requests_per_s,
            concurrency: account.concurrency,
        }),
    };
    for key in &account.key_hashes {
        serving.add_key(key.clone(), holder.clone());
    }
}

fn add_model(serving: &mut ServingConfig, name: &ModelName, model: &Model, rules: &CallerRules) {
    let pool = Serves::Model(name.clone()).pool();
    let usual_answer = match model.usual_answer_tokens {
        0 => USUAL_ANSWER,
        n => Tokens(n.into()),
    };
    let spec = ServiceSpec {
        max_conns: u32::MAX,
        warm_up: None,
        engine: Some(EngineSpec {
            slots: USUAL_SLOTS,
            memory_tokens: USUAL_MEMORY,
            moves: false,
            usual_answer: Some(usual_answer),
        }),
    };
    serving.add_service(pool.clone(), spec);
    let kinds = [
        (CallKind::Stream(StreamRepeats::UntilFirstEvent), true),
        (CallKind::Safe, false),
    ];
    for (kind, streamed) in kinds {
        serving.add_route(Route {
            name: pool.to_string(),
            path_prefix: chat_path(name, streamed),
            kind,
            timeout: rules.chat_timeout,
            goal: rules.chat_timeout,
            longest_silence: rules.longest_silence,
            max_attempts: ATTEMPTS,
            split: vec![(pool.clone(), 1)],
            ..Route::default()
        });
    }
}

fn add_service(
    serving: &mut ServingConfig,
    name: &ServiceName,
    service: &Service,
    rules: &CallerRules,
) {
    let pool = Serves::Service(name.clone()).pool();
    let spec = ServiceSpec {
        max_conns: u32::MAX,
        warm_up: None,
        engine: None,
    };
    serving.add_service(pool.clone(), spec);
    let hidden_prefix = format!("{SERVICE_PREFIX}{name}");
    let timeout = Duration::from_millis(service.timeout_ms);
    let usual = Route {
        name: pool.to_string(),
        path_prefix: format!("{hidden_prefix}/"),
        hidden_prefix: hidden_prefix.clone(),
        kind: CallKind::Safe,
        timeout,
        goal: timeout,
        longest_silence: rules.longest_silence,
        max_attempts: ATTEMPTS,
        rank: Rank(1),
        split: vec![(pool, 1)],
        ..Route::default()
    };
    for rule in &service.unrepeatable {
        serving.add_route(Route {
            path_prefix: format!("{hidden_prefix}{}", rule.path_prefix),
            method: rule.method.parse().ok(),
            kind: CallKind::Unsafe,
            claimed: true,
            rank: Rank(0),
            ..usual.clone()
        });
    }
    serving.add_route(usual);
}
