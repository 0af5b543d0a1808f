//! Follows the configuration in the store, or that of the other entries while
//! the store cannot be reached. The revision in force never decreases.

use std::sync::Arc;
use std::time::Duration;

use crate::config;
use crate::config::Document;
use crate::entry::Shared;
use crate::plan::event::Event;
use crate::plan::Plan;
use crate::planner::actor::Message;
use crate::site::Site;
use crate::store;
use crate::vms::Role;
use crate::wire::entry::EntryClient;
use crate::wire::link;

/// The maximum delay after an error of the store or of a watch.
const RETRY_DELAY: Duration = Duration::from_millis(800);

/// Follows the configuration for as long as the entry runs.
pub async fn follow(shared: Arc<Shared>) {
    loop {
        if follow_store(&shared).await.is_err() {
            read_from_peers(&shared).await;
        }
        crate::entry::sleep_with_jitter(RETRY_DELAY).await;
    }
}

/// Reads the whole configuration, then watches for changes until the watch
/// fails.
async fn follow_store(shared: &Shared) -> Result<(), store::Error> {
    let listing = shared.store.list(config::PREFIX, 0).await?;
    let document = Document::from_items(&listing.items);
    apply_if_newer(shared, document);
    let from = listing.revision + 1;
    let mut watch = shared.store.watch(config::PREFIX, from).await?;
    loop {
        let changes = watch.next().await?;
        if changes.is_empty() {
            continue;
        }
        let mut document = Document::clone(&shared.document.borrow());
        for change in &changes {
            document.apply(change);
        }
        apply_if_newer(shared, document);
    }
}

/// Applies the highest revision in force at any other entry.
async fn read_from_peers(shared: &Shared) {
    let peers: Vec<String> = shared
        .vms
        .borrow()
        .iter()
        .filter(|vm| vm.role == Role::Entry)
        .map(|vm| vm.address.clone())
        .filter(|address| *address != shared.address)
        .collect();
    for address in peers {
        let Ok(client) = shared.pool.get(&address).await else {
            continue;
        };
        let call = client.configuration();
        let answer =
            link::with_timeout(&address, link::CALL_TIMEOUT, call).await;
        if let Ok(document) = answer {
            apply_if_newer(shared, document);
        }
    }
}

/// Puts a configuration in force, unless its revision is not higher than that
/// of the present one.
pub fn apply_if_newer(shared: &Shared, document: Document) {
    let document = Arc::new(document);
    let newer = shared.document.send_if_modified(|current| {
        let newer = document.revision > current.revision;
        if newer {
            *current = document.clone();
        }
        newer
    });
    let planner = shared.planner.borrow().clone();
    if let (true, Some(planner)) = (newer, planner) {
        let _ = planner.cast(Message::Configuration(document));
    }
}

/// Keeps the nominal plan up to date with the configuration and the VMs.
pub async fn follow_nominal_plan(shared: Arc<Shared>) {
    let mut documents = shared.document.subscribe();
    let mut vms = shared.vms.subscribe();
    loop {
        let plan = nominal_plan(&shared);
        shared.nominal_plan.send_replace(Arc::new(plan));
        tokio::select! {
            changed = documents.changed() => if changed.is_err() { return },
            changed = vms.changed() => if changed.is_err() { return },
        }
    }
}

/// Returns the site that the currently listed VMs form.
pub fn site(shared: &Shared) -> Site {
    nominal_plan(shared).state().site.clone()
}

fn nominal_plan(shared: &Shared) -> Plan {
    let accelerators = shared.config.accelerators;
    let site = Site::new(accelerators)
        .unwrap_or_else(|_| Site::new(1).expect("1 is in range"));
    let mut plan = Plan::new(site, shared.config.policy.clone());
    let vms = shared.vms.borrow().clone();
    for vm in vms.iter().filter(|vm| vm.role == Role::Endpoint) {
        // The planner reports a VM that is listed at two places.
        let _ = plan.add_worker(&vm.hall, &vm.rack, &vm.name);
    }
    let document = shared.document.borrow().clone();
    let accounts = document.accounts.iter();
    let events = accounts.map(|(account, versioned)| Event::AccountChanged {
        account: account.clone(),
        terms: versioned.item.value.terms(),
    });
    plan.step(events, std::time::SystemTime::now());
    plan
}
