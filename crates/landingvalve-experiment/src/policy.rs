//! Parses policies from settings by name.

use landingvalve::graph::Policy;

/// An unknown setting, or a value that is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?}: expected NAME=NUMBER, NAME one of {NAMES:?}")]
pub struct Error(String);

/// Names of the numeric settings.
pub const NAMES: &[&str] =
    &["spare", "near", "kept", "most_lost", "lost_in_time"];

/// Returns the default policy with some settings changed, each of them as
/// `name=number`, with commas between. For `headroom`, `kept_late`,
/// `kept_in_time`, `late_last`, `late_turn`, `shares`, `loss_model`, `in_time_stops`,
/// `wait_for_ends` and `prune_stops`, which are flags, a number above 0 means
/// true.
///
/// # Errors
///
/// If a setting is unknown, or its value is not a number from 0.
///
/// # Examples
///
/// ```
/// let policy = landingvalve_experiment::policy::parse("spare=0,kept=0.5")?;
/// assert_eq!((policy.spare_share, policy.reserved_share), (0.0, 0.5));
/// # Ok::<(), landingvalve_experiment::policy::Error>(())
/// ```
pub fn parse(text: &str) -> Result<Policy, Error> {
    let mut policy = Policy::default();
    let settings = text.split(',').map(str::trim).filter(|s| !s.is_empty());
    for setting in settings {
        let error = || Error(setting.to_owned());
        let (name, value) = setting.split_once('=').ok_or_else(error)?;
        let value: f64 = value.trim().parse().map_err(|_| error())?;
        let flag = match name.trim() {
            "headroom" => Some(&mut policy.headroom),
            "kept_late" => Some(&mut policy.reserve_only_late),
            "kept_in_time" => Some(&mut policy.reserve_in_time),
            "late_last" => Some(&mut policy.late_last),
            "late_turn" => Some(&mut policy.late_turn),
            "shares" => Some(&mut policy.shares),
            "loss_model" => Some(&mut policy.loss_model),
            "in_time_stops" => Some(&mut policy.in_time_stops),
            "wait_for_ends" => Some(&mut policy.wait_for_ends),
            "prune_stops" => Some(&mut policy.prune_stops),
            _ => None,
        };
        if let Some(flag) = flag {
            *flag = value > 0.0;
            continue;
        }
        let field = match name.trim() {
            "spare" => &mut policy.spare_share,
            "near" => &mut policy.near_wait,
            "kept" => &mut policy.reserved_share,
            "most_lost" => &mut policy.max_loss,
            "lost_in_time" => &mut policy.max_loss_factor,
            _ => return Err(error()),
        };
        if !value.is_finite() || value < 0.0 {
            return Err(error());
        }
        *field = value;
    }
    Ok(policy)
}
