//! The project's daemons, started with the command of the deploy file.

use std::{
    ffi::c_int,
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Conn, store::Store};

/// Time within which a daemon has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of the signal by which the platform stops a process.
const SIGTERM: c_int = 15;

unsafe extern "C" {
    fn kill(pid: c_int, signal: c_int) -> c_int;
}

/// Ports of the daemons, which are the same on all machines.
#[derive(Debug, Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

/// A small deployment of daemons, each at a loopback address of its own.
pub struct Fleet {
    folder: PathBuf,
    program: PathBuf,
    store: SocketAddr,
    ports: Ports,
    routers: Vec<Option<Child>>,
    starts: u32,
}

impl Fleet {
    /// Starts `n` daemons and waits until all are ready. The daemons' settings and logs are in `folder`.
    pub fn start(root: &Path, folder: &Path, store: &Store, n: usize) -> io::Result<Self> {
        let listeners: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()?;
        let port = |i: usize| listeners[i].local_addr().map(|a| a.port());
        let ports = Ports {
            front: port(0)?,
            ready: port(1)?,
            control: port(2)?,
            internal: port(3)?,
        };
        drop(listeners);
        let mut fleet = Self {
            folder: folder.to_owned(),
            program: root.join("target/release/scalefordd"),
            store: store.address,
            ports,
            routers: (0..n).map(|_| None).collect(),
            starts: 0,
        };
        for i in 0..n {
            fleet.start_one(i, true)?;
        }
        for i in 0..n {
            fleet.wait_until_ready(i)?;
        }
        Ok(fleet)
    }

    /// Starts one daemon.
    pub fn start_one(&mut self, i: usize, is_first: bool) -> io::Result<()> {
        let file = self.folder.join(format!("front-{i}.json"));
        fs::write(&file, self.settings(i, is_first))?;
        self.starts += 1;
        let log = self.folder.join(format!("front-{i}.{}.log", self.starts));
        let child = Command::new(&self.program)
            .env_clear()
            .env("SCALEFORD_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(File::create(log)?)
            .stderr(Stdio::null())
            .spawn()?;
        self.routers[i] = Some(child);
        Ok(())
    }

    /// Kills one daemon.
    pub fn kill(&mut self, i: usize) -> io::Result<()> {
        if let Some(mut child) = self.routers[i].take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends SIGTERM to one daemon.
    pub fn terminate(&mut self, i: usize) -> io::Result<()> {
        let child = self.routers[i].as_ref();
        let pid = child.map_or(0, Child::id) as c_int;
        // SAFETY: the call takes no pointers. The process is a child that was not waited for, so that no other
        // process has its id.
        match pid != 0 && unsafe { kill(pid, SIGTERM) } == 0 {
            true => Ok(()),
            false => Err(io::Error::other(format!("daemon {i} not stopped"))),
        }
    }

    /// Returns whether a daemon has ended.
    pub fn has_ended(&mut self, i: usize) -> io::Result<bool> {
        match &mut self.routers[i] {
            Some(child) => Ok(child.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Returns the address at which a daemon serves clients.
    pub fn front(&self, i: usize) -> SocketAddr {
        self.address(i, self.ports.front)
    }

    /// Waits until a daemon says that it is ready.
    pub fn wait_until_ready(&self, i: usize) -> io::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready(i).unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("daemon {i} is not ready")))
    }

    /// Returns the address at which a daemon says whether it is ready.
    pub fn ready(&self, i: usize) -> SocketAddr {
        self.address(i, self.ports.ready)
    }

    fn is_ready(&self, i: usize) -> io::Result<bool> {
        is_ready(self.ready(i))
    }

    fn address(&self, i: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 11 + i as u8], port))
    }

    fn settings(&self, i: usize, is_first: bool) -> String {
        let at = |port| self.address(i, port);
        let Ports {
            front,
            ready,
            control,
            internal,
        } = self.ports;
        let seeds: Vec<String> = (0..self.routers.len().min(3))
            .map(|s| format!("\"{}\"", self.address(s, control)))
            .collect();
        format!(
            r#"{{"node": "front-{i}", "role": "gateway", "class": "front", "serves": ["front", "control"],
"ipAddr": "{}", "zone": "yard", "region": "hokkaido", "zones": {{"yard": "hokkaido"}},
"listen": {{"front": "{}", "ready": "{}", "control": "{}"}},
"internalPorts": [{internal}, {}], "seeds": [{}], "bootstrap": {is_first}, "countsAsLoss": false,
"limits": {{"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}},
"dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"],
"tolerate": {{"machines": 1, "zones": 0, "regions": 0}},
"bounds": {{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
"graceS": 8, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": true,
"revokeMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 54, "recoverS": 12, "passMs": 120,
"retryAfterS": 10, "capFactor": 2}},
"platform": {{"address": "{}", "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
"valueBytes": 1048576, "ttlMinMs": 1000}}}}"#,
            at(front).ip(),
            at(front),
            at(ready),
            at(control),
            internal + 15,
            seeds.join(", "),
            self.store
        )
    }
}

/// Asks a daemon whether it is ready.
pub fn is_ready(at: SocketAddr) -> io::Result<bool> {
    let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut conn = Conn::new(stream);
    conn.send(b"GET /scaleford/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
    Ok(conn.head()?.status() == 200)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.routers.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
