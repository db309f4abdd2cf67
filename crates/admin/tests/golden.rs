//! The frames of a takeover and the paths of management requests are encoded as they were at commit c58caac, since the
//! other end may be a process of an earlier version. The encoding of the ledger is tested in `operator_state.rs`.

use reelfall_admin::request::{FleetRequest, HttpTarget, ManagementRequest};
use reelfall_admin::takeover::{DecodedFrame, Frame};

const FRAMES: &str = include_str!("golden/frames.txt");
const REQUESTS: &str = include_str!("golden/requests.txt");

#[test]
fn takeover_frames_match_golden_file() {
    let frames = [
        Frame::Hello { version: 1 },
        Frame::Snapshot {
            listeners: vec!["client".to_owned(), "grüß".to_owned()],
            learned: vec![(
                String::new(),
                serde_json::json!({"servers": [], "base": 0.25}),
            )],
        },
        Frame::Busy,
        Frame::Serving,
        Frame::Client {
            listener: "client".to_owned(),
        },
    ];
    let mut lines = Vec::new();
    for frame in &frames {
        let bytes = frame.encode().unwrap();
        let DecodedFrame {
            frame: decoded,
            encoded_len: length,
        } = Frame::decode(&bytes).unwrap().unwrap();
        assert_eq!(length, bytes.len());
        assert_eq!(decoded.encode().unwrap(), bytes);
        assert_eq!(
            bytes[..4],
            u32::try_from(bytes.len() - 4).unwrap().to_be_bytes()
        );
        lines.push(String::from_utf8(bytes[4..].to_vec()).unwrap());
    }
    assert_eq!(lines, FRAMES.lines().collect::<Vec<_>>());
}

#[test]
fn management_requests_match_golden_file() {
    let name = || "a/b c-é".to_owned();
    let fleet = [
        FleetRequest::Members,
        FleetRequest::Verdicts,
        FleetRequest::Explain(name()),
        FleetRequest::Ban {
            server: name(),
            seconds: None,
            by: "ada".to_owned(),
        },
        FleetRequest::Ban {
            server: name(),
            seconds: Some(90),
            by: "o bi".to_owned(),
        },
        FleetRequest::Lift {
            server: name(),
            by: "ada".to_owned(),
        },
        FleetRequest::Leases,
        FleetRequest::Release {
            lease: "calls/flags".to_owned(),
            reason: "a change".to_owned(),
        },
    ];
    let own = [
        ManagementRequest::Ready,
        ManagementRequest::Disable(name()),
        ManagementRequest::Enable(name()),
        ManagementRequest::Drain,
        ManagementRequest::Resume,
    ];
    let mut lines = Vec::new();
    for request in own.into_iter().chain(fleet.map(ManagementRequest::Fleet)) {
        let HttpTarget { method, path } = request.to_http();
        assert_eq!(ManagementRequest::parse(method, &path), Ok(request));
        lines.push(format!("{method} {path}"));
    }
    assert_eq!(lines, REQUESTS.lines().collect::<Vec<_>>());
}
