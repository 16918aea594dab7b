//! The command-line tools for operators, `dogwoodhill-ctl` and the report, against a
//! running deployment.

use crate::support::{TempFolder, TestDeployment, chat_body};
use dogwoodhill::ctl::{CommandError, Exit, arguments, commands};
use dogwoodhill::local::OPERATOR_KEY;
use dogwoodhill::report::program::collect;
use std::path::PathBuf;

/// Runs `dogwoodhill-ctl` with a settings file for one deployment.
struct CtlRunner {
    folder: TempFolder,
    settings_path: PathBuf,
}

impl CtlRunner {
    fn new(deployment: &TestDeployment) -> Self {
        let folder = TempFolder::new();
        std::fs::create_dir_all(&folder.0).unwrap();
        let key_path = folder.0.join("key");
        std::fs::write(&key_path, OPERATOR_KEY).unwrap();
        let settings_path = folder.0.join("ctl.jsonc");
        let text = format!(
            r#"{{ "control": ["{}"], "key_file": "{}" }}"#,
            deployment.local.operator_address,
            key_path.display()
        );
        std::fs::write(&settings_path, text).unwrap();
        Self {
            folder,
            settings_path,
        }
    }

    fn write_document(&self, text: &str) -> String {
        let path = self.folder.0.join("document.jsonc");
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    async fn run(&self, args: &[&str]) -> Result<String, CommandError> {
        let settings = self.settings_path.display().to_string();
        let mut command_line = vec!["dogwoodhill-ctl", "--settings", &settings];
        command_line.extend(args);
        let matches = arguments::command().get_matches_from(command_line);
        commands::run(&matches).await
    }
}

#[tokio::test]
async fn ctl_applies_document() {
    let deployment = TestDeployment::start().await;
    let ctl = CtlRunner::new(&deployment);
    let first = ctl.run(&["get", "chat"]).await.unwrap();
    let updated = first.replace("\"version\": 1", "\"version\": 2");
    let path = ctl.write_document(&updated);
    let diff = ctl.run(&["apply", "--dry-run", &path]).await.unwrap();
    assert!(diff.contains("-  \"version\": 1"), "{diff}");
    assert!(diff.contains("+  \"version\": 2"), "{diff}");
    let applied = ctl.run(&["apply", &path]).await.unwrap();
    assert!(
        applied.starts_with("chat version 2 is in force at revision "),
        "{applied}"
    );
    assert_eq!(
        ctl.run(&["apply", &path]).await.unwrap(),
        applied,
        "a resend gives the same result"
    );
    let history = ctl.run(&["history", "chat"]).await.unwrap();
    assert_eq!(history.lines().count(), 3, "{history}");
    let status = ctl.run(&["status"]).await.unwrap();
    assert!(status.contains("service chat version 2"), "{status}");
    deployment.stop().await;
}

#[tokio::test]
async fn ctl_exit_codes_distinguish_failures() {
    let deployment = TestDeployment::start().await;
    let ctl = CtlRunner::new(&deployment);
    let first = ctl.run(&["get", "chat"]).await.unwrap();
    let competing = ctl.write_document(&first.replace("0.95", "0.9"));
    let conflict = ctl.run(&["apply", &competing]).await.unwrap_err();
    assert_eq!(conflict.exit, Exit::Conflict, "{conflict}");
    let foreign_team = ctl.write_document(
        &first
            .replace("\"chat\"", "\"new\"")
            .replace("sample-team", "x"),
    );
    let forbidden = ctl.run(&["apply", &foreign_team]).await.unwrap_err();
    assert_eq!(forbidden.exit, Exit::Forbidden, "{forbidden}");
    let invalid = ctl.write_document("{}");
    let failure = ctl.run(&["check", &invalid]).await.unwrap_err();
    assert_eq!(failure.exit, Exit::InvalidInput);
    assert!(failure.text.contains("service: is missing"), "{failure}");
    deployment.stop().await;
}

#[tokio::test]
async fn report_counts_answered_requests() {
    let deployment = TestDeployment::start().await;
    for _ in 0..3 {
        let class = [("x-service-class", "standard")];
        let response = deployment.chat(&class, &chat_body("x", 4, true)).await;
        assert_eq!(response.status(), 200);
    }
    let unused_address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let report = collect(&[deployment.local.caller_address, unused_address]).await;
    assert_eq!(report.unread, [unused_address.to_string()]);
    let row = report
        .rows
        .iter()
        .find(|row| row.class == "standard")
        .unwrap();
    assert_eq!(row.total.counts.eligible(), 3);
    assert_eq!(row.total.counts.tokens, 12);
    deployment.stop().await;
}
