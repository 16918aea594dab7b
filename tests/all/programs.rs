//! Help texts, diagnostics of settings and documents, and the validity of the example
//! files.

use dogwoodhill::agent::Settings as AgentSettings;
use dogwoodhill::control::Settings as ControlSettings;
use dogwoodhill::core::document::ServiceDocument;
use dogwoodhill::entry::Settings as EntrySettings;
use dogwoodhill::load::scenario::Suite;
use std::path::PathBuf;

fn read_example(path: &str) -> String {
    let full_path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(path);
    std::fs::read_to_string(full_path).unwrap()
}

#[test]
fn ctl_help() {
    let help = dogwoodhill::ctl::arguments::command().render_long_help();
    insta::assert_snapshot!(help.to_string());
}

#[test]
fn load_help() {
    let help = dogwoodhill::load::arguments::command().render_long_help();
    insta::assert_snapshot!(help.to_string());
}

#[test]
fn daemon_help() {
    let mut command =
        dogwoodhill::daemon::run::command("dogwoodhill-entry", "Takes calls");
    insta::assert_snapshot!(command.render_long_help().to_string());
}

#[test]
fn examples_are_valid() {
    for number in 1..=3 {
        let name = format!("loopback/control-{number}.jsonc");
        ControlSettings::parse(&name, &read_example(&name)).unwrap();
    }
    for number in 1..=2 {
        let name = format!("loopback/entry-{number}.jsonc");
        EntrySettings::parse(&name, &read_example(&name)).unwrap();
    }
    for name in ["chat-1", "chat-2", "lookup-1"] {
        let name = format!("loopback/agent-{name}.jsonc");
        AgentSettings::parse(&name, &read_example(&name)).unwrap();
    }
    for name in ["chat", "lookup"] {
        let name = format!("loopback/{name}.jsonc");
        ServiceDocument::parse(&name, &read_example(&name)).unwrap();
    }
    for name in ["narration", "booking"] {
        let name = format!("scenarios/{name}.jsonc");
        Suite::parse(&name, &read_example(&name)).unwrap();
    }
}

#[test]
fn settings_diagnostics_listed_together() {
    let text = r#"{
  "name": "entry one",
  "listen": "localhost:80",
  "control": ["127.0.0.1:7001", "here"],
  "max_body": 3,
  "placement": "best",
  "colour": "blue",
  "linger": "soon"
}"#;
    let diagnostics = EntrySettings::parse("entry.jsonc", text).unwrap_err();
    insta::assert_snapshot!(diagnostics.to_string());
}

#[test]
fn document_diagnostics_listed_together() {
    let text = r#"{
  "service": "chat", "version": 0, "owner": "team", "kind": "plain",
  "workspaces": [ { "name": "a", "weight": 0 }, { "name": "a" } ],
  "classes": [
    { "name": "none", "priority": 0 },
    { "name": "never", "priority": 9, "timeout": "1s", "target": { "finish": "5s" } },
    { "name": "gap", "priority": 1, "target": { "token_gap": "40ms" } }
  ],
  "endpoints": [
    { "name": "one", "agent": "127.0.0.1:1", "address": "127.0.0.1:2", "domain": "d" },
    { "name": "one", "agent": "127.0.0.1:1", "address": "127.0.0.1:3", "domain": "d" }
  ]
}"#;
    let diagnostics = ServiceDocument::parse("chat.jsonc", text).unwrap_err();
    insta::assert_snapshot!(diagnostics.to_string());
}

#[test]
fn settings_syntax_error_names_line() {
    let diagnostics =
        EntrySettings::parse("entry.jsonc", "{\n  \"name\" \"x\"\n}").unwrap_err();
    insta::assert_snapshot!(diagnostics.to_string());
}
