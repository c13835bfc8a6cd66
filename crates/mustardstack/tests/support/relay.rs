//! TCP relay between two instances that can simulate a network partition.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Handle,
    sync::watch,
    task::JoinHandle,
};

use super::Result;

/// Size in bytes of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Relay in front of the peer listener of one instance, for the connections that another instance opens.
pub struct Relay {
    address: SocketAddr,
    partitioned: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the relay cannot listen.
    pub fn start(runtime: &Handle, target: SocketAddr) -> Result<Self> {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let (partitioned, receiver) = watch::channel(false);
        let task = runtime.spawn(accept(listener, target, receiver));
        Ok(Self {
            address,
            partitioned,
            task,
        })
    }

    /// Returns the address that the other instance uses in place of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding. Connections stay open and transfer nothing, as they do when the network drops their packets.
    pub fn partition(&self) {
        self.partitioned.send_replace(true);
    }

    /// Resumes forwarding, beginning with the bytes that were held back.
    pub fn heal(&self) {
        self.partitioned.send_replace(false);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, partitioned: watch::Receiver<bool>) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::spawn(forward_connection(caller, target, partitioned.clone()));
    }
}

async fn forward_connection(
    caller: TcpStream,
    target: SocketAddr,
    mut partitioned: watch::Receiver<bool>,
) {
    if !wait_until_healed(&mut partitioned).await {
        return;
    }
    let Ok(target) = TcpStream::connect(target).await else {
        return;
    };
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    tokio::join!(
        forward_bytes(caller_read, target_write, partitioned.clone()),
        forward_bytes(target_read, caller_write, partitioned),
    );
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut partitioned: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        if !wait_until_healed(&mut partitioned).await || count == 0 {
            break;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    // The shutdown fails if the other side has already closed the connection, which needs no handling.
    let _ = to.shutdown().await;
}

/// Waits until the relay forwards. Returns false if the relay has ended.
async fn wait_until_healed(partitioned: &mut watch::Receiver<bool>) -> bool {
    partitioned
        .wait_for(|partitioned| !*partitioned)
        .await
        .is_ok()
}
