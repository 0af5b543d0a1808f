//! Follows the configuration: from the store, or from a peer while the
//! store cannot be reached. What is in force never goes back.

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

/// The wait after the store or a watch has failed.
const RETRY: Duration = Duration::from_millis(800);

/// Follows the configuration for as long as the entry runs.
pub async fn follow(shared: Arc<Shared>) {
    loop {
        if follow_store(&shared).await.is_err() {
            ask_peers(&shared).await;
        }
        crate::entry::jitter(RETRY).await;
    }
}

/// Reads everything, then watches from there on until the watch breaks.
async fn follow_store(shared: &Shared) -> Result<(), store::Error> {
    let listing = shared.store.list(config::PREFIX, 0).await?;
    let document = Document::from_items(&listing.items);
    accept(shared, document);
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
        accept(shared, document);
    }
}

/// Takes the highest revision that any peer has.
async fn ask_peers(shared: &Shared) {
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
        let answer = link::within(&address, link::CALL, call).await;
        if let Ok(document) = answer {
            accept(shared, document);
        }
    }
}

/// Puts a configuration in force, unless a later one is.
pub fn accept(shared: &Shared, document: Document) {
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

/// Keeps the plan that requests are checked against up to date.
pub async fn check(shared: Arc<Shared>) {
    let mut documents = shared.document.subscribe();
    let mut vms = shared.vms.subscribe();
    loop {
        let plan = nominal(&shared);
        shared.nominal.send_replace(Arc::new(plan));
        tokio::select! {
            changed = documents.changed() => if changed.is_err() { return },
            changed = vms.changed() => if changed.is_err() { return },
        }
    }
}

/// Returns the site of the VMs listed now.
pub fn site(shared: &Shared) -> Site {
    nominal(shared).state().site.clone()
}

fn nominal(shared: &Shared) -> Plan {
    let accelerators = shared.config.accelerators;
    let site = Site::new(accelerators)
        .unwrap_or_else(|_| Site::new(1).expect("1 is in range"));
    let mut plan = Plan::new(site, shared.config.policy.clone());
    let vms = shared.vms.borrow().clone();
    for vm in vms.iter().filter(|vm| vm.role == Role::Endpoint) {
        // A VM listed at two places is the planner's to complain about.
        let _ = plan.add_worker(&vm.hall, &vm.rack, &vm.name);
    }
    let document = shared.document.borrow().clone();
    let accounts = document.accounts.iter();
    let events = accounts.map(|(account, versioned)| Event::Account {
        account: account.clone(),
        terms: versioned.item.value.terms(),
    });
    plan.step(events, std::time::SystemTime::now());
    plan
}
