//! HTTP/1.1 over blocking sockets: reading requests and answers, writing answers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn argument(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        decode(pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value))
    }
}

fn decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let code = std::str::from_utf8(&bytes[at + 1..at + 3]).ok();
            decoded.push(code.and_then(|code| u8::from_str_radix(code, 16).ok()).unwrap_or(b'?'));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads until the end of a head; returns its lines and the bytes after it.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(at) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at]).into_owned();
            buffer.drain(..at + 4);
            return Ok(Some(head));
        }
        let mut part = [0; 4096];
        match stream.read(&mut part)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&part[..count]),
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<()> {
    while buffer.len() < length {
        let mut part = [0; 4096];
        match stream.read(&mut part)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&part[..count]),
        }
    }
    Ok(())
}

fn headers(head: &str) -> Vec<(String, String)> {
    let lines = head.split("\r\n").skip(1).filter_map(|line| line.split_once(':'));
    lines.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream, buffer)? else { return Ok(None) };
    let mut words = head.split("\r\n").next().unwrap_or_default().split(' ');
    let (method, target) = (words.next().unwrap_or_default().to_owned(), words.next().unwrap_or_default().to_owned());
    let mut request = Request { method, target, headers: headers(&head), body: Vec::new() };
    let length = request.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    fill(stream, buffer, length)?;
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}

pub fn answer_text(status: u16, more: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Serves each connection on a thread of its own.
pub fn listen(address: &str, serve: impl Fn(TcpStream) + Send + Sync + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// When the first byte of the body arrived.
    pub first: Option<Instant>,
    pub body: String,
    pub is_whole: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    fn none() -> Self {
        Self { status: 0, headers: Vec::new(), first: None, body: String::new(), is_whole: false }
    }
}

/// Sends a request on a new connection and reads the answer for at most `limit`; leaves after `patience` without a
/// first byte of the body.
pub fn call(address: SocketAddr, text: &str, limit: Duration, patience: Duration) -> Reply {
    let began = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return Reply::none() };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    if stream.write_all(text.as_bytes()).is_err() {
        return Reply::none();
    }
    let (mut reply, mut buffer, mut head) = (Reply::none(), Vec::new(), None);
    loop {
        if began.elapsed() > limit || (reply.first.is_none() && began.elapsed() > patience) {
            return reply;
        }
        if head.is_none() {
            if let Some(at) = buffer.windows(4).position(|part: &[u8]| part == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&buffer[..at]).into_owned();
                buffer.drain(..at + 4);
                reply.status = text.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
                reply.headers = headers(&text);
                head = Some(text);
            }
        }
        if head.is_some() {
            if !buffer.is_empty() {
                reply.first.get_or_insert_with(Instant::now);
            }
            let length = reply.header("content-length").and_then(|length| length.parse::<usize>().ok());
            let is_chunked = reply.header("transfer-encoding").is_some();
            reply.body = String::from_utf8_lossy(&buffer).into_owned();
            reply.is_whole = match length {
                Some(length) => buffer.len() >= length,
                None => is_chunked && buffer.ends_with(b"0\r\n\r\n"),
            };
            if reply.is_whole {
                return reply;
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) => return reply,
            Ok(count) => buffer.extend_from_slice(&part[..count]),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => return reply,
        }
    }
}
