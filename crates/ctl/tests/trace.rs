//! Log lines and causes that `trace` collects for a request id.

use dogwoodhill_ctl::trace::trace;

const FIRST_ENTRY: &str = "\
time=10.100 level=warn event=send-failed request=r1 service=voice endpoint=e1 result=connection-broke sends=1
time=10.101 level=warn event=request-refused request=r1 route=cue status=502 cause=answer-lost ms=12
time=10.200 level=info event=request-answered request=r11 status=200 cause=endpoint ms=5
";
const SECOND_ENTRY: &str = "\
time=9.900 level=warn event=request-refused request=r1 route=cue status=503 cause=no-routes ms=0
";

fn logs() -> Vec<(String, String)> {
    vec![
        ("entry-1".to_string(), FIRST_ENTRY.to_string()),
        ("entry-2".to_string(), SECOND_ENTRY.to_string()),
    ]
}

#[test]
fn trace_sorts_lines_and_explains_causes() {
    let text = trace("r1", &logs()).expect("there are lines");
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].starts_with("entry-2: time=9.900"));
    assert!(lines[2].starts_with("entry-1: time=10.101"));
    assert!(!text.contains("r11"), "only lines of this very request");
    for cause in ["no-routes: ", "answer-lost: ", "connection-broke: "] {
        assert!(lines.iter().any(|line| line.starts_with(cause)), "{cause}");
    }
}

#[test]
fn trace_unknown_id_fails_with_remedy() {
    let error = trace("r2", &logs()).expect_err("no line");
    assert!(error.text.contains("log-lines-dropped"));
}

/// A request sent to an endpoint that was leaving: the trace has the last list that its
/// entry had adopted by then and the line about the endpoint's leaving, but no lines of
/// other endpoints or entries.
#[test]
fn trace_includes_endpoint_state_of_same_process() {
    let entry = "\
time=1.000 level=info event=list-taken mark=0a before=00 by=others endpoints=3 age_ms=90 took_ms=4
time=2.000 level=info event=list-taken mark=0b before=0a by=itself endpoints=3 age_ms=30 took_ms=9
time=5.500 level=info event=request-answered request=r1 endpoint=e1 list_ms=3530 status=200
time=6.000 level=info event=list-taken mark=0c before=0b by=itself endpoints=3 age_ms=40 took_ms=9
time=6.000 level=info event=endpoint-leaving endpoint=e1 service=voice
time=6.000 level=info event=endpoint-leaving endpoint=e2 service=voice
";
    let other =
        "time=2.100 level=info event=endpoint-leaving endpoint=e1 service=voice\n";
    let logs = [("entry-1", entry), ("entry-2", other)];
    let logs = logs.map(|(name, text)| (name.to_string(), text.to_string()));
    let text = trace("r1", &logs).expect("there are lines");
    let times: Vec<&str> = text.lines().map(|line| &line[..19]).collect();
    let expected = ["2.000", "5.500", "6.000"].map(|at| format!("entry-1: time={at}"));
    assert_eq!(times, expected);
    assert!(text.contains("endpoint-leaving endpoint=e1") && !text.contains("e2"));
}

/// A refusal by share comes with the spans around it in which processes treated its
/// service differently. Other services, spans that had ended long before, and state from
/// before a restart are left out.
#[test]
fn trace_refusal_has_spans_of_its_service() {
    let entry = "\
time=1.000 level=warn event=service-short service=voice binding=prefill level=0.4
time=2.000 level=info event=service-has-room service=voice
time=3.000 level=warn event=lending-begun service=voice
time=4.000 level=info event=entry-started
time=8.000 level=warn event=service-short service=voice binding=slots level=0.2
time=8.500 level=warn event=service-short service=voice binding=slots level=0.3
time=9.000 level=warn event=service-short service=other binding=slots level=0.9
time=9.500 level=warn event=request-refused request=r1 service=voice workspace=w1 status=429 cause=over-share ms=2
time=12.000 level=info event=service-has-room service=voice
";
    let control = "\
time=9.900 level=info event=pace-steady service=voice
time=11.000 level=warn event=pace-varies service=voice
";
    let logs = [("entry-1", entry), ("control-1", control)];
    let logs = logs.map(|(name, text)| (name.to_string(), text.to_string()));
    let text = trace("r1", &logs).expect("there are lines");
    let lines: Vec<&str> = text.lines().skip(1).collect();
    let expected = [
        "entry-1: service voice was short of room from 8.000 to 12.000 \
         (event=service-short service=voice binding=slots level=0.2)",
        "control-1: service voice was of varying pace from before the log to 9.900 \
         (event=pace-steady service=voice)",
    ];
    assert_eq!(lines[..2], expected);
    assert!(lines[2].starts_with("over-share: ") && lines.len() == 3);
}

/// A request that was answered is not explained by the state of its service.
#[test]
fn trace_answered_request_has_no_spans() {
    let entry = "\
time=1.000 level=warn event=service-short service=voice
time=2.000 level=info event=request-answered request=r1 service=voice status=200
";
    let logs = [("entry-1".to_string(), entry.to_string())];
    let text = trace("r1", &logs).expect("there are lines");
    assert_eq!(text.lines().count(), 1);
}

/// A request refused for the share of its workspace: the trace explains it, with the last
/// level of its entry and the shortage as control saw it, but no other service.
#[test]
fn trace_explains_refusal_by_share() {
    let entry = "\
time=1.000 level=info event=share-level service=voice level=0.1 above=1 by=own
time=2.000 level=info event=share-level service=voice level=0.5 above=1 by=control
time=2.500 level=info event=share-level service=chat level=0.7 above=1 by=control
time=3.000 level=info event=share-refused request=r1 service=voice workspace=00ab share=0.5 asked=4.0
time=3.000 level=warn event=request-refused request=r1 service=voice workspace=acme status=429 cause=over-share
";
    let control = "\
time=1.900 level=info event=service-short service=voice binds=prefill level=0.5 above=1 workspaces=00ab
time=9.000 level=info event=service-short service=voice binds=slots level=0.9 above=0 workspaces=
";
    let logs = [("control", control), ("entry", entry)];
    let logs = logs.map(|(name, text)| (name.to_string(), text.to_string()));
    let text = trace("r1", &logs).expect("there are lines");
    let times: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split("time=").nth(1))
        .collect();
    let times: Vec<&str> = times.iter().map(|line| &line[..5]).collect();
    assert_eq!(times, ["1.900", "2.000", "3.000", "3.000"]);
    assert!(text.contains("workspace=acme") && text.contains("share=0.5"));
    assert!(text.lines().any(|line| line.starts_with("over-share: ")));
}
