//! A change of the configuration comes into force on all entry VMs within seconds, and no VM
//! returns to an older version.

use std::{
    collections::BTreeSet,
    sync::atomic::Ordering,
    time::Duration, //
};

use crate::cell::{
    Fault,
    IN_FORCE_LIMIT,
    POLL,
    create_workshop,
    edit,
    give_key,
    set_team,
    start_cell,
    withdraw_key, //
};
use basilbridge::{
    active_configuration::{
        MAX_AGE,
        MAX_READ_AGE,
        Suspension, //
    },
    audit,
};
use basilbridge_common::{
    error::Kind,
    id::{
        Name,
        Version, //
    },
};
use basilbridge_operators::{
    change::{
        Operation,
        Replacement, //
    },
    configuration::TeamSettings,
};
use basilbridge_platform::table::{
    Put,
    Transaction, //
};
use basilbridge_standins::store::FaultSettings;
use futures_util::future;

/// Maximum time that a change and the next polls take once a VM has become unresponsive.
const MAX_FENCING_TIME: Duration = Duration::from_millis(6500);

/// Returns the faults of a running VM without the store and without its peers.
fn cut_off() -> Fault {
    Fault {
        no_store: true,
        no_peers: true,
        paused: false,
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_once_every_vm_acts_on_it() {
    let cell = start_cell(9).await;
    let before = cell.timer.now();

    let accepted = cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();

    assert!(accepted.in_force);
    assert_eq!(accepted.missing.len(), 0);
    assert!(cell.timer.now().since(before) < POLL);
    assert_eq!(cell.versions(), vec![accepted.version; 9]);
    assert!(cell.vms.iter().all(|vm| vm.authenticate("k").is_ok()));
}

#[tokio::test(start_paused = true)]
async fn a_vm_that_misses_a_message_gets_the_change_at_its_poll() {
    let cell = start_cell(3).await;
    let no_peers = Fault {
        no_peers: true,
        ..Fault::default()
    };
    cell.vms[2].fault.send_replace(no_peers);
    let before = cell.timer.now();

    let accepted = cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();

    assert!(accepted.in_force);
    assert!(cell.timer.now().since(before) <= 3 * POLL);
    assert!(cell.vms[2].authenticate("k").is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_change_is_pending_and_names_the_vm_that_is_missing() {
    let cell = start_cell(3).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    cell.vms[2].fault.send_replace(cut_off());

    let version = cell.vms[0]
        .committer
        .commit(edit("withdrawn", vec![withdraw_key("workshop", "k")]))
        .await
        .unwrap();
    let soon = cell.vms[0]
        .tracker
        .wait_until_in_force(version, &cell.timer, 2 * POLL)
        .await;

    assert!(!soon.in_force);
    assert_eq!(soon.missing, ["entry-2".into()]);
}

#[tokio::test(start_paused = true)]
async fn a_withdrawn_key_stops_within_seconds_on_a_vm_that_is_cut_off() {
    let cell = start_cell(3).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    cell.vms[2].fault.send_replace(cut_off());
    let before = cell.timer.now();

    let accepted = cell.vms[0]
        .commit_and_wait(edit("withdrawn", vec![withdraw_key("workshop", "k")]))
        .await
        .unwrap();

    assert!(accepted.in_force);
    assert!(cell.timer.now().since(before) <= IN_FORCE_LIMIT);
    let refusals: Vec<_> = cell.vms.iter().map(|vm| vm.authenticate("k")).collect();
    let kinds: Vec<_> = refusals
        .into_iter()
        .map(|result| result.unwrap_err().kind)
        .collect();
    let expected = [
        Kind::Unauthorized,
        Kind::Unauthorized,
        Kind::StaleConfiguration,
    ];
    assert_eq!(kinds, expected);
}

#[tokio::test(start_paused = true)]
async fn a_vm_without_the_store_learns_a_withdrawal_from_its_peers() {
    let cell = start_cell(3).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    let no_store = Fault {
        no_store: true,
        ..Fault::default()
    };
    cell.vms[2].fault.send_replace(no_store);
    cell.wait(2 * MAX_AGE).await;
    let served = cell.vms[2].authenticate("k");

    let accepted = cell.vms[0]
        .commit_and_wait(edit("withdrawn", vec![withdraw_key("workshop", "k")]))
        .await
        .unwrap();

    assert!(served.is_ok(), "{served:?}");
    assert!(accepted.in_force);
    let refused = cell.vms[2].authenticate("k").unwrap_err();
    assert_eq!(refused.kind, Kind::Unauthorized);
}

#[tokio::test(start_paused = true)]
async fn a_vm_that_relies_on_peers_alone_stops_before_the_others_stop_waiting_for_it() {
    let cell = start_cell(3).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    let no_store = Fault {
        no_store: true,
        ..Fault::default()
    };
    cell.vms[2].fault.send_replace(no_store);

    cell.wait(MAX_READ_AGE).await;

    let refused = cell.vms[2].authenticate("k").unwrap_err();
    assert_eq!(refused.kind, Kind::StaleConfiguration);
    assert!(cell.vms[1].authenticate("k").is_ok());
}

#[tokio::test(start_paused = true)]
async fn after_a_long_outage_a_withdrawal_is_not_in_force_before_it_is_known() {
    let cell = start_cell(3).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    // The other VMs read this VM's last renewal before the outage.
    let no_store = Fault {
        no_store: true,
        ..Fault::default()
    };
    cell.vms[2].fault.send_replace(no_store);
    cell.wait(2 * POLL).await;
    cell.store.set_faults(FaultSettings {
        down: true,
        ..FaultSettings::default()
    });
    cell.wait(Duration::from_secs(600)).await;
    cell.vms[2].fault.send_replace(cut_off());
    cell.store.set_faults(FaultSettings::default());

    let accepted = cell.vms[0]
        .commit_and_wait(edit("withdrawn", vec![withdraw_key("workshop", "k")]))
        .await
        .unwrap();

    assert!(!accepted.in_force);
    assert_eq!(accepted.missing, ["entry-2".into()]);
    let refused = cell.vms[2].authenticate("k").unwrap_err();
    assert_eq!(refused.kind, Kind::StaleConfiguration);
}

#[tokio::test(start_paused = true)]
async fn keyed_work_goes_on_while_the_store_is_down_for_all() {
    let cell = start_cell(3).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    cell.store.set_faults(FaultSettings {
        down: true,
        ..FaultSettings::default()
    });

    cell.wait(Duration::from_secs(600)).await;

    for vm in &cell.vms {
        vm.authenticate("k").unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn keyed_work_stops_while_the_store_is_down_and_a_peer_is_unresponsive() {
    let cell = start_cell(3).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    cell.store.set_faults(FaultSettings {
        down: true,
        ..FaultSettings::default()
    });
    cell.vms[2].fault.send_replace(cut_off());

    cell.wait(MAX_FENCING_TIME).await;

    for vm in &cell.vms {
        let refused = vm.authenticate("k").unwrap_err();
        assert_eq!(refused.kind, Kind::StaleConfiguration);
    }
}

#[tokio::test(start_paused = true)]
async fn a_resumed_vm_refuses_until_it_has_caught_up() {
    let cell = start_cell(3).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    let paused = Fault {
        paused: true,
        ..Fault::default()
    };
    cell.vms[2].fault.send_replace(paused);
    cell.vms[0]
        .commit_and_wait(edit("withdrawn", vec![withdraw_key("workshop", "k")]))
        .await
        .unwrap();

    cell.vms[2].fault.send_replace(Fault::default());
    let at_once = cell.vms[2].authenticate("k").unwrap_err();
    cell.wait(3 * POLL).await;
    let later = cell.vms[2].authenticate("k").unwrap_err();

    assert_eq!(at_once.kind, Kind::StaleConfiguration);
    assert_eq!(later.kind, Kind::Unauthorized);
}

#[tokio::test(start_paused = true)]
async fn a_new_vm_takes_no_keyed_work_before_it_has_read_the_configuration() {
    let mut cell = start_cell(2).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    cell.store.set_faults(FaultSettings {
        down: true,
        ..FaultSettings::default()
    });
    cell.add_vm();

    cell.wait(3 * POLL).await;

    let refused = cell.vms[2].authenticate("k").unwrap_err();
    assert_eq!(refused.kind, Kind::StaleConfiguration);
}

#[tokio::test(start_paused = true)]
async fn an_older_answer_of_the_store_neither_reverts_nor_refreshes_the_configuration() {
    let cell = start_cell(1).await;
    let vm = &cell.vms[0];
    let old = cell
        .store
        .platform()
        .tables
        .get(audit::TABLE, audit::HEAD_KEY)
        .await
        .unwrap();
    let accepted = vm.commit_and_wait(create_workshop("k")).await.unwrap();
    let put = Put {
        table: audit::TABLE.into(),
        key: audit::HEAD_KEY.to_owned(),
        value: old.value,
    };
    let transaction = Transaction {
        write_id: "revert".to_owned(),
        checks: Vec::new(),
        puts: vec![put],
    };
    cell.store.transact(transaction).await.unwrap();

    cell.wait(POLL).await;
    let refreshed = vm
        .configuration
        .refresh(&cell.store.platform().tables)
        .await
        .unwrap_err();

    assert_eq!(refreshed.kind, Kind::StaleConfiguration);
    assert_eq!(cell.versions(), [accepted.version]);
}

#[tokio::test(start_paused = true)]
async fn an_edit_that_is_sent_twice_takes_effect_once() {
    let cell = start_cell(2).await;
    let first = cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();

    let again = cell.vms[1]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();

    assert_eq!(again.version, first.version);
    assert_eq!(cell.versions(), [first.version; 2]);
}

#[tokio::test(start_paused = true)]
async fn a_late_copy_of_an_edit_does_not_give_a_withdrawn_key_again() {
    let cell = start_cell(2).await;
    let first = cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    let given = edit("given", vec![give_key("workshop", "second")]);
    let second = cell.vms[0].commit_and_wait(given.clone()).await.unwrap();
    let step = withdraw_key("workshop", "second");
    cell.vms[0]
        .commit_and_wait(edit("withdrawn", vec![step]))
        .await
        .unwrap();

    let again = cell.vms[1].commit_and_wait(given).await.unwrap();

    assert_eq!(again.version, second.version);
    assert_ne!(again.version, first.version);
    let refused = cell.vms[1].authenticate("second").unwrap_err();
    assert_eq!(refused.kind, Kind::Unauthorized);
}

#[tokio::test(start_paused = true)]
async fn lost_answers_of_the_store_neither_repeat_nor_lose_an_edit() {
    let cell = start_cell(2).await;
    for lost in 1..8 {
        cell.store.set_faults(FaultSettings {
            lose_answers: lost,
            ..FaultSettings::default()
        });
        let key = format!("key-{lost}");
        let team = format!("team-{lost}");
        let settings = TeamSettings {
            share: lost,
            limit: None,
        };
        let steps = vec![set_team(&team, None, Some(settings)), give_key(&team, &key)];

        let accepted = cell.vms[0]
            .commit_and_wait(edit(&team, steps))
            .await
            .unwrap();

        assert_eq!(accepted.version, Version(u64::from(lost)));
        cell.vms[1].authenticate(&key).unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn one_of_two_racing_operators_wins_and_the_other_sees_the_change() {
    let cell = start_cell(2).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    let settings = |share| TeamSettings { share, limit: None };
    let raise = |share| {
        vec![set_team(
            "workshop",
            Some(settings(1)),
            Some(settings(share)),
        )]
    };

    let (first, second) = tokio::join!(
        cell.vms[0].commit_and_wait(edit("first", raise(2))),
        cell.vms[1].commit_and_wait(edit("second", raise(3))),
    );

    let (winner, loser) = match (first, second) {
        (Ok(accepted), Err(error)) | (Err(error), Ok(accepted)) => (accepted, error),
        other => panic!("{other:?}"),
    };
    assert_eq!(winner.version, Version(2));
    assert_eq!(loser.kind, Kind::Conflict);
    let share = cell.vms[0]
        .configuration
        .current()
        .team("workshop")
        .unwrap()
        .share;
    let seen = format!("there is now {{\"share\":{share}}}");
    assert!(loser.message.contains(&seen), "{}", loser.message);
}

#[tokio::test(start_paused = true)]
async fn a_burst_of_a_hundred_changes_takes_few_transactions() {
    let cell = start_cell(9).await;
    cell.vms[0]
        .commit_and_wait(create_workshop("k"))
        .await
        .unwrap();
    cell.store.set_faults(FaultSettings {
        delay: Duration::from_millis(5),
        ..FaultSettings::default()
    });
    let renewals_per_second = 9.0 / POLL.as_secs_f64();
    let writes = cell.store.counts().writes;
    let messages = cell.traffic.messages.load(Ordering::Relaxed);
    let bytes = cell.traffic.bytes.load(Ordering::Relaxed);
    let before = cell.timer.now();

    let changes = (0..100).map(|number| {
        let step = give_key("workshop", &format!("key-{number}"));
        let vm = &cell.vms[number % cell.vms.len()];
        vm.commit_and_wait(edit(&format!("edit-{number}"), vec![step]))
    });
    let accepted = future::join_all(changes).await;

    let elapsed = cell.timer.now().since(before);
    assert!(accepted.iter().all(|one| one.as_ref().unwrap().in_force));
    assert!(elapsed <= IN_FORCE_LIMIT, "{elapsed:?}");
    // Each transaction of a VM conflicts at most once with each of the other VMs.
    let renewals = (renewals_per_second * (elapsed.as_secs_f64() + 1.0)).ceil() as u64;
    let writes = cell.store.counts().writes - writes;
    let messages = cell.traffic.messages.load(Ordering::Relaxed) - messages;
    let bytes = cell.traffic.bytes.load(Ordering::Relaxed) - bytes;
    println!("100 changes: {elapsed:?}, {writes} writes, {messages} messages, {bytes} bytes");
    assert!(writes <= 45 + renewals, "{writes}");
    // One request and one answer for each other VM and committed transaction.
    assert!(messages <= 2 * 8 * 9, "{messages}");
    // The control traffic budget of a node, 12,000 bytes a second, over the time within which the
    // burst has to be in force.
    let budget = 12_000 * 9 * IN_FORCE_LIMIT.as_secs();
    assert!(bytes <= budget, "{bytes}");
    assert_eq!(cell.store.counts().over_cap, 0);
}

/// Guards against an owner that is cut off, does not hear of an evacuation and goes on starting
/// tasks after the evacuation was reported as in force.
#[tokio::test(start_paused = true)]
async fn a_vm_that_is_cut_off_starts_nothing_once_an_evacuation_is_in_force() {
    let cell = start_cell(3).await;
    let evacuated: BTreeSet<Name> = BTreeSet::from(["north-b".into()]);
    let replacement = Replacement {
        before: Some(BTreeSet::new()),
        after: Some(evacuated),
    };
    let evacuation = edit("evacuation", vec![Operation::SetEvacuated(replacement)]);
    let suspension = |vm: usize, name: &str| cell.vms[vm].configuration.suspension(&name.into());
    let before = suspension(2, "north-b");
    cell.vms[2].fault.send_replace(cut_off());

    let accepted = cell.vms[0].commit_and_wait(evacuation).await.unwrap();

    assert_eq!(before, None);
    assert!(accepted.in_force);
    for vm in 0..2 {
        assert_eq!(suspension(vm, "north-b"), Some(Suspension::Evacuated));
        assert_eq!(suspension(vm, "south"), None);
    }
    assert_eq!(suspension(2, "north-b"), Some(Suspension::OutOfDate));
    assert_eq!(suspension(2, "south"), Some(Suspension::OutOfDate));
    cell.vms[2].fault.send_replace(Fault::default());
    cell.wait(3 * POLL).await;
    assert_eq!(suspension(2, "north-b"), Some(Suspension::Evacuated));
    assert_eq!(suspension(2, "south"), None);
}

/// Guards against a VM that starts after an evacuation, reads the rows of the configuration instead
/// of its changes, and misses it.
#[tokio::test(start_paused = true)]
async fn a_vm_that_starts_later_reads_the_evacuation() {
    let mut cell = start_cell(2).await;
    let replacement = Replacement {
        before: Some(BTreeSet::new()),
        after: Some(BTreeSet::from(["a".into(), "b".into()])),
    };
    let evacuation = edit("evacuation", vec![Operation::SetEvacuated(replacement)]);
    cell.vms[0].commit_and_wait(evacuation).await.unwrap();

    cell.add_vm();
    let unread = cell.vms[2].configuration.suspension(&"c".into());
    cell.wait(3 * POLL).await;
    let platform = cell.store.platform();
    let (stored, _) = audit::load_configuration(&platform.tables).await.unwrap();

    assert_eq!(unread, Some(Suspension::OutOfDate));
    let read = cell.vms[2].configuration.current();
    assert_eq!(read.evacuated, stored.evacuated);
    assert_eq!(stored.evacuated.len(), 2);
}
