//! Tests of the library's decisions, without a clock or a socket.

mod admission;
mod blocks;
mod calls;
mod changes;
mod claims;
mod crash_evidence;
mod doubtful_instances;
mod evacuation;
mod flow;
mod health;
mod limits;
mod many_targets;
mod paths;
mod placement;
mod prompts;
mod quarantine;
mod routes;
mod set_back;
mod shares;
mod stream_origin;
mod streams;
mod target_speed;
mod targets;
mod trust;
mod tunnel_frames;
mod version_knowledge;
mod withdrawals;

use std::{net::SocketAddr, time::Duration};

use scaleford::{
    admission::{
        shares::{Claim, ShareScope},
        surge::Surge,
        warm_up::ColdRule,
    },
    config::serving::{CallKind, EngineSpec, StreamRepeats},
    discovery::{TargetRecord, TargetState},
    dispatcher::{CallPlan, Dispatcher},
    edge::Rules,
    ids::{DataHall, SoftwareVersion},
    prompt_cache::{PartId, PromptPart},
    retry::BudgetRule,
    stream_origin::StreamProgress,
    units::{Instant, StoreRevision, Tokens},
};

const REVOKE_BOUND: Duration = Duration::from_secs(5);

const RESUMABLE: CallKind = CallKind::Stream(StreamRepeats::Resumed);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn rules() -> Rules {
    Rules {
        revoke_bound: Some(REVOKE_BOUND),
        cap_factor: 2.0,
        leaving_use_time: Duration::from_millis(800),
        budget: BudgetRule {
            ratio: 0.2,
            window: Duration::from_secs(10),
            extra: 10.0,
        },
        cold: ColdRule::default(),
        shares: ShareScope::default(),
        serve_on: Duration::from_secs(3),
        stop_time: Duration::from_secs(8),
    }
}

fn hall(name: &str) -> DataHall {
    name.parse().unwrap()
}

fn record(n: usize) -> TargetRecord {
    TargetRecord {
        id: format!("t{n}").parse().unwrap(),
        service: "writer".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 9000 + n as u16)),
        data_hall: hall("yard"),
        slots: 64,
        max_tokens: None,
        cold_for: Duration::ZERO,
        version: SoftwareVersion::default(),
        state: TargetState::Ready,
    }
}

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart {
        id: PartId(id),
        tokens: Tokens(tokens),
    }
}

fn plan(kind: CallKind, prompt: Vec<PromptPart>, hash: u64) -> CallPlan {
    CallPlan {
        service: "writer".parse().unwrap(),
        kind,
        shared_parts: prompt.len().saturating_sub(1),
        prompt,
        chat: None,
        answer: Tokens(0),
        hash,
        engine: Some(EngineSpec {
            slots: 64,
            memory_tokens: 400_000,
            can_fetch_prompts: true,
            expected_response: None,
        }),
        goal: Duration::from_secs(1),
        surge: Surge::None,
        claim: Claim::default(),
        warm_up: None,
        progress: StreamProgress::NotBegun,
        tried: Vec::new(),
        is_overlapping: false,
    }
}

fn dispatcher(targets: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(hall("yard"), &rules());
    let list = (0..targets)
        .map(|n| (record(n), StoreRevision::first_era(1)))
        .collect();
    dispatcher
        .discovery
        .on_list(at(0), list, StoreRevision::first_era(1));
    dispatcher
}
