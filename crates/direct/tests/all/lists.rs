//! Which read of the list an entry goes by, without sockets.

use dogwoodhill_core::prelude::*;
use dogwoodhill_direct::dialect::{Listed, Prompt};
use dogwoodhill_direct::directory::{Directory, Lane, Want};
use dogwoodhill_direct::lists::Lists;
use dogwoodhill_wire::demand::Totals;
use dogwoodhill_wire::list::ListRead;
use proptest::prelude::*;
use std::time::Instant;

fn listed(id: usize, leaving: bool) -> Listed {
    Listed {
        id: format!("i-{id}"),
        service: "voice".to_string(),
        address: ([127, 0, 0, 1], 1_000 + id as u16).into(),
        domain: "here".to_string(),
        slots: 64,
        leaving,
    }
}

fn news(mark: u64, age: Duration, endpoints: Option<Vec<Listed>>) -> Totals {
    Totals {
        list: Some(ListRead {
            mark,
            age,
            endpoints,
        }),
        ..Totals::default()
    }
}

fn usable(directory: &Directory) -> Vec<String> {
    let all = directory.all();
    let usable = all.iter().filter(|endpoint| !endpoint.leaving());
    usable.map(|endpoint| endpoint.id.clone()).collect()
}

/// An own read is told with its content until control has it.
#[test]
fn told_content_once() {
    let (lists, directory) = (Lists::default(), Directory::new("here".to_string()));
    lists.read(&directory, Instant::now(), vec![listed(1, false)]);
    let (held, told) = lists.told();
    let told = told.expect("it read");
    assert_eq!(told.mark, held);
    assert_eq!(told.endpoints.expect("control has nothing").len(), 1);
    let mut totals = news(held, Duration::ZERO, None);
    lists.heard(&directory, Instant::now(), &mut totals);
    let (_, told) = lists.told();
    assert_eq!(told.expect("it read").endpoints, None);
}

/// What others read counts where it is newer than what the entry knows, and a
/// read from before the entry's start never does.
#[test]
fn heard_newer_read_replaces() {
    let (lists, directory) = (Lists::default(), Directory::new("here".to_string()));
    lists.read(&directory, Instant::now(), vec![listed(1, false)]);
    let older = Duration::from_secs(3_600);
    let both = vec![listed(1, false), listed(2, false)];
    let mut totals = news(5, older, Some(both.clone()));
    lists.heard(&directory, Instant::now(), &mut totals);
    assert_eq!(usable(&directory), ["i-1"]);
    let mut totals = news(5, Duration::ZERO, Some(both));
    lists.heard(&directory, Instant::now(), &mut totals);
    assert_eq!(usable(&directory), ["i-1", "i-2"]);
    let mut totals = news(6, Duration::ZERO, None);
    lists.heard(&directory, Instant::now(), &mut totals);
    assert_eq!(usable(&directory), ["i-1", "i-2"], "no content, no change");
}

proptest! {
    /// Whatever order reads come in, also in one that should be impossible: an
    /// endpoint that was once seen leaving gets nothing more under its identity, as
    /// long as it is listed.
    #[test]
    fn leaving_endpoint_never_comes_back(
        lists in proptest::collection::vec(
            proptest::collection::vec(any::<bool>(), 4),
            1..20,
        ),
    ) {
        let directory = Directory::new("here".to_string());
        let mut left = [false; 4];
        for leaving in lists {
            let list = leaving.iter().enumerate();
            directory.update(list.map(|(id, leaving)| listed(id, *leaving)).collect());
            for (left, leaving) in left.iter_mut().zip(&leaving) {
                *left |= leaving;
            }
            let prompt = Prompt::default();
            let want = Want {
                service: "voice",
                prompt: &prompt,
                lane: Lane::Other,
                background: false,
                mixed: false,
                tried: &[],
            };
            match directory.place(&want) {
                Some(placed) => {
                    let id: usize = placed.endpoint.id[2..].parse().unwrap();
                    prop_assert!(!left[id]);
                }
                None => prop_assert!(left.iter().all(|left| *left)),
            }
        }
    }
}
