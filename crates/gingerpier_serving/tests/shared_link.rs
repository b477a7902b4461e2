//! A zone whose members share one link to the store, as a model without I/O.
//!
//! The store's answers cross the link in the order in which they were sent; one that was given up
//! crosses all the same, in vain. Members tell each other beside the link. What is in force at the store
//! has to be known to all members within 1.5 times what the link needs for a copy for each of the
//! members that watch, however many members there are.
//!
//! What decides is the code under test; what the model repeats are a gateway's calls. An answer is given
//! up where it has been silent and a small question that is asked meanwhile is answered, or after a long
//! silence. A copy comes in pages, and goes on behind those that came. A watch that brings nothing is
//! followed by a small question.
//!
//! Left out are the words of other zones and of members that are asked at random while the store is silent:
//! they only make things better. So is a store that forgets its history, since here it does not.

use {
    gingerpier_base::Instant,
    gingerpier_serving::watching::{Failure, Step, WATCHERS, Watching},
    std::{collections::VecDeque, net::SocketAddr},
};

/// Bytes of a long answer.
const ANSWER_BYTES: u64 = 1_300_000;

/// Bytes of a short answer: a head and a page without items.
const SHORT_BYTES: u64 = 300;

/// Bytes that the link brings in a millisecond: 8 Mbit/s.
const BYTES_PER_MILLI: u64 = 1_000;

/// Milliseconds of a step of the model; a question to a member takes one.
const STEP_MILLIS: u64 = 10;

/// Milliseconds that a watch waits for news.
const WATCH_MILLIS: u64 = 600;

/// Milliseconds beyond its wait within which the answer to a watch begins.
const WATCH_SLACK_MILLIS: u64 = 600;

/// Milliseconds within which the answer to a read begins.
const READ_MILLIS: u64 = 1_500;

/// Milliseconds without a byte after which the silence of an answer is looked into.
const STALL_MILLIS: u64 = 800;

/// Milliseconds without a byte after which an answer is given up, whatever else is known.
const MOST_SILENCE_MILLIS: u64 = 5_000;

/// Milliseconds that the answer to the small question about a silent one may take.
const SMALL_MILLIS: u64 = 1_500;

/// Milliseconds between watches.
const PAUSE_MILLIS: u64 = 400;

/// Most milliseconds of the pause after a first failed call.
const RETRY_MILLIS: u64 = 500;

/// Most times that this doubles.
const MOST_DOUBLINGS: u32 = 2;

/// Milliseconds for which a member holds a question while it has no news.
const HELD_MILLIS: u64 = 400;

/// Milliseconds between questions to a member.
const BATCH_MILLIS: u64 = 20;

/// When the store takes the new version, in the runs where it changes.
const CHANGED: Instant = Instant::from_millis(600);

/// What a member decides; the one place that knows the types under test.
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

/// A call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// For news.
    Watch,
    /// For how far the store is, after a watch that brought nothing.
    Confirm,
    /// For the page of a copy with the configuration.
    FirstPage,
    /// For the page of a copy with the rest.
    LastPage,
    /// For how far the store is, where others are meant to watch.
    Probe,
}

impl Call {
    /// Milliseconds within which its answer begins where the way is sound.
    const fn begins_millis(self) -> u64 {
        match self {
            Self::Watch => WATCH_MILLIS + WATCH_SLACK_MILLIS,
            Self::Confirm | Self::FirstPage | Self::LastPage | Self::Probe => READ_MILLIS,
        }
    }
}

/// A small question that is asked while an answer is silent.
#[derive(Debug, Clone, Copy)]
struct Check {
    number: u64,
    until: Instant,
    is_answered: bool,
    /// When bytes of the silent answer came last, as it was asked.
    heard: Option<Instant>,
}

/// A call of the store that is under way.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    call: Call,
    number: u64,
    asked: Instant,
    /// When bytes of the answer came last.
    heard: Option<Instant>,
    /// False while the store holds it.
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

    /// True where `check`, which is over, tells that no answer is to be expected.
    fn is_given_up(&self, check: &Check, now: Instant) -> bool {
        let silent = now.millis_since(self.heard.unwrap_or(self.asked));
        self.heard == check.heard && (check.is_answered || silent > MOST_SILENCE_MILLIS)
    }
}

/// A question to a member.
#[derive(Debug, Clone, Copy)]
struct Asking {
    /// Place of that member.
    member: usize,
    /// Until when it is held while there is no news.
    held: Instant,
    /// Age up to which its word counts.
    most_age: u64,
}

#[derive(Debug, Clone, Copy)]
enum Doing {
    /// Nothing until then.
    Resting(Instant),
    /// The store was asked.
    Waiting(Waiting),
    /// A member was asked for news.
    Asking(Asking),
    /// A member, by its place, was asked for a first copy.
    AskingForCopy(usize),
}

struct Member {
    address: SocketAddr,
    others: Vec<SocketAddr>,
    decisions: Decisions,
    doing: Doing,
    knows: u64,
    /// Version in the first page of a copy that is being read.
    copy: Option<u64>,
    /// Calls that failed in a row.
    failures: u32,
    /// The store's last word, or when this member started.
    word: Instant,
}

impl Member {
    fn rest(&mut self, until: Instant) {
        self.doing = Doing::Resting(until);
    }

    /// Takes the whole answer to `waiting`; gives the call that follows at once, where one does.
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
    /// Number of the question.
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
    /// Questions that the store was asked.
    questions: u64,
    version: u64,
}

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 8_000))
}

/// A number below `most` that differs from place to place.
const fn scattered(place: usize, most: u64) -> u64 {
    ((place as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) % most
}

impl Zone {
    /// Zone of `count` members that start now and know each other, but nothing else; the store holds
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

    /// Zone of `count` members that all know the first version, which is short.
    fn settled(count: usize) -> Self {
        let mut zone = Self::starting(count, 1);
        for (place, member) in zone.members.iter_mut().enumerate() {
            member.knows = 1;
            let begins = scattered(place, PAUSE_MILLIS);
            member.rest(zone.now.after_millis(begins));
        }
        zone
    }

    /// Members that do not know what is in force.
    fn behind(&self) -> usize {
        let members = self.members.iter();
        members.filter(|one| one.knows < self.version).count()
    }

    /// Runs until all members know what is in force, or `deadline`.
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

    /// Brings as many bytes as the link can in a step.
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

    /// Brings a member what has come of an answer, where it still waits for it.
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

    /// Asks the store; a watch is answered later.
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

    /// The store answers; what is news is long.
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

    /// Waits for the store's answer.
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

    /// Asks a small question where an answer is silent; true where the answer is given up.
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

    /// Hears what a member knows, once that is news or the question was held for long.
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

    /// Hears whether a member has a first copy.
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

/// Milliseconds within which a copy for each member that watches has to be known to all.
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
