//! Differences between two versions of a document.
//!
//! A change of a few endpoints or keys must not transfer thousands of workspaces to every
//! daemon again. A delta holds the new and changed items and the names of removed ones.
//! Invariant: applying `Delta::between(old, new)` to `old` gives exactly `new`.

use super::*;

/// An item of a document that is identified by its name.
pub trait Named: Clone + PartialEq {
    /// The name, unique within the item's list.
    fn name(&self) -> &str;
}

impl Named for Workspace {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Class {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Endpoint {
    fn name(&self) -> &str {
        &self.name
    }
}

/// Difference between two lists, each sorted by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListDelta<T> {
    /// New and changed items, sorted by name.
    updated: Vec<T>,
    /// Names of removed items, sorted.
    removed: Vec<String>,
}

impl<T: Named> ListDelta<T> {
    fn between(old: &[T], new: &[T]) -> Self {
        let is_unchanged = |item: &&T| find(old, item.name()) == Some(*item);
        let is_removed = |item: &&T| find(new, item.name()).is_none();
        Self {
            updated: new
                .iter()
                .filter(|item| !is_unchanged(item))
                .cloned()
                .collect(),
            removed: old
                .iter()
                .filter(is_removed)
                .map(|item| item.name().to_string())
                .collect(),
        }
    }

    fn apply(&self, old: &[T]) -> Vec<T> {
        let is_kept = |item: &&T| {
            find(&self.updated, item.name()).is_none()
                && self
                    .removed
                    .binary_search_by(|name| name.as_str().cmp(item.name()))
                    .is_err()
        };
        let mut list: Vec<T> = old.iter().filter(is_kept).cloned().collect();
        list.extend(self.updated.iter().cloned());
        list.sort_by(|a, b| a.name().cmp(b.name()));
        list
    }
}

fn find<'l, T: Named>(list: &'l [T], name: &str) -> Option<&'l T> {
    let at = list.binary_search_by(|item| item.name().cmp(name));
    at.ok().map(|at| &list[at])
}

/// Difference between two versions of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The newer document with empty lists.
    scalars: ServiceDocument,
    workspaces: ListDelta<Workspace>,
    classes: ListDelta<Class>,
    endpoints: ListDelta<Endpoint>,
}

impl Delta {
    /// Computes the difference from `old` to `new`.
    pub fn between(old: &ServiceDocument, new: &ServiceDocument) -> Self {
        Self {
            scalars: scalars(new),
            workspaces: ListDelta::between(&old.workspaces, &new.workspaces),
            classes: ListDelta::between(&old.classes, &new.classes),
            endpoints: ListDelta::between(&old.endpoints, &new.endpoints),
        }
    }

    /// Service that the document belongs to.
    pub fn service(&self) -> &ServiceId {
        &self.scalars.service
    }

    /// Reconstructs the newer document from the older one.
    pub fn apply(&self, old: &ServiceDocument) -> ServiceDocument {
        ServiceDocument {
            workspaces: self.workspaces.apply(&old.workspaces),
            classes: self.classes.apply(&old.classes),
            endpoints: self.endpoints.apply(&old.endpoints),
            ..self.scalars.clone()
        }
    }
}

fn scalars(document: &ServiceDocument) -> ServiceDocument {
    ServiceDocument {
        service: document.service.clone(),
        version: document.version,
        owner: document.owner.clone(),
        kind: document.kind,
        state: document.state,
        successor: document.successor.clone(),
        default_class: document.default_class.clone(),
        retention: document.retention,
        workspaces: Vec::new(),
        classes: Vec::new(),
        endpoints: Vec::new(),
    }
}
