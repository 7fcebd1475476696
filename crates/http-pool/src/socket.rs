//! Options of sockets.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long bytes may stay unacknowledged before a connection is given up. A peer behind a
/// partition answers nothing and a connection to it hangs for minutes otherwise; a lost packet is
/// sent again within some 200 ms, four times in this span.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_500);

/// How long a connection is silent before the kernel probes whether the peer still lives.
const PROBE_AFTER: Duration = Duration::from_secs(5);

/// The time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Lets small writes out at once and makes a silent peer show as a broken connection.
pub fn prepare_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL);
    // A socket without these options works; only a silent peer is noticed later.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
    let _ = socket.set_tcp_keepalive(&probes);
}
