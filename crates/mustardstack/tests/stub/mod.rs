//! Stub of the administration listener of an instance, with scripted answers.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Status and body of an answer. `None` closes the connection without an answer after the request was read.
pub type Answer = Option<(u16, String)>;

/// Scripted answers by method and path, and the requests that the stub received.
#[derive(Default)]
struct Script {
    answers: BTreeMap<String, VecDeque<Answer>>,
    requests: Vec<(String, String)>,
}

/// Running stub and its address.
pub struct Stub {
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
}

impl Stub {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::new(Mutex::new(Script::default()));
        let shared = Arc::clone(&script);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let _ = handle_connection(stream.unwrap(), &shared);
            }
        });
        Self { address, script }
    }

    /// Adds an answer to a request. The last answer to a request is repeated.
    pub fn add_answer(&self, request: &str, answer: Answer) {
        let mut script = self.script.lock().unwrap();
        let answers = script.answers.entry(request.to_owned()).or_default();
        answers.push_back(answer);
    }

    /// Removes all scripted answers and recorded requests.
    pub fn clear(&self) {
        *self.script.lock().unwrap() = Script::default();
    }

    /// Removes the recorded requests and returns them with their bodies.
    pub fn take_requests(&self) -> Vec<(String, String)> {
        std::mem::take(&mut self.script.lock().unwrap().requests)
    }
}

fn handle_connection(stream: TcpStream, script: &Mutex<Script>) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut head = Vec::new();
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        head.push(std::mem::take(&mut line).trim().to_owned());
    }
    let header = |name: &str| {
        let mut lines = head.iter().filter_map(|line| line.split_once(": "));
        let line = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.to_owned())
    };
    let length = header("content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    let request = head[0].trim_end_matches(" HTTP/1.1").to_owned();
    let answer = match header("authorization").as_deref() {
        Some("Bearer token") => script.lock().unwrap().next_answer(&request, body),
        _ => Some((401, String::new())),
    };
    if let Some((status, body)) = answer {
        let mut stream = stream;
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        )?;
    }
    Ok(())
}

impl Script {
    fn next_answer(&mut self, request: &str, body: Vec<u8>) -> Answer {
        let body = String::from_utf8(body).unwrap();
        self.requests.push((request.to_owned(), body));
        let Some(answers) = self.answers.get_mut(request) else {
            return Some((404, "no such path".to_owned()));
        };
        match answers.len() {
            1 => answers[0].clone(),
            _ => answers.pop_front().unwrap(),
        }
    }
}
