//! `landingvalve status`: shows entries, the cell, workers and guarantees.

use std::process::ExitCode;

use hyper::Method;
use landingvalve::entry::operators::View;
use landingvalve::wire::entry::CellView;

use crate::client::Client;
use crate::out::outln;
use crate::picture;

/// Prints the state of the system.
///
/// # Errors
///
/// If the entry does not respond, or rejects the request.
pub async fn run(client: &Client, json: bool) -> eyre::Result<ExitCode> {
    let response = client.call(Method::GET, "/v1/status", None).await?;
    let view: View = response.parse()?;
    if json {
        outln!("{}", serde_json::to_string(&view)?);
        return Ok(ExitCode::SUCCESS);
    }
    outln!("entry {}, configuration {}", view.entry, view.revision);
    for entry in &view.entries {
        let lag = match entry.revision {
            Some(revision) if revision == view.revision => String::new(),
            Some(revision) => format!("  lags behind at {revision}"),
            None => "  does not respond".to_owned(),
        };
        outln!("  {}{lag}", entry.address);
    }
    match &view.cell {
        Some(cell) => show(cell),
        None => outln!("no planner responds"),
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints a cell: its planner, load, accelerators and guarantees.
pub fn show(cell: &CellView) {
    outln!(
        "cell {}: planner {} at epoch {}, configuration {}",
        cell.cell,
        cell.planner_address,
        cell.epoch,
        cell.revision
    );
    outln!(
        "  {} running, {} waiting, fragmentation {:.2}",
        cell.running,
        cell.waiting,
        cell.fragmentation
    );
    let picture = picture::draw(cell, picture::has_color());
    outln!("{}", picture.trim_end());
    for guarantee in &cell.guarantees {
        let borrowers: Vec<&str> =
            guarantee.borrowers.iter().map(|job| &**job).collect();
        let state = match guarantee.placed {
            false => {
                "NOT PLACED: the remaining workers cannot hold it".to_owned()
            }
            true if borrowers.is_empty() => {
                format!("{} in use", guarantee.used)
            }
            true => format!(
                "{} in use, borrowed by {}",
                guarantee.used,
                borrowers.join(", ")
            ),
        };
        outln!("  {} {}: {state}", guarantee.account, guarantee.shape);
    }
}
