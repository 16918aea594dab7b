//! The operator's command line and the report, against a running deployment.

use crate::support::{Folder, Running, chat};
use dogwoodhill::ctl::{CommandError, Exit, arguments, commands};
use dogwoodhill::local::OPERATOR_KEY;
use dogwoodhill::report::program::collect;
use std::path::PathBuf;

/// The command line with settings for one deployment.
struct Terminal {
    folder: Folder,
    settings: PathBuf,
}

impl Terminal {
    fn new(running: &Running) -> Self {
        let folder = Folder::new();
        std::fs::create_dir_all(&folder.0).unwrap();
        let key = folder.0.join("key");
        std::fs::write(&key, OPERATOR_KEY).unwrap();
        let settings = folder.0.join("ctl.jsonc");
        let text = format!(
            r#"{{ "control": ["{}"], "key_file": "{}" }}"#,
            running.local.operator_address,
            key.display()
        );
        std::fs::write(&settings, text).unwrap();
        Self { folder, settings }
    }

    fn write(&self, text: &str) -> String {
        let path = self.folder.0.join("document.jsonc");
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    async fn run(&self, words: &[&str]) -> Result<String, CommandError> {
        let settings = self.settings.display().to_string();
        let mut line = vec!["dogwoodhill-ctl", "--settings", &settings];
        line.extend(words);
        let matches = arguments::command().get_matches_from(line);
        commands::run(&matches).await
    }
}

#[tokio::test]
async fn ctl_changes_a_service() {
    let running = Running::start().await;
    let terminal = Terminal::new(&running);
    let first = terminal.run(&["get", "chat"]).await.unwrap();
    let second = first.replace("\"version\": 1", "\"version\": 2");
    let path = terminal.write(&second);
    let dry = terminal.run(&["apply", "--dry-run", &path]).await.unwrap();
    assert!(dry.contains("-  \"version\": 1"), "{dry}");
    assert!(dry.contains("+  \"version\": 2"), "{dry}");
    let done = terminal.run(&["apply", &path]).await.unwrap();
    assert!(
        done.starts_with("chat version 2 is in force at revision "),
        "{done}"
    );
    assert_eq!(
        terminal.run(&["apply", &path]).await.unwrap(),
        done,
        "a resend"
    );
    let history = terminal.run(&["history", "chat"]).await.unwrap();
    assert_eq!(history.lines().count(), 3, "{history}");
    let status = terminal.run(&["status"]).await.unwrap();
    assert!(status.contains("service chat version 2"), "{status}");
    running.stop().await;
}

#[tokio::test]
async fn ctl_exit_codes_tell_why() {
    let running = Running::start().await;
    let terminal = Terminal::new(&running);
    let first = terminal.run(&["get", "chat"]).await.unwrap();
    let other = terminal.write(&first.replace("0.95", "0.9"));
    let conflict = terminal.run(&["apply", &other]).await.unwrap_err();
    assert_eq!(conflict.exit, Exit::Conflict, "{conflict}");
    let foreign = terminal.write(
        &first
            .replace("\"chat\"", "\"new\"")
            .replace("sample-team", "x"),
    );
    let forbidden = terminal.run(&["apply", &foreign]).await.unwrap_err();
    assert_eq!(forbidden.exit, Exit::Forbidden, "{forbidden}");
    let faulty = terminal.write("{}");
    let failure = terminal.run(&["check", &faulty]).await.unwrap_err();
    assert_eq!(failure.exit, Exit::InvalidInput);
    assert!(failure.text.contains("service: is missing"), "{failure}");
    running.stop().await;
}

#[tokio::test]
async fn report_counts_what_was_answered() {
    let running = Running::start().await;
    for _ in 0..3 {
        let class = [("x-service-class", "standard")];
        let got = running.chat(&class, &chat("x", 4, true)).await;
        assert_eq!(got.status(), 200);
    }
    let nobody = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let burn = collect(&[running.local.caller_address, nobody]).await;
    assert_eq!(burn.unread, [nobody.to_string()]);
    let row = burn
        .rows
        .iter()
        .find(|row| row.class == "standard")
        .unwrap();
    assert_eq!(row.total.counts.eligible(), 3);
    assert_eq!(row.total.counts.tokens, 12);
    running.stop().await;
}
