//! Allocation of free loopback ports.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::{Child, Command},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use super::Result;

/// Lowest port that can be allocated.
const FIRST_PORT: u32 = 10_000;

/// Number of ports that can be allocated. All ports are below 32,768, the start of the range from which Linux assigns
/// ports to outgoing connections, so that a port stays free until its process binds it.
const PORT_COUNT: u32 = 22_000;

/// Distance between the first ports of two test processes with consecutive process ids.
const PROCESS_STRIDE: u32 = 211;

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Held while a port is tried and while a process is started. Between fork and exec, a child holds all sockets of the
/// test process, so that a port that is being tried would stay taken until the child has executed its binary.
static DESCRIPTORS: Mutex<()> = Mutex::new(());

/// Starts a process that inherits no socket of the search for a free port.
///
/// # Errors
///
/// Returns an error if the process cannot be started.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _guard = DESCRIPTORS.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Returns a loopback address that no process listens on.
///
/// # Errors
///
/// Returns an error if all ports are taken.
pub fn free_address() -> Result<SocketAddr> {
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let _guard = DESCRIPTORS.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("there is no free port".into())
}
