//! What one version of a document changed in another.
//!
//! A change of a few endpoints or keys must not send thousands of workspaces
//! to every daemon again. A delta names what was put in and what is gone, and
//! `apply` of `between` gives exactly the newer document.

use super::*;

/// An item of a document that is known by its name.
pub trait Named: Clone + PartialEq {
    /// The name, unique in its list.
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

/// Change of one list, sorted by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListDelta<T> {
    /// Items that are new or changed.
    put: Vec<T>,
    /// Names of items that are gone.
    gone: Vec<String>,
}

impl<T: Named> ListDelta<T> {
    fn between(old: &[T], new: &[T]) -> Self {
        let same = |item: &&T| find(old, item.name()) == Some(*item);
        let left = |item: &&T| find(new, item.name()).is_none();
        Self {
            put: new.iter().filter(|item| !same(item)).cloned().collect(),
            gone: old
                .iter()
                .filter(left)
                .map(|item| item.name().to_string())
                .collect(),
        }
    }

    fn apply(&self, old: &[T]) -> Vec<T> {
        let stays = |item: &&T| {
            find(&self.put, item.name()).is_none()
                && self
                    .gone
                    .binary_search_by(|name| name.as_str().cmp(item.name()))
                    .is_err()
        };
        let mut list: Vec<T> = old.iter().filter(stays).cloned().collect();
        list.extend(self.put.iter().cloned());
        list.sort_by(|a, b| a.name().cmp(b.name()));
        list
    }
}

fn find<'l, T: Named>(list: &'l [T], name: &str) -> Option<&'l T> {
    let at = list.binary_search_by(|item| item.name().cmp(name));
    at.ok().map(|at| &list[at])
}

/// Change of a whole document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The newer document with its lists empty.
    rest: ServiceDocument,
    workspaces: ListDelta<Workspace>,
    classes: ListDelta<Class>,
    endpoints: ListDelta<Endpoint>,
}

impl Delta {
    /// What `new` changed in `old`.
    pub fn between(old: &ServiceDocument, new: &ServiceDocument) -> Self {
        Self {
            rest: rest(new),
            workspaces: ListDelta::between(&old.workspaces, &new.workspaces),
            classes: ListDelta::between(&old.classes, &new.classes),
            endpoints: ListDelta::between(&old.endpoints, &new.endpoints),
        }
    }

    /// Service that changed.
    pub fn service(&self) -> &ServiceId {
        &self.rest.service
    }

    /// The newer document, out of the older one.
    pub fn apply(&self, old: &ServiceDocument) -> ServiceDocument {
        ServiceDocument {
            workspaces: self.workspaces.apply(&old.workspaces),
            classes: self.classes.apply(&old.classes),
            endpoints: self.endpoints.apply(&old.endpoints),
            ..self.rest.clone()
        }
    }
}

fn rest(document: &ServiceDocument) -> ServiceDocument {
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
