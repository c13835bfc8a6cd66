//! Streams that break off and continue at another upstream, which answers wrongly. Runs a replica and an entry of the binary as
//! processes on loopback, with upstreams that answer by a script.

mod join_support;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use join_support::{Processes, WAIT, free_ports, join, send, wait_for};
use serde_json::json;

const ENTRY_IP: &str = "127.0.0.2";
const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n";
const EVENTS: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const FIRST_EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const LAST_EVENTS: &str = "id: 3\ndata: three\n\n";

/// Answers of the second upstream, by the path of the request, of which nothing may reach the caller.
const WRONG_ANSWERS: [(&str, &str); 8] = [
    (
        "failure",
        "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\nServer-Signature: s\r\nContent-Length: 12\r\n\r\nerror text\n\n",
    ),
    (
        "refusal",
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 12\r\n\r\nerror text\n\n",
    ),
    (
        "not-found",
        "HTTP/1.1 404 Not Found\r\nRequest-Id: {id}\r\nServer-Signature: s\r\nContent-Length: 12\r\n\r\nerror text\n\n",
    ),
    (
        "json",
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\nerror text\n\n",
    ),
    (
        "unsigned",
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\r\nerror text\n\n",
    ),
    (
        "cut-head",
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Sig",
    ),
    (
        "no-status",
        "HTTP/1.1 000 error text\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n\r\nerror text\n\n",
    ),
    ("nothing", ""),
];

/// Guards against an error of another upstream, its head, or a false end in a stream that has begun.
#[test]
fn a_stream_that_cannot_continue_ends_as_incomplete() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let (caller_address, _processes) = start(folder.path());
    for (path, _) in WRONG_ANSWERS {
        let answer = call(&caller_address, path);
        assert_eq!(unchunked(&answer), FIRST_EVENTS, "{path}: {answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{path}: {answer}");
        assert!(!answer.contains("error text"), "{path}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{path}: {answer}");
    }
    let whole = call(&caller_address, "continues");
    assert_eq!(unchunked(&whole), FIRST_EVENTS.to_owned() + LAST_EVENTS);
    assert!(whole.ends_with("0\r\n\r\n"), "{whole}");
}

/// Starts two upstreams, a platform, a replica and an entry, and returns the entry's address for callers.
fn start(folder: &Path) -> (String, Processes) {
    let runs = Arc::<Mutex<HashMap<String, u32>>>::default();
    let workers: Vec<_> = (0..2)
        .map(|worker| {
            let runs = runs.clone();
            let address = serve(move |request, stream| answer(request, stream, &runs));
            json!({ "Id": format!("worker-{worker}"), "Service": "plans", "Zone": "zone-a", "Version": "v1", "Slots": 6,
                "State": "ready", "ColdRemainingMs": 0, "Address": address })
        })
        .collect();
    let list = json!({ "Instances": workers, "Next": null }).to_string();
    let platform = serve(move |_, stream| {
        let length = list.len();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}"
        )
    });
    // All instances use the same ports at addresses of their own.
    let [control, caller, ready, peers] = free_ports();
    let control = format!("127.0.0.1:{control}");
    let (caller, ready) = (
        format!("{ENTRY_IP}:{caller}"),
        format!("{ENTRY_IP}:{ready}"),
    );
    let instances = [
        ("127.0.0.1", json!({ "Control": control }), "control"),
        (
            ENTRY_IP,
            json!({ "Front": caller, "Ready": ready }),
            "front",
        ),
    ];
    let mut processes = Vec::new();
    for (index, (ip, listen, serves)) in instances.into_iter().enumerate() {
        let settings = json!({
            "Serves": [serves], "Ip": ip, "Zone": "zone-a", "Listen": listen,
            "InternalPorts": [peers, peers], "Seeds": [control], "Bootstrap": true,
            "DataDir": (index == 0).then(|| folder.join("data")), "FaultTolerance": { "Machines": 0 },
            "Bounds": { "GraceS": 8, "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 50, "LeaseMs": 500 },
            "Cloud": { "Address": platform, "Duties": [] },
        });
        let path = folder.join(format!("settings-{index}.yaml"));
        processes.push(join(&path, &settings));
    }
    let processes = Processes(processes);
    let document = json!({
        "Version": 1,
        "Routes": [{ "Name": "plan", "Host": "plans", "PathPrefix": "/", "Kind": "streaming", "TimeoutMs": 4000,
            "TargetLatencyMs": 400, "Priority": 0, "Service": "plans", "MaxAttempts": 2, "Resumable": true,
            "TargetGapMs": 200 }],
        "Services": [{ "Name": "plans", "MaxConnections": 100 }],
    });
    wait_for("the configuration", || {
        let (head, body) = ("POST /Config.Replace", document.to_string());
        send(&control, head, "", &body).is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    });
    wait_for("the entry", || {
        send(&ready, "GET /ready", "", "").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
    });
    (caller, processes)
}

/// Answers a request of the entry: breaks off the first stream of each request, and answers the second time by the path.
fn answer(
    request: &Received,
    stream: &mut TcpStream,
    runs: &Mutex<HashMap<String, u32>>,
) -> std::io::Result<()> {
    let id = request.header("request-id").unwrap_or_default();
    let head = (HEAD.to_owned() + EVENTS).replace("{id}", id);
    let run = {
        let mut runs = runs.lock().expect("no thread has panicked");
        let run = runs.entry(id.to_owned()).or_default();
        *run += 1;
        *run
    };
    let chunk = |events: &str| format!("{:x}\r\n{events}\r\n", events.len());
    if run == 1 {
        return write!(stream, "{head}{}5\r\nid", chunk(FIRST_EVENTS));
    }
    let wrong = WRONG_ANSWERS
        .iter()
        .find(|(path, _)| request.path.ends_with(path));
    match wrong {
        Some((_, text)) => write!(stream, "{}", text.replace("{id}", id)),
        None => write!(stream, "{head}{}0\r\n\r\n", chunk(LAST_EVENTS)),
    }
}

/// A request that a stand-in has received.
struct Received {
    path: String,
    headers: Vec<(String, String)>,
}

impl Received {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Serves one request on each connection, and returns the address.
fn serve(
    handle: impl Fn(&Received, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let handle = handle.clone();
            std::thread::spawn(move || -> std::io::Result<()> {
                let mut stream = stream?;
                let request = read_request(&stream)?;
                handle(&request, &mut stream)
            });
        }
    });
    address.to_string()
}

fn read_request(stream: &TcpStream) -> std::io::Result<Received> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(": ") else {
            break;
        };
        headers.push((name.to_lowercase(), value.to_owned()));
    }
    let request = Received { path, headers };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    reader.read_exact(&mut vec![0; length.unwrap_or(0)])?;
    Ok(request)
}

/// Calls a path as a caller and returns all bytes of the answer. Upstreams that have failed get no request for a while, in
/// which the entry refuses.
fn call(address: &str, path: &str) -> String {
    let end = Instant::now() + WAIT;
    for number in 0.. {
        let headers = format!("Request-Id: {path}-{number}\r\nDeadline-Ms: 4000\r\n");
        let answer = send(address, &format!("POST /{path}"), &headers, "body");
        let answer = answer.expect("the entry answers");
        let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("not_run");
        if !is_refused || Instant::now() > end {
            return answer;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    unreachable!("the loop returns")
}

/// Returns the bytes of the complete chunks of an answer.
fn unchunked(answer: &str) -> String {
    let mut rest = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(size, 16).unwrap_or(0);
        let Some(data) = after.get(..length).filter(|data| !data.is_empty()) else {
            break;
        };
        body += data;
        rest = after.get(length + 2..).unwrap_or_default();
    }
    body
}
