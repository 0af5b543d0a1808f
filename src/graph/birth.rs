//! Members on workers that have restarted under their names.

use std::collections::BTreeSet;

use crate::graph::unit::Phase;
use crate::graph::AgentId;
use crate::graph::Life;
use crate::graph::Lists;
use crate::graph::Run;
use crate::graph::Scheduler;
use crate::graph::Task;

impl Scheduler {
    /// Moves members that are recorded under an earlier birth of a worker to
    /// its present birth, where they belong to it.
    ///
    /// Members that were placed by the worker's name alone must not begin
    /// again once the worker reports births: a run begins at most once. An
    /// order for one birth may also be carried out by the next before the
    /// planner knows of the restart. Members that the present birth lists
    /// therefore belong to it, as no other worker was assigned the same run.
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
