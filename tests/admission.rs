//! Bounds on the requests that a VM works on, under one caller's flood.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use basilbridge::admission::{
    Admission,
    TEAM_LIMIT_DIVISOR,
    Ticket, //
};
use basilbridge_common::{
    error::{
        Kind as ErrorKind,
        Ran, //
    },
    id::Name,
    job::Kind,
    timer,
    unit::Millis,
};

/// A request that waits its turn behind all that were admitted before it.
struct Request {
    team: Name,
    sent: Millis,
    _ticket: Ticket,
}

/// Serves one request each `service`, in their order, for `seconds`; each second the loud team
/// sends a hundred times as many as the quiet one. Returns the longest wait of the quiet team and
/// how many of its requests were refused.
fn longest_quiet_wait(admission: &Admission, service: Duration, seconds: u64) -> (Duration, usize) {
    let clock = timer::Service::manual();
    let (quiet, loud): (Name, Name) = ("quiet".into(), "loud".into());
    let mut queue: VecDeque<Request> = VecDeque::new();
    let (mut longest, mut refused) = (Duration::ZERO, 0);
    let steps = seconds * 1000 / service.as_millis() as u64;
    for step in 0..steps {
        let teams = std::iter::repeat_n(&loud, 5).chain((step % 20 == 0).then_some(&quiet));
        for team in teams {
            match admission.admit(team, 1, Kind::Interactive) {
                Ok(ticket) => queue.push_back(Request {
                    team: team.clone(),
                    sent: clock.now(),
                    _ticket: ticket,
                }),
                Err(_) => refused += usize::from(*team == quiet),
            }
        }
        clock.advance(service);
        let served = queue.pop_front();
        if let Some(request) = served.filter(|request| request.team == quiet) {
            longest = longest.max(clock.now().since(request.sent));
        }
    }
    (longest, refused)
}

#[test]
fn a_caller_with_a_hundred_times_the_load_moves_anothers_wait_by_a_bound_only() {
    let service = Duration::from_millis(10);
    let most = 64;
    // Ahead of a request stand at most the loud team's part and the quiet team's own.
    let bound = service * (most / TEAM_LIMIT_DIVISOR + 2) as u32;

    let (longest, refused) = longest_quiet_wait(&Admission::new(most), service, 60);
    let (unbounded, _) = longest_quiet_wait(&Admission::new(1_000_000), service, 60);

    assert!(longest <= bound, "{longest:?}");
    assert_eq!(refused, 0);
    assert!(unbounded > bound * 10, "{unbounded:?}");
}

#[test]
fn the_least_urgent_work_is_refused_first() {
    let admission = Admission::new(100);
    let mut tickets = Vec::new();
    let mut refused_at = Vec::new();
    for kind in [Kind::Batch, Kind::Gang, Kind::Service, Kind::Interactive] {
        let refused = (0..200).find_map(|team| {
            let team: Name = format!("team-{team}").into();
            match admission.admit(&team, 1, kind) {
                Ok(ticket) => {
                    tickets.push(ticket);
                    None
                }
                Err(_) => Some(tickets.len()),
            }
        });
        refused_at.push(refused.unwrap());
    }

    assert!(refused_at.is_sorted(), "{refused_at:?}");
    assert!(refused_at[0] <= 50 && refused_at[3] > 50, "{refused_at:?}");
    assert!(tickets.len() <= 100);
}

#[test]
fn a_refusal_says_that_nothing_ran_and_when_to_come_back() {
    let admission = Admission::new(2);
    let team: Name = "workshop".into();
    let ticket = admission.admit(&team, 1, Kind::Interactive).unwrap();

    let error = admission.admit(&team, 1, Kind::Interactive).unwrap_err();
    drop(ticket);

    assert_eq!(error.kind, ErrorKind::Overloaded);
    assert_eq!(error.kind.properties().ran, Ran::No);
    assert!(error.retry_after.is_some_and(|wait| !wait.is_zero()));
    assert_eq!(admission.in_flight(), 0);
    assert!(admission.admit(&team, 1, Kind::Interactive).is_ok());
}
