//! Checks of configuration items and names that operators and callers write.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::account;
use crate::config::Account;
use crate::config::Template;
use crate::plan::home;
use crate::site::Shape;
use crate::site::Site;
use crate::util::digest;

/// The maximum number of accelerators of a shape.
const MAX_SHAPE_ACCELERATORS: u32 = 4096;
/// The maximum of the `rate` limit of an account.
const MAX_REQUESTS_PER_SECOND: u32 = 10_000;
/// The maximum length of a name, in characters.
const MAX_NAME_LENGTH: usize = 64;

/// An invalid field of an item or a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The path of the field, such as `shape.accelerators`.
    pub field: String,
    /// The value as JSON, at most 120 characters of it.
    pub value: String,
    /// A description of the values that are allowed.
    pub expected: String,
}

impl Problem {
    /// Returns a problem of `field`, whose value is shown as JSON.
    pub fn new(
        field: impl Into<String>,
        value: &impl Serialize,
        expected: impl Into<String>,
    ) -> Problem {
        let value = serde_json::to_string(value).unwrap_or_default();
        Problem {
            field: field.into(),
            value: value.chars().take(120).collect(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem {
            field,
            value,
            expected,
        } = self;
        write!(f, "{field}: {value}, expected {expected}")
    }
}

/// Returns whether `text` is a valid name of an account, a template or a
/// request.
pub fn is_name(text: &str) -> bool {
    let is_allowed =
        |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty()
        && text.len() <= MAX_NAME_LENGTH
        && text.chars().all(is_allowed)
}

/// Returns the problems of a client account, looked at alone.
pub fn check_account(id: &str, account: &Account) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(check_name("account", id));
    for (index, shape) in account.guarantee.iter().enumerate() {
        let field = format!("guarantee[{index}].accelerators");
        problems.extend(check_accelerators(field, shape));
    }
    for (index, token) in account.tokens.iter().enumerate() {
        if !digest::is_valid(token) {
            problems.push(Problem::new(
                format!("tokens[{index}]"),
                token,
                "a SHA-256 digest, 64 characters of 0-9 and a-f",
            ));
        }
    }
    if !(1..=MAX_REQUESTS_PER_SECOND).contains(&account.rate) {
        problems.push(Problem::new(
            "rate",
            &account.rate,
            format!("1 to {MAX_REQUESTS_PER_SECOND} requests a second"),
        ));
    }
    problems
}

/// Returns the problems of a template. On a site with workers, its shape must
/// fit on the site.
pub fn check_template(
    id: &str,
    template: &Template,
    site: &Site,
) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(check_name("template", id));
    problems.extend(check_accelerators("shape.accelerators", &template.shape));
    if template.declared.is_zero() {
        problems.push(Problem::new("run_ms", &0, "1 or more"));
    }
    if template.run.is_empty() {
        problems.push(Problem::new("run", &"", "a command, not empty"));
    }
    let empty = site.workers().is_empty();
    let fits = home::pack(site, &[template.shape])
        .iter()
        .all(|p| p.is_some());
    if !empty && !fits {
        problems.push(Problem::new(
            "shape",
            &template.shape,
            "a shape that fits on some part of the site",
        ));
    }
    problems
}

/// Returns a problem for each guaranteed shape without room on the site beside
/// the guaranteed shapes of all accounts. Returns none for a site without
/// workers.
pub fn check_guarantees<'a>(
    site: &Site,
    accounts: impl Iterator<Item = (&'a account::Id, &'a Account)>,
) -> Vec<Problem> {
    if site.workers().is_empty() {
        return Vec::new();
    }
    let owned: Vec<(&account::Id, usize, Shape)> = accounts
        .flat_map(|(id, account)| {
            let shapes = account.guarantee.iter().enumerate();
            shapes.map(move |(index, shape)| (id, index, *shape))
        })
        .collect();
    let shapes: Vec<Shape> = owned.iter().map(|(_, _, s)| *s).collect();
    let places = home::pack(site, &shapes);
    owned
        .iter()
        .zip(places)
        .filter(|(_, place)| place.is_none())
        .map(|((id, index, shape), _)| {
            Problem::new(
                format!("accounts.{id}.guarantee[{index}]"),
                shape,
                "a shape that fits on the site beside all other \
                 guaranteed shapes",
            )
        })
        .collect()
}

fn check_name(field: &str, id: &str) -> Option<Problem> {
    (!is_name(id)).then(|| {
        let expected = format!(
            "1 to {MAX_NAME_LENGTH} characters of a-z, A-Z, 0-9, - and _"
        );
        Problem::new(field, &id, expected)
    })
}

fn check_accelerators(
    field: impl Into<String>,
    shape: &Shape,
) -> Option<Problem> {
    (!(1..=MAX_SHAPE_ACCELERATORS).contains(&shape.accelerators)).then(|| {
        let expected = format!("1 to {MAX_SHAPE_ACCELERATORS}");
        Problem::new(field, &shape.accelerators, expected)
    })
}
