//! TCP relay between two instances that can be cut like a network.

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

/// Bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// A relay in front of one peer listener, for the connections of one instance.
pub struct Relay {
    address: SocketAddr,
    cut: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub fn start(runtime: &Handle, target: SocketAddr) -> Result<Self> {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let (cut, seen) = watch::channel(false);
        let task = runtime.spawn(accept(listener, target, seen));
        Ok(Self { address, cut, task })
    }

    /// Address that stands for the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds back everything from now on. Connections stay open and go silent, as they do when
    /// the network drops their packets.
    pub fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Forwards again, beginning with what was held back.
    pub fn heal(&self) {
        self.cut.send_replace(false);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, cut: watch::Receiver<bool>) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::spawn(forward(caller, target, cut.clone()));
    }
}

async fn forward(caller: TcpStream, target: SocketAddr, mut cut: watch::Receiver<bool>) {
    if !wait_until_healed(&mut cut).await {
        return;
    }
    let Ok(target) = TcpStream::connect(target).await else {
        return;
    };
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    tokio::join!(
        pump(caller_read, target_write, cut.clone()),
        pump(target_read, caller_write, cut),
    );
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        if !wait_until_healed(&mut cut).await || count == 0 {
            break;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    // The other side may have closed already.
    let _ = to.shutdown().await;
}

/// Returns false if the relay has ended.
async fn wait_until_healed(cut: &mut watch::Receiver<bool>) -> bool {
    cut.wait_for(|cut| !*cut).await.is_ok()
}
