//! The bytes that a session sends are those recorded at commit c58caac in `golden/session.txt`. They follow the
//! published record definitions, so the file does not change.

use bytes::Bytes;
use reelfall_registry_client::session::{Command, Credentials, Session, SessionConfig};
use reelfall_registry_client::wire::{Acl, Op, Writer};

const GOLDEN: &str = include_str!("golden/session.txt");

/// The frames that the session sends, in hexadecimal digits.
fn sent_frames(session: &mut Session) -> Vec<String> {
    let commands = std::iter::from_fn(|| session.next_command());
    let frames = commands.filter_map(|command| match command {
        Command::Send(bytes) => Some(bytes.iter().map(|byte| format!("{byte:02x}")).collect()),
        _ => None,
    });
    frames.collect()
}

#[test]
fn sent_bytes_match_the_golden_file() {
    let config = SessionConfig {
        members: vec![([127, 0, 0, 1], 2181).into()],
        timeout: 6.0,
        connect_timeout: 1.0,
        credentials: Some(Credentials {
            scheme: "digest".to_owned(),
            proof: Bytes::from_static(b"ada:secret"),
        }),
        forget_after: 60.0,
    };
    let mut session = Session::new(config, 10.0, 1);
    session.tick(10.0);
    session.handle_connected(10.0);
    let mut lines = sent_frames(&mut session);
    let handshake_response = Writer::new()
        .int(0)
        .int(6000)
        .long(42)
        .buffer(&[7; 16])
        .boolean(false)
        .finish();
    session.handle_bytes(10.1, &handshake_response);
    lines.extend(sent_frames(&mut session));
    session.handle_bytes(10.2, &Writer::new().int(-4).long(0).int(0).finish());
    lines.extend(sent_frames(&mut session));
    let path = || "/flags/n1".to_owned();
    let acl = |permissions| Acl {
        permissions,
        scheme: "world".to_owned(),
        id: "anyone".to_owned(),
    };
    let data = || Bytes::from_static(b"{}");
    let operations = [
        Op::Create {
            path: path(),
            data: data(),
            acl: vec![acl(31), acl(1)],
            ephemeral: true,
        },
        Op::Create {
            path: path(),
            data: Bytes::new(),
            acl: Vec::new(),
            ephemeral: false,
        },
        Op::Delete {
            path: path(),
            version: -1,
        },
        Op::SetData {
            path: path(),
            data: data(),
            version: 7,
        },
        Op::Exists {
            path: path(),
            watch: true,
        },
        Op::GetData {
            path: path(),
            watch: false,
        },
        Op::GetAcl { path: path() },
        Op::GetChildren {
            path: path(),
            watch: true,
        },
        Op::Sync { path: path() },
        Op::AddWatch { path: path() },
    ];
    for (token, operation) in (0..).zip(operations) {
        assert!(session.request(10.3, token, operation));
    }
    lines.extend(sent_frames(&mut session));
    session.tick(13.0);
    lines.extend(sent_frames(&mut session));
    session.close(13.0);
    lines.extend(sent_frames(&mut session));
    assert_eq!(lines, GOLDEN.lines().collect::<Vec<_>>());
}
