//! The client of the management address. Called by the command line.

use reelfall_admin::request::{HttpTarget, ManagementRequest};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// Timeout for connecting, for each write and for each read. Even an overloaded node answers within a second.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are read of an answer; the rest is not printed.
const MAX_ANSWER_LEN: u64 = 16 << 10;
/// Maximum number of header fields in an answer.
const MAX_HEADERS: usize = 32;
/// The exit code if no node answers: `EX_UNAVAILABLE` of `sysexits.h`.
const UNAVAILABLE: u8 = 69;

/// Why a request has no answer.
#[derive(Debug, Error)]
enum SendError {
    #[error(transparent)]
    Connection(#[from] io::Error),
    #[error("the response is not valid HTTP")]
    InvalidAnswer,
}

/// A node's answer to a management request.
struct Answer {
    status: u16,
    text: String,
}

impl Answer {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    fn parse(bytes: &[u8]) -> Result<Answer, SendError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let Ok(httparse::Status::Complete(head_len)) = response.parse(bytes) else {
            return Err(SendError::InvalidAnswer);
        };
        let body = bytes.get(head_len..).unwrap_or_default();
        Ok(Answer {
            status: response.code.ok_or(SendError::InvalidAnswer)?,
            text: String::from_utf8_lossy(body).into_owned(),
        })
    }
}

/// Sends a request and prints the answer. The exit code is 0 for success, 1 for an error, 69 if no node answers.
pub fn run(management: SocketAddr, request: &ManagementRequest) -> ExitCode {
    match send(management, request) {
        Ok(answer) if answer.is_success() => {
            print!("{}", answer.text);
            ExitCode::SUCCESS
        }
        Ok(Answer { status, text }) => {
            eprint!("{status}: {text}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("reelfall: {management}: {error}");
            ExitCode::from(UNAVAILABLE)
        }
    }
}

fn send(management: SocketAddr, request: &ManagementRequest) -> Result<Answer, SendError> {
    let mut stream = TcpStream::connect_timeout(&management, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let HttpTarget { method, path } = request.to_http();
    let head =
        format!("{method} {path} HTTP/1.1\r\nhost: {management}\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let mut answer = Vec::new();
    stream.take(MAX_ANSWER_LEN).read_to_end(&mut answer)?;
    Answer::parse(&answer)
}
