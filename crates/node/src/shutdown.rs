//! The signal that requests a planned stop of an instance.

use tokio::sync::watch;

/// Requests a stop from the instances that hold the trigger's signal.
#[derive(Debug)]
pub struct ShutdownTrigger {
    sender: watch::Sender<bool>,
}

/// Signal on which an instance stops.
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
    /// Requests a planned stop, in which open exchanges finish first.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }
}

impl ShutdownSignal {
    /// Waits until a stop is requested. Waits for ever if the trigger is dropped without a request.
    pub async fn stopped(&mut self) {
        if self.receiver.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
