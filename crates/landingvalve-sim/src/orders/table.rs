//! Counts of the orders that were met.

use std::collections::BTreeMap;
use std::fmt;

use crate::orders::Played;

/// A row's event and a column's fault.
type Cell = (String, String);

/// How often each kind of event met each fault.
#[derive(Clone, Debug, Default)]
pub struct Table {
    played: usize,
    broken: usize,
    /// The orders of a cell that were met, and those that were played.
    cells: BTreeMap<Cell, (usize, usize)>,
}

impl Table {
    /// Counts orders that were played.
    pub fn new(played: &[Played]) -> Table {
        let mut table = Table::default();
        for one in played {
            table.played += 1;
            table.broken += usize::from(!one.report.violations.is_empty());
            let cell = (one.order.event.kind(), one.order.fault.to_string());
            let (met, all) = table.cells.entry(cell).or_default();
            *met += usize::from(one.is_met);
            *all += 1;
        }
        table
    }

    /// Returns how many orders broke a promise.
    pub fn broken(&self) -> usize {
        self.broken
    }

    /// Returns the cells that no order has reached, as event and fault.
    pub fn unmet(&self) -> Vec<(String, String)> {
        let unmet = self.cells.iter().filter(|(_, (met, _))| *met == 0);
        unmet.map(|(cell, _)| cell.clone()).collect()
    }

    /// Returns the table as CSV, a line for each cell.
    pub fn csv(&self) -> String {
        let mut lines = vec!["event,fault,met,played".to_owned()];
        for ((event, fault), (met, all)) in &self.cells {
            lines.push(format!("{event},{fault},{met},{all}"));
        }
        lines.join("\n") + "\n"
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((event, fault), (met, all)) in &self.cells {
            let mark = if *met == 0 { "  not reached" } else { "" };
            writeln!(f, "{event:<14} {fault:<16} {met:>3} of {all}{mark}")?;
        }
        let met = self.cells.values().filter(|(met, _)| *met > 0).count();
        write!(
            f,
            "orders: {} played, {} broke a promise, {met} of {} cells met",
            self.played,
            self.broken,
            self.cells.len()
        )
    }
}
