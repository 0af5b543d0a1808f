//! Small helpers that belong to no part.

pub mod digest;

/// Spans of time in whole milliseconds.
pub mod duration_ms {
    use std::time::Duration;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    /// Writes a span of time.
    pub fn serialize<S: Serializer>(
        value: &Duration,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.serialize_u64(value.as_millis() as u64)
    }

    /// Reads a span of time.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}

/// Points in time in whole milliseconds since 1970.
pub mod time_ms {
    use std::time::Duration;
    use std::time::SystemTime;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    /// Writes a point in time.
    pub fn serialize<S: Serializer>(
        value: &SystemTime,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.serialize_u64(super::unix_millis(*value))
    }

    /// Reads a point in time.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<SystemTime, D::Error> {
        let millis = u64::deserialize(from)?;
        Ok(SystemTime::UNIX_EPOCH + Duration::from_millis(millis))
    }
}

/// Points in time that may be missing.
pub mod option_time_ms {
    use std::time::Duration;
    use std::time::SystemTime;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    /// Writes a point in time, if there is one.
    pub fn serialize<S: Serializer>(
        value: &Option<SystemTime>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        value.map(super::unix_millis).serialize(to)
    }

    /// Reads a point in time, if there is one.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<SystemTime>, D::Error> {
        let millis = Option::<u64>::deserialize(from)?;
        Ok(millis.map(|millis| {
            SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
        }))
    }
}

/// Returns a point in time in milliseconds since 1970.
pub fn unix_millis(time: std::time::SystemTime) -> u64 {
    time.duration_since(std::time::SystemTime::UNIX_EPOCH)
        .map(|since| since.as_millis() as u64)
        .unwrap_or_default()
}
