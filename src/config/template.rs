//! Templates for recurring jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::config::Problem;
use crate::site::Shape;

/// What kind of value a parameter takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ParameterKind {
    /// A string.
    String,
    /// A whole number.
    Integer,
    /// Any number.
    Number,
    /// True or false.
    Boolean,
}

impl ParameterKind {
    fn accepts(self, value: &Value) -> bool {
        match self {
            ParameterKind::String => value.is_string(),
            ParameterKind::Integer => value.is_i64() || value.is_u64(),
            ParameterKind::Number => value.is_number(),
            ParameterKind::Boolean => value.is_boolean(),
        }
    }

    fn expected(self) -> &'static str {
        match self {
            ParameterKind::String => "a string",
            ParameterKind::Integer => "a whole number",
            ParameterKind::Number => "a number",
            ParameterKind::Boolean => "true or false",
        }
    }
}

/// A parameter that callers may give.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// What kind of value it takes.
    pub kind: ParameterKind,
    /// Whether it must be given.
    #[serde(default)]
    pub required: bool,
}

/// A template for a recurring job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The accelerators that a job needs together.
    pub shape: Shape,
    /// How long a job runs, as far as its writer knows.
    #[serde(rename = "run_ms", with = "crate::util::duration_ms")]
    pub declared: Duration,
    /// What the endpoint is to run.
    pub run: String,
    /// Whether a job may be started again after it may have run.
    pub repeatable: bool,
    /// Whether a job can checkpoint.
    #[serde(default)]
    pub checkpoint: bool,
    /// Whether jobs go before all that is not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// What callers may give.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
}

impl Template {
    /// Returns what is wrong with a caller's parameters.
    pub fn check_parameters(&self, given: &Value) -> Vec<Problem> {
        let Some(given) = given.as_object() else {
            return vec![Problem::new("parameters", given, "an object")];
        };
        let missing = self
            .parameters
            .iter()
            .filter(|(name, p)| p.required && !given.contains_key(*name))
            .map(|(name, parameter)| {
                let field = format!("parameters.{name}");
                Problem::new(field, &"nothing", parameter.kind.expected())
            });
        let wrong = given.iter().filter_map(|(name, value)| {
            let field = format!("parameters.{name}");
            match self.parameters.get(name) {
                None => {
                    let names: Vec<&str> =
                        self.parameters.keys().map(|k| &**k).collect();
                    let expected = format!("one of {}", names.join(", "));
                    Some(Problem::new(field, value, expected))
                }
                Some(p) if !p.kind.accepts(value) => {
                    Some(Problem::new(field, value, p.kind.expected()))
                }
                Some(_) => None,
            }
        });
        missing.chain(wrong).collect()
    }
}
