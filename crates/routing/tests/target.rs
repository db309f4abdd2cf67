//! Targets that two readers could take for different ones, each with what is said of it.

use reelfall_routing::target::{host, path, read, Fault, Said};

fn said<'a>(path: &'a str, host: Option<&'a str>) -> Said<'a> {
    Said {
        path,
        host: host.map(str::as_bytes),
        ..Said::default()
    }
}

#[test]
fn plain_targets_are_read_as_they_are() {
    for (given, host) in [
        ("flags.example.org", "flags.example.org"),
        ("FLAGS.Example.ORG", "flags.example.org"),
        ("flags.example.org:8443", "flags.example.org"),
        ("127.0.0.1:80", "127.0.0.1"),
        ("[::1]:8080", "[::1]"),
        ("[::1]", "[::1]"),
        (" flags.example.org\t", "flags.example.org"),
    ] {
        assert_eq!(
            read(said("/api", Some(given))).map(|t| t.host.into_owned()),
            Ok(host.to_owned()),
            "{given}"
        );
    }
    for plain in [
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
        assert_eq!(path(plain), Ok(()), "{plain}");
    }
}

#[test]
fn a_host_that_can_be_read_two_ways_is_refused() {
    for (given, fault) in [
        ("", Fault::EmptyHost),
        (":80", Fault::EmptyHost),
        ("user@flags.example.org", Fault::UserInfo),
        ("flags.example.org@admin.example.org", Fault::UserInfo),
        ("flags.example.org:", Fault::BadPort),
        ("flags.example.org:port", Fault::BadPort),
        ("flags.example.org:+80", Fault::BadPort),
        ("flags.example.org:99999", Fault::BadPort),
        ("flags.example.org:80:80", Fault::BadPort),
        ("flags.example.org.", Fault::BadHost),
        (".example.org", Fault::BadHost),
        ("flags..org", Fault::BadHost),
        ("flags.example.org,admin.example.org", Fault::BadHost),
        ("flags.example.org/admin", Fault::BadHost),
        ("flags%2eexample.org", Fault::BadHost),
        ("flags example", Fault::BadHost),
        ("[::1", Fault::BadHost),
        ("[::1]x", Fault::BadHost),
        ("[nothing]", Fault::BadHost),
    ] {
        assert_eq!(host(given), Err(fault), "{given}");
    }
    assert_eq!(host(&"a".repeat(300)), Err(Fault::BadHost));
    assert_eq!(read(said("/", None)), Err(Fault::NoHost));
    assert_eq!(
        read(Said {
            more_hosts: true,
            ..said("/", Some("a"))
        }),
        Err(Fault::SeveralHosts)
    );
    assert_eq!(
        read(Said {
            host: Some(b"fl\xe4gs"),
            ..said("/", None)
        }),
        Err(Fault::BadHost)
    );
}

#[test]
fn an_absolute_target_has_to_name_the_host_that_the_header_names() {
    let absolute = |scheme, authority, host| {
        read(Said {
            scheme: Some(scheme),
            authority: Some(authority),
            ..said("/api", Some(host))
        })
        .map(|t| t.host.into_owned())
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
        Err(Fault::HostDiffers)
    );
    assert_eq!(
        absolute("http", "flags.example.org:81", "flags.example.org"),
        Err(Fault::HostDiffers)
    );
    assert_eq!(
        absolute("http", "u@flags.example.org", "flags.example.org"),
        Err(Fault::UserInfo)
    );
    assert_eq!(
        absolute("ftp", "flags.example.org", "flags.example.org"),
        Err(Fault::Scheme)
    );
    assert_eq!(
        absolute("http", "flags.example.org", ""),
        Err(Fault::EmptyHost)
    );
}

#[test]
fn a_path_that_can_be_read_two_ways_is_refused() {
    for (given, fault) in [
        ("", Fault::NoPath),
        ("api", Fault::NoPath),
        ("*", Fault::NoPath),
        ("/a/./b", Fault::DotSegment),
        ("/a/../b", Fault::DotSegment),
        ("/..", Fault::DotSegment),
        ("/a/.", Fault::DotSegment),
        ("/a/%2e%2e/b", Fault::DotSegment),
        ("/a/%2E./b", Fault::DotSegment),
        ("/a/.%2e", Fault::DotSegment),
        ("/a/..;/b", Fault::DotSegment),
        ("/a/..;x=1/b", Fault::DotSegment),
        ("/a/..%3bx/b", Fault::DotSegment),
        ("/a//b", Fault::EmptySegment),
        ("//b", Fault::EmptySegment),
        ("/a//", Fault::EmptySegment),
        ("/a%2fb", Fault::HiddenSeparator),
        ("/a%2Fb", Fault::HiddenSeparator),
        ("/a%5cb", Fault::HiddenSeparator),
        ("/a\\b", Fault::HiddenSeparator),
        ("/%61dmin", Fault::NeedlessEscape),
        ("/a%2Db", Fault::NeedlessEscape),
        ("/a%", Fault::BadEscape),
        ("/a%2", Fault::BadEscape),
        ("/a%zz", Fault::BadEscape),
        ("/a%/b", Fault::BadEscape),
        ("/a%00b", Fault::BadCharacter),
        ("/a%0d%0ab", Fault::BadCharacter),
        ("/a\u{7f}", Fault::BadCharacter),
        ("/é", Fault::BadCharacter),
    ] {
        assert_eq!(path(given), Err(fault), "{given}");
    }
}
