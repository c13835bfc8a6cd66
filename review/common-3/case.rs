//! Stand-ins and scenarios of the cases 11 to 15. Uses the standard library only.
//!
//! Usage: case SCENARIO RECORD, the file to which the run is written. Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run. With TROUBLE=0
//! the scenario runs without its disruption.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bound on requests to workers that leave, as the settings state it.
const DRAIN_MS: u64 = 3_000;
/// Deadline of every client.
const DEADLINE_MS: u64 = 1_500;
/// Time for which a worker runs a request.
const WORK_MS: u64 = 200;
/// Host of all requests.
const HOST: &str = "ficu95.example";

// ---------------------------------------------------------------------------------------------------------- records

/// The record of a run, with the time since its start.
#[derive(Clone)]
struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} s  {text}", self.start.elapsed().as_secs_f64());
    }
}

// ------------------------------------------------------------------------------------------------------------- HTTP

#[derive(Debug, Default)]
struct Message {
    /// Request line or status line.
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// Whether the body has arrived in full.
    whole: bool,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        let mut words = self.first.split_whitespace();
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message. Returns none if the connection ends before the head is complete.
fn read_message(reader: &mut BufReader<TcpStream>, is_answer: bool) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            break;
        }
        if message.first.is_empty() {
            message.first = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
    let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
    if is_chunked {
        loop {
            line.clear();
            if reader.read_line(&mut line).ok().unwrap_or(0) == 0 {
                return Some(message);
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return Some(message);
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Some(message);
            }
            if size == 0 {
                message.whole = true;
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = length {
        let mut body = vec![0; length];
        message.whole = reader.read_exact(&mut body).is_ok();
        if message.whole {
            message.body = body;
        }
    } else if is_answer {
        message.whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.whole = true;
    }
    Some(message)
}

/// Sends a request on a new connection and returns the answer.
fn call(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Result<Message, String> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1))).map_err(|e| e.to_string())?;
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_nodelay(true);
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(|e| e.to_string())?;
    let message = read_message(&mut BufReader::new(stream), true).ok_or("closed without an answer")?;
    if message.whole { Ok(message) } else { Err("the answer ended early".to_owned()) }
}

/// A listener whose connections all end when it is stopped, as at the end of a process.
struct Server {
    running: Arc<AtomicBool>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
    address: SocketAddr,
}

impl Server {
    fn start(
        address: SocketAddr,
        handle: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let running = Arc::new(AtomicBool::new(true));
        let open: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let handle = Arc::new(handle);
        let (is_running, streams) = (running.clone(), open.clone());
        let number = AtomicU64::new(0);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !is_running.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                let id = number.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().insert(id, copy);
                }
                let (handle, streams) = (handle.clone(), streams.clone());
                thread::spawn(move || {
                    let mut writer = stream.try_clone().expect("a socket can be cloned");
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_message(&mut reader, false) {
                        if !request.whole || writer.write_all(&handle(&request)).is_err() {
                            break;
                        }
                    }
                    streams.lock().unwrap().remove(&id);
                });
            }
        });
        Ok(Self { running, open, address })
    }

    fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ------------------------------------------------------------------------------------------------------- deployment

#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

struct Node {
    name: String,
    ip: String,
    child: Option<Child>,
}

/// A small deployment: core machines and front machines, each with an address of its own.
struct Deployment {
    record: Record,
    folder: PathBuf,
    ports: Ports,
    net: u8,
    platform: SocketAddr,
    nodes: Vec<Node>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Second byte of all addresses of this run.
fn net_number() -> u8 {
    (std::process::id() % 200 + 20) as u8
}

/// The first of eight free ports, the same at each call.
fn free_port() -> u16 {
    static FIRST: std::sync::OnceLock<u16> = std::sync::OnceLock::new();
    *FIRST.get_or_init(|| {
        let base = 20_000 + (std::process::id() % 300) as u16 * 20;
        let is_free = |port: u16| TcpListener::bind(("0.0.0.0", port)).is_ok();
        let mut firsts = (base..base + 5_000).step_by(10);
        firsts.find(|first| (*first..*first + 8).all(is_free)).expect("free ports")
    })
}

impl Deployment {
    fn new(record: &Record) -> Self {
        let pid = std::process::id();
        let net = net_number();
        let folder = std::env::temp_dir().join(format!("review-3-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let first = free_port();
        let ports = Ports {
            front: first,
            ready: first + 1,
            control: first + 2,
            internal: first + 3,
        };
        Self {
            record: record.clone(),
            folder,
            ports,
            net,
            platform: format!("127.{net}.200.1:{}", first + 6).parse().unwrap(),
            nodes: Vec::new(),
        }
    }

    fn ip(&self, zone: usize, number: usize) -> String {
        format!("127.{}.{}.{number}", self.net, zone + 1)
    }

    fn worker_address(&self, zone: usize, number: usize) -> String {
        format!("{}:{}", self.ip(zone, 100 + number), self.ports.first_worker())
    }

    /// Starts a machine with the command of the deploy file.
    fn start(&mut self, class: &str, zone: usize, number: usize, seeds: &[String], is_first: bool) -> usize {
        let name = format!("{class}-{}-{number}", ["a", "b", "c"][zone]);
        let ip = self.ip(zone, if class == "core" { 1 } else { 10 } + number);
        let Ports { front, ready, control, internal } = self.ports;
        let (serves, listen, data) = match class {
            "core" => {
                let data = self.folder.join(format!("data-{name}"));
                fs::create_dir_all(&data).expect("a data folder");
                ("control", format!("  Control: \"{ip}:{control}\"\n"), format!("\"{}\"", data.display()))
            }
            _ => (
                "front",
                format!("  Front: \"{ip}:{front}\"\n  Ready: \"{ip}:{ready}\"\n"),
                "null".to_owned(),
            ),
        };
        let seeds: String = seeds.iter().map(|ip| format!("  - \"{ip}:{control}\"\n")).collect();
        let role = if class == "core" { "control" } else { "entry" };
        let counts = class == "core";
        let settings = format!(
            "Node: \"{name}\"\nRole: \"{role}\"\nMachineClass: \"{class}\"\nServes:\n  - \"{serves}\"\nIp: \"{ip}\"\n\
             Zone: \"zone-{}\"\nRegion: \"valle\"\nZones:\n  zone-a: \"valle\"\n  zone-b: \"valle\"\n  zone-c: \"valle\"\n\
             Listen:\n{listen}InternalPorts:\n  - {internal}\n  - {}\nSeeds:\n{seeds}Bootstrap: {is_first}\n\
             CountTowardTolerance: {counts}\nLimits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n  MaxFds: 4100\n  \
             LinkMbps: 1000.0\n  DiskMb: 128\nDataDir: {data}\nDiscovery: \"cloud\"\nEntry: \"vip\"\nHeartbeatMs: 1200\n\
             Contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"split\"\n\
             FaultTolerance:\n  Machines: 1\n  Zones: 1\n  Regions: 0\nBounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  \
             ContactWindowMs: 3000\n  AckMs: 4000\n  CatchUpS: 4\n  DrainMs: {DRAIN_MS}\n  GraceS: 8\n  LossSlackMs: 200\n  \
             ConfigMs: 2000\n  RollbackSlackMs: 250\n  MaxSkewMs: 5000\n  BudgetRatio: 0.2\n  BudgetWindowS: 10\n  \
             BudgetSlack: 56\n  RecoveryS: 12\n  TransitMs: 120\n  CacheWindowS: 10\n  RequireFence: true\n  LeaseMs: 3000\n  \
             ThawMs: 300\nConfigMode: \"highest\"\nCloud:\n  Address: \"{}\"\n  RatePerS: 44.0\n  Duties: []\n  LagMs: 800\n",
            ["a", "b", "c"][zone],
            internal + 2,
            self.platform,
        );
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("a settings file");
        let output = File::create(self.folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new("target/release/mustardstack")
            .arg("join")
            .env("MUSTARDSTACK_NODE_FILE", &path)
            .env("PEER_SECRET", "set-at-deployment")
            .stdout(output.try_clone().expect("a log file"))
            .stderr(output)
            .stdin(Stdio::null())
            .spawn();
        match child {
            Ok(child) => {
                self.record.line(&format!("{name} at {ip} starts as process {}", child.id()));
                if let Some(path) = std::env::var_os("CASE_PIDS") {
                    let file = fs::OpenOptions::new().create(true).append(true).open(path);
                    if let Ok(mut file) = file {
                        let _ = writeln!(file, "{}", child.id());
                    }
                }
                self.nodes.push(Node { name, ip, child: Some(child) });
                self.nodes.len() - 1
            }
            Err(error) => {
                println!("target/release/mustardstack cannot be started: {error}");
                std::process::exit(2);
            }
        }
    }

    /// Removes a machine for good, with SIGTERM. The platform kills it after the grace period, which is not waited for.
    fn terminate(&mut self, index: usize) {
        let node = &self.nodes[index];
        if let Some(child) = &node.child {
            let _ = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
        }
        let text = format!("{} gets SIGTERM and doesn't come back", node.name);
        self.record.say(&text);
    }

    /// Stops a machine with SIGKILL, for good.
    fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let text = format!("{} is killed", node.name);
        self.record.say(&text);
    }

    fn addresses(&self, class: &str, port: u16) -> Vec<SocketAddr> {
        let nodes = self.nodes.iter().filter(|node| node.name.starts_with(class) && node.child.is_some());
        nodes.map(|node| format!("{}:{port}", node.ip).parse().unwrap()).collect()
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        self.addresses("front", self.ports.front)
    }

    /// Publishes a configuration as the operator does, until it is acknowledged. Returns false after `limit`.
    fn publish(&self, document: &str, limit: Duration) -> bool {
        let begin = Instant::now();
        let mut last = String::new();
        while begin.elapsed() < limit {
            for node in self.addresses("core", self.ports.control) {
                let mut to = node;
                for _ in 0..3 {
                    let head = format!("POST /Config.Replace HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n");
                    let result = call(to, &head, document.as_bytes(), Duration::from_secs(1));
                    let text = match &result {
                        Ok(answer) => answer.first.clone(),
                        Err(error) => error.clone(),
                    };
                    if text != last {
                        self.record.line(&format!("operator: {node} answers {text}"));
                        last = text;
                    }
                    match result {
                        Ok(answer) if answer.status() == 200 => return true,
                        Ok(answer) if answer.status() == 307 => {
                            let location = answer.header("location").unwrap_or("").to_owned();
                            let host = location.trim_start_matches("http://").split('/').next().unwrap_or("");
                            match host.parse() {
                                Ok(address) => to = address,
                                Err(_) => break,
                            }
                        }
                        _ => break,
                    }
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Returns whether a core machine answers reads itself, as the leader does.
    fn is_leader(&self, index: usize) -> bool {
        let to: SocketAddr = format!("{}:{}", self.nodes[index].ip, self.ports.control).parse().unwrap();
        let head = format!("GET /Config.Describe HTTP/1.1\r\nHost: {to}\r\n");
        call(to, &head, b"", Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }

    /// Adds the changes of the voters, as the core machines' logs state them, to the record.
    fn record_voters(&self) {
        for node in self.nodes.iter().filter(|node| node.name.starts_with("core")) {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", node.name))).unwrap_or_default();
            for line in log.lines().filter(|line| line.contains("voters=")) {
                self.record.line(&format!("log of {}: {line}", node.name));
            }
        }
    }

    /// Waits until all front machines say that they are ready.
    fn wait_ready(&self, limit: Duration) -> bool {
        let begin = Instant::now();
        while begin.elapsed() < limit {
            let ready = self.addresses("front", self.ports.ready);
            let is_ready = |to: &SocketAddr| {
                let answer = call(*to, "GET /ready HTTP/1.1\r\nHost: r\r\n", b"", Duration::from_secs(1));
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            if ready.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }
}

impl Ports {
    fn first_worker(self) -> u16 {
        self.internal + 4
    }
}

// ------------------------------------------------------------------------------------------------ platform, workers

/// The platform's list: the text of each of its entries, as it was written.
type List = Arc<Mutex<Vec<Vec<u8>>>>;

/// The platform: shows its list, in one page.
fn start_platform(address: SocketAddr, list: List, record: Record) -> Server {
    let reads = AtomicU64::new(0);
    let handle = move |_: &Message| {
        let entries = list.lock().unwrap();
        let mut body = b"{\"Instances\":[".to_vec();
        body.extend_from_slice(&entries.join(&b","[..]));
        body.extend_from_slice(b"],\"Next\":null}");
        if reads.fetch_add(1, Ordering::SeqCst) == 0 {
            record.line("platform: the list is read for the first time");
        }
        answer("200 OK", "Content-Type: application/json\r\n", &body)
    };
    Server::start(address, handle).expect("the platform's address is free")
}

fn entry(id: &str, address: &str, zone: usize, state: &str) -> Vec<u8> {
    let zone = ["a", "b", "c"][zone];
    format!(
        "{{\"Service\":\"wuno96b\",\"Address\":\"{address}\",\"Zone\":\"zone-{zone}\",\"Version\":\"v1\",\"Slots\":6,\
         \"State\":\"{state}\",\"ColdRemainingMs\":0,\"Id\":\"{id}\",\"born\":1777565860179}}"
    )
    .into_bytes()
}

/// One arrival of a client's request at a worker.
#[derive(Clone, Debug)]
struct Arrival {
    worker: String,
    request: String,
    at_ms: u64,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A worker of the plain service: runs each request for `WORK_MS` and answers with its own body.
fn start_worker(id: &str, address: &str, record: &Record, arrivals: &Arrivals) -> Server {
    let (id, record, arrivals) = (id.to_owned(), record.clone(), arrivals.clone());
    let handle = move |request: &Message| {
        let instance = format!("Instance-Id: {id}\r\nServer-Load: 1,0,6\r\nKeep-Alive: timeout=8\r\n");
        if request.first.starts_with("GET /health") {
            return answer("200 OK", &instance, b"");
        }
        let number = request.header("request-id").unwrap_or("").to_owned();
        if number.is_empty() {
            return answer("400 Bad Request", &format!("Not-Executed: 1\r\n{instance}"), b"");
        }
        if request.header("expected-instance").is_some_and(|expected| expected != id) {
            return answer("421 Misdirected Request", &instance, b"");
        }
        let at_ms = record.ms();
        record.line(&format!("worker {id}: runs request {number}"));
        arrivals.lock().unwrap().push(Arrival {
            worker: id.clone(),
            request: number.clone(),
            at_ms,
        });
        thread::sleep(Duration::from_millis(WORK_MS));
        let headers = format!("Request-Id: {number}\r\nServer-Signature: {id}.{number}\r\n{instance}");
        answer("200 OK", &headers, format!("{id} did {number}").as_bytes())
    };
    let address = address.parse().expect("an address");
    Server::start(address, handle).expect("the worker's address is free")
}

/// A configuration with an unsafe and a safe route to the plain service.
fn document(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":1500,\
             \"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"wuno96b\",\"MaxAttempts\":{attempts}}}"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"wuno96b\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        route("r-unsafe", "/puxa403/", "unsafe", 1),
        route("r-safe", "/cufi504/", "safe", 2),
    )
}

/// How a client's request ended.
#[derive(Clone, Debug)]
struct Ending {
    request: String,
    sent_ms: u64,
    status: u16,
}

type Endings = Arc<Mutex<Vec<Ending>>>;

/// Sends one request, like a client of the platform, and records how it ends; status 0 stands for a closed connection.
fn send(front: SocketAddr, number: String, is_safe: bool, record: &Record, endings: &Endings) {
    let sent_ms = record.ms();
    let (method, prefix) = if is_safe { ("GET", "cufi504") } else { ("POST", "puxa403") };
    let head = format!(
        "{method} /{prefix}/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {number}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
    );
    let result = call(front, &head, b"", Duration::from_millis(DEADLINE_MS + 1_000));
    let (status, text) = match result {
        Ok(answer) => (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()),
        Err(error) => (0, error),
    };
    record.line(&format!("client: request {number} to {front} ends with {status} ({text})"));
    endings.lock().unwrap().push(Ending {
        request: number,
        sent_ms,
        status,
    });
}

/// Sends requests to each front in turn at an interval, until `running` is false.
fn start_clients(
    fronts: Vec<SocketAddr>,
    interval: Duration,
    record: &Record,
    endings: &Endings,
    running: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, endings, running) = (record.clone(), endings.clone(), running.clone());
    thread::spawn(move || {
        let mut open = Vec::new();
        for number in 0_u64.. {
            if !running.load(Ordering::SeqCst) {
                break;
            }
            let front = fronts[number as usize % fronts.len()];
            let (record, endings) = (record.clone(), endings.clone());
            open.push(thread::spawn(move || {
                send(front, format!("{number:016x}"), false, &record, &endings);
            }));
            thread::sleep(interval);
        }
        for request in open {
            let _ = request.join();
        }
    })
}

fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn cannot_run(reason: &str) -> i32 {
    println!("the case cannot run: {reason}");
    2
}

fn sleep_until(record: &Record, ms: u64) {
    let now = record.ms();
    if ms > now {
        thread::sleep(Duration::from_millis(ms - now));
    }
}

// -------------------------------------------------------------------------------------------------------- scenarios

/// The platform's list also holds an entry of another writer, which names no worker to use. A worker then leaves.
fn foreign_entry(record: &Path, foreign: &[u8], text: &str) -> i32 {
    let record = Record::new(record);
    let mut deployment = Deployment::new(&record);
    let list: List = Arc::default();
    let arrivals: Arrivals = Arc::default();
    let endings: Endings = Arc::default();
    let platform = start_platform(deployment.platform, list.clone(), record.clone());
    let ids = ["i-a1", "i-b1", "i-c1"];
    let addresses: Vec<String> = (0..3).map(|zone| deployment.worker_address(zone, 1)).collect();
    let workers: Vec<Server> =
        (0..3).map(|zone| start_worker(ids[zone], &addresses[zone], &record, &arrivals)).collect();
    let good = |state: &str| -> Vec<Vec<u8>> {
        (0..3).map(|zone| entry(ids[zone], &addresses[zone], zone, if zone == 0 { state } else { "ready" })).collect()
    };
    if has_trouble() && std::env::var_os("AT_START").is_some() {
        list.lock().unwrap().push(foreign.to_vec());
    }
    list.lock().unwrap().extend(good("ready"));
    let seeds: Vec<String> = (0..3).map(|zone| deployment.ip(zone, 2)).collect();
    for zone in 0..3 {
        deployment.start("core", zone, 1, &seeds, true);
        deployment.start("front", zone, 1, &seeds, true);
    }
    if !deployment.publish(&document(7), Duration::from_secs(20)) || !deployment.wait_ready(Duration::from_secs(20)) {
        return cannot_run("the deployment doesn't become ready");
    }
    // All machines are in touch after ContactWindowMs.
    thread::sleep(Duration::from_millis(4_000));
    let running = Arc::new(AtomicBool::new(true));
    let clients = start_clients(deployment.fronts(), Duration::from_millis(40), &record, &endings, &running);
    let begin_ms = record.ms();
    record.say("clients begin");
    sleep_until(&record, begin_ms + 4_000);
    let extra = match has_trouble() {
        true => {
            record.say(&format!("platform: the list also holds an entry of another writer, {text}"));
            record.line(&format!("that entry: {}", String::from_utf8_lossy(foreign)));
            vec![foreign.to_vec()]
        }
        false => Vec::new(),
    };
    let show = |entries: Vec<Vec<u8>>| {
        let mut shown = list.lock().unwrap();
        *shown = match std::env::var_os("ENTRY_FIRST") {
            Some(_) => extra.iter().cloned().chain(entries).collect(),
            None => entries.into_iter().chain(extra.iter().cloned()).collect(),
        };
    };
    show(good("ready"));
    sleep_until(&record, begin_ms + 7_000);
    let shown_ms = record.ms();
    show(good("draining"));
    record.say("platform: the list shows i-a1 as draining");
    // The worker serves on for DrainMs and 3 s more, then ends and leaves the list.
    sleep_until(&record, shown_ms + DRAIN_MS + 3_000);
    let ended_ms = record.ms();
    workers[0].stop();
    show(good("draining").into_iter().skip(1).collect());
    record.say("worker i-a1 ends, and is gone from the list");
    sleep_until(&record, ended_ms + 4_000);
    running.store(false, Ordering::SeqCst);
    let _ = clients.join();
    platform.stop();
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<&Arrival> =
        arrivals.iter().filter(|a| a.worker == "i-a1" && a.at_ms > shown_ms + DRAIN_MS).collect();
    let endings = endings.lock().unwrap();
    let lost = |ending: &&Ending| !(200..300).contains(&ending.status);
    let failed: Vec<&Ending> = endings.iter().filter(lost).collect();
    for ending in &failed {
        let ran = arrivals.iter().filter(|a| a.request == ending.request).count();
        record.say(&format!("request {}, sent at {} ms, ended with {} and ran {ran} times", ending.request, ending.sent_ms, ending.status));
    }
    record.say(&format!(
        "{} requests sent, {} not answered with success; {} reached i-a1 later than DrainMs = {DRAIN_MS} ms after the list \
         had shown it as draining, the last one {} ms after",
        endings.len(),
        failed.len(),
        late.len(),
        late.last().map_or(0, |a| a.at_ms - shown_ms),
    ));
    if endings.len() < 100 {
        return cannot_run("too few requests were sent");
    }
    i32::from(!late.is_empty())
}

/// The whole system starts for the first time, and one core machine is lost for good meanwhile.
fn first_start(record: &Path) -> i32 {
    let record = Record::new(record);
    let mut deployment = Deployment::new(&record);
    let list: List = Arc::default();
    let arrivals: Arrivals = Arc::default();
    let endings: Endings = Arc::default();
    let platform = start_platform(deployment.platform, list.clone(), record.clone());
    let ids = ["i-a1", "i-b1", "i-c1"];
    let addresses: Vec<String> = (0..3).map(|zone| deployment.worker_address(zone, 1)).collect();
    let _workers: Vec<Server> =
        (0..3).map(|zone| start_worker(ids[zone], &addresses[zone], &record, &arrivals)).collect();
    list.lock().unwrap().extend((0..3).map(|zone| entry(ids[zone], &addresses[zone], zone, "ready")));
    let seeds: Vec<String> = (0..3).map(|zone| deployment.ip(zone, 2)).collect();
    let mut lost = None;
    for zone in 0..3 {
        let core = deployment.start("core", zone, 1, &seeds, true);
        if zone == 2 {
            lost = Some(core);
        }
        if zone == 2 && has_trouble() {
            deployment.kill(core);
        }
        deployment.start("front", zone, 1, &seeds, true);
    }
    let _ = lost;
    thread::sleep(Duration::from_millis(2_000));
    if has_trouble() {
        record.say("another core machine is added in the zone of the lost one, at a new address and with an empty disk");
        deployment.start("core", 2, 2, &seeds, false);
    }
    let is_acknowledged = deployment.publish(&document(7), Duration::from_secs(60));
    record.say(&format!("the first configuration is acknowledged: {is_acknowledged}"));
    let is_ready = is_acknowledged && deployment.wait_ready(Duration::from_secs(10));
    for number in 0..30 {
        let fronts = deployment.fronts();
        send(fronts[number % 3], format!("{number:016x}"), true, &record, &endings);
    }
    platform.stop();
    let served = endings.lock().unwrap().iter().filter(|ending| ending.status == 200).count();
    record.say(&format!("front machines ready: {is_ready}; {served} of 30 requests served"));
    i32::from(served == 0)
}

/// The operator publishes a configuration with the largest version that fits the wire's integers, and a new route.
fn largest_version(record: &Path) -> i32 {
    let record = Record::new(record);
    let mut deployment = Deployment::new(&record);
    let list: List = Arc::default();
    let arrivals: Arrivals = Arc::default();
    let endings: Endings = Arc::default();
    let platform = start_platform(deployment.platform, list.clone(), record.clone());
    let addresses: Vec<String> = (0..3).map(|zone| deployment.worker_address(zone, 1)).collect();
    let ids = ["i-a1", "i-b1", "i-c1"];
    let _workers: Vec<Server> =
        (0..3).map(|zone| start_worker(ids[zone], &addresses[zone], &record, &arrivals)).collect();
    list.lock().unwrap().extend((0..3).map(|zone| entry(ids[zone], &addresses[zone], zone, "ready")));
    let seeds: Vec<String> = (0..3).map(|zone| deployment.ip(zone, 2)).collect();
    for zone in 0..3 {
        deployment.start("core", zone, 1, &seeds, true);
        deployment.start("front", zone, 1, &seeds, true);
    }
    let first = document(7).replace("/cufi504/", "/kept/");
    if !deployment.publish(&first, Duration::from_secs(20)) || !deployment.wait_ready(Duration::from_secs(20)) {
        return cannot_run("the deployment doesn't become ready");
    }
    let version = if has_trouble() { u64::MAX } else { u64::MAX - 1 };
    if !deployment.publish(&document(version), Duration::from_secs(20)) {
        return cannot_run("the second configuration isn't acknowledged");
    }
    record.say(&format!("version {version} is acknowledged"));
    thread::sleep(Duration::from_secs(5));
    let mut read = 0;
    for node in deployment.addresses("core", deployment.ports.control) {
        let head = format!("GET /Config.Describe HTTP/1.1\r\nHost: {node}\r\n");
        if let Ok(answer) = call(node, &head, b"", Duration::from_secs(1)) {
            if answer.status() == 200 {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let version = text.split("\"Version\":").nth(1).and_then(|rest| rest.split(',').next()).unwrap_or("");
                record.say(&format!("{node} describes version {version}"));
                read = version.parse().unwrap_or(0);
            }
        }
    }
    for (number, front) in deployment.fronts().into_iter().enumerate() {
        send(front, format!("{number:016x}"), true, &record, &endings);
    }
    platform.stop();
    let served = endings.lock().unwrap().iter().filter(|ending| ending.status == 200).count();
    record.say(&format!("{served} of 3 requests on the new route served"));
    i32::from(read != version)
}

/// Reads the configuration back from all core machines for 24 s, or until one describes `wanted`. Returns the newest version.
fn read_back(deployment: &Deployment, record: &Record, wanted: u64) -> u64 {
    const ASK: Duration = Duration::from_secs(24);
    let begin = Instant::now();
    let mut newest = 0;
    let mut answers: HashMap<String, u32> = HashMap::new();
    while begin.elapsed() < ASK && newest < wanted {
        for node in deployment.addresses("core", deployment.ports.control) {
            let head = format!("GET /Config.Describe HTTP/1.1\r\nHost: {node}\r\n");
            let text = match call(node, &head, b"", Duration::from_secs(1)) {
                Ok(answer) => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let version = body.split("\"Version\":").nth(1).and_then(|rest| rest.split(',').next()).unwrap_or("");
                    if answer.status() == 200 {
                        newest = newest.max(version.parse().unwrap_or(0));
                    }
                    format!("{node}: {} version {version:?}", answer.status())
                }
                Err(error) => format!("{node}: {error}"),
            };
            *answers.entry(text).or_default() += 1;
        }
        thread::sleep(Duration::from_millis(400));
    }
    for (text, count) in &answers {
        record.say(&format!("{count} reads, {text}"));
    }
    newest
}

/// Two core machines are replaced: their successors run for 10 s, then both are removed without a signal. One second later
/// another core machine loses its disk.
fn two_replaced(record: &Path) -> i32 {
    const SUCCESSORS_RUN: Duration = Duration::from_secs(10);
    const CATCH_UP_AND_RECOVERY: Duration = Duration::from_secs(4 + 12);
    let record = Record::new(record);
    // VARIANT: "removals" and "disk" are one half of the trouble; "one" removes one machine only; "sigterm" gives both a signal.
    let variant = std::env::var("VARIANT").unwrap_or_default();
    let mut deployment = Deployment::new(&record);
    let list: List = Arc::default();
    let arrivals: Arrivals = Arc::default();
    let platform = start_platform(deployment.platform, list.clone(), record.clone());
    let addresses: Vec<String> = (0..3).map(|zone| deployment.worker_address(zone, 1)).collect();
    let ids = ["i-a1", "i-b1", "i-c1"];
    let _workers: Vec<Server> =
        (0..3).map(|zone| start_worker(ids[zone], &addresses[zone], &record, &arrivals)).collect();
    list.lock().unwrap().extend((0..3).map(|zone| entry(ids[zone], &addresses[zone], zone, "ready")));
    let seeds: Vec<String> = (0..3).map(|zone| deployment.ip(zone, 2)).collect();
    let mut cores = Vec::new();
    for zone in 0..3 {
        cores.push(deployment.start("core", zone, 1, &seeds, true));
        deployment.start("front", zone, 1, &seeds, true);
    }
    if !deployment.publish(&document(7), Duration::from_secs(20)) || !deployment.wait_ready(Duration::from_secs(20)) {
        return cannot_run("the deployment doesn't become ready");
    }
    record.say("version 7 is acknowledged; the successors of core-a-1 and core-b-1 start, with empty disks");
    deployment.start("core", 0, 2, &seeds, false);
    deployment.start("core", 1, 2, &seeds, false);
    thread::sleep(SUCCESSORS_RUN);
    if !deployment.publish(&document(12), Duration::from_secs(20)) {
        return cannot_run("version 12 isn't acknowledged");
    }
    record.say("version 12 is acknowledged");
    thread::sleep(Duration::from_millis(500));
    if has_trouble() && variant == "sigterm" {
        deployment.terminate(cores[0]);
        deployment.terminate(cores[1]);
    } else if has_trouble() && variant != "disk" {
        deployment.kill(cores[0]);
        if variant != "one" {
            deployment.kill(cores[1]);
        }
    }
    // GAP_MS: time from the removals to the loss of the disk.
    let gap_ms = std::env::var("GAP_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(1_000);
    thread::sleep(Duration::from_millis(gap_ms));
    if has_trouble() && variant != "removals" {
        deployment.kill(cores[2]);
        let data = deployment.folder.join("data-core-c-1");
        fs::remove_dir_all(&data).expect("the data folder can be removed");
        record.say("core-c-1 has lost its disk, and starts again after 1 s");
        thread::sleep(Duration::from_secs(1));
        deployment.start("core", 2, 1, &seeds, false);
    }
    thread::sleep(CATCH_UP_AND_RECOVERY);
    let newest = read_back(&deployment, &record, 12);
    for node in &mut deployment.nodes {
        if let Some(child) = &mut node.child {
            if !matches!(child.try_wait(), Ok(None)) && variant != "sigterm" {
                return cannot_run("a process has ended by itself");
            }
        }
    }
    let is_accepted = deployment.publish(&document(20), Duration::from_secs(10));
    platform.stop();
    deployment.record_voters();
    record.say(&format!("read back: version {newest}; a further configuration is accepted: {is_accepted}"));
    i32::from(newest < 12)
}

/// A core machine is replaced: its successor runs. Another one loses power for 3.5 s and is back. Later the first one is removed
/// without a signal, and one second after that the third one loses its disk.
fn returned_voter(record: &Path) -> i32 {
    const CATCH_UP_AND_RECOVERY: Duration = Duration::from_secs(4 + 12);
    let record = Record::new(record);
    // VARIANT: "no-outage" leaves the loss of power out; "removal" and "disk" are one half of the rest.
    let variant = std::env::var("VARIANT").unwrap_or_default();
    let mut deployment = Deployment::new(&record);
    let list: List = Arc::default();
    let arrivals: Arrivals = Arc::default();
    let platform = start_platform(deployment.platform, list.clone(), record.clone());
    let addresses: Vec<String> = (0..3).map(|zone| deployment.worker_address(zone, 1)).collect();
    let ids = ["i-a1", "i-b1", "i-c1"];
    let _workers: Vec<Server> =
        (0..3).map(|zone| start_worker(ids[zone], &addresses[zone], &record, &arrivals)).collect();
    list.lock().unwrap().extend((0..3).map(|zone| entry(ids[zone], &addresses[zone], zone, "ready")));
    let seeds: Vec<String> = (0..3).map(|zone| deployment.ip(zone, 2)).collect();
    let mut cores = Vec::new();
    for zone in 0..3 {
        cores.push(deployment.start("core", zone, 1, &seeds, true));
        deployment.start("front", zone, 1, &seeds, true);
    }
    if !deployment.publish(&document(7), Duration::from_secs(20)) || !deployment.wait_ready(Duration::from_secs(20)) {
        return cannot_run("the deployment doesn't become ready");
    }
    record.say("version 7 is acknowledged; the successor of core-a-1 starts, with an empty disk");
    deployment.start("core", 0, 2, &seeds, false);
    thread::sleep(Duration::from_secs(8));
    // The loss of power meets a machine that doesn't lead, so that its silence isn't broken by an election.
    let (outage, lost) = if deployment.is_leader(cores[1]) { (2, 1) } else { (1, 2) };
    if has_trouble() && variant != "no-outage" {
        deployment.kill(cores[outage]);
        record.say("this machine is without power for 3.5 s; its disk stays");
        thread::sleep(Duration::from_millis(3_500));
        deployment.start("core", outage, 1, &seeds, false);
        thread::sleep(Duration::from_secs(8));
    }
    if !deployment.publish(&document(12), Duration::from_secs(20)) {
        return cannot_run("version 12 isn't acknowledged");
    }
    record.say("version 12 is acknowledged");
    thread::sleep(Duration::from_millis(500));
    if has_trouble() && variant != "disk" {
        deployment.kill(cores[0]);
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble() && variant != "removal" {
        deployment.kill(cores[lost]);
        let name = &deployment.nodes[cores[lost]].name;
        let data = deployment.folder.join(format!("data-{name}"));
        fs::remove_dir_all(&data).expect("the data folder can be removed");
        record.say(&format!("{name} has lost its disk, and starts again after 1 s"));
        thread::sleep(Duration::from_secs(1));
        deployment.start("core", lost, 1, &seeds, false);
    }
    thread::sleep(CATCH_UP_AND_RECOVERY);
    let newest = read_back(&deployment, &record, 12);
    for node in &mut deployment.nodes {
        if let Some(child) = &mut node.child {
            if !matches!(child.try_wait(), Ok(None)) {
                return cannot_run("a process has ended by itself");
            }
        }
    }
    let is_accepted = deployment.publish(&document(20), Duration::from_secs(10));
    platform.stop();
    deployment.record_voters();
    record.say(&format!("read back: version {newest}; a further configuration is accepted: {is_accepted}"));
    i32::from(newest < 12)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = &arguments[..] else {
        println!("usage: case SCENARIO RECORD");
        std::process::exit(2);
    };
    let record = Path::new(record);
    let code = match scenario.as_str() {
        // A record that its writer has written in part.
        "unreadable-entry" => {
            let entry = b"{\"Service\":\"wuno96b\",\"Address\":\"127.0";
            foreign_entry(record, entry, "whose bytes can't be read: a record cut short")
        }
        // The same for a record in another format, MessagePack: {"Id": "i-9f", "Slots": 34}.
        "unreadable-entry-msgpack" => {
            let entry = b"\x82\xa2Id\xa4i-9f\xa5Slots\x22";
            foreign_entry(record, entry, "whose bytes can't be read: a record in another format")
        }
        "first-start" => first_start(record),
        "returned-voter" => returned_voter(record),
        "two-replaced" => two_replaced(record),
        "largest-version" => largest_version(record),
        _ => cannot_run("no such scenario"),
    };
    std::process::exit(code);
}
