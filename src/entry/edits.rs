//! Operators' edits of the configuration: each changes one item, by
//! compare-and-swap on the store.

use std::time::SystemTime;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::config;
use crate::config::Account;
use crate::config::Document;
use crate::config::EditId;
use crate::config::Item;
use crate::config::ItemId;
use crate::config::Problem;
use crate::config::Template;
use crate::entry::configuration;
use crate::entry::Shared;
use crate::store;
use crate::store::Compare;
use crate::store::Mutation;
use crate::store::Revision;
use crate::store::Swap;

/// The maximum number of attempts at an edit. An attempt is repeated if it
/// lost a race that does not concern its item, or if its answer was lost.
const MAX_ATTEMPTS: usize = 5;

/// The new value of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A client account.
    Account(Account),
    /// A template.
    Template(Template),
    /// No value: the item is deleted.
    Deleted,
}

/// An edit of one item.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The name of the item.
    pub name: ItemId,
    /// The new value of the item.
    pub value: Value,
    /// The revision of the item that the edit is based on; 0 for a new item.
    pub base_revision: Revision,
    /// The identifier of the edit. Applying the same edit again has no further
    /// effect.
    pub id: EditId,
}

/// The reason why an edit was not applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The new value is invalid.
    #[error("the new value of the item is invalid")]
    Invalid(Vec<Problem>),
    /// Another edit has changed the item since the edit's base revision.
    #[error("the item was changed by another edit")]
    Conflict {
        /// The current value of the item; `None` if it does not exist.
        current: Option<serde_json::Value>,
        /// The revision of the item's last change; 0 if it does not exist.
        revision: Revision,
    },
    /// The store does not answer: the edit may or may not have been applied.
    #[error("{0}")]
    Store(#[from] store::Error),
}

/// Returns the problems of an edit; none if it is valid.
pub fn check(
    shared: &Shared,
    document: &Document,
    edit: &Edit,
) -> Vec<Problem> {
    let site = configuration::site(shared);
    match (&edit.name, &edit.value) {
        (ItemId::Account(id), Value::Account(account)) => {
            let mut problems = config::check_account(id, account);
            let others = document
                .accounts
                .iter()
                .filter(|(other, _)| *other != id)
                .map(|(other, versioned)| (other, &versioned.item.value));
            let all = others.chain([(id, account)]);
            problems.extend(config::check_guarantees(&site, all));
            problems
        }
        (ItemId::Template(id), Value::Template(template)) => {
            config::check_template(id, template, &site)
        }
        (_, Value::Deleted) => Vec::new(),
        (_, _) => vec![Problem::new("value", &"another kind", "its kind")],
    }
}

/// Applies an edit and returns the revision at which it was written.
///
/// # Errors
///
/// If the new value is invalid, another edit changed the item, or the store
/// does not answer.
pub async fn apply(shared: &Shared, edit: &Edit) -> Result<Revision, Error> {
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        match try_apply(shared, edit).await {
            Ok(Some(revision)) => return Ok(revision),
            // Another edit changed the guarantees meanwhile: check again.
            Ok(None) => last_error = None,
            // The next attempt finds the edit if it was written.
            Err(Error::Store(error)) => last_error = Some(error),
            Err(error) => return Err(error),
        }
    }
    match last_error {
        Some(error) => Err(Error::Store(error)),
        None => Err(Error::Conflict {
            current: None,
            revision: 0,
        }),
    }
}

async fn try_apply(
    shared: &Shared,
    edit: &Edit,
) -> Result<Option<Revision>, Error> {
    let listing = shared.store.list(config::PREFIX, 0).await?;
    let guarantees = shared.store.get(config::GUARANTEES_KEY).await?;
    let document = Document::from_items(&listing.items);
    let key = edit.name.key();
    let find = |key: &str| listing.items.iter().find(|i| i.key == key);
    let item = find(&key);
    let last_edit = find(config::LAST_EDIT_KEY);
    if let Some(revision) = applied_revision(item, last_edit, edit) {
        return Ok(Some(revision));
    }
    let revision = item.map_or(0, |item| item.modified);
    if revision != edit.base_revision {
        let current =
            item.and_then(|item| serde_json::from_slice(&item.value).ok());
        return Err(Error::Conflict { current, revision });
    }
    let problems = check(shared, &document, edit);
    if !problems.is_empty() {
        return Err(Error::Invalid(problems));
    }
    let mut conditions =
        vec![Compare::Modified(key.clone(), edit.base_revision)];
    let last_edit = edit.id.clone().into_bytes();
    let last_edit =
        Mutation::Value(config::LAST_EDIT_KEY.to_owned(), last_edit, 0);
    let mut puts = vec![item_mutation(key, item, edit), last_edit];
    if matches!(edit.name, ItemId::Account(_)) {
        let modified = guarantees.map_or(0, |item| item.modified);
        let guarantees = config::GUARANTEES_KEY.to_owned();
        conditions.push(Compare::Modified(guarantees.clone(), modified));
        let value = edit.id.clone().into_bytes();
        puts.push(Mutation::Value(guarantees, value, 0));
    }
    match shared.store.swap(&conditions, puts).await? {
        Swap::Written(revision) => Ok(Some(revision)),
        Swap::Refused(_) => Ok(None),
    }
}

/// Returns the revision at which an earlier attempt wrote the edit, if any
/// did.
fn applied_revision(
    item: Option<&store::Item>,
    last_edit: Option<&store::Item>,
    edit: &Edit,
) -> Option<Revision> {
    let Some(item) = item else {
        // A deleted item keeps no list of edits. Its deletion is recognized
        // only as long as it is the last edit of the whole configuration.
        let last_edit = last_edit.filter(|_| edit.value == Value::Deleted)?;
        let is_applied = last_edit.value == edit.id.as_bytes();
        return is_applied.then_some(last_edit.modified);
    };
    let value: Item<serde_json::Value> =
        serde_json::from_slice(&item.value).ok()?;
    let is_applied = value.edits.iter().any(|past| past.edit == edit.id);
    is_applied.then_some(item.modified)
}

fn item_mutation(
    key: String,
    previous: Option<&store::Item>,
    edit: &Edit,
) -> Mutation {
    let time = SystemTime::now();
    let name = edit.id.clone();
    match &edit.value {
        Value::Account(account) => {
            Mutation::Value(key, edited_item(previous, account, name, time), 0)
        }
        Value::Template(template) => Mutation::Value(
            key,
            edited_item(previous, template, name, time),
            0,
        ),
        Value::Deleted => Mutation::Delete(key),
    }
}

fn edited_item<T: Clone + Serialize + DeserializeOwned>(
    previous: Option<&store::Item>,
    value: &T,
    edit: EditId,
    time: SystemTime,
) -> Vec<u8> {
    let previous: Option<Item<T>> = previous
        .and_then(|previous| serde_json::from_slice(&previous.value).ok());
    let item = Item::edited(previous.as_ref(), value.clone(), edit, time);
    serde_json::to_vec(&item).unwrap_or_default()
}
