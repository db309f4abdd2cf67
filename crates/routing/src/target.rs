//! Reads the target of a request, or says why two readers could read it differently.
//!
//! Sources: RFC 9112 section 3.2 (request target and `Host`), RFC 9110 section 4.2.4 (no user information),
//! RFC 3986 sections 3.2, 3.3 and 6.2.2 (authority, path, equivalence).

use std::borrow::Cow;
use thiserror::Error;

/// Longest host name, in bytes (RFC 1035 section 2.3.4, without the root).
pub const HOST_MOST: usize = 253;

/// Why a request's target is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// There is no `Host` (RFC 9112 section 3.2).
    #[error("no Host")]
    NoHost,
    /// There are several (RFC 9112 section 3.2).
    #[error("more than one Host")]
    SeveralHosts,
    /// It names nobody.
    #[error("an empty Host")]
    EmptyHost,
    /// It is no host name or address, or ends in a dot.
    #[error("Host is no name or address")]
    BadHost,
    /// Its port is no port.
    #[error("the port is none")]
    BadPort,
    /// User information before the host (RFC 9110 section 4.2.4).
    #[error("user information in the authority")]
    UserInfo,
    /// An absolute target of a scheme that is not served here.
    #[error("the scheme is not served here")]
    Scheme,
    /// The absolute target and `Host` name different hosts.
    #[error("target and Host differ")]
    HostDiffers,
    /// The path does not begin with a slash.
    #[error("no absolute path")]
    NoPath,
    /// `.` or `..` as a segment, plain, escaped, or before a `;`.
    #[error("a dot segment in the path")]
    DotSegment,
    /// An empty segment inside the path.
    #[error("an empty segment in the path")]
    EmptySegment,
    /// `%2f`, `%5c` or a backslash: a separator to some readers.
    #[error("a hidden separator in the path")]
    HiddenSeparator,
    /// An escape of a character that needs none, so that some readers undo it (RFC 3986 section 6.2.2.2).
    #[error("a needless escape in the path")]
    NeedlessEscape,
    /// `%` without two hexadecimal digits.
    #[error("half an escape in the path")]
    BadEscape,
    /// A control character, plain or escaped, or a character outside US-ASCII.
    #[error("a character that no path has")]
    BadCharacter,
}

/// A target that can be read in one way only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target<'a> {
    /// The host in lower case, without its port.
    pub host: Cow<'a, str>,
    /// The path, as it came.
    pub path: &'a str,
}

/// What a request says of its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Said<'a> {
    /// The scheme of an absolute target.
    pub scheme: Option<&'a str>,
    /// The authority of an absolute target.
    pub authority: Option<&'a str>,
    /// The path, without its query.
    pub path: &'a str,
    /// The first `Host`.
    pub host: Option<&'a [u8]>,
    /// There is a second one.
    pub more_hosts: bool,
}

/// Reads a target.
///
/// Guards against requests that this node and the server behind it could take for different ones: a path that one
/// of them normalises, a host that one of them reads elsewhere. What has two readings is refused rather than
/// normalised, since what is passed on goes on as it came. It ought to catch readings not thought of, as only plain
/// characters pass. Harm: a client that escapes what needs none, or ends a host in a dot, has to stop doing so.
///
/// # Errors
/// The first [`Fault`] found; the caller answers 400.
pub fn read<'a>(said: Said<'a>) -> Result<Target<'a>, Fault> {
    if said.more_hosts {
        return Err(Fault::SeveralHosts);
    }
    let named = std::str::from_utf8(said.host.ok_or(Fault::NoHost)?).map_err(|_| Fault::BadHost)?;
    let named = named.trim_matches([' ', '\t']);
    if said.scheme.is_some_and(|s| !s.eq_ignore_ascii_case("http")) {
        return Err(Fault::Scheme);
    }
    let host = host(named)?;
    if let Some(authority) = said.authority {
        // RFC 9112 section 3.2.2 lets the target win; a reader that does not know that would take the header.
        if !authority.eq_ignore_ascii_case(named) {
            // Worse faults are named first.
            self::host(authority)?;
            return Err(Fault::HostDiffers);
        }
    }
    path(said.path)?;
    Ok(Target {
        host,
        path: said.path,
    })
}

/// The host of an authority, in lower case.
///
/// # Errors
/// Says what is no host or port.
pub fn host(authority: &str) -> Result<Cow<'_, str>, Fault> {
    if authority.contains('@') {
        return Err(Fault::UserInfo);
    }
    if authority.is_empty() {
        return Err(Fault::EmptyHost);
    }
    let (name, port) = match authority.strip_prefix('[') {
        Some(rest) => {
            let (inside, behind) = rest.split_once(']').ok_or(Fault::BadHost)?;
            inside
                .parse::<std::net::Ipv6Addr>()
                .map_err(|_| Fault::BadHost)?;
            let name = &authority[..inside.len() + 2];
            match behind.strip_prefix(':') {
                Some(port) => (name, Some(port)),
                None if behind.is_empty() => (name, None),
                None => return Err(Fault::BadHost),
            }
        }
        None => match authority.split_once(':') {
            Some((name, port)) => (name, Some(port)),
            None => (authority, None),
        },
    };
    if let Some(port) = port {
        let digits = !port.is_empty() && port.bytes().all(|b| b.is_ascii_digit());
        if !digits || port.parse::<u16>().is_err() {
            return Err(Fault::BadPort);
        }
    }
    if name.is_empty() {
        return Err(Fault::EmptyHost);
    }
    if !name.starts_with('[') && !is_name(name) {
        return Err(Fault::BadHost);
    }
    Ok(if name.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    })
}

/// Whether a text is a host name or an IPv4 address: labels of letters, digits, `-` and `_`.
pub fn is_name(text: &str) -> bool {
    let label = |l: &str| {
        !l.is_empty()
            && l.len() <= 63
            && l.bytes()
                .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    };
    text.len() <= HOST_MOST && text.split('.').all(label)
}

/// Checks a path that goes on as it came.
///
/// # Errors
/// Says how it could be read differently.
pub fn path(path: &str) -> Result<(), Fault> {
    let rest = path.strip_prefix('/').ok_or(Fault::NoPath)?;
    let last = rest.split('/').count() - 1;
    for (n, segment) in rest.split('/').enumerate() {
        if segment.is_empty() && n < last {
            return Err(Fault::EmptySegment);
        }
        check_segment(segment)?;
    }
    Ok(())
}

fn check_segment(segment: &str) -> Result<(), Fault> {
    let mut bytes = segment.bytes();
    let (mut dots, mut others, mut parameters, mut needless) = (0, 0, false, false);
    while let Some(byte) = bytes.next() {
        let read = match byte {
            b'%' => {
                let high = bytes.next().and_then(hex).ok_or(Fault::BadEscape)?;
                let low = bytes.next().and_then(hex).ok_or(Fault::BadEscape)?;
                let read = high * 16 + low;
                if matches!(read, b'/' | b'\\') {
                    return Err(Fault::HiddenSeparator);
                }
                if read.is_ascii_control() {
                    return Err(Fault::BadCharacter);
                }
                needless |=
                    read.is_ascii_alphanumeric() || matches!(read, b'-' | b'.' | b'_' | b'~');
                read
            }
            b'\\' => return Err(Fault::HiddenSeparator),
            _ if byte.is_ascii_control() || !byte.is_ascii() || byte == b' ' => {
                return Err(Fault::BadCharacter)
            }
            _ => byte,
        };
        // Some servers cut a segment at `;`, so that `..;` becomes `..` behind the check.
        parameters |= read == b';';
        match read {
            _ if parameters => {}
            b'.' => dots += 1,
            _ => others += 1,
        }
    }
    if others == 0 && (dots == 1 || dots == 2) {
        return Err(Fault::DotSegment);
    }
    if needless {
        return Err(Fault::NeedlessEscape);
    }
    Ok(())
}

fn hex(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|d| d as u8)
}
