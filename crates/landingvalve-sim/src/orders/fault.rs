//! Faults that begin with an event.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use landingvalve::cell::claim;
use landingvalve::graph::Options;

use crate::day::WORKER_LEASE;
use crate::orders::UnknownOrder;
use crate::store::CLIENT_TIMEOUT;

/// The share by which a length is under or over its limit.
const MARGIN: f64 = 0.05;

/// A fault that begins with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The call is not carried out, and not answered.
    NotDone,
    /// The call is carried out, and its answer is lost.
    AnswerLost,
    /// The call is carried out seconds later if its condition still holds, and
    /// is not answered.
    Late,
    /// The store is down for so long, while its leases wait.
    DownLeasesWait(Duration),
    /// The store is down for so long, and leases run out.
    DownLeasesRun(Duration),
    /// The process's machine cannot reach the store for so long.
    StoreCut(Duration),
    /// The process's machine cannot reach the other processes for so long.
    PeersCut(Duration),
    /// The process is killed before the call is carried out.
    KillBefore,
    /// The process is killed after the call is carried out.
    KillAfter,
}

/// Returns lengths just under and just over each limit that the product or its
/// environment has, from their own constants.
pub fn lengths() -> Vec<Duration> {
    let limits = [
        claim::RENEWAL_INTERVAL,
        CLIENT_TIMEOUT,
        claim::TTL,
        WORKER_LEASE,
        Options::default().survival,
    ];
    let around = |limit: Duration| {
        [1.0 - MARGIN, 1.0 + MARGIN]
            .map(|share| Duration::from_secs_f64(limit.as_secs_f64() * share))
            .map(|length| Duration::from_millis(length.as_millis() as u64))
    };
    limits.into_iter().flat_map(around).collect()
}

impl Fault {
    /// Returns all faults.
    pub fn all() -> Vec<Fault> {
        let mut all = vec![
            Fault::NotDone,
            Fault::AnswerLost,
            Fault::Late,
            Fault::KillBefore,
            Fault::KillAfter,
        ];
        let lasting: [fn(Duration) -> Fault; 4] = [
            Fault::DownLeasesWait,
            Fault::DownLeasesRun,
            Fault::StoreCut,
            Fault::PeersCut,
        ];
        for fault in lasting {
            all.extend(lengths().into_iter().map(fault));
        }
        all
    }

    /// Returns the fault's name, without its length.
    pub fn name(self) -> &'static str {
        match self {
            Fault::NotDone => "notdone",
            Fault::AnswerLost => "answerlost",
            Fault::Late => "late",
            Fault::DownLeasesWait(_) => "down",
            Fault::DownLeasesRun(_) => "downlapse",
            Fault::StoreCut(_) => "storecut",
            Fault::PeersCut(_) => "peerscut",
            Fault::KillBefore => "killbefore",
            Fault::KillAfter => "killafter",
        }
    }

    /// Returns how long the fault lasts, if it does not only concern the call.
    pub fn length(self) -> Option<Duration> {
        match self {
            Fault::DownLeasesWait(length)
            | Fault::DownLeasesRun(length)
            | Fault::StoreCut(length)
            | Fault::PeersCut(length) => Some(length),
            Fault::NotDone
            | Fault::AnswerLost
            | Fault::Late
            | Fault::KillBefore
            | Fault::KillAfter => None,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.length() {
            Some(length) => {
                write!(f, "{}-{}", self.name(), length.as_millis())
            }
            None => f.write_str(self.name()),
        }
    }
}

impl FromStr for Fault {
    type Err = UnknownOrder;

    fn from_str(text: &str) -> Result<Fault, UnknownOrder> {
        let all = Fault::all();
        let found = all.iter().find(|fault| fault.to_string() == text);
        found.copied().ok_or_else(|| {
            let names = all.iter().map(Fault::to_string);
            let expected = Vec::from_iter(names).join(", ");
            UnknownOrder::new("fault", text, &expected)
        })
    }
}
