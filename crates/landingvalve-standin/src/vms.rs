//! The platform's list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use hyper::StatusCode;
use landingvalve::http;
use landingvalve::vms::Status;
use landingvalve::vms::Vm;

#[derive(Default)]
struct Service {
    vms: Mutex<Vec<Vm>>,
}

/// A running server of the list of VMs.
pub struct Vms {
    service: Arc<Service>,
    server: http::Server,
}

impl Vms {
    /// Starts an empty list on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// If no port is available.
    pub async fn start() -> std::io::Result<Vms> {
        let service = Arc::new(Service::default());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = http::Server::start(address, service.clone()).await?;
        Ok(Vms { service, server })
    }

    /// Returns the URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Adds a VM to the list, replacing one of the same name.
    pub fn put(&self, vm: Vm) {
        let mut vms = self.lock();
        vms.retain(|other| other.name != vm.name);
        vms.push(vm);
    }

    /// Changes the state of a VM to leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut vms = self.lock();
        for vm in vms.iter_mut().filter(|vm| &*vm.name == name) {
            vm.state = Status::Leaving;
        }
    }

    /// Removes a VM from the list.
    pub fn remove(&self, name: &str) {
        self.lock().retain(|vm| &*vm.name != name);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Vm>> {
        self.service
            .vms
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl http::Handler for Service {
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
