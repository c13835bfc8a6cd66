//! Connections of callers while an instance stops, over real sockets.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use relay::answer::AnswerBody;
use relay::http::{ConnectionLimits, listen, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::LocalSet;

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
    let socket = listen("test", &"127.0.0.1:0".into())
        .await
        .expect("a loopback port is free");
    let address = socket.local_addr().expect("the listener is bound");
    let (sender, shutdown) = watch::channel(false);
    let stopping = shutdown.clone();
    let handle = move |_: Request<Incoming>| {
        let stopping = stopping.clone();
        async move {
            tokio::time::sleep(ANSWER_TIME).await;
            let mut response = Response::new(AnswerBody::from(Bytes::from_static(b"whole")));
            if *stopping.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
    };
    tokio::task::spawn_local(serve(socket, ConnectionLimits::default, handle, shutdown));
    (address.to_string(), sender)
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
