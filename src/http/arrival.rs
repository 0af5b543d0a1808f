//! The connections of which a server awaits the rest of a request.
//!
//! A server that has no connection left closes the oldest of them, so that
//! clients that never finish a request do not keep others out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;

/// The number of a connection. Later connections have higher numbers.
type Number = u64;

/// The connections of a server of which the rest of a request is awaited.
/// Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    last: Number,
    /// How to close each awaited connection, oldest first.
    awaited: BTreeMap<Number, Arc<Notify>>,
}

impl Arrivals {
    /// Returns the handle of a new connection.
    pub fn connect(&self) -> Connection {
        let mut state = self.lock();
        state.last += 1;
        Connection {
            arrivals: self.clone(),
            number: state.last,
            close: Arc::default(),
        }
    }

    /// Closes the oldest awaited connection; returns whether there was one.
    pub fn close_oldest(&self) -> bool {
        let oldest = self.lock().awaited.pop_first();
        if let Some((_, close)) = &oldest {
            close.notify_one();
        }
        oldest.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The handle of a connection.
#[derive(Clone, Debug)]
pub struct Connection {
    arrivals: Arrivals,
    number: Number,
    close: Arc<Notify>,
}

impl Connection {
    /// Begins to await a head or a body.
    pub fn wait(&self) -> Arrival {
        let mut state = self.arrivals.lock();
        state.awaited.insert(self.number, self.close.clone());
        Arrival {
            arrivals: self.arrivals.clone(),
            number: self.number,
        }
    }

    /// Returns once the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

/// A head or a body that is awaited until this is dropped.
#[derive(Debug)]
pub struct Arrival {
    arrivals: Arrivals,
    number: Number,
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.arrivals.lock().awaited.remove(&self.number);
    }
}
