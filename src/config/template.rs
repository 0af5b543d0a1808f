//! Templates of jobs and the parameters they accept.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::config::Problem;
use crate::site::Shape;

/// The type of the value of a parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ParameterKind {
    /// A JSON string.
    String,
    /// A JSON number without fraction, of at most 64 bits.
    Integer,
    /// Any JSON number.
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

/// The declaration of a parameter of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// The type of its values.
    pub kind: ParameterKind,
    /// Whether every submission must set the parameter.
    #[serde(default)]
    pub required: bool,
}

/// A template for a recurring job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The accelerators that a job needs together.
    pub shape: Shape,
    /// The expected run time of a job, declared by the author of the template.
    #[serde(rename = "run_ms", with = "crate::util::duration_ms")]
    pub declared: Duration,
    /// The command that the endpoint runs.
    pub run: String,
    /// Whether a job that may have run already may be started again.
    pub repeatable: bool,
    /// Whether a job can write checkpoints.
    #[serde(default)]
    pub checkpoint: bool,
    /// Whether jobs take precedence over all jobs that are not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// The parameters that callers may set, by name.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
}

impl Template {
    /// Returns the problems of a caller's parameters.
    pub fn check_parameters(&self, parameters: &Value) -> Vec<Problem> {
        let Some(given) = parameters.as_object() else {
            return vec![Problem::new("parameters", parameters, "an object")];
        };
        let missing = self
            .parameters
            .iter()
            .filter(|(name, p)| p.required && !given.contains_key(*name))
            .map(|(name, parameter)| {
                let field = format!("parameters.{name}");
                Problem::new(field, &"nothing", parameter.kind.expected())
            });
        let invalid = given.iter().filter_map(|(name, value)| {
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
        missing.chain(invalid).collect()
    }
}
