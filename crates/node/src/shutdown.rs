//! Asking an instance to stop.

use tokio::sync::watch;

/// Asks the instances that hold the matching signal to stop.
#[derive(Debug)]
pub struct ShutdownTrigger {
    sender: watch::Sender<bool>,
}

/// Tells an instance when to stop.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    receiver: watch::Receiver<bool>,
}

/// Creates a trigger and its signal.
pub fn shutdown() -> (ShutdownTrigger, ShutdownSignal) {
    let (sender, receiver) = watch::channel(false);
    (ShutdownTrigger { sender }, ShutdownSignal { receiver })
}

impl ShutdownTrigger {
    /// Asks for a planned stop: open exchanges finish first.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }
}

impl ShutdownSignal {
    /// Waits until a stop is asked for. A dropped trigger never asks.
    pub async fn stopped(&mut self) {
        if self.receiver.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
