//! Which requests are the cause of crashes.
//!
//! A request is if two of its trials ended with the endpoint: one may end for another reason.
//! It takes no trial if nothing else can be the cause: the request was lost in all crashes
//! since its first, and no other request was, nor a part of other prompts.

use super::crash::Crash;
use super::suspect::{Kind, Suspect};
use super::{QUARANTINE_CRASHES, QUARANTINE_TRIALS, REPORT_TIME};
use dogwoodhill_core::prelude::*;

/// Number of requests that were lost in all but one of another's crashes, from which one of
/// them is expected in the last one by chance: one in eight endpoints crashes with it.
const CROWD: usize = 8;

/// Whether a request is to be quarantined.
pub(super) fn is_convicted(
    now: Duration,
    suspects: &[Suspect],
    suspect: &Suspect,
) -> bool {
    if suspect.kind != Kind::Request || suspect.until.is_some() {
        return false;
    }
    suspect.trials().count() >= QUARANTINE_TRIALS
        || suspect.crashes.len() >= QUARANTINE_CRASHES
            && suspect.status(now).crashes >= QUARANTINE_CRASHES
            && !awaits_reports(now, suspect)
            && explains_all(suspects, suspect)
            && !is_ambiguous(suspects, suspect)
}

/// Whether a request may be found as soon as all entries have reported what they lost in its
/// newest crash.
pub(super) fn awaits_reports(now: Duration, suspect: &Suspect) -> bool {
    let enough = suspect.crashes.len() >= QUARANTINE_CRASHES;
    let newest = suspect.crashes.last().filter(|_| enough);
    newest.is_some_and(|crash| now.saturating_sub(crash.at) < REPORT_TIME)
}

/// Whether a request was lost in all crashes since its first.
fn explains_all(suspects: &[Suspect], suspect: &Suspect) -> bool {
    let Some(first) = suspect.crashes.first() else {
        return false;
    };
    let is_explained = |crash: &Crash| crash.at < first.at || suspect.ran_on(&crash.run);
    let mut crashes = suspects.iter().flat_map(|other| &other.crashes);
    crashes.all(is_explained)
}

/// Whether another suspect may be the cause of all crashes of a request: one that was lost in
/// all of them, or one of many that were lost in all but one of few, of which one is
/// expected in the last by chance. Its own parts and parts that are often served are none.
fn is_ambiguous(suspects: &[Suspect], suspect: &Suspect) -> bool {
    let others = suspects.iter().filter(|other| {
        other.request != suspect.request
            && !other.is_doubtful()
            && !suspect.has_part(other.request)
    });
    let mut near = 0;
    for other in others {
        let crashes = suspect.crashes.iter();
        let missing = crashes.filter(|one| !other.ran_on(&one.run));
        match missing.take(2).count() {
            0 => return true,
            1 if other.kind == Kind::Request => near += 1,
            _ => {}
        }
    }
    suspect.crashes.len() <= QUARANTINE_CRASHES && near >= CROWD
}
