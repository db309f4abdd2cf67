//! Encoding and decoding of the frames that the two processes exchange.

use reelfall_admin::takeover::{DecodedFrame, Frame, PROTOCOL_VERSION};

#[test]
fn frames_round_trip_and_invalid_ones_are_rejected() {
    let frames = [
        Frame::Hello {
            version: PROTOCOL_VERSION,
        },
        Frame::Snapshot {
            listeners: vec!["client".to_owned()],
            learned: vec![("a".to_owned(), 1.5.into())],
        },
        Frame::Busy,
        Frame::Serving,
        Frame::Client {
            listener: "client".to_owned(),
        },
    ];
    for frame in frames {
        let bytes = frame.encode().unwrap();
        for length in 0..bytes.len() {
            assert!(Frame::decode(&bytes[..length]).unwrap().is_none());
        }
        let DecodedFrame {
            frame: decoded,
            encoded_len,
        } = Frame::decode(&bytes).unwrap().unwrap();
        assert_eq!(
            (format!("{decoded:?}"), encoded_len),
            (format!("{frame:?}"), bytes.len())
        );
    }
    assert!(Frame::decode(b"\xff\xff\xff\xff").is_err());
    assert!(Frame::decode(b"\0\0\0\x04nope").is_err());
    let oversized = Frame::Snapshot {
        listeners: vec![String::new(); 100],
        learned: vec![],
    };
    assert!(oversized.encode().is_err());
}

#[test]
fn frame_encoding_is_stable() {
    let listeners = vec!["client".to_owned()];
    let learned = vec![("a".to_owned(), 1.5.into())];
    for (frame, expected) in [
        (Frame::Hello { version: 1 }, r#"{"Hello":{"version":1}}"#),
        (
            Frame::Snapshot { listeners, learned },
            r#"{"Give":{"listeners":["client"],"learned":[["a",1.5]]}}"#,
        ),
        (Frame::Busy, r#""Busy""#),
        (Frame::Serving, r#""Serving""#),
        (
            Frame::Client {
                listener: "client".to_owned(),
            },
            r#"{"Client":{"listener":"client"}}"#,
        ),
    ] {
        let bytes = frame.encode().unwrap();
        let (length, body) = bytes.split_first_chunk::<4>().unwrap();
        assert_eq!(u32::from_be_bytes(*length) as usize, body.len());
        assert_eq!(std::str::from_utf8(body).unwrap(), expected);
    }
}
