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
    gingerpier_serving::watching::{Failure, Step, WATCHERS, Watching},
    std::{collections::VecDeque, net::SocketAddr},
};

/// Size of a response with news.
const ANSWER_BYTES: u64 = 1_300_000;

/// Size of a response without items.
const SHORT_BYTES: u64 = 300;

/// Bandwidth of the link, 8 Mbit/s.
const BYTES_PER_MILLI: u64 = 1_000;

/// Duration of a simulation step; a poll of another gateway takes one step.
const STEP_MILLIS: u64 = 10;

/// Time that the store holds a watch without news.
const WATCH_MILLIS: u64 = 600;

/// Additional time in which the response to a watch must begin.
const WATCH_SLACK_MILLIS: u64 = 600;

/// Time in which the response to a read must begin.
const READ_MILLIS: u64 = 1_500;

/// Time without data after which a response is probed.
const STALL_MILLIS: u64 = 800;

/// Time without data after which a response is cancelled regardless of the probe.
const MOST_SILENCE_MILLIS: u64 = 5_000;

/// Timeout of the probe.
const SMALL_MILLIS: u64 = 1_500;

/// Pause between watches.
const PAUSE_MILLIS: u64 = 400;

/// Longest pause after the first failed call.
const RETRY_MILLIS: u64 = 500;

/// Limit of the doublings of that pause.
const MOST_DOUBLINGS: u32 = 2;

/// Time that a gateway holds a poll without news.
const HELD_MILLIS: u64 = 400;

/// Pause between polls.
const BATCH_MILLIS: u64 = 20;

/// Time of the change in the tests of a change.
const CHANGED: Instant = Instant::from_millis(600);

/// Decisions of one gateway; the only code that depends on the types under test.
struct Decisions(Watching);

impl Decisions {
    const fn new(own: SocketAddr, now: Instant) -> Self {
        Self(Watching::new(own, now))
    }

    fn next(&mut self, others: &[SocketAddr], has_copy: bool, now: Instant) -> Step {
        self.0.next(others, has_copy, now)
    }

    fn most_age(&self, member: SocketAddr, now: Instant) -> u64 {
        self.0.most_age_millis(member, now)
    }

    fn note_old(&mut self, member: SocketAddr, now: Instant) {
        self.0.note_failure(member, Failure::Old, now);
    }

    fn note_without_copy(&mut self, member: SocketAddr) {
        self.0.note_without_copy(member);
    }

    fn note_probe(&mut self, is_ahead: bool, millis: u64, now: Instant) {
        self.0.note_probe(is_ahead, millis, now);
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
    const fn begins_millis(self) -> u64 {
        match self {
            Self::Watch => WATCH_MILLIS + WATCH_SLACK_MILLIS,
            Self::Confirm | Self::FirstPage | Self::LastPage | Self::Probe => READ_MILLIS,
        }
    }
}

/// Small read that tests whether a silent response is still coming.
#[derive(Debug, Clone, Copy)]
struct Check {
    number: u64,
    until: Instant,
    is_answered: bool,
    /// Time of the response's latest data when the probe was sent.
    heard: Option<Instant>,
}

/// Pending call to the store.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    call: Call,
    number: u64,
    asked: Instant,
    /// Time of the latest data of the response.
    heard: Option<Instant>,
    /// False while the store holds the response.
    is_sent: bool,
    check: Option<Check>,
}

impl Waiting {
    fn is_silent(&self, now: Instant) -> bool {
        let patience = match self.heard {
            Some(heard) => heard.after_millis(STALL_MILLIS),
            None => self.asked.after_millis(self.call.begins_millis()),
        };
        patience.has_passed(now)
    }

    /// Returns true if the finished `check` shows that the response won't arrive.
    fn is_given_up(&self, check: &Check, now: Instant) -> bool {
        let silent = now.millis_since(self.heard.unwrap_or(self.asked));
        self.heard == check.heard && (check.is_answered || silent > MOST_SILENCE_MILLIS)
    }
}

/// Pending poll of another gateway.
#[derive(Debug, Clone, Copy)]
struct Asking {
    /// Index of the polled gateway.
    member: usize,
    /// Time until which the poll is held without news.
    held: Instant,
    /// Age up to which the response is accepted.
    most_age: u64,
}

#[derive(Debug, Clone, Copy)]
enum Doing {
    /// Idle until this time.
    Resting(Instant),
    /// Waiting for the store.
    Waiting(Waiting),
    /// Polling a gateway for changes.
    Asking(Asking),
    /// Requesting the first copy from the gateway with this index.
    AskingForCopy(usize),
}

struct Member {
    address: SocketAddr,
    others: Vec<SocketAddr>,
    decisions: Decisions,
    doing: Doing,
    knows: u64,
    /// Version in the first page of a partly read snapshot.
    copy: Option<u64>,
    /// Consecutive failed calls.
    failures: u32,
    /// Time of the store's latest response, or of the gateway's start.
    word: Instant,
}

impl Member {
    fn rest(&mut self, until: Instant) {
        self.doing = Doing::Resting(until);
    }

    /// Processes a complete response and returns the call that follows immediately, if any.
    fn take(&mut self, waiting: Waiting, version: u64, now: Instant) -> Option<Call> {
        let is_ahead = version > self.knows;
        match waiting.call {
            Call::Watch if !is_ahead => return Some(Call::Confirm),
            Call::FirstPage => {
                self.copy = Some(version);
                return Some(Call::LastPage);
            }
            Call::Watch => self.knows = version,
            Call::LastPage => self.knows = self.copy.take().unwrap_or(0).max(self.knows),
            Call::Confirm => {}
            Call::Probe => {
                let millis = now.millis_since(waiting.asked);
                self.decisions.note_probe(is_ahead, millis, now);
            }
        }
        let needs_more = is_ahead && matches!(waiting.call, Call::Confirm | Call::Probe);
        let pause = if needs_more { 0 } else { PAUSE_MILLIS };
        if waiting.call != Call::Probe {
            self.failures = 0;
        }
        self.rest(now.after_millis(pause));
        None
    }

    fn fail(&mut self, waiting: Waiting, place: usize, now: Instant) {
        if waiting.call == Call::Probe {
            let millis = now.millis_since(waiting.asked);
            self.decisions.note_probe(false, millis, now);
        }
        let most = RETRY_MILLIS << self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        let pause = BATCH_MILLIS + scattered(place, most - BATCH_MILLIS);
        self.rest(now.after_millis(pause));
    }
}

struct Answer {
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
    link: VecDeque<Answer>,
    carried: u64,
    /// Number of calls to the store so far.
    questions: u64,
    version: u64,
}

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8_000))
}

/// Returns a pseudo-random number below `most` for an index.
const fn scattered(place: usize, most: u64) -> u64 {
    ((place as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % most
}

impl Zone {
    /// Creates `count` gateways that start now, know each other and have no copy; the store holds
    /// `version`.
    fn starting(count: usize, version: u64) -> Self {
        let now = Instant::from_millis(0);
        let addresses: Vec<SocketAddr> = (0..count).map(address).collect();
        let others = |own: SocketAddr| addresses.iter().copied().filter(move |one| *one != own);
        let member = |own: &SocketAddr| Member {
            address: *own,
            others: others(*own).collect(),
            decisions: Decisions::new(*own, now),
            doing: Doing::Resting(now),
            knows: 0,
            copy: None,
            failures: 0,
            word: now,
        };
        Self {
            now,
            members: addresses.iter().map(member).collect(),
            addresses,
            link: VecDeque::new(),
            carried: 0,
            questions: 0,
            version,
        }
    }

    /// Creates `count` gateways that all have version 1.
    fn settled(count: usize) -> Self {
        let mut zone = Self::starting(count, 1);
        for (place, member) in zone.members.iter_mut().enumerate() {
            member.knows = 1;
            let begins = scattered(place, PAUSE_MILLIS);
            member.rest(zone.now.after_millis(begins));
        }
        zone
    }

    /// Returns the number of gateways without the current version.
    fn behind(&self) -> usize {
        let members = self.members.iter();
        members.filter(|one| one.knows < self.version).count()
    }

    /// Runs until every gateway has the current version, or until `deadline`.
    fn run(&mut self, deadline: Instant) {
        while self.behind() > 0 && !deadline.has_passed(self.now) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now.after_millis(STEP_MILLIS);
        self.carry();
        for place in 0..self.members.len() {
            self.act(place);
        }
    }

    /// Transfers as many bytes as the link carries in one step.
    fn carry(&mut self) {
        let mut room = BYTES_PER_MILLI * STEP_MILLIS;
        while room > 0
            && let Some(mut answer) = self.link.pop_front()
        {
            let crosses = answer.bytes_left.min(room);
            answer.bytes_left -= crosses;
            room -= crosses;
            self.carried += crosses;
            self.deliver(&answer);
            if answer.bytes_left > 0 {
                self.link.push_front(answer);
            }
        }
    }

    /// Delivers transferred data to a gateway if it still waits for it.
    fn deliver(&mut self, answer: &Answer) {
        let (place, now) = (answer.member, self.now);
        let member = &mut self.members[place];
        let Doing::Waiting(waiting) = &mut member.doing else {
            return;
        };
        if let Some(check) = &mut waiting.check
            && check.number == answer.number
        {
            check.is_answered |= answer.bytes_left == 0;
            return;
        }
        if waiting.number != answer.number {
            return;
        }
        waiting.heard = Some(now);
        member.word = now;
        let waiting = *waiting;
        if answer.bytes_left == 0
            && let Some(next) = member.take(waiting, answer.version, now)
        {
            self.call(place, next);
        }
    }

    fn act(&mut self, place: usize) {
        match self.members[place].doing {
            Doing::Resting(until) if until.has_passed(self.now) => self.ask(place),
            Doing::Resting(_) => {}
            Doing::Waiting(waiting) => self.wait(place, waiting),
            Doing::Asking(asking) => self.hear(place, asking),
            Doing::AskingForCopy(member) => self.hear_first_copy(place, member),
        }
    }

    fn ask(&mut self, place: usize) {
        let now = self.now;
        let member = &mut self.members[place];
        let has_copy = member.knows > 0;
        match member.decisions.next(&member.others, has_copy, now) {
            Step::Store if has_copy => self.call(place, Call::Watch),
            Step::Store if member.copy.is_some() => self.call(place, Call::LastPage),
            Step::Store => self.call(place, Call::FirstPage),
            Step::Probe => self.call(place, Call::Probe),
            Step::Wait(until) => member.rest(until),
            Step::Member(address) => {
                let most_age = member.decisions.most_age(address, now);
                self.members[place].doing = Doing::Asking(Asking {
                    member: self.place(address),
                    held: now.after_millis(HELD_MILLIS),
                    most_age,
                });
            }
            Step::FirstCopy(address) => {
                self.members[place].doing = Doing::AskingForCopy(self.place(address));
            }
        }
    }

    fn place(&self, address: SocketAddr) -> usize {
        let found = self.addresses.binary_search(&address);
        found.expect("a member of the zone")
    }

    /// Calls the store; a watch is answered later.
    fn call(&mut self, place: usize, call: Call) {
        self.questions += 1;
        let mut waiting = Waiting {
            call,
            number: self.questions,
            asked: self.now,
            heard: None,
            is_sent: false,
            check: None,
        };
        if call != Call::Watch {
            self.answer(place, &mut waiting);
        }
        self.members[place].doing = Doing::Waiting(waiting);
    }

    /// Sends the store's response; only one with news is long.
    fn answer(&mut self, place: usize, waiting: &mut Waiting) {
        let is_long = match waiting.call {
            Call::Watch => self.members[place].knows < self.version,
            Call::FirstPage => true,
            Call::Confirm | Call::LastPage | Call::Probe => false,
        };
        let bytes = if is_long { ANSWER_BYTES } else { SHORT_BYTES };
        self.send(place, waiting.number, bytes);
        waiting.is_sent = true;
    }

    fn send(&mut self, member: usize, number: u64, bytes_left: u64) {
        self.link.push_back(Answer {
            member,
            number,
            version: self.version,
            bytes_left,
        });
    }

    /// Handles a pending call.
    fn wait(&mut self, place: usize, mut waiting: Waiting) {
        let held = waiting.asked.after_millis(WATCH_MILLIS);
        let has_news = self.members[place].knows < self.version;
        if !waiting.is_sent && (has_news || held.has_passed(self.now)) {
            self.answer(place, &mut waiting);
        }
        if self.look_into_silence(place, &mut waiting) {
            self.members[place].fail(waiting, place, self.now);
            return;
        }
        self.members[place].doing = Doing::Waiting(waiting);
    }

    /// Probes a silent response; returns true if the response is cancelled.
    fn look_into_silence(&mut self, place: usize, waiting: &mut Waiting) -> bool {
        let now = self.now;
        let Some(check) = waiting.check else {
            if waiting.is_silent(now) {
                self.check(place, waiting);
            }
            return false;
        };
        if !check.is_answered && !check.until.has_passed(now) {
            return false;
        }
        waiting.check = None;
        waiting.is_given_up(&check, now)
    }

    fn check(&mut self, place: usize, waiting: &mut Waiting) {
        self.questions += 1;
        self.send(place, self.questions, SHORT_BYTES);
        waiting.check = Some(Check {
            number: self.questions,
            until: self.now.after_millis(SMALL_MILLIS),
            is_answered: false,
            heard: waiting.heard,
        });
    }

    /// Completes a poll when the polled gateway has news or the hold time ends.
    fn hear(&mut self, place: usize, asking: Asking) {
        let now = self.now;
        let teller = &self.members[asking.member];
        let (address, version, word) = (teller.address, teller.knows, teller.word);
        let member = &mut self.members[place];
        if version <= member.knows && !asking.held.has_passed(now) {
            return;
        }
        member.knows = member.knows.max(version);
        if now.millis_since(word) > asking.most_age {
            member.decisions.note_old(address, now);
            member.rest(now);
            return;
        }
        member.word = member.word.max(word);
        member.rest(now.after_millis(BATCH_MILLIS));
    }

    /// Completes a request for a first copy.
    fn hear_first_copy(&mut self, place: usize, told_by: usize) {
        let teller = &self.members[told_by];
        let (address, version, word) = (teller.address, teller.knows, teller.word);
        let member = &mut self.members[place];
        if version == 0 {
            member.decisions.note_without_copy(address);
        } else {
            member.knows = version;
            member.word = member.word.max(word);
        }
        member.rest(self.now);
    }
}

/// Returns the time limit for all gateways.
const fn bound_millis() -> u64 {
    let needed = WATCHERS as u64 * ANSWER_BYTES / BYTES_PER_MILLI;
    needed * 3 / 2
}

fn assert_known_in_time(mut zone: Zone, since: Instant) {
    zone.run(since.after_millis(bound_millis()));
    let (behind, count, carried) = (zone.behind(), zone.members.len(), zone.carried);
    let took = zone.now.millis_since(since);
    let questions = zone.questions;
    let figures = format!(
        "{behind} of {count} are behind after {took} ms, {carried} bytes and {questions} questions"
    );
    println!("{figures}");
    assert_eq!(behind, 0, "{figures}");
}

fn change(count: usize) {
    let mut zone = Zone::settled(count);
    while !CHANGED.has_passed(zone.now) {
        zone.step();
    }
    zone.version = 2;
    assert_known_in_time(zone, CHANGED);
}

fn restart(count: usize) {
    assert_known_in_time(Zone::starting(count, 1), Instant::from_millis(0));
}

#[test]
fn ten_members_learn_of_a_long_change_in_time() {
    change(10);
}

#[test]
fn a_hundred_members_learn_of_a_long_change_in_time() {
    change(100);
}

#[test]
fn a_thousand_members_learn_of_a_long_change_in_time() {
    change(1_000);
}

#[test]
fn ten_members_that_start_at_once_learn_everything_in_time() {
    restart(10);
}

#[test]
fn a_hundred_members_that_start_at_once_learn_everything_in_time() {
    restart(100);
}

#[test]
fn a_thousand_members_that_start_at_once_learn_everything_in_time() {
    restart(1_000);
}
