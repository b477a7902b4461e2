//! Who a certificate is for.

use {
    crate::error::{Error, Step},
    gingerpier_base::{Name, place::Role},
    rustls_pki_types::CertificateDer,
    std::fmt,
    x509_parser::prelude::{FromDer, GeneralName, X509Certificate},
};

const SUFFIX: &str = ".gingerpier";

/// Role and name of a process or an operator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// What it does.
    pub role: Role,
    /// Box, or operator.
    pub name: Name,
}

impl Identity {
    /// Name in the certificate.
    pub fn server_name(&self) -> String {
        format!("{}.{}{SUFFIX}", self.role, self.name)
    }

    /// Identity from the name in a certificate.
    pub fn from_server_name(name: &str) -> Option<Self> {
        let (role, name) = name.strip_suffix(SUFFIX)?.split_once('.')?;
        Some(Self {
            role: Role::from_word(role)?,
            name: name.parse().ok()?,
        })
    }

    /// Identity from a certificate whose signature has been checked.
    ///
    /// # Errors
    ///
    /// Where the certificate names no role and box.
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Result<Self, Error> {
        let error = |what: &str| Error::new(Step::Authenticate, "certificate", what);
        let (_, parsed) = X509Certificate::from_der(certificate)
            .map_err(|_| error("the certificate can't be read"))?;
        let names = parsed.subject_alternative_name().ok().flatten();
        let names = names
            .map(|names| names.value.general_names.as_slice())
            .unwrap_or_default();
        let found = names.iter().find_map(|name| match name {
            GeneralName::DNSName(name) => Self::from_server_name(name),
            _ => None,
        });
        found.ok_or_else(|| error("the certificate names no role and box"))
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.role, self.name)
    }
}
