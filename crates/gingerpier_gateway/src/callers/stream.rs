//! Streams of events, passed on as they come and resumed behind whole events.

use {
    super::{
        attempt::{self, Begun, Cause, Failed, Sent},
        call::Call,
        forward::{Course, Ended, left},
    },
    crate::clock,
    bytes::Bytes,
    gingerpier_base::Instant,
    gingerpier_http1::{
        body::{Decoder, Part},
        connection::Connection,
        writer::{self, LAST_CHUNK},
    },
    gingerpier_serving::{course::Failure, events::Splitter, report::Version},
};

/// Milliseconds between events after which another engine may go on.
const GAP_MILLIS: u64 = 1_200;

/// Least milliseconds to a first event after which another engine may be asked.
const LEAST_FIRST_MILLIS: u64 = 1_200;

/// Targets of a first event after which another engine may be asked.
const FIRST_TARGETS: u64 = 3;

/// Milliseconds until an engine that is silent, with no other to go to, is looked at again.
const LOOK_MILLIS: u64 = 300;

/// Instant by which an attempt has to show something.
pub type Patience = Instant;

/// An engine that sends nothing.
pub const SILENT: Failed = Failed {
    failure: Failure::Unknown,
    cause: Cause::Silent,
};

/// How far a stream has come.
#[derive(Debug, Default)]
pub struct Progress {
    splitter: Splitter,
    has_begun: bool,
    version: Version,
    first: Option<Instant>,
    last: Option<Instant>,
    longest_pause: u64,
}

impl Progress {
    /// True once the caller has the head of an answer.
    pub const fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Version of the weights that it began with.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Id of the last event that the caller has.
    pub fn last_event(&self) -> Option<&Bytes> {
        self.splitter.last_id()
    }

    /// Events that the caller has.
    pub const fn count(&self) -> u64 {
        self.splitter.count()
    }

    /// Longest time between events so far, in milliseconds.
    pub const fn longest_pause(&self) -> u64 {
        self.longest_pause
    }

    /// Notes that events came at `now`; true for the first of them.
    fn note_events(&mut self, now: Instant) -> bool {
        let pause = self.last.map_or(0, |last| now.millis_since(last));
        self.longest_pause = self.longest_pause.max(pause);
        self.last = Some(now);
        self.has_begun = true;
        let is_first = self.first.is_none();
        self.first = self.first.or(Some(now));
        is_first
    }

    /// Milliseconds from `received` to the first event.
    pub fn first_millis(&self, received: Instant) -> Option<u64> {
        self.first.map(|first| first.millis_since(received))
    }
}

/// Until when an engine may show nothing, from `now` on.
pub fn first_patience(call: &Call<'_>, now: Instant) -> Patience {
    let target = FIRST_TARGETS * call.rules().target_millis;
    now.after_millis(target.max(LEAST_FIRST_MILLIS))
}

/// The same, where no other engine could be asked.
pub fn next_patience() -> Patience {
    clock::now().after_millis(LOOK_MILLIS)
}

/// What a piece of a stream brought.
enum Piece {
    More,
    End,
    Broken(Failed),
}

/// Reads on until there are whole events or the stream ends; whole events go into `output`.
async fn next_piece(
    connection: &mut Connection,
    decoder: &mut Decoder,
    splitter: &mut Splitter,
    output: &mut Vec<u8>,
) -> Piece {
    loop {
        loop {
            match decoder.decode(&mut connection.input) {
                Ok(Some(Part::Data(data))) => {
                    if let Some(events) = splitter.push(&data) {
                        writer::chunk(output, &events);
                    }
                }
                Ok(Some(Part::End)) => return Piece::End,
                Ok(None) => break,
                Err(error) => return Piece::Broken(attempt::failed(error)),
            }
        }
        if !output.is_empty() {
            return Piece::More;
        }
        match connection.read().await {
            Ok(true) => {}
            Ok(false) => {
                return match decoder.close() {
                    Ok(()) => Piece::End,
                    Err(error) => Piece::Broken(attempt::failed(error)),
                };
            }
            Err(_) => return Piece::Broken(attempt::failed(gingerpier_http1::error::Error::Cut)),
        }
    }
}

/// Passes a stream on.
pub async fn relay(
    course: &mut Course<'_, '_>,
    caller: &mut Connection,
    begun: Begun,
    progress: &mut Progress,
    sent: &mut Sent,
) -> Ended {
    let Begun {
        mut connection,
        head,
        mut decoder,
        is_sent,
    } = begun;
    let names = course.state.dialect.names();
    let version = Version(head.fields.number(names.version).unwrap_or_default());
    let mut output = Vec::new();
    if !progress.has_begun {
        progress.version = version;
        output = course
            .head_of(&head)
            .field(b"transfer-encoding", b"chunked")
            .end();
    }
    let held = course.state.is_held(course.call.mark);
    tokio::pin!(held);
    let mut events = Vec::new();
    let mut patience = first_patience(course.call, clock::now());
    loop {
        let piece = tokio::select! {
            biased;
            piece = next_piece(&mut connection, &mut decoder, &mut progress.splitter, &mut events) => piece,
            () = left(caller) => return Ended::Left,
            () = clock::until(course.call.deadline) => return Ended::TimedOut,
            () = &mut held => return Ended::Held,
            () = clock::until(patience) => {
                if course.can_move(progress) {
                    progress.splitter.discard();
                    return Ended::Failed(SILENT);
                }
                patience = next_patience();
                continue;
            }
        };
        if matches!(piece, Piece::End) {
            let rest = progress.splitter.finish();
            writer::chunk(&mut events, &rest);
            events.extend_from_slice(LAST_CHUNK);
        }
        if !events.is_empty() {
            output.append(&mut events);
            if progress.note_events(clock::now()) {
                course.note_first();
            }
            sent.note_first();
            let written = clock::before(course.call.deadline, caller.write(&output)).await;
            match written {
                Some(Ok(())) => {}
                Some(Err(_)) => return Ended::Left,
                None => return Ended::TimedOut,
            }
            output.clear();
            patience = clock::now().after_millis(GAP_MILLIS);
        }
        match piece {
            Piece::More => {
                if course.leaves(sent.engine, progress) {
                    progress.splitter.discard();
                    return Ended::Moved;
                }
            }
            Piece::End => {
                course.note_finished(&head);
                let mut fleet = course.state.fleet.borrow_mut();
                fleet.engine_mut(sent.engine).note_success();
                if is_sent {
                    let mut pool = course.state.pool.borrow_mut();
                    pool.put(sent.engine, connection, &head);
                }
                return Ended::Done;
            }
            Piece::Broken(failed) => {
                progress.splitter.discard();
                return Ended::Failed(failed);
            }
        }
    }
}
