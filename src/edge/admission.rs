//! Decides whether a call is admitted, and gathers what its attempts need.

use std::{borrow::Cow, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::http::{request, uri::PathAndQuery};
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    accounts::{self, AccountPermit},
    attempt::Call,
    attempt_guard::EndIfDropped,
    call_end::CallGuard,
    crash_checks,
    flow::{AnswerAccount, CallerConn},
    gateway::Gateway,
    stream_origins::{self, Origin},
};
use crate::{
    ResultCode,
    admission::{shares::Claim, surge::Surge, wait_for_config},
    config::serving::{Denied, EngineSpec, KeyOwner, Route},
    dialect::{CallInfo, Refusal},
    dispatcher::CallPlan,
    explain::Decision,
    fingerprint::{Fingerprint, FingerprintInput},
    ids::{ClientAccountId, ServiceName},
    lifecycle::Phase,
    prompt_cache::PromptPart,
    quarantine::PartKey,
    retry::Attempts,
    units::{Instant, Rank, Tokens},
};

/// A request that has been read completely and is not admitted yet.
pub(crate) struct IncomingCall {
    /// Method, URI and headers.
    pub(crate) head: request::Parts,
    /// Body; `None` if it is above the size limit.
    pub(crate) body: Option<Bytes>,
    /// Caller's id of the call, if it sent one.
    pub(crate) id: Option<String>,
    /// Instant at which the head was read.
    pub(crate) received: Instant,
    /// Connection on which it arrived.
    pub(crate) conn: Rc<CallerConn>,
    /// Origin of the stream that it takes up.
    pub(super) origin: Origin,
}

/// A call that waits for the first configuration; dropped when the wait ends or its caller is gone.
struct WaitingCall<'a>(&'a Gateway);

impl<'a> WaitingCall<'a> {
    fn new(cx: &'a Gateway) -> Self {
        cx.awaiting_config.set(cx.awaiting_config.get() + 1);
        Self(cx)
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        let waiting = &self.0.awaiting_config;
        waiting.set(waiting.get() - 1);
    }
}

/// Waits for the first configuration if the router has just started, one is expected soon, and few calls wait.
pub(crate) async fn await_config(cx: &Gateway, incoming_call: &IncomingCall) {
    if cx.serving().is_some() {
        return;
    }
    let arrival = cx.config_arrived.notified();
    let time_left = deadline(cx, incoming_call).unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let wait = wait_for_config(cx.now().0, time_left, cx.awaiting_config.get());
    let Some(wait) = wait else {
        return;
    };
    let _waiting = WaitingCall::new(cx);
    let until = cx.now() + wait;
    let has_arrived = cx.clock.timeout_at(until, arrival).await.is_some();
    info!(cx.log, "waited for a configuration"; "id" => incoming_call.id.as_deref(), "came" => has_arrived,
        "waited_ms" => cx.now().since(incoming_call.received).as_millis() as u64);
}

/// Returns how long the caller waits for the answer in total, if the call states it.
fn deadline(cx: &Gateway, incoming_call: &IncomingCall) -> Option<Duration> {
    let body = incoming_call.body.as_ref()?;
    let facts = cx
        .dialect
        .parse_call(&incoming_call.head, body, incoming_call.id.as_deref());
    facts.ok()?.deadline
}

/// Builds the refusal of a call that arrives while the router has no configuration.
fn no_config_refusal(cx: &Gateway, incoming_call: &IncomingCall) -> Refusal {
    let time_left = deadline(cx, incoming_call).unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let dispatcher = cx.dispatcher.borrow();
    let age = cx.now().0;
    let come_back = (dispatcher.admission).retry_after_startup(age, time_left, rand::random());
    Refusal {
        retry_after: Some(come_back),
        ..Refusal::new(ResultCode::NoConfig, "no configuration yet")
    }
}

/// Time that a caller is assumed to wait if its call states no deadline: the shortest of the users'
/// deadlines for streams.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Admits a call, or returns why it is refused. Records the request's fingerprint in `call_guard`.
pub(crate) fn admit(
    cx: &Rc<Gateway>,
    incoming_call: IncomingCall,
    call_guard: &mut CallGuard,
) -> Result<(Call, Option<AccountPermit>), Refusal> {
    let config = cx
        .serving()
        .ok_or_else(|| no_config_refusal(cx, &incoming_call))?;
    let IncomingCall {
        head,
        body,
        id,
        received,
        conn,
        origin,
    } = incoming_call;
    let too_large = Refusal::new(ResultCode::BodyTooLarge, "body above the limit");
    let body = body.ok_or(too_large)?;
    let facts = cx.dialect.parse_call(&head, &body, id.as_deref())?;
    call_guard.resumes.clone_from(&facts.resumes);
    let admitted = config.admit(&facts.routing_key, facts.key.as_deref());
    let (route, key_owner) = admitted.map_err(|denied| match denied {
        Denied::NoRoute => facts.no_route_refusal.clone(),
        Denied::WrongKey => Refusal::new(ResultCode::WrongKey, "no such key"),
    })?;
    check_router(cx, config.requires_keys && !route.public, received)?;
    let account = key_owner.as_ref().map(|h| &h.account);
    let fingerprint = fingerprint(&head, &body, &facts, account);
    call_guard.fingerprint = Some(fingerprint);
    let hash = xxh3_64(id.as_deref().unwrap_or_default().as_bytes());
    let service = stream_origins::service_for(&route, origin, hash).cloned();
    let no_service = Refusal::new(ResultCode::NoTarget, "no service on the route");
    let service = service.ok_or(no_service)?;
    let parts = other_parts(&service, &facts.prompt);
    let is_trial = crash_checks::check_quarantine(cx, fingerprint, &parts)?;
    let account_place = accounts::admit(cx, key_owner.as_ref())
        .map_err(|retry_after| account_limit_refusal(cx, id.as_deref(), retry_after))?;
    let progress = stream_origins::progress(cx, &service, origin, facts.last_event_id)?;
    let spec = config.service(&service);
    let engine = spec.and_then(|s| s.engine);
    cx.count_call(received, &service);
    cx.record_decision(id.as_deref().unwrap_or_default(), || Decision::Received {
        account: key_owner
            .as_ref()
            .map_or_else(String::new, |h| h.account.to_string()),
        pool: service.to_string(),
    });
    let surge = account.map_or(Surge::None, |account| {
        let admission = &mut cx.dispatcher.borrow_mut().admission;
        admission.on_call(received, account)
    });
    let rank = rank(&facts, &route, key_owner.as_ref());
    let timeout = call_timeout(&facts, &route);
    let claim = Claim {
        rank,
        returning: is_returning(cx, received, &facts, &route),
        account: account.map(Into::into),
    };
    let plan = CallPlan {
        kind: route.kind,
        prompt: facts.prompt.clone(),
        shared_parts: facts.shared_parts,
        chat: chat_key(&facts, key_owner.as_ref()),
        answer: expected_answer(engine, &facts),
        hash,
        engine,
        surge,
        claim,
        warm_up: spec.and_then(|s| s.warm_up),
        goal: config.shortest_goal(&service).unwrap_or(route.goal),
        progress,
        tried: Vec::new(),
        is_overlapping: false,
        service,
    };
    let is_stream = route.kind.is_stream() && !route.claimed;
    let call_id = id.as_deref().unwrap_or("-");
    let call = Call {
        answer: AnswerAccount::open(cx, call_id, &conn, account, is_stream),
        progress: call_guard.progress.clone(),
        fingerprint,
        parts,
        is_trial,
        deadline: received + timeout,
        rank,
        attempts: Attempts::default(),
        end_if_dropped: EndIfDropped::default(),
        max_conns: spec.map_or(u32::MAX, |s| s.max_conns),
        plan,
        head,
        body,
        id,
        facts,
        route,
        key_owner,
        received,
    };
    Ok((call, account_place))
}

/// Checks that the router accepts calls. One that needs a key is refused while keys can't be trusted.
fn check_router(cx: &Gateway, needs_key: bool, received: Instant) -> Result<(), Refusal> {
    // The timer that begins the phase may be late.
    let is_late = cx.stop_times.get().is_some_and(|t| cx.now() >= t.refuse_at);
    if is_late || cx.phase() >= Phase::Refusing {
        return Err(Refusal::new(ResultCode::Draining, "stopping"));
    }
    if cx.in_progress.get() > cx.cfg.max_calls {
        let why = "the maximum number of calls is in progress";
        return Err(Refusal::new(ResultCode::RouterFull, why));
    }
    if needs_key && !cx.may_use_keys(received) {
        let why = "configuration too old to trust keys";
        return Err(Refusal::new(ResultCode::ConfigTooOld, why));
    }
    Ok(())
}

/// Returns the parts of a prompt that other requests may have: all but the last.
fn other_parts(service: &ServiceName, prompt: &[PromptPart]) -> Rc<[PartKey]> {
    let others = &prompt[..prompt.len().saturating_sub(1)];
    others
        .iter()
        .map(|part| PartKey::new(service, part.id))
        .collect()
}

/// Returns the expected number of tokens in the answer, if they count as work at the service's engines.
fn expected_answer(engine: Option<EngineSpec>, facts: &CallInfo) -> Tokens {
    let expected = engine.and_then(|e| e.expected_response);
    expected.map_or(Tokens(0), |expected| {
        facts.max_response_tokens.unwrap_or(expected)
    })
}

/// Returns whether the caller was probably refused before: it waits for less time than others usually do.
fn is_returning(cx: &Gateway, received: Instant, facts: &CallInfo, route: &Route) -> bool {
    let usual = &mut cx.dispatcher.borrow_mut().shares.usual_time_left;
    let left = facts.deadline;
    left.is_some_and(|left| usual.is_returning(received, &route.name, left))
}

fn fingerprint(
    head: &request::Parts,
    body: &Bytes,
    facts: &CallInfo,
    account: Option<&ClientAccountId>,
) -> Fingerprint {
    let routing_key = &facts.routing_key;
    let path_and_query = head.uri.path_and_query().map(PathAndQuery::as_str);
    Fingerprint::of(&FingerprintInput {
        account,
        host: &routing_key.host,
        method: &routing_key.method,
        path: path_and_query.unwrap_or(&routing_key.path),
        body,
    })
}

/// Computes the call's timeout: the caller's deadline, but at most the route's timeout.
fn call_timeout(facts: &CallInfo, route: &Route) -> Duration {
    facts
        .deadline
        .map_or(route.timeout, |d| d.min(route.timeout))
}

fn chat_key(facts: &CallInfo, key_owner: Option<&KeyOwner>) -> Option<crate::ids::ConversationKey> {
    let chat = facts.conversation?;
    Some(key_owner.map_or(chat, |h| chat.within(&h.account)))
}

/// Returns the call's urgency: the account's rank, or the route's if the account has none or the
/// route's calls are claimed. The caller can only lower it.
fn rank(facts: &CallInfo, route: &Route, key_owner: Option<&KeyOwner>) -> Rank {
    let default = key_owner.and_then(|h| h.rank).unwrap_or(route.rank);
    let default = if route.claimed { route.rank } else { default };
    facts
        .rank
        .map_or(default, |requested| requested.max(default))
}

fn account_limit_refusal(cx: &Gateway, id: Option<&str>, retry_after: Duration) -> Refusal {
    info!(cx.log, "account over its limit"; "id" => id,
        "come_back_ms" => retry_after.as_millis() as u64);
    Refusal {
        why: Cow::Borrowed("the account's limit is reached"),
        retry_after: Some(retry_after),
        ..Refusal::new(ResultCode::AccountLimit, "")
    }
}
