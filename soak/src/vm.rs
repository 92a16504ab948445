//! The world of one run: gateways as processes, each on a loopback address of its own, before
//! targets and a store that links lead to.

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
use tokio::process::{Child, Command};

use crate::{
    Plan,
    callers::Caller,
    link::Link,
    promises::Promises,
    store::{Store, StoreFault},
    target::Target,
    withdrawals,
};

/// Targets, of which one may leave.
const TARGETS: usize = 4;

/// How long a start or a planned stop may take, with the machine busy.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// One gateway.
pub struct Vm {
    n: usize,
    promises: Rc<Promises>,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: RefCell<Option<Child>>,
    /// It was asked to stop, and its calls must not be cut off.
    pub stopping: Cell<bool>,
    /// It was told to end, also if it has not yet.
    pub ending: Cell<bool>,
    /// It was paused and not resumed.
    pub paused: Cell<bool>,
    /// Its own way to the store.
    pub store_link: Rc<Link>,
    /// The newest configuration that this life of it was seen to have in force.
    pub seen_version: Cell<u64>,
    /// It was killed or paused since the last planned stop began.
    pub harmed: Cell<bool>,
}

/// All that a run is made of.
pub struct World {
    pub vms: Vec<Rc<Vm>>,
    pub targets: Vec<(Rc<Target>, Rc<Link>)>,
    pub store: Rc<Store>,
    pub promises: Rc<Promises>,
    version: Rc<Cell<u64>>,
    dir: PathBuf,
}

/// The keys of the one account; the second is taken away in some runs.
pub const KEYS: [&str; 2] = ["key-that-stays", "key-that-goes"];

impl World {
    pub async fn start(plan: &Plan) -> Self {
        let promises = Rc::new(Promises::default());
        let store = Rc::new(Store::start("127.0.0.1:0").await);
        let mut targets = Vec::new();
        for n in 0..TARGETS {
            let (target, address) = Target::start(&format!("i-{n}"), &promises).await;
            let link = Link::start(address).await.expect("a port");
            target.link.get_or_init(|| Rc::clone(&link));
            targets.push((target, link));
        }
        let name = format!("scaleford-soak-{}-{}", std::process::id(), plan.seed);
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a folder for settings and logs");
        let ports = free_ports();
        let mut vms = Vec::new();
        for n in 0..plan.vms {
            let link = Link::start(store.server.address).await.expect("a port");
            vms.push(vm(plan, n, ports, link, &dir, &promises));
        }
        let world = Self {
            vms,
            targets,
            store,
            promises,
            version: Rc::default(),
            dir,
        };
        for (target, _) in &world.targets {
            world.write_entry(&target.id, "ready");
        }
        world.write_config(&KEYS);
        world.vms.iter().for_each(|vm| vm.start());
        world
    }

    /// Waits until all gateways are ready.
    pub async fn until_ready(&self) {
        for vm in &self.vms {
            let ready = tokio::time::timeout(PATIENCE, vm.until_ready()).await;
            assert!(ready.is_ok(), "{} is not ready", vm.callers);
        }
    }

    /// Writes a new version of the configuration with these keys.
    pub fn write_config(&self, keys: &[&str]) {
        self.version.set(self.version.get() + 1);
        let route = |kind: &str, resumable: bool, prefix: &str| {
            json!({"name": prefix, "host": "desk.example", "pathPrefix": format!("/{prefix}/"),
                "type": kind, "timeoutMs": 4_000, "goalMs": 200, "service": "desk",
                "maxAttempts": 2, "resumable": resumable, "gapTargetMs": 200})
        };
        let config = json!({"version": self.version.get(),
            "routes": [route("safe", false, "safe"), route("unsafe", false, "once"),
                route("streaming", true, "stream"),
                route("safe", false, &format!("only-{}", self.version.get()))],
            "services": [{"name": "desk", "maxConns": 400}],
            "tenants": [{"name": "farm", "apiKeys": keys}]});
        self.store.put("op/config", config.to_string().as_bytes());
    }

    /// The version of the configuration that was written last.
    pub fn version(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.version)
    }

    /// A target starts again under its name.
    pub fn on_restart(&self, id: &str) {
        if let Some((target, _)) = self.targets.iter().find(|(t, _)| t.id == id) {
            target.on_restart();
        }
        self.write_entry(id, "ready");
    }

    /// Writes a target's entry.
    pub fn write_entry(&self, id: &str, state: &str) {
        let found = self.targets.iter().find(|(t, _)| t.id == id);
        let Some((target, link)) = found else { return };
        let entry = json!({"service": "desk", "address": link.address.to_string(),
            "zone": "yard", "version": "v1", "slots": 64, "state": state, "coldLeftMs": 0,
            "callSeq": 0, "born": 1_764_720_000_000 + target.births.get()});
        let key = format!("servers/{id}");
        self.store.put(&key, entry.to_string().as_bytes());
        self.promises.on_leaving(id, state != "ready");
    }

    /// Ends all faults, and starts what is not running.
    pub async fn heal(&self) {
        self.store.set_fault(StoreFault::default());
        for (target, link) in &self.targets {
            target.mood.set(crate::target::Mood::Well);
            withdrawals::fall_silent(self, target);
            link.set_fault(crate::link::Fault::None);
            self.write_entry(&target.id, "ready");
        }
        for vm in &self.vms {
            vm.store_link.set_fault(crate::link::Fault::None);
            vm.resume();
            vm.ensure_runs().await;
        }
        self.until_ready().await;
    }

    /// Stops all gateways as planned.
    pub async fn stop(&self) {
        for vm in &self.vms {
            vm.signal(Signal::TERM);
        }
        for vm in &self.vms {
            vm.until_ended().await;
        }
        match self.promises.verdict().is_kept() {
            // Nothing depends on whether the logs of a good run are left behind.
            true => drop(std::fs::remove_dir_all(&self.dir)),
            false => eprintln!("logs are in {}", self.dir.display()),
        }
    }
}

/// Two ports that are free on loopback now; gateways have them on addresses of their own.
fn free_ports() -> [u16; 4] {
    [(); 4].map(|()| {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("a bound port").port()
    })
}

fn vm(
    plan: &Plan,
    n: usize,
    ports: [u16; 4],
    store_link: Rc<Link>,
    dir: &std::path::Path,
    promises: &Rc<Promises>,
) -> Rc<Vm> {
    // Runs beside one another have networks of their own.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = |n: usize| Ipv4Addr::new(127, high.max(1), low, n as u8 + 1);
    let [front, ready, control, peers] = ports;
    let at = |port: u16| SocketAddr::from((ip(n), port)).to_string();
    let seeds: Vec<String> = (0..plan.vms.min(3))
        .map(|i| format!("{}:{control}", ip(i)))
        .collect();
    let settings: Value = json!({"node": format!("front-{n}"), "zone": "yard", "ipAddr": ip(n),
        "listen": {"front": at(front), "ready": at(ready), "control": at(control)},
        "internalPorts": [peers, peers], "seeds": seeds,
        "limits": {"maxFds": 4_100, "linkMbps": 1_000.0, "cpuShare": 0.25},
        "bounds": {"revokeMs": 5_000, "capFactor": 2, "budgetRatio": 0.2, "budgetWindowS": 10,
            "budgetExtra": 54, "graceS": 8},
        "platform": {"address": store_link.address.to_string()}});
    let path = dir.join(format!("front-{n}.json"));
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    Rc::new(Vm {
        n,
        promises: Rc::clone(promises),
        callers: SocketAddr::from((ip(n), front)),
        ready: SocketAddr::from((ip(n), ready)),
        log: dir.join(format!("front-{n}.log")),
        settings: path,
        program: plan.program.clone(),
        child: RefCell::default(),
        stopping: Cell::default(),
        harmed: Cell::default(),
        paused: Cell::default(),
        ending: Cell::default(),
        store_link,
        seen_version: Cell::default(),
    })
}

impl Vm {
    fn start(&self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let child = Command::new(&self.program)
            .env("SCALEFORD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .kill_on_drop(true)
            .spawn();
        *self.child.borrow_mut() = Some(child.expect("the program starts"));
        self.stopping.set(false);
        self.ending.set(false);
        self.harmed.set(false);
        self.seen_version.set(0);
        self.promises.withdrawals.on_interrupted(self.n);
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if signal != Signal::HUP {
            self.promises.withdrawals.on_interrupted(self.n);
        }
        let child = self.child.borrow();
        let id = child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            // A process that has just ended takes no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.paused.set(false);
        self.signal(Signal::CONT);
    }

    /// Whether the process has not ended.
    pub fn runs(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Waits for the process's end; kills it if it takes too long, and says whether it did.
    pub async fn until_ended(&self) -> bool {
        let Some(mut child) = self.child.borrow_mut().take() else {
            return true;
        };
        let ended = tokio::time::timeout(PATIENCE, child.wait()).await.is_ok();
        if !ended {
            // It is dropped right after, which kills it as well.
            let _ = child.start_kill();
        }
        ended
    }

    /// Starts it anew if it has ended or is about to.
    pub async fn ensure_runs(&self) {
        if self.ending.get() || !self.runs() {
            self.until_ended().await;
            self.start();
        }
    }

    async fn until_ready(&self) {
        loop {
            let asked = Caller::connect(self.ready).await;
            if let Some(mut caller) = asked
                && caller.is_ok().await
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }
}
