//! Decoding of bytes that are not a valid message.

use crate::keeper_group::lease_name;
use reelfall_lease::message::{Message, Response};

#[test]
fn invalid_message_bytes_are_not_decoded() {
    let message = Message::Response(Response::Available {
        lease: lease_name(),
    });
    let bytes = message.encode().unwrap();
    assert_eq!(Message::decode(&bytes), Some(message));
    assert!((0..bytes.len()).all(|length| Message::decode(&bytes[..length]).is_none()));
    assert_eq!(Message::decode(&[bytes.as_slice(), &[0]].concat()), None);
    assert_eq!(Message::decode(&vec![0; 5000]), None);
    // A lease name with a space is invalid.
    let corrupt: Vec<u8> = bytes
        .iter()
        .map(|byte| if *byte == b'k' { b' ' } else { *byte })
        .collect();
    assert_eq!(Message::decode(&corrupt), None);
}
