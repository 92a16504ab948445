//! A router fleet between callers and targets (model engines and plain services).
//!
//! Every entry VM runs one [`edge::Gateway`]. All routers are equal; what needs agreement or must be stored
//! goes through the platform's metadata store. Decisions (placement, load, health, retries, configuration,
//! claims, limits, membership) are made by synchronous types that take time and events as arguments; [`edge`]
//! does the input and output around them. Only an adapter knows the names of a deployment's headers and the
//! keys of its store entries.
#![deny(missing_docs, unsafe_code)]
#![warn(clippy::pedantic)]
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    clippy::cast_possible_wrap,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::must_use_candidate,
    clippy::match_bool,
    clippy::needless_for_each,
    clippy::needless_pass_by_value,
    clippy::return_self_not_must_use,
    clippy::trivially_copy_pass_by_ref,
    clippy::similar_names,
    clippy::single_match_else,
    clippy::module_name_repetitions
)]

pub mod admission;
pub mod blocks;
pub mod bounded_body;
pub mod brittle;
mod call_plan;
pub mod claims;
pub mod clock;
pub mod config;
pub mod contention;
mod crash_evidence;
pub mod delivery;
pub mod dialect;
pub mod discovery;
pub mod dispatcher;
pub mod doubtful_instances;
pub mod edge;
pub mod error;
pub mod evacuation;
pub mod event_stream;
pub mod explain;
pub mod fingerprint;
pub mod flow;
pub mod health;
pub mod ids;
pub mod intent;
mod lifecycle;
pub mod limits;
mod list_change;
pub mod load_account;
pub mod log;
pub mod membership;
pub mod openai;
pub mod outages;
mod path_groups;
pub mod paths;
pub mod placement;
mod pools;
pub mod prompt_cache;
pub mod prompt_snapshot;
pub mod quarantine;
pub mod quarantine_key;
pub mod relays;
pub mod replicas;
mod reply;
pub mod result_code;
pub mod retry;
pub mod service_versions;
pub mod settings;
pub mod slot_gate;
pub mod spans;
pub mod store;
pub mod stream_origin;
mod stream_origins;
mod suspicions;
pub mod target_counts;
mod target_record;
pub mod target_speed;
mod ticket;
pub mod tunnel_frames;
pub mod units;
pub mod withdrawals;

pub use error::{Error, Result};
pub use result_code::ResultCode;
pub use settings::Settings;
