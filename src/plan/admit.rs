//! Refusing at once what could never run.

use crate::job;
use crate::plan::place;
use crate::plan::place::Spread;
use crate::plan::state::State;
use crate::site::Shape;
use crate::site::WorkerIndex;

/// Returns why no healthy site could ever hold the job, if none could.
pub fn impossible(state: &State, spec: &job::Spec) -> Option<String> {
    let Some(tenant) = state.tenants.get(&spec.account) else {
        return Some(format!("account: {:?} is not known", spec.account));
    };
    let shape = spec.shape;
    let fits = |open: &dyn Fn(WorkerIndex) -> u64| {
        place::find(&state.site, shape, Spread::Remainders, open).is_some()
    };
    if !fits(&|_| state.site.full_mask()) {
        return Some(format!(
            "accelerators: no part of the site holds {shape}"
        ));
    }
    let terms = &tenant.terms;
    let holds = |own: &Shape| own.holds(&shape);
    if terms.guarantee.iter().any(holds) {
        return None;
    }
    if shape.accelerators > terms.borrow {
        return Some(format!(
            "accelerators: {shape} is in no guaranteed shape of the \
             account and more than the {} it may borrow",
            terms.borrow
        ));
    }
    if !spec.is_reclaimable() && !fits(&|w| state.open_nominal[w]) {
        return Some(format!(
            "accelerators: {shape} may not repeat, is in no guaranteed \
             shape of the account, and too large for unguaranteed room"
        ));
    }
    None
}
