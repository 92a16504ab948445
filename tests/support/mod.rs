//! Stand-ins for the platform and the targets, and a caller, for tests and examples.
#![allow(dead_code, missing_docs)]

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod service;
