//! A router fleet between callers and targets (model engines and plain services).
//!
//! Every entry VM runs one [`Router`]. All routers are equal; what must be agreed
//! or kept goes through the platform's key-value service. The decisions (placement,
//! admission, configuration, claims, limits, membership) are synchronous types that
//! take time and events as arguments; everything that does I/O drives them.
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

pub mod breaker;
mod chat;
mod claim_keeper;
pub mod claims;
pub mod config;
mod config_feed;
mod control;
pub mod conversation;
pub mod dialect;
mod directory;
pub mod discovery;
pub mod dispatcher;
pub mod edge;
mod entry;
pub mod error;
pub mod event_stream;
pub mod explain;
pub mod health;
pub mod home;
mod home_service;
pub mod homes;
pub mod ids;
pub mod intent;
mod lifecycle;
pub mod limits;
mod limits_service;
pub mod load;
pub mod load_account;
pub mod log;
pub mod membership;
mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod prompt_cache;
mod reply;
pub mod request;
pub mod result_code;
pub mod retry;
pub mod router;
pub mod settings;
pub mod store;
pub mod target;
pub mod telemetry;
pub mod units;
pub mod walk;

pub use error::{Error, Result};
pub use result_code::ResultCode;
pub use router::{Router, RouterBuilder};
pub use settings::Settings;
