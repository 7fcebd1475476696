//! Options of sockets.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remote {
    /// An upstream, the platform's store or another node. Requests wait for it, so a connection to
    /// it that is dead has to break soon.
    Server,
    /// A caller. Many callers keep connections without using them, so they are probed rarely.
    Caller,
}

/// When the kernel gives up a connection.
///
/// Linux gives up a connection without traffic at the first probe time after `user_timeout` at
/// which an earlier probe is unanswered; it then ignores the configured number of probes. So the
/// time from the first probe to `user_timeout` is the silence that a connection survives.
#[derive(Clone, Copy)]
struct Timeouts {
    /// How long bytes may stay unacknowledged, and the connection silent once it is probed.
    user_timeout: Duration,
    /// How long a connection is silent before it is probed, in whole seconds.
    probe_after: Duration,
    /// The time between probes, in whole seconds.
    probe_interval: Duration,
}

/// A lost packet is sent again within some 200 ms, four times before the user timeout. A connection
/// without traffic is given up after 3 s, of which it may be silent for 2 s.
const SERVER_TIMEOUTS: Timeouts = Timeouts {
    user_timeout: Duration::from_millis(2_500),
    probe_after: Duration::from_secs(1),
    probe_interval: Duration::from_secs(1),
};

/// A connection without traffic is given up after 8 s, of which it may be silent for 3 s.
const CALLER_TIMEOUTS: Timeouts = Timeouts {
    user_timeout: Duration::from_secs(8),
    probe_after: Duration::from_secs(5),
    probe_interval: Duration::from_secs(1),
};

/// Sets whether closing the socket resets the connection, also when the process is killed, or ends it
/// in order. A reset discards what was not sent yet.
///
/// # Errors
///
/// If the option cannot be set.
pub fn set_reset_on_close(stream: &TcpStream, resets: bool) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO))
}

/// What the kernel may buffer in each direction. Left to itself, it lets the buffers of a connection
/// grow to megabytes.
const SOCKET_BUFFER_BYTES: usize = 128 * 1024;

/// Lets small writes out at once, limits what the kernel buffers, and makes a silent peer show as a broken connection.
pub fn prepare_socket(stream: &TcpStream, remote: Remote) {
    let timeouts = match remote {
        Remote::Server => SERVER_TIMEOUTS,
        Remote::Caller => CALLER_TIMEOUTS,
    };
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(timeouts.probe_after)
        .with_interval(timeouts.probe_interval);
    // A socket without these options works; only a silent peer is noticed later.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_tcp_user_timeout(Some(timeouts.user_timeout));
    let _ = socket.set_tcp_keepalive(&probes);
}
