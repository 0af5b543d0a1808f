//! A connection that ends when its peer does not read.

use std::future::Future;
use std::io;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

/// How long a peer may take to read anything of what it is sent.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// A TCP stream whose writes fail once the peer has not read for
/// [`WRITE_TIMEOUT`].
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    /// The end of the present wait for the peer.
    deadline: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Returns a stream on which nothing waits to be written.
    pub fn new(inner: TcpStream) -> Stream {
        Stream {
            inner,
            deadline: None,
        }
    }

    /// Returns the result of a write, or an error if the peer has kept writes
    /// waiting for too long.
    fn limit<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.deadline = None;
            return written;
        }
        let deadline = self.deadline.get_or_insert_with(|| {
            let deadline = Instant::now() + WRITE_TIMEOUT;
            Box::pin(tokio::time::sleep_until(deadline))
        });
        ready!(deadline.as_mut().poll(cx));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.limit(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let inner = Pin::new(&mut self.inner);
        let written = inner.poll_write_vectored(cx, slices);
        self.limit(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
