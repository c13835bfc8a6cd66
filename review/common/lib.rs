//! Support of the review cases: starts the project's own program with the command of the deploy file, and plays the
//! platform's list, plain workers, the operator and clients. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Program and argument of the deploy file.
const PROGRAM: &str = "target/release/mustardstack";
const ARGUMENT: &str = "join";
/// Environment of the deploy file.
const SECRET: (&str, &str) = ("PEER_SECRET", "set-at-deployment");
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Option of `prctl` by which the kernel kills a process of the system when this program ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Temporary folder of the case, which is removed at the end.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Returns whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Writes `record.txt` and knows the time since the start.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn new(folder: &Path) -> Self {
        let file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(folder.join("record.txt"))
            .unwrap_or_else(|error| give_up(&format!("cannot write record.txt: {error}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now_ms() as f64 / 1_000.0);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Ends a case that could not run. The kernel kills the processes that it started.
pub fn give_up(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    if let Some(folder) = FOLDER.lock().ok().and_then(|mut folder| folder.take()) {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(NOT_RUN);
}

/// The deployment: addresses, ports and the temporary folder.
pub struct Deployment {
    pub folder: PathBuf,
    pub front_port: u16,
    pub ready_port: u16,
    pub control_port: u16,
    pub inner_port: u16,
    pub list_address: SocketAddr,
    pub seeds: Vec<Ipv4Addr>,
    net: u8,
    pub recorder: Recorder,
}

impl Deployment {
    /// Chooses free ports and a temporary folder.
    pub fn new(case: &str, recorder: Recorder) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{case}-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(&error.to_string()));
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let net = 10 + (pid % 200) as u8;
        let list_ip = Ipv4Addr::new(127, net, 9, 1);
        let base = (0..200)
            .map(|step| 20_000 + ((pid * 7 + step * 97) % 20_000) as u16)
            .find(|base| {
                let is_free = |port: u16, last: u8, zone: u8| {
                    let ip = Ipv4Addr::new(127, net, zone, last);
                    TcpListener::bind((ip, port)).is_ok()
                };
                let ips = [(1, 1), (2, 1), (1, 2), (2, 2), (1, 3), (2, 3)];
                (0..6).all(|offset| {
                    ips.iter()
                        .all(|(last, zone)| is_free(base + offset, *last, *zone))
                })
            })
            .unwrap_or_else(|| give_up("no free ports"));
        let list = TcpListener::bind((list_ip, 0)).and_then(|listener| listener.local_addr());
        let list_address = list.unwrap_or_else(|error| give_up(&error.to_string()));
        Self {
            folder,
            front_port: base,
            ready_port: base + 1,
            control_port: base + 2,
            inner_port: base + 3,
            list_address,
            seeds: (1..=3)
                .map(|zone| Ipv4Addr::new(127, net, zone, 1))
                .collect(),
            net,
            recorder,
        }
    }

    /// Address of a `core` machine in zone 1 to 3; `number` 1 is the first one there.
    pub fn core_ip(&self, zone: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, zone, number)
    }

    /// Address of a `front` machine.
    pub fn front_ip(&self, zone: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, zone, 100 + number)
    }

    /// Address of a worker.
    pub fn worker_ip(&self, zone: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 20 + zone, number)
    }

    fn settings(
        &self,
        ip: Ipv4Addr,
        zone: u8,
        is_core: bool,
        is_first_start: bool,
        data: Option<&Path>,
    ) -> String {
        let seeds: String = self
            .seeds
            .iter()
            .map(|seed| format!("  - \"{seed}:{}\"\n", self.control_port))
            .collect();
        let (class, serves, listen) = match is_core {
            true => (
                "core",
                "control",
                format!("  Control: \"{ip}:{}\"\n", self.control_port),
            ),
            false => (
                "front",
                "front",
                format!(
                    "  Front: \"{ip}:{}\"\n  Ready: \"{ip}:{}\"\n",
                    self.front_port, self.ready_port
                ),
            ),
        };
        let data = data.map_or("null".to_owned(), |data| format!("\"{}\"", data.display()));
        format!(
            "Node: \"{class}-zone-{zone}-{ip}\"\nRole: \"{role}\"\nMachineClass: \"{class}\"\nServes:\n  - \"{serves}\"\n\
             Ip: \"{ip}\"\nZone: \"zone-{zone}\"\nRegion: \"region\"\nZones:\n  zone-1: \"region\"\n  zone-2: \"region\"\n  \
             zone-3: \"region\"\nListen:\n{listen}InternalPorts:\n  - {inner}\n  - {last}\nSeeds:\n{seeds}\
             Bootstrap: {is_first_start}\nCountTowardTolerance: {is_core}\nLimits:\n  CpuShare: 0.3\n  Cores: 1\n  \
             MemoryMb: 256\n  MaxFds: 4096\n  LinkMbps: 1000.0\n  DiskMb: 128\nDataDir: {data}\nDiscovery: \"cloud\"\n\
             Entry: \"vip\"\nHeartbeatMs: 1200\nContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"recover\"\n\
             FaultTolerance:\n  Machines: 1\n  Zones: 1\n  Regions: 0\nBounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  \
             ContactWindowMs: 3000\n  AckMs: 4000\n  CatchUpS: 4\n  DrainMs: 3000\n  GraceS: 8\n  LossSlackMs: 200\n  \
             ConfigMs: 2000\n  RollbackSlackMs: 250\n  MaxSkewMs: 5000\n  BudgetRatio: 0.2\n  BudgetWindowS: 10\n  \
             BudgetSlack: 56\n  RecoveryS: 12\n  TransitMs: 120\n  CacheWindowS: 10\n  RequireFence: true\n  \
             LeaseMs: 3000\n  ThawMs: 300\nConfigMode: \"highest\"\nCloud:\n  Address: \"{list}\"\n  RatePerS: 44.0\n  \
             Duties: []\n  LagMs: 800\n",
            role = if is_core { "control" } else { "entry" },
            inner = self.inner_port,
            last = self.inner_port + 2,
            list = self.list_address,
        )
    }

    /// Starts the process of a `core` machine. `disk` names its disk: another name is an empty one.
    pub fn start_core(&self, ip: Ipv4Addr, zone: u8, is_first_start: bool, disk: &str) -> Process {
        let data = self.folder.join(disk);
        fs::create_dir_all(&data).unwrap_or_else(|error| give_up(&error.to_string()));
        let settings = self.settings(ip, zone, true, is_first_start, Some(&data));
        self.start(
            ip,
            &settings,
            &format!("core {ip} zone-{zone} Bootstrap={is_first_start} disk={disk}"),
        )
    }

    /// Starts the process of a `front` machine.
    pub fn start_front(&self, ip: Ipv4Addr, zone: u8) -> Process {
        let settings = self.settings(ip, zone, false, false, None);
        self.start(ip, &settings, &format!("front {ip} zone-{zone}"))
    }

    fn start(&self, ip: Ipv4Addr, settings: &str, what: &str) -> Process {
        let path = self.folder.join(format!("{ip}.yaml"));
        fs::write(&path, settings).unwrap_or_else(|error| give_up(&error.to_string()));
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{ip}.log")))
            .unwrap_or_else(|error| give_up(&error.to_string()));
        let other = log
            .try_clone()
            .unwrap_or_else(|error| give_up(&error.to_string()));
        let mut command = Command::new(PROGRAM);
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg(ARGUMENT)
            .env_clear()
            .env("MUSTARDSTACK_NODE_FILE", &path)
            .env(SECRET.0, SECRET.1)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(other)
            .spawn()
            .unwrap_or_else(|error| give_up(&format!("cannot start {PROGRAM}: {error}")));
        self.recorder
            .write(&format!("start {what} pid={}", child.id()));
        Process {
            child,
            what: what.to_owned(),
            recorder: self.recorder.clone(),
        }
    }

    /// Sends a configuration, as the operator does: to each control machine in turn, with up to two redirects, until it
    /// is acknowledged or `limit_ms` is over. Returns whether it was acknowledged.
    pub fn publish(&self, cores: &[Ipv4Addr], document: &str, limit_ms: u64) -> bool {
        let start = Instant::now();
        let mut turn = 0;
        while start.elapsed().as_millis() < u128::from(limit_ms) {
            let ip = cores[turn % cores.len()];
            turn += 1;
            let answer = self.control_call(ip, "POST", "/Config.Replace", document);
            match answer {
                Ok(answer) if answer.status == 200 => {
                    self.recorder
                        .write(&format!("operator: {ip} acknowledged the configuration"));
                    return true;
                }
                Ok(answer) => self.recorder.write(&format!(
                    "operator: {ip} answered {} to the configuration",
                    answer.status
                )),
                Err(error) => self.recorder.write(&format!(
                    "operator: {ip} no answer to the configuration: {error}"
                )),
            }
            sleep_ms(300);
        }
        false
    }

    /// Reads the configuration back, as the operator does. Returns the first body with status 200 within `limit_ms`.
    pub fn describe(&self, cores: &[Ipv4Addr], limit_ms: u64) -> Option<String> {
        let start = Instant::now();
        let mut turn = 0;
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        while start.elapsed().as_millis() < u128::from(limit_ms) {
            let ip = cores[turn % cores.len()];
            turn += 1;
            match self.control_call(ip, "GET", "/Config.Describe", "") {
                Ok(answer) if answer.status == 200 => {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    self.recorder.write(&format!(
                        "operator: {ip} answered 200 to a read after {counts:?}"
                    ));
                    return Some(body);
                }
                Ok(answer) => {
                    *counts
                        .entry(format!("{ip}: {}", answer.status))
                        .or_default() += 1
                }
                Err(error) => *counts.entry(format!("{ip}: {}", error.kind())).or_default() += 1,
            }
            sleep_ms(250);
        }
        self.recorder.write(&format!(
            "operator: no read was answered with 200 in {limit_ms} ms: {counts:?}"
        ));
        None
    }

    /// Calls a control machine and follows two redirects.
    pub fn control_call(
        &self,
        ip: Ipv4Addr,
        method: &str,
        path: &str,
        body: &str,
    ) -> io::Result<Answer> {
        let mut address = SocketAddr::new(IpAddr::V4(ip), self.control_port);
        for _ in 0..3 {
            let head = format!(
                "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
                 Connection: close\r\n\r\n{body}",
                body.len()
            );
            let answer = call(address, head.as_bytes(), 1_000)?;
            if answer.status != 307 {
                return Ok(answer);
            }
            let location = answer.header("location").unwrap_or_default().to_owned();
            let host = location
                .trim_start_matches("http://")
                .split('/')
                .next()
                .unwrap_or_default()
                .to_owned();
            address = host
                .parse()
                .map_err(|_| io::Error::other(format!("bad location {location:?}")))?;
        }
        Err(io::Error::other("more than two redirects"))
    }

    /// Waits until a front machine says that it is ready.
    pub fn wait_ready(&self, ip: Ipv4Addr, limit_ms: u64) -> bool {
        let start = Instant::now();
        while start.elapsed().as_millis() < u128::from(limit_ms) {
            let address = SocketAddr::new(IpAddr::V4(ip), self.ready_port);
            let head =
                format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
            if call(address, head.as_bytes(), 1_000).is_ok_and(|answer| answer.status == 200) {
                self.recorder.write(&format!("front {ip} is ready"));
                return true;
            }
            sleep_ms(100);
        }
        false
    }

    pub fn front_address(&self, ip: Ipv4Addr) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(ip), self.front_port)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A process of the system, which is killed when the value is dropped.
pub struct Process {
    child: Child,
    what: String,
    recorder: Recorder,
}

impl Process {
    pub fn signal(&mut self, signal: i32) {
        self.recorder
            .write(&format!("signal {signal} to {}", self.what));
        // SAFETY: the call has no memory effects, and the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end, at most `limit_ms`, and returns whether the process has ended.
    pub fn wait(&mut self, limit_ms: u64) -> bool {
        let start = Instant::now();
        while start.elapsed().as_millis() < u128::from(limit_ms) {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.recorder
                    .write(&format!("ended ({status}): {}", self.what));
                return true;
            }
            sleep_ms(10);
        }
        false
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Sends bytes on a new connection and reads one response.
pub fn call(address: SocketAddr, request: &[u8], timeout_ms: u64) -> io::Result<Answer> {
    let timeout = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream), 0)
}

/// Reads a response with a length or in chunks. With `pause_us`, pauses that long after each piece of 4 KB.
pub fn read_answer(reader: &mut impl BufRead, pause_us: u64) -> io::Result<Answer> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status =
        status.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "no response"))?;
    let headers = read_headers(reader)?;
    let length = header(&headers, "content-length").and_then(|length| length.parse::<usize>().ok());
    let is_chunked =
        header(&headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let mut body = Vec::new();
    let is_whole = match (is_chunked, length) {
        (true, _) => read_chunks(reader, &mut body).unwrap_or(false),
        (false, Some(length)) => read_length(reader, &mut body, length, pause_us),
        (false, None) => reader.read_to_end(&mut body).is_ok(),
    };
    Ok(Answer {
        status,
        headers,
        body,
        is_whole,
    })
}

fn read_length(
    reader: &mut impl BufRead,
    body: &mut Vec<u8>,
    length: usize,
    pause_us: u64,
) -> bool {
    let mut piece = [0; 4_096];
    while body.len() < length {
        let most = piece.len().min(length - body.len());
        match reader.read(&mut piece[..most]) {
            Ok(0) | Err(_) => return false,
            Ok(count) => body.extend_from_slice(&piece[..count]),
        }
        if pause_us > 0 {
            std::thread::sleep(Duration::from_micros(pause_us));
        }
    }
    true
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(true);
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(headers);
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(other, _)| other == name)
        .map(|(_, value)| value.as_str())
}

/// The platform's list of workers: the bytes of each entry, as the list shows them now.
#[derive(Clone, Default)]
pub struct List {
    entries: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl List {
    /// Sets what the list shows from now on.
    pub fn show(&self, entries: Vec<Vec<u8>>, recorder: &Recorder) {
        for entry in &entries {
            recorder.write(&format!("the list shows {}", entry.escape_ascii()));
        }
        *self.entries.lock().unwrap() = entries;
    }

    /// Serves `GET /instances` at `address`.
    pub fn serve(&self, address: SocketAddr) {
        let listener =
            TcpListener::bind(address).unwrap_or_else(|error| give_up(&error.to_string()));
        let list = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                std::thread::spawn(move || list.answer(stream));
            }
        });
    }

    fn answer(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            read_headers(&mut reader)?;
            let entries = self.entries.lock().unwrap().join(&b',');
            let body = [&b"{\"Instances\":["[..], &entries, b"],\"Next\":null}"].concat();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(&[head.as_bytes(), &body].concat())?;
        }
    }
}

/// An entry of the list as the pages describe it.
pub fn entry(worker: &Worker, state: &str) -> Vec<u8> {
    let text = format!(
        "{{\"Id\":\"{}\",\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":6,\
         \"State\":\"{state}\",\"ColdRemainingMs\":0,\"born\":{}}}",
        worker.id, worker.service, worker.address, worker.zone, worker.born
    );
    text.into_bytes()
}

/// A plain worker, which follows the pages: it answers 421 to requests for another worker, echoes the request's id, signs
/// its answers and runs each request for `work_ms`.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    pub work_ms: u64,
    pub body_bytes: usize,
    /// Time of each arrival that was run, with the request's id, in milliseconds.
    pub runs: Arc<Mutex<Vec<(u64, String)>>>,
    /// Whether the process has ended: nothing listens, and open connections are cut.
    pub has_ended: Arc<AtomicBool>,
    pub arrivals: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    pub recorder: Recorder,
}

impl Worker {
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        zone: &str,
        work_ms: u64,
        body_bytes: usize,
        recorder: &Recorder,
    ) -> Self {
        let listener =
            TcpListener::bind((ip, 0)).unwrap_or_else(|error| give_up(&error.to_string()));
        let address = listener
            .local_addr()
            .unwrap_or_else(|error| give_up(&error.to_string()));
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: 1_774_139_543_000 + recorder.now_ms(),
            work_ms,
            body_bytes,
            runs: Arc::default(),
            has_ended: Arc::default(),
            arrivals: Arc::default(),
            streams: Arc::default(),
            recorder: recorder.clone(),
        };
        recorder.write(&format!("start worker {id} of {service} at {address}"));
        let accepting = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                accepting.streams.lock().unwrap().extend(stream.try_clone());
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        worker
    }

    /// Ends the worker: its connections are closed, and nothing listens at its address any more.
    pub fn end(&self) {
        self.recorder.write(&format!("worker {} ends", self.id));
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 || self.has_ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            let headers = read_headers(&mut reader)?;
            let length = header(&headers, "content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let id = header(&headers, "request-id")
                .unwrap_or_default()
                .to_owned();
            let expected = header(&headers, "expected-instance")
                .unwrap_or_default()
                .to_owned();
            if expected != self.id {
                self.recorder.write(&format!(
                    "worker {} answers 421 to {id}, which is for {expected}",
                    self.id
                ));
                write!(
                    writer,
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            self.arrivals.fetch_add(1, Ordering::SeqCst);
            self.runs
                .lock()
                .unwrap()
                .push((self.recorder.now_ms(), id.clone()));
            self.recorder.write(&format!(
                "worker {} runs {id}: {}",
                self.id,
                line.trim_end()
            ));
            sleep_ms(self.work_ms);
            if self.has_ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            let body = "x".repeat(self.body_bytes);
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: {}.{id}\r\nContent-Type: text/plain\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            )?;
        }
    }
}

/// A configuration with two plain services, and one route of each kind to `service`.
pub fn configuration(version: u64, service: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"rota.example\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":5000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":1,\
             \"SessionAffinity\":false}}"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{},{}],\"Services\":[{{\"Name\":\"{service}\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}},{{\"Name\":\"order-desk\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        route("r-swap", "/swap/", "unsafe"),
        route("r-look", "/look/", "safe"),
    )
}

/// Bytes of a client's request on its own connection.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    let body = if method == "POST" { "slot=7" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: rota.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// `DrainMs`, `LagMs` of the list, and how long a worker serves beyond `DrainMs` here ("a little longer").
const DRAIN_MS: u64 = 3_000;
const LAG_MS: u64 = 800;
const LINGER_MS: u64 = 1_500;
/// Time between two requests of clients, and the number of requests before the worker drains and from then on.
const REQUEST_INTERVAL_MS: u64 = 25;
const REQUESTS_BEFORE: u64 = 200;
const REQUESTS_DRAINING: u64 = 280;

/// Plays a worker that drains and leaves, while the list also holds `foreign_entry`, an entry of another writer. Returns
/// the exit code by the rule DRAIN.
pub fn play_drain(case: &str, recorder: &Recorder, foreign_entry: fn(&Worker) -> Vec<u8>) -> i32 {
    let deployment = Deployment::new(case, recorder.clone());
    let list = List::default();
    list.serve(deployment.list_address);
    let worker = |number: u8| {
        let ip = deployment.worker_ip(1, number);
        Worker::start(
            ip,
            &format!("i-{number}"),
            "rota-app",
            "zone-1",
            60,
            800,
            recorder,
        )
    };
    let (leaving, staying) = (worker(1), worker(2));
    list.show(
        vec![entry(&leaving, "ready"), entry(&staying, "ready")],
        recorder,
    );

    let cores: Vec<_> = (1..=3).map(|zone| deployment.core_ip(zone, 1)).collect();
    let _cores: Vec<_> = cores
        .iter()
        .zip(1..)
        .map(|(ip, zone)| deployment.start_core(*ip, zone, true, &format!("disk-{zone}")))
        .collect();
    let front = deployment.front_ip(1, 1);
    let _front = deployment.start_front(front, 1);
    if !deployment.publish(&cores, &configuration(7, "rota-app"), 10_000)
        || !deployment.wait_ready(front, 10_000)
    {
        give_up("the deployment did not start");
    }
    // `ContactWindowMs` without any disturbance.
    sleep_ms(3_500);

    let unanswered = Arc::new(AtomicU64::new(0));
    let mut number = 0;
    let mut send = |count: u64| {
        for _ in 0..count {
            number += 1;
            let (method, path) = if number % 2 == 0 {
                ("POST", "/swap/a")
            } else {
                ("GET", "/look/a")
            };
            let id = format!("{number:016x}");
            let address = deployment.front_address(front);
            let (recorder, unanswered) = (recorder.clone(), unanswered.clone());
            std::thread::spawn(move || {
                let answer = call(address, &request(method, path, &id, 1_000), 2_000);
                let text = match &answer {
                    Ok(answer) => format!("answered {}", answer.status),
                    Err(error) => format!("not answered: {error}"),
                };
                recorder.write(&format!("client: {method} {id} {text}"));
                if !answer.is_ok_and(|answer| answer.status == 200) {
                    unanswered.fetch_add(1, Ordering::SeqCst);
                }
            });
            sleep_ms(REQUEST_INTERVAL_MS);
        }
    };
    send(REQUESTS_BEFORE);
    sleep_ms(200);
    if leaving.runs.lock().unwrap().is_empty() || unanswered.load(Ordering::SeqCst) > 0 {
        give_up("the deployment did not serve before the worker drained");
    }

    let mut entries = vec![entry(&leaving, "draining"), entry(&staying, "ready")];
    if has_trouble() {
        entries.push(foreign_entry(&leaving));
    }
    list.show(entries, recorder);
    let drains_ms = recorder.now_ms();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            sleep_ms(DRAIN_MS + LINGER_MS);
            leaving.end();
            let mut entries = vec![entry(&staying, "ready")];
            if has_trouble() {
                entries.push(foreign_entry(&leaving));
            }
            list.show(entries, recorder);
        });
        send(REQUESTS_DRAINING);
    });
    sleep_ms(1_500);

    let late_ms = drains_ms + DRAIN_MS;
    let late = leaving
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|(at_ms, _)| *at_ms > late_ms)
        .count();
    recorder.write(&format!(
        "DRAIN: {late} requests reached {} later than DrainMs ({DRAIN_MS} ms) after the list showed it as draining (the list may \
         lag by {LAG_MS} ms, but answers each call with its present state here); the other worker ran {} in all; {} requests \
         were not answered with 200",
        leaving.id,
        staying.arrivals.load(Ordering::SeqCst),
        unanswered.load(Ordering::SeqCst),
    ));
    match late {
        0 => HELD,
        _ => BROKEN,
    }
}
