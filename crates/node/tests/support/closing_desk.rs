//! A plain service that closes its connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

type Arrivals = Arc<Mutex<HashMap<String, u32>>>;

/// When a service closes a connection.
#[derive(Clone, Copy)]
pub enum Closing {
    /// On the second booking, without an answer.
    SecondBooking,
    /// After each answer, which has neither a length nor chunks.
    EachAnswer,
}

/// A plain service that closes its connections.
pub struct ClosingDesk {
    pub address: SocketAddr,
    arrivals: Arrivals,
}

impl ClosingDesk {
    /// Listens on a free port.
    pub async fn start(closing: Closing) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let arrivals = Arrivals::default();
        let counted = Arc::clone(&arrivals);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, closing, Arc::clone(&counted)));
            }
        });
        Self { address, arrivals }
    }

    /// How often a booking with the key arrived.
    pub fn arrivals(&self, key: &str) -> u32 {
        let arrivals = self.arrivals.lock().expect("no fault");
        arrivals.get(key).copied().unwrap_or(0)
    }
}

async fn serve(stream: TcpStream, closing: Closing, arrivals: Arrivals) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let mut bookings = 0;
    loop {
        if let Some(key) = read_request(&mut stream).await? {
            *arrivals.lock().expect("no fault").entry(key).or_default() += 1;
            bookings += 1;
        }
        match closing {
            Closing::SecondBooking if bookings == 2 => return None,
            Closing::SecondBooking => {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                stream.get_mut().write_all(answer).await.ok()?;
            }
            Closing::EachAnswer => {
                let answer = b"HTTP/1.1 201 Created\r\n\r\n{\"booked\":";
                stream.get_mut().write_all(answer).await.ok()?;
                return None;
            }
        }
    }
}

/// Reads a request and returns its key, if it has one. `None` outside: the connection is over.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Option<String>> {
    let (mut key, mut body_bytes) = (None, 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(": ") {
            match name.to_ascii_lowercase().as_str() {
                "idempotency-key" => key = Some(value.to_owned()),
                "content-length" => body_bytes = value.parse().ok()?,
                _ => {}
            }
        }
    }
    stream.read_exact(&mut vec![0; body_bytes]).await.ok()?;
    Some(key)
}
