//! Checks of what operators and callers write.

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

/// The most accelerators that a shape may have.
const MAX_SHAPE_ACCELERATORS: u32 = 4096;
/// The most requests a second that an account may make.
const MAX_REQUESTS_PER_SECOND: u32 = 10_000;
/// The longest name.
const MAX_NAME_LENGTH: usize = 64;

/// A field that is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The field.
    pub field: String,
    /// What it is.
    pub value: String,
    /// What was expected.
    pub expected: String,
}

impl Problem {
    /// Returns a problem of a field.
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

/// Returns whether `text` can name an account, a template or a request.
pub fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty()
        && text.len() <= MAX_NAME_LENGTH
        && text.chars().all(plain)
}

/// Returns what is wrong with a client account, by itself.
pub fn check_account(id: &str, account: &Account) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(check_name("account", id));
    for (at, shape) in account.guarantee.iter().enumerate() {
        let field = format!("guarantee[{at}].accelerators");
        problems.extend(check_accelerators(field, shape));
    }
    for (at, token) in account.tokens.iter().enumerate() {
        if !digest::is_valid(token) {
            problems.push(Problem::new(
                format!("tokens[{at}]"),
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

/// Returns what is wrong with a template, by itself and on the site.
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
        problems.push(Problem::new("run", &"", "what to run"));
    }
    let empty = site.workers().is_empty();
    let fits = home::pack(site, &[template.shape])
        .iter()
        .all(|p| p.is_some());
    if !empty && !fits {
        problems.push(Problem::new(
            "shape",
            &template.shape,
            "a shape that some part of the site holds",
        ));
    }
    problems
}

/// Returns the guaranteed shapes that do not fit on the site together.
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
            shapes.map(move |(at, shape)| (id, at, *shape))
        })
        .collect();
    let shapes: Vec<Shape> = owned.iter().map(|(_, _, s)| *s).collect();
    let places = home::pack(site, &shapes);
    owned
        .iter()
        .zip(places)
        .filter(|(_, place)| place.is_none())
        .map(|((id, at, shape), _)| {
            Problem::new(
                format!("accounts.{id}.guarantee[{at}]"),
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
