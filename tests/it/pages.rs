//! The operators' page documents every setting and every metric.

use landingvalve::settings;
use landingvalve::settings::Field;
use landingvalve::telemetry::metrics;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// Returns the row of the page's tables that begins with `name`.
fn table_row(name: &str) -> &'static str {
    let cell = format!("| `{name}` |");
    PAGE.lines()
        .find(|line| line.starts_with(&cell))
        .unwrap_or_else(|| panic!("{name} is not on the page"))
}

#[test]
fn operators_page_lists_every_setting_with_its_default() {
    let fields: [&[Field]; 3] = [
        settings::entry::FIELDS,
        settings::agent::FIELDS,
        settings::COMMON_FIELDS,
    ];
    for field in fields.concat() {
        let name = format!("[{}] {}", field.section, field.key);
        let default = match field.default {
            None => "| none |".to_owned(),
            Some("") => "| empty |".to_owned(),
            Some(value) => format!("| `{value}` |"),
        };
        let row = table_row(&name);
        assert!(row.contains(&default), "{name}: {default}: {row}");
    }
}

#[test]
fn operators_page_lists_every_metric() {
    for metric in metrics::ALL {
        table_row(metric.name);
    }
}
