//! Enforces the limits of each client account: the rate of its requests and
//! the number of its waiting callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::account;
use crate::config::Account;

/// The capacity of a token bucket in seconds of the account's rate.
const BURST_SECONDS: f64 = 2.0;

struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

/// The use of the client accounts' limits at this entry.
#[derive(Default)]
pub struct Limits {
    buckets: Mutex<HashMap<account::Id, Bucket>>,
    waiting: Arc<Mutex<HashMap<account::Id, u32>>>,
}

/// The permit of one waiting caller, released when dropped.
pub struct WaitPermit {
    account: account::Id,
    waiting: Arc<Mutex<HashMap<account::Id, u32>>>,
}

impl Drop for WaitPermit {
    fn drop(&mut self) {
        if let Some(count) = lock(&self.waiting).get_mut(&self.account) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Limits {
    /// Takes a token of the account's rate for one request.
    ///
    /// # Errors
    ///
    /// If the rate is used up; the error is the time until the next token.
    pub fn take_token(
        &self,
        id: &account::Id,
        account: &Account,
        now: Instant,
    ) -> Result<(), Duration> {
        let rate = f64::from(account.rate.max(1));
        let max_tokens = rate * BURST_SECONDS;
        let mut buckets = lock(&self.buckets);
        let bucket = buckets.entry(id.clone()).or_insert(Bucket {
            tokens: max_tokens,
            refilled_at: now,
        });
        let passed = now.saturating_duration_since(bucket.refilled_at);
        bucket.refilled_at = now;
        bucket.tokens += passed.as_secs_f64() * rate;
        bucket.tokens = bucket.tokens.min(max_tokens);
        match bucket.tokens >= 1.0 {
            true => {
                bucket.tokens -= 1.0;
                Ok(())
            }
            false => {
                let missing = 1.0 - bucket.tokens;
                Err(Duration::from_secs_f64(missing / rate))
            }
        }
    }

    /// Returns a permit for a caller to wait, unless the account has as many
    /// waiting callers as it may.
    pub fn acquire_wait(
        &self,
        id: &account::Id,
        account: &Account,
    ) -> Option<WaitPermit> {
        let mut waiting = lock(&self.waiting);
        let count = waiting.entry(id.clone()).or_default();
        (*count < account.waiting).then(|| {
            *count += 1;
            WaitPermit {
                account: id.clone(),
                waiting: self.waiting.clone(),
            }
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
