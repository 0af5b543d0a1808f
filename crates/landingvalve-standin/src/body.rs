//! A body that is sent line by line.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// A body whose pieces come from a channel.
pub struct Lines {
    /// The pieces.
    pub from: mpsc::UnboundedReceiver<Bytes>,
}

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.from
            .poll_recv(context)
            .map(|piece| piece.map(|bytes| Ok(Frame::data(bytes))))
    }
}
