//! A process's keys, and what TLS needs made of them.

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

/// Protocol name of the links between processes.
const PEER_PROTOCOL: &[u8] = b"gingerpier/1";

/// Certificate, key and authorities read from a folder.
#[derive(Debug)]
pub struct Credentials {
    folder: PathBuf,
    changed: SystemTime,
    identity: Identity,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

fn newest(folder: &Path) -> SystemTime {
    let files = [CA_FILE, CERTIFICATE_FILE, KEY_FILE];
    let times = files
        .iter()
        .filter_map(|file| folder.join(file).metadata().ok()?.modified().ok());
    times.max().unwrap_or(SystemTime::UNIX_EPOCH)
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let wrong = |what: String| Error::new(Step::ReadKeys, path.display(), what);
    let read = CertificateDer::pem_file_iter(path).map_err(|what| wrong(what.to_string()))?;
    read.collect::<Result<_, _>>()
        .map_err(|what| wrong(what.to_string()))
}

impl Credentials {
    /// Reads the keys in `folder`; `ca.pem` may hold several authorities while one replaces
    /// another.
    ///
    /// # Errors
    ///
    /// Where a file is missing or wrong.
    pub fn read(folder: &Path) -> Result<Self, Error> {
        let changed = newest(folder);
        let chain = certificates(&folder.join(CERTIFICATE_FILE))?;
        let wrong = |what: String| Error::new(Step::ReadKeys, folder.display(), what);
        let own = chain
            .first()
            .ok_or_else(|| wrong("cert.pem holds no certificate".to_owned()))?;
        let identity = Identity::from_certificate(own)?;
        let key = PrivateKeyDer::from_pem_file(folder.join(KEY_FILE));
        let key = key.map_err(|what| wrong(what.to_string()))?;
        let mut roots = RootCertStore::empty();
        for authority in certificates(&folder.join(CA_FILE))? {
            roots
                .add(authority)
                .map_err(|what| wrong(what.to_string()))?;
        }
        let roots = Arc::new(roots);
        Ok(Self {
            folder: folder.to_owned(),
            changed,
            identity,
            chain,
            key,
            roots,
        })
    }

    /// Reads the keys again where a file has changed.
    ///
    /// # Errors
    ///
    /// Where the new files are missing or wrong; the old keys stay good.
    pub fn read_if_changed(&self) -> Result<Option<Self>, Error> {
        if newest(&self.folder) == self.changed {
            return Ok(None);
        }
        Self::read(&self.folder).map(Some)
    }

    /// Whom the certificate is for.
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// TLS of a server that lets in only holders of certificates of the deployment.
    ///
    /// # Errors
    ///
    /// Where the keys do not fit together.
    pub fn server(&self) -> Result<rustls::ServerConfig, Error> {
        let wrong = |what: String| Error::new(Step::ReadKeys, self.folder.display(), what);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone());
        let verifier = verifier.build().map_err(|what| wrong(what.to_string()))?;
        rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|what| wrong(what.to_string()))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|what| wrong(what.to_string()))
    }

    /// TLS of a client that shows its certificate.
    ///
    /// # Errors
    ///
    /// Where the keys do not fit together.
    pub fn client(&self) -> Result<rustls::ClientConfig, Error> {
        let wrong = |what: String| Error::new(Step::ReadKeys, self.folder.display(), what);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|what| wrong(what.to_string()))?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|what| wrong(what.to_string()))
    }

    /// TLS of an operator's client, which takes any entry box of the deployment.
    ///
    /// # Errors
    ///
    /// Where the keys do not fit together.
    pub fn operator_client(&self) -> Result<rustls::ClientConfig, Error> {
        let wrong = |what: String| Error::new(Step::ReadKeys, self.folder.display(), what);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = EntryVerifier::new(self.roots.clone(), provider).map_err(wrong)?;
        let mut client = self.client()?;
        client.dangerous().set_certificate_verifier(verifier);
        Ok(client)
    }

    pub(crate) fn quic_server(&self) -> Result<quinn::ServerConfig, Error> {
        let mut tls = self.server()?;
        tls.alpn_protocols = vec![PEER_PROTOCOL.to_vec()];
        let wrong = |what: String| Error::new(Step::ReadKeys, self.folder.display(), what);
        let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(tls);
        let crypto = crypto.map_err(|what| wrong(what.to_string()))?;
        Ok(quinn::ServerConfig::with_crypto(Arc::new(crypto)))
    }

    pub(crate) fn quic_client(&self) -> Result<quinn::ClientConfig, Error> {
        let mut tls = self.client()?;
        tls.alpn_protocols = vec![PEER_PROTOCOL.to_vec()];
        let wrong = |what: String| Error::new(Step::ReadKeys, self.folder.display(), what);
        let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(tls);
        let crypto = crypto.map_err(|what| wrong(what.to_string()))?;
        Ok(quinn::ClientConfig::new(Arc::new(crypto)))
    }
}
