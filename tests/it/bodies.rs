//! The memory that unfinished request bodies share: who gets it, and that it
//! is given back.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::StatusCode;
use landingvalve::http;
use landingvalve::http::Handler;
use landingvalve::http::Memory;
use landingvalve::http::Request;
use landingvalve::http::Response;
use landingvalve::log;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::support::until;

/// The memory of the server, in bytes.
const MEMORY_BYTES: usize = 10_000;
/// The longest body that the server reads, in bytes.
const MAX_BODY_BYTES: usize = 40_000;
/// The most connections of the server.
const MAX_CONNECTIONS: usize = 100;
/// A time that no body takes.
const LONG: Duration = Duration::from_secs(600);

/// Answers with the length of the body.
struct Measurer {
    timeout: Duration,
}

impl Handler for Measurer {
    async fn handle(&self, request: Request) -> Response {
        let deadline = Instant::now() + self.timeout;
        let body = http::read_body_until(request, MAX_BODY_BYTES, deadline);
        match body.await {
            Ok(body) => http::text(StatusCode::OK, body.len().to_string()),
            Err(error) => http::body_failure(error),
        }
    }
}

/// The most connections of a server with few of them.
const FEW_CONNECTIONS: usize = 2;

/// A server, and the memory that its bodies share.
struct Server {
    address: SocketAddr,
    memory: Memory,
    _server: http::Server,
}

async fn start(timeout: Duration) -> Server {
    start_with(timeout, MAX_CONNECTIONS).await
}

async fn start_with(timeout: Duration, max_connections: usize) -> Server {
    start_handler(Arc::new(Measurer { timeout }), max_connections).await
}

async fn start_handler(
    handler: Arc<impl Handler>,
    max_connections: usize,
) -> Server {
    let memory = Memory::new(MEMORY_BYTES, log::none());
    let limit = http::ConnectionLimit {
        max_connections,
        log: log::none(),
    };
    let any = ([127, 0, 0, 1], 0).into();
    let server =
        http::Server::start_within(any, handler, limit, memory.clone());
    let server = server.await.expect("a free port");
    Server {
        address: server.address(),
        memory,
        _server: server,
    }
}

impl Server {
    /// Begins a request with a body of `length` bytes, of which `sent` are
    /// sent.
    async fn begin(&self, length: usize, sent: usize) -> TcpStream {
        let length = format!("content-length: {length}");
        self.send(&length, &vec![b'x'; sent]).await
    }

    async fn send(&self, header: &str, body: &[u8]) -> TcpStream {
        let stream = TcpStream::connect(self.address).await;
        let mut stream = stream.expect("a connection");
        let head = format!("POST / HTTP/1.1\r\nhost: x\r\n{header}\r\n\r\n");
        let request = [head.as_bytes(), body].concat();
        stream.write_all(&request).await.expect("a connection");
        stream
    }

    /// Sends a whole request, on a new connection until one is accepted;
    /// returns the connection once it is answered.
    async fn ask(&self) -> TcpStream {
        let ask = || async {
            let mut stream = self.begin(20, 20).await;
            let mut buffer = [0; 12];
            let read = stream.read_exact(&mut buffer).await;
            (read.is_ok() && buffer == *b"HTTP/1.1 200").then_some(stream)
        };
        until("an answer", ask).await
    }

    /// Waits until the bodies hold so many bytes.
    async fn holds(&self, bytes: usize) {
        let held =
            || async { (self.memory.held_bytes() == bytes).then_some(()) };
        until(&format!("{bytes} bytes are held"), held).await;
    }
}

/// Returns what the server answers first.
async fn answer(stream: &mut TcpStream) -> String {
    let mut buffer = vec![0; 4096];
    let length = stream.read(&mut buffer).await.expect("an answer");
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

#[tokio::test]
async fn oldest_unfinished_body_keeps_a_later_caller_out() {
    let server = start(LONG).await;
    let mut oldest = server.begin(6000, 5999).await;
    server.holds(6000).await;
    let mut second = server.begin(3000, 2999).await;
    server.holds(9000).await;
    let mut ordinary = server.begin(2000, 2000).await;
    assert!(answer(&mut ordinary).await.ends_with("2000"));
    let given_up = answer(&mut oldest).await;
    assert!(given_up.starts_with("HTTP/1.1 503"), "{given_up}");
    assert!(given_up.contains("retry-after: 1\r\n"), "{given_up}");
    second.write_all(b"x").await.expect("a connection");
    assert!(answer(&mut second).await.ends_with("3000"));
    server.holds(0).await;
}

#[tokio::test]
async fn chunked_body_takes_no_memory_as_it_grows() {
    let server = start(LONG).await;
    let chunked = "transfer-encoding: chunked";
    let single = b"1\r\nx\r\n".repeat(9000);
    let first = server.send(chunked, &single).await;
    server.holds(MEMORY_BYTES).await;
    let mut ordinary = server.begin(2000, 2000).await;
    assert!(answer(&mut ordinary).await.ends_with("2000"));
    server.holds(0).await;
    drop(first);
}

#[tokio::test]
async fn memory_of_a_broken_connection_is_kept() {
    let server = start(LONG).await;
    let stream = server.begin(6000, 100).await;
    server.holds(6000).await;
    drop(stream);
    server.holds(0).await;
}

#[tokio::test]
async fn body_is_awaited_beyond_its_deadline() {
    let server = start(Duration::from_millis(50)).await;
    let mut late = server.begin(6000, 100).await;
    let answer = answer(&mut late).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    server.holds(0).await;
}

#[tokio::test]
async fn single_body_longer_than_the_memory_is_refused_in_calm() {
    let server = start(LONG).await;
    let mut whole = server.begin(MAX_BODY_BYTES, MAX_BODY_BYTES).await;
    assert!(answer(&mut whole).await.ends_with("40000"));
    let body = [b"9c40\r\n", &[b'x'; MAX_BODY_BYTES][..], b"\r\n0\r\n\r\n"];
    let chunked = "transfer-encoding: chunked";
    let mut chunked = server.send(chunked, &body.concat()).await;
    assert!(answer(&mut chunked).await.ends_with("40000"));
    server.holds(0).await;
}

#[tokio::test]
async fn body_above_the_limit_is_read() {
    let server = start(LONG).await;
    let mut stream = server.begin(MAX_BODY_BYTES + 1, 0).await;
    let answer = answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert_eq!(server.memory.held_bytes(), 0);
}

/// Checks that a connection is closed without an answer.
async fn assert_closed(mut stream: TcpStream) {
    let read = stream.read(&mut [0; 100]).await;
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}

#[tokio::test]
async fn head_without_end_keeps_a_later_caller_out() {
    let server = start_with(LONG, FEW_CONNECTIONS).await;
    let idle = server.ask().await;
    let stream = TcpStream::connect(server.address).await;
    let mut unfinished = stream.expect("a connection");
    unfinished.write_all(b"POST").await.expect("a connection");
    let later = server.ask().await;
    assert_closed(unfinished).await;
    // Connections that owe nothing stay open.
    drop((idle, later));
}

#[tokio::test]
async fn short_body_without_end_keeps_a_later_caller_out() {
    let server = start_with(LONG, FEW_CONNECTIONS).await;
    let idle = server.ask().await;
    let unfinished = server.begin(2, 1).await;
    server.holds(2).await;
    let later = server.ask().await;
    assert_closed(unfinished).await;
    drop((idle, later));
    server.holds(0).await;
}

/// Grows the share of each body to a fixed size, and keeps it.
#[derive(Default)]
struct Hoarder {
    shares: Mutex<Vec<http::Share>>,
}

impl Handler for Hoarder {
    async fn handle(&self, request: Request) -> Response {
        let body = http::read_body(request, MAX_BODY_BYTES).await;
        let mut share = body.expect("a body").into_share();
        match share.grow_to(6000) {
            Ok(()) => {
                self.shares.lock().expect("not poisoned").push(share);
                http::text(StatusCode::OK, "kept")
            }
            Err(error) => http::body_failure(error),
        }
    }
}

#[tokio::test]
async fn what_is_made_of_bodies_takes_no_memory() {
    let hoarder = Arc::new(Hoarder::default());
    let server = start_handler(hoarder.clone(), MAX_CONNECTIONS).await;
    let mut first = server.begin(20, 20).await;
    assert!(answer(&mut first).await.ends_with("kept"));
    server.holds(6000).await;
    let mut second = server.begin(20, 20).await;
    let refused = answer(&mut second).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    server.holds(6000).await;
    hoarder.shares.lock().expect("not poisoned").clear();
    let mut third = server.begin(20, 20).await;
    assert!(answer(&mut third).await.ends_with("kept"));
}

/// The length of the reply of a [`Talker`], in bytes: more than the buffers of
/// a connection hold.
const LONG_REPLY_BYTES: usize = 64 << 20;

/// Answers with a long text, and tells how many requests it has received.
#[derive(Default)]
struct Talker {
    requests: AtomicUsize,
}

impl Handler for Talker {
    async fn handle(&self, _request: Request) -> Response {
        self.requests.fetch_add(1, Ordering::Relaxed);
        http::text(StatusCode::OK, vec![b'x'; LONG_REPLY_BYTES])
    }
}

#[tokio::test]
async fn reply_that_nobody_reads_holds_its_connection() {
    let talker = Arc::new(Talker::default());
    let server = start_handler(talker.clone(), 1).await;
    let silent = server.begin(0, 0).await;
    let requests = |count: usize| {
        let talker = talker.clone();
        let received = move || {
            let all = talker.requests.load(Ordering::Relaxed);
            async move { (all == count).then_some(()) }
        };
        until("a request", received)
    };
    requests(1).await;
    // The buffers of the connection fill up.
    let mut filled = false;
    while !filled {
        let before = silent_bytes(&silent).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        filled = silent_bytes(&silent).await == before;
    }
    tokio::time::pause();
    tokio::time::advance(http::WRITE_TIMEOUT).await;
    tokio::time::resume();
    let other = || async {
        let stream = server.begin(0, 0).await;
        let read = stream.readable().await;
        let peeked = stream.peek(&mut [0; 1]).await;
        matches!((read, peeked), (Ok(()), Ok(1))).then_some(())
    };
    until("an answer", other).await;
}

/// Returns how much of a reply has arrived and is not read, up to 16 MiB.
async fn silent_bytes(stream: &TcpStream) -> usize {
    let mut buffer = vec![0; 16 << 20];
    stream.peek(&mut buffer).await.expect("a reply")
}
