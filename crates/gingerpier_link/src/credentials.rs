//! Certificate and key of a process, and the TLS configurations that use them.

use {
    crate::{
        authority::{CA_FILE, CERTIFICATE_FILE, KEY_FILE},
        entry_verifier::EntryVerifier,
        error::{Error, Step},
        identity::Identity,
    },
    rustls::{RootCertStore, server::WebPkiClientVerifier},
    rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    std::{
        path::{Path, PathBuf},
        sync::Arc,
        time::SystemTime,
    },
};

/// ALPN protocol name of links between processes.
const PEER_PROTOCOL: &[u8] = b"gingerpier/1";

/// Certificate, key and trusted authorities, read from a folder.
#[derive(Debug)]
pub struct Credentials {
    folder: PathBuf,
    modified_at: SystemTime,
    identity: Identity,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

fn last_modified(folder: &Path) -> SystemTime {
    let files = [CA_FILE, CERTIFICATE_FILE, KEY_FILE];
    let times = files
        .iter()
        .filter_map(|file| folder.join(file).metadata().ok()?.modified().ok());
    times.max().unwrap_or(SystemTime::UNIX_EPOCH)
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let to_error = |cause: String| Error::new(Step::ReadKeys, path.display(), cause);
    let read = CertificateDer::pem_file_iter(path).map_err(|cause| to_error(cause.to_string()))?;
    read.collect::<Result<_, _>>()
        .map_err(|cause| to_error(cause.to_string()))
}

impl Credentials {
    /// Reads the keys in `folder`; `ca.pem` may contain several authorities during a rotation.
    ///
    /// # Errors
    ///
    /// Returns an error if a file is missing or invalid.
    pub fn read(folder: &Path) -> Result<Self, Error> {
        let modified_at = last_modified(folder);
        let chain = certificates(&folder.join(CERTIFICATE_FILE))?;
        let to_error = |cause: String| Error::new(Step::ReadKeys, folder.display(), cause);
        let own_certificate = chain
            .first()
            .ok_or_else(|| to_error("cert.pem holds no certificate".to_owned()))?;
        let identity = Identity::from_certificate(own_certificate)?;
        let key = PrivateKeyDer::from_pem_file(folder.join(KEY_FILE));
        let key = key.map_err(|cause| to_error(cause.to_string()))?;
        let mut roots = RootCertStore::empty();
        for authority in certificates(&folder.join(CA_FILE))? {
            roots
                .add(authority)
                .map_err(|cause| to_error(cause.to_string()))?;
        }
        let roots = Arc::new(roots);
        Ok(Self {
            folder: folder.to_owned(),
            modified_at,
            identity,
            chain,
            key,
            roots,
        })
    }

    /// Reads the keys again if a file has changed since the last read.
    ///
    /// # Errors
    ///
    /// Returns an error if a new file is missing or invalid; the old keys remain usable.
    pub fn reload_if_changed(&self) -> Result<Option<Self>, Error> {
        if last_modified(&self.folder) == self.modified_at {
            return Ok(None);
        }
        Self::read(&self.folder).map(Some)
    }

    /// Identity in the certificate.
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// TLS configuration of a server that requires a client certificate of the deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate and the key do not match.
    pub fn server(&self) -> Result<rustls::ServerConfig, Error> {
        let to_error = |cause: String| Error::new(Step::ReadKeys, self.folder.display(), cause);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone());
        let verifier = verifier
            .build()
            .map_err(|cause| to_error(cause.to_string()))?;
        rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|cause| to_error(cause.to_string()))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|cause| to_error(cause.to_string()))
    }

    /// TLS configuration of a client that presents its certificate.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate and the key do not match.
    pub fn client(&self) -> Result<rustls::ClientConfig, Error> {
        let to_error = |cause: String| Error::new(Step::ReadKeys, self.folder.display(), cause);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|cause| to_error(cause.to_string()))?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|cause| to_error(cause.to_string()))
    }

    /// TLS configuration of an operator's client, which accepts any entry box of the deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate and the key do not match.
    pub fn operator_client(&self) -> Result<rustls::ClientConfig, Error> {
        let to_error = |cause: String| Error::new(Step::ReadKeys, self.folder.display(), cause);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = EntryVerifier::new(self.roots.clone(), provider).map_err(to_error)?;
        let mut client = self.client()?;
        client.dangerous().set_certificate_verifier(verifier);
        Ok(client)
    }

    pub(crate) fn quic_server(&self) -> Result<quinn::ServerConfig, Error> {
        let mut tls = self.server()?;
        tls.alpn_protocols = vec![PEER_PROTOCOL.to_vec()];
        let to_error = |cause: String| Error::new(Step::ReadKeys, self.folder.display(), cause);
        let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(tls);
        let crypto = crypto.map_err(|cause| to_error(cause.to_string()))?;
        Ok(quinn::ServerConfig::with_crypto(Arc::new(crypto)))
    }

    pub(crate) fn quic_client(&self) -> Result<quinn::ClientConfig, Error> {
        let mut tls = self.client()?;
        tls.alpn_protocols = vec![PEER_PROTOCOL.to_vec()];
        let to_error = |cause: String| Error::new(Step::ReadKeys, self.folder.display(), cause);
        let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(tls);
        let crypto = crypto.map_err(|cause| to_error(cause.to_string()))?;
        Ok(quinn::ClientConfig::new(Arc::new(crypto)))
    }
}
