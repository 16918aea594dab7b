//! Differences are only applied to the document they were made from.

use dogwoodhill_core::document::Delta;
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{AcceptedDocument, DocumentChange, Update};
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

fn update(news: DocumentChange) -> Update {
    Update {
        revision: 9,
        changes: vec![news],
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
fn take_patch_to_own_document() {
    let mut known = DocumentCache::default();
    known.take(update(whole(3, document(1, "a")))).unwrap();
    let changes = known.take(update(patch(3, 5))).unwrap();
    assert_eq!(*changes.documents[0].document, document(2, "b"));
    assert_eq!(changes.documents[0].revision, 5);
}

#[test]
fn take_patch_to_other_document_refused() {
    let mut known = DocumentCache::default();
    assert_eq!(
        known.take(update(patch(3, 5))),
        None,
        "nothing is known yet"
    );
    known.take(update(whole(4, document(1, "a")))).unwrap();
    assert_eq!(known.take(update(patch(3, 5))), None);
}
