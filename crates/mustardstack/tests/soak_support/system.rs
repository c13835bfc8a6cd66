//! The system's processes, the stand-ins of the platform, and the faults.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use super::relay::{MODES, Mode, Proxy};
use super::{Draw, SharedNotes, http, lock};

const CONTROLS: usize = 3;
const ENTRIES: usize = 2;
const WORKERS: usize = 2;
const CONTROL_PORT: u16 = 7_801;
const FRONT_PORT: u16 = 7_802;
const READY_PORT: u16 = 7_803;
const PEER_PORT: u16 = 7_804;
const WORKER_PORT: u16 = 7_810;
const PROXY_PORT: u16 = 7_811;
const LIST_PORT: u16 = 7_812;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One process of the system.
struct Node {
    ip: String,
    /// Settings for every start but the first.
    settings: PathBuf,
    child: Child,
    is_paused: bool,
}

impl Node {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // A process that has ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    fn restart(&mut self) {
        // A process that has ended by itself was waited for or is waited for now.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.settings);
        self.is_paused = false;
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All processes and stand-ins of a run.
pub struct System {
    nodes: Vec<Node>,
    proxies: Vec<Proxy>,
    _folder: tempfile::TempDir,
}

impl System {
    pub fn start(seed: u64, notes: &SharedNotes) -> Self {
        let folder = tempfile::tempdir().expect("a folder for settings and disks");
        // Each seed has addresses of its own, since threads of earlier stand-ins keep theirs.
        let net = format!("127.{}.{}", 10 + seed / 250 % 200, seed % 250);
        let mut proxies = Vec::new();
        for worker in 0..WORKERS {
            let ip = format!("{net}.{}", 30 + worker);
            serve_worker(&format!("{ip}:{WORKER_PORT}"), notes.clone());
            let (proxy, worker) = (format!("{ip}:{PROXY_PORT}"), format!("{ip}:{WORKER_PORT}"));
            proxies.push(Proxy::start(&proxy, &worker));
        }
        let list_address = format!("{net}.40:{LIST_PORT}");
        serve_list(&list_address, &net);
        let ips = (0..CONTROLS + ENTRIES).map(|index| format!("{net}.{}", 10 + index));
        let nodes = ips
            .enumerate()
            .map(|(index, ip)| {
                let child = spawn(&write_settings(folder.path(), &net, &ip, index, true));
                let settings = write_settings(folder.path(), &net, &ip, index, false);
                Node {
                    child,
                    settings,
                    ip,
                    is_paused: false,
                }
            })
            .collect();
        Self {
            nodes,
            proxies,
            _folder: folder,
        }
    }

    pub fn entry_addresses(&self) -> Vec<String> {
        let entries = self.nodes[CONTROLS..].iter();
        entries
            .map(|node| format!("{}:{FRONT_PORT}", node.ip))
            .collect()
    }

    pub fn wait_ready(&self) {
        let end = Instant::now() + START_TIMEOUT;
        for node in &self.nodes[CONTROLS..] {
            let address = format!("{}:{READY_PORT}", node.ip);
            let is_ready = || {
                http::call(&address, "GET", "/ready", &[], b"").is_ok_and(|one| one.status == 200)
            };
            while !is_ready() {
                assert!(Instant::now() < end, "{address} is not ready");
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Publishes a configuration as an operator does: any replica, following redirects, until one acknowledges it.
    pub fn publish(&self, version: u64) -> Result<(), String> {
        let body = document(version).to_string();
        let end = Instant::now() + Duration::from_secs(if version == 1 { 20 } else { 2 });
        while Instant::now() < end {
            for node in &self.nodes[..CONTROLS] {
                let answer =
                    self.control_call(&node.ip, "POST", "/Config.Replace", body.as_bytes());
                if answer.is_some_and(|answer| answer.status == 200) {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("version {version} was not acknowledged"))
    }

    fn control_call(
        &self,
        ip: &str,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<http::Message> {
        let mut address = format!("{ip}:{CONTROL_PORT}");
        for _ in 0..3 {
            let answer = http::call(&address, method, path, &[], body).ok()?;
            if answer.status != 307 {
                return Some(answer);
            }
            let location = answer
                .header("Location")?
                .strip_prefix("http://")?
                .to_owned();
            address = location.split('/').next()?.to_owned();
        }
        None
    }

    /// Injects one fault, or ends one.
    pub fn fault(&mut self, draw: &mut Draw) {
        let proxy = draw.below(WORKERS as u64) as usize;
        let node = draw.below(self.nodes.len() as u64) as usize;
        match draw.below(8) {
            0..=2 => self.proxies[proxy].set(MODES[draw.below(MODES.len() as u64) as usize]),
            3 => self.nodes[node].restart(),
            4 => {
                self.nodes[node].signal(Signal::STOP);
                self.nodes[node].is_paused = true;
            }
            5 => {
                self.nodes[node].signal(Signal::TERM);
                thread::sleep(Duration::from_millis(draw.below(400)));
                self.nodes[node].restart();
            }
            6 => self.nodes[..CONTROLS].iter_mut().for_each(Node::restart),
            _ => self.resume(),
        }
    }

    fn resume(&mut self) {
        for node in self.nodes.iter_mut().filter(|node| node.is_paused) {
            node.signal(Signal::CONT);
            node.is_paused = false;
        }
    }

    /// Ends all faults.
    pub fn mend(&mut self) {
        self.resume();
        self.proxies.iter().for_each(|proxy| proxy.set(Mode::Pass));
        for node in &mut self.nodes {
            if node.child.try_wait().is_ok_and(|ended| ended.is_some()) {
                node.restart();
            }
        }
    }

    /// Checks that the newest configuration is at least the last acknowledged one.
    pub fn check_version(&self, acknowledged: u64) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            for node in &self.nodes[..CONTROLS] {
                let answer = self.control_call(&node.ip, "GET", "/Config.Describe", b"");
                if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                    let read: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                    let version = read["Version"].as_u64().unwrap_or(0);
                    return match version >= acknowledged {
                        true => Ok(()),
                        false => Err(format!(
                            "version {version} is read after {acknowledged} was acknowledged"
                        )),
                    };
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("no replica can be read after all faults have ended".to_owned())
    }
}

fn spawn(settings: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_mustardstack"))
        .arg("join")
        .env("MUSTARDSTACK_NODE_FILE", settings)
        .env("PEER_SECRET", "soak")
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

/// Writes a settings file as the platform does; JSON is YAML too.
fn write_settings(
    folder: &Path,
    net: &str,
    ip: &str,
    index: usize,
    is_first_start: bool,
) -> PathBuf {
    let is_control = index < CONTROLS;
    let listen = match is_control {
        true => json!({ "Control": format!("{ip}:{CONTROL_PORT}") }),
        false => {
            json!({ "Front": format!("{ip}:{FRONT_PORT}"), "Ready": format!("{ip}:{READY_PORT}") })
        }
    };
    let seeds: Vec<_> = (0..CONTROLS)
        .map(|seed| format!("{net}.{}:{CONTROL_PORT}", 10 + seed))
        .collect();
    let settings = json!({
        "Serves": [if is_control { "control" } else { "front" }],
        "Ip": ip,
        "Zone": "zone-a",
        "Listen": listen,
        "InternalPorts": [PEER_PORT, PEER_PORT + 4],
        "Seeds": seeds,
        "Bootstrap": is_first_start,
        "DataDir": is_control.then(|| folder.join(format!("data-{index}"))),
        "FaultTolerance": { "Machines": 1 },
        "Bounds": { "GraceS": 8, "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 50, "LeaseMs": 3000 },
        "Cloud": { "Address": format!("{net}.40:{LIST_PORT}") },
    });
    let path = folder.join(format!("settings-{index}-{is_first_start}.yaml"));
    std::fs::write(&path, settings.to_string()).expect("the settings can be written");
    path
}

fn document(version: u64) -> Value {
    json!({
        "Version": version,
        "Routes": [{
            "Name": "once", "Host": "soak", "PathPrefix": "/once/", "Kind": "unsafe", "TimeoutMs": 800,
            "TargetLatencyMs": 100, "Priority": 0, "Service": "orders", "MaxAttempts": 2,
        }],
        "Services": [{ "Name": "orders", "MaxConnections": 100 }],
    })
}

fn serve_list(address: &str, net: &str) {
    let instances: Vec<_> = (0..WORKERS)
        .map(|worker| {
            json!({
                "Id": format!("worker-{worker}"), "Service": "orders", "Zone": "zone-a", "Slots": 6, "State": "ready",
                "Address": format!("{net}.{}:{PROXY_PORT}", 30 + worker),
            })
        })
        .collect();
    let list = json!({ "Instances": instances, "Next": null }).to_string();
    http::serve(address, move |_| {
        (200, Vec::new(), list.clone().into_bytes())
    });
}

/// Serves a worker that counts the runs of each request and rejects some.
fn serve_worker(address: &str, notes: SharedNotes) {
    http::serve(address, move |request| {
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        let echo = ("Request-Id".to_owned(), id.clone());
        if id.ends_with('7') {
            return (
                503,
                vec![echo, ("Not-Executed".to_owned(), "1".to_owned())],
                Vec::new(),
            );
        }
        *lock(&notes).runs.entry(id.clone()).or_insert(0) += 1;
        let signature = ("Server-Signature".to_owned(), "s".to_owned());
        (
            200,
            vec![echo, signature],
            format!("answer to {id}").into_bytes(),
        )
    });
}
