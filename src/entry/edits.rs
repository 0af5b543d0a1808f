//! Operators' edits: one item at a time, by compare-and-swap.

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

/// How often an edit is tried again when it lost a race that does not
/// concern its item, or its answer was lost.
const TRIES: usize = 5;

/// What an item is to become.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A client account.
    Account(Account),
    /// A template.
    Template(Template),
    /// Nothing: the item goes.
    Gone,
}

/// An edit of one item.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// Which item.
    pub name: ItemId,
    /// What it is to become.
    pub value: Value,
    /// The revision that it was made on; 0 for a new item.
    pub on: Revision,
    /// The edit's name: made again, it is the same edit.
    pub edit: EditId,
}

/// An edit that was not made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The item is not as it should be.
    #[error("the item is not as it should be")]
    Invalid(Vec<Problem>),
    /// Somebody else has changed the item.
    #[error("the item was changed by another edit")]
    Conflict {
        /// The item as it is now.
        current: Option<serde_json::Value>,
        /// The revision of its last change, 0 if it is not there.
        revision: Revision,
    },
    /// The store does not answer: the edit may or may not be made.
    #[error("{0}")]
    Store(#[from] store::Error),
}

/// Returns what is wrong with an edit.
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
        (_, Value::Gone) => Vec::new(),
        (_, _) => vec![Problem::new("value", &"another kind", "its kind")],
    }
}

/// Makes an edit and returns the revision at which it is made.
///
/// # Errors
///
/// If the item is not as it should be, was changed by another edit, or the
/// store does not answer.
pub async fn make(shared: &Shared, edit: &Edit) -> Result<Revision, Error> {
    let mut last = None;
    for _ in 0..TRIES {
        match attempt(shared, edit).await {
            Ok(Some(revision)) => return Ok(revision),
            // Another guarantee was changed meanwhile: check again.
            Ok(None) => last = None,
            // The next try finds the edit if it was made.
            Err(Error::Store(error)) => last = Some(error),
            Err(error) => return Err(error),
        }
    }
    match last {
        Some(error) => Err(Error::Store(error)),
        None => Err(Error::Conflict {
            current: None,
            revision: 0,
        }),
    }
}

async fn attempt(
    shared: &Shared,
    edit: &Edit,
) -> Result<Option<Revision>, Error> {
    let listing = shared.store.list(config::PREFIX, 0).await?;
    let guarantees = shared.store.get(config::GUARANTEES_KEY).await?;
    let document = Document::from_items(&listing.items);
    let key = edit.name.key();
    let find = |key: &str| listing.items.iter().find(|i| i.key == key);
    let item = find(&key);
    let last = find(config::LAST_EDIT_KEY);
    if let Some(revision) = made(item, last, edit) {
        return Ok(Some(revision));
    }
    let revision = item.map_or(0, |item| item.modified);
    if revision != edit.on {
        let current =
            item.and_then(|item| serde_json::from_slice(&item.value).ok());
        return Err(Error::Conflict { current, revision });
    }
    let problems = check(shared, &document, edit);
    if !problems.is_empty() {
        return Err(Error::Invalid(problems));
    }
    let mut conditions = vec![Compare::Modified(key.clone(), edit.on)];
    let last = edit.edit.clone().into_bytes();
    let last = Mutation::Value(config::LAST_EDIT_KEY.to_owned(), last, 0);
    let mut puts = vec![put(key, item, edit), last];
    if matches!(edit.name, ItemId::Account(_)) {
        let modified = guarantees.map_or(0, |item| item.modified);
        let guarantees = config::GUARANTEES_KEY.to_owned();
        conditions.push(Compare::Modified(guarantees.clone(), modified));
        let value = edit.edit.clone().into_bytes();
        puts.push(Mutation::Value(guarantees, value, 0));
    }
    match shared.store.swap(&conditions, puts).await? {
        Swap::Written(revision) => Ok(Some(revision)),
        Swap::Refused(_) => Ok(None),
    }
}

/// Returns the revision at which an edit was made before, if it was.
fn made(
    item: Option<&store::Item>,
    last: Option<&store::Item>,
    edit: &Edit,
) -> Option<Revision> {
    let Some(item) = item else {
        // Of an item that is gone only the last edit of all can tell.
        let last = last.filter(|_| edit.value == Value::Gone)?;
        let ours = last.value == edit.edit.as_bytes();
        return ours.then_some(last.modified);
    };
    let value: Item<serde_json::Value> =
        serde_json::from_slice(&item.value).ok()?;
    let ours = value.edits.iter().any(|made| made.edit == edit.edit);
    ours.then_some(item.modified)
}

fn put(key: String, old: Option<&store::Item>, edit: &Edit) -> Mutation {
    let at = SystemTime::now();
    let name = edit.edit.clone();
    match &edit.value {
        Value::Account(account) => {
            Mutation::Value(key, edited(old, account, name, at), 0)
        }
        Value::Template(template) => {
            Mutation::Value(key, edited(old, template, name, at), 0)
        }
        Value::Gone => Mutation::Delete(key),
    }
}

fn edited<T: Clone + Serialize + DeserializeOwned>(
    old: Option<&store::Item>,
    value: &T,
    edit: EditId,
    at: SystemTime,
) -> Vec<u8> {
    let old: Option<Item<T>> =
        old.and_then(|old| serde_json::from_slice(&old.value).ok());
    let item = Item::edited(old.as_ref(), value.clone(), edit, at);
    serde_json::to_vec(&item).unwrap_or_default()
}
