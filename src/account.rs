//! Client accounts, as the decision core sees them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::site::Shape;

/// The name of a client account.
pub type Id = Arc<str>;

/// The guarantee and the borrowing limit of a client account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The guaranteed shapes: available at any time, all of them together.
    #[serde(default)]
    pub guarantee: Vec<Shape>,
    /// The maximum number of accelerators used beyond the guarantee.
    #[serde(default)]
    pub borrow: u32,
}

impl Account {
    /// Returns the total number of accelerators of the guaranteed shapes.
    pub fn guaranteed(&self) -> u32 {
        self.guarantee.iter().map(|shape| shape.accelerators).sum()
    }
}
