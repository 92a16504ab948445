//! Runs a simulated engine, plain service or store as a process.
//!
//! `cargo run --release --locked --example standin -- engine --listen 127.0.0.1:0`

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use support::{
    engine::{Engine, EngineConfig},
    service::Service,
    store::Store,
};

mod flags {
    xflags::xflags! {
        /// Runs a simulated engine, service or store, and prints its address as a line of JSON.
        cmd standin {
            /// Address to listen at.
            optional --listen listen: String
            /// A model engine.
            cmd engine {
                /// Seed of its answers.
                optional --seed seed: u64
                /// Capacity of its cache, in prompt tokens.
                optional --cache-tokens tokens: usize
                /// Time to generate a token, in microseconds.
                optional --token-us us: u64
                /// Time to read an uncached prompt token, in microseconds.
                optional --prefill-us us: u64
            }
            /// A plain service.
            cmd service {}
            /// The platform's metadata store.
            cmd store {}
        }
    }
}

#[tokio::main]
async fn main() {
    let flags = flags::Standin::from_env_or_exit();
    let listen = flags.listen.as_deref().unwrap_or("127.0.0.1:0");
    match flags.subcommand {
        flags::StandinCmd::Engine(e) => {
            let default = EngineConfig::default();
            let cfg = EngineConfig {
                seed: e.seed.unwrap_or(default.seed),
                cache_tokens: e.cache_tokens.unwrap_or(default.cache_tokens),
                token_time: Duration::from_micros(e.token_us.unwrap_or(0)),
                prefill_time: Duration::from_micros(e.prefill_us.unwrap_or(0)),
            };
            let engine = Engine::start(listen, cfg).await;
            announce(engine.server.address);
            std::future::pending::<()>().await;
        }
        flags::StandinCmd::Service(_) => {
            let service = Service::start(listen).await;
            announce(service.server.address);
            std::future::pending::<()>().await;
        }
        flags::StandinCmd::Store(_) => {
            let store = Store::start(listen).await;
            announce(store.server.address);
            std::future::pending::<()>().await;
        }
    }
}

fn announce(address: std::net::SocketAddr) {
    println!("{}", serde_json::json!({ "address": address.to_string() }));
}
