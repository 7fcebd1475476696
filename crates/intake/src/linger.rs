//! Closes connections whose clients are still sending.

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// The most bytes that are read then.
const LINGER_BYTES: usize = 16 * 1024 * 1024;

/// Reads and drops what a client still sends after the last answer, for `longest` at most.
///
/// A socket that is closed with unread bytes resets the connection, and the reset can overtake the
/// answer.
pub async fn linger(stream: &TcpStream, longest: Duration) {
    let mut left = LINGER_BYTES;
    let discarding = async {
        while left > 0 && stream.readable().await.is_ok() {
            // On the stack only while it is read into, as many connections may linger.
            let mut scratch = [0; 4096];
            match stream.try_read(&mut scratch) {
                Ok(0) => return,
                Ok(count) => left = left.saturating_sub(count),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = timeout(longest, discarding).await;
}
