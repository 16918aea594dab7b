//! Runs one case: `standins-2 NAME FOLDER`; FOLDER gets `record.txt`.

mod cases;
mod desk;
mod kit;
mod tries;

use kit::Record;
use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_string()));
    let record = Record::create(&folder.join("record.txt"));
    let code = match name.as_str() {
        "unreadable-entry" => cases::unreadable_entry(&record),
        "shrunk-list" => cases::shrunk_list(&record),
        "first-start" => cases::first_start(&record),
        "invalid-config" => cases::invalid_config(&record),
        "many-fields" => cases::many_fields(&record),
        "cut-after-failure" => cases::cut_after_failure(&record),
        "try-faulty-replicas" => tries::faulty_replicas(&record),
        "try-restart-in-place" => tries::restart_in_place(&record),
        "try-many-changes" => tries::many_changes(&record),
        "try-planned-stops" => tries::planned_stops(&record),
        "try-all-at-once" => tries::all_at_once(&record),
        "try-broken-streams" => tries::broken_streams(&record),
        "try-empty-stream" => cases::empty_stream(&record),
        "try-usage-duty" => tries::usage_duty(&record),
        "try-callers-leave" => tries::callers_leave(&record),
        "try-large-bodies" => tries::large_bodies(&record),
        other => kit::cannot_run(&format!("there is no case {other}")),
    };
    std::process::exit(code);
}
