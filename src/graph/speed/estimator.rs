//! The estimate of workers' speeds from the times of runs.
//!
//! The logarithm of a task's time is that of its step's work minus that of its
//! worker's speed, plus noise. A gang is as fast as its slowest member. Works
//! and speeds are estimated in turn. What a step shows of a worker is taken
//! from the other runs of the step and from the prior on its work, and what a
//! worker shows of a step from the other steps that ran there.
//!
//! The distribution of the fleet's speeds is the prior of each worker and is
//! estimated with them (empirical Bayes). Workers of a few classes are thereby
//! drawn to their classes, and equal workers to each other.

use crate::graph::speed::grid;
use crate::graph::speed::grid::Values;
use crate::graph::speed::grid::POINTS;
use crate::graph::speed::LogSpeed;

/// The number of times that works and speeds are estimated in turn.
const SWEEPS: usize = 3;
/// The number of times that the fleet's distribution is estimated in a sweep.
const FLEET_ROUNDS: usize = 3;
/// The standard deviation of the logarithm of a run's time: tasks of a step
/// differ by 15%.
const NOISE: f64 = 0.15;
/// The greatest noise that is assumed, so that the runs of a step always show
/// something.
const MAX_NOISE: f64 = 0.6;
/// The weight of [`NOISE`], in runs.
const NOISE_RUNS: f64 = 20.0;
/// The odds against a run that is slow for another reason. One run in twenty
/// is, by any factor up to e.
const OUTLIER_ODDS: f64 = 19.0;
/// The most that the runs of one step on one worker count, as a logarithm: a
/// worker may be slow for some seconds, and all its runs with it.
const MAX_GROUP_EVIDENCE: f64 = 6.0;
/// The standard deviation of the fleet that is assumed before runs show it.
const FLEET_DEVIATION: f64 = 0.4;
/// The weight of that assumption, in workers.
const FLEET_WORKERS: f64 = 1.0;
/// The part of the fleet's distribution that is moved to the points beside it
/// in each round. It keeps workers of one class together.
const FLEET_SMOOTHING: f64 = 0.1;
/// The standard deviation within a fleet whose workers count as equal.
const EQUAL_DEVIATION: f64 = 0.06;
/// The logarithm of the odds from which workers count as different.
const MIN_EVIDENCE: f64 = 5.0;
/// The most that a single worker counts for this: a few workers that had a run
/// that was slow for another reason do not make a fleet of several classes.
const MAX_WORKER_EVIDENCE: f64 = 2.0;
/// The least standard deviation between workers that is acted on. Below it,
/// workers count as equally fast.
const MIN_SPREAD: f64 = 0.08;
/// The standard deviation by which declared works are off in common.
const COMMON_ERROR: f64 = 0.5;
/// The number of groups of a worker from which each counts little beside the
/// others.
const MANY_GROUPS: usize = 4;
/// The number of groups and gangs of a step from which its work is known
/// without its prior.
const MANY_RUNS: usize = 8;

/// What is expected of a step's work before it runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedWork {
    /// The logarithm of the work in seconds.
    pub log: f64,
    /// Its standard deviation.
    pub deviation: f64,
}

/// The runs of the tasks of one step on one worker.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub step: usize,
    pub worker: usize,
    /// The logarithms of the times in seconds.
    pub times: Vec<f64>,
}

/// The run of a gang.
#[derive(Clone, Debug)]
pub(super) struct Gang {
    pub step: usize,
    /// The workers of its members, each once.
    pub workers: Vec<usize>,
    /// The logarithm of the time in seconds.
    pub time: f64,
}

/// What was known before.
#[derive(Clone, Copy, Debug)]
pub(super) struct Known {
    pub worker: usize,
    pub log: LogSpeed,
    /// The number of runs that it counts as.
    pub runs: u32,
}

/// All observations. Steps and workers are numbered from 0.
#[derive(Clone, Debug, Default)]
pub(super) struct Observations {
    pub workers: usize,
    /// What is expected of each step.
    pub steps: Vec<Option<ExpectedWork>>,
    pub groups: Vec<Group>,
    pub gangs: Vec<Gang>,
    pub known: Vec<Known>,
}

/// The estimate of a worker's speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    pub log: LogSpeed,
    pub variance: f64,
}

/// The estimates of all workers.
#[derive(Clone, Debug)]
pub(super) struct Fit {
    pub speeds: Vec<Estimate>,
    /// Whether the workers differ by enough to be told apart.
    pub differ: bool,
    /// The standard deviation of a run's time.
    pub noise: f64,
}

/// A normal distribution of a step's work; a precision of 0 stands for an
/// unknown work.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    precision: f64,
    /// The mean times the precision.
    weighted: f64,
}

/// What a run shows of its step's work.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    mean: f64,
    variance: f64,
    /// How much it counts, 0 to 1.
    weight: f64,
}

/// Returns the estimates of the workers' speeds.
pub(super) fn fit(observations: &Observations) -> Fit {
    let mut state = State::new(observations);
    for _ in 0..SWEEPS {
        state.estimate_works();
        state.update_messages();
        state.update_speeds();
    }
    state.finish()
}

struct State<'a> {
    observations: &'a Observations,
    /// The groups and gangs of each step.
    groups_of: Vec<Vec<usize>>,
    gangs_of: Vec<Vec<usize>>,
    /// The median time of each group.
    group_times: Vec<f64>,
    /// How many groups each worker has.
    group_counts: Vec<usize>,
    /// What each group shows of its worker, as a logarithm, and what each gang
    /// shows of each member, as a likelihood.
    group_messages: Vec<Values>,
    gang_messages: Vec<Vec<Values>>,
    /// What was known before, and the sum of all messages of each worker.
    known: Vec<Values>,
    totals: Vec<Values>,
    /// The workers of which something was observed.
    seen: Vec<bool>,
    fleet: Values,
    speeds: Vec<Values>,
    moments: Vec<(f64, f64)>,
    /// The work of each step without its prior, and what each run shows of it.
    group_works: Vec<Work>,
    gang_works: Vec<Work>,
    /// The minimum over the other members, for each member of each gang.
    others: Vec<Vec<Values>>,
    noise: f64,
}

impl<'a> State<'a> {
    fn new(observations: &'a Observations) -> State<'a> {
        let workers = observations.workers;
        let steps = observations.steps.len();
        let mut groups_of = vec![Vec::new(); steps];
        let mut group_counts = vec![0; workers];
        let mut seen = vec![false; workers];
        for (index, group) in observations.groups.iter().enumerate() {
            groups_of[group.step].push(index);
            group_counts[group.worker] += 1;
            seen[group.worker] = true;
        }
        let mut gangs_of = vec![Vec::new(); steps];
        for (index, gang) in observations.gangs.iter().enumerate() {
            gangs_of[gang.step].push(index);
            gang.workers.iter().for_each(|worker| seen[*worker] = true);
        }
        let mut known = vec![[0.0; POINTS]; workers];
        for before in &observations.known {
            let runs = f64::from(before.runs);
            if runs == 0.0 {
                continue;
            }
            seen[before.worker] = true;
            let variance = NOISE * NOISE / runs;
            for (point, value) in known[before.worker].iter_mut().enumerate() {
                let misfit = (grid::speed(point) - before.log).powi(2);
                *value -= (misfit / variance / 2.0).min(MAX_GROUP_EVIDENCE);
            }
        }
        let fleet = grid::normal(0.0, FLEET_DEVIATION);
        let members = |gang: &Gang| vec![[1.0; POINTS]; gang.workers.len()];
        let gang_messages: Vec<Vec<Values>> =
            observations.gangs.iter().map(members).collect();
        let mut state = State {
            observations,
            groups_of,
            gangs_of,
            group_times: observations
                .groups
                .iter()
                .map(|group| median(&mut group.times.clone()))
                .collect(),
            group_counts,
            group_messages: vec![[0.0; POINTS]; observations.groups.len()],
            others: gang_messages.clone(),
            gang_messages,
            totals: known.clone(),
            known,
            seen,
            fleet,
            speeds: vec![fleet; workers],
            moments: vec![grid::moments(&fleet); workers],
            group_works: vec![Work::default(); observations.groups.len()],
            gang_works: vec![Work::default(); observations.gangs.len()],
            noise: NOISE,
        };
        state.update_speeds();
        state
    }

    /// Estimates the works of all steps; for each run, from all that is known
    /// without it.
    fn estimate_works(&mut self) {
        let steps = self.observations.steps.len();
        let mut all = Vec::with_capacity(steps);
        let mut shown = Vec::with_capacity(steps);
        for step in 0..steps {
            let mut evidence = Vec::new();
            for index in &self.groups_of[step] {
                evidence.push(self.group_evidence(*index));
            }
            for index in self.gangs_of[step].clone() {
                evidence.push(self.gang_evidence(index));
            }
            shown.push(combine(Work::default(), &mut evidence));
            all.push(evidence);
        }
        let common = self.common_error(&shown);
        for (step, mut evidence) in all.into_iter().enumerate() {
            let prior = self.observations.steps[step].map(|expected| {
                let precision = expected.deviation.powi(-2);
                Work {
                    precision,
                    weighted: (expected.log + common) * precision,
                }
            });
            let prior = prior.unwrap_or_default();
            // Many runs show by themselves which of them are far off.
            let work = match evidence.len() {
                0..MANY_RUNS => combine(prior, &mut evidence),
                _ => Work {
                    precision: shown[step].precision + prior.precision,
                    weighted: shown[step].weighted + prior.weighted,
                },
            };
            let mut rest = evidence.iter().map(|one| work.without(one));
            for index in &self.groups_of[step] {
                self.group_works[*index] = rest.next().unwrap_or_default();
            }
            for index in &self.gangs_of[step] {
                self.gang_works[*index] = rest.next().unwrap_or_default();
            }
        }
    }

    /// Returns by how much the works exceed what was expected, in common.
    fn common_error(&self, shown: &[Work]) -> f64 {
        let mut precision = COMMON_ERROR.powi(-2);
        let mut weighted = 0.0;
        for (expected, work) in self.observations.steps.iter().zip(shown) {
            let Some(expected) = expected else {
                continue;
            };
            if work.precision == 0.0 {
                continue;
            }
            let variance = expected.deviation.powi(2) + 1.0 / work.precision;
            precision += 1.0 / variance;
            weighted += (work.mean() - expected.log) / variance;
        }
        weighted / precision
    }

    /// Returns what a group shows of its step's work.
    fn group_evidence(&self, index: usize) -> Evidence {
        let group = &self.observations.groups[index];
        let (mean, variance) = match self.group_counts[group.worker] {
            0..MANY_GROUPS => {
                let message = &self.group_messages[index];
                grid::moments(&self.speeds_without(group.worker, message))
            }
            _ => self.moments[group.worker],
        };
        let noise = self.noise.powi(2) / group.times.len() as f64;
        Evidence {
            mean: self.group_times[index] + mean,
            variance: noise + variance,
            weight: 1.0,
        }
    }

    /// Returns what a gang shows of its step's work, and keeps the speeds of
    /// the slowest of the others for each of its members.
    fn gang_evidence(&mut self, index: usize) -> Evidence {
        let gang = &self.observations.gangs[index];
        let messages = &self.gang_messages[index];
        let members = gang.workers.iter().zip(messages);
        let above: Vec<Values> = members
            .map(|(worker, message)| {
                let speeds = &self.speeds[*worker];
                let mut speeds = grid::quotient(speeds, message);
                grid::normalize(&mut speeds);
                grid::above(&speeds)
            })
            .collect();
        let mut after = vec![[1.0; POINTS]; above.len() + 1];
        for (member, above) in above.iter().enumerate().rev() {
            after[member] = grid::product(&after[member + 1], above);
        }
        let mut before = [1.0; POINTS];
        for (member, above) in above.iter().enumerate() {
            self.others[index][member] =
                grid::product(&before, &after[member + 1]);
            before = grid::product(&before, above);
        }
        let slowest = grid::from_above(&before);
        let (mean, variance) = grid::moments(&slowest);
        Evidence {
            mean: gang.time + mean,
            variance: self.noise.powi(2) + variance,
            weight: 1.0,
        }
    }

    /// Returns a worker's speeds without one message.
    fn speeds_without(&self, worker: usize, message: &Values) -> Values {
        let divisor = grid::exponential(&message.map(|value| -value));
        grid::product(&self.speeds[worker], &divisor)
    }

    /// Updates what each run shows of its workers.
    fn update_messages(&mut self) {
        for (index, group) in self.observations.groups.iter().enumerate() {
            let work = self.group_works[index];
            let count = group.times.len() as f64;
            // The error of the work is common to the group: the variance of
            // its mean is that of the noise, divided, plus that of the work.
            let variance = self.noise.powi(2) + count * work.variance();
            self.group_messages[index] =
                group_message(&group.times, work.mean(), variance);
        }
        for (index, gang) in self.observations.gangs.iter().enumerate() {
            let work = self.gang_works[index];
            let variance = self.noise.powi(2) + work.variance();
            let fits = gang_likelihood(gang.time, work.mean(), variance);
            let members = self.gang_messages[index].iter_mut();
            for (message, others) in members.zip(&self.others[index]) {
                *message = member_message(&fits, others);
            }
        }
        self.totals.clone_from(&self.known);
        let groups = self.observations.groups.iter();
        for (group, message) in groups.zip(&self.group_messages) {
            add(&mut self.totals[group.worker], message);
        }
        self.add_gang_messages();
    }

    /// Adds what gangs show to the totals: one logarithm of each worker's
    /// product, because a logarithm of each message would take most of the
    /// time.
    fn add_gang_messages(&mut self) {
        let mut products = vec![[1.0; POINTS]; self.observations.workers];
        let mut counts = vec![0; self.observations.workers];
        let gangs = self.observations.gangs.iter();
        for (gang, messages) in gangs.zip(&self.gang_messages) {
            for (worker, message) in gang.workers.iter().zip(messages) {
                let shown = &mut products[*worker];
                *shown = grid::product(shown, message);
                counts[*worker] += 1;
                // Long before the product is too small for a number.
                if counts[*worker] % 16 == 0 {
                    let largest = shown.iter().copied().fold(0.0, f64::max);
                    shown.iter_mut().for_each(|value| {
                        *value = (*value / largest).max(1e-100);
                    });
                }
            }
        }
        let workers = self.totals.iter_mut().zip(products).zip(counts);
        for ((total, shown), _) in workers.filter(|(_, count)| *count > 0) {
            add(total, &shown.map(f64::ln));
        }
    }

    /// Estimates the fleet's distribution, the workers' speeds and the noise.
    fn update_speeds(&mut self) {
        let seen: Vec<usize> = (0..self.observations.workers)
            .filter(|worker| self.seen[*worker])
            .collect();
        let likelihoods: Vec<Values> = seen
            .iter()
            .map(|worker| grid::likelihood(&self.totals[*worker]))
            .collect();
        let assumed = grid::normal(0.0, FLEET_DEVIATION);
        for _ in 0..FLEET_ROUNDS {
            let mut sum = assumed.map(|value| value * FLEET_WORKERS);
            for likelihood in &likelihoods {
                let mut speeds = grid::product(&self.fleet, likelihood);
                grid::normalize(&mut speeds);
                add(&mut sum, &speeds);
            }
            self.fleet = grid::smooth(&sum, FLEET_SMOOTHING);
            grid::normalize(&mut self.fleet);
        }
        for (worker, likelihood) in seen.into_iter().zip(&likelihoods) {
            let mut speeds = grid::product(&self.fleet, likelihood);
            grid::normalize(&mut speeds);
            self.moments[worker] = grid::moments(&speeds);
            self.speeds[worker] = speeds;
        }
        self.update_noise();
    }

    /// Estimates the noise from the deviations of tasks' times. It is never
    /// less than usual: few runs fit any speeds.
    fn update_noise(&mut self) {
        let mut deviations = Vec::new();
        for (index, group) in self.observations.groups.iter().enumerate() {
            let work = self.group_works[index];
            // Where the work is known less well than a run shows it, a
            // deviation says nothing.
            if work.variance() > self.noise.powi(2) / 2.0 {
                continue;
            }
            let (mean, _) = self.moments[group.worker];
            let expected = work.mean() - mean;
            let times = group.times.iter();
            deviations.extend(times.map(|time| (time - expected).abs()));
        }
        let count = deviations.len() as f64;
        if count == 0.0 {
            return;
        }
        // The ratio of the standard deviation to the median of deviations.
        let shown = median(&mut deviations) * 1.4826;
        let squares = shown.powi(2) * count + NOISE * NOISE * NOISE_RUNS;
        let noise = (squares / (count + NOISE_RUNS)).sqrt();
        self.noise = noise.clamp(NOISE, MAX_NOISE);
    }

    fn finish(self) -> Fit {
        let (middle, variance) = grid::moments(&self.fleet);
        let seen = (0..self.observations.workers).filter(|w| self.seen[*w]);
        let likelihoods: Vec<Values> = seen
            .map(|worker| grid::likelihood(&self.totals[worker]))
            .collect();
        // All speeds together may be off the middle a little.
        let evidence = (-4..=4).map(|offset| {
            let middle = middle + f64::from(offset) * grid::STEP;
            let equal = grid::normal(middle, EQUAL_DEVIATION);
            self.evidence_against(&equal, &likelihoods)
        });
        let evidence = evidence.fold(f64::MAX, f64::min);
        let differ =
            evidence >= MIN_EVIDENCE && variance >= MIN_SPREAD * MIN_SPREAD;
        let speeds = self.moments.iter().map(|(mean, variance)| Estimate {
            log: mean - middle,
            variance: *variance,
        });
        Fit {
            speeds: speeds.collect(),
            differ,
            noise: self.noise,
        }
    }

    /// Returns the logarithm of the odds against a fleet of equal workers.
    fn evidence_against(&self, equal: &Values, likelihoods: &[Values]) -> f64 {
        let ratio = |likelihood: &Values| {
            let different = grid::probability(&self.fleet, likelihood);
            let ratio =
                different / grid::probability(equal, likelihood).max(1e-12);
            ratio.ln().min(MAX_WORKER_EVIDENCE)
        };
        likelihoods.iter().map(ratio).sum()
    }
}

impl Work {
    fn mean(&self) -> f64 {
        match self.precision > 0.0 {
            true => self.weighted / self.precision,
            false => 0.0,
        }
    }

    fn variance(&self) -> f64 {
        match self.precision > 0.0 {
            true => 1.0 / self.precision,
            // Wide enough that no speed fits better than another.
            false => 1e6,
        }
    }

    fn with(self, evidence: &Evidence) -> Work {
        let precision = evidence.weight / evidence.variance;
        Work {
            precision: self.precision + precision,
            weighted: self.weighted + precision * evidence.mean,
        }
    }

    fn without(self, evidence: &Evidence) -> Work {
        let precision = evidence.weight / evidence.variance;
        let rest = self.precision - precision;
        // What is left of rounding is no knowledge.
        match rest > self.precision * 1e-9 {
            true => Work {
                precision: rest,
                weighted: self.weighted - precision * evidence.mean,
            },
            false => Work::default(),
        }
    }
}

/// Returns the work that a prior and the evidence of runs show together, and
/// sets how much each run counts: those far from the others count little.
fn combine(prior: Work, evidence: &mut [Evidence]) -> Work {
    let mut centre = centre(prior, evidence);
    let most: Vec<f64> = evidence
        .iter()
        .map(|one| max_misfit(one.variance))
        .collect();
    let mut work = prior;
    for _ in 0..2 {
        work = prior;
        for (one, most) in evidence.iter_mut().zip(&most) {
            let misfit = (one.mean - centre).powi(2) / one.variance / 2.0;
            one.weight = 1.0 / (1.0 + (misfit - most).exp());
            work = work.with(one);
        }
        centre = work.mean();
    }
    work
}

/// Returns the weighted median of what runs and the prior show.
fn centre(prior: Work, evidence: &[Evidence]) -> f64 {
    let runs = evidence.iter().map(|one| (one.mean, 1.0 / one.variance));
    let mut all: Vec<(f64, f64)> = runs.collect();
    if prior.precision > 0.0 {
        all.push((prior.mean(), prior.precision));
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = all.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for (mean, weight) in &all {
        sum += weight;
        if sum >= half {
            return *mean;
        }
    }
    0.0
}

/// Returns the logarithm of what tasks' times show of their worker.
fn group_message(times: &[f64], work: f64, variance: f64) -> Values {
    let mut message = [0.0; POINTS];
    let scale = 0.5 / variance;
    let most = max_misfit(variance);
    for time in times {
        let offset = time - work;
        for (point, value) in message.iter_mut().enumerate() {
            let misfit = (offset + grid::speed(point)).powi(2) * scale;
            *value -= misfit.min(most);
        }
    }
    let best = message.iter().copied().fold(f64::MIN, f64::max);
    message.map(|value| (value - best).max(-MAX_GROUP_EVIDENCE))
}

/// Returns how well a gang's time fits each speed of its slowest member.
fn gang_likelihood(time: f64, work: f64, variance: f64) -> Values {
    let mut fits = [0.0; POINTS];
    let most = max_misfit(variance);
    for (point, value) in fits.iter_mut().enumerate() {
        let deviation = time - work + grid::speed(point);
        let misfit = deviation.powi(2) / variance / 2.0;
        *value = -misfit.min(most);
    }
    grid::exponential(&fits)
}

/// Returns what a gang shows of a member, as a likelihood, given how probable
/// it is that all others are faster than each speed.
fn member_message(fits: &Values, others_above: &Values) -> Values {
    let mut message = [0.0; POINTS];
    // The likelihood with a slower other member.
    let mut slower = 0.0;
    let mut before = 1.0;
    for point in 0..POINTS {
        let above = others_above[point];
        slower += (before - above) * fits[point];
        before = above;
        message[point] = (above * fits[point] + slower).max(1e-4);
    }
    message
}

/// Returns the half squared deviation from which a run counts as slow for
/// another reason, given the variance of its time.
fn max_misfit(variance: f64) -> f64 {
    let density = 1.0 / (variance * 2.0 * std::f64::consts::PI).sqrt();
    (OUTLIER_ODDS * density).ln().max(0.0)
}

fn add(sum: &mut Values, values: &Values) {
    for (sum, value) in sum.iter_mut().zip(values) {
        *sum += value;
    }
}

/// Returns the middle value, or 0 if there is none. Sorts the values.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    let half = values.len() / 2;
    match values.len() {
        0 => 0.0,
        count if count % 2 == 0 => (values[half - 1] + values[half]) / 2.0,
        _ => values[half],
    }
}
