//! The deployment's own certificate authority: one step makes all keys.

use {
    crate::{
        error::{Error, Step},
        identity::Identity,
    },
    rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose},
    std::{
        fs::{self, File, Permissions},
        io::{self, Write},
        os::unix::fs::{OpenOptionsExt, PermissionsExt},
        path::Path,
    },
};

/// File of the authority's certificate, in every folder of keys.
pub const CA_FILE: &str = "ca.pem";
/// File of the authority's private key, in its own folder only.
pub const CA_KEY_FILE: &str = "ca.key.pem";
/// File of a process's certificate.
pub const CERTIFICATE_FILE: &str = "cert.pem";
/// File of a process's private key.
pub const KEY_FILE: &str = "key.pem";

/// A certificate authority in a folder.
pub struct Authority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

fn error(step: Step, path: &Path) -> impl Fn(String) -> Error {
    move |what| Error::new(step, path.display(), what)
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|what| error(Step::WriteKeys, path)(what.to_string()))
}

/// Writes a private key, which only its owner may read.
fn write_key(path: &Path, key: &KeyPair) -> Result<(), Error> {
    let written = (|| {
        let options = File::options()
            .write(true)
            .create(true)
            .truncate(true)
            .mode(0o600)
            .open(path);
        let mut file = options?;
        file.set_permissions(Permissions::from_mode(0o600))?;
        file.write_all(key.serialize_pem().as_bytes())
    })();
    written.map_err(|what: io::Error| error(Step::WriteKeys, path)(what.to_string()))
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|what| error(Step::ReadKeys, path)(what.to_string()))
}

impl Authority {
    /// Opens the authority in `folder`, or makes a new one there.
    ///
    /// # Errors
    ///
    /// Where the folder can't be read or written, or holds something else.
    pub fn open_or_create(folder: &Path) -> Result<Self, Error> {
        let key_path = folder.join(CA_KEY_FILE);
        if !key_path.exists() {
            Self::create(folder)?;
        }
        let certificate = read(&folder.join(CA_FILE))?;
        let wrong = error(Step::ReadKeys, &key_path);
        let key = KeyPair::from_pem(&read(&key_path)?).map_err(|what| wrong(what.to_string()))?;
        // The issuer needs the authority's name and key; both are fixed by how it was made.
        let issuer = Issuer::new(parameters(), key);
        Ok(Self {
            certificate,
            issuer,
        })
    }

    fn create(folder: &Path) -> Result<(), Error> {
        let wrong = error(Step::WriteKeys, folder);
        fs::create_dir_all(folder).map_err(|what| wrong(what.to_string()))?;
        let key = KeyPair::generate().map_err(|what| wrong(what.to_string()))?;
        let made = parameters()
            .self_signed(&key)
            .map_err(|what| wrong(what.to_string()))?;
        write(&folder.join(CA_FILE), &made.pem())?;
        write_key(&folder.join(CA_KEY_FILE), &key)
    }

    /// Writes a certificate and key for `identity` into `folder`.
    ///
    /// # Errors
    ///
    /// Where the folder can't be written.
    pub fn issue(&self, identity: &Identity, folder: &Path) -> Result<(), Error> {
        let wrong = error(Step::WriteKeys, folder);
        fs::create_dir_all(folder).map_err(|what| wrong(what.to_string()))?;
        let key = KeyPair::generate().map_err(|what| wrong(what.to_string()))?;
        let mut parameters = CertificateParams::new(vec![identity.server_name()])
            .map_err(|what| wrong(what.to_string()))?;
        parameters
            .distinguished_name
            .push(DnType::CommonName, identity.to_string());
        let signed = parameters.signed_by(&key, &self.issuer);
        let signed = signed.map_err(|what| wrong(what.to_string()))?;
        write(&folder.join(CA_FILE), &self.certificate)?;
        write(&folder.join(CERTIFICATE_FILE), &signed.pem())?;
        write_key(&folder.join(KEY_FILE), &key)
    }
}

fn parameters() -> CertificateParams {
    let mut parameters = CertificateParams::default();
    parameters.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    parameters.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    parameters
        .distinguished_name
        .push(DnType::CommonName, "gingerpier authority");
    parameters
}
