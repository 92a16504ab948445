//! A complete small fleet in one process: routers, engines, services and the store.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use scaleford::{Settings, config::KeyHash, settings::Source};
use serde_json::{Value, json};

use super::{
    caller::{Caller, KEY, TOKEN},
    engine::{Engine, EngineConfig},
    hosted::Hosted,
    service::Service,
    store::Store,
};

pub const MODEL: &str = "lot-writer";
pub const SERVICE: &str = "bid-desk";

/// Settings from a list of names and values, of which the last value of a name applies.
pub struct Values(pub Vec<(String, String)>);

impl Source for Values {
    fn value(&self, name: &str) -> Option<String> {
        let found = self.0.iter().rev().find(|(n, _)| n == name);
        found.map(|(_, v)| v.clone())
    }
}

/// Size and settings of a fleet.
#[derive(Clone)]
pub struct Plan {
    pub routers: usize,
    pub engines: usize,
    pub services: usize,
    pub halls: usize,
    pub engine: EngineConfig,
    pub settings: Vec<(&'static str, String)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 3,
            services: 1,
            halls: 3,
            engine: EngineConfig::default(),
            settings: Vec::new(),
        }
    }
}

pub struct Fleet {
    pub plan: Plan,
    pub store: Store,
    pub routers: Vec<Option<Hosted>>,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub caller: Caller,
    started: usize,
}

impl Fleet {
    pub async fn start(plan: Plan) -> Self {
        let store = Store::start("127.0.0.1:0").await;
        let mut fleet = Self {
            store,
            routers: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            caller: Caller::default(),
            started: 0,
            plan: plan.clone(),
        };
        for _ in 0..plan.engines {
            fleet
                .engines
                .push(Engine::start("127.0.0.1:0", plan.engine.clone()).await);
        }
        for _ in 0..plan.services {
            fleet.services.push(Service::start("127.0.0.1:0").await);
        }
        for i in 0..plan.routers {
            let router = fleet.start_router(i).await;
            fleet.routers.push(Some(router));
        }
        let edits = fleet.first_edits();
        fleet.change("first configuration", edits).await;
        fleet.wait_ready().await;
        fleet
    }

    /// Starts a router on a VM with a name of its own.
    pub async fn start_router(&mut self, i: usize) -> Hosted {
        self.started += 1;
        let mut values: Vec<(String, String)> = [
            ("vm", format!("vm-{i}-{}", self.started)),
            ("region", "hokkaido".to_owned()),
            ("data_hall", format!("hall-{}", i % self.plan.halls.max(1))),
            ("listen", "127.0.0.1:0".to_owned()),
            ("peer_listen", "127.0.0.1:0".to_owned()),
            ("operator_listen", "127.0.0.1:0".to_owned()),
            ("platform", self.store.server.address.to_string()),
            ("operator_tokens", format!("night-watch:{TOKEN}")),
            ("drain_wait_ms", "0".to_owned()),
        ]
        .map(|(n, v)| (n.to_owned(), v))
        .into();
        let extra = self
            .plan
            .settings
            .iter()
            .map(|(n, v)| ((*n).to_owned(), v.clone()));
        values.extend(extra);
        let cfg = Settings::resolve(&Values(values)).expect("settings");
        let cfg = cfg.check().expect("settings");
        Hosted::start(cfg).await
    }

    pub fn live(&self) -> impl Iterator<Item = &Hosted> {
        self.routers.iter().flatten()
    }

    pub fn callers_at(&self, i: usize) -> SocketAddr {
        self.routers[i]
            .as_ref()
            .expect("router runs")
            .addresses()
            .callers
    }

    pub fn operators_at(&self, i: usize) -> SocketAddr {
        self.routers[i]
            .as_ref()
            .expect("router runs")
            .addresses()
            .operators
    }

    pub fn target_edit(&self, id: &str, address: SocketAddr, serves: Value, intent: &str) -> Value {
        let hall = id.len() % self.plan.halls.max(1);
        json!({"put_target": {"id": id, "target": {
            "address": address.to_string(), "region": "hokkaido", "data_hall": format!("hall-{hall}"),
            "serves": serves, "intent": intent,
        }}})
    }

    pub fn engine_edit(&self, i: usize, intent: &str) -> Value {
        let address = self.engines[i].server.address;
        self.target_edit(
            &format!("engine-{i}"),
            address,
            json!({"model": MODEL}),
            intent,
        )
    }

    fn first_edits(&self) -> Vec<Value> {
        let account = |key: &str| {
            json!({"key_hashes": [String::from(KeyHash::of(key))], "priority": "live",
                "requests_per_s": 1_000_000, "concurrency": 1_000_000})
        };
        let mut edits = vec![
            json!({"put_account": {"id": "green-hammer", "account": account(KEY)}}),
            json!({"put_account": {"id": "puente", "account": account("key-of-puente")}}),
            json!({"put_model": {"id": MODEL, "model": {"usual_answer_tokens": 64}}}),
            json!({"put_service": {"id": SERVICE, "service": {"timeout_ms": 30_000,
                "unrepeatable": [{"method": "POST", "path_prefix": "/confirm"}]}}}),
        ];
        for i in 0..self.engines.len() {
            edits.push(self.engine_edit(i, "serve"));
        }
        for (i, service) in self.services.iter().enumerate() {
            let (id, serves) = (format!("service-{i}"), json!({"service": SERVICE}));
            edits.push(self.target_edit(&id, service.server.address, serves, "serve"));
        }
        edits
    }

    /// Plans and confirms edits at the first live router and returns the revision that accepted
    /// them.
    pub async fn change(&self, reason: &str, edits: Vec<Value>) -> u64 {
        let at = self.live().next().expect("a router").addresses().operators;
        let (status, accepted) = change_at(at, reason, edits).await;
        assert_eq!(status, 200, "{accepted}");
        accepted["revision"].as_u64().expect("revision")
    }

    /// Waits until every router is ready with the newest configuration and sees all others.
    pub async fn wait_ready(&self) {
        loop {
            let newest = self.live().map(|r| r.revision()).max();
            let same = |r: &Hosted| r.is_ready() && Some(r.revision()) == newest;
            if newest.is_some_and(|r| r.0 > 0) && self.live().all(same) && self.all_see_all().await
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn all_see_all(&self) -> bool {
        let mut live: Vec<_> = self.live().map(|r| r.vm.to_string()).collect();
        live.sort();
        for router in self.live() {
            let mut seen = self.seen_by(router).await;
            seen.push(router.vm.to_string());
            seen.sort();
            if seen != live {
                return false;
            }
        }
        true
    }

    /// Returns the VMs of the other routers that `router` considers alive.
    pub async fn seen_by(&self, router: &Hosted) -> Vec<String> {
        let status = status(router.addresses().operators).await;
        let routers = status["routers"].as_array().cloned().unwrap_or_default();
        let alive = routers.iter().filter(|r| r["state"] == "alive");
        alive
            .map(|r| r["vm"].as_str().unwrap_or_default().to_owned())
            .collect()
    }
}

pub async fn status(at: SocketAddr) -> Value {
    let operator = Caller::new(TOKEN);
    operator
        .json(at, Method::GET, "/v1/status", &Value::Null)
        .await
        .1
}

pub async fn plan_at(at: SocketAddr, reason: &str, edits: Vec<Value>) -> (u16, Value) {
    let operator = Caller::new(TOKEN);
    let intent = json!({"reason": reason, "edits": edits});
    operator
        .json(at, Method::POST, "/v1/intents/plan", &intent)
        .await
}

pub async fn confirm_at(at: SocketAddr, plan: &Value) -> (u16, Value) {
    let operator = Caller::new(TOKEN);
    operator
        .json(at, Method::POST, "/v1/intents/confirm", plan)
        .await
}

pub async fn change_at(at: SocketAddr, reason: &str, edits: Vec<Value>) -> (u16, Value) {
    match plan_at(at, reason, edits).await {
        (200, plan) => confirm_at(at, &plan).await,
        refused => refused,
    }
}
