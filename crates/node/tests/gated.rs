//! Tests that the send deadline is checked in the write of the first byte.

use std::io::ErrorKind;

use node::clock::Clock;
use node::gated::{DeadlineStream, SentFlag};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (client, server)
}

/// Guards against a first byte that is written after the deadline, because the process was paused after an earlier
/// check.
#[tokio::test(start_paused = true)]
async fn the_first_byte_is_refused_after_the_deadline() {
    let (client, mut server) = connect().await;
    let (clock, sent) = (Clock::start(), SentFlag::default());
    let mut stream = DeadlineStream::new(client, clock, 50, sent.clone());
    tokio::time::advance(std::time::Duration::from_millis(50)).await;
    let error = stream.write(b"POST").await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    assert!(!sent.is_set());
    drop(stream);
    let mut received = Vec::new();
    server.read_to_end(&mut received).await.unwrap();
    assert!(received.is_empty());
}

/// Guards against a request that is truncated because the deadline passes while it is written.
#[tokio::test(start_paused = true)]
async fn later_bytes_may_be_written_after_the_deadline() {
    let (client, mut server) = connect().await;
    let (clock, sent) = (Clock::start(), SentFlag::default());
    let mut stream = DeadlineStream::new(client, clock, 50, sent.clone());
    stream.write_all(b"PO").await.unwrap();
    assert!(sent.is_set());
    tokio::time::advance(std::time::Duration::from_millis(50)).await;
    stream.write_all(b"ST").await.unwrap();
    let mut received = [0; 4];
    server.read_exact(&mut received).await.unwrap();
    assert_eq!(&received, b"POST");
}
