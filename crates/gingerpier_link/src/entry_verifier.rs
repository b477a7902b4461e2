//! Verification of an entry box's certificate by an operator's client.
//!
//! Entry boxes behind an address can be replaced at any time, so the client checks the role in the
//! certificate instead of the host name.

use {
    crate::identity::Identity,
    gingerpier_base::place::Role,
    rustls::{
        CertificateError, DigitallySignedStruct, Error, RootCertStore, SignatureScheme,
        client::{
            WebPkiServerVerifier,
            danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
        },
        crypto::CryptoProvider,
    },
    rustls_pki_types::{CertificateDer, ServerName, UnixTime},
    std::sync::Arc,
};

/// Accepts a certificate of any entry box of the deployment.
#[derive(Debug)]
pub(crate) struct EntryVerifier {
    inner: Arc<WebPkiServerVerifier>,
}

impl EntryVerifier {
    /// Creates a verifier that trusts the authorities in `roots`.
    pub(crate) fn new(
        roots: Arc<RootCertStore>,
        provider: Arc<CryptoProvider>,
    ) -> Result<Arc<Self>, String> {
        let verifier = WebPkiServerVerifier::builder_with_provider(roots, provider).build();
        verifier
            .map(|inner| Arc::new(Self { inner }))
            .map_err(|cause| cause.to_string())
    }
}

impl ServerCertVerifier for EntryVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        ocsp_response: &[u8],
        now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        let identity = Identity::from_certificate(end_entity).ok();
        let entry = identity.filter(|identity| identity.role == Role::Entry);
        let name = entry.and_then(|entry| ServerName::try_from(entry.server_name()).ok());
        let name = name.ok_or(Error::InvalidCertificate(CertificateError::NotValidForName))?;
        self.inner
            .verify_server_cert(end_entity, intermediates, &name, ocsp_response, now)
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner
            .verify_tls12_signature(message, certificate, signed)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.inner
            .verify_tls13_signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.inner.supported_verify_schemes()
    }
}
