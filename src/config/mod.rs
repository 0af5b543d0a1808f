//! The operators' configuration: client accounts and templates.
//!
//! It is one document, changed item by item: each item is a key of the
//! store, and the revision of its last change is the item's version. The
//! revision of the whole is the highest of its items'.

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

/// What the keys of the configuration start with.
pub const PREFIX: &str = "/landingvalve/config/";
/// The key that every change of a guarantee goes through, so that two
/// changes cannot each fit and together not.
pub const GUARANTEES_KEY: &str = "/landingvalve/guarantees";
/// The key that every edit writes, so that the revision of the whole grows
/// with an item that goes, too.
pub const LAST_EDIT_KEY: &str = "/landingvalve/config/last";
/// How many earlier edits an item remembers.
const MAX_EDITS_KEPT: usize = 20;

/// The name of an edit, chosen by who makes it.
pub type EditId = String;

/// The parameters of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The shapes that can be had at any moment.
    #[serde(default)]
    pub guarantee: Vec<crate::site::Shape>,
    /// How many accelerators it may use past its guarantee.
    #[serde(default)]
    pub borrow: u32,
    /// The digests of its tokens.
    #[serde(default)]
    pub tokens: Vec<digest::Hex>,
    /// Templates whose jobs may never repeat for this account.
    #[serde(default)]
    pub never_repeat: Vec<job::TemplateId>,
    /// How many requests a second it may make.
    #[serde(default = "default_rate")]
    pub rate: u32,
    /// How many of its callers may wait at once.
    #[serde(default = "default_waiting")]
    pub waiting: u32,
    /// How many of its jobs may be in the queue.
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
    /// Returns what the decision core needs to know of the account.
    pub fn terms(&self) -> account::Account {
        account::Account {
            guarantee: self.guarantee.clone(),
            borrow: self.borrow,
        }
    }
}

/// An edit that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Its name.
    pub edit: EditId,
    /// When it was accepted.
    #[serde(with = "crate::util::time_ms")]
    pub at: SystemTime,
}

/// An item of the configuration as the store holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item<T> {
    /// What it is.
    pub value: T,
    /// The edits that made it so, the last one first.
    pub edits: Vec<Edit>,
}

impl<T> Item<T> {
    /// Returns the item after an edit.
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

/// An item and its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The revision of its last change.
    pub revision: Revision,
    /// The item.
    pub item: Item<T>,
}

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The revision of its last change.
    pub revision: Revision,
    /// The client accounts.
    pub accounts: BTreeMap<account::Id, Versioned<Account>>,
    /// The templates.
    pub templates: BTreeMap<job::TemplateId, Versioned<Template>>,
}

/// Which item of the configuration.
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
    /// Returns the configuration that the store's items make up.
    pub fn from_items(items: &[StoreItem]) -> Document {
        let mut document = Document::default();
        for item in items {
            document.put(item);
        }
        document
    }

    /// Takes in a change.
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
        // An item that does not parse was not written by an edit; what was
        // in force before it stays in force.
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

    /// Returns the client account that a token belongs to.
    pub fn account_of_token(&self, token: &str) -> Option<account::Id> {
        let shown = digest::of(token.as_bytes());
        let mut found = None;
        for (id, account) in &self.accounts {
            let tokens = &account.item.value.tokens;
            if tokens.iter().any(|own| digest::equal(own, &shown)) {
                found = Some(id.clone());
            }
        }
        found
    }
}
