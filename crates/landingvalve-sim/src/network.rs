//! Simulated network: which processes are alive, and the connections between
//! them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use jsonrpsee::core::async_trait;
use landingvalve::cell::connector::Connector;
use landingvalve::cell::connector::Peer;
use landingvalve::cell::connector::Recipient;
use landingvalve::cell::relay::call::Call;
use landingvalve::cell::relay::call::Reply;
use landingvalve::cell::rpc::Answer;
use landingvalve::cell::rpc::CellServer;
use landingvalve::cell::session::Host;
use landingvalve::graph::Report;
use landingvalve::wire::link::Error;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::invariants::Checker;
use crate::lock;

/// Time that a message takes in one direction.
const MESSAGE_TIME: Duration = Duration::from_millis(1);
/// Longest time that a message takes in one direction where it is drawn, in ms.
/// The simulated clock counts whole ms.
const MAX_MESSAGE_MS: u64 = 3;
/// Time from one message's arrival to that of the next, at least.
const CLOCK_STEP: Duration = Duration::from_millis(1);
/// One answer in this number is sent late by a busy host.
const BUSY_INTERVAL: u64 = 20;
/// Longest time by which a busy host sends an answer late, in ms.
const MAX_BUSY_MS: u64 = 300;
/// Time after which an attempt to connect to an unreachable address fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Identifies a process from its start to its end; never reused.
pub type ProcessId = u64;
/// Identifies a machine, which keeps its number when its process restarts.
pub type MachineId = usize;

/// Times that a network draws.
struct Timing {
    random: fastrand::Rng,
    /// Whether hosts are busy at times.
    has_busy_hosts: bool,
    /// Records which orders are not received.
    checker: Checker,
}

#[derive(Default)]
struct Data {
    /// Set if the times of messages are drawn.
    timing: Option<Timing>,
    /// Records the faults that begin with an event.
    faults: Option<Checker>,
    last_process: ProcessId,
    alive: BTreeMap<ProcessId, MachineId>,
    /// Hosts that can be called, by the address of their process.
    hosts: BTreeMap<String, (ProcessId, Host)>,
    /// Machines that are cut off from all other processes, in both directions.
    isolated: BTreeSet<MachineId>,
    /// Machines that cannot reach the store.
    without_store: BTreeSet<MachineId>,
}

/// A simulated network.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<Data>>);

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Network")
    }
}

impl Network {
    /// Draws the times of messages from a seed from now on, and records orders
    /// that are not received.
    pub fn draw_times(&self, seed: u64, checker: Checker) {
        let mut random = fastrand::Rng::with_seed(seed);
        let has_busy_hosts = random.bool();
        let busy = format!("hosts are busy at times: {has_busy_hosts}");
        checker.record(busy);
        lock(&self.0).timing = Some(Timing {
            random,
            has_busy_hosts,
            checker,
        });
    }

    /// Returns the time that a message takes in one direction.
    fn message_time(&self) -> Duration {
        match &mut lock(&self.0).timing {
            Some(timing) => {
                Duration::from_millis(timing.random.u64(..=MAX_MESSAGE_MS))
            }
            None => MESSAGE_TIME,
        }
    }

    /// Returns by how much a host sends an answer late.
    fn busy_time(&self) -> Duration {
        let mut data = lock(&self.0);
        let timing = data.timing.as_mut();
        let Some(timing) = timing.filter(|timing| timing.has_busy_hosts)
        else {
            return Duration::ZERO;
        };
        let is_busy = timing.random.u64(..BUSY_INTERVAL) == 0;
        let ms = timing.random.u64(..MAX_BUSY_MS);
        Duration::from_millis(if is_busy { ms } else { 0 })
    }

    /// Returns the checker of a network that draws its times.
    fn drawn_checker(&self) -> Option<Checker> {
        let data = lock(&self.0);
        data.timing.as_ref().map(|timing| timing.checker.clone())
    }

    /// Starts a process on a machine and returns its identifier.
    pub fn start(&self, machine: MachineId) -> ProcessId {
        let mut data = lock(&self.0);
        data.last_process += 1;
        let process = data.last_process;
        data.alive.insert(process, machine);
        process
    }

    /// Kills a process. Messages that its remaining tasks send are lost.
    pub fn kill(&self, process: ProcessId) {
        let mut data = lock(&self.0);
        data.alive.remove(&process);
        data.hosts.retain(|_, (host, _)| *host != process);
    }

    /// Makes a process's host reachable at an address.
    pub fn listen(&self, address: &str, process: ProcessId, host: Host) {
        let entry = (process, host);
        lock(&self.0).hosts.insert(address.to_owned(), entry);
    }

    /// Cuts a machine off from the other processes, or reconnects it.
    pub fn set_isolated(&self, machine: MachineId, isolated: bool) {
        let isolated_machines = &mut lock(&self.0).isolated;
        match isolated {
            true => isolated_machines.insert(machine),
            false => isolated_machines.remove(&machine),
        };
    }

    /// Cuts a machine off from the store, or reconnects it.
    pub fn set_store_cut(&self, machine: MachineId, store_cut: bool) {
        let store_cuts = &mut lock(&self.0).without_store;
        match store_cut {
            true => store_cuts.insert(machine),
            false => store_cuts.remove(&machine),
        };
    }

    /// Records the faults that begin with an event from now on.
    pub fn record_faults(&self, checker: Checker) {
        lock(&self.0).faults = Some(checker);
    }

    /// Records that a fault has begun with an event.
    pub fn record_fault(&self, fault: &str) {
        if let Some(checker) = &lock(&self.0).faults {
            checker.record(format!("fault: {fault}"));
            checker.begin_fault();
        }
    }

    /// Records that a fault is over.
    pub fn end_recorded_fault(&self, fault: &str) {
        if let Some(checker) = &lock(&self.0).faults {
            checker.record(format!("over: {fault}"));
            checker.end_fault();
        }
    }

    /// Returns the machine of a process that is alive.
    pub fn machine(&self, process: ProcessId) -> Option<MachineId> {
        lock(&self.0).alive.get(&process).copied()
    }

    /// Returns whether a process has been started and not killed.
    pub fn is_alive(&self, process: ProcessId) -> bool {
        lock(&self.0).alive.contains_key(&process)
    }

    /// Returns whether a process is alive and its machine can reach the store.
    pub fn reaches_store(&self, process: ProcessId) -> bool {
        let data = lock(&self.0);
        let machine = data.alive.get(&process);
        machine.is_some_and(|machine| !data.without_store.contains(machine))
    }

    /// Never returns if a process is dead, and returns at once otherwise.
    pub async fn block_if_dead(&self, process: ProcessId) {
        if !self.is_alive(process) {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the connector of a process, which opens its connections to
    /// other processes.
    pub fn connector(&self, process: ProcessId) -> Arc<dyn Connector> {
        let network = self.clone();
        Arc::new(ProcessConnector { network, process })
    }

    /// Returns the host at an address if the process can reach it.
    fn find_host(&self, from: ProcessId, address: &str) -> Option<Host> {
        let data = lock(&self.0);
        let (to, host) = data.hosts.get(address)?;
        let machines = [data.alive.get(&from)?, data.alive.get(to)?];
        let isolated = machines.iter().any(|m| data.isolated.contains(m));
        (!isolated).then(|| host.clone())
    }
}

#[derive(Clone, Debug)]
struct ProcessConnector {
    network: Network,
    process: ProcessId,
}

#[async_trait]
impl Connector for ProcessConnector {
    async fn connect(
        &self,
        entry: &Recipient,
    ) -> Result<Arc<dyn Peer>, Error> {
        let address = &entry.address;
        tokio::time::sleep(MESSAGE_TIME * 2).await;
        match self.network.find_host(self.process, address) {
            Some(_) => Ok(Arc::new(Connection {
                connector: self.clone(),
                entry: entry.clone(),
                last_arrivals: Arc::new(Mutex::new([Instant::now(); 2])),
            })),
            None => {
                tokio::time::sleep(CONNECT_TIMEOUT).await;
                Err(Error::new(address, "not connected"))
            }
        }
    }
}

/// Direction of a message.
#[derive(Clone, Copy, Debug)]
enum Direction {
    ToHost,
    FromHost,
}

#[derive(Clone)]
struct Connection {
    connector: ProcessConnector,
    entry: Recipient,
    /// Arrival of the last message in each [`Direction`]: none overtakes
    /// another.
    last_arrivals: Arc<Mutex<[Instant; 2]>>,
}

impl Connection {
    /// Returns the host at the other end. Never returns if the host is cut off
    /// or dead, because such a machine does not even reset its connections.
    async fn host(&self) -> Host {
        let ProcessConnector { network, process } = &self.connector;
        match network.find_host(*process, &self.entry.address) {
            Some(host) => host,
            None => std::future::pending().await,
        }
    }

    /// Waits until a message that is sent now, and takes a drawn time, arrives.
    async fn carry(&self, direction: Direction, delay: Duration) {
        let time = self.connector.network.message_time() + delay;
        let arrival = {
            let last = &mut lock(&self.last_arrivals)[direction as usize];
            *last = (Instant::now() + time).max(*last + CLOCK_STEP);
            *last
        };
        tokio::time::sleep_until(arrival).await;
    }

    /// Makes a call whose answer is sent whether or not the caller still waits
    /// for it, as a real host does.
    async fn sync_to_the_end(
        self,
        report: Report,
        checker: Checker,
    ) -> Result<Answer, Error> {
        let (send, receive) = oneshot::channel();
        let label = format!("report {} of {}", report.sequence, report.agent);
        tokio::spawn(async move {
            let answer = self.exchange(report).await;
            let orders = answer.as_ref().ok().and_then(describe_orders);
            let is_read = send.send(answer).is_ok();
            if let Some(orders) = orders {
                let fate = if is_read { "is read" } else { "IS NOT READ" };
                checker
                    .record(format!("the answer to {label} {fate}: {orders}"));
            }
        });
        match receive.await {
            Ok(answer) => answer,
            // The host is cut off or dead.
            Err(_) => std::future::pending().await,
        }
    }

    async fn exchange(&self, report: Report) -> Result<Answer, Error> {
        let error = |e: serde_json::Error| Error::new(&self.entry.address, e);
        let sent = serde_json::to_vec(&report).map_err(error)?;
        self.carry(Direction::ToHost, Duration::ZERO).await;
        let host = self.host().await;
        let report = serde_json::from_slice(&sent).map_err(error)?;
        let answer = host.sync(report, Some(self.entry.life.clone())).await;
        let answer = answer.map_err(|e| Error::new(&self.entry.address, e))?;
        let sent = serde_json::to_vec(&answer).map_err(error)?;
        let busy = self.connector.network.busy_time();
        self.carry(Direction::FromHost, busy).await;
        self.host().await;
        serde_json::from_slice(&sent).map_err(error)
    }
}

/// Returns the starts and stops of an answer for the timeline, if it has any.
fn describe_orders(answer: &Answer) -> Option<String> {
    let Answer::Orders { orders, .. } = answer else {
        return None;
    };
    let starts = orders.starts.iter();
    let starts = starts.map(|s| format!("start {} run {}", s.task, s.run));
    let stops = orders.stops.iter();
    let stops = stops.map(|s| format!("stop {} run {}", s.task, s.run));
    let all: Vec<String> = starts.chain(stops).collect();
    (!all.is_empty()).then(|| all.join(", "))
}

#[async_trait]
impl Peer for Connection {
    async fn sync(&self, report: Report) -> Result<Answer, Error> {
        if let Some(checker) = self.connector.network.drawn_checker() {
            return self.clone().sync_to_the_end(report, checker).await;
        }
        let error = |e: serde_json::Error| Error::new(&self.entry.address, e);
        let sent = serde_json::to_vec(&report).map_err(error)?;
        tokio::time::sleep(MESSAGE_TIME).await;
        let host = self.host().await;
        let report = serde_json::from_slice(&sent).map_err(error)?;
        let answer = host.sync(report, Some(self.entry.life.clone())).await;
        let answer = answer.map_err(|e| Error::new(&self.entry.address, e))?;
        let sent = serde_json::to_vec(&answer).map_err(error)?;
        tokio::time::sleep(MESSAGE_TIME).await;
        self.host().await;
        serde_json::from_slice(&sent).map_err(error)
    }

    async fn store(&self, call: Call) -> Result<Reply, Error> {
        let error = |e: serde_json::Error| Error::new(&self.entry.address, e);
        let sent = serde_json::to_vec(&call).map_err(error)?;
        tokio::time::sleep(MESSAGE_TIME).await;
        let host = self.host().await;
        let call = serde_json::from_slice(&sent).map_err(error)?;
        let reply = host.store(call, Some(self.entry.life.clone())).await;
        let reply = reply.map_err(|e| Error::new(&self.entry.address, e))?;
        let sent = serde_json::to_vec(&reply).map_err(error)?;
        tokio::time::sleep(MESSAGE_TIME).await;
        self.host().await;
        serde_json::from_slice(&sent).map_err(error)
    }
}
