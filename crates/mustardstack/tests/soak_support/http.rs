//! Minimal HTTP client and server with one request on each connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP request or response.
#[derive(Debug)]
pub struct Message {
    /// Status of a response, or 0 for a request.
    pub status: u16,
    /// Path of a request, or the status of a response as text.
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }
}

/// Status, headers and body of a stand-in's response.
pub type Response = (u16, Vec<(String, String)>, Vec<u8>);

/// Sends a request and returns the complete response.
pub fn send(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Message> {
    let address = address.parse().map_err(io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read(&mut BufReader::new(stream))
}

/// Serves each connection, which has a single request, in a thread of its own.
pub fn serve(address: &str, handle: impl Fn(&Message) -> Response + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("the stand-in's address is free");
    let handle = std::sync::Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                // A connection may fail because of an injected fault.
                let _ = handle_connection(stream, &*handle);
            });
        }
    });
}

fn handle_connection(
    mut stream: TcpStream,
    handle: &dyn Fn(&Message) -> Response,
) -> io::Result<()> {
    let request = read(&mut BufReader::new(stream.try_clone()?))?;
    let (status, headers, body) = handle(&request);
    let mut head = format!("HTTP/1.1 {status} Status\r\nConnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(&body)
}

fn read(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let second_word = line
        .split_whitespace()
        .nth(1)
        .unwrap_or_default()
        .to_owned();
    let mut message = Message {
        status: second_word.parse().unwrap_or(0),
        path: second_word,
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => message
                .headers
                .push((name.to_owned(), value.trim().to_owned())),
            None => break,
        }
    }
    let length = message
        .header("Content-Length")
        .and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}
