//! Measures clusters of real processes on loopback: CPU time and peer bytes of idle instances, the time from the
//! acceptance of a configuration until it is in force, the time without a leader, load reads, and ledger commits.
//!
//! `cargo run --release -p fleet --example processes -- BINARY FOLDER [idle|kills|loads|ledger]...`
//!
//! `BINARY` is a release build of `mustardstack`; settings, data and logs are written to `FOLDER`. The byte counts of
//! connections are read from `ss -tin`.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use conf::admin::{ApplyReply, ApplyRequest, StatusReply};
use conf::settings::{Instance, Log, Voter};
use conf::{
    ClientAccount, Idempotency, Model, Route, Service, ServiceConfig, ServiceKind, Settings,
    Upstream,
};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const ADMIN_TOKEN: &str = "capacity-admin-token";
const PEER_SECRET: &str = "capacity-peer-secret";
const CALLER_KEY: &str = "capacity-key";
const VOTER_COUNT: usize = 3;
const MEASURE_TIME: Duration = Duration::from_secs(10);
const CONFIG_CHANGES: u64 = 10;
const LEADER_KILLS: usize = 5;
const LEDGER_TIME: Duration = Duration::from_secs(4);
const TIMEOUT: Duration = Duration::from_secs(30);
/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [binary, folder, kinds @ ..] = &args[..] else {
        return Err("usage: processes BINARY FOLDER [idle|kills|loads|ledger]...".into());
    };
    let is_selected = |kind: &str| kinds.is_empty() || kinds.iter().any(|name| name == kind);
    let folder = Path::new(folder);
    if is_selected("idle") {
        println!("instances  role     cpu_percent  rss_KiB  sent_B/s  received_B/s");
        for count in [3, 6, 12, 24] {
            measure_idle(
                Path::new(binary),
                &folder.join(format!("idle-{count}")),
                count,
            )?;
        }
    }
    if is_selected("kills") {
        for count in [3, 6, 12, 24] {
            let folder = folder.join(format!("kills-{count}"));
            measure_failover(Path::new(binary), &folder, count)?;
        }
    }
    if is_selected("loads") {
        for upstreams in [13, 48, 186] {
            measure_load_reads(
                Path::new(binary),
                &folder.join(format!("loads-{upstreams}")),
                upstreams,
            )?;
        }
    }
    if is_selected("ledger") {
        measure_ledger(Path::new(binary), &folder.join("ledger"))?;
    }
    Ok(())
}

/// An instance and its process.
struct RunningInstance {
    /// Address of the admin listener.
    admin: String,
    /// Address of the listener for callers.
    caller: String,
    /// Address of the peer listener.
    peer: String,
    settings_folder: PathBuf,
    child: Child,
}

/// Running instances, voters first. Dropping the cluster kills all their processes.
struct Cluster {
    binary: PathBuf,
    instances: Vec<RunningInstance>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            // Both calls fail only if the process has already ended.
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
    }
}

impl Cluster {
    fn start(binary: &Path, folder: &Path, count: usize) -> Result<Self> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("token"), ADMIN_TOKEN)?;
        fs::write(folder.join("secret"), PEER_SECRET)?;
        // All sockets stay open until all ports are chosen, so that no port is chosen twice.
        let sockets: Vec<TcpListener> = (0..count * 3)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<std::io::Result<_>>()?;
        let addresses: Vec<String> = sockets
            .iter()
            .map(|socket| Ok(socket.local_addr()?.to_string()))
            .collect::<std::io::Result<_>>()?;
        drop(sockets);
        let voters: Vec<Voter> = (0..VOTER_COUNT)
            .map(|n| Voter {
                id: id(n).into(),
                availability_zone: zone(n).into(),
                peer_address: addresses[n * 3].clone().into(),
            })
            .collect();
        let mut instances = Vec::new();
        for n in 0..count {
            let data = folder.join(id(n)).join("data");
            let settings = Settings {
                instance: Instance {
                    id: id(n).into(),
                    availability_zone: zone(n).into(),
                    peer_address: addresses[n * 3].clone().into(),
                    admin_address: addresses[n * 3 + 1].clone().into(),
                    caller_address: addresses[n * 3 + 2].clone().into(),
                    admin_token_file: path_text(&folder.join("token")).into(),
                    peer_secret_file: path_text(&folder.join("secret")).into(),
                    data_folder: if n < VOTER_COUNT {
                        path_text(&data)
                    } else {
                        String::new()
                    }
                    .into(),
                },
                voters: voters.clone(),
                log: Log {
                    level: "warn".into(),
                    ..Log::default()
                },
                ..Settings::default()
            };
            let path = folder.join(id(n)).join("settings");
            fs::create_dir_all(&path)?;
            fs::write(path.join("instance.toml"), toml_text(&settings))?;
            instances.push(RunningInstance {
                peer: addresses[n * 3].clone(),
                admin: addresses[n * 3 + 1].clone(),
                caller: addresses[n * 3 + 2].clone(),
                child: start_instance(binary, &path)?,
                settings_folder: path,
            });
        }
        let binary = binary.to_owned();
        Ok(Self { binary, instances })
    }

    /// Waits until a voter other than `except` leads, and returns the index of the leader.
    fn leader(&self, except: Option<usize>) -> Result<usize> {
        let started = Instant::now();
        loop {
            for n in (0..VOTER_COUNT).filter(|n| Some(*n) != except) {
                if let Ok(status) = read_status(&self.instances[n])
                    && let Some(leader) = status.leader
                    && let Some(index) = (0..VOTER_COUNT).find(|n| leader == id(*n))
                    && Some(index) != except
                {
                    return Ok(index);
                }
            }
            if started.elapsed() > TIMEOUT {
                return Err("no voter became the leader in time".into());
            }
            sleep(Duration::from_millis(5));
        }
    }

    /// Applies a configuration through the instance `through` and returns the new revision.
    fn apply(&self, through: usize, config: &ServiceConfig, base_revision: u64) -> Result<u64> {
        let canonical = config.canonical_text();
        let request = ApplyRequest {
            base_revision,
            content_id: conf::content_id(&canonical),
            canonical: canonical.into(),
            files: Vec::new(),
            author: "capacity".into(),
        };
        let body = serde_json::to_vec(&request)?;
        let reply = send_admin_request(&self.instances[through], "POST", "/admin/apply", &body)?;
        match serde_json::from_str(&reply)? {
            ApplyReply::Accepted { revision } => Ok(revision),
            other => Err(format!("{other:?}").into()),
        }
    }

    /// Waits until every instance reports that it has `revision` in force.
    fn wait_in_force(&self, revision: u64) -> Result<()> {
        let started = Instant::now();
        let mut pending: Vec<usize> = (0..self.instances.len()).collect();
        while !pending.is_empty() {
            if started.elapsed() > TIMEOUT {
                return Err(format!("revision {revision} is not in force on {pending:?}").into());
            }
            pending.retain(|n| {
                read_status(&self.instances[*n]).map_or(true, |status| status.revision < revision)
            });
            sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn cpu_s(&self, n: usize) -> Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.instances[n].child.id()))?;
        let fields: Vec<&str> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(ticks / TICKS_PER_S)
    }

    fn rss_kib(&self, n: usize) -> Result<u64> {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.instances[n].child.id()))?;
        let pages: u64 = statm.split(' ').nth(1).unwrap_or_default().parse()?;
        Ok(pages * 4)
    }
}

fn measure_idle(binary: &Path, folder: &Path, count: usize) -> Result<()> {
    let cluster = Cluster::start(binary, folder, count)?;
    let leader = cluster.leader(None)?;
    let mut revision = cluster.apply(leader, &config(1, Vec::new()), 0)?;
    cluster.wait_in_force(revision)?;
    sleep(Duration::from_secs(3));
    let cpu_s_before: Vec<f64> = (0..count)
        .map(|n| cluster.cpu_s(n))
        .collect::<Result<_>>()?;
    let bytes_before = connection_bytes(&cluster)?;
    let started = Instant::now();
    sleep(MEASURE_TIME);
    let bytes_after = connection_bytes(&cluster)?;
    let elapsed_s = started.elapsed().as_secs_f64();
    let mut roles: BTreeMap<&str, Vec<[f64; 4]>> = BTreeMap::new();
    for n in 0..count {
        let role = match n {
            n if n == leader => "leader",
            n if n < VOTER_COUNT => "voter",
            _ => "entry",
        };
        let (sent, received) = (
            bytes_after[n].0 - bytes_before[n].0,
            bytes_after[n].1 - bytes_before[n].1,
        );
        roles.entry(role).or_default().push([
            (cluster.cpu_s(n)? - cpu_s_before[n]) / elapsed_s * 100.0,
            cluster.rss_kib(n)? as f64,
            sent as f64 / elapsed_s,
            received as f64 / elapsed_s,
        ]);
    }
    for (role, samples) in roles {
        let mean = |at: usize| samples.iter().map(|f| f[at]).sum::<f64>() / samples.len() as f64;
        println!(
            "{count:>9}  {role:<8} {:>11.2} {:>8.0} {:>9.0} {:>13.0}",
            mean(0),
            mean(1),
            mean(2),
            mean(3)
        );
    }
    let mut times = Vec::new();
    for change in 0..CONFIG_CHANGES {
        revision = cluster.apply(leader, &config(change + 2, Vec::new()), revision)?;
        let accepted = Instant::now();
        cluster.wait_in_force(revision)?;
        times.push(accepted.elapsed().as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    println!(
        "{count:>9}  accept to in force: median {:.3} s, longest {:.3} s of {CONFIG_CHANGES}",
        times[times.len() / 2],
        times[times.len() - 1]
    );
    Ok(())
}

fn measure_failover(binary: &Path, folder: &Path, count: usize) -> Result<()> {
    let mut cluster = Cluster::start(binary, folder, count)?;
    let mut leader = cluster.leader(None)?;
    let mut times = Vec::new();
    for _ in 0..LEADER_KILLS {
        cluster.instances[leader].child.kill()?;
        let killed = Instant::now();
        cluster.instances[leader].child.wait()?;
        let next = cluster.leader(Some(leader))?;
        times.push(killed.elapsed().as_secs_f64());
        let binary = cluster.binary.clone();
        let settings = cluster.instances[leader].settings_folder.clone();
        cluster.instances[leader].child = start_instance(&binary, &settings)?;
        // All instances must have reported to the new leader, and the killed instance must have restarted.
        sleep(Duration::from_secs(4));
        leader = next;
    }
    times.sort_by(f64::total_cmp);
    println!(
        "{count:>9}  no leader after a kill: median {:.3} s, longest {:.3} s of {}",
        times[times.len() / 2],
        times[times.len() - 1],
        times.len()
    );
    Ok(())
}

/// Measures load reads: three instances read the load of every upstream.
fn measure_load_reads(binary: &Path, folder: &Path, upstreams: usize) -> Result<()> {
    let load_reads = Arc::new(AtomicU64::new(0));
    let addresses: Vec<String> = (0..upstreams)
        .map(|_| start_engine(load_reads.clone()))
        .collect::<Result<_>>()?;
    let cluster = Cluster::start(binary, folder, VOTER_COUNT)?;
    let leader = cluster.leader(None)?;
    let revision = cluster.apply(leader, &config(1, addresses), 0)?;
    cluster.wait_in_force(revision)?;
    // The leader grants gates once its roster is complete.
    sleep(Duration::from_secs(8));
    let before: Vec<f64> = (0..VOTER_COUNT)
        .map(|n| cluster.cpu_s(n))
        .collect::<Result<_>>()?;
    let reads = load_reads.load(Ordering::Relaxed);
    sleep(MEASURE_TIME);
    let reads = (load_reads.load(Ordering::Relaxed) - reads) as f64 / MEASURE_TIME.as_secs_f64();
    for (n, before) in before.iter().enumerate() {
        let cpu = (cluster.cpu_s(n)? - before) / MEASURE_TIME.as_secs_f64();
        let role = if n == leader { "leader" } else { "voter" };
        println!(
            "loads: {upstreams:>4} upstreams  {role:<7} cpu {:>6.2} %  rss {:>6} KiB  reads of 3 instances {reads:.0}/s",
            cpu * 100.0,
            cluster.rss_kib(n)?
        );
    }
    Ok(())
}

/// Measures ledger commits: calls to a plain service with and without at-most-once records, through an entry instance
/// that is not a voter.
fn measure_ledger(binary: &Path, folder: &Path) -> Result<()> {
    let address = start_engine(Arc::default())?;
    let cluster = Cluster::start(binary, folder, VOTER_COUNT + 1)?;
    let leader = cluster.leader(None)?;
    let revision = cluster.apply(leader, &config(1, vec![address]), 0)?;
    cluster.wait_in_force(revision)?;
    sleep(Duration::from_secs(1));
    let entry_instance = &cluster.instances[VOTER_COUNT];
    println!(
        "ledger: path  callers  calls/s   p50_ms   p99_ms  syncs/s  leader_cpu  entry_cpu  refused"
    );
    for path in ["/free", "/once"] {
        for callers in [1, 8, 32, 128] {
            let syncs = sync_count(&cluster.instances[leader])?;
            let cpu = (cluster.cpu_s(leader)?, cluster.cpu_s(VOTER_COUNT)?);
            let started = Instant::now();
            let (mut times, refused) = run_callers(&entry_instance.caller, path, callers)?;
            let elapsed_s = started.elapsed().as_secs_f64();
            let syncs = self::sync_count(&cluster.instances[leader])? - syncs;
            times.sort_by(f64::total_cmp);
            println!(
                "ledger: {path}  {callers:>6} {:>8.0} {:>8.2} {:>8.2} {:>8.0} {:>9.1} % {:>8.1} % {refused:>8}",
                times.len() as f64 / elapsed_s,
                times[times.len() / 2],
                times[times.len() * 99 / 100],
                syncs / elapsed_s,
                (cluster.cpu_s(leader)? - cpu.0) / elapsed_s * 100.0,
                (cluster.cpu_s(VOTER_COUNT)? - cpu.1) / elapsed_s * 100.0,
            );
        }
    }
    Ok(())
}

fn run_callers(address: &str, path: &'static str, callers: usize) -> Result<(Vec<f64>, u64)> {
    let times = Arc::new(Mutex::new(Vec::new()));
    let refused = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let (times, refused, stop) = (times.clone(), refused.clone(), stop.clone());
            let address = address.to_owned();
            spawn(move || -> std::io::Result<()> {
                let mut stream = TcpStream::connect(&address)?;
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                let request = format!(
                    "POST {path}/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\ncontent-length: 2\r\n\r\nhi"
                );
                while !stop.load(Ordering::Relaxed) {
                    let started = Instant::now();
                    stream.write_all(request.as_bytes())?;
                    let (status, _) = read_answer(&mut reader)?;
                    match status {
                        200 => times
                            .lock()
                            .expect("caller threads must not panic")
                            .push(started.elapsed().as_secs_f64() * 1e3),
                        _ => drop(refused.fetch_add(1, Ordering::Relaxed)),
                    }
                }
                Ok(())
            })
        })
        .collect();
    sleep(LEDGER_TIME);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| "a caller thread panicked")??;
    }
    let times = std::mem::take(&mut *times.lock().expect("caller threads must not panic"));
    if times.is_empty() {
        return Err("no call was answered with status 200".into());
    }
    Ok((times, refused.load(Ordering::Relaxed)))
}

/// Starts a stand-in engine that answers load reads, cache event reads, order reads and plain calls. Returns its
/// address.
fn start_engine(load_reads: Arc<AtomicU64>) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let load_reads = load_reads.clone();
            // Reading from a connection fails when the instance at the other end exits.
            spawn(move || drop(serve_connection(stream, &load_reads)));
        }
    });
    Ok(address)
}

fn serve_connection(mut stream: TcpStream, load_reads: &AtomicU64) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (head, _) = read_message(&mut reader)?;
        let body = if head.starts_with("GET /load") {
            load_reads.fetch_add(1, Ordering::Relaxed);
            r#"{"at_ms":0,"running":3,"waiting":1,"prompt_tokens_waiting":900,"output_tokens_running":100,"kv_chunks_used":5,"kv_chunks_total":64,"role":"mixed","models":["m@1"],"epoch":0,"sequence":0}"#
        } else if head.starts_with("GET /cache/events") {
            r#"{"first":1,"events":[]}"#
        } else {
            r#"{"epoch":0,"sequence":0,"role":"mixed","models":["m@1"],"changing":false}"#
        };
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
}

/// Reads one HTTP message and returns its head and body.
fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<(String, Vec<u8>)> {
    let (mut head, mut length, mut chunked) = (String::new(), 0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        chunked |= lower.starts_with("transfer-encoding: chunked");
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    while chunked {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..length]);
        chunked = length > 0;
    }
    Ok((head, body))
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> std::io::Result<(u16, Vec<u8>)> {
    let (head, body) = read_message(reader)?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok((status.unwrap_or(0), body))
}

fn send_admin_request(
    instance: &RunningInstance,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<String> {
    let mut stream = TcpStream::connect(&instance.admin)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {ADMIN_TOKEN}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )?;
    stream.write_all(body)?;
    let (_, answer) = read_answer(&mut BufReader::new(stream))?;
    Ok(String::from_utf8(answer)?)
}

fn read_status(instance: &RunningInstance) -> Result<StatusReply> {
    Ok(serde_json::from_str(&send_admin_request(
        instance,
        "GET",
        "/admin/status",
        b"",
    )?)?)
}

fn sync_count(instance: &RunningInstance) -> Result<f64> {
    let metrics = send_admin_request(instance, "GET", "/metrics", b"")?;
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix("mustardstack_syncs_total "));
    Ok(line.unwrap_or("0").trim().parse()?)
}

/// Returns the numbers of bytes that each instance has sent and received on its open peer connections.
fn connection_bytes(cluster: &Cluster) -> Result<Vec<(u64, u64)>> {
    let output = Command::new("ss").args(["-tinpHO"]).output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let mut bytes = vec![(0, 0); cluster.instances.len()];
    for line in text.lines() {
        let is_peer = cluster
            .instances
            .iter()
            .any(|instance| line.split_whitespace().any(|field| field == instance.peer));
        let owner = cluster
            .instances
            .iter()
            .position(|instance| line.contains(&format!("pid={},", instance.child.id())));
        let Some(owner) = owner.filter(|_| is_peer) else {
            continue;
        };
        let field = |name: &str| {
            line.split_whitespace()
                .find_map(|field| field.strip_prefix(name))
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        bytes[owner].0 += field("bytes_sent:");
        bytes[owner].1 += field("bytes_received:");
    }
    Ok(bytes)
}

fn start_instance(binary: &Path, settings: &Path) -> Result<Child> {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_file_name("log"))?;
    Ok(Command::new(binary)
        .arg("serve")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?)
}

fn id(n: usize) -> String {
    format!("i{n:02}")
}

fn zone(n: usize) -> &'static str {
    ["az0", "az1", "az2"][n % 3]
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}

// The `Debug` form of a string that needs no escapes is also a valid TOML string.
fn toml_text(settings: &Settings) -> String {
    let instance = &settings.instance;
    let mut text = format!(
        "[log]\nlevel = {:?}\n[instance]\n",
        settings.log.level.as_str()
    );
    let fields = [
        ("id", &instance.id),
        ("availability_zone", &instance.availability_zone),
        ("caller_address", &instance.caller_address),
        ("admin_address", &instance.admin_address),
        ("peer_address", &instance.peer_address),
        ("admin_token_file", &instance.admin_token_file),
        ("peer_secret_file", &instance.peer_secret_file),
        ("data_folder", &instance.data_folder),
    ];
    for (name, value) in fields {
        text.push_str(&format!("{name} = {:?}\n", value.as_str()));
    }
    for voter in &settings.voters {
        text.push_str(&format!(
            "[[voters]]\nid = {:?}\navailability_zone = {:?}\npeer_address = {:?}\n",
            voter.id.as_str(),
            voter.availability_zone.as_str(),
            voter.peer_address.as_str()
        ));
    }
    text
}

fn config(weight: u64, addresses: Vec<String>) -> ServiceConfig {
    let is_ledger = addresses.len() == 1;
    let service = if is_ledger { "orders" } else { "assistant" };
    let route = |name: &str, idempotency| Route {
        name: name.to_owned().into(),
        path_prefix: format!("/{name}/").into(),
        service: "orders".into(),
        idempotency,
        ..Route::default()
    };
    ServiceConfig {
        ranks: ["urgent", "normal", "late"]
            .map(|name| conf::RankPolicy {
                name: name.into(),
                ..conf::RankPolicy::default()
            })
            .into(),
        client_accounts: vec![ClientAccount {
            name: "tenant".into(),
            key_sha256: conf::content_id(CALLER_KEY),
            ranks: vec!["normal".into()],
            weight: weight as f64,
            requests_per_s: 1e6,
            burst: 1e6,
        }],
        models: vec![Model {
            name: "m".into(),
            version: "1".into(),
            ..Model::default()
        }],
        services: vec![
            Service {
                name: "assistant".into(),
                models: vec!["m".into()],
                ..Service::default()
            },
            Service {
                name: "orders".into(),
                kind: ServiceKind::Plain,
                ..Service::default()
            },
        ],
        routes: vec![
            route("once", Idempotency::NonIdempotent),
            route("free", Idempotency::Idempotent),
        ],
        upstreams: addresses
            .into_iter()
            .enumerate()
            .map(|(n, address)| Upstream {
                name: format!("upstream-{n:04}").into(),
                service: service.into(),
                address: address.into(),
                availability_zone: zone(n).into(),
                max_running: 1_000,
                ..Upstream::default()
            })
            .collect(),
    }
}
