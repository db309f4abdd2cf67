//! Request targets: which are accepted, and with which error ambiguous ones are rejected.

use reelfall_routing::target::{check_path, parse, parse_host, ReceivedTarget, TargetError};

fn received<'a>(path: &'a str, host: Option<&'a str>) -> ReceivedTarget<'a> {
    ReceivedTarget {
        path,
        host: host.map(str::as_bytes),
        ..ReceivedTarget::default()
    }
}

#[test]
fn unambiguous_targets_are_accepted() {
    for (header, host) in [
        ("flags.example.org", "flags.example.org"),
        ("FLAGS.Example.ORG", "flags.example.org"),
        ("flags.example.org:8443", "flags.example.org"),
        ("127.0.0.1:80", "127.0.0.1"),
        ("[::1]:8080", "[::1]"),
        ("[::1]", "[::1]"),
        (" flags.example.org\t", "flags.example.org"),
    ] {
        assert_eq!(
            parse(received("/api", Some(header))).map(|target| target.host.into_owned()),
            Ok(host.to_owned()),
            "{header}"
        );
    }
    for path in [
        "/",
        "/api",
        "/api/",
        "/api/v1/flags",
        "/a%20b",
        "/a;v=1/b",
        "/...",
        "/a.b/.c",
        "/%C3%A9",
        "/a+b",
    ] {
        assert_eq!(check_path(path), Ok(()), "{path}");
    }
}

#[test]
fn ambiguous_host_is_rejected() {
    for (host, error) in [
        ("", TargetError::EmptyHost),
        (":80", TargetError::EmptyHost),
        ("user@flags.example.org", TargetError::UserInfo),
        ("flags.example.org@admin.example.org", TargetError::UserInfo),
        ("flags.example.org:", TargetError::InvalidPort),
        ("flags.example.org:port", TargetError::InvalidPort),
        ("flags.example.org:+80", TargetError::InvalidPort),
        ("flags.example.org:99999", TargetError::InvalidPort),
        ("flags.example.org:80:80", TargetError::InvalidPort),
        ("flags.example.org.", TargetError::InvalidHost),
        (".example.org", TargetError::InvalidHost),
        ("flags..org", TargetError::InvalidHost),
        (
            "flags.example.org,admin.example.org",
            TargetError::InvalidHost,
        ),
        ("flags.example.org/admin", TargetError::InvalidHost),
        ("flags%2eexample.org", TargetError::InvalidHost),
        ("flags example", TargetError::InvalidHost),
        ("[::1", TargetError::InvalidHost),
        ("[::1]x", TargetError::InvalidHost),
        ("[nothing]", TargetError::InvalidHost),
    ] {
        assert_eq!(parse_host(host), Err(error), "{host}");
    }
    let overlong_host = "a".repeat(300);
    assert_eq!(parse_host(&overlong_host), Err(TargetError::InvalidHost));
    assert_eq!(parse(received("/", None)), Err(TargetError::MissingHost));
    assert_eq!(
        parse(ReceivedTarget {
            has_multiple_hosts: true,
            ..received("/", Some("a"))
        }),
        Err(TargetError::MultipleHosts)
    );
    assert_eq!(
        parse(ReceivedTarget {
            host: Some(b"fl\xe4gs"),
            ..received("/", None)
        }),
        Err(TargetError::InvalidHost)
    );
}

#[test]
fn absolute_target_must_match_the_host_header() {
    let absolute = |scheme, authority, host| {
        parse(ReceivedTarget {
            scheme: Some(scheme),
            authority: Some(authority),
            ..received("/api", Some(host))
        })
        .map(|target| target.host.into_owned())
    };
    assert_eq!(
        absolute("http", "flags.example.org", "flags.example.org"),
        Ok("flags.example.org".to_owned())
    );
    assert_eq!(
        absolute("HTTP", "FLAGS.example.org", "flags.example.org"),
        Ok("flags.example.org".to_owned())
    );
    assert_eq!(
        absolute("http", "admin.example.org", "flags.example.org"),
        Err(TargetError::HostMismatch)
    );
    assert_eq!(
        absolute("http", "flags.example.org:81", "flags.example.org"),
        Err(TargetError::HostMismatch)
    );
    assert_eq!(
        absolute("http", "u@flags.example.org", "flags.example.org"),
        Err(TargetError::UserInfo)
    );
    assert_eq!(
        absolute("ftp", "flags.example.org", "flags.example.org"),
        Err(TargetError::UnsupportedScheme)
    );
    assert_eq!(
        absolute("http", "flags.example.org", ""),
        Err(TargetError::EmptyHost)
    );
}

#[test]
fn ambiguous_path_is_rejected() {
    for (path, error) in [
        ("", TargetError::NotAbsolutePath),
        ("api", TargetError::NotAbsolutePath),
        ("*", TargetError::NotAbsolutePath),
        ("/a/./b", TargetError::DotSegment),
        ("/a/../b", TargetError::DotSegment),
        ("/..", TargetError::DotSegment),
        ("/a/.", TargetError::DotSegment),
        ("/a/%2e%2e/b", TargetError::DotSegment),
        ("/a/%2E./b", TargetError::DotSegment),
        ("/a/.%2e", TargetError::DotSegment),
        ("/a/..;/b", TargetError::DotSegment),
        ("/a/..;x=1/b", TargetError::DotSegment),
        ("/a/..%3bx/b", TargetError::DotSegment),
        ("/a//b", TargetError::EmptySegment),
        ("//b", TargetError::EmptySegment),
        ("/a//", TargetError::EmptySegment),
        ("/a%2fb", TargetError::AmbiguousSeparator),
        ("/a%2Fb", TargetError::AmbiguousSeparator),
        ("/a%5cb", TargetError::AmbiguousSeparator),
        ("/a\\b", TargetError::AmbiguousSeparator),
        ("/%61dmin", TargetError::UnnecessaryEscape),
        ("/a%2Db", TargetError::UnnecessaryEscape),
        ("/a%", TargetError::InvalidEscape),
        ("/a%2", TargetError::InvalidEscape),
        ("/a%zz", TargetError::InvalidEscape),
        ("/a%/b", TargetError::InvalidEscape),
        ("/a%00b", TargetError::InvalidCharacter),
        ("/a%0d%0ab", TargetError::InvalidCharacter),
        ("/a\u{7f}", TargetError::InvalidCharacter),
        ("/é", TargetError::InvalidCharacter),
    ] {
        assert_eq!(check_path(path), Err(error), "{path}");
    }
}
