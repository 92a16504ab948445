//! The claims of calls that must not be repeated, as the entry router takes and gives them back.

use std::{sync::Arc, time::Duration};

use super::walk::{Ending, RETRY_AFTER};
use crate::{
    claims::{ClaimKey, ClaimKind, ClaimStep, ClaimVerdict},
    ids::{ClientAccountId, ServiceName, VmId},
    peer::{Control, ControlReply},
    placement::keeper,
    request::NotRun,
    result_code::ResultCode,
    router::Shared,
};

/// How often and how slowly a claim is given back while the store does not answer.
const RELEASE_TRIES: u32 = 8;

/// The key under which an account's unrepeatable call to a service is claimed.
pub(super) fn claim_key(account: &ClientAccountId, service: &ServiceName, key: &[u8]) -> ClaimKey {
    ClaimKey::new(account, service.as_str(), &String::from_utf8_lossy(key))
}

/// What a caller is told whose claim was not taken.
pub(super) fn refuse(
    cx: &Arc<Shared>,
    step: ClaimStep,
    verdict: ClaimVerdict,
    code: ResultCode,
) -> Ending {
    let detail = match verdict {
        ClaimVerdict::Ran(status) => format!("the call ran before, with status {status}"),
        ClaimVerdict::Running => "the call is still running".to_owned(),
        ClaimVerdict::Unknown => "the call was sent before; nobody knows how it ended".to_owned(),
        _ => "the claim could not be kept, so the call was not sent".to_owned(),
    };
    if verdict == ClaimVerdict::NotRecorded {
        // The write may have taken effect all the same; nothing was sent, so it is taken back.
        spawn_step(
            cx,
            ClaimStep {
                kind: ClaimKind::Release,
                ..step
            },
        );
    }
    Ending {
        code,
        detail,
        retry_after: Some(RETRY_AFTER),
    }
}

/// Gives a claim back; only something that did not run can be.
pub(super) async fn release(cx: &Arc<Shared>, step: ClaimStep, _proof: &NotRun) {
    let step = ClaimStep {
        kind: ClaimKind::Release,
        ..step
    };
    if take_step(cx, step).await == ClaimVerdict::NotRecorded {
        spawn_step(cx, step);
    }
}

/// Records a step in the background, again and again for a while where the store is down.
pub(super) fn spawn_step(cx: &Arc<Shared>, step: ClaimStep) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        for n in 0..RELEASE_TRIES {
            if take_step(&cx, step).await != ClaimVerdict::NotRecorded {
                return;
            }
            tokio::time::sleep(Duration::from_millis(250 << n)).await;
        }
    });
}

/// Asks the keeper of a claim's shard; where it is not reached, this router writes itself.
pub(super) async fn take_step(cx: &Arc<Shared>, step: ClaimStep) -> ClaimVerdict {
    let shard = format!("claims/{}", step.key.shard());
    let directory = cx.directory();
    let vm: Option<&VmId> = keeper(&shard, directory.live.iter());
    let info = vm.and_then(|vm| cx.membership.lock().info(vm).cloned());
    match info {
        Some(info) if info.vm != cx.me.vm => {
            match cx.peers.control(info.address, Control::Claim(step)).await {
                Ok(ControlReply::Claim(verdict)) => verdict,
                _ => cx.claims.step(step).await,
            }
        }
        _ => cx.claims.step(step).await,
    }
}
