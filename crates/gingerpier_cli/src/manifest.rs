//! Manifests of folders of any size, in bounded memory.

use {
    crate::error::Error,
    gingerpier_base::Digest,
    gingerpier_weights::{
        Manifest,
        manifest::{Builder, FILE_NAME},
    },
    std::{
        fs::{self, File},
        io::{self, Read},
        path::{Path, PathBuf},
    },
};

/// Bytes read at once.
const READ_BYTES: usize = 1 << 20;
/// Bytes between two words on progress.
const PROGRESS_BYTES: u64 = 256 << 20;

/// Writes the manifest of `folder` into it.
///
/// # Errors
///
/// Where a file can't be read, or the manifest can't be written.
pub fn write(folder: &Path, chunk_bytes: u32, quiet: bool) -> Result<(Digest, Manifest), Error> {
    let files = files(folder)?;
    let total = files.iter().map(|file| file.bytes).sum();
    let mut progress = Progress {
        done: 0,
        total,
        told: 0,
        quiet,
    };
    let mut builder = Builder::new(chunk_bytes);
    let mut buffer = vec![0; READ_BYTES];
    for file in &files {
        builder.start_file(&file.name);
        let read = add(&mut builder, &file.path, &mut buffer, &mut progress);
        read.map_err(|what| Error::Read {
            path: file.path.clone(),
            what,
        })?;
    }
    let manifest = builder.finish();
    let bytes = manifest.to_bytes();
    let path = folder.join(FILE_NAME);
    fs::write(&path, &bytes).map_err(|what| Error::Write { path, what })?;
    Ok((Digest::of(&bytes), manifest))
}

struct Found {
    name: String,
    path: PathBuf,
    bytes: u64,
}

/// Files below `folder` in the order of their names, the manifest itself left out.
fn files(folder: &Path) -> Result<Vec<Found>, Error> {
    let mut found = Vec::new();
    gather(folder, "", &mut found)?;
    found.retain(|file| file.name != FILE_NAME);
    found.sort_by(|a, b| a.name.cmp(&b.name));
    if found.is_empty() {
        return Err(Error::Empty(folder.to_owned()));
    }
    Ok(found)
}

fn gather(folder: &Path, prefix: &str, found: &mut Vec<Found>) -> Result<(), Error> {
    let read = |what| Error::Read {
        path: folder.to_owned(),
        what,
    };
    for entry in fs::read_dir(folder).map_err(read)? {
        let entry = entry.map_err(read)?;
        let path = entry.path();
        let file_name = entry.file_name();
        let part = file_name
            .to_str()
            .ok_or_else(|| Error::Path { path: path.clone() })?;
        let name = format!("{prefix}{part}");
        let metadata = fs::metadata(&path).map_err(read)?;
        if metadata.is_dir() {
            gather(&path, &format!("{name}/"), found)?;
        } else {
            found.push(Found {
                name,
                path,
                bytes: metadata.len(),
            });
        }
    }
    Ok(())
}

fn add(
    builder: &mut Builder,
    path: &Path,
    buffer: &mut [u8],
    progress: &mut Progress,
) -> io::Result<()> {
    let mut file = File::open(path)?;
    loop {
        let length = file.read(buffer)?;
        if length == 0 {
            return Ok(());
        }
        builder.update(&buffer[..length]);
        progress.add(length as u64);
    }
}

struct Progress {
    done: u64,
    total: u64,
    told: u64,
    quiet: bool,
}

impl Progress {
    fn add(&mut self, bytes: u64) {
        self.done += bytes;
        if !self.quiet && self.done - self.told >= PROGRESS_BYTES {
            self.told = self.done;
            let percent = self.done * 100 / self.total.max(1);
            eprintln!("hashed {} of {} bytes ({percent} %)", self.done, self.total);
        }
    }
}
