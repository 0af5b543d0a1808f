//! Messages of the JSON gateway of an etcd v3 store.
//!
//! Names and encoding are those of etcd: 64-bit integers are strings, keys
//! and values are in base64, and fields with their default value may be
//! absent.

use serde::Deserialize;
use serde::Serialize;

/// Serializes 64-bit integers as strings.
pub mod int64 {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum StringOrNumber {
        Number(i64),
        Text(String),
    }

    /// Serializes an integer as a string.
    pub fn serialize<S: Serializer>(
        value: &i64,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_str(value)
    }

    /// Deserializes an integer from a JSON string or number.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<i64, D::Error> {
        match StringOrNumber::deserialize(from)? {
            StringOrNumber::Number(value) => Ok(value),
            StringOrNumber::Text(text) => {
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    }
}

/// Serializes bytes as base64 strings.
pub mod base64 {
    use base64::engine::general_purpose::STANDARD;
    use base64::Engine;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    /// Encodes bytes as a base64 string.
    pub fn serialize<S: Serializer>(
        value: &[u8],
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(value))
    }

    /// Decodes bytes from a base64 string.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD.decode(text).map_err(serde::de::Error::custom)
    }
}

/// The header of every response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision when it handled the request.
    #[serde(with = "int64")]
    pub revision: i64,
}

/// A key and its value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    #[serde(with = "base64")]
    pub key: Vec<u8>,
    /// The revision at which the key was created.
    #[serde(with = "int64")]
    pub create_revision: i64,
    /// The revision of the last write to the key.
    #[serde(with = "int64")]
    pub mod_revision: i64,
    /// The number of writes since the key was created.
    #[serde(with = "int64")]
    pub version: i64,
    /// The value.
    #[serde(with = "base64")]
    pub value: Vec<u8>,
    /// The lease that the key is attached to, 0 for none.
    #[serde(with = "int64")]
    pub lease: i64,
}

/// A request to read a range of keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key of the range.
    #[serde(with = "base64")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive; empty to select `key` alone.
    #[serde(with = "base64")]
    pub range_end: Vec<u8>,
    /// The maximum number of keys to return, 0 for no limit.
    #[serde(with = "int64")]
    pub limit: i64,
    /// The revision before which a last write excludes a key.
    #[serde(with = "int64")]
    pub min_mod_revision: i64,
}

/// The response to a [`RangeRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The header.
    pub header: Header,
    /// The keys in the range, up to the limit.
    pub kvs: Vec<KeyValue>,
    /// Whether the range holds more keys than the limit.
    pub more: bool,
}

/// A request to write a key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    #[serde(with = "base64")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(with = "base64")]
    pub value: Vec<u8>,
    /// The lease that the key is attached to, 0 for none.
    #[serde(with = "int64")]
    pub lease: i64,
}

/// The response to a [`PutRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutResponse {
    /// The header.
    pub header: Header,
}

/// A request to delete a range of keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key of the range.
    #[serde(with = "base64")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive; empty to select `key` alone.
    #[serde(with = "base64")]
    pub range_end: Vec<u8>,
}

/// The response to a [`DeleteRangeRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeResponse {
    /// The header.
    pub header: Header,
    /// The number of keys deleted.
    #[serde(with = "int64")]
    pub deleted: i64,
}

/// The property of a key that a [`Compare`] tests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub enum Target {
    /// The number of writes since the key was created.
    #[default]
    #[serde(rename = "VERSION")]
    Version,
    /// The revision at which the key was created.
    #[serde(rename = "CREATE")]
    Create,
    /// The revision of the last write to the key.
    #[serde(rename = "MOD")]
    Mod,
}

/// The relation that a [`Compare`] requires between the key's property and
/// the given value.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub enum Relation {
    /// The property equals the value.
    #[default]
    #[serde(rename = "EQUAL")]
    Equal,
    /// The property is greater than the value.
    #[serde(rename = "GREATER")]
    Greater,
    /// The property is less than the value.
    #[serde(rename = "LESS")]
    Less,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The key.
    #[serde(with = "base64")]
    pub key: Vec<u8>,
    /// The property that is compared.
    pub target: Target,
    /// The required relation.
    pub result: Relation,
    /// The value for target `VERSION`.
    #[serde(with = "int64")]
    pub version: i64,
    /// The value for target `CREATE`.
    #[serde(with = "int64")]
    pub create_revision: i64,
    /// The value for target `MOD`.
    #[serde(with = "int64")]
    pub mod_revision: i64,
}

/// An operation of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RequestOp {
    /// Reads a range of keys.
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    /// Writes a key.
    #[serde(rename = "request_put")]
    Put(PutRequest),
    /// Deletes a range of keys.
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRangeRequest),
}

/// The result of an operation of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ResponseOp {
    /// The result of a read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// The result of a write.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// The result of a delete.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// A transaction: conditions, and the operations that run depending on
/// whether all of them hold.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// The operations to run if all conditions hold.
    pub success: Vec<RequestOp>,
    /// The operations to run if any condition fails.
    pub failure: Vec<RequestOp>,
}

/// The response to a [`TxnRequest`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The header.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The results of the operations, in their order.
    pub responses: Vec<ResponseOp>,
}

/// A request to grant a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// The time to live, in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
    /// The ID of the lease, 0 to let the store choose one.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// A granted lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantResponse {
    /// The header.
    pub header: Header,
    /// The ID of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// The time to live, in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
}

/// A request to renew or revoke a lease.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The ID of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// The response to a renewal. A time to live of 0 means that the lease has
/// expired.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseKeepAlive {
    /// The renewed lease.
    pub result: LeaseGrantResponse,
}

/// A request to watch keys for changes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreate,
}

/// The keys and the start of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key of the range.
    #[serde(with = "base64")]
    pub key: Vec<u8>,
    /// The end of the range, exclusive.
    #[serde(with = "base64")]
    pub range_end: Vec<u8>,
    /// The first revision whose changes are sent.
    #[serde(with = "int64")]
    pub start_revision: i64,
}

/// One line of the response stream of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchLine {
    /// The content of the line.
    pub result: WatchResponse,
}

/// A batch of changes to watched keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The header.
    pub header: Header,
    /// Whether this is the first response of the watch.
    pub created: bool,
    /// Whether the store has canceled the watch.
    pub canceled: bool,
    /// The changes, in the order of their revisions.
    pub events: Vec<WatchEvent>,
}

/// The kind of a change to a key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub enum WatchKind {
    /// The key was written.
    #[default]
    #[serde(rename = "PUT")]
    Put,
    /// The key was deleted.
    #[serde(rename = "DELETE")]
    Delete,
}

/// A change to one key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Whether the key was written or deleted.
    #[serde(rename = "type")]
    pub kind: WatchKind,
    /// The key after the change; a deleted key has no value.
    pub kv: KeyValue,
}
