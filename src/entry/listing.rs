//! Follows the platform's list of VMs.

use std::sync::Arc;
use std::time::Duration;

use crate::entry::Shared;
use crate::planner::actor::Message;
use crate::vms;

/// The minimum period between two reads of the list.
const MIN_PERIOD: Duration = Duration::from_secs(1);
/// The maximum period between two reads of the list.
const MAX_PERIOD: Duration = Duration::from_secs(60);
/// The period between two reads for each VM on the list: at 130 bytes a VM,
/// reading takes some 3 KB a second, a small part of what a node may spend on
/// control traffic.
const PERIOD_PER_VM: Duration = Duration::from_millis(60);

/// Reads the list periodically and passes changes on to the planner. While the
/// list cannot be read, the last one remains in force.
pub async fn follow(shared: Arc<Shared>, list: vms::Client) {
    loop {
        if let Ok(vms) = list.list().await {
            let changed = shared.vms.send_if_modified(|seen| {
                let changed = *seen != vms;
                *seen = vms.clone();
                changed
            });
            let planner = shared.planner.borrow().clone();
            if let (true, Some(planner)) = (changed, planner) {
                let _ = planner.cast(Message::Vms(vms));
            }
        }
        let length = shared.vms.borrow().len() as u32;
        crate::entry::sleep_with_jitter(period(length)).await;
    }
}

/// Returns the period between two reads of a list of `length` VMs. The period
/// may be long: an agent reports at once that its worker leaves, and the list
/// matters only for workers whose agents cannot.
fn period(length: u32) -> Duration {
    (PERIOD_PER_VM * length).clamp(MIN_PERIOD, MAX_PERIOD)
}
