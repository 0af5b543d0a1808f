//! Helpers for digests, durations and points in time.

pub mod digest;

/// Serializes durations as whole milliseconds.
pub mod duration_ms {
    use std::time::Duration;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    /// Serializes a duration; fractions of a millisecond are dropped.
    pub fn serialize<S: Serializer>(
        value: &Duration,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.serialize_u64(value.as_millis() as u64)
    }

    /// Deserializes a duration.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}

/// Serializes points in time as whole milliseconds since the Unix epoch.
pub mod time_ms {
    use std::time::Duration;
    use std::time::SystemTime;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    /// Serializes a point in time; one before the epoch becomes 0.
    pub fn serialize<S: Serializer>(
        value: &SystemTime,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.serialize_u64(super::unix_millis(*value))
    }

    /// Deserializes a point in time.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<SystemTime, D::Error> {
        let millis = u64::deserialize(from)?;
        Ok(SystemTime::UNIX_EPOCH + Duration::from_millis(millis))
    }
}

/// Serializes optional points in time as whole milliseconds since the Unix
/// epoch.
pub mod option_time_ms {
    use std::time::Duration;
    use std::time::SystemTime;

    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    /// Serializes a point in time, or null.
    pub fn serialize<S: Serializer>(
        value: &Option<SystemTime>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        value.map(super::unix_millis).serialize(to)
    }

    /// Deserializes a point in time, or null.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<SystemTime>, D::Error> {
        let millis = Option::<u64>::deserialize(from)?;
        Ok(millis.map(|millis| {
            SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
        }))
    }
}

/// Returns whole milliseconds since the Unix epoch, 0 for an earlier time.
pub fn unix_millis(time: std::time::SystemTime) -> u64 {
    time.duration_since(std::time::SystemTime::UNIX_EPOCH)
        .map(|since| since.as_millis() as u64)
        .unwrap_or_default()
}
