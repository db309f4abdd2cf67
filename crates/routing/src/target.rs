//! Validates the target of a request: its host and its path have to mean the same to every implementation.
//!
//! Sources: RFC 9112 section 3.2 (request target and `Host`), RFC 9110 section 4.2.4 (no user information),
//! RFC 3986 sections 3.2, 3.3 and 6.2.2 (authority, path, equivalence).

use std::borrow::Cow;
use thiserror::Error;

/// Maximum length of a host name, in bytes (RFC 1035 section 2.3.4, without the root).
pub const MAX_HOST_LEN: usize = 253;

/// Maximum length of a label of a host name, in bytes (RFC 1035 section 2.3.4).
const MAX_LABEL_LEN: usize = 63;

/// Why the target of a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TargetError {
    /// There is no header `Host` (RFC 9112 section 3.2).
    #[error("no Host")]
    MissingHost,
    /// There are several headers `Host` (RFC 9112 section 3.2).
    #[error("more than one Host")]
    MultipleHosts,
    /// The host is empty.
    #[error("an empty Host")]
    EmptyHost,
    /// The host is no name or address, or ends in a dot.
    #[error("Host is no name or address")]
    InvalidHost,
    /// The port is no port number.
    #[error("the port is none")]
    InvalidPort,
    /// There is user information before the host (RFC 9110 section 4.2.4).
    #[error("user information in the authority")]
    UserInfo,
    /// The scheme of the absolute target is not supported.
    #[error("the scheme is not served here")]
    UnsupportedScheme,
    /// The absolute target and `Host` name different hosts.
    #[error("target and Host differ")]
    HostMismatch,
    /// The path does not begin with a slash.
    #[error("no absolute path")]
    NotAbsolutePath,
    /// `.` or `..` as a segment, plain, escaped, or before a `;`.
    #[error("a dot segment in the path")]
    DotSegment,
    /// An empty segment inside the path.
    #[error("an empty segment in the path")]
    EmptySegment,
    /// `%2f`, `%5c` or a backslash, which some implementations take for a separator.
    #[error("a hidden separator in the path")]
    AmbiguousSeparator,
    /// An escape of an unreserved character, which some implementations decode (RFC 3986 section 6.2.2.2).
    #[error("a needless escape in the path")]
    UnnecessaryEscape,
    /// `%` without two hexadecimal digits.
    #[error("half an escape in the path")]
    InvalidEscape,
    /// A control character, plain or escaped, or a character outside US-ASCII.
    #[error("a character that no path has")]
    InvalidCharacter,
}

/// A valid target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target<'a> {
    /// The host in lower case, without its port.
    pub host: Cow<'a, str>,
    /// The path, unchanged.
    pub path: &'a str,
}

/// The target of a request as it was received.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReceivedTarget<'a> {
    /// The scheme of an absolute target.
    pub scheme: Option<&'a str>,
    /// The authority of an absolute target.
    pub authority: Option<&'a str>,
    /// The path, without its query.
    pub path: &'a str,
    /// The first header `Host`.
    pub host: Option<&'a [u8]>,
    /// Whether there is another one.
    pub has_multiple_hosts: bool,
}

/// Validates a target.
///
/// Requests are forwarded unchanged, so a target that this node and a server could interpret differently is rejected
/// rather than normalized.
///
/// # Errors
/// The first [`TargetError`]; the caller responds with 400.
pub fn parse<'a>(received: ReceivedTarget<'a>) -> Result<Target<'a>, TargetError> {
    if received.has_multiple_hosts {
        return Err(TargetError::MultipleHosts);
    }
    let host_header = std::str::from_utf8(received.host.ok_or(TargetError::MissingHost)?)
        .map_err(|_| TargetError::InvalidHost)?;
    let host_header = host_header.trim_matches([' ', '\t']);
    if received
        .scheme
        .is_some_and(|s| !s.eq_ignore_ascii_case("http"))
    {
        return Err(TargetError::UnsupportedScheme);
    }
    let host = parse_host(host_header)?;
    if let Some(authority) = received.authority {
        // By RFC 9112 section 3.2.2 the target takes precedence, but not every implementation knows that.
        if !authority.eq_ignore_ascii_case(host_header) {
            // An invalid authority is the more specific error.
            self::parse_host(authority)?;
            return Err(TargetError::HostMismatch);
        }
    }
    check_path(received.path)?;
    Ok(Target {
        host,
        path: received.path,
    })
}

/// The host of an authority, in lower case.
///
/// # Errors
/// If host or port is invalid.
pub fn parse_host(authority: &str) -> Result<Cow<'_, str>, TargetError> {
    if authority.contains('@') {
        return Err(TargetError::UserInfo);
    }
    if authority.is_empty() {
        return Err(TargetError::EmptyHost);
    }
    let Authority { name, port } = split_port(authority)?;
    if let Some(port) = port {
        let is_number = !port.is_empty() && port.bytes().all(|b| b.is_ascii_digit());
        if !is_number || port.parse::<u16>().is_err() {
            return Err(TargetError::InvalidPort);
        }
    }
    if name.is_empty() {
        return Err(TargetError::EmptyHost);
    }
    if !name.starts_with('[') && !is_host_name(name) {
        return Err(TargetError::InvalidHost);
    }
    Ok(if name.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    })
}

/// An authority in its parts, which are not validated yet; an IPv6 address keeps its brackets and is valid.
struct Authority<'a> {
    name: &'a str,
    port: Option<&'a str>,
}

fn split_port(authority: &str) -> Result<Authority<'_>, TargetError> {
    let Some(rest) = authority.strip_prefix('[') else {
        return Ok(match authority.split_once(':') {
            Some((name, port)) => Authority {
                name,
                port: Some(port),
            },
            None => Authority {
                name: authority,
                port: None,
            },
        });
    };
    let (address, behind) = rest.split_once(']').ok_or(TargetError::InvalidHost)?;
    address
        .parse::<std::net::Ipv6Addr>()
        .map_err(|_| TargetError::InvalidHost)?;
    let name = &authority[..address.len() + 2];
    match behind.strip_prefix(':') {
        Some(port) => Ok(Authority {
            name,
            port: Some(port),
        }),
        None if behind.is_empty() => Ok(Authority { name, port: None }),
        None => Err(TargetError::InvalidHost),
    }
}

/// Whether a text is a host name or an IPv4 address: labels of letters, digits, `-` and `_`.
pub fn is_host_name(text: &str) -> bool {
    let is_label = |label: &str| {
        !label.is_empty()
            && label.len() <= MAX_LABEL_LEN
            && label
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    };
    text.len() <= MAX_HOST_LEN && text.split('.').all(is_label)
}

/// Validates a path.
///
/// # Errors
/// How it could be interpreted differently.
pub fn check_path(path: &str) -> Result<(), TargetError> {
    let rest = path.strip_prefix('/').ok_or(TargetError::NotAbsolutePath)?;
    let last = rest.split('/').count() - 1;
    for (index, segment) in rest.split('/').enumerate() {
        if segment.is_empty() && index < last {
            return Err(TargetError::EmptySegment);
        }
        check_segment(segment)?;
    }
    Ok(())
}

/// Validates a segment of a path.
fn check_segment(segment: &str) -> Result<(), TargetError> {
    let mut bytes = segment.bytes();
    let (mut dots, mut others) = (0, 0);
    let (mut has_parameters, mut has_unnecessary_escape) = (false, false);
    while let Some(byte) = bytes.next() {
        let decoded = match byte {
            b'%' => {
                let decoded = decode_escape(&mut bytes)?;
                has_unnecessary_escape |= is_unreserved(decoded);
                decoded
            }
            b'\\' => return Err(TargetError::AmbiguousSeparator),
            _ if byte.is_ascii_control() || !byte.is_ascii() || byte == b' ' => {
                return Err(TargetError::InvalidCharacter)
            }
            _ => byte,
        };
        // Some servers cut a segment at `;` after their check, so that `..;` becomes `..`.
        has_parameters |= decoded == b';';
        match decoded {
            _ if has_parameters => {}
            b'.' => dots += 1,
            _ => others += 1,
        }
    }
    if others == 0 && (dots == 1 || dots == 2) {
        return Err(TargetError::DotSegment);
    }
    if has_unnecessary_escape {
        return Err(TargetError::UnnecessaryEscape);
    }
    Ok(())
}

/// Decodes the two digits behind a `%`.
fn decode_escape(bytes: &mut std::str::Bytes) -> Result<u8, TargetError> {
    let high = bytes
        .next()
        .and_then(hex_digit)
        .ok_or(TargetError::InvalidEscape)?;
    let low = bytes
        .next()
        .and_then(hex_digit)
        .ok_or(TargetError::InvalidEscape)?;
    let decoded = high * 16 + low;
    if matches!(decoded, b'/' | b'\\') {
        return Err(TargetError::AmbiguousSeparator);
    }
    if decoded.is_ascii_control() {
        return Err(TargetError::InvalidCharacter);
    }
    Ok(decoded)
}

/// Whether a character never needs an escape (RFC 3986 section 2.3).
fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}
