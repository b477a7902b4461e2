//! Responses that are not streams.
//!
//! A response is buffered as a whole if it is short, so that another engine can run the request
//! when an engine breaks off. Of a longer one, and while buffers are short, the caller gets each
//! part before the next one is read. Such a response ends where the engine breaks it off: with
//! fewer bytes than its length, or without a last chunk.

use {
    super::{
        attempt::{self, AttemptError, Cause, InFlight, PendingResponse},
        caller::{Caller, WriteError},
        forward::{AttemptOutcome, Forwarder, disconnected, refused_by_engine},
        stream::{self, Progress},
    },
    crate::{
        buffers::{self, Reservation},
        clock,
        state::State,
    },
    bytes::{Bytes, BytesMut},
    gingerpier_http1::{
        body::{Decoder, Framing, Part},
        connection::Connection,
        head::Response,
        writer::{self, LAST_CHUNK},
    },
    gingerpier_serving::{fleet::EngineKey, retry::Failure},
};

/// Longest body that is buffered as a whole, in bytes. Ordinary responses are far shorter.
const MAX_BUFFERED_BYTES: usize = buffers::LARGE_BYTES;

/// Length up to which head and body are copied into one buffer, and so into one packet.
const ONE_WRITE_BYTES: usize = 8 * 1024;

/// Time after the deadline within which a caller may still take a response that is complete.
const WRITE_EXTRA_MILLIS: u64 = 500;

/// An engine's complete response.
pub struct BufferedResponse {
    /// Response head.
    pub head: Response,
    /// Response body.
    pub body: Bytes,
    _reservation: Reservation,
}

/// A response body that is being read.
struct Reading {
    connection: Connection,
    decoder: Decoder,
    body: BytesMut,
    reservation: Reservation,
    /// Engine that sends the body.
    engine: EngineKey,
    /// True if the engine has to confirm an end that only its connection shows.
    confirms_end: bool,
}

impl Reading {
    /// Reads the next part.
    async fn next_part(&mut self, state: &State) -> Result<Part, AttemptError> {
        let part = self.connection.part(&mut self.decoder).await;
        let part = part.map_err(attempt::from_http)?;
        if part == Part::Closed && self.confirms_end {
            attempt::confirm_end(state, self.engine).await?;
        }
        Ok(part)
    }
}

/// True if the caller gets a response with this status even if another engine might succeed.
const fn is_final(status: u16) -> bool {
    status < 500 && !matches!(status, 408 | 429)
}

impl Forwarder<'_, '_> {
    /// Forwards a response that is not a stream; one that `is_refused` says that the engine didn't
    /// run the request.
    pub(super) async fn forward_response(
        &mut self,
        caller: &mut Caller,
        response: PendingResponse,
        is_refused: bool,
        progress: &mut Progress,
        in_flight: &mut InFlight,
    ) -> AttemptOutcome {
        let PendingResponse {
            connection,
            head,
            framing,
            is_request_sent,
        } = response;
        let mut reading = Reading {
            connection,
            decoder: Decoder::new(framing),
            body: BytesMut::new(),
            reservation: Reservation::new(&self.state.response_quota, Some(self.request.route)),
            engine: in_flight.engine,
            confirms_end: !is_refused,
        };
        let may_pass_on = is_final(head.status) && !is_refused && !progress.has_begun();
        loop {
            let data = match self.read_part(caller, &mut reading).await {
                Ok(Part::End | Part::Closed) => break,
                Ok(Part::Data(data)) => data,
                Err(outcome) => return outcome,
            };
            let length = reading.body.len() + data.len();
            let may_buffer =
                length <= MAX_BUFFERED_BYTES && reading.reservation.raise(length, clock::now());
            reading.body.extend_from_slice(&data);
            if may_buffer {
                continue;
            }
            if !may_pass_on {
                return AttemptOutcome::Failed(AttemptError {
                    failure: Failure::Unknown,
                    cause: Cause::Garbled,
                });
            }
            progress.commit();
            self.request.body.release();
            let passed_on = self.pass_on(caller, &mut reading, &head, framing, in_flight);
            if let Err(outcome) = passed_on.await {
                return outcome;
            }
            self.record_end(&head, in_flight);
            self.release(reading.connection, &head, is_request_sent, in_flight);
            return AttemptOutcome::Completed;
        }
        let Reading {
            connection,
            body,
            reservation,
            ..
        } = reading;
        self.release(connection, &head, is_request_sent, in_flight);
        if is_refused {
            return AttemptOutcome::Failed(refused_by_engine(head.status));
        }
        let response = BufferedResponse {
            head,
            body: body.freeze(),
            _reservation: reservation,
        };
        in_flight.record_response();
        self.record_completion(&response.head);
        if !is_final(response.head.status) || progress.has_begun() {
            return AttemptOutcome::ErrorStatus(response);
        }
        self.record_success(in_flight.engine);
        self.record_first_bytes();
        match self.write_buffered(caller, &response).await {
            Ok(()) => AttemptOutcome::Completed,
            Err(error) => error.into(),
        }
    }

    /// Returns the connection to the pool.
    fn release(
        &self,
        connection: Connection,
        head: &Response,
        is_request_sent: bool,
        in_flight: &InFlight,
    ) {
        if is_request_sent {
            let mut pool = self.state.pool.borrow_mut();
            pool.put(in_flight.engine, connection, head);
        }
    }

    /// Records that the engine ran the request to its end, at a pace that its caller determined.
    fn record_end(&self, head: &Response, in_flight: &InFlight) {
        self.record_completion(head);
        self.record_success(in_flight.engine);
    }

    async fn read_part(
        &self,
        caller: &mut Caller,
        reading: &mut Reading,
    ) -> Result<Part, AttemptOutcome> {
        if self.has_expired() {
            return Err(AttemptOutcome::TimedOut);
        }
        let part = tokio::select! {
            biased;
            part = reading.next_part(self.state) => part,
            () = disconnected(caller) => return Err(AttemptOutcome::Disconnected),
            () = clock::until(self.request.deadline) => return Err(AttemptOutcome::TimedOut),
            () = self.state.cutoff() => return Err(AttemptOutcome::TimedOut),
            () = self.state.until_held(self.request.fingerprint, &[]) => return Err(AttemptOutcome::Held),
        };
        part.map_err(AttemptOutcome::Failed)
    }

    /// Writes the part of the body that was read, and then each further part before the next one
    /// is read.
    async fn pass_on(
        &mut self,
        caller: &mut Caller,
        reading: &mut Reading,
        head: &Response,
        framing: Framing,
        in_flight: &mut InFlight,
    ) -> Result<(), AttemptOutcome> {
        let message = self.response_head(head);
        let (message, is_chunked) = match framing {
            Framing::Length(length) => (message.number("content-length", length), false),
            Framing::Chunked | Framing::UntilClose => {
                (message.field(b"transfer-encoding", b"chunked"), true)
            }
        };
        let deadline = self.request.deadline;
        caller.begin(&message.end(), deadline).await?;
        self.record_first_bytes();
        in_flight.record_first_event();
        let mut unread = stream::Unread::default();
        let mut data = std::mem::take(&mut reading.body).freeze();
        loop {
            let begun = clock::now();
            if is_chunked {
                let mut chunk = Vec::with_capacity(data.len() + writer::CHUNK_FRAME_BYTES);
                writer::chunk(&mut chunk, &data);
                caller.proceed(&chunk, deadline).await?;
            } else {
                caller.proceed(&data, deadline).await?;
            }
            unread.record_write(begun, clock::now());
            drop(data);
            reading.reservation.release();
            data = match self.read_part(caller, reading).await {
                Ok(Part::Data(data)) => data,
                Ok(Part::End | Part::Closed) => break,
                Err(AttemptOutcome::Failed(error)) => {
                    return Err(AttemptOutcome::Failed(
                        unread.attribute(error, clock::now()),
                    ));
                }
                Err(outcome) => return Err(outcome),
            };
        }
        if is_chunked {
            caller.proceed(LAST_CHUNK, deadline).await?;
        }
        caller.complete();
        Ok(())
    }

    pub(super) async fn write_buffered(
        &self,
        caller: &mut Caller,
        response: &BufferedResponse,
    ) -> Result<(), WriteError> {
        let message = self.response_head(&response.head);
        let head = message.number("content-length", response.body.len() as u64);
        let deadline = self.request.deadline.after_millis(WRITE_EXTRA_MILLIS);
        let mut bytes = head.end();
        if bytes.len() + response.body.len() <= ONE_WRITE_BYTES {
            bytes.extend_from_slice(&response.body);
            caller.begin(&bytes, deadline).await?;
        } else {
            caller.begin(&bytes, deadline).await?;
            caller.proceed(&response.body, deadline).await?;
        }
        caller.complete();
        Ok(())
    }
}
