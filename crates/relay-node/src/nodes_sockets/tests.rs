//! Tests with ports that are free for only one of the two sockets.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

use super::NodesSockets;

/// Opens sockets at `address`; the first bind of the UDP socket fails, as if another process had
/// one on that port. Also returns the number of binds.
async fn open(address: &str) -> (io::Result<NodesSockets>, usize) {
    let binds = Cell::new(0);
    let bind = async |address: SocketAddr| match binds.replace(binds.get() + 1) {
        0 => Err(io::Error::from(io::ErrorKind::AddrInUse)),
        _ => UdpSocket::bind(address).await,
    };
    let address = address.parse().expect("an address");
    let opened = NodesSockets::open_with(address, bind).await;
    (opened, binds.get())
}

// Guards against a failed start: another process's UDP socket can have the port that was free for
// the TCP listener.
#[tokio::test]
async fn port_zero_tries_another_port_if_one_socket_cannot_bind() {
    let (opened, binds) = open("127.0.0.1:0").await;
    let sockets = opened.expect("the second port is free");
    let (listener, datagrams) = (sockets.listener, sockets.datagrams);
    assert_eq!(
        listener.local_addr().expect("it is bound"),
        datagrams.local_addr().expect("it is bound")
    );
    assert_eq!(binds, 2);
}

#[tokio::test]
async fn a_fixed_port_is_tried_only_once() {
    // No other test uses this loopback address, so all its ports are free.
    let (opened, binds) = open("127.77.33.1:7380").await;
    assert!(opened.is_err());
    assert_eq!(binds, 1);
}
