//! Sources of weights: the origin, and the rate-limited weight store.
//!
//! Both serve files over HTTP with byte ranges; a busy one answers 429 or 503 with `Retry-After`.

use {
    crate::{
        error::{Error, Fault, Step},
        http::Call,
    },
    awc::{
        Client as Http,
        http::{StatusCode, header},
    },
    bytes::Bytes,
    gingerpier_base::{Digest, Instant},
    gingerpier_weights::manifest::{self, File, Manifest, Span},
    std::time::Duration,
};

/// Client of one source.
#[derive(Clone)]
pub struct Client {
    http: Http,
    url: String,
    patience: Duration,
}

impl Client {
    /// Client of the source at `url`; `patience` is for each part of an answer.
    pub const fn new(http: Http, url: String, patience: Duration) -> Self {
        Self {
            http,
            url,
            patience,
        }
    }

    /// Reads and checks the manifest in `folder`; its bytes are given too, for peers.
    ///
    /// # Errors
    ///
    /// Where the source does not give it, or it is another one.
    pub async fn manifest(
        &self,
        folder: &str,
        digest: Digest,
        now: Instant,
    ) -> Result<(Manifest, Bytes), Error> {
        let url = format!("{}/{folder}/{}", self.url, manifest::FILE_NAME);
        let call = Call {
            step: Step::ReadManifest,
            url: &url,
            now,
            patience: self.patience,
        };
        let mut answer = call.answer(self.http.get(&url).send()).await?;
        let bytes = call.body(&mut answer).await?;
        let read = Manifest::from_bytes(&bytes, digest);
        let read = read.map_err(|error| call.error(Fault::Unreadable(error.to_string())))?;
        Ok((read, bytes))
    }

    /// Reads `span` of `file` in `folder`, and hands over each part as it comes.
    ///
    /// # Errors
    ///
    /// Where the source does not give all of it.
    pub async fn read<F>(
        &self,
        folder: &str,
        file: &File,
        span: Span,
        now: Instant,
        take: &mut F,
    ) -> Result<(), Error>
    where
        F: AsyncFnMut(Bytes),
    {
        let url = format!("{}/{folder}/{}", self.url, file.path);
        let call = Call {
            step: Step::ReadWeights,
            url: &url,
            now,
            patience: self.patience,
        };
        let last = span.offset + span.length - 1;
        let asked = self.http.get(&url);
        let asked = asked.insert_header((header::RANGE, format!("bytes={}-{last}", span.offset)));
        let mut answer = call.answer(asked.send()).await?;
        if answer.status() != StatusCode::PARTIAL_CONTENT {
            return Err(call.error(Fault::Refused("it does not serve byte ranges".to_owned())));
        }
        let mut left = span.length;
        while let Some(part) = call.part(&mut answer).await? {
            let length = (part.len() as u64).min(left) as usize;
            left -= length as u64;
            take(part.slice(..length)).await;
        }
        if left > 0 {
            return Err(call.error(Fault::Unanswered(format!("{left} bytes are missing"))));
        }
        Ok(())
    }

    /// Reads a chunk from byte `offset` on, and hands over each part as it comes.
    ///
    /// # Errors
    ///
    /// Where the source does not give all of it.
    pub async fn chunk<F>(
        &self,
        folder: &str,
        manifest: &Manifest,
        index: u32,
        offset: u32,
        now: Instant,
        mut take: F,
    ) -> Result<(), Error>
    where
        F: AsyncFnMut(Bytes),
    {
        let mut skipped = u64::from(offset);
        for mut span in manifest.spans(index) {
            let skip = skipped.min(span.length);
            skipped -= skip;
            span.offset += skip;
            span.length -= skip;
            if span.length > 0 {
                self.read(folder, &manifest.files[span.file], span, now, &mut take)
                    .await?;
            }
        }
        Ok(())
    }
}
