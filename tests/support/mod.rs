//! Simulated store and targets, and a caller, for tests and examples.
#![allow(dead_code, missing_docs)]

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod flood;
pub mod hosted;
pub mod http;
pub mod service;
#[path = "../../platform/tests/support/store.rs"]
pub mod store;
