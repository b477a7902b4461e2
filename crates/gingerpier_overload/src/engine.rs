//! An engine that batches: passes over all that runs, prompts read a part at a time, a queue in front.

use {
    gingerpier_serving::{
        configuration::EngineModel,
        report::{Held, Report, Version},
    },
    std::collections::VecDeque,
};

/// A request at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Which attempt it is.
    pub attempt: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Prompt tokens that are yet to be read.
    pub unread: f64,
    /// Tokens of its answer.
    pub answer: u64,
    /// Tokens that were written.
    pub written: u64,
    /// When its caller stops waiting, in milliseconds.
    pub deadline: f64,
}

/// What a pass brought to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Brought {
    /// Its first event.
    First(usize),
    /// Its last event.
    Last(usize),
    /// Its deadline passed.
    TimedOut(usize),
}

/// An engine.
#[derive(Debug, Clone)]
pub struct Engine {
    model: EngineModel,
    queue_limit: usize,
    /// Requests that wait.
    pub queue: VecDeque<Job>,
    /// Requests that run.
    pub running: Vec<Job>,
    /// True during a pass.
    pub is_passing: bool,
    /// Counts its incarnations.
    pub life: u32,
    /// True while it is there.
    pub is_up: bool,
}

impl Engine {
    /// An engine without work.
    pub const fn new(model: EngineModel, queue_limit: usize) -> Self {
        Self {
            model,
            queue_limit,
            queue: VecDeque::new(),
            running: Vec::new(),
            is_passing: false,
            life: 0,
            is_up: true,
        }
    }

    /// Ends or begins; whatever ran there is lost.
    pub fn switch(&mut self, is_up: bool) {
        self.is_up = is_up;
        self.is_passing = false;
        self.life += u32::from(is_up);
        self.queue.clear();
        self.running.clear();
    }

    /// Takes a request; false where the queue is full.
    pub fn take(&mut self, job: Job) -> bool {
        let has_room = self.is_up && self.queue.len() < self.queue_limit;
        if has_room {
            self.queue.push_back(job);
        }
        has_room
    }

    /// Forgets an attempt whose caller left.
    pub fn cancel(&mut self, attempt: usize) {
        self.queue.retain(|job| job.attempt != attempt);
        self.running.retain(|job| job.attempt != attempt);
    }

    /// Requests there.
    pub fn requests(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Begins a pass; gives its length in milliseconds, none where there is nothing to do.
    pub fn begin_pass(&mut self) -> Option<f64> {
        self.admit();
        if self.running.is_empty() || self.is_passing {
            return None;
        }
        self.is_passing = true;
        let context: u64 = self.writers().map(|job| job.prompt + job.written).sum();
        let writers = self.writers().count() as f64;
        let model = &self.model;
        let step = model.step_millis
            + model.per_request_millis * writers
            + model.per_thousand_tokens_millis * context as f64 / 1_000.0;
        let steps = if writers > 0.0 {
            f64::from(model.stride) * step
        } else {
            0.0
        };
        Some(steps + self.to_read() / model.prompt_tokens_per_milli)
    }

    /// Ends a pass; gives what it brought.
    pub fn end_pass(&mut self, now: f64) -> Vec<Brought> {
        self.is_passing = false;
        let mut brought = Vec::new();
        let mut reads = self.to_read();
        let stride = u64::from(self.model.stride);
        for job in &mut self.running {
            if job.unread > 0.0 {
                let read = job.unread.min(reads);
                job.unread -= read;
                reads -= read;
                continue;
            }
            let is_first = job.written == 0;
            job.written += stride;
            if is_first {
                brought.push(Brought::First(job.attempt));
            }
            if job.written >= job.answer {
                brought.push(Brought::Last(job.attempt));
            }
        }
        self.running.retain(|job| job.written < job.answer);
        let late = self
            .queue
            .iter()
            .chain(&self.running)
            .filter(|job| job.deadline < now);
        brought.extend(late.map(|job| Brought::TimedOut(job.attempt)));
        self.queue.retain(|job| job.deadline >= now);
        self.running.retain(|job| job.deadline >= now);
        brought
    }

    /// What it says of itself.
    pub fn report(&self) -> Report {
        Report {
            loaded: vec![Held {
                model: crate::MODEL.to_owned(),
                version: Version(1),
            }],
            queued: self.queue.len() as u32,
            active: self.running.len() as u32,
            memory_used_tokens: self.memory_used(),
            memory_total_tokens: self.model.memory_tokens,
            slowdown: 1.0,
            ..Report::default()
        }
    }

    fn writers(&self) -> impl Iterator<Item = &Job> {
        self.running.iter().filter(|job| job.unread <= 0.0)
    }

    fn to_read(&self) -> f64 {
        let unread: f64 = self.running.iter().map(|job| job.unread).sum();
        unread.min(
            self.model
                .max_prompt_tokens_per_pass
                .map_or(f64::MAX, f64::from),
        )
    }

    fn memory_used(&self) -> u64 {
        self.running
            .iter()
            .map(|job| job.prompt + job.written)
            .sum()
    }

    fn admit(&mut self) {
        while self.running.len() < self.model.slots as usize {
            let Some(job) = self.queue.front().copied() else {
                return;
            };
            if self.memory_used() + job.prompt + job.answer > self.model.memory_tokens {
                return;
            }
            self.queue.pop_front();
            self.running.push(job);
        }
    }
}
