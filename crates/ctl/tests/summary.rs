//! Counts of a service's and a workspace's requests in logs.

use dogwoodhill_ctl::Exit;
use dogwoodhill_ctl::summary::{Selection, summarize};
use insta::assert_snapshot;

const FIRST_ENTRY: &str = "\
time=5.000 level=warn event=service-short service=voice binding=slots level=0.2
time=6.000 level=info event=request-answered request=r1 service=voice workspace=w1 endpoint=e1 wait_ms=3 status=200 cause=endpoint ms=20
time=6.100 level=info event=request-answered request=r2 service=voice workspace=w1 endpoint=e1 wait_ms=9 status=200 cause=endpoint ms=50
time=6.200 level=warn event=send-failed request=r3 service=voice endpoint=e2 result=refused sends=1
time=6.300 level=info event=request-answered request=r3 service=voice workspace=w2 endpoint=e1 wait_ms=1 status=200 cause=endpoint ms=30
time=6.400 level=warn event=request-refused request=r4 service=voice workspace=w2 endpoint=- wait_ms=0 status=429 cause=over-share ms=4
time=6.500 level=info event=stream-ended request=r3 service=voice workspace=w2 endpoint=e1 status=200 cause=endpoint
";
const SECOND_ENTRY: &str = "\
time=5.500 level=warn event=request-refused request=r5 service=voice workspace=w2 endpoint=e2 wait_ms=x status=503 cause=endpoints-full ms=7
time=5.600 level=info event=request-abandoned request=r6 service=other workspace=w2 endpoint=- wait_ms=0 status=0 cause=caller-gone ms=8
time=5.700 level=warn event=send-failed request=r7 service=voice endpoint=e3 result=timeout
no line of an event
";

fn summary(
    service: &str,
    workspace: &str,
) -> Result<String, dogwoodhill_ctl::CommandError> {
    let logs = [("entry-1", FIRST_ENTRY), ("entry-2", SECOND_ENTRY)];
    let logs = logs.map(|(name, text)| (name.to_string(), text.to_string()));
    let name = |name: &str| (!name.is_empty()).then(|| name.to_string());
    let selection = Selection {
        service: name(service),
        workspace: name(workspace),
    };
    summarize(&selection, &logs)
}

#[test]
fn summary_of_service_counts_workspaces_and_endpoints() {
    assert_snapshot!(summary("voice", "").expect("there are requests"), @r"
    5 requests from 5.500 to 6.400, 1 refused by share
    by outcome status cause:
      answered 200 endpoint: 3, after 30 ms (at most 50), predicted wait 3 ms (at most 9)
      refused 429 over-share: 1, after 4 ms (at most 4), predicted wait 0 ms (at most 0)
      refused 503 endpoints-full: 1, after 7 ms (at most 7)
    by workspace:
      w2: 3, 2 refused, 1 of them by share
      w1: 2, 0 refused, 0 of them by share
    by endpoint:
      e1: 3, 3 answered
      e2: 2, 0 answered, 1 refused
    entry-1: service voice was short of room from 5.000 to the end of the log (event=service-short service=voice binding=slots level=0.2)
    ");
}

#[test]
fn summary_of_workspace_counts_services() {
    assert_snapshot!(summary("", "w2").expect("there are requests"), @r"
    4 requests from 5.500 to 6.400, 1 refused by share
    by outcome status cause:
      abandoned 0 caller-gone: 1, after 8 ms (at most 8), predicted wait 0 ms (at most 0)
      answered 200 endpoint: 1, after 30 ms (at most 30), predicted wait 1 ms (at most 1)
      refused 429 over-share: 1, after 4 ms (at most 4), predicted wait 0 ms (at most 0)
      refused 503 endpoints-full: 1, after 7 ms (at most 7)
    by service:
      voice: 3, 2 refused, 1 of them by share
      other: 1, 0 refused, 0 of them by share
    by endpoint:
      e2: 2, 0 answered, 1 refused
      e1: 1, 1 answered
    entry-1: service voice was short of room from 5.000 to the end of the log (event=service-short service=voice binding=slots level=0.2)
    ");
}

#[test]
fn summary_of_both_is_narrower() {
    let text = summary("other", "w2").expect("there is one request");
    assert!(text.starts_with("1 requests from 5.600 to 5.600, 0 refused by share"));
}

#[test]
fn summary_unknown_name_fails_with_remedy() {
    let error = summary("vioce", "").expect_err("no line");
    assert_eq!(error.exit, Exit::Failed);
    assert!(error.text.contains("log-lines-dropped"));
}
