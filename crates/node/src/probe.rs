//! Checks whether a process listens at an address.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns whether `address` refuses connections, so that no process listens there. An address that does not answer may
/// be partitioned from this instance.
pub async fn is_refusing(address: &str) -> bool {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
