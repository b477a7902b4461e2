//! Identity in a certificate.

use {
    crate::error::{Error, Step},
    gingerpier_base::{Name, place::Role},
    rustls_pki_types::CertificateDer,
    std::fmt,
    x509_parser::prelude::{FromDer, GeneralName, X509Certificate},
};

/// Suffix of the DNS name in a certificate.
const SUFFIX: &str = ".gingerpier";

/// Role and name of a process or an operator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// Role.
    pub role: Role,
    /// Name of the box or operator.
    pub name: Name,
}

impl Identity {
    /// DNS name in the certificate.
    pub fn server_name(&self) -> String {
        format!("{}.{}{SUFFIX}", self.role, self.name)
    }

    /// Parses the DNS name in a certificate.
    pub fn from_server_name(name: &str) -> Option<Self> {
        let (role, name) = name.strip_suffix(SUFFIX)?.split_once('.')?;
        Some(Self {
            role: Role::from_word(role)?,
            name: name.parse().ok()?,
        })
    }

    /// Reads the identity of a certificate whose signature has been verified.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate contains no valid identity.
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Result<Self, Error> {
        let error = |cause: &str| Error::new(Step::Authenticate, "certificate", cause);
        let (_, parsed) = X509Certificate::from_der(certificate)
            .map_err(|_| error("the certificate can't be read"))?;
        let names = parsed.subject_alternative_name().ok().flatten();
        let names = names
            .map(|names| names.value.general_names.as_slice())
            .unwrap_or_default();
        let identity = names.iter().find_map(|name| match name {
            GeneralName::DNSName(name) => Self::from_server_name(name),
            _ => None,
        });
        identity.ok_or_else(|| error("the certificate names no role and box"))
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.role, self.name)
    }
}
