//! Allocation of free loopback ports.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
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
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err("there is no free port".into())
}
