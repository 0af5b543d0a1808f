//! A text picture of who uses the accelerators of each rack.

use std::collections::BTreeMap;
use std::io::IsTerminal;

use landingvalve::wire::entry::CellView;
use landingvalve::wire::entry::WorkerView;

/// The terminal color codes of accounts, used in turn.
const COLOR_CODES: [u8; 6] = [32, 33, 34, 35, 36, 31];

/// Returns a picture of the cell: one line per worker, one character per
/// accelerator.
///
/// A capital letter marks an accelerator in use by an account, a small letter
/// a free one in an account's home block, a dot a free one without an owner.
pub fn draw(cell: &CellView, color: bool) -> String {
    let labels = labels(cell);
    let mut text = String::new();
    let mut rack = "";
    for worker in &cell.workers {
        if rack != &*worker.rack {
            rack = &worker.rack;
            text.push_str(&format!("rack {rack}\n"));
        }
        let marks: String = (0..cell.accelerators)
            .map(|index| mark(worker, index, &labels, color))
            .collect();
        let state = match (&*worker.presence, &*worker.health) {
            ("up", "good") => String::new(),
            (presence, health) => format!("  {presence}, {health}"),
        };
        text.push_str(&format!("  {:<8} {marks}{state}\n", worker.worker));
    }
    let legend: Vec<String> = labels
        .iter()
        .map(|(account, (letter, _))| format!("{letter} {account}"))
        .collect();
    text.push_str(&format!("  {}\n", legend.join(", ")));
    text
}

/// The letter and the color code of each account.
type Labels = BTreeMap<String, (char, u8)>;

/// Returns the labels of all accounts with a guarantee or a running job.
fn labels(cell: &CellView) -> Labels {
    let owners = cell.guarantees.iter().map(|g| g.account.to_string());
    let users = cell
        .workers
        .iter()
        .flat_map(|worker| &worker.jobs)
        .map(|user| user.account.to_string());
    let mut accounts: Vec<String> = owners.chain(users).collect();
    accounts.sort();
    accounts.dedup();
    let letters = ('A'..='Z').zip(COLOR_CODES.iter().cycle());
    accounts
        .into_iter()
        .zip(letters.map(|(letter, code)| (letter, *code)))
        .collect()
}

fn mark(
    worker: &WorkerView,
    index: u32,
    labels: &Labels,
    color: bool,
) -> String {
    let bit = 1 << index;
    let user = worker.jobs.iter().find(|job| job.mask & bit != 0);
    let home = worker.homes.iter().find(|home| home.mask & bit != 0);
    let label = |account: &str| labels.get(account).copied();
    let (mark, code) = match (user, home) {
        (Some(user), _) => label(&user.account).unwrap_or(('#', 0)),
        (None, Some(home)) => {
            let (letter, code) = label(&home.account).unwrap_or(('.', 0));
            (letter.to_ascii_lowercase(), code)
        }
        (None, None) => ('.', 0),
    };
    match color && code != 0 {
        true => format!("\x1b[{code}m{mark}\x1b[0m"),
        false => mark.to_string(),
    }
}

/// Returns whether to color the output: standard output is a terminal, and
/// the environment doesn't set `NO_COLOR`.
pub fn has_color() -> bool {
    std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none()
}
