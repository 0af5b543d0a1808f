//! Connections between processes, and which of them are alive.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use jsonrpsee::core::async_trait;
use landingvalve::cell::connector::Connector;
use landingvalve::cell::connector::Peer;
use landingvalve::cell::relay::call::Call;
use landingvalve::cell::relay::call::Reply;
use landingvalve::cell::rpc::Answer;
use landingvalve::cell::rpc::CellServer;
use landingvalve::cell::session::Host;
use landingvalve::graph::Report;
use landingvalve::wire::link::Error;

use crate::lock;

/// How long a message takes.
const WAY: Duration = Duration::from_millis(1);
/// How long a connection that nobody answers takes to fail.
const CONNECT: Duration = Duration::from_secs(1);

/// Names one life of a process.
pub type Process = u64;
/// Names a machine, through all lives of its process.
pub type Machine = usize;

#[derive(Default)]
struct Data {
    next: Process,
    alive: BTreeMap<Process, Machine>,
    /// Planners by the address of their life.
    hosts: BTreeMap<String, (Process, Host)>,
    /// Machines that no other reaches, nor they any.
    cut: BTreeSet<Machine>,
    /// Machines that the store turns away or does not hear.
    apart: BTreeSet<Machine>,
}

/// The network of a site.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<Data>>);

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Network")
    }
}

impl Network {
    /// Starts a process on a machine.
    pub fn start(&self, machine: Machine) -> Process {
        let mut data = lock(&self.0);
        data.next += 1;
        let process = data.next;
        data.alive.insert(process, machine);
        process
    }

    /// Ends a process at once: whatever it still does reaches nobody.
    pub fn kill(&self, process: Process) {
        let mut data = lock(&self.0);
        data.alive.remove(&process);
        data.hosts.retain(|_, (host, _)| *host != process);
    }

    /// Lets a planner be reached.
    pub fn listen(&self, address: &str, process: Process, host: Host) {
        let entry = (process, host);
        lock(&self.0).hosts.insert(address.to_owned(), entry);
    }

    /// Cuts a machine off from the other processes, or ends that.
    pub fn cut(&self, machine: Machine, cut: bool) {
        let cuts = &mut lock(&self.0).cut;
        match cut {
            true => cuts.insert(machine),
            false => cuts.remove(&machine),
        };
    }

    /// Cuts a machine off from the store, or ends that.
    pub fn part(&self, machine: Machine, apart: bool) {
        let parted = &mut lock(&self.0).apart;
        match apart {
            true => parted.insert(machine),
            false => parted.remove(&machine),
        };
    }

    /// Returns whether a process is alive.
    pub fn is_alive(&self, process: Process) -> bool {
        lock(&self.0).alive.contains_key(&process)
    }

    /// Returns whether a process reaches the store.
    pub fn reaches_store(&self, process: Process) -> bool {
        let data = lock(&self.0);
        let machine = data.alive.get(&process);
        machine.is_some_and(|machine| !data.apart.contains(machine))
    }

    /// Waits for ever if a process is dead.
    pub async fn live(&self, process: Process) {
        if !self.is_alive(process) {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the dial of a process.
    pub fn dial(&self, process: Process) -> Arc<dyn Connector> {
        let network = self.clone();
        Arc::new(Dialler { network, process })
    }

    fn reach(&self, from: Process, address: &str) -> Option<Host> {
        let data = lock(&self.0);
        let (to, host) = data.hosts.get(address)?;
        let machines = [data.alive.get(&from)?, data.alive.get(to)?];
        let cut = machines.iter().any(|m| data.cut.contains(m));
        (!cut).then(|| host.clone())
    }
}

#[derive(Clone, Debug)]
struct Dialler {
    network: Network,
    process: Process,
}

#[async_trait]
impl Connector for Dialler {
    async fn connect(&self, address: &str) -> Result<Arc<dyn Peer>, Error> {
        tokio::time::sleep(WAY * 2).await;
        match self.network.reach(self.process, address) {
            Some(_) => Ok(Arc::new(Connection {
                dialler: self.clone(),
                address: address.to_owned(),
            })),
            None => {
                tokio::time::sleep(CONNECT).await;
                Err(Error::new(address, "not connected"))
            }
        }
    }
}

struct Connection {
    dialler: Dialler,
    address: String,
}

impl Connection {
    /// Returns the other side, or waits for ever: who is cut off or has lost
    /// power says nothing.
    async fn host(&self) -> Host {
        let Dialler { network, process } = &self.dialler;
        match network.reach(*process, &self.address) {
            Some(host) => host,
            None => std::future::pending().await,
        }
    }
}

#[async_trait]
impl Peer for Connection {
    async fn sync(&self, report: Report) -> Result<Answer, Error> {
        let error = |e: serde_json::Error| Error::new(&self.address, e);
        let sent = serde_json::to_vec(&report).map_err(error)?;
        tokio::time::sleep(WAY).await;
        let host = self.host().await;
        let report = serde_json::from_slice(&sent).map_err(error)?;
        let answer = host.sync(report).await;
        let answer = answer.map_err(|e| Error::new(&self.address, e))?;
        let sent = serde_json::to_vec(&answer).map_err(error)?;
        tokio::time::sleep(WAY).await;
        self.host().await;
        serde_json::from_slice(&sent).map_err(error)
    }

    async fn store(&self, call: Call) -> Result<Reply, Error> {
        let error = |e: serde_json::Error| Error::new(&self.address, e);
        let sent = serde_json::to_vec(&call).map_err(error)?;
        tokio::time::sleep(WAY).await;
        let host = self.host().await;
        let call = serde_json::from_slice(&sent).map_err(error)?;
        let reply = host.store(call).await;
        let reply = reply.map_err(|e| Error::new(&self.address, e))?;
        let sent = serde_json::to_vec(&reply).map_err(error)?;
        tokio::time::sleep(WAY).await;
        self.host().await;
        serde_json::from_slice(&sent).map_err(error)
    }
}
