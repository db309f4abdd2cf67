//! The checksum of frames.

use reelfall_distribution::message::{decode, encode, Head, Payload};

#[test]
fn corrupt_or_truncated_frame_is_not_decoded() {
    let head = Head {
        session: 1,
        from_child: true,
        number: 1,
        acknowledged: 0,
        sent_at_us: 1,
        echo: None,
    };
    let frame = encode(&head, &Payload::Open { is_relay: false });
    assert!(decode(&frame).is_some());
    for position in 0..frame.len() {
        let mut corrupt = frame.clone();
        corrupt[position] ^= 1;
        assert!(decode(&corrupt).is_none(), "byte {position}");
        assert!(decode(&frame[..position]).is_none(), "cut at {position}");
    }
}
