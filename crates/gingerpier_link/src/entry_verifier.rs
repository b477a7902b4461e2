//! How an operator's client knows an entry box: by role, whatever address it was reached at.
//!
//! Entry boxes are replaced at any time behind fixed addresses, so an operator can't name the one
//! that will answer; what counts is that the deployment's authority certified it as an entry box.

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

/// Accepts certificates of entry boxes.
#[derive(Debug)]
pub(crate) struct EntryVerifier {
    inner: Arc<WebPkiServerVerifier>,
}

impl EntryVerifier {
    /// Verifier against the deployment's authorities.
    pub(crate) fn new(
        roots: Arc<RootCertStore>,
        provider: Arc<CryptoProvider>,
    ) -> Result<Arc<Self>, String> {
        let built = WebPkiServerVerifier::builder_with_provider(roots, provider).build();
        built
            .map(|inner| Arc::new(Self { inner }))
            .map_err(|what| what.to_string())
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
