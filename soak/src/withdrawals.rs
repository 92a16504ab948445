//! Targets that announce in their responses that they are leaving or that they accept no calls for a while,
//! derived from the seed, and the check of what routers send to them after that.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use rand::Rng;
use rand_pcg::Pcg64;
use tokio::time::Instant;

use crate::{target::Target, vm::TestEnv};

/// What a target announces about itself in responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Withdrawal {
    #[default]
    None,
    /// It is leaving; all its responses say so.
    Leaving,
    /// It refuses all calls, and accepts none for this number of seconds.
    Backoff(u64),
}

/// Range of the pause between two changes, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1_200;

/// Range of the time for which a target makes the same announcement, in milliseconds.
const WITHDRAWAL_MS: std::ops::Range<u64> = 1_000..7_000;

/// Range of the time for which a target accepts no calls, in seconds.
const BACKOFF_S: std::ops::Range<u64> = 2..5;

/// Age of a target's instance from which all routers know it, provided that they can reach the store. Routers
/// may attribute an announcement of a younger instance to the previous one, as they can't tell the two apart.
const INSTANCE_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Selects a separate random sequence, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x7769_7468_6472_6177;

/// Makes random targets withdraw for the given time.
pub async fn inject(env: &TestEnv, seed: u64, duration: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), RNG_STREAM);
    let end = Instant::now() + duration;
    let mut active: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < end {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
        active.retain(|(end, target_index)| {
            let is_active = Instant::now() < *end;
            if !is_active {
                end_withdrawal(env, &env.targets[*target_index].0);
            }
            is_active
        });
        let target_index = rng.random_range(0..env.targets.len());
        let announced_for = Duration::from_millis(rng.random_range(WITHDRAWAL_MS));
        let (is_leaving, backoff_s) = (rng.random_bool(0.5), rng.random_range(BACKOFF_S));
        let in_entry = rng.random_bool(0.3);
        let target = &env.targets[target_index].0;
        if target.withdrawal.get() != Withdrawal::None {
            continue;
        }
        if !is_leaving {
            target.withdrawal.set(Withdrawal::Backoff(backoff_s));
        } else if target.started_at.get().elapsed() > INSTANCE_PROPAGATION_TIME
            && env.promises.is_stable_for(INSTANCE_PROPAGATION_TIME)
        {
            target.withdrawal.set(Withdrawal::Leaving);
            if in_entry {
                env.write_entry(&target.id, "draining");
            }
        }
        active.push((Instant::now() + announced_for, target_index));
    }
}

/// Ends the announcement of a target. A target that was leaving is restarted.
pub fn end_withdrawal(env: &TestEnv, target: &Target) {
    match target.withdrawal.get() {
        Withdrawal::Leaving => env.on_restart(&target.id),
        _ => target.withdrawal.set(Withdrawal::None),
    }
}

/// Time for which a router may still send a leaving target calls, counted from when it forwarded a response
/// that announces the leaving: the two seconds that the rule allows. Whether a call is too late depends on
/// when its caller sent it, so a busy machine needs no extra time.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Time for which a target may still get calls after it asked for a backoff: the half second that the rule
/// allows, and one second because the machine may be busy.
const BACKOFF_GRACE: Duration = Duration::from_millis(1_500);

/// Maximum number of calls that a target may get between the end of that time and the end of its backoff.
const MAX_BACKOFF_ARRIVALS: usize = 2;

/// Time for which a link must have had no fault before it counts as delivering responses.
const HEALTHY_LINK_TIME: Duration = Duration::from_secs(1);

/// Id of a target and number of its instance.
type InstanceId = (String, u64);

/// A backoff that a target asked a router for.
#[derive(Debug)]
struct BackoffRequest {
    /// When the target asked for it.
    requested_at: Instant,
    /// When the backoff ends.
    until: Instant,
    /// Number of calls that arrived from the router although it had to know of the backoff.
    arrivals: usize,
}

/// Records which target announced what to which router, as far as the router has to remember it.
#[derive(Debug, Default)]
pub struct WithdrawalChecker {
    /// When each call was sent by its caller, by the call's id.
    sent_at: RefCell<HashMap<String, Instant>>,
    /// Instance that last responded to a call with the announcement that it is leaving, by the call's id.
    leaving_responses: RefCell<HashMap<String, InstanceId>>,
    /// When a router first forwarded the announcement that an instance is leaving.
    leaving_since: RefCell<HashMap<(usize, InstanceId), Instant>>,
    /// Backoffs that an instance asked a router for.
    backoffs: RefCell<HashMap<(usize, InstanceId), Vec<BackoffRequest>>>,
}

/// Returns the index of the router that a call was sent to, from the call's id (`KIND-ROUTER-CALLER-NUMBER`).
fn vm_index(call: &str) -> Option<usize> {
    call.rsplit('-').nth(2)?.parse().ok()
}

impl WithdrawalChecker {
    /// Records that a caller sends a call.
    pub fn on_sent(&self, call: &str, at: Instant) {
        self.sent_at.borrow_mut().insert(call.to_owned(), at);
    }

    /// Drops what a router had to remember.
    ///
    /// Called when it is started, killed, shut down, paused or resumed, as it may have forgotten it.
    pub fn on_vm_interrupted(&self, vm_index: usize) {
        self.leaving_since
            .borrow_mut()
            .retain(|(i, _), _| *i != vm_index);
        self.backoffs
            .borrow_mut()
            .retain(|(i, _), _| *i != vm_index);
    }

    /// Records that a call arrives at a target.
    ///
    /// Returns a description of the violation if the call should not have been sent there.
    pub fn on_arrival(&self, call: &str, target: &Target) -> Option<String> {
        let vm_index = vm_index(call)?;
        let instance = (vm_index, target.instance());
        let leaving = self.leaving_since.borrow().get(&instance).copied();
        let sent = self.sent_at.borrow().get(call).copied();
        if let Some((since, sent)) = leaving.zip(sent)
            && sent > since + LEAVING_GRACE
        {
            return Some(format!("{call} at {:?}, which is leaving", instance.1));
        }
        let is_link_faulty = !target.link_is_healthy_for(HEALTHY_LINK_TIME);
        let now = Instant::now();
        let mut all_backoffs = self.backoffs.borrow_mut();
        let backoffs = all_backoffs.get_mut(&instance)?;
        backoffs.retain(|b| now < b.until && !is_link_faulty);
        for backoff in backoffs
            .iter_mut()
            .filter(|b| now > b.requested_at + BACKOFF_GRACE)
        {
            backoff.arrivals += 1;
        }
        let max_arrivals = backoffs.iter().map(|b| b.arrivals).max()?;
        (max_arrivals > MAX_BACKOFF_ARRIVALS).then(|| {
            format!(
                "{call}, one of {max_arrivals} at {:?}, which asked for a backoff",
                instance.1
            )
        })
    }

    /// Records that a target responds to a call with an announcement about itself.
    pub fn on_announcement(&self, call: &str, target: &Target) {
        let Some(vm_index) = vm_index(call) else {
            return;
        };
        match target.withdrawal.get() {
            Withdrawal::None => {}
            Withdrawal::Leaving => {
                let mut responses = self.leaving_responses.borrow_mut();
                responses.insert(call.to_owned(), target.instance());
            }
            Withdrawal::Backoff(seconds) if target.link_is_healthy_for(HEALTHY_LINK_TIME) => {
                let now = Instant::now();
                let backoff = BackoffRequest {
                    requested_at: now,
                    until: now + Duration::from_secs(seconds),
                    arrivals: 0,
                };
                let mut all_backoffs = self.backoffs.borrow_mut();
                let backoffs = all_backoffs
                    .entry((vm_index, target.instance()))
                    .or_default();
                backoffs.push(backoff);
            }
            Withdrawal::Backoff(_) => {}
        }
    }

    /// Records that a caller received a target's response to a call that was sent to no other target.
    pub fn on_response_forwarded(&self, call: &str) {
        let instance = self.leaving_responses.borrow_mut().remove(call);
        let Some((vm_index, instance)) = vm_index(call).zip(instance) else {
            return;
        };
        let mut leaving = self.leaving_since.borrow_mut();
        leaving
            .entry((vm_index, instance))
            .or_insert_with(Instant::now);
    }
}
