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

use crate::lock;

/// Time that a message takes in one direction.
const MESSAGE_TIME: Duration = Duration::from_millis(1);
/// Time after which an attempt to connect to an unreachable address fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Identifies a process from its start to its end; never reused.
pub type ProcessId = u64;
/// Identifies a machine, which keeps its number when its process restarts.
pub type MachineId = usize;

#[derive(Default)]
struct Data {
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
            })),
            None => {
                tokio::time::sleep(CONNECT_TIMEOUT).await;
                Err(Error::new(address, "not connected"))
            }
        }
    }
}

struct Connection {
    connector: ProcessConnector,
    entry: Recipient,
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
}

#[async_trait]
impl Peer for Connection {
    async fn sync(&self, report: Report) -> Result<Answer, Error> {
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
