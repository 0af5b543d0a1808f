//! The list of live and leaving VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use hyper::StatusCode;
use landingvalve::http;
use landingvalve::vms::Stay;
use landingvalve::vms::Vm;

#[derive(Default)]
struct Shared {
    vms: Mutex<Vec<Vm>>,
}

/// A list that listens.
pub struct Vms {
    shared: Arc<Shared>,
    server: http::Server,
}

impl Vms {
    /// Starts an empty list on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn start() -> std::io::Result<Vms> {
        let shared = Arc::new(Shared::default());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = http::Server::start(address, shared.clone()).await?;
        Ok(Vms { shared, server })
    }

    /// Returns where the list can be had.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Puts a VM on the list, in place of one of the same name.
    pub fn put(&self, vm: Vm) {
        let mut vms = self.lock();
        vms.retain(|other| other.name != vm.name);
        vms.push(vm);
    }

    /// Shows a VM as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut vms = self.lock();
        for vm in vms.iter_mut().filter(|vm| &*vm.name == name) {
            vm.state = Stay::Leaving;
        }
    }

    /// Takes a VM off the list.
    pub fn remove(&self, name: &str) {
        self.lock().retain(|vm| &*vm.name != name);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Vm>> {
        self.shared
            .vms
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl http::Handler for Shared {
    async fn handle(&self, request: http::Request) -> http::Response {
        match request.uri().path() {
            "/vms" => {
                let vms = self.vms.lock();
                let vms = vms.unwrap_or_else(PoisonError::into_inner);
                http::json(StatusCode::OK, &*vms)
            }
            _ => http::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
