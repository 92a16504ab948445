//! Environment of one run: router processes, each on its own loopback address, and the targets and the store
//! that they reach through links.

use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::Stdio,
    rc::Rc,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::{
    process::{Child, Command},
    sync::Mutex,
};

use crate::{
    RunOptions,
    callers::Caller,
    config_changes::Variation,
    link::Link,
    promises::PromiseChecker,
    slow_readers,
    stops::ProcessState,
    store::{Store, StoreFault},
    surge,
    target::Target,
    withdrawals,
};

/// Number of targets. The entry of one of them may say that it is leaving.
const TARGET_COUNT: usize = 4;

/// Time for a graceful stop, in milliseconds.
pub const GRACE_MS: u64 = 8_000;

/// Maximum time for a start, a graceful shutdown or the recovery, even on a busy machine.
pub const LIFECYCLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A router process.
pub struct Vm {
    /// Its index among the routers of the run.
    index: usize,
    promises: Rc<PromiseChecker>,
    /// Address at which it accepts calls.
    pub caller_address: SocketAddr,
    /// Address of its readiness endpoint.
    ready_address: SocketAddr,
    /// Path of its settings file.
    settings_path: PathBuf,
    /// Path of its log file.
    log_path: PathBuf,
    /// Path of the router program.
    program: PathBuf,
    child: RefCell<Option<Child>>,
    /// What was done to the current process.
    process: RefCell<Rc<ProcessState>>,
    /// Whether it was killed or asked to shut down, even if it has not exited yet.
    pub terminating: Cell<bool>,
    /// Held while it is started again.
    pub restart: Mutex<()>,
    /// Whether it is paused.
    pub paused: Cell<bool>,
    /// Its link to the store.
    pub store_link: Rc<Link>,
    /// Newest configuration version that this process was observed to have in force.
    pub applied_version: Cell<u64>,
}

/// Routers, targets and store of a run.
pub struct TestEnv {
    pub vms: Vec<Rc<Vm>>,
    /// Targets, each with the link through which routers reach it.
    pub targets: Vec<(Rc<Target>, Rc<Link>)>,
    pub store: Rc<Store>,
    pub promises: Rc<PromiseChecker>,
    /// Whether there is a small service that surges overload.
    surge: bool,
    /// Whether the targets of that service are brittle.
    pub brittle: bool,
    /// Whether targets run several software versions.
    pub versions: bool,
    /// Whether each start of a target has a name of its own.
    has_new_names: bool,
    /// Whether there is a route of long streams.
    long_streams: bool,
    /// Whether routers are only stopped and changed as planned.
    pub planned_only: bool,
    /// What of the configuration changes.
    pub variation: Cell<Variation>,
    /// Version of the configuration that was written last.
    version: Rc<Cell<u64>>,
    /// Directory of the routers' settings and logs.
    dir: PathBuf,
    keep_logs: bool,
}

/// API keys of the only account. The second one is revoked in some runs.
pub const API_KEYS: [&str; 2] = ["key-that-stays", "key-that-goes"];

impl TestEnv {
    /// Starts the targets, the store and the links, writes the entries and a configuration, and starts the
    /// routers.
    pub async fn start(options: &RunOptions) -> Self {
        let promises = Rc::new(PromiseChecker::default());
        let store = Rc::new(Store::start("127.0.0.1:0").await);
        let mut targets = Vec::new();
        for n in 0..TARGET_COUNT {
            let (target, address) = Target::start(&format!("i-{n}"), &promises).await;
            let link = Link::start(address).await.expect("free port");
            target.link.get_or_init(|| Rc::clone(&link));
            promises.planned.add_link(&link);
            targets.push((target, link));
        }
        let name = format!("scaleford-soak-{}-{}", std::process::id(), options.seed);
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a directory for settings and logs");
        let ports = free_ports();
        let mut vms = Vec::new();
        for n in 0..options.vms {
            let link = Link::start(store.server.address).await.expect("free port");
            vms.push(create_vm(options, n, ports, link, &dir, &promises));
        }
        let env = Self {
            vms,
            targets,
            store,
            promises,
            surge: options.surge,
            brittle: options.brittle,
            versions: options.versions,
            has_new_names: options.restarts,
            long_streams: options.silences || options.changes,
            planned_only: options.planned,
            variation: Cell::default(),
            version: Rc::default(),
            dir,
            keep_logs: options.keep_logs,
        };
        if env.surge {
            surge::start_targets(&env).await;
        }
        for (target, _) in &env.targets {
            env.write_entry(&target.id, "ready");
        }
        env.write_config(&API_KEYS);
        env.vms.iter().for_each(|vm| vm.start());
        env
    }

    /// Waits until all routers are ready.
    ///
    /// Panics if one of them takes too long.
    pub async fn until_ready(&self) {
        for vm in &self.vms {
            let ready = tokio::time::timeout(LIFECYCLE_TIMEOUT, vm.until_ready()).await;
            assert!(
                ready.is_ok(),
                "router at {} is not ready",
                vm.caller_address
            );
        }
    }

    /// Writes a new version of the configuration, in which the account has these keys.
    pub fn write_config(&self, keys: &[&str]) {
        self.version.set(self.version.get() + 1);
        self.promises.planned.on_config_change();
        let services = (self.long_streams, self.surge);
        let config = (self.variation.get()).config(self.version.get(), keys, services);
        self.store.put("op/config", config.to_string().as_bytes());
    }

    /// Returns the version of the configuration that was written last, as a shared cell.
    pub fn version(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.version)
    }

    /// Restarts a target, under the same name if starts have no names of their own, and writes its entry.
    pub fn on_restart(&self, id: &str) {
        if let Some((target, _)) = self.targets.iter().find(|(t, _)| t.id == id) {
            let former_name = target.name();
            target.on_restart(self.has_new_names);
            if target.name() != former_name {
                self.store.remove(&format!("servers/{former_name}"));
            }
        }
        self.write_entry(id, "ready");
    }

    /// Writes the store entry of a target with this state.
    pub fn write_entry(&self, id: &str, state: &str) {
        let found = self.targets.iter().find(|(t, _)| t.id == id);
        let Some((target, link)) = found else { return };
        let version = match self.versions {
            true => target.version(),
            false => "v1".to_owned(),
        };
        let entry = json!({"service": "desk", "address": link.address.to_string(),
            "zone": "yard", "version": version, "slots": 64, "state": state, "coldLeftMs": 0,
            "callSeq": 0, "born": 1_764_720_000_000 + target.restarts.get()});
        let key = format!("servers/{}", target.name());
        self.store.put(&key, entry.to_string().as_bytes());
        self.promises.on_leaving(id, state != "ready");
    }

    /// Ends all faults, starts the routers that are not running, and waits until all are ready.
    pub async fn clear_faults(&self) {
        self.store.set_fault(StoreFault::default());
        for (target, link) in &self.targets {
            target.behavior.set(crate::target::TargetBehavior::Healthy);
            withdrawals::end_withdrawal(self, target);
            link.set_fault(crate::link::LinkFault::None);
            self.write_entry(&target.id, "ready");
        }
        for vm in &self.vms {
            vm.store_link.set_fault(crate::link::LinkFault::None);
            vm.resume();
            vm.ensure_running().await;
        }
        self.until_ready().await;
    }

    /// Shuts all routers down gracefully. The logs are kept if a guarantee was violated or they were asked for.
    pub async fn stop(&self) {
        for vm in &self.vms {
            vm.signal(Signal::TERM);
        }
        for vm in &self.vms {
            vm.until_exited().await;
        }
        match self.promises.verdict().all_kept() && !self.keep_logs {
            // An error is ignored: leftover logs of a successful run do no harm.
            true => drop(std::fs::remove_dir_all(&self.dir)),
            false => eprintln!("the routers' logs are in {}", self.dir.display()),
        }
    }
}

/// Returns four ports that are free on loopback now. Each router uses all of them on its own address.
fn free_ports() -> [u16; 4] {
    [(); 4].map(|()| {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("free port");
        listener.local_addr().expect("a bound address").port()
    })
}

/// Writes the settings file of a router, and returns the router without starting it.
fn create_vm(
    options: &RunOptions,
    vm_index: usize,
    ports: [u16; 4],
    store_link: Rc<Link>,
    dir: &std::path::Path,
    promises: &Rc<PromiseChecker>,
) -> Rc<Vm> {
    // Each process of the soak test has its own loopback network, so that concurrent runs do not collide.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = |n: usize| Ipv4Addr::new(127, high.max(1), low, n as u8 + 1);
    let [front, ready, control, peers] = ports;
    let address = |port: u16| SocketAddr::from((ip(vm_index), port)).to_string();
    let seeds: Vec<String> = (0..options.vms.min(3))
        .map(|i| format!("{}:{control}", ip(i)))
        .collect();
    let mut settings: Value = json!({"node": format!("front-{vm_index}"), "zone": "yard", "ipAddr": ip(vm_index),
        "listen": {"front": address(front), "ready": address(ready), "control": address(control)},
        "internalPorts": [peers, peers], "seeds": seeds,
        "limits": {"maxFds": 4_100, "linkMbps": 1_000.0, "cpuShare": 0.25},
        "bounds": {"revokeMs": 5_000, "capFactor": 2, "budgetRatio": 0.2, "budgetWindowS": 10,
            "budgetExtra": 54, "graceS": GRACE_MS / 1_000},
        "platform": {"address": store_link.address.to_string()}});
    if options.slow_readers {
        settings["limits"]["memoryMb"] = slow_readers::ROUTER_MEMORY_MB.into();
    }
    let settings_path = dir.join(format!("front-{vm_index}.json"));
    std::fs::write(&settings_path, settings.to_string()).expect("a writable settings file");
    Rc::new(Vm {
        index: vm_index,
        promises: Rc::clone(promises),
        caller_address: SocketAddr::from((ip(vm_index), front)),
        ready_address: SocketAddr::from((ip(vm_index), ready)),
        log_path: dir.join(format!("front-{vm_index}.log")),
        settings_path,
        program: options.program.clone(),
        child: RefCell::default(),
        process: RefCell::default(),
        paused: Cell::default(),
        terminating: Cell::default(),
        restart: Mutex::default(),
        store_link,
        applied_version: Cell::default(),
    })
}

impl Vm {
    /// Starts the process.
    pub fn start(&self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log_path);
        let child = Command::new(&self.program)
            .env("SCALEFORD_CONFIG", &self.settings_path)
            .env(
                "SCALEFORD_SOURCE_ADDRESS",
                self.caller_address.ip().to_string(),
            )
            .stdin(Stdio::null())
            .stdout(log.expect("a writable log file"))
            .kill_on_drop(true)
            .spawn();
        *self.child.borrow_mut() = Some(child.expect("the router program starts"));
        *self.process.borrow_mut() = Rc::default();
        self.terminating.set(false);
        self.applied_version.set(0);
        self.promises.withdrawals.on_vm_interrupted(self.index);
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&self, signal: Signal) {
        if signal != Signal::HUP {
            self.promises.withdrawals.on_vm_interrupted(self.index);
        }
        let child = self.child.borrow();
        let id = child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            // An error is ignored: the process may just have exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Records that the process is killed, paused, resumed or cut off, which may break off calls that are in
    /// progress at it or pass through it.
    pub fn on_disruption(&self) {
        self.process().on_disruption();
        self.promises.planned.on_router_disrupted();
    }

    /// Kills the process, if it is running.
    pub fn kill(&self) {
        self.on_disruption();
        self.process().on_killed();
        self.terminating.set(true);
        self.signal(Signal::KILL);
    }

    /// Returns what was done to the current process.
    pub fn process(&self) -> Rc<ProcessState> {
        Rc::clone(&self.process.borrow())
    }

    /// Resumes the process if it is paused.
    pub fn resume(&self) {
        if self.paused.replace(false) {
            self.on_disruption();
        }
        self.signal(Signal::CONT);
    }

    /// Returns whether the process is running.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Waits until the process exits, and kills it if that takes too long.
    ///
    /// Returns whether it exited without being killed.
    pub async fn until_exited(&self) -> bool {
        let Some(mut child) = self.child.borrow_mut().take() else {
            return true;
        };
        let has_exited = tokio::time::timeout(LIFECYCLE_TIMEOUT, child.wait())
            .await
            .is_ok();
        if !has_exited {
            self.on_disruption();
            // An error is ignored: the drop right after this kills the process as well.
            let _ = child.start_kill();
        }
        has_exited
    }

    /// Starts the process again if it has exited or is about to, after it has exited.
    pub async fn ensure_running(&self) {
        let _restart = self.restart.lock().await;
        if self.terminating.get() || !self.is_running() {
            self.until_exited().await;
            self.start();
        }
    }

    /// Waits until the router's readiness endpoint responds with status 200.
    async fn until_ready(&self) {
        loop {
            let caller = Caller::connect(self.ready_address).await;
            if let Some(mut caller) = caller
                && caller.is_ok().await
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }
}
