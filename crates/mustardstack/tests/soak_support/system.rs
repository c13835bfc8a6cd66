//! Instances of the system under test, stand-ins of the workers and the platform's list, and fault injection.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use super::relay::{MODES, Mode, Relay};
use super::{CHANGING, LASTING, REVOKE, Rng, SharedRecords, http, key_of, lock};

const CONTROL_COUNT: usize = 3;
const ENTRY_COUNT: usize = 2;
const WORKER_COUNT: usize = 2;
const CONTROL_PORT: u16 = 7_801;
const FRONT_PORT: u16 = 7_802;
const READY_PORT: u16 = 7_803;
const PEER_PORT: u16 = 7_804;
const WORKER_PORT: u16 = 7_810;
const RELAY_PORT: u16 = 7_811;
const LIST_PORT: u16 = 7_812;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Instance of the system under test, which runs as a process of its own.
struct Instance {
    ip: String,
    /// Settings file for every start after the first.
    settings: PathBuf,
    child: Child,
    is_paused: bool,
}

impl Instance {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // The signal fails if the process has ended, which needs no handling.
            let _ = kill_process(pid, signal);
        }
    }

    fn restart(&mut self) {
        // Killing fails if the process has ended. Waiting reaps the process in either case.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(&self.settings);
        self.is_paused = false;
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Instances, relays and files of a run.
pub struct System {
    instances: Vec<Instance>,
    relays: Vec<Relay>,
    _folder: tempfile::TempDir,
}

impl System {
    pub fn start(seed: u64, records: &SharedRecords) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        // Each seed uses other addresses, because the stand-in threads of earlier seeds keep listening on theirs.
        let network = format!("127.{}.{}", 10 + seed / 250 % 200, seed % 250);
        let mut relays = Vec::new();
        for worker in 0..WORKER_COUNT {
            let ip = format!("{network}.{}", 30 + worker);
            serve_worker(&format!("{ip}:{WORKER_PORT}"), records.clone());
            let (relay, worker) = (format!("{ip}:{RELAY_PORT}"), format!("{ip}:{WORKER_PORT}"));
            relays.push(Relay::start(&relay, &worker));
        }
        let list_address = format!("{network}.40:{LIST_PORT}");
        serve_platform(&list_address, &network, records.clone());
        let ips = (0..CONTROL_COUNT + ENTRY_COUNT).map(|index| format!("{network}.{}", 10 + index));
        let instances = ips
            .enumerate()
            .map(|(index, ip)| {
                let child = spawn(&write_settings(folder.path(), &network, &ip, index, true));
                let settings = write_settings(folder.path(), &network, &ip, index, false);
                Instance {
                    child,
                    settings,
                    ip,
                    is_paused: false,
                }
            })
            .collect();
        Self {
            instances,
            relays,
            _folder: folder,
        }
    }

    pub fn entry_addresses(&self) -> Vec<String> {
        let entries = self.instances[CONTROL_COUNT..].iter();
        entries
            .map(|instance| format!("{}:{FRONT_PORT}", instance.ip))
            .collect()
    }

    pub fn wait_ready(&self) {
        let end = Instant::now() + START_TIMEOUT;
        for instance in &self.instances[CONTROL_COUNT..] {
            let address = format!("{}:{READY_PORT}", instance.ip);
            let is_ready = || {
                http::send(&address, "GET", "/ready", &[], b"")
                    .is_ok_and(|response| response.status == 200)
            };
            while !is_ready() {
                assert!(Instant::now() < end, "{address} is not ready");
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Publishes a configuration as an operator does, by sending it to each replica in turn and following redirects until
    /// a replica acknowledges it.
    pub fn publish(&self, version: u64) -> Result<(), String> {
        let body = config_document(version).to_string();
        let end = Instant::now() + Duration::from_secs(if version == 1 { 20 } else { 2 });
        while Instant::now() < end {
            for instance in &self.instances[..CONTROL_COUNT] {
                let response = self.send_control_request(
                    &instance.ip,
                    "POST",
                    "/Config.Replace",
                    body.as_bytes(),
                );
                if response.is_some_and(|response| response.status == 200) {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("version {version} was not acknowledged"))
    }

    fn send_control_request(
        &self,
        ip: &str,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<http::Message> {
        let mut address = format!("{ip}:{CONTROL_PORT}");
        for _ in 0..3 {
            let response = http::send(&address, method, path, &[], body).ok()?;
            if response.status != 307 {
                return Some(response);
            }
            let location = response
                .header("Location")?
                .strip_prefix("http://")?
                .to_owned();
            address = location.split('/').next()?.to_owned();
        }
        None
    }

    /// Injects a random fault, or ends the fault of a relay or the pause of the instances.
    pub fn inject_fault(&mut self, rng: &mut Rng) {
        let relay = rng.below(WORKER_COUNT as u64) as usize;
        let instance = rng.below(self.instances.len() as u64) as usize;
        match rng.below(8) {
            0..=2 => self.relays[relay].set_mode(MODES[rng.below(MODES.len() as u64) as usize]),
            3 => self.instances[instance].restart(),
            4 => {
                self.instances[instance].signal(Signal::STOP);
                self.instances[instance].is_paused = true;
            }
            5 => {
                self.instances[instance].signal(Signal::TERM);
                thread::sleep(Duration::from_millis(rng.below(400)));
                self.instances[instance].restart();
            }
            6 => self.instances[..CONTROL_COUNT]
                .iter_mut()
                .for_each(Instance::restart),
            _ => self.resume_paused(),
        }
    }

    fn resume_paused(&mut self) {
        for instance in self
            .instances
            .iter_mut()
            .filter(|instance| instance.is_paused)
        {
            instance.signal(Signal::CONT);
            instance.is_paused = false;
        }
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.resume_paused();
        self.relays
            .iter()
            .for_each(|relay| relay.set_mode(Mode::Forward));
        for instance in &mut self.instances {
            if instance.child.try_wait().is_ok_and(|ended| ended.is_some()) {
                instance.restart();
            }
        }
    }

    /// Checks that the configuration that a replica returns is not older than the last acknowledged one.
    pub fn check_version(&self, acknowledged: u64) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            for instance in &self.instances[..CONTROL_COUNT] {
                let response =
                    self.send_control_request(&instance.ip, "GET", "/Config.Describe", b"");
                if let Some(response) = response.filter(|response| response.status == 200) {
                    let config: Value = serde_json::from_slice(&response.body).unwrap_or_default();
                    let version = config["Version"].as_u64().unwrap_or(0);
                    return match version >= acknowledged {
                        true => Ok(()),
                        false => Err(format!(
                            "a replica returned version {version} although version {acknowledged} was acknowledged"
                        )),
                    };
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("no replica returned the configuration after all faults had ended".to_owned())
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
        .expect("the binary can be started")
}

/// Writes a settings file as the platform does. The file is JSON, which is also valid YAML.
fn write_settings(
    folder: &Path,
    network: &str,
    ip: &str,
    index: usize,
    is_first_start: bool,
) -> PathBuf {
    let is_control = index < CONTROL_COUNT;
    let listen = match is_control {
        true => json!({ "Control": format!("{ip}:{CONTROL_PORT}") }),
        false => {
            json!({ "Front": format!("{ip}:{FRONT_PORT}"), "Ready": format!("{ip}:{READY_PORT}") })
        }
    };
    let seeds: Vec<_> = (0..CONTROL_COUNT)
        .map(|seed| format!("{network}.{}:{CONTROL_PORT}", 10 + seed))
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
        "Bounds": { "GraceS": 8, "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 50, "LeaseMs": 500,
            "WindowS": 0.5, "UsageLateS": 1,
            "StrictRevoke": true, "RevokeMs": REVOKE.as_millis() as u64 },
        "Cloud": { "Address": format!("{network}.40:{LIST_PORT}"), "Duties": ["usage"], "DutyPerS": 10 },
    });
    let path = folder.join(format!("settings-{index}-{is_first_start}.yaml"));
    std::fs::write(&path, settings.to_string()).expect("the settings can be written");
    path
}

fn config_document(version: u64) -> Value {
    json!({
        "Version": version,
        "Routes": [{
            "Name": "once", "Host": "soak", "PathPrefix": "/once/", "Kind": "unsafe", "TimeoutMs": 800,
            "TargetLatencyMs": 100, "Priority": 0, "Service": "orders", "MaxAttempts": 2,
        }],
        "Services": [{ "Name": "orders", "MaxConnections": 100 }],
        "Tenants": [
            { "Name": LASTING.0, "ApiKeys": [LASTING.1] },
            { "Name": CHANGING, "ApiKeys": [key_of(version)] },
            { "Name": "without keys", "ApiKeys": [] },
        ],
    })
}

/// Serves a stand-in of the platform, which lists every worker with the address of its relay, and takes reports of usage.
fn serve_platform(address: &str, network: &str, records: SharedRecords) {
    let workers: Vec<_> = (0..WORKER_COUNT)
        .map(|worker| {
            json!({
                "Id": format!("worker-{worker}"), "Service": "orders", "Zone": "zone-a", "Version": "v1", "Slots": 6,
                "State": "ready", "ColdRemainingMs": 0,
                "Address": format!("{network}.{}:{RELAY_PORT}", 30 + worker),
            })
        })
        .collect();
    let list = json!({ "Instances": workers, "Next": null }).to_string();
    http::serve(address, move |request| {
        if request.path == "/usage" {
            let header = |name| request.header(name).unwrap_or_default();
            let (holder, token) = (header("Lease-Holder"), header("Fencing-Token"));
            let report = serde_json::from_slice(&request.body).unwrap_or_default();
            let status = lock(&records).on_report(holder, token, &report);
            return (status, Vec::new(), b"{}".to_vec());
        }
        (200, Vec::new(), list.clone().into_bytes())
    });
}

/// Serves a worker that counts the runs of each request and rejects requests whose id ends in 7 as not executed.
fn serve_worker(address: &str, records: SharedRecords) {
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
        let (account, key) = (request.header("Tenant-Id"), request.header("Credential"));
        lock(&records).on_run(&id, account, key);
        let signature = ("Server-Signature".to_owned(), "s".to_owned());
        (
            200,
            vec![echo, signature],
            format!("answer to {id}").into_bytes(),
        )
    });
}
