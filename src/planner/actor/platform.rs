//! What the platform and the operators say to a planner.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use ractor::ActorRef;

use crate::config::Document;
use crate::plan::event::Event;
use crate::plan::state::Presence;
use crate::planner::actor::Heard;
use crate::planner::actor::Message;
use crate::planner::actor::State;
use crate::planner::links;
use crate::planner::links::Link;
use crate::vms::Role;
use crate::vms::Status;
use crate::vms::Vm;

impl State {
    pub(super) fn listed(&mut self, myself: &ActorRef<Message>, vms: Vec<Vm>) {
        for heard in self.workers.values_mut() {
            heard.listed = false;
        }
        let endpoints = vms.iter().filter(|vm| vm.role == Role::Endpoint);
        for vm in endpoints {
            let added = self.plan.add_worker(&vm.hall, &vm.rack, &vm.name);
            if let Err(error) = added {
                slog::warn!(self.config.log, "planner: {error}");
                continue;
            }
            let moved = self
                .workers
                .get(&vm.name)
                .is_none_or(|heard| heard.link.address != vm.address);
            if moved {
                self.workers
                    .insert(vm.name.clone(), self.listen(myself, vm));
            }
            if let Some(heard) = self.workers.get_mut(&vm.name) {
                heard.listed = true;
                heard.listed_leaving = vm.state == Status::Leaving;
            }
        }
        let heartbeat = links::heartbeat(self.workers.len());
        self.beat.send_modify(|beat| beat.heartbeat = heartbeat);
        let events = self.presences(Instant::now());
        if !events.is_empty() {
            self.step(myself, events);
        }
    }

    pub(super) fn listen(&self, myself: &ActorRef<Message>, vm: &Vm) -> Heard {
        let told = self
            .workers
            .get(&vm.name)
            .map_or(Presence::Silent, |heard| heard.told);
        Heard {
            link: Link::start(
                vm.name.clone(),
                vm.address.clone(),
                self.beat.subscribe(),
                myself.clone(),
            ),
            ever: false,
            incarnation: String::new(),
            // Until it answers it counts as gone, or what a later planner
            // took over from a worker that is lost would be waited for.
            down_since: Some(Instant::now()),
            leaving: false,
            endpoint_lost: false,
            listed: true,
            listed_leaving: false,
            told,
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
        let changed = changed.map(|(account, versioned)| Event::Account {
            account: account.clone(),
            terms: versioned.item.value.terms(),
        });
        let gone = old
            .accounts
            .keys()
            .filter(|id| !document.accounts.contains_key(*id))
            .map(|account| Event::AccountGone {
                account: account.clone(),
            });
        let events: Vec<Event> = changed.chain(gone).collect();
        let revision = document.revision;
        self.beat.send_modify(|beat| beat.fence.revision = revision);
        slog::info!(self.config.log, "planner: configuration in force";
            "revision" => revision);
        self.step(myself, events);
    }
}
