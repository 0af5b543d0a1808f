//! The operators' configuration: client accounts and templates.
//!
//! A [`Document`] consists of items. Each item is a key of the store, and its
//! version is the store revision of its last change. The revision of the
//! document is the highest revision of any change of it.

mod check;
mod template;

pub use check::check_account;
pub use check::check_guarantees;
pub use check::check_template;
pub use check::is_name;
pub use check::Problem;
pub use template::Parameter;
pub use template::ParameterKind;
pub use template::Template;

use std::collections::BTreeMap;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;

use crate::account;
use crate::job;
use crate::store::Change;
use crate::store::Item as StoreItem;
use crate::store::Revision;
use crate::util::digest;

/// The prefix of the store keys of the configuration.
pub const PREFIX: &str = "/landingvalve/config/";
/// The key that every edit of an account writes, on condition that no other
/// edit did so since it was read. Two concurrent edits whose guarantees fit
/// alone but not together therefore cannot both succeed.
pub const GUARANTEES_KEY: &str = "/landingvalve/guarantees";
/// The key that every edit writes, so that the revision of the document also
/// grows when an edit deletes an item.
pub const LAST_EDIT_KEY: &str = "/landingvalve/config/last";
/// The maximum number of edits that an item keeps.
const MAX_EDITS_KEPT: usize = 20;

/// The name of an edit, chosen by the client that makes it.
pub type EditId = String;

/// The parameters of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The guaranteed shapes: available at any time, all of them together.
    #[serde(default)]
    pub guarantee: Vec<crate::site::Shape>,
    /// The maximum number of accelerators used beyond the guarantee.
    #[serde(default)]
    pub borrow: u32,
    /// The SHA-256 digests of the tokens that authenticate the account.
    #[serde(default)]
    pub tokens: Vec<digest::Hex>,
    /// The templates whose jobs are never started twice for this account.
    #[serde(default)]
    pub never_repeat: Vec<job::TemplateId>,
    /// The maximum number of requests per second.
    #[serde(default = "default_rate")]
    pub rate: u32,
    /// The maximum number of callers that wait for an answer at once.
    #[serde(default = "default_waiting")]
    pub waiting: u32,
    /// The maximum number of queued jobs.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

fn default_rate() -> u32 {
    100
}

fn default_waiting() -> u32 {
    500
}

fn default_queue() -> u32 {
    2000
}

impl Account {
    /// Returns the part of the account that the decision core uses.
    pub fn terms(&self) -> account::Account {
        account::Account {
            guarantee: self.guarantee.clone(),
            borrow: self.borrow,
        }
    }
}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// The name of the edit.
    pub edit: EditId,
    /// When the edit was accepted.
    #[serde(with = "crate::util::time_ms")]
    pub at: SystemTime,
}

/// An item of the configuration as the store holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item<T> {
    /// The account or template.
    pub value: T,
    /// The edits of the item, latest first; only the latest are kept.
    pub edits: Vec<Edit>,
}

impl<T> Item<T> {
    /// Returns the item after an edit to `value`; `old` is the item before.
    pub fn edited(
        old: Option<&Item<T>>,
        value: T,
        edit: EditId,
        at: SystemTime,
    ) -> Item<T> {
        let earlier = old.map(|old| old.edits.clone());
        let mut edits = vec![Edit { edit, at }];
        edits.extend(earlier.unwrap_or_default());
        edits.truncate(MAX_EDITS_KEPT);
        Item { value, edits }
    }
}

/// An item with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The revision of the last change of the item.
    pub revision: Revision,
    /// The item.
    pub item: Item<T>,
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The revision of the last change of the document.
    pub revision: Revision,
    /// The client accounts, by name.
    pub accounts: BTreeMap<account::Id, Versioned<Account>>,
    /// The templates, by name.
    pub templates: BTreeMap<job::TemplateId, Versioned<Template>>,
}

/// The kind and name of an item of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemId {
    /// A client account.
    Account(account::Id),
    /// A template.
    Template(job::TemplateId),
}

impl ItemId {
    /// Returns the key of the item in the store.
    pub fn key(&self) -> String {
        match self {
            ItemId::Account(id) => format!("{PREFIX}account/{id}"),
            ItemId::Template(id) => format!("{PREFIX}template/{id}"),
        }
    }

    fn from_key(key: &str) -> Option<ItemId> {
        match key.strip_prefix(PREFIX)?.split_once('/')? {
            ("account", id) => Some(ItemId::Account(id.into())),
            ("template", id) => Some(ItemId::Template(id.into())),
            _ => None,
        }
    }
}

impl Document {
    /// Builds the configuration from the items of the store.
    pub fn from_items(items: &[StoreItem]) -> Document {
        let mut document = Document::default();
        for item in items {
            document.put(item);
        }
        document
    }

    /// Applies a change of the store.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Put(item) => self.put(item),
            Change::Deleted(key, revision) => {
                self.revision = self.revision.max(*revision);
                match ItemId::from_key(key) {
                    Some(ItemId::Account(id)) => {
                        self.accounts.remove(&id);
                    }
                    Some(ItemId::Template(id)) => {
                        self.templates.remove(&id);
                    }
                    None => {}
                }
            }
        }
    }

    fn put(&mut self, item: &StoreItem) {
        let revision = item.modified;
        self.revision = self.revision.max(revision);
        // A value that does not parse was not written by an edit. The previous
        // version of the item stays in force.
        match ItemId::from_key(&item.key) {
            Some(ItemId::Account(id)) => {
                if let Ok(item) = serde_json::from_slice(&item.value) {
                    let item = Versioned { revision, item };
                    self.accounts.insert(id, item);
                }
            }
            Some(ItemId::Template(id)) => {
                if let Ok(item) = serde_json::from_slice(&item.value) {
                    let item = Versioned { revision, item };
                    self.templates.insert(id, item);
                }
            }
            None => {}
        }
    }

    /// Returns a client account.
    pub fn account(&self, id: &str) -> Option<&Account> {
        self.accounts.get(id).map(|account| &account.item.value)
    }

    /// Returns a template.
    pub fn template(&self, id: &str) -> Option<&Template> {
        self.templates.get(id).map(|template| &template.item.value)
    }

    /// Returns the name of the client account that a token authenticates.
    pub fn account_of_token(&self, token: &str) -> Option<account::Id> {
        let digest_of_token = digest::of(token.as_bytes());
        let mut found = None;
        for (id, account) in &self.accounts {
            let tokens = &account.item.value.tokens;
            if tokens
                .iter()
                .any(|own| digest::equal(own, &digest_of_token))
            {
                found = Some(id.clone());
            }
        }
        found
    }
}
