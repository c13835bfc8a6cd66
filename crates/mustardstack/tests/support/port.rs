//! Free loopback ports.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

use super::Result;

/// Lowest port that is handed out.
const FIRST_PORT: u32 = 10_000;

/// Number of ports. They end below 32,768, where Linux takes the ports of outgoing connections,
/// so that a port stays free until its process binds it.
const PORT_COUNT: u32 = 22_000;

/// Distance between the first ports of two test processes with neighbouring process ids.
const PROCESS_STRIDE: u32 = 211;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Finds a loopback address that nothing listens on.
///
/// # Errors
///
/// Returns an error if all ports are taken.
pub fn free_address() -> Result<SocketAddr> {
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".into())
}
