//! Servers that write as fast as they are read.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How a server answers a GET request. It never reads the body of any other request.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// This many bytes, with an announced length.
    Announced(usize),
    /// Endless chunks of this many bytes.
    Chunked(usize),
    /// A GraphQL answer whose string has this many bytes, also to a POST request.
    GraphQl(usize),
}

const WRITE_BYTES: usize = 64 << 10;

/// Starts a server.
pub async fn start(answer: Answer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: Answer) -> std::io::Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let is_graphql = matches!(answer, Answer::GraphQl(_));
        if !is_graphql && !head.starts_with(b"GET") {
            std::future::pending::<()>().await;
        }
        write_answer(&mut stream, answer).await?;
    }
}

/// Reads until the end of a head, and whatever follows it at once.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(head)
}

async fn write_answer(stream: &mut TcpStream, answer: Answer) -> std::io::Result<()> {
    match answer {
        Answer::Announced(length) => {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            for start in (0..length).step_by(WRITE_BYTES) {
                stream
                    .write_all(&vec![b'x'; WRITE_BYTES.min(length - start)])
                    .await?;
            }
            Ok(())
        }
        Answer::Chunked(length) => {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                .await?;
            let chunk = format!("{length:x}\r\n{}\r\n", "x".repeat(length));
            let chunks = chunk.repeat(WRITE_BYTES / chunk.len() + 1);
            loop {
                stream.write_all(chunks.as_bytes()).await?;
            }
        }
        Answer::GraphQl(length) => {
            let body = format!(r#"{{"data":{{"text":"{}"}}}}"#, "x".repeat(length));
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes()).await
        }
    }
}
