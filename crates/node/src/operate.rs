//! The client of the management address, for the command line.

use reelfall_admin::request::ManagementRequest;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Timeout for connecting, writing and reading. Whatever the load, a node answers within a second.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes of an answer that are read.
const ANSWER_MOST: u64 = 16 << 10;
/// The exit code if nobody answers, as in `sysexits.h`.
const UNAVAILABLE: u8 = 69;

/// Sends a request and prints the answer. The exit code is 0 for success, 1 for an error, 69 if nobody answers.
pub fn run(management: SocketAddr, request: &ManagementRequest) -> ExitCode {
    match send(management, request) {
        Ok((status, text)) if (200..300).contains(&status) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok((status, text)) => {
            eprint!("{status}: {text}");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("reelfall: {management}: {e}");
            ExitCode::from(UNAVAILABLE)
        }
    }
}

fn send(management: SocketAddr, request: &ManagementRequest) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&management, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let (method, path) = request.method_and_path();
    let head =
        format!("{method} {path} HTTP/1.1\r\nhost: {management}\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let mut answer = Vec::new();
    stream.take(ANSWER_MOST).read_to_end(&mut answer)?;
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let invalid = || {
        io::Error::new(
            io::ErrorKind::InvalidData,
            "what came is no answer of a node",
        )
    };
    match response.parse(&answer) {
        Ok(httparse::Status::Complete(head_len)) => {
            let text =
                String::from_utf8_lossy(answer.get(head_len..).unwrap_or_default()).into_owned();
            Ok((response.code.ok_or_else(invalid)?, text))
        }
        _ => Err(invalid()),
    }
}
