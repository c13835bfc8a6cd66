//! Connections of callers while an instance stops, over real sockets.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use relay::answer::AnswerBody;
use relay::http::{ConnectionLimits, listen, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(300);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    LocalSet::new().block_on(&runtime, test);
}

/// Serves slow answers and returns the address and the sender of the shutdown signal.
async fn start() -> (String, watch::Sender<bool>) {
    let (address, stop, _) = start_with(Bytes::from_static(b"whole")).await;
    (address, stop)
}

/// Serves slow answers with a body. Also returns the task of the listener.
async fn start_with(body: Bytes) -> (String, watch::Sender<bool>, JoinHandle<()>) {
    let socket = listen("test", &"127.0.0.1:0".into())
        .await
        .expect("a loopback port is free");
    let address = socket.local_addr().expect("the listener is bound");
    let (sender, shutdown) = watch::channel(false);
    let stopping = shutdown.clone();
    let handle = move |_: Request<Incoming>| {
        let (stopping, body) = (stopping.clone(), body.clone());
        async move {
            tokio::time::sleep(ANSWER_TIME).await;
            let mut response = Response::new(AnswerBody::from(body));
            if *stopping.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
    };
    let serving =
        tokio::task::spawn_local(serve(socket, ConnectionLimits::default, handle, shutdown));
    (address.to_string(), sender, serving)
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    stream
        .read_to_end(&mut answer)
        .await
        .expect("the connection is not reset");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against requests that are cut off without an answer because they arrived just before a planned stop.
#[test]
fn a_request_that_was_read_before_the_stop_is_answered() {
    run(async {
        let (address, stop) = start().await;
        let mut callers = Vec::new();
        for _ in 0..40 {
            let mut stream = TcpStream::connect(&address).await.expect("it is accepted");
            stream.write_all(REQUEST).await.expect("it can be written");
            callers.push(stream);
        }
        tokio::time::sleep(ANSWER_TIME / 3).await;
        stop.send(true).expect("the listener is running");
        for mut caller in callers {
            let answer = read_to_end(&mut caller).await;
            assert!(answer.ends_with("whole"), "{answer}");
        }
    });
}

/// Guards against new connections that are accepted by a process which is about to end.
#[test]
fn no_connection_is_accepted_after_the_stop() {
    run(async {
        let (address, stop) = start().await;
        let mut open = TcpStream::connect(&address).await.expect("it is accepted");
        open.write_all(REQUEST).await.expect("it can be written");
        tokio::time::sleep(ANSWER_TIME / 3).await;
        stop.send(true).expect("the listener is running");
        tokio::time::sleep(ANSWER_TIME / 3).await;
        assert!(TcpStream::connect(&address).await.is_err());
        let answer = read_to_end(&mut open).await;
        assert!(answer.contains("connection: close"), "{answer}");
    });
}

/// Guards against a caller that has sent a part of a request and holds up the stop, or whose request is taken late.
#[test]
fn a_connection_with_a_part_of_a_request_is_closed_at_the_stop() {
    run(async {
        let (address, stop) = start().await;
        let mut open = TcpStream::connect(&address).await.expect("it is accepted");
        let (begin, end) = REQUEST.split_at(9);
        open.write_all(begin).await.expect("it can be written");
        tokio::time::sleep(ANSWER_TIME / 3).await;
        stop.send(true).expect("the listener is running");
        tokio::time::sleep(ANSWER_TIME * 3).await;
        let mut answer = Vec::new();
        // The connection is closed or reset, depending on when the rest arrives.
        let _ = open.write_all(end).await;
        let _ = open.read_to_end(&mut answer).await;
        assert!(answer.is_empty(), "{}", String::from_utf8_lossy(&answer));
    });
}

/// Guards against a process that ends while the answer of an exchange that has ended is still being written to a slow caller.
#[test]
fn the_listener_ends_after_the_last_byte_of_an_answer() {
    const ANSWER_BYTES: usize = 16 * 1024 * 1024;
    run(async {
        let (address, stop, serving) = start_with(vec![b'x'; ANSWER_BYTES].into()).await;
        let mut caller = TcpStream::connect(&address).await.expect("it is accepted");
        caller.write_all(REQUEST).await.expect("it can be written");
        tokio::time::sleep(ANSWER_TIME / 3).await;
        stop.send(true).expect("the listener is running");
        tokio::time::sleep(ANSWER_TIME * 2).await;
        assert!(!serving.is_finished());
        let answer = read_to_end(&mut caller).await;
        assert!(answer.len() > ANSWER_BYTES);
        serving.await.expect("the listener ends");
    });
}

/// Guards against answers that are cut off because the caller does not read for a few seconds although it is alive.
#[test]
fn a_caller_that_pauses_reading_gets_its_whole_answer() {
    const ANSWER_BYTES: usize = 16 * 1024 * 1024;
    const PAUSE: Duration = Duration::from_secs(4);
    run(async {
        let (address, _stop, _serving) = start_with(vec![b'x'; ANSWER_BYTES].into()).await;
        let socket = TcpSocket::new_v4().expect("a socket can be created");
        // A small window closes as soon as the caller stops reading.
        socket
            .set_recv_buffer_size(2_048)
            .expect("the size is allowed");
        let address = address.parse().expect("the address is valid");
        let mut caller = socket.connect(address).await.expect("it is accepted");
        caller.write_all(REQUEST).await.expect("it can be written");
        let mut head = [0; 64];
        caller
            .read_exact(&mut head)
            .await
            .expect("the answer begins");
        tokio::time::sleep(PAUSE).await;
        let mut received = head.len();
        let mut buffer = vec![0; 64 * 1024];
        while received < ANSWER_BYTES {
            let bytes = caller
                .read(&mut buffer)
                .await
                .expect("the connection is not reset");
            assert!(bytes > 0, "the answer ended after {received} bytes");
            received += bytes;
        }
    });
}

/// Guards against requests that are refused for the number of their headers although their heads are within the limit.
#[test]
fn a_request_with_many_small_headers_is_answered() {
    run(async {
        let (address, _stop) = start().await;
        let mut caller = TcpStream::connect(&address).await.expect("it is accepted");
        let headers: String = (0..900)
            .map(|number| format!("h{number}: {number}\r\n"))
            .collect();
        let request = format!("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{headers}\r\n");
        assert!(request.len() < ConnectionLimits::default().head_bytes);
        caller
            .write_all(request.as_bytes())
            .await
            .expect("it can be written");
        let answer = read_to_end(&mut caller).await;
        assert!(answer.ends_with("whole"), "{answer}");
    });
}
