//! Datagrams between routers: heartbeats, probes, loads and shares.

use super::{codec, wire};
use crate::{
    Error, Result,
    homes::{PoolId, PoolSum},
    ids::{ClientAccountId, Incarnation, Revision, VmId},
    limits::{Demand, Grant},
    load::{Least, Load},
    membership::{Beat, MemberState, News},
    units::Tokens,
};

/// The most news or pools that one datagram may bring.
const LIST_LIMIT: usize = 128;

/// What a datagram says.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// A heartbeat that asks for an answer.
    Heartbeat(Beat),
    /// The answer to a heartbeat.
    Ack(Beat),
    /// Asks a third router to try a suspected one.
    ProbeAsk {
        /// Who asks.
        from: VmId,
        /// Who is suspected.
        subject: VmId,
    },
    /// The suspected one answered.
    ProbeAnswer {
        /// Who answers for it.
        from: VmId,
        /// Who was suspected.
        subject: VmId,
        /// Which start of it answered.
        incarnation: Incarnation,
    },
    /// A home's sums, by pool number.
    Load {
        /// The home.
        from: VmId,
        /// The sums.
        pools: Vec<PoolSum>,
        /// Whether the receiver is to report back at once.
        ask: bool,
    },
    /// A router's demand for an account's share.
    ShareAsk {
        /// Who asks.
        from: VmId,
        /// The account.
        account: ClientAccountId,
        /// What it needs.
        demand: Demand,
    },
    /// A share.
    ShareGrant {
        /// Who grants.
        from: VmId,
        /// The account.
        account: ClientAccountId,
        /// What may be used.
        grant: Grant,
    },
}

/// Writes a datagram.
pub fn encode_datagram(message: &Message) -> Result<bytes::Bytes> {
    codec::encode(&to_wire(message))
}

/// Reads a datagram off the network.
pub fn decode_datagram(bytes: &[u8]) -> Result<Message> {
    from_wire(codec::decode(bytes)?)
}

fn to_wire(message: &Message) -> wire::Datagram {
    match message.clone() {
        Message::Heartbeat(b) => wire::Datagram::Heartbeat(beat_to_wire(&b)),
        Message::Ack(b) => wire::Datagram::Ack(beat_to_wire(&b)),
        Message::ProbeAsk { from, subject } => wire::Datagram::ProbeAsk(wire::ProbeAsk {
            vm: from.to_string(),
            subject: subject.to_string(),
        }),
        Message::ProbeAnswer {
            from,
            subject,
            incarnation,
        } => wire::Datagram::ProbeAnswer(wire::ProbeAnswer {
            vm: from.to_string(),
            subject: subject.to_string(),
            incarnation: incarnation.0 as i64,
        }),
        Message::Load { from, pools, ask } => wire::Datagram::Load(wire::LoadReport {
            vm: from.to_string(),
            pools: pools.into_iter().map(pool_to_wire).collect(),
            ask,
        }),
        Message::ShareAsk {
            from,
            account,
            demand,
        } => wire::Datagram::ShareAsk(wire::ShareAsk {
            vm: from.to_string(),
            account: account.to_string(),
            demand: demand.rate_milli as i64,
            in_flight: demand.in_flight as i32,
            held_rate: demand.held_rate_milli as i64,
            held_concurrency: demand.held_concurrency as i32,
        }),
        Message::ShareGrant {
            from,
            account,
            grant,
        } => wire::Datagram::ShareGrant(wire::ShareGrant {
            vm: from.to_string(),
            account: account.to_string(),
            share: grant.rate_milli as i64,
            concurrency: grant.concurrency as i32,
            valid_ms: grant.valid.as_millis() as i32,
        }),
    }
}

fn from_wire(datagram: wire::Datagram) -> Result<Message> {
    match datagram {
        wire::Datagram::Heartbeat(h) => Ok(Message::Heartbeat(beat_from_wire(h)?)),
        wire::Datagram::Ack(h) => Ok(Message::Ack(beat_from_wire(h)?)),
        wire::Datagram::ProbeAsk(p) => Ok(Message::ProbeAsk {
            from: name(&p.vm)?,
            subject: name(&p.subject)?,
        }),
        wire::Datagram::ProbeAnswer(p) => Ok(Message::ProbeAnswer {
            from: name(&p.vm)?,
            subject: name(&p.subject)?,
            incarnation: Incarnation(p.incarnation as u64),
        }),
        wire::Datagram::Load(l) => Ok(Message::Load {
            from: name(&l.vm)?,
            pools: l
                .pools
                .into_iter()
                .take(LIST_LIMIT)
                .map(pool_from_wire)
                .collect(),
            ask: l.ask,
        }),
        wire::Datagram::ShareAsk(s) => Ok(Message::ShareAsk {
            from: name(&s.vm)?,
            account: name(&s.account)?,
            demand: Demand {
                rate_milli: s.demand.max(0) as u64,
                in_flight: s.in_flight.max(0) as u32,
                held_rate_milli: s.held_rate.max(0) as u64,
                held_concurrency: s.held_concurrency.max(0) as u32,
            },
        }),
        wire::Datagram::ShareGrant(s) => Ok(Message::ShareGrant {
            from: name(&s.vm)?,
            account: name(&s.account)?,
            grant: Grant {
                rate_milli: s.share.max(0) as u64,
                concurrency: s.concurrency.max(0) as u32,
                valid: std::time::Duration::from_millis(s.valid_ms.max(0) as u64),
            },
        }),
    }
}

fn beat_to_wire(b: &Beat) -> wire::Heartbeat {
    wire::Heartbeat {
        vm: b.from.to_string(),
        incarnation: b.incarnation.0 as i64,
        sequence: b.sequence as i64,
        config_revision: b.revision.0 as i64,
        draining: b.draining,
        news: b.news.iter().map(news_to_wire).collect(),
    }
}

fn beat_from_wire(h: wire::Heartbeat) -> Result<Beat> {
    Ok(Beat {
        from: name(&h.vm)?,
        incarnation: Incarnation(h.incarnation as u64),
        sequence: h.sequence as u64,
        revision: Revision(h.config_revision as u64),
        draining: h.draining,
        news: news_from_wire(h.news)?,
    })
}

fn news_to_wire(n: &News) -> wire::MemberNews {
    wire::MemberNews {
        vm: n.vm.to_string(),
        incarnation: n.incarnation.0 as i64,
        state: n.state as i8,
    }
}

fn news_from_wire(news: Vec<wire::MemberNews>) -> Result<Vec<News>> {
    let one = |n: wire::MemberNews| {
        Ok(News {
            vm: name(&n.vm)?,
            incarnation: Incarnation(n.incarnation as u64),
            state: MemberState::from_number(n.state),
        })
    };
    news.into_iter().take(LIST_LIMIT).map(one).collect()
}

fn pool_to_wire(sum: PoolSum) -> wire::PoolLoad {
    wire::PoolLoad {
        pool: sum.pool.0 as i64,
        tokens: sum.load.tokens.0 as i64,
        doubtful: sum.load.doubtful.0 as i64,
        least: sum.least.as_ref().map(|l| l.target.to_string()),
        least_tokens: sum.least.as_ref().map(|l| l.tokens.0 as i64),
    }
}

fn pool_from_wire(p: wire::PoolLoad) -> PoolSum {
    PoolSum {
        pool: PoolId(p.pool as u64),
        load: Load {
            tokens: Tokens(p.tokens.max(0) as u64),
            doubtful: Tokens(p.doubtful.max(0) as u64),
        },
        least: p.least.and_then(|t| t.parse().ok()).map(|target| Least {
            target,
            tokens: Tokens(p.least_tokens.unwrap_or(0).max(0) as u64),
        }),
    }
}

fn name<T: std::str::FromStr<Err = crate::ids::IdError>>(s: &str) -> Result<T> {
    s.parse().map_err(|e| Error::Protocol(format!("name: {e}")))
}
