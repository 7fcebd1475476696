//! The sockets on which other nodes reach this one.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, UdpSocket};

/// How many free ports are tried if any port may be used.
const MAX_PORT_TRIES: usize = 16;

/// A TCP listener and a UDP socket on the same address and port.
pub(crate) struct NodesSockets {
    pub(crate) listener: TcpListener,
    pub(crate) datagrams: UdpSocket,
}

impl NodesSockets {
    /// Opens both at `address`; port 0 selects a port that is free for both.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        Self::open_with(address, UdpSocket::bind).await
    }

    async fn open_with(
        address: SocketAddr,
        bind: impl AsyncFn(SocketAddr) -> io::Result<UdpSocket>,
    ) -> io::Result<Self> {
        let tries = if address.port() == 0 {
            MAX_PORT_TRIES
        } else {
            1
        };
        let mut last_problem = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..tries {
            let listener = TcpListener::bind(address).await?;
            match bind(listener.local_addr()?).await {
                Ok(datagrams) => {
                    return Ok(Self {
                        listener,
                        datagrams,
                    });
                }
                Err(problem) => last_problem = problem,
            }
        }
        Err(last_problem)
    }
}

#[cfg(test)]
mod tests;
