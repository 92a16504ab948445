//! Initial routers and targets of a load, and the plans of its calls.

use std::time::Duration;

use scaleford::{
    admission::{
        shares::{Claim, ShareScope},
        surge::Surge,
        warm_up::ColdRule,
    },
    config::serving::{CallKind, EngineSpec, StreamRepeats},
    discovery::{TargetRecord, TargetState},
    dispatcher::CallPlan,
    edge::Rules,
    ids::{ClientAccountId, DataHall, ServiceName, SoftwareVersion},
    membership::heartbeats::VmHash,
    prompt_cache::{PartId, PromptPart},
    retry::BudgetRule,
    stream_origin::StreamProgress,
    units::{Rank, Tokens},
};

use super::{
    ACCOUNTS, Call, Fleet, Load, Model, Service,
    target::{self, Target},
};

/// Number of tokens of the part of a prompt that calls share.
const SHARED_TOKENS: u64 = 5_000;
/// Number of tokens of the part of a prompt that is a call's own.
pub(super) const OWN_TOKENS: u64 = 300;

/// Rank of calls that are less urgent than others.
const LOW_RANK: Rank = Rank(3);

pub(super) fn service() -> ServiceName {
    "writer".parse().unwrap()
}

pub(super) fn hall() -> DataHall {
    "yard".parse().unwrap()
}

pub(super) fn rules(shares: ShareScope) -> Rules {
    Rules {
        revoke_bound: None,
        cap_factor: 2.0,
        leaving_use_time: Duration::from_millis(800),
        budget: BudgetRule {
            ratio: 0.2,
            window: Duration::from_secs(10),
            extra: 50.0,
        },
        cold: ColdRule {
            excess: 1.5,
            extra: 5.0,
        },
        shares,
        serve_on: Duration::ZERO,
        stop_time: Duration::ZERO,
    }
}

pub(super) fn record(n: usize, slots: u32) -> TargetRecord {
    TargetRecord {
        id: format!("t{n}").parse().unwrap(),
        service: service(),
        address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 8_000).into(),
        data_hall: hall(),
        slots,
        max_tokens: None,
        cold_for: Duration::ZERO,
        version: SoftwareVersion::default(),
        state: TargetState::Ready,
    }
}

/// Returns the routers that router `me` knows, itself first.
pub(super) fn known_routers(load: &Load, me: usize) -> Vec<VmHash> {
    let is_known = |n: &usize| match load.fleet {
        Fleet::Whole => true,
        Fleet::Halves => n % 2 == me % 2,
        Fleet::Strangers => false,
    };
    let others = (0..load.routers).filter(|n| *n != me).filter(is_known);
    let name = |n: usize| VmHash::from(&format!("vm-{n}").parse().unwrap());
    std::iter::once(me).chain(others).map(name).collect()
}

pub(super) fn new_target(load: &Load) -> Target {
    let queue = match load.service {
        Service::Engines => usize::MAX,
        Service::Plain => load.plain_queue,
    };
    Target::new(load.slots, queue)
}

impl Model {
    fn claim(&self, call: &Call) -> Claim {
        let is_low = call.account >= ACCOUNTS - self.load.low_rank_accounts;
        let account: ClientAccountId = format!("a{}", call.account).parse().unwrap();
        Claim {
            rank: if is_low { LOW_RANK } else { Rank(0) },
            returning: call.tries > 0,
            account: Some((&account).into()),
        }
    }

    pub(super) fn plan(&self, call: &Call, n: u64, surge: Surge) -> CallPlan {
        let part = |id, tokens| PromptPart {
            id: PartId(id),
            tokens: Tokens(tokens),
        };
        let own = 1_000_000 + n;
        let (kind, prompt) = match self.load.service {
            Service::Plain => (CallKind::Safe, Vec::new()),
            Service::Engines => {
                let prompt = vec![part(call.prompt, SHARED_TOKENS), part(own, OWN_TOKENS)];
                (CallKind::Stream(StreamRepeats::Never), prompt)
            }
        };
        CallPlan {
            service: service(),
            kind,
            shared_parts: 1.min(prompt.len()),
            prompt,
            chat: None,
            answer: Tokens(0),
            hash: own,
            engine: (self.load.service == Service::Engines).then_some(EngineSpec {
                slots: self.load.slots,
                memory_tokens: target::MEMORY_TOKENS,
                can_fetch_prompts: true,
                expected_response: None,
            }),
            goal: self.load.goal,
            surge,
            claim: self.claim(call),
            warm_up: self.load.warm_up,
            progress: StreamProgress::NotBegun,
            tried: Vec::new(),
            is_overlapping: false,
        }
    }
}
