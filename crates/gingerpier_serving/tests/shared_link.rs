//! Simulation of a zone whose gateways share one link to the store.
//!
//! Guards against a link that is too congested for configuration changes to arrive: every gateway
//! must know the current version within 1.5 times the time that the link needs for one copy per
//! watcher, however many gateways there are.
//!
//! The code under test decides what a gateway requests; the simulation issues the requests. Store
//! responses cross the link in order, and even a cancelled one uses it. A response is cancelled if
//! it is silent and a small probe meanwhile succeeds, or after a long silence. A snapshot is read
//! in pages and resumes after the received ones. A watch without news is followed by a small
//! confirming read.
//!
//! Not simulated: messages from other zones, polls of random gateways while the store is silent,
//! and compaction of the store's history.

use {
    gingerpier_base::Instant,
    gingerpier_serving::watching::{Failure, Step, WATCHERS, WatcherSelection},
    std::{collections::VecDeque, net::SocketAddr},
};

/// Size of a response with news.
const LONG_RESPONSE_BYTES: u64 = 1_300_000;

/// Size of a response without items.
const SHORT_RESPONSE_BYTES: u64 = 300;

/// Bandwidth of the link, 8 Mbit/s.
const BYTES_PER_MILLI: u64 = 1_000;

/// Duration of a simulation step; a poll of another gateway takes one step.
const STEP_MILLIS: u64 = 10;

/// Time that the store holds a watch without news.
const WATCH_MILLIS: u64 = 600;

/// Additional time in which the response to a watch must begin.
const WATCH_SLACK_MILLIS: u64 = 600;

/// Time in which the response to a read must begin.
const READ_TIMEOUT_MILLIS: u64 = 1_500;

/// Time without data after which a response is probed.
const STALL_MILLIS: u64 = 800;

/// Time without data after which a response is cancelled regardless of the probe.
const MAX_SILENCE_MILLIS: u64 = 5_000;

/// Timeout of the probe.
const CHECK_TIMEOUT_MILLIS: u64 = 1_500;

/// Pause between watches.
const WATCH_PAUSE_MILLIS: u64 = 400;

/// Longest pause after the first failed call.
const FIRST_RETRY_MAX_MILLIS: u64 = 500;

/// Limit of the doublings of that pause.
const MAX_RETRY_DOUBLINGS: u32 = 2;

/// Time that a gateway holds a poll without news.
const POLL_HOLD_MILLIS: u64 = 400;

/// Pause between polls.
const POLL_PAUSE_MILLIS: u64 = 20;

/// Time of the change in the tests of a change.
const CHANGE_AT: Instant = Instant::from_millis(600);

/// Decisions of one gateway; the only code that depends on the types under test.
struct Decisions(WatcherSelection);

impl Decisions {
    const fn new(own: SocketAddr, now: Instant) -> Self {
        Self(WatcherSelection::new(own, now))
    }

    fn next(&mut self, others: &[SocketAddr], has_copy: bool, now: Instant) -> Step {
        self.0.next_step(others, has_copy, now)
    }

    fn max_age_millis(&self, member: SocketAddr, now: Instant) -> u64 {
        self.0.max_age_millis(member, now)
    }

    fn record_stale(&mut self, member: SocketAddr, now: Instant) {
        self.0.record_failure(member, Failure::Old, now);
    }

    fn note_without_copy(&mut self, member: SocketAddr) {
        self.0.record_missing_copy(member);
    }

    fn note_probe(&mut self, is_ahead: bool, millis: u64, now: Instant) {
        self.0.record_probe(is_ahead, millis, now);
    }
}

/// Call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// Wait for changes.
    Watch,
    /// Read the current revision after a watch without news.
    Confirm,
    /// Read the first page of a snapshot, which holds the configuration.
    FirstPage,
    /// Read the remaining page of a snapshot.
    LastPage,
    /// Read the current revision to check the watchers.
    Probe,
}

impl Call {
    /// Time in which the response begins on a working link.
    const fn response_timeout_millis(self) -> u64 {
        match self {
            Self::Watch => WATCH_MILLIS + WATCH_SLACK_MILLIS,
            Self::Confirm | Self::FirstPage | Self::LastPage | Self::Probe => READ_TIMEOUT_MILLIS,
        }
    }
}

/// Small read that tests whether a silent response is still coming.
#[derive(Debug, Clone, Copy)]
struct SilenceCheck {
    number: u64,
    until: Instant,
    is_answered: bool,
    /// Time of the response's latest data when the probe was sent.
    last_data_at: Option<Instant>,
}

/// Pending call to the store.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    call: Call,
    number: u64,
    started_at: Instant,
    /// Time of the latest data of the response.
    last_data_at: Option<Instant>,
    /// False while the store holds the response.
    is_sent: bool,
    check: Option<SilenceCheck>,
}

impl PendingCall {
    fn is_silent(&self, now: Instant) -> bool {
        let timeout_at = match self.last_data_at {
            Some(last_data_at) => last_data_at.after_millis(STALL_MILLIS),
            None => self
                .started_at
                .after_millis(self.call.response_timeout_millis()),
        };
        timeout_at.has_passed(now)
    }

    /// Returns true if the finished `check` shows that the response won't arrive.
    fn is_cancelled(&self, check: &SilenceCheck, now: Instant) -> bool {
        let silent_millis = now.millis_since(self.last_data_at.unwrap_or(self.started_at));
        self.last_data_at == check.last_data_at
            && (check.is_answered || silent_millis > MAX_SILENCE_MILLIS)
    }
}

/// Pending poll of another gateway.
#[derive(Debug, Clone, Copy)]
struct Poll {
    /// Index of the polled gateway.
    member: usize,
    /// Time until which the poll is held without news.
    hold_until: Instant,
    /// Age up to which the response is accepted.
    max_age_millis: u64,
}

#[derive(Debug, Clone, Copy)]
enum Activity {
    /// Idle until this time.
    Idle(Instant),
    /// Waiting for the store.
    PendingCall(PendingCall),
    /// Polling a gateway for changes.
    Poll(Poll),
    /// Requesting the first copy from the gateway with this index.
    RequestingCopy(usize),
}

struct Member {
    address: SocketAddr,
    others: Vec<SocketAddr>,
    decisions: Decisions,
    activity: Activity,
    known_version: u64,
    /// Version in the first page of a partly read snapshot.
    partial_copy_version: Option<u64>,
    /// Consecutive failed calls.
    failures: u32,
    /// Time of the store's latest response, or of the gateway's start.
    last_contact_at: Instant,
}

impl Member {
    fn idle_until(&mut self, until: Instant) {
        self.activity = Activity::Idle(until);
    }

    /// Processes a complete response and returns the call that follows immediately, if any.
    fn handle_response(
        &mut self,
        pending: PendingCall,
        version: u64,
        now: Instant,
    ) -> Option<Call> {
        let is_ahead = version > self.known_version;
        match pending.call {
            Call::Watch if !is_ahead => return Some(Call::Confirm),
            Call::FirstPage => {
                self.partial_copy_version = Some(version);
                return Some(Call::LastPage);
            }
            Call::Watch => self.known_version = version,
            Call::LastPage => {
                self.known_version = self
                    .partial_copy_version
                    .take()
                    .unwrap_or(0)
                    .max(self.known_version)
            }
            Call::Confirm => {}
            Call::Probe => {
                let millis = now.millis_since(pending.started_at);
                self.decisions.note_probe(is_ahead, millis, now);
            }
        }
        let needs_more = is_ahead && matches!(pending.call, Call::Confirm | Call::Probe);
        let pause = if needs_more { 0 } else { WATCH_PAUSE_MILLIS };
        if pending.call != Call::Probe {
            self.failures = 0;
        }
        self.idle_until(now.after_millis(pause));
        None
    }

    fn handle_failure(&mut self, pending: PendingCall, index: usize, now: Instant) {
        if pending.call == Call::Probe {
            let millis = now.millis_since(pending.started_at);
            self.decisions.note_probe(false, millis, now);
        }
        let max_pause = FIRST_RETRY_MAX_MILLIS << self.failures.min(MAX_RETRY_DOUBLINGS);
        self.failures += 1;
        let pause = POLL_PAUSE_MILLIS + pseudo_random(index, max_pause - POLL_PAUSE_MILLIS);
        self.idle_until(now.after_millis(pause));
    }
}

struct Response {
    member: usize,
    /// Number of the call.
    number: u64,
    version: u64,
    bytes_left: u64,
}

struct Zone {
    now: Instant,
    members: Vec<Member>,
    addresses: Vec<SocketAddr>,
    link: VecDeque<Response>,
    carried_bytes: u64,
    /// Number of calls to the store so far.
    calls: u64,
    version: u64,
}

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8_000))
}

/// Returns a pseudo-random number below `bound` for an index.
const fn pseudo_random(index: usize, bound: u64) -> u64 {
    ((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % bound
}

impl Zone {
    /// Creates `count` gateways that start now, know each other and have no copy; the store holds
    /// `version`.
    fn starting(count: usize, version: u64) -> Self {
        let now = Instant::from_millis(0);
        let addresses: Vec<SocketAddr> = (0..count).map(address).collect();
        let others = |own: SocketAddr| {
            addresses
                .iter()
                .copied()
                .filter(move |member| *member != own)
        };
        let member = |own: &SocketAddr| Member {
            address: *own,
            others: others(*own).collect(),
            decisions: Decisions::new(*own, now),
            activity: Activity::Idle(now),
            known_version: 0,
            partial_copy_version: None,
            failures: 0,
            last_contact_at: now,
        };
        Self {
            now,
            members: addresses.iter().map(member).collect(),
            addresses,
            link: VecDeque::new(),
            carried_bytes: 0,
            calls: 0,
            version,
        }
    }

    /// Creates `count` gateways that all have version 1.
    fn settled(count: usize) -> Self {
        let mut zone = Self::starting(count, 1);
        for (index, member) in zone.members.iter_mut().enumerate() {
            member.known_version = 1;
            let offset_millis = pseudo_random(index, WATCH_PAUSE_MILLIS);
            member.idle_until(zone.now.after_millis(offset_millis));
        }
        zone
    }

    /// Returns the number of gateways without the current version.
    fn outdated_count(&self) -> usize {
        let members = self.members.iter();
        members
            .filter(|member| member.known_version < self.version)
            .count()
    }

    /// Runs until every gateway has the current version, or until `deadline`.
    fn run(&mut self, deadline: Instant) {
        while self.outdated_count() > 0 && !deadline.has_passed(self.now) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now.after_millis(STEP_MILLIS);
        self.transfer();
        for index in 0..self.members.len() {
            self.update_member(index);
        }
    }

    /// Transfers as many bytes as the link carries in one step.
    fn transfer(&mut self) {
        let mut step_bytes = BYTES_PER_MILLI * STEP_MILLIS;
        while step_bytes > 0
            && let Some(mut response) = self.link.pop_front()
        {
            let transferred = response.bytes_left.min(step_bytes);
            response.bytes_left -= transferred;
            step_bytes -= transferred;
            self.carried_bytes += transferred;
            self.deliver(&response);
            if response.bytes_left > 0 {
                self.link.push_front(response);
            }
        }
    }

    /// Delivers transferred data to a gateway if it still waits for it.
    fn deliver(&mut self, response: &Response) {
        let (index, now) = (response.member, self.now);
        let member = &mut self.members[index];
        let Activity::PendingCall(pending) = &mut member.activity else {
            return;
        };
        if let Some(check) = &mut pending.check
            && check.number == response.number
        {
            check.is_answered |= response.bytes_left == 0;
            return;
        }
        if pending.number != response.number {
            return;
        }
        pending.last_data_at = Some(now);
        member.last_contact_at = now;
        let pending = *pending;
        if response.bytes_left == 0
            && let Some(next) = member.handle_response(pending, response.version, now)
        {
            self.start_call(index, next);
        }
    }

    fn update_member(&mut self, index: usize) {
        match self.members[index].activity {
            Activity::Idle(until) if until.has_passed(self.now) => self.start_next_step(index),
            Activity::Idle(_) => {}
            Activity::PendingCall(pending) => self.handle_pending_call(index, pending),
            Activity::Poll(poll) => self.complete_poll(index, poll),
            Activity::RequestingCopy(member) => self.complete_copy_request(index, member),
        }
    }

    fn start_next_step(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        let has_copy = member.known_version > 0;
        match member.decisions.next(&member.others, has_copy, now) {
            Step::Store if has_copy => self.start_call(index, Call::Watch),
            Step::Store if member.partial_copy_version.is_some() => {
                self.start_call(index, Call::LastPage)
            }
            Step::Store => self.start_call(index, Call::FirstPage),
            Step::Probe => self.start_call(index, Call::Probe),
            Step::Wait(until) => member.idle_until(until),
            Step::Member(address) => {
                let max_age_millis = member.decisions.max_age_millis(address, now);
                self.members[index].activity = Activity::Poll(Poll {
                    member: self.index_of(address),
                    hold_until: now.after_millis(POLL_HOLD_MILLIS),
                    max_age_millis,
                });
            }
            Step::FirstCopy(address) => {
                self.members[index].activity = Activity::RequestingCopy(self.index_of(address));
            }
        }
    }

    fn index_of(&self, address: SocketAddr) -> usize {
        let found = self.addresses.binary_search(&address);
        found.expect("a member of the zone")
    }

    /// Calls the store; a watch is answered later.
    fn start_call(&mut self, index: usize, call: Call) {
        self.calls += 1;
        let mut pending = PendingCall {
            call,
            number: self.calls,
            started_at: self.now,
            last_data_at: None,
            is_sent: false,
            check: None,
        };
        if call != Call::Watch {
            self.respond(index, &mut pending);
        }
        self.members[index].activity = Activity::PendingCall(pending);
    }

    /// Sends the store's response; only one with news is long.
    fn respond(&mut self, index: usize, pending: &mut PendingCall) {
        let is_long = match pending.call {
            Call::Watch => self.members[index].known_version < self.version,
            Call::FirstPage => true,
            Call::Confirm | Call::LastPage | Call::Probe => false,
        };
        let bytes = if is_long {
            LONG_RESPONSE_BYTES
        } else {
            SHORT_RESPONSE_BYTES
        };
        self.send(index, pending.number, bytes);
        pending.is_sent = true;
    }

    fn send(&mut self, member: usize, number: u64, bytes_left: u64) {
        self.link.push_back(Response {
            member,
            number,
            version: self.version,
            bytes_left,
        });
    }

    /// Handles a pending call.
    fn handle_pending_call(&mut self, index: usize, mut pending: PendingCall) {
        let hold_until = pending.started_at.after_millis(WATCH_MILLIS);
        let has_news = self.members[index].known_version < self.version;
        if !pending.is_sent && (has_news || hold_until.has_passed(self.now)) {
            self.respond(index, &mut pending);
        }
        if self.check_silence(index, &mut pending) {
            self.members[index].handle_failure(pending, index, self.now);
            return;
        }
        self.members[index].activity = Activity::PendingCall(pending);
    }

    /// Probes a silent response; returns true if the response is cancelled.
    fn check_silence(&mut self, index: usize, pending: &mut PendingCall) -> bool {
        let now = self.now;
        let Some(check) = pending.check else {
            if pending.is_silent(now) {
                self.start_check(index, pending);
            }
            return false;
        };
        if !check.is_answered && !check.until.has_passed(now) {
            return false;
        }
        pending.check = None;
        pending.is_cancelled(&check, now)
    }

    fn start_check(&mut self, index: usize, pending: &mut PendingCall) {
        self.calls += 1;
        self.send(index, self.calls, SHORT_RESPONSE_BYTES);
        pending.check = Some(SilenceCheck {
            number: self.calls,
            until: self.now.after_millis(CHECK_TIMEOUT_MILLIS),
            is_answered: false,
            last_data_at: pending.last_data_at,
        });
    }

    /// Completes a poll when the polled gateway has news or the hold time ends.
    fn complete_poll(&mut self, index: usize, poll: Poll) {
        let now = self.now;
        let peer = &self.members[poll.member];
        let (address, version, contact_at) =
            (peer.address, peer.known_version, peer.last_contact_at);
        let member = &mut self.members[index];
        if version <= member.known_version && !poll.hold_until.has_passed(now) {
            return;
        }
        member.known_version = member.known_version.max(version);
        if now.millis_since(contact_at) > poll.max_age_millis {
            member.decisions.record_stale(address, now);
            member.idle_until(now);
            return;
        }
        member.last_contact_at = member.last_contact_at.max(contact_at);
        member.idle_until(now.after_millis(POLL_PAUSE_MILLIS));
    }

    /// Completes a request for a first copy.
    fn complete_copy_request(&mut self, index: usize, peer_index: usize) {
        let peer = &self.members[peer_index];
        let (address, version, contact_at) =
            (peer.address, peer.known_version, peer.last_contact_at);
        let member = &mut self.members[index];
        if version == 0 {
            member.decisions.note_without_copy(address);
        } else {
            member.known_version = version;
            member.last_contact_at = member.last_contact_at.max(contact_at);
        }
        member.idle_until(self.now);
    }
}

/// Returns the time limit for all gateways.
const fn time_limit_millis() -> u64 {
    let transfer_millis = WATCHERS as u64 * LONG_RESPONSE_BYTES / BYTES_PER_MILLI;
    transfer_millis * 3 / 2
}

fn assert_updated_in_time(mut zone: Zone, since: Instant) {
    zone.run(since.after_millis(time_limit_millis()));
    let (outdated, count, carried_bytes) = (
        zone.outdated_count(),
        zone.members.len(),
        zone.carried_bytes,
    );
    let took_millis = zone.now.millis_since(since);
    let calls = zone.calls;
    let summary = format!(
        "{outdated} of {count} outdated after {took_millis} ms, {carried_bytes} bytes and {calls} calls"
    );
    println!("{summary}");
    assert_eq!(outdated, 0, "{summary}");
}

fn assert_change_arrives_in_time(count: usize) {
    let mut zone = Zone::settled(count);
    while !CHANGE_AT.has_passed(zone.now) {
        zone.step();
    }
    zone.version = 2;
    assert_updated_in_time(zone, CHANGE_AT);
}

fn assert_start_completes_in_time(count: usize) {
    assert_updated_in_time(Zone::starting(count, 1), Instant::from_millis(0));
}

#[test]
fn ten_members_receive_a_large_change_in_time() {
    assert_change_arrives_in_time(10);
}

#[test]
fn a_hundred_members_receive_a_large_change_in_time() {
    assert_change_arrives_in_time(100);
}

#[test]
fn a_thousand_members_receive_a_large_change_in_time() {
    assert_change_arrives_in_time(1_000);
}

#[test]
fn ten_members_starting_together_are_updated_in_time() {
    assert_start_completes_in_time(10);
}

#[test]
fn a_hundred_members_starting_together_are_updated_in_time() {
    assert_start_completes_in_time(100);
}

#[test]
fn a_thousand_members_starting_together_are_updated_in_time() {
    assert_start_completes_in_time(1_000);
}
