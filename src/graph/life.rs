//! A life of a worker: its name and its birth.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Separates a worker's name from its birth. Names do not contain this
/// character.
const SEPARATOR: char = ' ';

/// When a worker started, in milliseconds since 1970 on its own clock.
pub type Birth = u64;

/// Identifies one life of a worker by the worker's name and, where the worker
/// reports one, its birth.
///
/// The text form is `NAME BIRTH`, or the name alone. Two lives are equal only
/// if both parts are: a worker that restarts under its name runs nothing, has
/// acknowledged nothing and restarts the numbering of its ends.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Life(Arc<str>);

impl Life {
    /// Returns the life of a worker that reports its birth.
    pub fn new(name: &str, birth: Birth) -> Life {
        Life(format!("{name}{SEPARATOR}{birth}").into())
    }

    /// Returns the worker's name.
    ///
    /// # Examples
    ///
    /// ```
    /// use landingvalve::graph::Life;
    ///
    /// assert_eq!(Life::new("w7", 1768183507960).name(), "w7");
    /// assert_eq!(Life::from("w7").name(), "w7");
    /// ```
    pub fn name(&self) -> &str {
        self.parts().0
    }

    /// Returns the worker's birth, if it is known.
    pub fn birth(&self) -> Option<Birth> {
        self.parts().1
    }

    /// Returns whether both values may identify the same life. Records written
    /// before workers reported births hold the name alone.
    pub fn may_equal(&self, other: &Life) -> bool {
        let both_known = self.birth().is_some() && other.birth().is_some();
        self == other || !both_known && self.name() == other.name()
    }

    /// Returns whether a worker of this name that reports the given birth is
    /// in another life. The births are not compared by age, because the wall
    /// clock may have been set back in between.
    pub fn is_other_life(&self, reported: Option<Birth>) -> bool {
        let births = self.birth().zip(reported);
        births.is_some_and(|(ours, theirs)| ours != theirs)
    }

    fn parts(&self) -> (&str, Option<Birth>) {
        let parts = self.0.rsplit_once(SEPARATOR);
        let parsed = parts.map(|(name, birth)| (name, birth.parse().ok()));
        match parsed {
            Some((name, Some(birth))) => (name, Some(birth)),
            _ => (&self.0, None),
        }
    }
}

impl Deref for Life {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for Life {
    fn from(text: &str) -> Life {
        Life(text.into())
    }
}

impl From<String> for Life {
    fn from(text: String) -> Life {
        Life(text.into())
    }
}
