//! Stand-ins for the platform: its store, its list of VMs, its endpoints.
//!
//! They speak the published protocols over loopback, count what they are
//! asked, and break on demand: a store that is down, slow or loses its
//! answers, an endpoint that fails each task, a VM that goes.

pub mod body;
pub mod endpoint;
pub mod site;
pub mod store;
pub mod vms;

pub use endpoint::Endpoint;
pub use site::Site;
pub use store::Store;
pub use vms::Vms;
