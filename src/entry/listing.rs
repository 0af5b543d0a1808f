//! Follows the platform's list of VMs.

use std::sync::Arc;
use std::time::Duration;

use crate::entry::Shared;
use crate::planner::actor::Message;
use crate::vms;

/// The shortest time between two looks at the list.
const MIN_PERIOD: Duration = Duration::from_secs(1);
/// The longest time between two looks at the list.
const MAX_PERIOD: Duration = Duration::from_secs(60);
/// How much longer the list is let be for each VM on it: at 130 bytes a VM,
/// reading it takes some 3 KB a second, a small part of what a node may
/// spend on control.
const PERIOD_PER_VM: Duration = Duration::from_millis(60);

/// Looks at the list again and again; while it cannot be had, what was
/// last seen stands.
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

/// Returns how long a list of so many VMs is let be. That a worker leaves
/// is learned from its agent at once; the list is for when it cannot say.
fn period(length: u32) -> Duration {
    (PERIOD_PER_VM * length).clamp(MIN_PERIOD, MAX_PERIOD)
}
