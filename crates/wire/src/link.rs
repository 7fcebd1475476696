//! The link between this node and all others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use nng::options::protocol::pubsub::Subscribe;
use nng::options::{LocalAddr, Options, RecvBufferSize, RecvMaxSize};
use nng::{Aio, AioResult, Listener, Protocol, Socket};
use nutmegsail_base::{Incarnation, NodeId};
use tokio::sync::mpsc;

use crate::peer::Peer;
use crate::{Envelope, MAX_MESSAGE_BYTES, NodeMessage, Traffic, WireError};

/// Messages that wait for the control thread before more are dropped.
const RECEIVE_QUEUE_MESSAGES: usize = 4096;

/// Messages that wait inside nng while one is being decoded.
const SOCKET_QUEUE_MESSAGES: i32 = 1024;

/// The link between this node and all others: one listener, and a sender for each peer.
///
/// Messages go one way and at most once. One that is lost, late or out of order is normal, so
/// whoever needs an answer asks again. Sending never waits.
pub struct Link {
    from: NodeId,
    incarnation: Incarnation,
    address: SocketAddr,
    listener: Socket,
    /// Receives for as long as it is kept.
    receiver: Aio,
    peers: Mutex<HashMap<Box<str>, Peer>>,
    traffic: Arc<Traffic>,
}

impl Link {
    /// Listens on `address` (an IP address and port; port 0 takes a free one) and returns the link
    /// with what comes in.
    ///
    /// # Errors
    ///
    /// [`WireError::BadAddress`], or [`WireError::Socket`] if the address cannot be listened on.
    ///
    /// ```
    /// use nutmegsail_base::Incarnation;
    /// use nutmegsail_wire::{Link, NodeMessage};
    ///
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let (mobay, mut received) = Link::bind("127.0.0.1:0", "mobay-1".into(), Incarnation(1))?;
    /// let (negril, _) = Link::bind("127.0.0.1:0", "negril-1".into(), Incarnation(1))?;
    /// negril.send(&mobay.address().to_string(), &NodeMessage::HeadAsk { ask_id: 1 })?;
    /// assert_eq!(received.recv().await.unwrap().from.as_str(), "negril-1");
    /// # Ok::<(), nutmegsail_wire::WireError>(())
    /// # }).unwrap();
    /// ```
    pub fn bind(
        address: &str,
        from: NodeId,
        incarnation: Incarnation,
    ) -> Result<(Self, mpsc::Receiver<Envelope>), WireError> {
        let traffic = Arc::new(Traffic::default());
        let (sender, receiver) = mpsc::channel(RECEIVE_QUEUE_MESSAGES);
        let socket = Socket::new(Protocol::Sub0)?;
        socket.set_opt::<Subscribe>(Vec::new())?;
        socket.set_opt::<RecvBufferSize>(SOCKET_QUEUE_MESSAGES)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        let listener = Listener::new(&socket, &url_of(address)?)?;
        let address = bound_address(&listener)?;
        let receiver_aio = receive_into(&socket, sender, Arc::clone(&traffic))?;
        let link = Self {
            from,
            incarnation,
            address,
            listener: socket,
            receiver: receiver_aio,
            peers: Mutex::default(),
            traffic,
        };
        Ok((link, receiver))
    }

    /// The address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The link's counters.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sends `message` to the node that listens on `to_address`. Never waits.
    ///
    /// The first message to an address dials it. `Ok` says that the message was queued, no more.
    ///
    /// # Errors
    ///
    /// [`WireError::BadAddress`], [`WireError::TooLarge`], or [`WireError::Socket`] if no socket
    /// can be had.
    pub fn send(&self, to_address: &str, message: &NodeMessage) -> Result<(), WireError> {
        let bytes = self.encode(message)?;
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if !peers.contains_key(to_address) {
            let peer = Peer::dial(&url_of(to_address)?, Arc::clone(&self.traffic))?;
            peers.insert(to_address.into(), peer);
        }
        peers[to_address].send(message.kind(), bytes);
        Ok(())
    }

    /// Drops the connection to an address and all that waits for it. The next message dials anew.
    ///
    /// After a partition TCP goes on resending at intervals that have grown to a minute, so a
    /// healed path would stay silent for that long. A new connection is tried at once. This is also
    /// how a peer that is gone for good is forgotten.
    pub fn disconnect(&self, address: &str) {
        let removed = {
            let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
            peers.remove(address)
        };
        drop(removed);
    }

    /// How many addresses the link has a sender for.
    pub fn peer_count(&self) -> usize {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.len()
    }

    fn encode(&self, message: &NodeMessage) -> Result<Vec<u8>, WireError> {
        let envelope = Envelope {
            from: self.from.clone(),
            incarnation: self.incarnation,
            message: message.clone(),
        };
        envelope.to_bytes()
    }
}

impl Drop for Link {
    /// nng tells the end of the last receive on a thread of its own. If that thread dropped the last
    /// handle of the receive, it would wait for itself; so this one waits until it is through.
    fn drop(&mut self) {
        self.listener.close();
        self.receiver.wait();
    }
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link")
            .field("from", &self.from)
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Settings give IP addresses, so that no name service stands between the nodes.
fn url_of(address: &str) -> Result<String, WireError> {
    let parsed: Result<SocketAddr, _> = address.parse();
    match parsed {
        Ok(address) => Ok(format!("tcp://{address}")),
        Err(_) => Err(WireError::BadAddress(address.to_owned())),
    }
}

/// nng keeps ports in network order; its Rust wrapper hands them on as they are.
fn bound_address(listener: &Listener) -> Result<SocketAddr, WireError> {
    match listener.get_opt::<LocalAddr>()? {
        nng::SocketAddr::Inet(v4) => Ok((*v4.ip(), u16::from_be(v4.port())).into()),
        nng::SocketAddr::Inet6(v6) => Ok((*v6.ip(), u16::from_be(v6.port())).into()),
        other => Err(WireError::BadAddress(other.to_string())),
    }
}

fn receive_into(
    socket: &Socket,
    sender: mpsc::Sender<Envelope>,
    traffic: Arc<Traffic>,
) -> Result<Aio, WireError> {
    let receiving = socket.clone();
    let aio = Aio::new(move |aio, result| {
        match result {
            AioResult::Recv(Ok(bytes)) => receive(&bytes, &sender, &traffic),
            AioResult::Recv(Err(nng::Error::Closed)) => return,
            _ => {}
        }
        // Fails only once the socket is closed, and then there is nothing left to receive.
        let _ = receiving.recv_async(&aio);
    })?;
    socket.recv_async(&aio)?;
    Ok(aio)
}

/// Decodes a message. Whatever another process sends, the worst that happens here is a count.
fn receive(bytes: &[u8], sender: &mpsc::Sender<Envelope>, traffic: &Traffic) {
    let Ok(envelope) = Envelope::from_bytes(bytes) else {
        traffic.add_undecodable();
        return;
    };
    traffic.add_received(envelope.message.kind(), bytes.len());
    if sender.try_send(envelope).is_err() {
        traffic.add_dropped_receiving();
    }
}
