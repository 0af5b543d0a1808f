//! Rejects jobs that could never run.

use crate::job;
use crate::plan::place;
use crate::plan::place::Spread;
use crate::plan::state::State;
use crate::site::Shape;
use crate::site::WorkerIndex;

/// Returns why the job could never run, even on an empty site in full health,
/// or `None` if it could.
pub fn unplaceable_reason(state: &State, spec: &job::Spec) -> Option<String> {
    let Some(account_state) = state.accounts.get(&spec.account) else {
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
    let terms = &account_state.terms;
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
    if !spec.is_reclaimable() && !fits(&|w| state.nominal_unguaranteed[w]) {
        return Some(format!(
            "accelerators: {shape} may not repeat, is in no guaranteed \
             shape of the account, and too large for unguaranteed room"
        ));
    }
    None
}
