//! A small HTTP/1.1 server and client over loopback, with threads.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// A request as a server receives it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    /// The path without its query.
    pub path: String,
    pub query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What a handler does with a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The status and the JSON body.
    Send(u16, String),
    /// No answer, on this connection for ever.
    Silence,
}

/// Answers the requests of a server.
pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A server that can be closed at once, as if its process were killed.
pub struct Server {
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Serves an address.
    pub fn start(address: SocketAddr, handler: Handler) -> Server {
        let listener = bind(address);
        listener.set_nonblocking(true).expect("a listener");
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stop, open) = (closed.clone(), streams.clone());
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            open.lock().unwrap().push(copy);
                        }
                        let handler = handler.clone();
                        thread::spawn(move || serve(stream, &handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Server {
            closed,
            streams,
            thread: Some(thread),
        }
    }

    /// Closes the port and all connections.
    pub fn close(mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    eprintln!("{address} cannot be bound");
    std::process::exit(2);
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Answer::Send(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\
                     \r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Answer::Silence => {
                // Reads and drops whatever still comes, until the peer closes
                // the connection.
                let mut rest = [0; 1024];
                while matches!(reader.read(&mut rest), Ok(count) if count > 0)
                {
                }
                return;
            }
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (headers, body) = read_rest(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter(|pair| !pair.is_empty());
    let query = query.map(|pair| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        (name.to_owned(), decode(value))
    });
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

type Rest = (Vec<(String, String)>, Vec<u8>);

fn read_rest(reader: &mut impl BufRead) -> Option<Rest> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((headers, body))
}

/// Decodes percent signs.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Calls a server on a connection of its own; returns the status and the body,
/// or `None` without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let length = body.len();
    text.push_str(&format!("content-length: {length}\r\n\r\n{body}"));
    writer.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
