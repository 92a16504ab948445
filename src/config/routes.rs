//! Converts the operators' configuration into the routes, keys and targets that serve requests.

use std::time::Duration;

use super::{
    ClientAccount, FleetConfig, Model, Serves, Service, Target, TargetIntent,
    serving::{
        CallKind, CallerLimits, EngineSpec, KeyOwner, Route, ServiceSpec, ServingConfig,
        StreamRepeats,
    },
};
use crate::{
    discovery::{TargetRecord, TargetState},
    ids::{ClientAccountId, ModelName, Revision, ServiceName, SoftwareVersion},
    limits::AccountLimits,
    units::{ConfigVersion, Rank, StoreRevision, Tokens, Weight},
};

/// Path prefix of requests to plain services; the service's name follows it.
pub const SERVICE_PREFIX: &str = "/services/";

/// Path prefix of routes to models. Callers never send such a path, because a chat names its model in
/// the request body.
const MODEL_PREFIX: &str = "model ";

/// Maximum number of targets that one request is sent to. The second one also fails occasionally.
const MAX_ATTEMPTS: u32 = 3;

/// Assumed number of concurrent requests of a target of the default weight: the batch size of the
/// engines that this fleet is designed for.
const DEFAULT_SLOTS: u32 = 64;

/// Assumed size of an engine's memory in tokens, approximately that of the engines that this fleet is
/// designed for.
const DEFAULT_MEMORY_TOKENS: u64 = 400_000;

/// Expected length of a response if neither the caller nor the model specifies one.
const DEFAULT_RESPONSE: Tokens = Tokens(256);

/// Limits on callers that are given by the settings rather than the configuration.
#[derive(Debug, Clone, Copy)]
pub struct CallerRules {
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Maximum duration of a chat request.
    pub chat_timeout: Duration,
    /// Maximum pause of a target within a response.
    pub longest_silence: Duration,
}

/// Returns the path under which the route of a model's chats is registered.
pub(crate) fn chat_path(model: &ModelName, streamed: bool) -> String {
    let answer = if streamed { "streamed" } else { "whole" };
    format!("{MODEL_PREFIX}{model} {answer}")
}

/// Converts the configuration into the form in which requests look it up.
pub fn serving_config(
    config: &FleetConfig,
    revision: Revision,
    rules: &CallerRules,
) -> ServingConfig {
    let mut serving = ServingConfig::new(
        StoreRevision::first_era(revision.0),
        ConfigVersion(revision.0),
        rules.limits,
    );
    serving.requires_keys = true;
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

/// Converts the configured targets into records for target discovery.
pub fn target_records(config: &FleetConfig) -> Vec<TargetRecord> {
    let record = |(id, target): (&_, &Target)| TargetRecord {
        id: Clone::clone(id),
        service: target.serves.pool(),
        address: target.address,
        data_hall: target.data_hall.clone(),
        slots: slots(target.weight),
        max_tokens: target.capacity_tokens,
        state: match target.intent {
            TargetIntent::Serve => TargetState::Ready,
            TargetIntent::Leave => TargetState::Leaving,
        },
        cold_for: Duration::ZERO,
        version: SoftwareVersion::default(),
    };
    config.targets.iter().map(record).collect()
}

fn slots(weight: Weight) -> u32 {
    (DEFAULT_SLOTS * weight.get() / Weight::DEFAULT.get()).max(1)
}

fn add_keys(serving: &mut ServingConfig, id: &ClientAccountId, account: &ClientAccount) {
    let holder = KeyOwner {
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
    let expected_response = match model.usual_answer_tokens {
        0 => DEFAULT_RESPONSE,
        n => Tokens(n.into()),
    };
    let spec = ServiceSpec {
        max_conns: u32::MAX,
        warm_up: None,
        engine: Some(EngineSpec {
            slots: DEFAULT_SLOTS,
            memory_tokens: DEFAULT_MEMORY_TOKENS,
            can_fetch_prompts: false,
            expected_response: Some(expected_response),
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
            max_silence: rules.longest_silence,
            max_attempts: MAX_ATTEMPTS,
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
    let default_route = Route {
        name: pool.to_string(),
        path_prefix: format!("{hidden_prefix}/"),
        stripped_prefix: hidden_prefix.clone(),
        kind: CallKind::Safe,
        timeout,
        goal: timeout,
        max_silence: rules.longest_silence,
        max_attempts: MAX_ATTEMPTS,
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
            ..default_route.clone()
        });
    }
    serving.add_route(default_route);
}
