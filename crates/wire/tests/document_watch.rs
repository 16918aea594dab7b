//! A document difference is applied only to the revision it was computed from.

use dogwoodhill_core::document::Delta;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{AcceptedDocument, DocumentChange, DocumentsUpdate};
use dogwoodhill_wire::document_watch::DocumentCache;
use std::sync::Arc;

fn document(version: u64, domain: &str) -> ServiceDocument {
    let text = format!(
        r#"{{ "service": "svc", "version": {version}, "owner": "team", "kind": "plain",
        "workspaces": [ {{ "name": "w" }} ],
        "classes": [ {{ "name": "c", "priority": 0, "target": {{ "finish": "1s" }} }} ],
        "endpoints": [ {{ "name": "e", "agent": "127.0.0.1:1",
          "address": "127.0.0.1:2", "domain": "{domain}" }} ] }}"#
    );
    ServiceDocument::parse("test", &text).unwrap()
}

fn update(change: DocumentChange) -> DocumentsUpdate {
    DocumentsUpdate {
        revision: 9,
        changes: vec![change],
        entries: 1,
    }
}

fn whole(revision: u64, document: ServiceDocument) -> DocumentChange {
    DocumentChange::Whole(AcceptedDocument {
        revision,
        document: Arc::new(document),
    })
}

fn patch(base: u64, revision: u64) -> DocumentChange {
    DocumentChange::Patch {
        base,
        revision,
        delta: Box::new(Delta::between(&document(1, "a"), &document(2, "b"))),
    }
}

#[test]
fn take_patch_of_cached_revision_applied() {
    let mut cache = DocumentCache::default();
    cache.take(update(whole(3, document(1, "a")))).unwrap();
    let changes = cache.take(update(patch(3, 5))).unwrap();
    assert_eq!(*changes.documents[0].document, document(2, "b"));
    assert_eq!(changes.documents[0].revision, 5);
}

#[test]
fn take_patch_of_other_revision_refused() {
    let mut cache = DocumentCache::default();
    assert_eq!(
        cache.take(update(patch(3, 5))),
        None,
        "nothing is cached yet"
    );
    cache.take(update(whole(4, document(1, "a")))).unwrap();
    assert_eq!(cache.take(update(patch(3, 5))), None);
}
