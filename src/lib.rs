//! A scheduler for multi-accelerator jobs under client account guarantees.
//!
//! # Overview
//!
//! A *client account* is guaranteed shapes of adjacent accelerators and may
//! borrow more. A *job* is created from a template and runs as a *gang*: one
//! task on each of its workers, on all of them or on none.
//!
//! The crate has two decision cores, which are to be merged. Both are
//! deterministic: they map a state, an event and the current time to commands,
//! without a clock, I/O or randomness.
//!
//! * [`plan`] is the core for single jobs and the guarantees of accounts.
//!   [`planner`] feeds it the events of agents, callers and operators and
//!   executes its commands; an [`entry`] process hosts it. [`replay`] feeds it
//!   recorded traces.
//! * [`graph`] is the core for jobs of several steps. [`cell`] runs it on any
//!   [`store::Store`]; the crate `landingvalve-platform` connects both to the
//!   users' platform.
//! * [`agent`] manages the accelerators of one worker. Its ledger ensures that
//!   a gang runs on all of its workers or on none.
//! * [`site`], [`account`], [`job`] and [`config`] define the model: workers
//!   and shapes, client accounts, jobs, and the operators' configuration.
//! * [`wire`] defines the messages between the processes. [`store`], [`vms`]
//!   and [`endpoint`] are clients of the platform, [`http`] is the HTTP client
//!   and server that all of them use.
//! * [`explain`] derives the outcome of a job from logs.
//! * [`settings`], [`program`], [`log`] and [`telemetry`] are shared by the
//!   programs.
//!
//! # Deciding
//!
//! A plan maps events to commands:
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
//!     panic!("expected a start of the whole gang");
//! };
//! assert_eq!(pieces.len(), 2);
//! # Ok::<(), landingvalve::site::Error>(())
//! ```
//!
//! # Replaying
//!
//! An engine runs the same code on the virtual clock of a trace:
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
