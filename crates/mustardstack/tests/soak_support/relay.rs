//! TCP relay in front of an upstream that delays, resets or drops the bytes of connections.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

/// Treatment of the bytes of all connections of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Forwards all bytes.
    Forward = 0,
    /// Forwards all bytes after a delay.
    Delay = 1,
    /// Forwards requests and closes the connection at the first bytes of the response.
    Reset = 2,
    /// Forwards requests and drops the responses.
    DropResponses = 3,
    /// Accepts connections and drops all bytes.
    DropAll = 4,
}

pub const MODES: [Mode; 5] = [
    Mode::Forward,
    Mode::Delay,
    Mode::Reset,
    Mode::DropResponses,
    Mode::DropAll,
];

const DELAY: Duration = Duration::from_millis(120);

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    mode: Arc<AtomicU8>,
}

impl Relay {
    pub fn start(address: &str, target: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the relay's address is free");
        let mode = Arc::new(AtomicU8::new(Mode::Forward as u8));
        let (shared_mode, target) = (mode.clone(), target.to_owned());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (mode, target) = (shared_mode.clone(), target.clone());
                thread::spawn(move || forward_connection(client, &target, &mode));
            }
        });
        Self { mode }
    }

    pub fn set_mode(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

fn forward_connection(client: TcpStream, target: &str, mode: &Arc<AtomicU8>) {
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let pair = (client.try_clone(), server.try_clone());
    let (Ok(client_reader), Ok(server_writer)) = pair else {
        return;
    };
    let request_mode = mode.clone();
    thread::spawn(move || forward_bytes(client_reader, server_writer, &request_mode, false));
    forward_bytes(server, client, mode, true);
}

fn forward_bytes(mut from: TcpStream, mut to: TcpStream, mode: &AtomicU8, is_response: bool) {
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        let mode = MODES[usize::from(mode.load(Ordering::Relaxed))];
        match mode {
            Mode::Forward => {}
            Mode::Delay => thread::sleep(DELAY),
            Mode::Reset if is_response => break,
            Mode::DropResponses if is_response => continue,
            Mode::DropAll => continue,
            Mode::Reset | Mode::DropResponses => {}
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // A shutdown fails if the connection is already closed, which needs no handling.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
