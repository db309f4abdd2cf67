//! A client that sends requests at full speed on one connection, which it opens again whenever it is closed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const READ_BYTES: usize = 256 << 10;
/// Number of requests that are written at once.
const REQUESTS_PER_WRITE: usize = 200;
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// What the client sends. Names, ids and keys are new in each request.
#[derive(Clone, Copy, Debug)]
pub enum Text {
    Health,
    Request,
    /// Requests that must run at most once.
    Unsafe,
    UnknownPath,
    UnknownHost,
    /// Lines that are no requests.
    Garbage,
    GraphQl,
    /// The smallest chunks of one body that does not end.
    SmallChunks,
}

impl Text {
    /// What is sent first on a connection.
    fn start(self, number: usize) -> String {
        if !matches!(self, Text::SmallChunks) {
            return String::new();
        }
        format!(
            "POST /api HTTP/1.1\r\nhost: n\r\nx-correlation-id: f-{number}\r\nx-service-class: write\r\n\
             transfer-encoding: chunked\r\n\r\n"
        )
    }

    fn format(self, number: usize) -> String {
        let request = |method: &str, host: &str, path: &str, class: &str, end: &str| {
            format!(
                "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-correlation-id: f-{number}\r\nx-service-class: {class}\r\n\
                 x-account: tenant-{number}\r\ncookie: key=k-{number}\r\nidempotency-key: k-{number}\r\n\
                 x-time-left: 0.600\r\n{end}\r\n"
            )
        };
        match self {
            Text::Health => "GET /_health HTTP/1.1\r\nhost: n\r\n\r\n".to_owned(),
            Text::Request => request("GET", "n", "/api", "read", ""),
            Text::Unsafe => request("POST", "n", "/api", "write", "content-length: 0\r\n"),
            Text::UnknownPath => request("GET", "n", &format!("/unknown-{number}"), "read", ""),
            Text::UnknownHost => request("GET", &format!("h-{number}"), "/", "read", ""),
            Text::SmallChunks => "1\r\nx\r\n".repeat(100),
            Text::Garbage => format!("\u{1}garbage {number}\r\n"),
            Text::GraphQl => {
                let body = format!("{{\"query\":\"{{text{number}}}\"}}");
                let end = format!(
                    "content-type: application/json\r\ncontent-length: {}\r\n",
                    body.len()
                );
                request("POST", "n", "/graphql", "read", &end) + &body
            }
        }
    }
}

/// When the client writes further requests.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// At once, whether or not earlier ones are answered.
    Unbounded,
    /// As long as fewer bytes than this are not answered, so that none of them is more than the node buffers.
    Outstanding(usize),
}

/// A running flood.
pub struct Flood {
    is_stopped: Arc<AtomicBool>,
    requests: Arc<AtomicUsize>,
    writer: JoinHandle<()>,
}

impl Flood {
    /// Starts to send to a node.
    pub fn start(node: SocketAddr, text: Text, pace: Pace) -> Flood {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let requests = Arc::new(AtomicUsize::new(0));
        let writer = std::thread::spawn({
            let (is_stopped, requests) = (is_stopped.clone(), requests.clone());
            move || {
                while !is_stopped.load(Ordering::SeqCst) {
                    let _ = match pace {
                        Pace::Unbounded => send(node, text, &is_stopped, &requests),
                        Pace::Outstanding(max_bytes) => {
                            send_when_answered(node, text, max_bytes, &is_stopped, &requests)
                        }
                    };
                }
            }
        });
        Flood {
            is_stopped,
            requests,
            writer,
        }
    }

    /// Ends the flood; returns how many requests were written.
    pub fn stop(self) -> usize {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.writer.join().unwrap();
        self.requests.load(Ordering::SeqCst)
    }
}

/// Sends on one connection until it is closed. Another thread reads all answers.
fn send(
    node: SocketAddr,
    text: Text,
    is_stopped: &Arc<AtomicBool>,
    requests: &AtomicUsize,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_write_timeout(Some(READ_TIMEOUT))?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let reader = std::thread::spawn({
        let (stream, is_stopped) = (stream.try_clone()?, is_stopped.clone());
        move || read_all(stream, &is_stopped)
    });
    let number = requests.load(Ordering::SeqCst);
    let _ = stream.write_all(text.start(number).as_bytes());
    while !is_stopped.load(Ordering::SeqCst) {
        let first = requests.fetch_add(REQUESTS_PER_WRITE, Ordering::SeqCst);
        let texts: String = (first..first + REQUESTS_PER_WRITE)
            .map(|number| text.format(number))
            .collect();
        if stream.write_all(texts.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
    Ok(())
}

fn read_all(mut stream: TcpStream, is_stopped: &AtomicBool) {
    let mut buffer = vec![0; READ_BYTES];
    while !is_stopped.load(Ordering::SeqCst) {
        match stream.read(&mut buffer) {
            Ok(0) => return,
            Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
            _ => {}
        }
    }
}

/// Sends on one connection until it is closed, with at most so many bytes of requests that are not answered.
fn send_when_answered(
    node: SocketAddr,
    text: Text,
    max_bytes: usize,
    is_stopped: &AtomicBool,
    requests: &AtomicUsize,
) -> std::io::Result<()> {
    const ANSWER_START: &[u8] = b"HTTP/1.1 ";
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let number = requests.load(Ordering::SeqCst);
    stream.write_all(text.start(number).as_bytes())?;
    let (mut outstanding, mut buffer) = (0, vec![0; READ_BYTES]);
    while !is_stopped.load(Ordering::SeqCst) {
        let mut texts = String::new();
        loop {
            let next = text.format(requests.load(Ordering::SeqCst));
            if (outstanding + 1) * next.len() > max_bytes {
                break;
            }
            requests.fetch_add(1, Ordering::SeqCst);
            outstanding += 1;
            texts.push_str(&next);
        }
        stream.write_all(texts.as_bytes())?;
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            break;
        }
        let read = &buffer[..length];
        let answers = read
            .windows(ANSWER_START.len())
            .filter(|window| *window == ANSWER_START);
        outstanding = outstanding.saturating_sub(answers.count());
    }
    Ok(())
}
