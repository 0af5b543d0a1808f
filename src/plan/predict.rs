//! Predicts run times from a template's history.
//!
//! Callers' declarations are often wrong, but consistently so. Each template
//! has two predictors: the median of its run times, and the median of run time
//! over declaration. The one whose samples spread less is used.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::account;
use crate::job;

/// How many runs a template's history holds.
const MAX_SAMPLES: usize = 33;
/// How many runs are needed before history replaces the declaration.
const MIN_SAMPLES: usize = 3;
/// The shortest run time that is recorded or predicted.
const MIN_RUN_TIME: Duration = Duration::from_millis(100);

/// The run times of all templates' jobs.
#[derive(Clone, Debug, Default)]
pub struct History {
    accounts: BTreeMap<account::Id, BTreeMap<job::TemplateId, Template>>,
}

#[derive(Clone, Debug, Default)]
struct Template {
    runs: Samples,
    ratios: Samples,
    completed: u64,
}

/// Logarithms of the last samples, in order of arrival and in order of size.
#[derive(Clone, Debug, Default)]
struct Samples {
    arrived: std::collections::VecDeque<f64>,
    sorted: Vec<f64>,
}

impl Samples {
    fn push(&mut self, value: f64) {
        if self.arrived.len() == MAX_SAMPLES {
            let oldest = self.arrived.pop_front().unwrap_or_default();
            let index = self.sorted.partition_point(|x| *x < oldest);
            self.sorted.remove(index);
        }
        let index = self.sorted.partition_point(|x| *x < value);
        self.sorted.insert(index, value);
        self.arrived.push_back(value);
    }

    fn median(&self) -> f64 {
        self.sorted[self.sorted.len() / 2]
    }

    fn interquartile_range(&self) -> f64 {
        let count = self.sorted.len();
        self.sorted[count * 3 / 4] - self.sorted[count / 4]
    }
}

impl History {
    /// Records that a job ran to its end in `run_time`.
    pub fn record_completion(&mut self, spec: &job::Spec, run_time: Duration) {
        let template = self
            .accounts
            .entry(spec.account.clone())
            .or_default()
            .entry(spec.template.clone())
            .or_default();
        let run_time = run_time.max(MIN_RUN_TIME).as_secs_f64();
        let declared = spec.declared.max(MIN_RUN_TIME).as_secs_f64();
        template.runs.push(run_time.ln());
        template.ratios.push((run_time / declared).ln());
        template.completed += 1;
    }

    /// Returns the predicted run time of `spec`: its declaration until the
    /// template has enough history.
    pub fn predict(&self, spec: &job::Spec) -> Duration {
        let declared = spec.declared.max(MIN_RUN_TIME);
        match self.template(spec) {
            Some(template) if template.runs.arrived.len() >= MIN_SAMPLES => {
                let seconds = match template.ratios.interquartile_range()
                    < template.runs.interquartile_range()
                {
                    true => {
                        template.ratios.median().exp() * declared.as_secs_f64()
                    }
                    false => template.runs.median().exp(),
                };
                Duration::from_secs_f64(seconds.clamp(0.1, 1e9))
            }
            _ => declared,
        }
    }

    /// Returns whether any job of the template has run to its end.
    pub fn has_completed(&self, spec: &job::Spec) -> bool {
        self.template(spec)
            .is_some_and(|template| template.completed > 0)
    }

    fn template(&self, spec: &job::Spec) -> Option<&Template> {
        self.accounts.get(&spec.account)?.get(&spec.template)
    }
}
