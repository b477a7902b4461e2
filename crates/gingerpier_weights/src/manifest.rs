//! Manifest of a version: its files and the digests of its chunks.
//!
//! The files of a version, ordered by path, are treated as one byte sequence and split into chunks
//! of equal size, so a chunk may contain the end of one file and the start of the next.

use {
    displaydoc::Display,
    gingerpier_base::Digest,
    minicbor::{Decode, Encode},
};

/// Name of the manifest file, beside the weights.
pub const FILE_NAME: &str = "gingerpier.manifest";
/// Default chunk size, in bytes.
pub const DEFAULT_CHUNK_BYTES: u32 = 4 << 20;
/// Maximum accepted chunk size, in bytes.
pub const MAX_CHUNK_BYTES: u32 = 64 << 20;
/// Maximum accepted manifest size, in bytes.
pub const MAX_BYTES: usize = 64 << 20;
const FORMAT: u32 = 1;

/// One file of a version.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct File {
    /// Path relative to the version's folder, separated by `/`.
    #[n(0)]
    pub path: String,
    /// Size in bytes.
    #[n(1)]
    pub bytes: u64,
}

/// Files and chunk digests of a version.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Manifest {
    /// Format version of the manifest.
    #[n(0)]
    pub format: u32,
    /// Size of every chunk but the last, in bytes.
    #[n(1)]
    pub chunk_bytes: u32,
    /// Files, in the order of the byte sequence.
    #[n(2)]
    pub files: Vec<File>,
    /// Digest of each chunk.
    #[n(3)]
    pub chunks: Vec<Digest>,
}

/// Error of decoding or validating a manifest.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the manifest can't be decoded: {0}
    Decode(String),
    /// the manifest's digest is {found}, and the version names {wanted}
    Digest {
        /// Digest required by the version.
        wanted: Digest,
        /// Digest of the manifest read.
        found: Digest,
    },
    /// manifest format {0} is not known here
    Format(u32),
    /// the chunk size {0} is not between 1 and 67108864 bytes
    ChunkBytes(u32),
    /// the files make {wanted} chunks, and the manifest lists {found}
    Count {
        /// Chunks required by the file sizes.
        wanted: u64,
        /// Chunks listed.
        found: u64,
    },
    /// the path `{0}` leaves the version's folder
    Path(String),
}

impl std::error::Error for Error {}

/// Part of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Index in [`Manifest::files`].
    pub file: usize,
    /// First byte within the file.
    pub offset: u64,
    /// Length in bytes.
    pub length: u64,
}

impl Manifest {
    /// Size of the version, in bytes.
    pub fn bytes(&self) -> u64 {
        self.files
            .iter()
            .fold(0, |sum, file| sum.saturating_add(file.bytes))
    }

    /// Size of chunk `index`, in bytes.
    pub fn chunk_length(&self, index: u32) -> u32 {
        let start = u64::from(index) * u64::from(self.chunk_bytes);
        let rest = self.bytes().saturating_sub(start);
        rest.min(u64::from(self.chunk_bytes)) as u32
    }

    /// Parts of files that make up chunk `index`.
    pub fn spans(&self, index: u32) -> Vec<Span> {
        let mut start = u64::from(index) * u64::from(self.chunk_bytes);
        let mut remaining = u64::from(self.chunk_length(index));
        let mut spans = Vec::new();
        for (file, entry) in self.files.iter().enumerate() {
            if start >= entry.bytes {
                start -= entry.bytes;
                continue;
            }
            let length = remaining.min(entry.bytes - start);
            if length == 0 {
                break;
            }
            spans.push(Span {
                file,
                offset: start,
                length,
            });
            remaining -= length;
            start = 0;
        }
        spans
    }

    /// Encodes the manifest.
    ///
    /// # Panics
    ///
    /// Never, because encoding to memory can't fail.
    pub fn to_bytes(&self) -> Vec<u8> {
        minicbor::to_vec(self)
            .unwrap_or_else(|error| unreachable!("encoding to memory failed: {error}"))
    }

    /// Decodes and validates a manifest with the digest `wanted`.
    ///
    /// # Errors
    ///
    /// Fails if the digest differs or the manifest is invalid.
    pub fn from_bytes(bytes: &[u8], wanted: Digest) -> Result<Self, Error> {
        let found = Digest::of(bytes);
        if found != wanted {
            return Err(Error::Digest { wanted, found });
        }
        Self::from_unverified_bytes(bytes)
    }

    /// Decodes and validates a manifest of any digest.
    ///
    /// # Errors
    ///
    /// Fails if the manifest is invalid.
    pub fn from_unverified_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let manifest: Self =
            minicbor::decode(bytes).map_err(|error| Error::Decode(error.to_string()))?;
        manifest.check()?;
        Ok(manifest)
    }

    fn check(&self) -> Result<(), Error> {
        if self.format != FORMAT {
            return Err(Error::Format(self.format));
        }
        if self.chunk_bytes == 0 || self.chunk_bytes > MAX_CHUNK_BYTES {
            return Err(Error::ChunkBytes(self.chunk_bytes));
        }
        let wanted = self.bytes().div_ceil(u64::from(self.chunk_bytes));
        let found = self.chunks.len() as u64;
        if wanted != found {
            return Err(Error::Count { wanted, found });
        }
        match self.files.iter().find(|file| !is_relative_path(&file.path)) {
            Some(file) => Err(Error::Path(file.path.clone())),
            None => Ok(()),
        }
    }
}

fn is_relative_path(path: &str) -> bool {
    !path.is_empty()
        && path
            .split('/')
            .all(|part| !part.is_empty() && part != "." && part != "..")
}

/// Builds a manifest incrementally; keeps the hash state of one chunk.
#[derive(Debug)]
pub struct Builder {
    manifest: Manifest,
    hasher: blake3::Hasher,
    filled_bytes: u32,
}

impl Builder {
    /// Creates a builder; `chunk_bytes` is clamped to the valid range.
    pub fn new(chunk_bytes: u32) -> Self {
        let chunk_bytes = chunk_bytes.clamp(1, MAX_CHUNK_BYTES);
        let manifest = Manifest {
            format: FORMAT,
            chunk_bytes,
            files: Vec::new(),
            chunks: Vec::new(),
        };
        Self {
            manifest,
            hasher: blake3::Hasher::new(),
            filled_bytes: 0,
        }
    }

    /// Starts the next file.
    pub fn start_file(&mut self, path: &str) {
        self.manifest.files.push(File {
            path: path.to_owned(),
            bytes: 0,
        });
    }

    /// Appends bytes to the current file.
    ///
    /// # Panics
    ///
    /// If no file was started.
    pub fn update(&mut self, mut bytes: &[u8]) {
        let file = self.manifest.files.last_mut();
        file.expect("a file must be started before bytes are appended")
            .bytes += bytes.len() as u64;
        while !bytes.is_empty() {
            let remaining = (self.manifest.chunk_bytes - self.filled_bytes) as usize;
            let (head, rest) = bytes.split_at(remaining.min(bytes.len()));
            self.hasher.update(head);
            self.filled_bytes += head.len() as u32;
            bytes = rest;
            if self.filled_bytes == self.manifest.chunk_bytes {
                self.finish_chunk();
            }
        }
    }

    /// Returns the manifest of all appended bytes.
    pub fn finish(mut self) -> Manifest {
        if self.filled_bytes > 0 {
            self.finish_chunk();
        }
        self.manifest
    }

    fn finish_chunk(&mut self) {
        self.manifest
            .chunks
            .push(Digest::from_bytes(*self.hasher.finalize().as_bytes()));
        self.hasher.reset();
        self.filled_bytes = 0;
    }
}
