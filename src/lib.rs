//! A scheduler for multi-accelerator jobs under client account guarantees.
//!
//! # Overview
//!
//! A *client account* is guaranteed shapes of adjacent accelerators and may
//! borrow more. A *job* is made from a template and runs as a *gang*: one
//! task on each of its workers, on all of them or on none.
//!
//! * [`site`], [`account`], [`job`] and [`config`] are the nouns.
//! * [`plan`] decides: (state, event, now) -> commands, without clock, I/O
//!   or randomness. [`replay`] drives it with recorded traces.
//! * [`planner`] drives it with what agents, callers and operators say, and
//!   carries its commands out. It is hosted by an [`entry`].
//! * [`agent`] owns one worker's accelerators; its ledger keeps gangs whole.
//! * [`wire`] is what these processes say to each other; [`store`], [`vms`]
//!   and [`endpoint`] are the seams towards the platform; [`http`] both
//!   sides of HTTP.
//! * [`graph`] decides about jobs of steps, and [`cell`] carries that out on
//!   any [`store::Store`]; `landingvalve-platform` brings both to the users'
//!   platform. The two cores are to become one.
//! * [`explain`] tells from their logs what became of a job.
//! * [`settings`], [`log`] and [`telemetry`] make programs of it all.
//!
//! # Deciding
//!
//! A plan is told what happened and returns what is to be done:
//!
//! ```
//! use std::time::Duration;
//! use std::time::SystemTime;
//!
//! use landingvalve::account::Account;
//! use landingvalve::job;
//! use landingvalve::plan::command::Command;
//! use landingvalve::plan::event::Event;
//! use landingvalve::plan::Plan;
//! use landingvalve::plan::Policy;
//! use landingvalve::site::Shape;
//! use landingvalve::site::Site;
//! use landingvalve::site::Within;
//!
//! let now = SystemTime::UNIX_EPOCH;
//! let rack = Shape { accelerators: 16, within: Within::Rack };
//! let mut site = Site::new(8)?;
//! site.add("h1", "h1r1", "w1")?;
//! site.add("h1", "h1r1", "w2")?;
//! let mut plan = Plan::new(site, Policy::default());
//! let terms = Account { guarantee: vec![rack], borrow: 0 };
//! plan.step(
//!     [
//!         Event::WorkerUp { worker: "w1".into() },
//!         Event::WorkerUp { worker: "w2".into() },
//!         Event::AccountChanged { account: "bots".into(), terms },
//!     ],
//!     now,
//! );
//! let spec = job::Spec {
//!     id: "bots.retrain-1".into(),
//!     account: "bots".into(),
//!     template: "retrain".into(),
//!     shape: rack,
//!     declared: Duration::from_secs(3600),
//!     repeatable: true,
//!     checkpoint: true,
//!     urgent: false,
//!     submitted: now,
//!     due: None,
//! };
//! let commands = plan.step([Event::Submitted { spec }], now);
//! let [Command::Start { pieces, .. }] = &commands[..] else {
//!     panic!("the gang starts whole");
//! };
//! assert_eq!(pieces.len(), 2);
//! # Ok::<(), landingvalve::site::Error>(())
//! ```
//!
//! # Replaying
//!
//! The same code runs on a virtual clock:
//!
//! ```
//! use landingvalve::plan::Plan;
//! use landingvalve::plan::Policy;
//! use landingvalve::replay::engine::Engine;
//! use landingvalve::replay::trace::Trace;
//!
//! let trace = r#"{"site":"s","accelerators":8,"halls":[{"hall":"h1",
//!     "racks":[{"rack":"r1","workers":["w1"]}]}],
//!     "accounts":[{"account":"a","borrow":8}]}"#;
//! let trace = trace.replace('\n', "") + "\n" + &r#"{"at_ms":0,
//!     "event":"submit","job":"j1","account":"a","template":"t",
//!     "accelerators":4,"within":"worker","declared_ms":1000,
//!     "actual_ms":1500,"repeatable":true}"#.replace('\n', "");
//! let trace = Trace::read(trace.as_bytes())?;
//! let plan = Plan::new(trace.header.site()?, Policy::default());
//! let report = Engine::new(&trace, Box::new(plan))?.run(false).report;
//! assert_eq!(report.done, 1);
//! assert_eq!(report.completion_ms.mean, 1500);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod account;
pub mod agent;
pub mod cell;
pub mod clock;
pub mod config;
pub mod endpoint;
pub mod entry;
pub mod explain;
pub mod graph;
pub mod http;
pub mod job;
pub mod log;
pub mod plan;
pub mod planner;
pub mod program;
pub mod record;
pub mod replay;
pub mod settings;
pub mod site;
pub mod store;
pub mod telemetry;
pub mod util;
pub mod vms;
pub mod wire;
