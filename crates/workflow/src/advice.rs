//! Which calls to the advice service may be made, and through which VM.
//!
//! The service is slow and serves each calling VM one call at a time. What waits at the service can
//! neither be overtaken nor withdrawn, so calls wait in the engine until a VM is free to make them.
//! See `docs/design/advice.md`.

use std::time::Duration;

use basilbridge_common::{
    backoff::Backoff,
    id::Name,
    unit::Millis, //
};

/// Maximum number of workers in a call, from the contract of the service.
pub const MAX_WORKERS: usize = 100;

/// Calls that take at least this long are kept off the VMs that serve short calls: it is the part
/// of an urgent job's time objective that waiting for advice may use up.
pub const LONG_CALL: Duration = Duration::from_millis(100);

/// Smallest part of the VMs that either kind of call has while both are in demand.
const MIN_SHARE: f64 = 0.25;

/// Part of the VMs below which the demand for calls is low. Each kind of call then has half of them.
const LOW_DEMAND: f64 = 0.5;

/// Time constant of the moving average of the demand. Within that time after the last short call,
/// long calls stay within their part of the VMs.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a VM makes no call after one through it failed. It doubles with each further
/// failure, since a VM that was lost for good stays registered.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1500);

/// Longest time for which a VM makes no call after one through it failed.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(30);

/// Longest time between two scheduling passes that follow each other.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(40);

/// Upper bound of the time that calls seem to take beyond their cost. Larger delays stem from
/// faults, during which calls should wait here.
const MAX_OVERHEAD: Duration = Duration::from_millis(20);

/// Weight of one answer in the moving average of that time.
const OVERHEAD_GAIN: f64 = 0.1;

/// Kind of a call, by its duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The call takes less than [`LONG_CALL`].
    Short,
    /// The call takes at least [`LONG_CALL`].
    Long,
}

impl Kind {
    /// Returns the kind of a call of expected duration `cost`.
    pub fn of(cost: Duration) -> Self {
        if cost >= LONG_CALL {
            Self::Long
        } else {
            Self::Short
        }
    }

    /// Returns the other kind.
    pub fn other(self) -> Self {
        match self {
            Self::Short => Self::Long,
            Self::Long => Self::Short,
        }
    }
}

/// What a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// The part of the VMs that its kind is entitled to.
    Part,
    /// What the other kind leaves over, too.
    Spare,
    /// The same, and only VMs without an unanswered call.
    Idle,
}

/// A call that was given to a VM.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Assignment {
    /// Name of the VM.
    pub relay: Name,
    /// Number of the call.
    pub call: u64,
    /// Expected time until the service begins the call.
    pub delay: Duration,
}

#[derive(Debug)]
struct Call {
    number: u64,
    kind: Kind,
    cost: Duration,
    /// Expected time when the service begins it.
    begins: Millis,
    /// Whether the caller has given it up. The service may still work on it.
    failed: bool,
}

impl Call {
    fn ends(&self) -> Millis {
        self.begins.after(self.cost)
    }
}

#[derive(Debug)]
struct Relay {
    name: Name,
    listed: bool,
    calls: Vec<Call>,
    backoff: Backoff,
    /// Time until which the service may work on a call of an earlier owner.
    occupied_until: Millis,
}

impl Relay {
    fn new(name: Name, occupied_until: Millis) -> Self {
        Self {
            name,
            listed: true,
            calls: Vec::new(),
            backoff: Backoff::new(FAILURE_BACKOFF, MAX_FAILURE_BACKOFF),
            occupied_until,
        }
    }

    fn is_blocked(&self, now: Millis) -> bool {
        self.backoff.remaining(now).is_some()
    }

    /// Returns the kind of the calls that it makes, if any.
    fn kind(&self) -> Option<Kind> {
        let has_long = self.calls.iter().any(|call| call.kind == Kind::Long);
        let kind = if has_long { Kind::Long } else { Kind::Short };
        (!self.calls.is_empty()).then_some(kind)
    }

    /// Returns the expected time when the service is free for another call.
    fn free_at(&self, now: Millis) -> Millis {
        let last = self.calls.iter().map(Call::ends).max();
        now.max(last.unwrap_or_default()).max(self.occupied_until)
    }
}

/// The VMs through which calls are made, with their unanswered calls.
#[derive(Debug, Default)]
pub struct Relays {
    relays: Vec<Relay>,
    /// Recently requested time of calls of each kind, in seconds per second.
    demand: [f64; 2],
    demand_at: Millis,
    /// Time of waiting calls of each kind, in seconds.
    waiting: [f64; 2],
    /// Time when short calls were last in demand.
    last_short: Option<Millis>,
    /// Moving average of the time that calls take beyond their cost.
    overhead: Duration,
    last_pass: Millis,
    pass_interval: Duration,
    next_number: u64,
    occupied_until: Millis,
}

impl Relays {
    /// Creates the state of an owner. `occupied_until` is the time until which calls of an earlier
    /// owner may occupy the service.
    pub fn new(occupied_until: Millis) -> Self {
        Self {
            occupied_until,
            ..Self::default()
        }
    }

    /// Sets the names of the VMs. Short calls prefer the first ones, long calls the last ones.
    pub fn set_names(&mut self, names: &[Name]) {
        let is_same = self.relays.len() == names.len()
            && self
                .relays
                .iter()
                .zip(names)
                .all(|(relay, name)| relay.listed && relay.name == *name);
        if is_same {
            return;
        }
        let mut earlier = std::mem::take(&mut self.relays);
        for name in names {
            let known = earlier.iter().position(|relay| relay.name == *name);
            let relay = match known {
                Some(index) => Relay {
                    listed: true,
                    ..earlier.swap_remove(index)
                },
                None => Relay::new(name.clone(), self.occupied_until),
            };
            self.relays.push(relay);
        }
        // A VM may return, and its calls then still occupy the service.
        earlier.retain(|relay| !relay.calls.is_empty());
        for relay in earlier {
            self.relays.push(Relay {
                listed: false,
                ..relay
            });
        }
    }

    /// Begins a scheduling pass in which calls of these total durations wait.
    pub fn begin_pass(&mut self, short: Duration, long: Duration, now: Millis) {
        self.decay(now);
        self.waiting = [short.as_secs_f64(), long.as_secs_f64()];
        if !short.is_zero() {
            self.last_short = Some(now);
        }
        self.pass_interval = now.since(self.last_pass).min(MAX_PASS_INTERVAL);
        self.last_pass = now;
        for relay in &mut self.relays {
            relay.calls.retain(|call| !call.failed || call.ends() > now);
        }
    }

    /// Returns whether a call of this kind may be made now. `other_waits` says whether calls of the
    /// other kind wait that could not be made.
    pub fn has_room(&self, kind: Kind, access: Access, other_waits: bool, now: Millis) -> bool {
        self.find(kind, access, other_waits, now).is_some()
    }

    /// Gives a call of duration `cost` to a VM that will begin it at once or soon.
    pub fn assign(
        &mut self,
        cost: Duration,
        kind: Kind,
        access: Access,
        other_waits: bool,
        now: Millis,
    ) -> Option<Assignment> {
        let index = self.find(kind, access, other_waits, now)?;
        self.decay(now);
        self.demand[kind as usize] += cost.as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        let number = self.next_number;
        self.next_number += 1;
        let relay = &mut self.relays[index];
        let begins = relay.free_at(now);
        relay.calls.push(Call {
            number,
            kind,
            cost,
            begins,
            failed: false,
        });
        Some(Assignment {
            relay: relay.name.clone(),
            call: number,
            delay: begins.since(now),
        })
    }

    /// Records that a call was answered or has failed.
    ///
    /// A call that was given up may still occupy the service, so it counts until its expected end.
    pub fn finish(&mut self, number: u64, answered: bool, now: Millis) {
        let is_call = |call: &Call| call.number == number;
        let Some(relay) = self
            .relays
            .iter_mut()
            .find(|relay| relay.calls.iter().any(is_call))
        else {
            return;
        };
        if !answered {
            relay.backoff.record_failure(now, 1.0);
            if let Some(call) = relay.calls.iter_mut().find(|call| is_call(call)) {
                call.failed = true;
            }
            return;
        }
        if let Some(call) = relay.calls.iter().find(|call| is_call(call)) {
            let late = now.since(call.ends()).min(MAX_OVERHEAD).as_secs_f64();
            let average = self.overhead.as_secs_f64();
            self.overhead = Duration::from_secs_f64(average + (late - average) * OVERHEAD_GAIN);
        }
        relay.backoff.record_success();
        // The service works in order, so it has answered all earlier calls, too.
        relay.occupied_until = Millis(0);
        relay.calls.retain(|call| !is_call(call));
        let mut begins = now;
        for call in &mut relay.calls {
            call.begins = begins;
            begins = call.ends();
        }
    }

    /// Returns whether more calls are in demand than the VMs make easily, so that calls should be
    /// short.
    pub fn is_short(&self) -> bool {
        let demand: f64 = self.demand.iter().chain(&self.waiting).sum();
        demand > self.count() as f64 * LOW_DEMAND
    }

    /// Returns the number of VMs that make calls of this kind.
    fn in_use(&self, kind: Kind) -> usize {
        let relays = self.relays.iter().filter(|relay| relay.listed);
        relays.filter(|relay| relay.kind() == Some(kind)).count()
    }

    fn count(&self) -> usize {
        self.relays.iter().filter(|relay| relay.listed).count()
    }

    /// Returns the number of VMs that calls of this kind are entitled to.
    ///
    /// Of a single VM it is one for the kind that has used less of it lately, so that neither kind
    /// starves.
    fn part(&self, kind: Kind) -> usize {
        let count = self.count();
        let [short, long] = self.demand;
        if count <= 1 {
            let first = if short <= long {
                Kind::Short
            } else {
                Kind::Long
            };
            return if kind == first { count } else { 0 };
        }
        let [short, long] = [short + self.waiting[0], long + self.waiting[1]];
        let of_short = if self.is_short() {
            let share = (short / (short + long)).clamp(MIN_SHARE, 1.0 - MIN_SHARE);
            (share * count as f64).round() as usize
        } else {
            count / 2
        };
        let of_short = of_short.clamp(1, count - 1);
        match kind {
            Kind::Short => of_short,
            Kind::Long => count - of_short,
        }
    }

    fn is_entitled(&self, kind: Kind) -> bool {
        self.in_use(kind) < self.part(kind)
    }

    /// Returns the index of the VM that makes the next call of this kind, if there is one.
    ///
    /// A VM whose call is long overdue may not answer at all, so nothing is queued there.
    fn find(&self, kind: Kind, access: Access, other_waits: bool, now: Millis) -> Option<usize> {
        let is_entitled = self.is_entitled(kind);
        let may_use_spare = match kind {
            _ if access == Access::Part => false,
            Kind::Short => !(other_waits && self.is_entitled(Kind::Long)),
            // A long call holds a VM for many times the duration of a short one.
            Kind::Long => {
                !other_waits
                    && (self.count() <= 1
                        || self
                            .last_short
                            .is_none_or(|last| now.since(last) >= DEMAND_WINDOW))
            }
        };
        let may_add = is_entitled || may_use_spare;
        let all_blocked = self
            .relays
            .iter()
            .all(|relay| !relay.listed || relay.is_blocked(now));
        let is_available = |relay: &Relay| relay.listed && (!relay.is_blocked(now) || all_blocked);
        // An idle VM of the other kind's part may be left over.
        let is_decided = access != Access::Part
            || !self
                .relays
                .iter()
                .any(|relay| is_available(relay) && relay.calls.is_empty());
        let may_queue = kind == Kind::Short
            && access != Access::Idle
            && (may_use_spare || (is_decided && self.in_use(kind) <= self.part(kind)));
        let soon = now.after(self.pass_interval + self.overhead);
        let is_usable = |relay: &Relay| match relay.kind() {
            _ if !is_available(relay) => false,
            None => may_add,
            Some(Kind::Short) => {
                may_queue
                    && relay.calls.len() == 1
                    && !relay.calls[0].failed
                    && now.since(relay.calls[0].ends()) <= MAX_PASS_INTERVAL
                    && relay.free_at(now) <= soon
            }
            Some(Kind::Long) => false,
        };
        let position = |index: usize| match kind {
            Kind::Short => index,
            Kind::Long => self.relays.len() - index,
        };
        let relays = self.relays.iter().enumerate();
        relays
            .filter(|(_, relay)| is_usable(relay))
            .min_by_key(|(index, relay)| {
                (
                    relay.occupied_until > now,
                    !relay.calls.is_empty(),
                    relay.free_at(now),
                    position(*index),
                )
            })
            .map(|(index, _)| index)
    }

    fn decay(&mut self, now: Millis) {
        let passed = now.since(self.demand_at).as_secs_f64();
        let factor = (-passed / DEMAND_WINDOW.as_secs_f64()).exp();
        for demand in &mut self.demand {
            *demand *= factor;
        }
        self.demand_at = now;
    }
}
