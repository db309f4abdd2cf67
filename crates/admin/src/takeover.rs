//! The protocol between two processes of a node while one takes over from the other: a stream of [`Frame`]s, some of
//! which come with file descriptors. Both processes share the listening sockets once they are handed over;
//! [`crate::succession`] decides which process accepts connections on them.

use serde::{Deserialize, Serialize};

/// Version of the protocol. A process does not take over from one with another version.
pub const PROTOCOL_VERSION: u32 = 1;
/// Version of the records of ids that follow [`Frame::ShareIds`].
pub const ID_RECORDS_VERSION: u32 = 1;
/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_LEN: usize = 8 << 20;
/// Size of the length prefix of a frame, in bytes.
pub const LENGTH_LEN: usize = 4;
/// Maximum number of file descriptors that come with one frame.
pub const MAX_DESCRIPTORS: usize = 32;

/// A message between the two processes of a takeover.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// The successor requests a takeover.
    Hello {
        /// The version of the protocol that it supports.
        version: u32,
    },
    /// A process shares the ids of unsafe requests on this stream, on which nothing but records of ids follows. Processes
    /// that do not know this close the stream.
    ShareIds {
        /// The version of the records.
        version: u32,
    },
    /// The predecessor's listening sockets, as file descriptors, and its learned state.
    #[serde(rename = "Give")]
    Snapshot {
        /// Names of the listeners, in the order of the descriptors.
        listeners: Vec<String>,
        /// The learned state of each pool's balancer, by the pool's name.
        learned: Vec<(String, serde_json::Value)>,
    },
    /// The predecessor refuses, for example because another process is taking over already or the version is not
    /// supported.
    Busy,
    /// The successor is ready and accepts connections.
    Serving,
    /// A client's connection, as one file descriptor.
    Client {
        /// The listener that accepted it.
        listener: String,
    },
}

/// The result of [`Frame::decode`].
#[derive(Debug)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// Number of bytes that the frame takes up at the beginning of the buffer.
    pub encoded_len: usize,
}

impl Frame {
    /// Number of file descriptors that come with the frame.
    pub fn descriptor_count(&self) -> usize {
        match self {
            Frame::Snapshot { listeners, .. } => listeners.len(),
            Frame::Client { .. } => 1,
            Frame::Hello { .. } | Frame::ShareIds { .. } | Frame::Busy | Frame::Serving => 0,
        }
    }

    /// Encodes the frame: the length of its JSON text, as a big-endian integer of [`LENGTH_LEN`] bytes, then the text.
    ///
    /// # Errors
    /// If it exceeds the limits that [`Frame::decode`] accepts.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        let text = serde_json::to_vec(self)?;
        if text.len() > MAX_FRAME_LEN || self.descriptor_count() > MAX_DESCRIPTORS {
            return Err(serde::ser::Error::custom("the frame is too large"));
        }
        let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
        Ok([&length.to_be_bytes()[..], &text].concat())
    }

    /// Decodes the first frame of a buffer; `None` if it is incomplete.
    ///
    /// # Errors
    /// If the bytes are not a frame, or it exceeds the limits.
    pub fn decode(buffer: &[u8]) -> Result<Option<DecodedFrame>, serde_json::Error> {
        let Some((length, rest)) = buffer.split_first_chunk::<LENGTH_LEN>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_LEN {
            return Err(serde::de::Error::custom("the frame is too large"));
        }
        let Some(text) = rest.get(..length) else {
            return Ok(None);
        };
        let frame: Frame = serde_json::from_slice(text)?;
        if frame.descriptor_count() > MAX_DESCRIPTORS {
            return Err(serde::de::Error::custom("too many descriptors"));
        }
        Ok(Some(DecodedFrame {
            frame,
            encoded_len: LENGTH_LEN + length,
        }))
    }
}
