//! From a request's id to its cause.

use dogwoodhill_ctl::trace::trace;

const ENTRY: &str = "\
time=10.100 level=warn event=send-failed request=r1 service=voice endpoint=e1 result=connection-broke sends=1
time=10.101 level=warn event=request-refused request=r1 route=cue status=502 cause=answer-lost ms=12
time=10.200 level=info event=request-answered request=r11 status=200 cause=endpoint ms=5
";
const OTHER: &str = "\
time=9.900 level=warn event=request-refused request=r1 route=cue status=503 cause=no-routes ms=0
";

fn logs() -> Vec<(String, String)> {
    vec![
        ("entry-1".to_string(), ENTRY.to_string()),
        ("entry-2".to_string(), OTHER.to_string()),
    ]
}

#[test]
fn trace_in_order_with_causes() {
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
fn trace_unknown_id_says_what_to_do() {
    let failure = trace("r2", &logs()).expect_err("no line");
    assert!(failure.text.contains("log-lines-dropped"));
}
