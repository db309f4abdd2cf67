//! The exchange between two processes of a node while one takes over from the other: a stream of [`Frame`]s, of which some
//! carry descriptors. Both processes share the listening sockets from the moment they are handed over;
//! [`crate::succession`] decides who accepts on them.

use serde::{Deserialize, Serialize};

/// Version of the protocol; processes of different versions do not take over from each other.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_LEN: usize = 8 << 20;
/// Length of the length that a frame begins with, in bytes.
pub const LENGTH_LEN: usize = 4;
/// Maximum number of descriptors with one frame.
pub const MAX_DESCRIPTORS: usize = 32;

/// A message between the two processes of a takeover.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// The successor requests a takeover.
    Hello {
        /// The version of the protocol that it supports.
        version: u32,
    },
    /// The predecessor's listening sockets, as descriptors in this order, and its learned state.
    #[serde(rename = "Give")]
    Snapshot {
        /// Names of the listeners.
        listeners: Vec<String>,
        /// What the module of each pool has learned, by the pool's name.
        learned: Vec<(String, serde_json::Value)>,
    },
    /// The predecessor refuses: another process takes over already, or the version is not supported.
    Busy,
    /// The successor serves.
    Serving,
    /// A client's connection, as one descriptor.
    Client {
        /// The listener that accepted it.
        listener: String,
    },
}

/// A frame that was decoded from the beginning of a buffer.
#[derive(Debug)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// Number of bytes of the buffer that it was decoded from.
    pub encoded_len: usize,
}

impl Frame {
    /// Number of descriptors that come with the frame.
    pub fn descriptor_count(&self) -> usize {
        match self {
            Frame::Snapshot { listeners, .. } => listeners.len(),
            Frame::Client { .. } => 1,
            Frame::Hello { .. } | Frame::Busy | Frame::Serving => 0,
        }
    }

    /// Encodes the frame: the length of its JSON text, in [`LENGTH_LEN`] bytes, then the text.
    ///
    /// # Errors
    /// If it is too large to be decoded again.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        let text = serde_json::to_vec(self)?;
        if text.len() > MAX_FRAME_LEN || self.descriptor_count() > MAX_DESCRIPTORS {
            return Err(serde::ser::Error::custom("too large a frame"));
        }
        let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
        Ok([&length.to_be_bytes()[..], &text].concat())
    }

    /// Decodes the first frame of a buffer; `None` if it is incomplete.
    ///
    /// # Errors
    /// If the bytes are no frame.
    pub fn decode(buffer: &[u8]) -> Result<Option<DecodedFrame>, serde_json::Error> {
        let Some((length, rest)) = buffer.split_first_chunk::<LENGTH_LEN>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_LEN {
            return Err(serde::de::Error::custom("too large a frame"));
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
