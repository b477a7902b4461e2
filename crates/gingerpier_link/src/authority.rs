//! Certificate authority of the deployment, which issues the keys of all processes.

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

/// File name of the authority's certificate, in every key folder.
pub const CA_FILE: &str = "ca.pem";
/// File name of the authority's private key, in its own folder only.
pub const CA_KEY_FILE: &str = "ca.key.pem";
/// File name of a process's certificate.
pub const CERTIFICATE_FILE: &str = "cert.pem";
/// File name of a process's private key.
pub const KEY_FILE: &str = "key.pem";

/// Certificate authority whose certificate and key are files in a folder.
pub struct Authority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

fn error_at(step: Step, path: &Path) -> impl Fn(String) -> Error {
    move |cause| Error::new(step, path.display(), cause)
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|cause| error_at(Step::WriteKeys, path)(cause.to_string()))
}

/// Writes a private key that only its owner can read.
fn write_key(path: &Path, key: &KeyPair) -> Result<(), Error> {
    let result = (|| {
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
    result.map_err(|cause: io::Error| error_at(Step::WriteKeys, path)(cause.to_string()))
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|cause| error_at(Step::ReadKeys, path)(cause.to_string()))
}

impl Authority {
    /// Opens the authority in `folder`, or creates one there.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be read or written, or its files are invalid.
    pub fn open_or_create(folder: &Path) -> Result<Self, Error> {
        let key_path = folder.join(CA_KEY_FILE);
        if !key_path.exists() {
            Self::create(folder)?;
        }
        let certificate = read(&folder.join(CA_FILE))?;
        let to_error = error_at(Step::ReadKeys, &key_path);
        let key =
            KeyPair::from_pem(&read(&key_path)?).map_err(|cause| to_error(cause.to_string()))?;
        // The issuer needs the name and key of the authority; the name is constant.
        let issuer = Issuer::new(parameters(), key);
        Ok(Self {
            certificate,
            issuer,
        })
    }

    fn create(folder: &Path) -> Result<(), Error> {
        let to_error = error_at(Step::WriteKeys, folder);
        fs::create_dir_all(folder).map_err(|cause| to_error(cause.to_string()))?;
        let key = KeyPair::generate().map_err(|cause| to_error(cause.to_string()))?;
        let certificate = parameters()
            .self_signed(&key)
            .map_err(|cause| to_error(cause.to_string()))?;
        write(&folder.join(CA_FILE), &certificate.pem())?;
        write_key(&folder.join(CA_KEY_FILE), &key)
    }

    /// Issues a certificate for `identity` and writes it, with its key, into `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be written.
    pub fn issue(&self, identity: &Identity, folder: &Path) -> Result<(), Error> {
        let to_error = error_at(Step::WriteKeys, folder);
        fs::create_dir_all(folder).map_err(|cause| to_error(cause.to_string()))?;
        let key = KeyPair::generate().map_err(|cause| to_error(cause.to_string()))?;
        let mut parameters = CertificateParams::new(vec![identity.server_name()])
            .map_err(|cause| to_error(cause.to_string()))?;
        parameters
            .distinguished_name
            .push(DnType::CommonName, identity.to_string());
        let certificate = parameters.signed_by(&key, &self.issuer);
        let certificate = certificate.map_err(|cause| to_error(cause.to_string()))?;
        write(&folder.join(CA_FILE), &self.certificate)?;
        write(&folder.join(CERTIFICATE_FILE), &certificate.pem())?;
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
