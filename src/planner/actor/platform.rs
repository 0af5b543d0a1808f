//! Updates from the platform and the operators: VMs and configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use ractor::ActorRef;

use crate::config::Document;
use crate::plan::event::Event;
use crate::plan::state::Presence;
use crate::planner::actor::Message;
use crate::planner::actor::State;
use crate::planner::actor::Worker;
use crate::planner::links;
use crate::planner::links::Link;
use crate::vms::Role;
use crate::vms::Status;
use crate::vms::Vm;

impl State {
    pub(super) fn update_vms(
        &mut self,
        myself: &ActorRef<Message>,
        vms: Vec<Vm>,
    ) {
        for worker_state in self.workers.values_mut() {
            worker_state.listed = false;
        }
        let endpoints = vms.iter().filter(|vm| vm.role == Role::Endpoint);
        for vm in endpoints {
            let added = self.plan.add_worker(&vm.hall, &vm.rack, &vm.name);
            if let Err(error) = added {
                slog::warn!(self.config.log, "planner: {error}");
                continue;
            }
            let moved =
                self.workers.get(&vm.name).is_none_or(|worker_state| {
                    worker_state.link.address != vm.address
                });
            if moved {
                self.workers
                    .insert(vm.name.clone(), self.connect(myself, vm));
            }
            if let Some(worker_state) = self.workers.get_mut(&vm.name) {
                worker_state.listed = true;
                worker_state.listed_leaving = vm.state == Status::Leaving;
            }
        }
        let interval = links::heartbeat_interval(self.workers.len());
        self.heartbeat
            .send_modify(|heartbeat| heartbeat.interval = interval);
        let events = self.presence_events(Instant::now());
        if !events.is_empty() {
            self.step(myself, events);
        }
    }

    pub(super) fn connect(
        &self,
        myself: &ActorRef<Message>,
        vm: &Vm,
    ) -> Worker {
        let reported = self
            .workers
            .get(&vm.name)
            .map_or(Presence::Silent, |worker_state| worker_state.reported);
        Worker {
            link: Link::start(
                vm.name.clone(),
                vm.address.clone(),
                self.heartbeat.subscribe(),
                myself.clone(),
            ),
            answered: false,
            incarnation: String::new(),
            // An agent counts as unreachable until it answers; otherwise a
            // gang adopted from the previous planner would wait forever for a
            // lost worker.
            unreachable_since: Some(Instant::now()),
            leaving: false,
            endpoint_lost: false,
            listed: true,
            listed_leaving: false,
            reported,
            entries: BTreeMap::new(),
        }
    }

    pub(super) fn configure(
        &mut self,
        myself: &ActorRef<Message>,
        document: Arc<Document>,
    ) {
        if document.revision < self.document.revision {
            return;
        }
        let old = std::mem::replace(&mut self.document, document.clone());
        let changed = document.accounts.iter().filter(|(id, account)| {
            old.accounts.get(*id).map(|a| a.revision) != Some(account.revision)
        });
        let changed =
            changed.map(|(account, versioned)| Event::AccountChanged {
                account: account.clone(),
                terms: versioned.item.value.terms(),
            });
        let gone = old
            .accounts
            .keys()
            .filter(|id| !document.accounts.contains_key(*id))
            .map(|account| Event::AccountRemoved {
                account: account.clone(),
            });
        let events: Vec<Event> = changed.chain(gone).collect();
        let revision = document.revision;
        self.heartbeat
            .send_modify(|heartbeat| heartbeat.fence.revision = revision);
        slog::info!(self.config.log, "planner: configuration in force";
            "revision" => revision);
        self.step(myself, events);
    }
}
