//! Which other routers answer, as one router believes.
//!
//! The platform's lagging list says who may exist. Each router sends heartbeats to the next
//! [`NEIGHBOURS`] on a ring ordered by hash, so every router has that many watchers. A watcher
//! that misses answers asks others to try before it tells the fleet. News travels on heartbeats
//! and at once to a few random routers (after SWIM: Das, Gupta, Motivala 2002; the fixed ring
//! in place of random targets makes the time to detect a bound, not an expectation).
//! A view is a hint: nothing that must be exact depends on it.

pub mod datagram;
mod hubs;
mod news;
pub mod peers;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{Incarnation, Revision, VmId},
    peer::Message,
    settings::VmInfo,
    units::Instant,
};

/// How many routers each one watches.
pub const NEIGHBOURS: usize = 3;

/// How often heartbeats are sent.
pub const BEAT_EVERY: Duration = Duration::from_millis(500);

/// Silence after which a router is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_250);

/// Further silence, to the watcher and to those it asked, after which a router counts as dead.
pub const CONFIRM_AFTER: Duration = Duration::from_secs(1);

/// How often a router that counts as dead is tried again.
pub const RETRY_DEAD: Duration = Duration::from_secs(5);

/// How many routers try a suspected one, and get news at once.
pub const HELPERS: usize = 3;

/// The most news on one datagram.
pub const NEWS_LIMIT: usize = 8;

/// How often each piece of news is passed on.
const NEWS_REPEATS: u32 = 12;

pub use news::{Beat, MemberState, MemberStatus, News, Outgoing};

#[derive(Debug, Clone)]
struct Member {
    info: VmInfo,
    incarnation: Incarnation,
    state: MemberState,
    revision: Revision,
    answered: Instant,
    suspected: Option<Instant>,
    tried: Instant,
}

/// One router's view of the others.
#[derive(Debug)]
pub struct Membership {
    me: VmInfo,
    incarnation: Incarnation,
    draining: bool,
    revision: Revision,
    sequence: u64,
    members: BTreeMap<VmId, Member>,
    news: Vec<(News, u32)>,
    asked: HashMap<VmId, Vec<VmId>>,
    changed: bool,
    rng: StdRng,
}

impl Membership {
    /// A view that holds only the router itself.
    pub fn new(me: VmInfo, incarnation: Incarnation, seed: u64) -> Self {
        let mut view = Self {
            me,
            incarnation,
            draining: false,
            revision: Revision(0),
            sequence: 0,
            members: BTreeMap::new(),
            news: Vec::new(),
            asked: HashMap::new(),
            changed: true,
            rng: StdRng::seed_from_u64(seed),
        };
        view.spread(view.own_news());
        view
    }

    /// Takes the platform's list; it says who may exist, not who lives.
    pub fn on_vm_list(&mut self, now: Instant, vms: Vec<VmInfo>) {
        let listed: HashMap<VmId, VmInfo> = vms.into_iter().map(|v| (v.vm.clone(), v)).collect();
        let before = self.members.len();
        let quiet = |m: &Member| m.state == MemberState::Dead || now.since(m.answered) > RETRY_DEAD;
        self.members
            .retain(|vm, m| listed.contains_key(vm) || !quiet(m));
        self.changed |= self.members.len() != before;
        let me = self.me.vm.clone();
        for (vm, info) in listed.into_iter().filter(|(vm, _)| *vm != me) {
            match self.members.get_mut(&vm) {
                Some(m) => m.info = info,
                None => self.add(now, info),
            }
        }
    }

    /// Sets the configuration that the next heartbeats name.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Begins to leave: tells a few others at once, the rest hear by their news.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        self.draining = true;
        self.changed = true;
        self.spread(self.own_news());
        self.announce()
    }

    /// Takes a message about membership and says what to send; others are left alone.
    pub fn on_message(&mut self, now: Instant, message: &Message) -> Vec<Outgoing> {
        match message {
            Message::Heartbeat(beat) => {
                let mut out = self.hear(now, beat);
                let mut answer = self.beat(beat.sequence);
                // Only the router itself can say that it lives after all, so it has to hear.
                answer.news.extend(self.death_of(&beat.from));
                out.extend(self.to(&beat.from, Message::Ack(answer)));
                out
            }
            Message::Ack(beat) => {
                let mut out = self.hear(now, beat);
                out.extend(self.pass_answer(beat));
                out
            }
            Message::ProbeAsk { from, subject } => {
                let askers = self.asked.entry(subject.clone()).or_default();
                if !askers.contains(from) && askers.len() < NEIGHBOURS * 2 {
                    askers.push(from.clone());
                }
                let beat = self.next_beat();
                self.to(subject, Message::Heartbeat(beat))
                    .into_iter()
                    .collect()
            }
            Message::ProbeAnswer {
                subject,
                incarnation,
                ..
            } => {
                self.answered(now, subject, *incarnation);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// The answer to a heartbeat of a router that the platform's list does not name yet.
    pub fn answer_unlisted(&mut self, message: &Message) -> Option<Message> {
        match message {
            Message::Heartbeat(beat) if self.info(&beat.from).is_none() => {
                Some(Message::Ack(self.beat(beat.sequence)))
            }
            _ => None,
        }
    }

    /// Sends the heartbeats that are due and judges who was silent.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for vm in self.neighbours() {
            out.extend(self.watch(now, &vm));
        }
        out.extend(self.retry_dead(now));
        out
    }

    /// Tells this router's state to a few others at once, as after a change of configuration.
    pub fn announce(&mut self) -> Vec<Outgoing> {
        let mut to = self.neighbours();
        to.extend(self.random_live(HELPERS));
        to.sort();
        to.dedup();
        let beats: Vec<_> = to.iter().map(|vm| (vm.clone(), self.next_beat())).collect();
        let send = |(vm, beat): (VmId, Beat)| self.to(&vm, Message::Heartbeat(beat));
        beats.into_iter().filter_map(send).collect()
    }

    /// The routers that take work, this one among them unless it is stopping.
    pub fn live(&self) -> Vec<VmId> {
        let others = self
            .members
            .iter()
            .filter(|(_, m)| m.state == MemberState::Alive);
        let me = (!self.draining).then(|| self.me.vm.clone());
        others.map(|(vm, _)| vm.clone()).chain(me).collect()
    }

    /// Whether the view changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Where a router is reached.
    pub fn info(&self, vm: &VmId) -> Option<&VmInfo> {
        match self.members.get(vm) {
            Some(m) => Some(&m.info),
            None if *vm == self.me.vm => Some(&self.me),
            None => None,
        }
    }

    /// The live router that is known to have the newest configuration, if newer than this one's.
    pub fn newest_config(&self) -> Option<&VmInfo> {
        let newer = |m: &&Member| m.state != MemberState::Dead && m.revision > self.revision;
        let newest = self
            .members
            .values()
            .filter(newer)
            .max_by_key(|m| m.revision);
        newest.map(|m| &m.info)
    }

    /// All routers but this, as shown to operators.
    pub fn status(&self) -> Vec<MemberStatus> {
        self.members
            .values()
            .map(|m| MemberStatus {
                vm: m.info.vm.clone(),
                data_hall: m.info.data_hall.clone(),
                state: m.state,
                suspected: m.suspected.is_some(),
                revision: m.revision,
            })
            .collect()
    }

    /// Which start of this router the others know.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The routers that this one watches: the next on the ring that are not dead.
    pub fn neighbours(&self) -> Vec<VmId> {
        let place = |vm: &VmId| xxh3_64(vm.as_str().as_bytes());
        let mine = place(&self.me.vm);
        let not_dead = self
            .members
            .iter()
            .filter(|(_, m)| m.state != MemberState::Dead);
        let mut ring: Vec<_> = not_dead
            .map(|(vm, _)| (place(vm).wrapping_sub(mine), vm))
            .collect();
        ring.sort_unstable();
        ring.into_iter()
            .take(NEIGHBOURS)
            .map(|(_, vm)| vm.clone())
            .collect()
    }

    fn add(&mut self, now: Instant, info: VmInfo) {
        let member = Member {
            info: info.clone(),
            incarnation: Incarnation(0),
            state: MemberState::Alive,
            revision: Revision(0),
            answered: now,
            suspected: None,
            tried: now,
        };
        self.members.insert(info.vm, member);
        self.changed = true;
    }

    fn watch(&mut self, now: Instant, vm: &VmId) -> Vec<Outgoing> {
        let Some(m) = self.members.get_mut(vm) else {
            return Vec::new();
        };
        let silent = now.since(m.answered.max(m.tried.min(now)));
        let mut out = Vec::new();
        match m.suspected {
            Some(since) if now.since(since) >= CONFIRM_AFTER => self.declare_dead(now, vm),
            None if silent >= SUSPECT_AFTER => {
                m.suspected = Some(now);
                out.extend(self.ask_helpers(vm));
            }
            _ => {}
        }
        let beat = self.next_beat();
        out.extend(self.to(vm, Message::Heartbeat(beat)));
        out
    }

    fn ask_helpers(&mut self, subject: &VmId) -> Vec<Outgoing> {
        let ask = Message::ProbeAsk {
            from: self.me.vm.clone(),
            subject: subject.clone(),
        };
        let helpers = self.random_live(HELPERS + 1);
        let helpers = helpers.iter().filter(|vm| *vm != subject).take(HELPERS);
        helpers.filter_map(|vm| self.to(vm, ask.clone())).collect()
    }

    fn declare_dead(&mut self, now: Instant, vm: &VmId) {
        if let Some(m) = self.members.get_mut(vm) {
            m.state = MemberState::Dead;
            m.suspected = None;
            m.tried = now;
            let news = News {
                vm: vm.clone(),
                incarnation: m.incarnation,
                state: MemberState::Dead,
            };
            self.changed = true;
            self.spread(news);
        }
    }

    fn retry_dead(&mut self, now: Instant) -> Vec<Outgoing> {
        let due = |m: &Member| m.state == MemberState::Dead && now.since(m.tried) >= RETRY_DEAD;
        let dead: Vec<VmId> = self
            .members
            .values_mut()
            .filter(|m| due(m))
            .choose_multiple(&mut self.rng, 1)
            .into_iter()
            .map(|m| {
                m.tried = now;
                m.info.vm.clone()
            })
            .collect();
        let beats: Vec<_> = dead.into_iter().map(|vm| (vm, self.next_beat())).collect();
        let send = |(vm, beat): (VmId, Beat)| self.to(&vm, Message::Heartbeat(beat));
        beats.into_iter().filter_map(send).collect()
    }

    /// Takes what a router says of itself and of others.
    fn hear(&mut self, now: Instant, beat: &Beat) -> Vec<Outgoing> {
        let returned = self.answered(now, &beat.from, beat.incarnation);
        if let Some(m) = self.members.get_mut(&beat.from) {
            m.revision = m.revision.max(beat.revision);
        }
        let state = match beat.draining {
            true => MemberState::Draining,
            false => MemberState::Alive,
        };
        let own = News {
            vm: beat.from.clone(),
            incarnation: beat.incarnation,
            state,
        };
        let fresh = std::iter::once(&own)
            .chain(&beat.news)
            .filter(|n| self.believe(now, n))
            .count();
        match fresh {
            0 if !returned => Vec::new(),
            _ => self.push_news(),
        }
    }

    /// Sends news on at once to a few random routers.
    fn push_news(&mut self) -> Vec<Outgoing> {
        let to = self.random_live(HELPERS);
        let beats: Vec<_> = to.into_iter().map(|vm| (vm, self.next_beat())).collect();
        let send = |(vm, beat): (VmId, Beat)| self.to(&vm, Message::Heartbeat(beat));
        beats.into_iter().filter_map(send).collect()
    }

    /// Takes a belief, if it goes before what is believed; whether it did.
    fn believe(&mut self, now: Instant, news: &News) -> bool {
        if news.vm == self.me.vm {
            return self.refute(news);
        }
        let Some(m) = self.members.get_mut(&news.vm) else {
            return false;
        };
        let fresh = (news.incarnation, news.state) > (m.incarnation, m.state);
        // What this router just heard itself goes before a rumour of death.
        let heard = m.incarnation == news.incarnation && now.since(m.answered) < BEAT_EVERY;
        if !fresh || (news.state == MemberState::Dead && heard) {
            return false;
        }
        let news = news.clone();
        self.changed |= m.state != news.state;
        m.incarnation = news.incarnation;
        m.state = news.state;
        m.tried = now;
        m.suspected = None;
        self.spread(news);
        true
    }

    /// Answers a rumour of this router's own death by a new incarnation.
    fn refute(&mut self, news: &News) -> bool {
        let wrong = news.state == MemberState::Dead && news.incarnation >= self.incarnation;
        if wrong {
            self.incarnation = Incarnation(news.incarnation.0 + 1);
            self.spread(self.own_news());
        }
        wrong
    }

    /// A router gave a sign of life; whether that says something new.
    fn answered(&mut self, now: Instant, vm: &VmId, incarnation: Incarnation) -> bool {
        let Some(m) = self.members.get_mut(vm) else {
            return false;
        };
        m.answered = now;
        m.suspected = None;
        self.believe(
            now,
            &News {
                vm: vm.clone(),
                incarnation,
                state: MemberState::Alive,
            },
        )
    }

    /// Tells those who asked that a suspected router answered.
    fn pass_answer(&mut self, beat: &Beat) -> Vec<Outgoing> {
        let askers = self.asked.remove(&beat.from).unwrap_or_default();
        let answer = Message::ProbeAnswer {
            from: self.me.vm.clone(),
            subject: beat.from.clone(),
            incarnation: beat.incarnation,
        };
        askers
            .iter()
            .filter_map(|vm| self.to(vm, answer.clone()))
            .collect()
    }

    fn death_of(&self, vm: &VmId) -> Option<News> {
        let m = self.members.get(vm)?;
        (m.state == MemberState::Dead).then(|| News {
            vm: vm.clone(),
            incarnation: m.incarnation,
            state: MemberState::Dead,
        })
    }

    fn own_news(&self) -> News {
        News {
            vm: self.me.vm.clone(),
            incarnation: self.incarnation,
            state: match self.draining {
                true => MemberState::Draining,
                false => MemberState::Alive,
            },
        }
    }

    fn spread(&mut self, news: News) {
        self.news.retain(|(n, _)| n.vm != news.vm);
        self.news.push((news, NEWS_REPEATS));
    }

    fn next_beat(&mut self) -> Beat {
        self.sequence += 1;
        self.beat(self.sequence)
    }

    fn beat(&mut self, sequence: u64) -> Beat {
        let newest = self.news.iter_mut().rev().take(NEWS_LIMIT);
        let news = newest
            .map(|(n, left)| {
                *left -= 1;
                n.clone()
            })
            .collect();
        self.news.retain(|(_, left)| *left > 0);
        Beat {
            from: self.me.vm.clone(),
            incarnation: self.incarnation,
            sequence,
            revision: self.revision,
            draining: self.draining,
            news,
        }
    }

    fn random_live(&mut self, n: usize) -> Vec<VmId> {
        let live = self
            .members
            .iter()
            .filter(|(_, m)| m.state != MemberState::Dead);
        live.map(|(vm, _)| vm.clone())
            .choose_multiple(&mut self.rng, n)
    }

    fn to(&self, vm: &VmId, message: Message) -> Option<Outgoing> {
        self.info(vm).map(|info| (info.clone(), message))
    }
}

/// A seed for a view's random choices that differs between routers and starts.
pub fn random_seed() -> u64 {
    rand::rng().random()
}
