//! Client of the sources of weights: the origin, and the rate-limited weight store.
//!
//! Both serve byte ranges over HTTP; a busy source responds with 429 or 503 and `Retry-After`.

use {
    crate::{
        error::{Error, Fault, Step},
        http::CallContext,
    },
    awc::{
        Client as Http,
        http::{StatusCode, header},
    },
    bytes::Bytes,
    gingerpier_base::{Digest, Instant, target::Target},
    gingerpier_weights::manifest::{self, File, Manifest, Span},
    std::time::Duration,
};

/// Client of one source.
#[derive(Clone)]
pub struct Client {
    http: Http,
    url: String,
    timeout: Duration,
}

impl Client {
    /// Client of the source at `url`; `timeout` applies to each part of a response.
    pub const fn new(http: Http, url: String, timeout: Duration) -> Self {
        Self { http, url, timeout }
    }

    fn file_url(&self, folder: &str, path: &str) -> String {
        let target = Target::new("").segments(folder).segments(path);
        format!("{}{target}", self.url)
    }

    /// Fetches and verifies the manifest in `folder`; returns its bytes as well, for peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest cannot be fetched or does not match `digest`.
    pub async fn manifest(
        &self,
        folder: &str,
        digest: Digest,
        now: Instant,
    ) -> Result<(Manifest, Bytes), Error> {
        let url = self.file_url(folder, manifest::FILE_NAME);
        let call = CallContext {
            step: Step::ReadManifest,
            url: &url,
            now,
            timeout: self.timeout,
        };
        let mut response = call.answer(self.http.get(&url).send()).await?;
        let bytes = call.body(&mut response).await?;
        let read = Manifest::from_bytes(&bytes, digest);
        let read = read.map_err(|error| call.error(Fault::Unreadable(error.to_string())))?;
        Ok((read, bytes))
    }

    /// Fetches `span` of `file` in `folder`; calls `on_part` with each part as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if the source does not deliver all bytes.
    pub async fn read<F>(
        &self,
        folder: &str,
        file: &File,
        span: Span,
        now: Instant,
        on_part: &mut F,
    ) -> Result<(), Error>
    where
        F: AsyncFnMut(Bytes),
    {
        let url = self.file_url(folder, &file.path);
        let call = CallContext {
            step: Step::ReadWeights,
            url: &url,
            now,
            timeout: self.timeout,
        };
        let last = span.offset + span.length - 1;
        let request = self.http.get(&url);
        let request =
            request.insert_header((header::RANGE, format!("bytes={}-{last}", span.offset)));
        let mut response = call.answer(request.send()).await?;
        if response.status() != StatusCode::PARTIAL_CONTENT {
            return Err(call.error(Fault::Refused("it does not serve byte ranges".to_owned())));
        }
        let mut bytes_left = span.length;
        while let Some(part) = call.part(&mut response).await? {
            let length = (part.len() as u64).min(bytes_left) as usize;
            bytes_left -= length as u64;
            on_part(part.slice(..length)).await;
        }
        if bytes_left > 0 {
            return Err(call.error(Fault::Unanswered(format!("{bytes_left} bytes are missing"))));
        }
        Ok(())
    }

    /// Fetches a chunk, starting at byte `offset`; calls `on_part` with each part as it arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if the source does not deliver all bytes.
    pub async fn chunk<F>(
        &self,
        folder: &str,
        manifest: &Manifest,
        index: u32,
        offset: u32,
        now: Instant,
        mut on_part: F,
    ) -> Result<(), Error>
    where
        F: AsyncFnMut(Bytes),
    {
        let mut bytes_to_skip = u64::from(offset);
        for mut span in manifest.spans(index) {
            let skip = bytes_to_skip.min(span.length);
            bytes_to_skip -= skip;
            span.offset += skip;
            span.length -= skip;
            if span.length > 0 {
                self.read(folder, &manifest.files[span.file], span, now, &mut on_part)
                    .await?;
            }
        }
        Ok(())
    }
}
