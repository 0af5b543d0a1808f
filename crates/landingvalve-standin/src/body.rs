//! A streaming response body.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// A body whose chunks are received from a channel; the body ends when the
/// channel closes.
pub struct Stream {
    /// The receiving half of the channel.
    pub chunks: mpsc::UnboundedReceiver<Bytes>,
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.chunks
            .poll_recv(context)
            .map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
    }
}
