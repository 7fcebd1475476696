//! HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A decoded argument of the query.
    pub fn argument(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(known, _)| *known == name);
        percent_decode(value.map_or("", |(_, value)| value))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn percent_decode(text: &str) -> String {
    let (mut bytes, raw) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < raw.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code.filter(|_| raw[at] == b'%') {
            Some(code) => {
                bytes.push(code);
                at += 3;
            }
            None => {
                bytes.push(raw[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16_384];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some((first, headers.collect())));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// The next request; `None` if the peer has closed.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((line, headers)) = self.head()? else {
            return Ok(None);
        };
        let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        let body = self.buffer.drain(..length).collect();
        let mut words = line.split(' ');
        Ok(Some(Request {
            method: words.next().unwrap_or_default().to_owned(),
            target: words.next().unwrap_or_default().to_owned(),
            headers,
            body,
        }))
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Writes a whole answer. Each line of `headers` ends with CRLF.
    pub fn answer(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status} Any\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
        ))
    }

    pub fn chunk(&mut self, text: &str) -> io::Result<()> {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// 0 if no head came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether it ended as its head says.
    pub is_whole: bool,
    /// Why it is not whole.
    pub why: String,
    pub took: Duration,
    /// The longest pause between two parts of the body.
    pub longest_pause: Duration,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends `text` on a new connection and reads the answer, up to `limit`.
pub fn send(address: SocketAddr, text: &str, limit: Duration) -> Reply {
    let began = Instant::now();
    let mut reply = Reply::default();
    if let Err(error) = try_send(address, text, began + limit, &mut reply) {
        reply.why = error.to_string();
    }
    reply.took = began.elapsed();
    reply
}

/// Sends `text` on a connection that may be kept, and reads the answer, up to `limit`.
pub fn exchange(connection: &mut Connection, text: &str, limit: Duration) -> Reply {
    let began = Instant::now();
    let mut reply = Reply::default();
    if let Err(error) = try_exchange(connection, text, began + limit, &mut reply) {
        reply.why = error.to_string();
    }
    reply.took = began.elapsed();
    reply
}

fn try_send(address: SocketAddr, text: &str, until: Instant, reply: &mut Reply) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    try_exchange(&mut Connection::new(stream), text, until, reply)
}

fn try_exchange(
    connection: &mut Connection,
    text: &str,
    until: Instant,
    reply: &mut Reply,
) -> io::Result<()> {
    connection
        .stream
        .set_read_timeout(Some(Duration::from_millis(100)))?;
    connection.write(text)?;
    let mut last = Instant::now();
    let mut is_head_read = false;
    loop {
        if !is_head_read && connection.buffer.windows(4).any(|four| four == b"\r\n\r\n") {
            let (line, headers) = connection.head()?.unwrap_or_default();
            reply.status = line
                .split(' ')
                .nth(1)
                .and_then(|code| code.parse().ok())
                .unwrap_or(0);
            reply.headers = headers;
            is_head_read = true;
            last = Instant::now();
        }
        if is_head_read {
            let received = String::from_utf8_lossy(&connection.buffer).into_owned();
            if reply.header("transfer-encoding") == Some("chunked") {
                (reply.body, reply.is_whole) = unchunk(&received);
            } else if let Some(length) = reply.header("content-length") {
                reply.is_whole = length.parse() == Ok(received.len());
                reply.body = received;
            } else {
                reply.body = received;
            }
            if reply.is_whole {
                connection.buffer.clear();
                return Ok(());
            }
        }
        let before = connection.buffer.len();
        match connection.fill() {
            Ok(true) => {
                if is_head_read && connection.buffer.len() > before {
                    reply.longest_pause = reply.longest_pause.max(last.elapsed());
                    last = Instant::now();
                }
            }
            Ok(false) => {
                let is_open_ended = is_head_read
                    && reply.header("transfer-encoding").is_none()
                    && reply.header("content-length").is_none();
                reply.is_whole = is_open_ended;
                reply.why = "the connection was closed".to_owned();
                return Ok(());
            }
            Err(error) if is_timeout(&error) && Instant::now() < until => {}
            Err(error) if is_timeout(&error) => {
                reply.why = "the client's time is over".to_owned();
                return Ok(());
            }
            Err(error) => return Err(error),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn unchunk(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, rest.starts_with("\r\n"));
        }
        if rest.len() < size + 2 {
            break;
        }
        body.push_str(&rest[..size]);
        text = &rest[size + 2..];
    }
    (body, false)
}
