//! HTTP server and client, built on hyper.

mod arrival;
mod body;
mod client;
mod server;
mod stream;

pub use body::body_failure;
pub use body::read_body;
pub use body::read_body_until;
pub use body::Body as RequestBody;
pub use body::BodyError;
pub use body::Memory;
pub use body::Share;
pub use client::transfer_time;
pub use client::Client;
pub use client::Error;
pub use client::Reply;
pub use client::Silence;
pub use client::Stream;
pub use server::ConnectionLimit;
pub use server::Handler;
pub use server::Server;
pub use stream::WRITE_TIMEOUT;

use std::convert::Infallible;

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::StatusCode;
use serde::Serialize;

/// The body of a response, complete or streamed.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// A response to be sent.
pub type Response = hyper::Response<Body>;
/// A received request, its body not yet read.
pub type Request = hyper::Request<hyper::body::Incoming>;

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// Returns a response with a JSON body. A value that cannot be serialized
/// gives status 500 and an empty body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let (status, bytes) = match serde_json::to_vec(value) {
        Ok(bytes) => (status, bytes),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
    };
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let content_type =
        hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a response with a plain text body.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
