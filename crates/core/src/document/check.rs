//! Validation rules that involve more than one field of a document.

use super::*;
use crate::text::Section;

/// Largest number of classes in a document.
pub const MAX_CLASSES: usize = 64;
/// Largest number of workspaces in a document; a large deployment has 2,100.
pub const MAX_WORKSPACES: usize = 10_000;
/// Largest number of endpoints in a document; a large deployment has 1,200 replicas.
pub const MAX_ENDPOINTS: usize = 10_000;

pub(super) fn document(s: &Section<'_, '_>, doc: &ServiceDocument) {
    counts(s, doc);
    unique(s, "workspaces", doc.workspaces.iter().map(|w| &w.name));
    unique(s, "classes", doc.classes.iter().map(|c| &c.name));
    unique(s, "endpoints", doc.endpoints.iter().map(|e| &e.name));
    classes(s, doc);
    successor(s, doc);
    agents(s, doc);
    workspace_keys(s, doc);
}

fn counts(s: &Section<'_, '_>, doc: &ServiceDocument) {
    let lists = [
        ("workspaces", doc.workspaces.len(), MAX_WORKSPACES),
        ("classes", doc.classes.len(), MAX_CLASSES),
        ("endpoints", doc.endpoints.len(), MAX_ENDPOINTS),
    ];
    for (key, count, most) in lists {
        if count == 0 {
            s.report(key, "is empty", "list at least one");
        }
        if count > most {
            s.report(
                key,
                &format!("has {count} items"),
                &format!("list at most {most}"),
            );
        }
    }
}

fn unique<'n>(s: &Section<'_, '_>, key: &str, names: impl Iterator<Item = &'n String>) {
    let mut sorted: Vec<&String> = names.collect();
    sorted.sort();
    for pair in sorted.windows(2) {
        if pair[0] == pair[1] {
            let problem = format!("names {:?} twice", pair[0]);
            s.report(key, &problem, "give each its own name");
        }
    }
}

fn classes(s: &Section<'_, '_>, doc: &ServiceDocument) {
    for class in &doc.classes {
        target(s, doc.kind, class);
    }
    let default = &doc.default_class;
    if !default.is_empty() && !doc.classes.iter().any(|c| c.name == *default) {
        let problem = format!("names {default:?}, which is no class");
        s.report("default_class", &problem, "name one of the classes");
    }
}

fn target(s: &Section<'_, '_>, kind: Kind, class: &Class) {
    let target = &class.target;
    let name = &class.name;
    let parts = [target.first_token, target.token_gap, target.finish];
    if parts.iter().all(Option::is_none) {
        let problem = format!("of class {name:?} has no target");
        s.report("classes", &problem, "set first_token, token_gap or finish");
    }
    if kind == Kind::Plain && target.token_gap.is_some() {
        let problem = format!("of class {name:?} has a token_gap in a plain service");
        s.report("classes", &problem, "use finish or first_token");
    }
    let longest = target.first_token.max(target.finish);
    if longest > Some(class.timeout) {
        let problem = format!("of class {name:?} has a target beyond its timeout");
        s.report("classes", &problem, "raise timeout or lower the target");
    }
    if target.first_token > target.finish && target.finish.is_some() {
        let problem = format!("of class {name:?} has first_token after finish");
        s.report("classes", &problem, "lower first_token or raise finish");
    }
}

fn successor(s: &Section<'_, '_>, doc: &ServiceDocument) {
    let Some(successor) = &doc.successor else {
        return;
    };
    if doc.state == State::Active {
        let remedy = "set state to retiring or remove successor";
        s.report("successor", "is set on an active service", remedy);
    }
    if *successor == doc.service {
        s.report(
            "successor",
            "names the service itself",
            "name another service",
        );
    }
}

fn agents(s: &Section<'_, '_>, doc: &ServiceDocument) {
    let mut addresses: Vec<SocketAddr> = doc.endpoints.iter().map(|e| e.agent).collect();
    addresses.sort();
    for pair in addresses.windows(2) {
        if pair[0] == pair[1] {
            let problem = format!("use the agent {} twice", pair[0]);
            s.report("endpoints", &problem, "run one agent beside each endpoint");
        }
    }
}

fn workspace_keys(s: &Section<'_, '_>, doc: &ServiceDocument) {
    let all = doc.workspaces.iter().flat_map(|w| w.keys.iter());
    let mut keys: Vec<&KeyHash> = all.collect();
    keys.sort();
    if keys.windows(2).any(|pair| pair[0] == pair[1]) {
        let remedy = "give each workspace its own keys";
        s.report("workspaces", "hold the same key twice", remedy);
    }
}

pub(super) fn rule(s: &Section<'_, '_>, rule: &Rule) {
    if *rule == Rule::default() {
        let remedy = "set method, path or header with value";
        s.report("match", "matches every request", remedy);
    }
    if rule.header.is_some() != rule.value.is_some() {
        s.report("header", "and value go together", "set both or neither");
    }
    if rule
        .path
        .as_ref()
        .is_some_and(|path| !path.starts_with('/'))
    {
        s.report(
            "path",
            "does not start with a slash",
            "write it as \"/...\"",
        );
    }
}
