//! Stand-ins for the platform: its store, its list of VMs and its endpoints.
//!
//! The stand-ins implement the published protocols over loopback, and inject
//! faults on demand: a store that is down, slow or loses replies, an endpoint
//! that fails every task, a VM that disappears. The store counts its calls.

pub mod body;
pub mod endpoint;
pub mod site;
pub mod store;
pub mod vms;

pub use endpoint::Endpoint;
pub use site::Site;
pub use store::Store;
pub use vms::Vms;
