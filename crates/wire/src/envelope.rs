//! A message with its sender, and its bytes.

use nutmegsail_base::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::{NodeMessage, WireError};

/// The first byte of every message. A node that reads another one drops the message.
pub const PROTOCOL_VERSION: u8 = 1;

/// The largest message in bytes, the envelope included.
pub const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The node that sent it.
    pub from: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub message: NodeMessage,
}

impl Envelope {
    /// The bytes that travel.
    ///
    /// # Errors
    ///
    /// [`WireError::TooLarge`] if they are more than [`MAX_MESSAGE_BYTES`].
    ///
    /// ```
    /// use nutmegsail_base::Incarnation;
    /// use nutmegsail_wire::{Envelope, NodeMessage};
    ///
    /// let envelope = Envelope {
    ///     from: "negril-1".into(),
    ///     incarnation: Incarnation(7),
    ///     message: NodeMessage::HeadAsk { ask_id: 1 },
    /// };
    /// let bytes = envelope.to_bytes()?;
    /// assert_eq!(Envelope::from_bytes(&bytes)?, envelope);
    /// # Ok::<(), nutmegsail_wire::WireError>(())
    /// ```
    pub fn to_bytes(&self) -> Result<Vec<u8>, WireError> {
        let encoded = postcard::to_extend(self, vec![PROTOCOL_VERSION]);
        let bytes = encoded.map_err(WireError::Encode)?;
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(WireError::TooLarge { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// Reads what [`Envelope::to_bytes`] wrote.
    ///
    /// Any bytes may come in. Lengths inside the message are checked against what is there before
    /// anything is allocated, so garbled bytes cost at most their own length.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the bytes are too many, of another version, or no message.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, WireError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(WireError::TooLarge { bytes: bytes.len() });
        }
        match bytes.split_first() {
            Some((&PROTOCOL_VERSION, rest)) => {
                postcard::from_bytes(rest).map_err(WireError::Decode)
            }
            Some((&version, _)) => Err(WireError::Version { version }),
            None => Err(WireError::Version { version: 0 }),
        }
    }
}
