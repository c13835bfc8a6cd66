//! Processes of the binary on loopback that join a deployment, and calls to them.

// Each test file uses only some of the functions.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::Value;

pub const WAIT: Duration = Duration::from_secs(20);

/// Processes of a test, which end with it.
pub struct Processes(pub Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            // Killing fails if the process has ended. Waiting reaps it in either case.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts a process with its settings, which are written to a file.
pub fn join(path: &Path, settings: &Value) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mustardstack"));
    start(command.arg("join"), path, settings)
}

/// Starts a process like [`join`], whose writes can be refused with [`set_largest_file`].
pub fn join_with_refusable_writes(path: &Path, settings: &Value) -> Child {
    // The signal would end the process at a refused write.
    let script = "trap '' XFSZ; exec \"$0\" join";
    let mut command = Command::new("sh");
    let command = command.args(["-c", script, env!("CARGO_BIN_EXE_mustardstack")]);
    start(command, path, settings)
}

/// Sets the largest size to which a process can write a file, in bytes. `None` removes the limit.
pub fn set_largest_file(process: &Child, bytes: Option<u64>) {
    let limit = Rlimit {
        current: bytes,
        maximum: None,
    };
    prlimit(Some(Pid::from_child(process)), Resource::Fsize, limit).expect("the process runs");
}

fn start(command: &mut Command, path: &Path, settings: &Value) -> Child {
    std::fs::write(path, settings.to_string()).expect("the settings can be written");
    command
        .env("MUSTARDSTACK_NODE_FILE", path)
        .env("PEER_SECRET", "test")
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary can be started")
}

/// Sends a request on a connection of its own and reads until the connection ends, also by a reset.
pub fn send(address: &str, start: &str, headers: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(WAIT))?;
    let length = body.len();
    write!(
        stream,
        "{start} HTTP/1.1\r\nHost: plans\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(bytes @ 1..) = stream.read(&mut buffer) {
        answer.extend_from_slice(&buffer[..bytes]);
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

pub fn free_ports() -> [u16; 4] {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    // All listeners are open until the last port is known, so that the ports differ.
    let listeners = [(); 4].map(bind);
    listeners.map(|listener| listener.local_addr().expect("it is bound").port())
}

pub fn wait_for(what: &str, is_there: impl Fn() -> bool) {
    let end = Instant::now() + WAIT;
    while !is_there() {
        assert!(Instant::now() < end, "{what} is not there in time");
        std::thread::sleep(Duration::from_millis(50));
    }
}
