//! Members on workers that have started again under their names.

use std::collections::BTreeSet;

use crate::graph::unit::Phase;
use crate::graph::AgentId;
use crate::graph::Life;
use crate::graph::Lists;
use crate::graph::Run;
use crate::graph::Scheduler;
use crate::graph::Task;

impl Scheduler {
    /// Gives the members that are here under an earlier birth the present
    /// one, where it is theirs.
    ///
    /// Those that were placed by the worker's name alone must not begin anew
    /// once births are told: their run begins there once at most. And what
    /// was ordered to one birth is carried out by the next, before anybody
    /// knows of that: what that one lists of them is theirs. A run's number
    /// was given to no other worker.
    pub(super) fn move_births(
        &mut self,
        agent: &AgentId,
        life: &Life,
        lists: &Lists,
    ) {
        let running = lists.running.iter().map(|r| (&r.task, r.run));
        let ended = lists.ended.iter().map(|e| (&e.task, e.run));
        let listed: BTreeSet<(&Task, Run)> = running.chain(ended).collect();
        for id in &self.open_jobs {
            let Some(record) = self.jobs.get_mut(id) else {
                continue;
            };
            let mut units = std::mem::take(&mut record.units);
            for (key, unit) in &mut units {
                let Phase::Running(members) = &mut unit.phase else {
                    continue;
                };
                let progress = record.progress.units.get(key);
                let run = progress.map_or(0, |progress| progress.run);
                for member in members {
                    let place = &member.place;
                    let here = place.agent == *agent
                        && place.life.name() == life.name()
                        && place.life != *life;
                    let moves = here
                        && (place.life.may_equal(life)
                            || listed
                                .contains(&(&record.task(key, member), run)));
                    if moves {
                        member.place.life = life.clone();
                    }
                }
            }
            record.units = units;
        }
    }
}
