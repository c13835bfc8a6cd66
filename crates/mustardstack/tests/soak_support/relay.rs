//! A loopback proxy before an upstream that delays, resets or silences connections.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

/// What the proxy does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Passes bytes on.
    Pass = 0,
    /// Passes bytes on late.
    Delay = 1,
    /// Closes connections after the request.
    Reset = 2,
    /// Passes requests on and loses the answers.
    CutAnswers = 3,
    /// Accepts connections and passes nothing on.
    Silence = 4,
}

pub const MODES: [Mode; 5] = [
    Mode::Pass,
    Mode::Delay,
    Mode::Reset,
    Mode::CutAnswers,
    Mode::Silence,
];

const DELAY: Duration = Duration::from_millis(120);

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    mode: Arc<AtomicU8>,
}

impl Proxy {
    pub fn start(address: &str, target: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the proxy's address is free");
        let mode = Arc::new(AtomicU8::new(Mode::Pass as u8));
        let (shared, target) = (mode.clone(), target.to_owned());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (mode, target) = (shared.clone(), target.clone());
                thread::spawn(move || pass(client, &target, &mode));
            }
        });
        Self { mode }
    }

    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

fn pass(client: TcpStream, target: &str, mode: &Arc<AtomicU8>) {
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let pair = (client.try_clone(), server.try_clone());
    let (Ok(client_reader), Ok(server_writer)) = pair else {
        return;
    };
    let up = mode.clone();
    thread::spawn(move || copy(client_reader, server_writer, &up, false));
    copy(server, client, mode, true);
}

fn copy(mut from: TcpStream, mut to: TcpStream, mode: &AtomicU8, is_answer: bool) {
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        let mode = MODES[usize::from(mode.load(Ordering::Relaxed))];
        match mode {
            Mode::Pass => {}
            Mode::Delay => thread::sleep(DELAY),
            Mode::Reset if is_answer => break,
            Mode::CutAnswers if is_answer => continue,
            Mode::Silence => continue,
            Mode::Reset | Mode::CutAnswers => {}
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // An end that is closed already needs no closing.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
