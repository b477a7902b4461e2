//! Simulation of gateways, engines and callers in virtual time.

use {
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        fingerprint::Fingerprint,
        report::Version,
        suspects::{
            CRASH_SETTLE_MILLIS, Case, Crash, HOLD_MIN_CRASHES, Incarnation, ReportOutcome, Status,
            Suspects,
        },
        trials::{CONFLICT_WINDOW_MILLIS, Trial, Trials},
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        net::SocketAddr,
    },
};

const ENGINES: usize = 12;
const GATEWAYS: usize = 6;
const ZONES: usize = 3;
const RUN_MILLIS: u64 = 40_000;
/// Milliseconds after a restart or partition until a gateway must know all cases.
const CONVERGENCE_MILLIS: u64 = 3_000;
/// Milliseconds between two innocent requests of all callers.
const REQUEST_INTERVAL_MILLIS: u64 = 12;
const SLOTS: usize = 12;
/// Milliseconds for which a request waits for another trial to end, or for a free engine.
const MAX_TRIAL_WAIT_MILLIS: u64 = 60;
/// Percentage of lost messages.
const LOST_PERCENT: u64 = 5;
/// Maximum milliseconds until a gateway detects a crash, and of a message between gateways.
const MAX_DELAY_MILLIS: u64 = 10;
const REPEAT_DELAYS_MILLIS: [u64; 3] = [0, 100, 500];

/// Faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Crashing requests, a network partition and restarts of gateways.
    Calm,
    /// In addition, a quarter of the engines crash together every 2.5 s.
    CommonFailures,
}

/// A rule that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    Replication,
    Refutation,
}

/// Policy by which requests are held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Code under test: attributed crashes, refuted by complete responses.
    Attribution,
    /// Number of crashes, refuted by complete responses.
    CrashCount,
    /// Probability of the crashes for an innocent request, from the share of all requests whose
    /// engine crashed.
    Likelihood,
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    #[expect(dead_code, reason = "shown where a day fails")]
    pub seed: u64,
    pub held_innocents: usize,
    /// Maximum sends of one crashing request by reachable gateways, [`CONVERGENCE_MILLIS`] after its
    /// third crash.
    pub late_sends: usize,
    /// Engines that each crashing request crashed.
    pub ended: Vec<usize>,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    fingerprint: Fingerprint,
    crashes_engines: bool,
    attempts: u32,
    retries: u32,
    waited_millis: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Crash(Crash),
    Cleared(Fingerprint),
    /// The same, in reply to a report of a crash.
    Reply(Fingerprint),
    TrialStarted(Trial),
    TrialEnded(Fingerprint, SocketAddr),
    Digest(u64, usize, bool),
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(Request, usize),
    StartTrial(Request, usize, usize, bool),
    /// End of a run at an engine, unless the engine crashed before.
    Finished(usize, u64, u64),
    Crash(usize),
    CommonFailure,
    Receive(usize, usize, Message),
    Restart(usize),
    CompareDigests(usize),
    Evaluate(usize),
}

struct Run {
    number: u64,
    request: Request,
    gateway: usize,
    incarnation_number: u32,
    is_trial: bool,
}

struct Engine {
    incarnation_number: u64,
    up_at: u64,
    runs: Vec<Run>,
}

struct Gateway {
    suspects: Suspects,
    trials: Trials,
    up_at: u64,
    incarnation_number: u32,
    /// Decaying numbers of all runs, and of those whose engine crashed.
    runs: f64,
    crashed: f64,
}

struct Simulation {
    seed: u64,
    draws: u64,
    scenario: Scenario,
    disabled: Disabled,
    policy: Policy,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    partition: (u64, u64),
    number: u64,
    crash_times: HashMap<Fingerprint, Vec<u64>>,
    late_sends_by_request: HashMap<Fingerprint, usize>,
    held_innocents: usize,
}

fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, gateway as u8 + 1], 7_700))
}

fn numbered_fingerprint(number: u64) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Fingerprint(bytes)
}

const fn zone_of(gateway: usize) -> usize {
    gateway % ZONES
}

/// Simulates one run.
pub fn simulate(seed: u64, scenario: Scenario, disabled: Disabled, policy: Policy) -> Outcome {
    let engine = |incarnation_number| Engine {
        incarnation_number,
        up_at: 0,
        runs: Vec::new(),
    };
    let gateway = |_| Gateway {
        suspects: Suspects::default(),
        trials: Trials::default(),
        up_at: 0,
        incarnation_number: 0,
        runs: 1.0,
        crashed: 0.0,
    };
    let mut simulation = Simulation {
        seed,
        draws: 0,
        scenario,
        disabled,
        policy,
        now: 0,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        engines: (0..ENGINES as u64).map(engine).collect(),
        gateways: (0..GATEWAYS).map(gateway).collect(),
        partition: (0, 0),
        number: 1_000,
        crash_times: HashMap::new(),
        late_sends_by_request: HashMap::new(),
        held_innocents: 0,
    };
    simulation.prepare();
    simulation.run();
    Outcome {
        seed,
        held_innocents: simulation.held_innocents,
        late_sends: simulation
            .late_sends_by_request
            .values()
            .copied()
            .max()
            .unwrap_or(0),
        ended: simulation.crash_times.values().map(Vec::len).collect(),
    }
}

impl Simulation {
    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        order::mix(order::mix(self.seed + 1) ^ self.draws) % below.max(1)
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((self.now + millis, self.number)));
        self.events.insert(self.number, event);
    }

    fn prepare(&mut self) {
        for at in (0..RUN_MILLIS).step_by(REQUEST_INTERVAL_MILLIS as usize) {
            // Three in ten callers send one of three common requests, the others a unique one.
            let fingerprint = match self.draw(10) {
                0..3 => numbered_fingerprint(self.draw(3)),
                _ => numbered_fingerprint(100_000 + at),
            };
            self.submit(at, fingerprint, false);
        }
        for crashing in 0..1 + self.draw(3) {
            let between = 100 + self.draw(600);
            let mut at = 3_000 + self.draw(8_000);
            while at < RUN_MILLIS {
                // Some callers send duplicates.
                for _ in 0..1 + self.draw(3) {
                    self.submit(at, numbered_fingerprint(10 + crashing), true);
                }
                at += between;
            }
        }
        if self.scenario == Scenario::CommonFailures {
            for at in (8_000..28_000).step_by(2_500) {
                self.schedule(at, Event::CommonFailure);
            }
        }
        for _ in 0..self.draw(3) {
            let at = self.draw(RUN_MILLIS);
            let gateway = self.draw(GATEWAYS as u64) as usize;
            self.schedule(at, Event::Restart(gateway));
        }
        let from = self.draw(RUN_MILLIS);
        self.partition = (from, from + self.draw(6_000));
        for gateway in 0..GATEWAYS {
            let at = self.draw(1_000);
            self.schedule(at, Event::CompareDigests(gateway));
        }
    }

    fn submit(&mut self, at: u64, fingerprint: Fingerprint, crashes_engines: bool) {
        let gateway = self.draw(GATEWAYS as u64) as usize;
        // A third of the callers retry more often than told.
        let retries = match self.draw(3) {
            0 => 4,
            _ => 1,
        };
        let request = Request {
            fingerprint,
            crashes_engines,
            attempts: 2,
            retries,
            waited_millis: 0,
        };
        self.schedule(at, Event::Arrive(request, gateway));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > RUN_MILLIS {
                return;
            }
            self.now = at;
            match self.events.remove(&number).expect("queued") {
                Event::Arrive(request, gateway) => self.arrive(request, gateway),
                Event::StartTrial(request, gateway, engine, reserves_engine) => {
                    self.start_trial(request, gateway, engine, reserves_engine);
                }
                Event::Finished(engine, incarnation_number, run) => {
                    self.finish(engine, incarnation_number, run)
                }
                Event::Crash(engine) => self.crash(engine),
                Event::CommonFailure => self.cause_common_failure(),
                Event::Receive(gateway, from, message) => self.receive(gateway, from, &message),
                Event::Restart(gateway) => self.restart(gateway),
                Event::CompareDigests(gateway) => self.compare_digests(gateway),
                Event::Evaluate(gateway) => self.evaluate(gateway),
            }
        }
    }

    fn at(&self) -> Instant {
        Instant::from_millis(self.now + 100_000)
    }

    fn status(&self, gateway: usize, fingerprint: Fingerprint) -> Status {
        let gateway = &self.gateways[gateway];
        let known = gateway.suspects.status(fingerprint);
        if self.policy == Policy::Attribution {
            return known;
        }
        let replicated_cases = gateway
            .suspects
            .replicated_cases()
            .find(|(one, _)| *one == fingerprint);
        let Some((_, case)) = replicated_cases else {
            return known;
        };
        let is_cleared = case.refuted_up_to.is_some();
        let crashes = case.crashes.len();
        let is_held = match self.policy {
            Policy::Likelihood => {
                let share = (gateway.crashed / gateway.runs).clamp(0.001, 0.9);
                share.powi(crashes as i32) < 1e-6
            }
            _ => crashes >= HOLD_MIN_CRASHES,
        };
        match (is_cleared, is_held) {
            (true, _) => Status::Clear,
            (false, true) => Status::Held,
            (false, false) => Status::Suspect,
        }
    }

    fn arrive(&mut self, request: Request, gateway: usize) {
        if self.gateways[gateway].up_at > self.now {
            return self.retry_later(request);
        }
        match self.status(gateway, request.fingerprint) {
            Status::Held => self.held_innocents += usize::from(!request.crashes_engines),
            Status::Clear => self.send(request, gateway),
            Status::SingleCrash | Status::Suspect => self.announce_trial(request, gateway),
        }
    }

    fn announce_trial(&mut self, mut request: Request, gateway: usize) {
        let at = self.at();
        let trials = &self.gateways[gateway].trials;
        let reserved: Vec<Incarnation> = trials.engines(at).collect();
        let is_on_trial = trials.is_on_trial(request.fingerprint, at);
        let is_suspect = self.status(gateway, request.fingerprint) == Status::Suspect;
        let candidates: Vec<usize> = self.engines_with_room().collect();
        let candidates = match candidates.len() {
            0 => None,
            count => Some(candidates[self.draw(count as u64) as usize]),
        };
        let free = self.engines_with_room();
        let free = free.filter(|one| !reserved.contains(&self.incarnation(*one)));
        let least_loaded = free.min_by_key(|one| self.engines[*one].runs.len());
        // After one crash it doesn't wait for a free engine.
        let reserves_engine =
            least_loaded.is_some() || is_suspect || request.waited_millis < MAX_TRIAL_WAIT_MILLIS;
        let least_loaded = if reserves_engine {
            least_loaded
        } else {
            candidates
        };
        let Some(engine) = least_loaded.filter(|_| !is_on_trial) else {
            request.waited_millis += 20;
            return match request.waited_millis > MAX_TRIAL_WAIT_MILLIS {
                true => self.retry_later(request),
                false => self.schedule(20, Event::Arrive(request, gateway)),
            };
        };
        let trial = self.trial(request.fingerprint, gateway, engine, reserves_engine);
        self.gateways[gateway].trials.record_start(trial, at);
        self.broadcast(gateway, &Message::TrialStarted(trial));
        let event = Event::StartTrial(request, gateway, engine, reserves_engine);
        self.schedule(CONFLICT_WINDOW_MILLIS, event);
    }

    fn trial(
        &self,
        fingerprint: Fingerprint,
        gateway: usize,
        engine: usize,
        reserves_engine: bool,
    ) -> Trial {
        Trial {
            gateway: address(gateway),
            fingerprint,
            engine: reserves_engine.then(|| self.incarnation(engine)),
        }
    }

    fn incarnation(&self, engine: usize) -> Incarnation {
        Incarnation(order::mix(self.engines[engine].incarnation_number))
    }

    fn engines_with_room(&self) -> impl Iterator<Item = usize> {
        let has_room = |one: &usize| {
            let engine = &self.engines[*one];
            engine.up_at <= self.now && engine.runs.len() < SLOTS
        };
        (0..ENGINES).filter(has_room)
    }

    fn start_trial(
        &mut self,
        request: Request,
        gateway: usize,
        engine: usize,
        reserves_engine: bool,
    ) {
        if self.gateways[gateway].up_at > self.now {
            return;
        }
        let trial = self.trial(request.fingerprint, gateway, engine, reserves_engine);
        let may_continue = self.gateways[gateway]
            .trials
            .may_continue(&trial, self.at());
        let status = self.status(gateway, request.fingerprint);
        let is_suspect = match reserves_engine {
            true => matches!(status, Status::SingleCrash | Status::Suspect),
            false => status == Status::SingleCrash,
        };
        let has_room = self.engines_with_room().any(|one| one == engine);
        if may_continue && is_suspect && has_room {
            return self.send_to(request, gateway, engine, true);
        }
        self.end_trial(request.fingerprint, gateway);
        self.arrive(request, gateway);
    }

    fn end_trial(&mut self, fingerprint: Fingerprint, gateway: usize) {
        let by = address(gateway);
        self.gateways[gateway].trials.record_end(fingerprint, by);
        self.broadcast(gateway, &Message::TrialEnded(fingerprint, by));
    }

    fn send(&mut self, request: Request, gateway: usize) {
        let up: Vec<usize> = self.engines_with_room().collect();
        if up.is_empty() {
            return self.retry_later(request);
        }
        let engine = up[self.draw(up.len() as u64) as usize];
        self.send_to(request, gateway, engine, false);
    }

    fn send_to(&mut self, mut request: Request, gateway: usize, engine: usize, is_trial: bool) {
        request.attempts -= 1;
        self.note_send(request, gateway);
        self.number += 1;
        let number = self.number;
        let incarnation_number = self.engines[engine].incarnation_number;
        self.engines[engine].runs.push(Run {
            number,
            request,
            gateway,
            incarnation_number: self.gateways[gateway].incarnation_number,
            is_trial,
        });
        let run_millis = match request.crashes_engines {
            true => 40 + self.draw(700),
            false => 200 + self.draw(1_300),
        };
        self.schedule(
            run_millis,
            Event::Finished(engine, incarnation_number, number),
        );
    }

    fn note_send(&mut self, request: Request, gateway: usize) {
        let Some(third) = self
            .crash_times
            .get(&request.fingerprint)
            .and_then(|crashes| crashes.get(2))
        else {
            return;
        };
        let is_late = request.crashes_engines && self.now > third + CONVERGENCE_MILLIS;
        let is_up = self.gateways[gateway].up_at + CONVERGENCE_MILLIS <= self.now;
        let (from, to) = self.partition;
        let is_partitioned =
            zone_of(gateway) == 0 && self.now >= from && self.now <= to + CONVERGENCE_MILLIS;
        if is_late && is_up && !is_partitioned {
            *self
                .late_sends_by_request
                .entry(request.fingerprint)
                .or_default() += 1;
        }
    }

    fn finish(&mut self, engine: usize, incarnation_number: u64, number: u64) {
        if self.engines[engine].incarnation_number != incarnation_number {
            return;
        }
        let runs = &mut self.engines[engine].runs;
        let Some(index) = runs.iter().position(|run| run.number == number) else {
            return;
        };
        if runs[index].request.crashes_engines {
            let fingerprint = runs[index].request.fingerprint;
            let now = self.now;
            self.crash_times.entry(fingerprint).or_default().push(now);
            return self.crash(engine);
        }
        let run = runs.swap_remove(index);
        let gateway = &mut self.gateways[run.gateway];
        if gateway.incarnation_number != run.incarnation_number {
            return;
        }
        gateway.runs = gateway.runs * 0.995 + 1.0;
        gateway.crashed *= 0.995;
        if self.disabled != Disabled::Refutation {
            let refutes = gateway
                .suspects
                .record_completion(run.request.fingerprint, Version(1));
            if refutes {
                self.broadcast(run.gateway, &Message::Cleared(run.request.fingerprint));
            }
        }
        if run.is_trial {
            self.end_trial(run.request.fingerprint, run.gateway);
        }
    }

    /// Crashes an engine.
    fn crash(&mut self, engine: usize) {
        if self.engines[engine].up_at > self.now {
            return;
        }
        let restart_millis = 1_000 + self.draw(3_000);
        let incarnation = self.incarnation(engine);
        let crashed_engine = &mut self.engines[engine];
        crashed_engine.up_at = self.now + restart_millis;
        crashed_engine.incarnation_number += ENGINES as u64;
        for run in std::mem::take(&mut crashed_engine.runs) {
            let gateway = &mut self.gateways[run.gateway];
            if gateway.incarnation_number != run.incarnation_number {
                continue;
            }
            gateway.runs = gateway.runs * 0.995 + 1.0;
            gateway.crashed = gateway.crashed * 0.995 + 1.0;
            let delay_millis = 1 + self.draw(MAX_DELAY_MILLIS);
            let crash = Crash {
                fingerprint: run.request.fingerprint,
                carrier: None,
                account: 0,
                engine: incarnation,
                version: Version(1),
                at: Instant::from_millis(self.now + delay_millis + 100_000),
            };
            self.schedule(
                delay_millis,
                Event::Receive(run.gateway, run.gateway, Message::Crash(crash)),
            );
            if run.is_trial {
                self.end_trial(run.request.fingerprint, run.gateway);
            }
            match run.request.attempts {
                0 => self.retry_later(run.request),
                _ => self.schedule(delay_millis + 1, Event::Arrive(run.request, run.gateway)),
            }
        }
    }

    fn cause_common_failure(&mut self) {
        let first = self.draw(ENGINES as u64) as usize;
        for number in 0..ENGINES / 4 {
            let millis = self.draw(3);
            self.schedule(millis, Event::Crash((first + number) % ENGINES));
        }
    }

    fn retry_later(&mut self, request: Request) {
        if request.retries == 0 {
            return;
        }
        let retry = Request {
            attempts: 2,
            retries: request.retries - 1,
            waited_millis: 0,
            ..request
        };
        let gateway = self.draw(GATEWAYS as u64) as usize;
        let wait = 50 + self.draw(800);
        self.schedule(wait, Event::Arrive(retry, gateway));
    }

    fn broadcast(&mut self, gateway: usize, message: &Message) {
        self.broadcast_after(gateway, message, 0);
    }

    fn broadcast_after(&mut self, gateway: usize, message: &Message, millis: u64) {
        for other in (0..GATEWAYS).filter(|other| *other != gateway) {
            self.send_message(gateway, other, message.clone(), millis);
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: Message, millis: u64) {
        let at = self.now + millis;
        let crosses = zone_of(from) != zone_of(to);
        let is_partitioned = (zone_of(from) == 0 || zone_of(to) == 0)
            && self.partition.0 <= at
            && at <= self.partition.1;
        let is_lost = self.draw(100) < LOST_PERCENT;
        if is_lost || (crosses && (is_partitioned || self.disabled == Disabled::Replication)) {
            return;
        }
        let delay_millis = 1 + self.draw(MAX_DELAY_MILLIS);
        self.schedule(millis + delay_millis, Event::Receive(to, from, message));
    }

    fn receive(&mut self, gateway: usize, from: usize, message: &Message) {
        if self.gateways[gateway].up_at > self.now {
            return;
        }
        let at = self.at();
        let state = &mut self.gateways[gateway];
        match message {
            Message::Crash(crash) => {
                let noted = state.suspects.record_crash(*crash, ENGINES);
                let is_new = noted == ReportOutcome::New;
                if from == gateway && is_new {
                    for millis in REPEAT_DELAYS_MILLIS {
                        self.broadcast_after(gateway, &Message::Crash(*crash), millis);
                    }
                }
                if from != gateway && matches!(noted, ReportOutcome::Refuted(_)) {
                    self.send_message(gateway, from, Message::Reply(crash.fingerprint), 0);
                }
                if is_new {
                    self.schedule(CRASH_SETTLE_MILLIS + 1, Event::Evaluate(gateway));
                }
            }
            Message::Cleared(fingerprint) => {
                state.suspects.record_refutation(*fingerprint, Version(1));
            }
            Message::Reply(fingerprint) => {
                if state.suspects.record_refutation(*fingerprint, Version(1)) {
                    self.broadcast(gateway, &Message::Cleared(*fingerprint));
                }
            }
            Message::TrialEnded(fingerprint, by) => state.trials.record_end(*fingerprint, *by),
            Message::TrialStarted(trial) => state.trials.record_start(*trial, at),
            Message::Digest(digest, from, is_reply) => {
                self.reply_to_digest(gateway, *digest, *from, *is_reply);
            }
        }
    }

    fn evaluate(&mut self, gateway: usize) {
        let at = self.at();
        for fingerprint in self.gateways[gateway].suspects.evaluate(at) {
            self.abort_runs(gateway, fingerprint);
        }
    }

    /// Aborts all runs of a request that is held back.
    fn abort_runs(&mut self, gateway: usize, fingerprint: Fingerprint) {
        for engine in &mut self.engines {
            engine
                .runs
                .retain(|run| run.gateway != gateway || run.request.fingerprint != fingerprint);
        }
    }

    fn reply_to_digest(&mut self, gateway: usize, digest: u64, from: usize, is_reply: bool) {
        let own = self.gateways[gateway].suspects.digest();
        if own == digest {
            return;
        }
        let replicated_cases = self.gateways[gateway].suspects.replicated_cases();
        let messages = |(fingerprint, case): (Fingerprint, &Case)| {
            let crashes = case.crashes.iter().map(|crash| Message::Crash(*crash));
            crashes
                .chain(case.refuted_up_to.map(|_| Message::Cleared(fingerprint)))
                .collect::<Vec<_>>()
        };
        let messages: Vec<Message> = replicated_cases.flat_map(messages).collect();
        for message in messages {
            self.send_message(gateway, from, message, 0);
        }
        if !is_reply {
            self.send_message(gateway, from, Message::Digest(own, gateway, true), 0);
        }
    }

    fn compare_digests(&mut self, gateway: usize) {
        self.schedule(1_000, Event::CompareDigests(gateway));
        let is_new = self.now < self.gateways[gateway].up_at + 4_000;
        let digest = self.gateways[gateway].suspects.digest();
        if self.gateways[gateway].up_at > self.now || (digest == 0 && !is_new) {
            return;
        }
        let other = (gateway + 1 + self.draw(GATEWAYS as u64 - 1) as usize) % GATEWAYS;
        self.send_message(gateway, other, Message::Digest(digest, gateway, false), 0);
    }

    fn restart(&mut self, gateway: usize) {
        let up_at = self.now + 500 + self.draw(1_500);
        let state = &mut self.gateways[gateway];
        state.suspects = Suspects::default();
        state.trials = Trials::default();
        state.incarnation_number += 1;
        state.up_at = up_at;
        for engine in &mut self.engines {
            engine.runs.retain(|run| run.gateway != gateway);
        }
    }
}
