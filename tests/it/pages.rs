//! The operators' page names every setting, metric and log prefix.

use landingvalve::settings;
use landingvalve::settings::Field;
use landingvalve::telemetry::metrics;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

fn line(name: &str) -> &'static str {
    let cell = format!("| `{name}` |");
    PAGE.lines()
        .find(|line| line.starts_with(&cell))
        .unwrap_or_else(|| panic!("{name} is not on the page"))
}

#[test]
fn every_setting_is_on_the_page_with_its_default() {
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
        let line = line(&name);
        assert!(line.contains(&default), "{name}: {default}: {line}");
    }
}

#[test]
fn every_metric_is_on_the_page() {
    for about in metrics::DESCRIPTIONS {
        line(about.name);
    }
}
