//! What a version consists of.
//!
//! The files of a version, in the order of their paths, are one run of bytes; the run is cut into
//! chunks of one size, so that a chunk may hold the end of one file and the start of the next.

use {
    displaydoc::Display,
    gingerpier_base::Digest,
    minicbor::{Decode, Encode},
};

/// Name of the manifest's own file, beside the weights.
pub const FILE_NAME: &str = "gingerpier.manifest";
/// Chunk size where none is asked for, in bytes.
pub const DEFAULT_CHUNK_BYTES: u32 = 4 << 20;
/// The largest chunk that a reader accepts, in bytes.
pub const MAX_CHUNK_BYTES: u32 = 64 << 20;
/// The longest manifest that a reader accepts, in bytes.
pub const MAX_BYTES: usize = 64 << 20;
const FORMAT: u32 = 1;

/// One file of a version.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct File {
    /// Path below the version's folder, with `/` between its parts.
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
    /// Format of the manifest.
    #[n(0)]
    pub format: u32,
    /// Size of every chunk but the last, in bytes.
    #[n(1)]
    pub chunk_bytes: u32,
    /// Files, in the order of their bytes.
    #[n(2)]
    pub files: Vec<File>,
    /// Digest of each chunk.
    #[n(3)]
    pub chunks: Vec<Digest>,
}

/// A manifest that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the manifest can't be decoded: {0}
    Decode(String),
    /// the manifest's digest is {found}, and the version names {wanted}
    Digest {
        /// Digest named by the version.
        wanted: Digest,
        /// Digest of the bytes read.
        found: Digest,
    },
    /// manifest format {0} is not known here
    Format(u32),
    /// the chunk size {0} is not between 1 and 67108864 bytes
    ChunkBytes(u32),
    /// the files make {wanted} chunks, and the manifest lists {found}
    Count {
        /// Chunks that the sizes make.
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
    /// Index of the file.
    pub file: usize,
    /// First byte within the file.
    pub offset: u64,
    /// Number of bytes.
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

    /// Parts of files that make chunk `index`.
    pub fn spans(&self, index: u32) -> Vec<Span> {
        let mut start = u64::from(index) * u64::from(self.chunk_bytes);
        let mut left = u64::from(self.chunk_length(index));
        let mut spans = Vec::new();
        for (file, held) in self.files.iter().enumerate() {
            if start >= held.bytes {
                start -= held.bytes;
                continue;
            }
            let length = left.min(held.bytes - start);
            if length == 0 {
                break;
            }
            spans.push(Span {
                file,
                offset: start,
                length,
            });
            left -= length;
            start = 0;
        }
        spans
    }

    /// The manifest as bytes.
    ///
    /// # Panics
    ///
    /// Never: writing to memory can't fail.
    pub fn to_bytes(&self) -> Vec<u8> {
        minicbor::to_vec(self).unwrap_or_else(|error| unreachable!("writing to memory: {error}"))
    }

    /// Manifest from bytes whose digest must be `wanted`.
    ///
    /// # Errors
    ///
    /// Where the bytes are not the manifest named, or not a sound one.
    pub fn from_bytes(bytes: &[u8], wanted: Digest) -> Result<Self, Error> {
        let found = Digest::of(bytes);
        if found != wanted {
            return Err(Error::Digest { wanted, found });
        }
        Self::from_unnamed_bytes(bytes)
    }

    /// Manifest from bytes of any digest.
    ///
    /// # Errors
    ///
    /// Where the bytes are not a sound manifest.
    pub fn from_unnamed_bytes(bytes: &[u8]) -> Result<Self, Error> {
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
        match self.files.iter().find(|file| !is_inside(&file.path)) {
            Some(file) => Err(Error::Path(file.path.clone())),
            None => Ok(()),
        }
    }
}

fn is_inside(path: &str) -> bool {
    !path.is_empty()
        && path
            .split('/')
            .all(|part| !part.is_empty() && part != "." && part != "..")
}

/// Builds a manifest from a run of bytes of any length, holding one chunk's hash state.
#[derive(Debug)]
pub struct Builder {
    manifest: Manifest,
    hasher: blake3::Hasher,
    filled: u32,
}

impl Builder {
    /// Builder with chunks of `chunk_bytes`, brought within the bounds.
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
            filled: 0,
        }
    }

    /// Starts the next file.
    pub fn start_file(&mut self, path: &str) {
        self.manifest.files.push(File {
            path: path.to_owned(),
            bytes: 0,
        });
    }

    /// Adds bytes to the file started last.
    ///
    /// # Panics
    ///
    /// Where no file was started.
    pub fn update(&mut self, mut bytes: &[u8]) {
        let file = self.manifest.files.last_mut();
        file.expect("a file is started before its bytes").bytes += bytes.len() as u64;
        while !bytes.is_empty() {
            let room = (self.manifest.chunk_bytes - self.filled) as usize;
            let (taken, rest) = bytes.split_at(room.min(bytes.len()));
            self.hasher.update(taken);
            self.filled += taken.len() as u32;
            bytes = rest;
            if self.filled == self.manifest.chunk_bytes {
                self.close_chunk();
            }
        }
    }

    /// The manifest of all bytes added.
    pub fn finish(mut self) -> Manifest {
        if self.filled > 0 {
            self.close_chunk();
        }
        self.manifest
    }

    fn close_chunk(&mut self) {
        self.manifest
            .chunks
            .push(Digest::from_bytes(*self.hasher.finalize().as_bytes()));
        self.hasher.reset();
        self.filled = 0;
    }
}
